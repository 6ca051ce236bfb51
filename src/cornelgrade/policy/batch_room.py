"""How many batch items an upstream runs beside its online requests, and which go next."""

import dataclasses

from cornelgrade.policy import rendezvous

# Slots kept free for the next online request while online requests are many: an upstream takes some
# tens of milliseconds to drop an item, so one gives way as soon as the last free slot is taken, not
# when the next request waits.
SPARE_SLOTS = 1
# Below this share of the slots online requests come so seldom that the next one can wait for an
# item to be dropped and still be on time.
LOW_LOAD_SHARE = 0.25
# Items are started beside the highest online load of this time: one that is cancelled right after
# its start has cost a prompt for nothing.
PEAK_S = 0.5


# How much the last completed item counts in the pace: about ten items make it.
ESTIMATE_WEIGHT = 0.1


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


def competing_requests(use: Use) -> int | None:
    """Count the requests that batch has to make room for, ``None`` if nothing is known.

    The gateways' word is fresh, so it goes before the upstream's own; but where requests wait,
    someone was not heard.
    """
    if use.reported is not None and (use.reported_waiting or not use.heard):
        return max(use.online, use.reported)
    return use.online if use.heard else None


def change(use: Use) -> int:
    """Say how many items to start (positive) or to cancel (negative)."""
    online = competing_requests(use)
    if online is None:
        return 0
    busiest = max(online, use.peak)
    slots = use.slots - (SPARE_SLOTS if busiest > use.slots * LOW_LOAD_SHARE else 0)
    free = slots - online - use.batch
    if free < 0:
        return max(free, -use.batch)
    return max(0, slots - busiest - use.batch)


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An item that runs.

    :param events: those it has brought so far in all its runs.
    :param due_s: Unix time at which its job is due.
    """

    job: str
    index: int
    started_s: float
    events: int
    due_s: float


def gives_way(running: list[Running], now_s: float) -> Running | None:
    """Choose the item to cancel.

    One that can go on from its last event goes before one that would begin anew, whose prompt was
    read for nothing. Of these the one that is late anyway goes first, then the youngest.

    :param now_s: Unix time.
    """
    return max(running, key=lambda r: (r.events > 0, r.due_s < now_s, r.started_s), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """An item that waits for a slot.

    :param due_s: Unix time at which its job is due.
    :param needs_s: time that it will take to end.
    :param begun: this VM has a part of it from an earlier run.
    """

    job: str
    index: int
    due_s: float
    needs_s: float = 0.0
    has_progress: bool = False


def order(waiting: list[Waiting], vm: str, now_s: float) -> list[Waiting]:
    """Put items in the order in which this VM starts them.

    Earliest due first. Items that can't be done in time any more come last: run before others they
    would make these late too, one after the other. VMs begin with different items of a job, so that
    two seldom start the same one.

    :param now_s: Unix time.
    """
    return sorted(
        waiting,
        key=lambda w: (
            now_s + w.needs_s > w.due_s,
            w.due_s,
            w.job,
            not w.has_progress,
            -rendezvous.score(f"{w.job}/{w.index}", vm),
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How long items take, learnt from those that completed.

    :param events: of a whole item.
    :param event_s: time between two events.
    """

    events: float = 0.0
    event_s: float = 0.0

    def needs_s(self, events: int) -> float:
        """Estimate the time that an item needs which has brought ``events`` so far."""
        return max(0.0, self.events - events) * self.event_s

    def learn(self, events: int, brought: int, took_s: float) -> "Pace":
        """Take in a run that completed an item.

        :param events: of the whole item.
        :param brought: those that this run brought, in ``took_s``.
        """
        event_s = took_s / max(1, brought)
        if not self.events:
            return Pace(events, event_s)
        return Pace(
            self.events + ESTIMATE_WEIGHT * (events - self.events),
            self.event_s + ESTIMATE_WEIGHT * (event_s - self.event_s),
        )
