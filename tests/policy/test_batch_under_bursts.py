"""Batch items beside bursts of online requests, as in a normal day's load.

Online traffic alternates between a third and nearly twice its mean every few seconds. Batch items
fill the phases of low load. In a burst, an item is preempted whenever the last free slot is taken,
so that no online request waits for one, and no item is started that would be cancelled right away.
"""

import pytest

from cornelgrade.policy import batch_capacity

SLOTS = 8


def use(online: int, batch: int, **more) -> batch_capacity.UpstreamLoad:
    return batch_capacity.UpstreamLoad(**{"slots": SLOTS, "online": online, "batch": batch, **more})


@pytest.mark.parametrize(
    ("seen", "change"),
    [
        (use(0, 0), 8),
        (use(2, 0), 6),
        (use(2, 5), 1),
        (use(2, 6), 0),
        (use(2, 7), -1),
        (use(3, 5), -1),
        (use(8, 5), -5),
        (use(9, 0), 0),
        (use(2, 0, online_peak=6), 1),
        (use(2, 5, online_peak=6), 0),
    ],
)
def test_one_slot_stays_free_for_the_next_online_request(seen, change):
    assert batch_capacity.items_to_start(seen) == change


@pytest.mark.parametrize(
    ("seen", "change"),
    [
        (use(0, 0, heard=False), 0),
        (use(0, 0, heard=False, reported=3), 4),
        (use(0, 4, heard=False, reported=6), -3),
        (use(2, 4, reported=6, reported_waiting=0), 2),
        (use(2, 4, reported=6, reported_waiting=2), -3),
    ],
)
def test_upstream_load_report_is_used_if_gateway_reports_are_missing(seen, change):
    assert batch_capacity.items_to_start(seen) == change


def test_burst_never_waits_for_batch_and_few_items_are_cancelled():
    """Ten periods of low load, with one online request, and high load, with six."""
    batch = started = cancelled = 0
    recent: list[int] = []
    for step in range(400):
        online = 6 if step % 40 >= 20 else 1
        recent = [*recent[-3:], online]
        change = batch_capacity.items_to_start(use(online, batch, online_peak=max(recent)))
        batch += change
        started += max(0, change)
        cancelled += max(0, -change)
        assert online + batch <= SLOTS - (batch_capacity.SPARE_SLOTS if max(recent) > 2 else 0)
    assert cancelled <= 10 * 6
    assert started <= cancelled + 6


def test_resumable_item_is_preempted_before_one_that_would_start_over():
    fresh = batch_capacity.RunningItem("j", 1, started_s=9.0, events=0, due_s=50.0)
    young = batch_capacity.RunningItem("j", 2, started_s=5.0, events=3, due_s=50.0)
    old = batch_capacity.RunningItem("j", 3, started_s=1.0, events=80, due_s=50.0)
    late = batch_capacity.RunningItem("j", 4, started_s=0.0, events=80, due_s=9.0)
    assert batch_capacity.choose_preempted([fresh, young, old], 10.0) == young
    assert batch_capacity.choose_preempted([fresh, young, old, late], 10.0) == late
    assert batch_capacity.choose_preempted([fresh], 10.0) == fresh
    assert batch_capacity.choose_preempted([], 10.0) is None


def test_earliest_due_job_comes_first_and_one_past_its_due_time_last():
    waiting = [
        batch_capacity.WaitingItem("late", 0, due_s=5.0),
        batch_capacity.WaitingItem("next", 0, due_s=20.0),
        batch_capacity.WaitingItem("soon", 0, due_s=12.0),
    ]
    ordered = batch_capacity.sort_waiting(waiting, "vm", now_s=10.0)
    assert [w.job for w in ordered] == ["soon", "next", "late"]


# Guards against events that are lost because items begun in a valley of the load wait, after a peak
# interrupted them, behind items of earlier jobs.
def test_interrupted_items_come_first_unless_they_would_be_late():
    waiting = [
        batch_capacity.WaitingItem("early", 0, due_s=20.0, remaining_s=5.0),
        batch_capacity.WaitingItem("begun", 0, due_s=25.0, remaining_s=2.0, has_progress=True),
        batch_capacity.WaitingItem("hopeless", 0, due_s=11.0, remaining_s=2.0, has_progress=True),
    ]
    ordered = batch_capacity.sort_waiting(waiting, "vm", now_s=10.0)
    assert [w.job for w in ordered] == ["begun", "early", "hopeless"]


# Guards against peaks of online load that cancel the items that are nearly finished.
def test_item_with_the_least_progress_is_preempted():
    resumed = batch_capacity.RunningItem("j", 1, started_s=9.0, events=120, due_s=50.0)
    begun = batch_capacity.RunningItem("j", 2, started_s=5.0, events=10, due_s=50.0)
    assert batch_capacity.choose_preempted([resumed, begun], 10.0) == begun


# Guards against items that are begun although interruptions will make them late.
def test_remaining_time_includes_interruptions():
    pace = batch_capacity.Pace()
    for _ in range(100):
        pace = pace.update(events=100, received_events=100, took_s=4.0, interrupted_s=4.0)
    assert pace.remaining_s(50) == pytest.approx(4.0, rel=0.01)


def test_workers_start_with_different_items_of_a_job():
    waiting = [batch_capacity.WaitingItem("j", n, 20.0) for n in range(12)]
    firsts = {batch_capacity.sort_waiting(waiting, f"vm-{n}", 10.0)[0].index for n in range(4)}
    assert len(firsts) > 1


def test_overload_delays_few_items_rather_than_all():
    """Overload: one slot; an item of 5 s, due 18 s after its arrival, arrives every 4 s."""
    now_s, done_in_time, waiting, arrived = 0.0, 0, [], 0
    while now_s < 200.0:
        while arrived * 4.0 <= now_s:
            waiting.append(
                batch_capacity.WaitingItem(
                    "j", arrived, due_s=arrived * 4.0 + 18.0, remaining_s=5.0
                )
            )
            arrived += 1
        first = batch_capacity.sort_waiting(waiting, "vm", now_s)[0]
        waiting.remove(first)
        now_s += 5.0
        done_in_time += now_s <= first.due_s
    assert done_in_time >= 38


def test_remaining_time_is_estimated_from_completed_items():
    pace = batch_capacity.Pace()
    assert pace.remaining_s(0) == 0.0
    for _ in range(50):
        pace = pace.update(events=200, received_events=50, took_s=1.0)
    assert pace.remaining_s(0) == pytest.approx(4.0)
    assert pace.remaining_s(150) == pytest.approx(1.0)
    assert pace.remaining_s(500) == 0.0


# Guards against a scheduling pass whose cost grows with the number of earlier passes.
def test_recent_peak_keeps_only_what_can_still_be_the_maximum():
    peak = batch_capacity.RecentPeak()
    for number in range(1000):
        assert peak.update(5, number * 0.0001) == 5
    assert peak.update(3, 0.2) == 5
    assert peak.update(4, 0.3) == 5
    assert peak.update(2, 0.1 + batch_capacity.PEAK_WINDOW_S) == 4
    assert peak.update(2, 0.3 + batch_capacity.PEAK_WINDOW_S + 0.01) == 2
