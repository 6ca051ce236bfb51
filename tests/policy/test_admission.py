import pytest
import result
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade import errors
from cornelgrade.policy import admission

FAST = admission.Place(rank=0, deadline_s=10.0, number=5)
SLOW = admission.Place(rank=9, deadline_s=10.0, number=1)


def state(length=0, limit=4, ahead=0, served_per_s=1.0, last_place=None, **more):
    return admission.QueueState(length, limit, ahead, served_per_s, last_place, **more)


@pytest.mark.parametrize(
    ("place", "queue", "evicted"),
    [
        (FAST, state(), None),
        (SLOW, state(length=3, ahead=3), None),
        (SLOW, state(mean_duration_s=30.0), None),
        (FAST, state(length=4, last_place=SLOW), SLOW),
    ],
)
def test_request_that_can_be_served_in_time_is_admitted(place, queue, evicted):
    assert admission.decide(place, queue, 0.0) == result.Ok(admission.Enqueue(evicted))


@pytest.mark.parametrize(
    ("place", "queue"),
    [
        (SLOW, state(length=4, ahead=4, last_place=FAST)),
        (SLOW, state(length=2, ahead=2, served_per_s=0.1)),
        (SLOW, state(length=2, ahead=2, mean_duration_s=9.0)),
        (SLOW, state(length=3, ahead=3, higher_rank_share=0.5)),
    ],
)
def test_request_that_cannot_is_refused_as_not_run_with_a_retry_delay(place, queue):
    refusal = admission.decide(place, queue, 0.0).unwrap_err()
    assert refusal.code is errors.Code.OVERLOADED
    assert refusal.ran is errors.Ran.NO
    assert refusal.retry_after_s > 0


def test_order_is_priority_then_deadline_then_arrival():
    places = [
        admission.Place(1, 5.0, 1),
        admission.Place(0, 9.0, 2),
        admission.Place(0, 4.0, 3),
        admission.Place(0, 4.0, 0),
    ]
    assert [p.number for p in sorted(places)] == [0, 3, 2, 1]


@pytest.mark.parametrize(
    ("free", "mean_s", "now_s", "dropped"),
    [
        (0, 1.0, 5.0, []),
        (0, 1.0, 9.5, [0, 1]),
        (1, 1.0, 9.5, [0, 1]),
        (2, 1.0, 9.5, []),
        (2, 1.0, 10.0, [0, 1]),
    ],
)
def test_unservable_requests_are_dropped_unless_all_have_permits(free, mean_s, now_s, dropped):
    places = [admission.Place(rank, 10.0, rank) for rank in (0, 1)]
    found = admission.find_unservable(places, free, mean_s, now_s)
    assert [p.number for p in found] == dropped


@pytest.mark.parametrize(
    ("now_s", "code"), [(9.0, errors.Code.OVERLOADED), (10.0, errors.Code.DEADLINE)]
)
def test_dropped_request_is_refused_as_not_run_with_a_retry_delay(now_s, code):
    refusal = admission.make_timeout_refusal(SLOW, state(length=3), now_s)
    assert (refusal.code, refusal.ran) == (code, errors.Ran.NO)
    assert refusal.retry_after_s > 0


@pytest.mark.parametrize(
    ("seats", "top_share", "kept"), [(16, 0.1, 4), (16, 0.0, 0), (3, 0.1, 0), (4, 0.1, 1)]
)
def test_permits_are_reserved_for_the_top_rank_while_it_is_used(seats, top_share, kept):
    assert admission.reserved_permits(seats, top_share) == kept


@given(st.lists(st.integers(0, 3), max_size=300))
def test_shares_of_the_ranks_add_up_to_at_most_one(ranks):
    shares = {}
    for rank in ranks:
        shares = admission.record_sent(shares, rank)
    assert 0.0 <= admission.higher_rank_share(shares, 99) <= 1.0 + 1e-9
    assert admission.higher_rank_share(shares, 0) == 0.0
