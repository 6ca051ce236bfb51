"""The load of a day: bursts of online requests every few seconds beside batch items.

Online traffic changes between a third and nearly twice its mean every few seconds. Batch fills the
calm phases; in a burst an item leaves as each last free slot is taken, so that no online request
waits for one, and none is started that the next moment would cancel.
"""

import pytest

from cornelgrade.policy import batch_room

SLOTS = 8


def use(online: int, batch: int, **more) -> batch_room.Use:
    return batch_room.Use(**{"slots": SLOTS, "online": online, "batch": batch, **more})


@pytest.mark.parametrize(
    ("seen", "change"),
    [
        (use(0, 0), 7),
        (use(2, 0), 5),
        (use(2, 5), 0),
        (use(3, 5), -1),
        (use(8, 5), -5),
        (use(9, 0), 0),
        (use(2, 0, peak=6), 1),
        (use(2, 5, peak=6), 0),
    ],
)
def test_one_slot_stays_free_for_the_next_online_request(seen, change):
    assert batch_room.change(seen) == change


@pytest.mark.parametrize(
    ("seen", "change"),
    [
        (use(0, 0, heard=False), 0),
        (use(0, 0, heard=False, reported=3), 4),
        (use(0, 4, heard=False, reported=6), -3),
        (use(2, 4, reported=6, reported_waiting=0), 1),
        (use(2, 4, reported=6, reported_waiting=2), -3),
    ],
)
def test_upstreams_own_word_counts_where_gateways_were_not_heard(seen, change):
    assert batch_room.change(seen) == change


def test_burst_never_waits_for_batch_and_batch_is_not_started_in_vain():
    """Ten periods of a calm and a busy phase, one online request more or less a step."""
    batch = started = cancelled = 0
    recent: list[int] = []
    for step in range(400):
        online = 6 if step % 40 >= 20 else 1
        recent = [*recent[-3:], online]
        change = batch_room.change(use(online, batch, peak=max(recent)))
        batch += change
        started += max(0, change)
        cancelled += max(0, -change)
        assert online + batch <= SLOTS - batch_room.SPARE_SLOTS
    assert cancelled <= 10 * 5
    assert started <= cancelled + 6


def test_item_with_progress_gives_way_before_one_that_would_begin_anew():
    fresh = batch_room.Running("j", 1, started_s=9.0, events=0)
    young = batch_room.Running("j", 2, started_s=5.0, events=3)
    old = batch_room.Running("j", 3, started_s=1.0, events=80)
    assert batch_room.gives_way([fresh, young, old]) == young
    assert batch_room.gives_way([fresh]) == fresh
    assert batch_room.gives_way([]) is None


def test_earliest_due_job_goes_first_and_one_past_its_time_last():
    waiting = [
        batch_room.Waiting("late", 0, due_s=5.0),
        batch_room.Waiting("next", 0, due_s=20.0),
        batch_room.Waiting("soon", 0, due_s=12.0),
    ]
    ordered = batch_room.order(waiting, "vm", now_s=10.0)
    assert [w.job for w in ordered] == ["soon", "next", "late"]


def test_workers_begin_with_different_items_of_a_job():
    waiting = [batch_room.Waiting("j", n, 20.0) for n in range(12)]
    firsts = {batch_room.order(waiting, f"vm-{n}", 10.0)[0].index for n in range(4)}
    assert len(firsts) > 1
