"""How many batch items an upstream runs beside its online requests, and which go next."""

import dataclasses

from cornelgrade.policy import rendezvous

# Slots kept free for the next online request: an upstream takes some tens of milliseconds to drop
# an item, so one gives way as soon as the last free slot is taken, not when the next request waits.
SPARE_SLOTS = 1
# Items are started beside the highest online load of this time: one that is cancelled right after
# its start has cost a prompt for nothing.
PEAK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What is known of an upstream.

    :param online: online requests there, as the gateways tell.
    :param peak: the most of them within :data:`PEAK_S`.
    :param batch: batch items that this VM runs there.
    :param heard: whether any gateway told its load lately.
    :param reported: requests there that this VM did not send, by the upstream's own late report;
        ``None`` if there is no fresh one.
    :param reported_waiting: requests that wait there by the same report.
    """

    slots: int
    online: int
    batch: int
    peak: int = 0
    heard: bool = True
    reported: int | None = None
    reported_waiting: int = 0


def others(use: Use) -> int | None:
    """Count the requests that batch has to make room for, ``None`` if nothing is known.

    The gateways' word is fresh, so it goes before the upstream's own; but where requests wait,
    someone was not heard.
    """
    if use.reported is not None and (use.reported_waiting or not use.heard):
        return max(use.online, use.reported)
    return use.online if use.heard else None


def change(use: Use) -> int:
    """Say how many items to start (positive) or to cancel (negative)."""
    online = others(use)
    if online is None:
        return 0
    free = use.slots - SPARE_SLOTS - online - use.batch
    if free < 0:
        return max(free, -use.batch)
    return max(0, use.slots - SPARE_SLOTS - max(online, use.peak) - use.batch)


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An item that runs.

    :param events: those it has brought so far in all its runs.
    """

    job: str
    index: int
    started_s: float
    events: int


def gives_way(running: list[Running]) -> Running | None:
    """Choose the item to cancel: one that can go on from its last event, the youngest of them.

    One without an event would begin anew, so that its prompt was read for nothing.
    """
    return max(running, key=lambda r: (r.events > 0, r.started_s), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """An item that waits for a slot.

    :param due_s: Unix time at which its job is due.
    """

    job: str
    index: int
    due_s: float


def order(waiting: list[Waiting], vm: str, now_s: float) -> list[Waiting]:
    """Put items in the order in which this VM starts them.

    Earliest due first; jobs past their due time come last, since their worth is mostly gone. VMs
    begin with different items of a job, so that two seldom start the same one.
    """
    return sorted(
        waiting,
        key=lambda w: (
            w.due_s < now_s,
            w.due_s,
            w.job,
            -rendezvous.score(f"{w.job}/{w.index}", vm),
        ),
    )
