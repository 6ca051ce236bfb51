import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.policy import routing

CHOICES = [routing.RandomChoice(), routing.LeastOutstanding(), routing.AffinityChoice()]


def up(name, local=True, outstanding=0, cap=4, usable=True):
    return routing.Candidate(name, local, 4, cap, outstanding, usable=usable)


@st.composite
def candidates(draw):
    count = draw(st.integers(0, 8))
    return tuple(
        up(f"e{i}", draw(st.booleans()), draw(st.integers(0, 5)), usable=draw(st.booleans()))
        for i in range(count)
    )


@pytest.mark.parametrize("choice", CHOICES)
@given(found=candidates(), prefix=st.integers(0, 2**64 - 1), seed=st.integers(0, 99))
def test_choice_has_room_and_is_local_if_any_local_has_room(choice, found, prefix, seed):
    chosen = choice.choose(found, routing.Requirements(prefix), random.Random(seed))
    with_room = [c for c in found if c.has_room]
    assert (chosen is None) == (not with_room)
    if chosen is not None:
        assert chosen.has_room
        assert chosen.local or not any(c.local for c in with_room)


def test_prefix_stays_at_its_upstream_until_that_is_loaded():
    rng = random.Random(1)
    idle = tuple(up(f"e{i}") for i in range(6))
    requirements = routing.Requirements(prefix=77)
    home = routing.AffinityChoice().choose(idle, requirements, rng)
    assert all(routing.AffinityChoice().choose(idle, requirements, rng) == home for _ in range(20))
    loaded = tuple(up(c.name, outstanding=3 if c.name == home.name else 0) for c in idle)
    assert routing.AffinityChoice().choose(loaded, requirements, rng).name != home.name


@pytest.mark.parametrize(("others", "stays"), [(0, False), (1, True), (2, True)])
def test_prefix_stays_at_its_upstream_one_request_above_the_bound(others, stays):
    requirements = routing.Requirements(prefix=77)
    idle = tuple(up(f"e{i}") for i in range(6))
    home = routing.AffinityChoice().choose(idle, requirements, random.Random(1)).name
    found = tuple(up(c.name, outstanding=2 if c.name == home else others) for c in idle)
    chosen = routing.AffinityChoice().choose(found, requirements, random.Random(1))
    assert (chosen.name == home) == stays


@pytest.mark.parametrize(
    ("found", "expected"),
    [
        ((up("a"), up("b")), "b"),
        ((up("a"), up("b", usable=False)), "a"),
        ((up("a"), up("b", outstanding=4)), None),
    ],
)
def test_excluded_upstream_is_used_only_if_no_other_is_usable(found, expected):
    requirements = routing.Requirements(exclude=frozenset("a"))
    chosen = routing.AffinityChoice().choose(found, requirements, random.Random(0))
    assert (chosen.name if chosen else None) == expected


def test_request_that_must_run_alone_gets_the_same_upstream_at_any_load():
    found = tuple(up(f"e{i}", outstanding=4) for i in range(3))
    first = routing.choose_for_exclusive_run(found, "f", routing.Requirements(alone=True))
    assert first == routing.choose_for_exclusive_run(found, "f", routing.Requirements(alone=True))
