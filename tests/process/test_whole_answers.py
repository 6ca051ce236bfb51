"""Callers get the whole answer to their own question, whatever breaks on the way to an engine."""

import concurrent.futures
import time

import pytest
from tests.process import harness, load

TOKENS = 40
CALLERS = 12
SPEED = {"step_s": 0.02, "slots": 8}
GAP_BOUND_S = 1.0


@pytest.fixture
def fleet():
    policy = {"online": {"first_token_timeout_s": 1.0, "token_gap_timeout_s": GAP_BOUND_S}}
    with harness.Fleet(
        engines=3, workers=False, engine=SPEED, proxied=True, manifest=policy
    ) as made:
        yield made


def ask_and_break(fleet, switch) -> list[load.Told]:
    """Start streams, let a fault happen in their midst, and gather what callers were told."""
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        asked = pool.submit(load.many, fleet, CALLERS, TOKENS)
        time.sleep(0.5)
        switch(fleet)
        return asked.result()


def assert_whole(told: list[load.Told]) -> None:
    for one in told:
        assert one.ended, one
        assert "".join(one.tokens) == load.expected(one.prompt, TOKENS)


@pytest.mark.parametrize(
    ("name", "switches"),
    [
        ("engine-0", {"crash": True, "restart_s": 60}),
        ("engine-0-proxy", {"cut": True}),
        ("engine-0", {"truncate_after": 5}),
    ],
    ids=["engine dies", "connections reset", "answers truncated"],
)
def test_broken_streams_go_on_without_a_missing_or_doubled_token(fleet, name, switches):
    told = ask_and_break(fleet, lambda made: made.switch(name, **switches))
    assert_whole(told)


@pytest.mark.parametrize(
    ("name", "switches"),
    [
        ("engine-0-proxy", {"freeze": True}),
        ("engine-0-proxy", {"lose": "down"}),
        ("engine-0", {"silence": True}),
    ],
    ids=["connections freeze", "answers vanish", "engine falls silent on open connections"],
)
def test_silent_connection_is_left_within_a_second_of_its_bound(fleet, name, switches):
    told = ask_and_break(fleet, lambda made: made.switch(name, **switches))
    assert_whole(told)
    assert max(one.longest_gap_s for one in told) < GAP_BOUND_S + 1.0


def test_idle_connection_that_went_silent_does_not_hold_a_later_question(fleet):
    load.many(fleet, CALLERS, 2)
    for engine in range(3):
        fleet.switch(f"engine-{engine}-proxy", freeze=True)
    told = load.many(fleet, CALLERS, TOKENS)
    assert_whole(told)
    assert max(one.longest_gap_s for one in told) < 2.0


def test_stream_that_cannot_go_on_ends_with_an_explicit_error(fleet):
    def all_die(made):
        for engine in range(3):
            made.switch(f"engine-{engine}", crash=True, restart_s=60)

    told = ask_and_break(fleet, all_die)
    for one in told:
        assert not one.ended
        assert one.error is not None, one
        assert one.error["ran"] in ("yes", "unknown", "no")
