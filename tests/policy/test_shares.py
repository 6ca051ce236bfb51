import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.policy import health, shares

DEMANDS = st.lists(st.tuples(st.integers(0, 40), st.booleans()), min_size=1, max_size=12).map(
    lambda pairs: tuple(shares.Demand(f"vm{i}", w, near) for i, (w, near) in enumerate(pairs))
)


@given(slots=st.integers(1, 64), demands=DEMANDS)
def test_shares_add_up_to_the_slots(slots, demands):
    told = shares.divide(slots, demands)
    assert set(told) == {d.vm for d in demands}
    local = [d.vm for d in demands if d.local]
    assert sum(told.values()) == max(slots, len(local))
    assert all(told[vm] >= 1 for vm in local)


@pytest.mark.parametrize(
    ("wanted", "told"),
    [
        ((0, 0, 0), (2, 3, 3)),
        ((8, 0, 0), (6, 1, 1)),
        ((20, 20, 0), (4, 3, 1)),
        ((1, 20, 20), (1, 4, 3)),
    ],
)
def test_slots_go_where_the_load_is(wanted, told):
    demands = tuple(shares.Demand(f"vm{i}", w) for i, w in enumerate(wanted))
    assert sorted(shares.divide(8, demands).values()) == sorted(told)


def test_own_failure_domain_goes_before_others():
    demands = (shares.Demand("near", 6), shares.Demand("far", 6, local=False))
    assert shares.divide(8, demands) == {"near": 6, "far": 2}


def test_vms_of_other_failure_domains_get_nothing_while_local_ones_want_all():
    near = tuple(shares.Demand(f"near{i}", 40) for i in range(3))
    far = tuple(shares.Demand(f"far{i}", 40, local=False) for i in range(6))
    told = shares.divide(16, near + far)
    assert sorted(told.values()) == [0] * 6 + [5, 5, 6]


@pytest.mark.parametrize(("vms", "share"), [(0, 8), (1, 8), (2, 4), (3, 3), (100, 1)])
def test_fallback_is_an_equal_part(vms, share):
    assert shares.fallback_share(8, vms, 6, local=True) == share


@pytest.mark.parametrize(
    ("local_vms", "other_vms", "share"), [(1, 2, 0), (0, 1, 2), (0, 2, 1), (0, 100, 1)]
)
def test_fallback_elsewhere_is_none_while_the_own_failure_domain_has_vms(
    local_vms, other_vms, share
):
    assert shares.fallback_share(8, local_vms, other_vms, local=False) == share


def test_backoff_doubles_and_failures_during_it_count_once():
    state = health.failed(health.HEALTHY, 0.0)
    assert not health.usable(state, 0.2)
    assert health.failed(state, 0.1) == state
    again = health.failed(state, 0.25)
    assert not health.usable(again, 0.7)
    assert health.usable(again, 0.75)
