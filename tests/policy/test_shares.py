import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.policy import health, shares

DEMANDS = st.lists(st.tuples(st.integers(0, 40), st.booleans()), min_size=1, max_size=12).map(
    lambda pairs: tuple(shares.Demand(f"vm{i}", w, near) for i, (w, near) in enumerate(pairs))
)


@given(slots=st.integers(1, 64), demands=DEMANDS)
def test_shares_add_up_to_the_slots(slots, demands):
    granted = shares.divide_slots(slots, demands)
    assert set(granted) == {d.vm for d in demands}
    local = [d.vm for d in demands if d.local]
    assert sum(granted.values()) == max(slots, len(local))
    assert all(granted[vm] >= 1 for vm in local)


@pytest.mark.parametrize(
    ("wanted", "granted"),
    [
        ((0, 0, 0), (2, 3, 3)),
        ((8, 0, 0), (6, 1, 1)),
        ((20, 20, 0), (4, 3, 1)),
        ((1, 20, 20), (1, 4, 3)),
    ],
)
def test_slots_follow_demand(wanted, granted):
    demands = tuple(shares.Demand(f"vm{i}", w) for i, w in enumerate(wanted))
    assert sorted(shares.divide_slots(8, demands).values()) == sorted(granted)


def test_own_failure_domain_takes_precedence():
    demands = (shares.Demand("near", 6), shares.Demand("far", 6, local=False))
    assert shares.divide_slots(8, demands) == {"near": 6, "far": 2}


def test_other_failure_domains_get_nothing_while_local_demand_takes_all():
    near = tuple(shares.Demand(f"near{i}", 40) for i in range(3))
    far = tuple(shares.Demand(f"far{i}", 40, local=False) for i in range(6))
    granted = shares.divide_slots(16, near + far)
    assert sorted(granted.values()) == [0] * 6 + [5, 5, 6]


@pytest.mark.parametrize(("vms", "share"), [(0, 8), (1, 8), (2, 4), (3, 3), (100, 1)])
def test_local_fallback_is_an_equal_share(vms, share):
    assert shares.fallback_share(8, vms, 6, local=True) == share


@pytest.mark.parametrize(
    ("local_vms", "other_vms", "share"), [(1, 2, 0), (0, 1, 2), (0, 2, 1), (0, 100, 1)]
)
def test_remote_fallback_is_zero_while_the_upstreams_domain_has_vms(local_vms, other_vms, share):
    assert shares.fallback_share(8, local_vms, other_vms, local=False) == share


def test_remote_fallback_is_small_if_demand_is_unanswered():
    assert shares.fallback_share(8, 3, 2, local=False, unanswered=True) == 1
    assert shares.fallback_share(64, 3, 2, local=False, unanswered=True) == 8


def test_backoff_doubles_and_ignores_failures_during_it():
    state = health.record_failure(health.HEALTHY, 0.0)
    assert not health.is_usable(state, 0.2)
    assert health.record_failure(state, 0.1) == state
    again = health.record_failure(state, 0.25)
    assert not health.is_usable(again, 0.7)
    assert health.is_usable(again, 0.75)
