import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.policy import batch, ownership

Action, Event = batch.Action, batch.Event


@pytest.mark.parametrize(
    ("event", "idempotent", "attempts", "expected"),
    [
        (Event.ANSWERED, True, 1, Action.KEEP_RESULT),
        (Event.ANSWERED, False, 1, Action.KEEP_RESULT),
        (Event.REJECTED, True, 1, Action.FINAL_ERROR),
        (Event.REJECTED, False, 1, Action.FINAL_ERROR),
        (Event.BUSY, True, 99, Action.RETRY_UNCOUNTED),
        (Event.BUSY, False, 1, Action.RETRY_UNCOUNTED),
        (Event.NOT_SENT, False, 1, Action.RETRY_UNCOUNTED),
        (Event.FAILED, True, 3, Action.RETRY),
        (Event.FAILED, True, 4, Action.FINAL_ERROR),
        (Event.FAILED, False, 1, Action.UNKNOWN),
        (Event.BROKEN, True, 1, Action.RETRY_UNCOUNTED),
        (Event.BROKEN, False, 1, Action.UNKNOWN),
        (Event.PREEMPTED, True, 0, Action.RETRY_UNCOUNTED),
        (Event.PREEMPTED, False, 0, Action.UNKNOWN),
        (Event.QUARANTINED, True, 1, Action.FINAL_ERROR),
        (Event.QUARANTINED, False, 0, Action.FINAL_ERROR),
    ],
)
def test_next_action_of_an_item(event, idempotent, attempts, expected):
    found = batch.next_action(event, idempotent=idempotent, attempts=attempts, max_attempts=4)
    assert found is expected


@given(event=st.sampled_from(Event), attempts=st.integers(0, 50))
def test_non_idempotent_item_that_was_sent_never_runs_again(event, attempts):
    action = batch.next_action(event, idempotent=False, attempts=attempts, max_attempts=4)
    if action in (Action.RETRY, Action.RETRY_UNCOUNTED):
        assert event in (Event.BUSY, Event.NOT_SENT)


@pytest.mark.parametrize(
    ("alone", "attempts", "expected"),
    [
        (0, 1, Event.BROKEN),
        (1, 3, Event.BROKEN),
        (2, 3, Event.QUARANTINED),
        (0, 12, Event.QUARANTINED),
    ],
)
def test_second_crash_alone_or_many_breaks_quarantine_an_item(alone, attempts, expected):
    assert batch.classify_break(alone, attempts, 4) is expected


@pytest.mark.parametrize(
    ("status", "expected"),
    [(200, Event.ANSWERED), (400, Event.REJECTED), (404, Event.REJECTED), (429, Event.BUSY),
     (503, Event.BUSY), (500, Event.FAILED), (502, Event.FAILED)],
)  # fmt: skip
def test_status_is_mapped_to_an_event(status, expected):
    assert batch.classify_status(status) is expected


def test_jobs_are_sorted_by_due_time_weighted_by_price():
    jobs = [
        batch.Candidate("late", 500.0, 1.0),
        batch.Candidate("soon", 200.0, 1.0),
        batch.Candidate("late-dear", 500.0, 10.0),
        batch.Candidate("overdue", 50.0, 1.0),
        batch.Candidate("overdue-dear", 90.0, 20.0),
    ]
    order = [job.name for job in batch.sort_by_urgency(jobs, 100.0)]
    assert order == ["overdue-dear", "overdue", "late-dear", "soon", "late"]


@pytest.mark.parametrize(
    ("ended", "started_at_s", "now_s", "due_at_s", "expected"),
    [
        (50, 100.0, 200.0, 400.0, False),
        (50, 100.0, 200.0, 299.0, True),
        (100, 100.0, 200.0, 200.0, False),
        (0, 0.0, 200.0, 203.0, False),
        (0, 0.0, 200.0, 201.0, True),
    ],
)
def test_job_that_may_miss_its_due_time_is_at_risk(ended, started_at_s, now_s, due_at_s, expected):
    pace = batch.JobProgress(100, ended, started_at_s, due_at_s)
    assert batch.is_at_risk(pace, now_s, item_s=0.02) is expected


NAMES = st.lists(
    st.text("abcdef0123", min_size=1, max_size=6), min_size=1, max_size=12, unique=True
)


@given(upstreams=NAMES, vms=NAMES)
def test_each_upstream_has_one_owner(upstreams, vms):
    shares = [ownership.list_owned(vm, upstreams, vms) for vm in vms]
    assert sorted(name for share in shares for name in share) == sorted(upstreams)


@given(upstreams=NAMES, vms=NAMES)
def test_lost_vm_moves_only_the_upstreams_it_owned(upstreams, vms):
    gone, *left = vms
    for name in upstreams:
        before = ownership.choose_owner(name, vms)
        if before != gone:
            assert ownership.choose_owner(name, left) == before
