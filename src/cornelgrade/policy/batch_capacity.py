"""How many batch items an upstream runs beside its online requests, and which run next."""

import collections
from collections.abc import Mapping

import msgspec

from cornelgrade.policy import fair_queue, rendezvous

# Slots kept free for the next online request above LOW_LOAD_SHARE. An upstream takes tens of
# milliseconds to cancel an item, so an item is preempted as soon as the last free slot is taken
# rather than when the next request is already waiting.
SPARE_SLOTS = 1
# Below this share of the slots, online requests are so rare that the next one can wait for an item
# to be cancelled and still be on time.
LOW_LOAD_SHARE = 0.25
# Items are started only beside the highest online load of this window: an item cancelled right
# after its start wastes the processing of its prompt.
PEAK_WINDOW_S = 0.5
# Weight of the last completed item in the moving averages, which span about ten items.
ESTIMATE_WEIGHT = 0.1
_MIN_RUN_S = 1e-3


class RecentPeak:
    """Maximum of a load over the last :data:`PEAK_WINDOW_S`.

    Keeps only the loads that may still become the maximum: newer ones that are lower.
    """

    def __init__(self) -> None:
        self._loads: collections.deque[tuple[float, int]] = collections.deque()

    def update(self, load: int, now_s: float) -> int:
        """Record the load that holds now and return the maximum."""
        loads = self._loads
        while loads and loads[-1][1] <= load:
            loads.pop()
        loads.append((now_s, load))
        while now_s - loads[0][0] > PEAK_WINDOW_S:
            loads.popleft()
        return loads[0][1]


class UpstreamLoad(msgspec.Struct, frozen=True):
    """Load of an upstream.

    :param online: online requests there, as published by the gateways.
    :param batch: batch items that this VM runs there.
    :param online_peak: maximum of ``online`` within :data:`PEAK_WINDOW_S`.
    :param heard: whether any gateway published its load recently.
    :param reported: requests there that this VM did not send, from the upstream's own delayed load
        report; ``None`` if there is no recent one.
    :param reported_waiting: requests waiting there, from the same report.
    """

    slots: int
    online: int
    batch: int
    online_peak: int = 0
    heard: bool = True
    reported: int | None = None
    reported_waiting: int = 0


def competing_requests(use: UpstreamLoad) -> int | None:
    """Count the requests that take precedence over batch items, ``None`` if the load is unknown.

    The gateways' load reports are newer than the upstream's, so they are preferred. Requests
    waiting at the upstream, however, show that some gateway's report is missing.
    """
    if use.reported is not None and (use.reported_waiting or not use.heard):
        return max(use.online, use.reported)
    return use.online if use.heard else None


def items_to_start(use: UpstreamLoad) -> int:
    """Return how many items to start (positive) or to cancel (negative)."""
    online = competing_requests(use)
    if online is None:
        return 0
    busiest = max(online, use.online_peak)
    slots = use.slots - (SPARE_SLOTS if busiest > use.slots * LOW_LOAD_SHARE else 0)
    free = slots - online - use.batch
    if free < 0:
        return max(free, -use.batch)
    return max(0, slots - busiest - use.batch)


class RunningItem(msgspec.Struct, frozen=True):
    """A running batch item.

    :param events: events received so far, in all its runs.
    :param due_s: Unix time at which its job is due.
    """

    job: str
    index: int
    started_s: float
    events: int
    due_s: float


def choose_preempted(running: list[RunningItem], now_s: float) -> RunningItem | None:
    """Choose the item to cancel.

    An item that can resume from its last event is preferred to one that would start over and have
    its prompt processed again. Among these, one past its due time comes first, then the one with
    the least progress, so that an item that is nearly finished isn't cancelled.

    :param now_s: Unix time.
    """
    return max(
        running,
        key=lambda r: (r.events > 0, r.due_s < now_s, -r.events, r.started_s),
        default=None,
    )


class WaitingItem(msgspec.Struct, frozen=True):
    """A batch item waiting for a slot.

    :param due_s: Unix time at which its job is due.
    :param remaining_s: estimated time to complete it.
    :param has_progress: this VM holds part of its result from an earlier run.
    :param team: whose job it is part of, empty if none.
    :param rank: its team's priority or, without one, its route's; 0 is the most urgent.
    :param order: its place among the items of its job at this VM, ascending. Items at equal
        places are in an order that differs between VMs.
    """

    job: str
    index: int
    due_s: float
    remaining_s: float = 0.0
    has_progress: bool = False
    team: str = ""
    rank: int = 0
    order: tuple[int, int] = (0, 0)


class TeamItems(msgspec.Struct, frozen=True):
    """Batch slots that teams use, at all workers.

    :param usage: slots that each team uses, the larger of now and the average of the last seconds.
    :param capacity: slots in use now and free ones.
    """

    usage: Mapping[str, float]
    capacity: float


NO_TEAMS = TeamItems({}, 0.0)


def sort_waiting(
    waiting: list[WaitingItem], vm: str, now_s: float, teams: TeamItems = NO_TEAMS
) -> list[WaitingItem]:
    """Sort items in the order in which this VM starts them, earliest due first.

    Items that can no longer be completed in time come last: run first, they would make each of the
    others late too. Items that were interrupted come first, since what was done for them is lost if
    they end late. VMs start with different items of a job, so two rarely start the same one.

    With teams, the most urgent ranks come first among items that can be completed in time. Among
    items of equal rank, those by which a team
    would exceed its max-min fair share come after all others, in the order of what it uses then.

    :param now_s: Unix time.
    """
    ordered = _sort_by_due_time(waiting, vm, now_s)
    if len({(entry.team, entry.rank) for entry in waiting}) < 2 and len(teams.usage) < 2:
        return ordered
    return _sort_by_share(ordered, teams, now_s)


def _sort_by_share(ordered: list[WaitingItem], teams: TeamItems, now_s: float) -> list[WaitingItem]:
    """Sort items by rank, then by how far they exceed their team's share; ties keep the order."""
    demands: dict[str, float] = dict(teams.usage)
    for entry in ordered:
        demands[entry.team] = demands.get(entry.team, 0.0) + 1
    level = fair_queue.fair_level(demands.values(), teams.capacity)
    used: dict[str, float] = dict(teams.usage)
    keys: dict[tuple[str, int], tuple[bool, int, float]] = {}
    for entry in sorted(ordered, key=lambda e: e.rank):
        used[entry.team] = used.get(entry.team, 0.0) + 1
        excess = max(0.0, used[entry.team] - level)
        keys[entry.job, entry.index] = (_is_late(entry, now_s), entry.rank, excess)
    return sorted(ordered, key=lambda e: keys[e.job, e.index])


def _is_late(entry: WaitingItem, now_s: float) -> bool:
    return now_s + entry.remaining_s > entry.due_s


def _sort_by_due_time(waiting: list[WaitingItem], vm: str, now_s: float) -> list[WaitingItem]:
    return sorted(
        waiting,
        key=lambda w: (
            _is_late(w, now_s),
            not w.has_progress,
            w.due_s,
            w.job,
            w.order,
            -rendezvous.score(f"{w.job}/{w.index}", vm),
        ),
    )


class Pace(msgspec.Struct, frozen=True):
    """Moving averages over completed items, used to estimate how long an item takes.

    :param events: events of a complete item.
    :param event_s: time between two events of a run.
    :param stretch: ratio of the time from an item's first start to its end, interruptions
        included, to the time for which it ran.
    """

    events: float = 0.0
    event_s: float = 0.0
    stretch: float = 1.0

    def remaining_s(self, events: int) -> float:
        """Estimate the time to complete an item that has produced ``events`` so far."""
        return max(0.0, self.events - events) * self.event_s * self.stretch

    def update(
        self, events: int, received_events: int, took_s: float, interrupted_s: float = 0.0
    ) -> "Pace":
        """Return the averages updated with a run that completed an item.

        :param events: events of the complete item.
        :param received_events: events that this run produced in ``took_s``.
        :param interrupted_s: time since the item's first start for which it didn't run.
        """
        event_s = took_s / max(1, received_events)
        stretch = 1.0 + max(0.0, interrupted_s) / max(_MIN_RUN_S, events * event_s)
        if not self.events:
            return Pace(events, event_s, stretch)
        return Pace(
            self.events + ESTIMATE_WEIGHT * (events - self.events),
            self.event_s + ESTIMATE_WEIGHT * (event_s - self.event_s),
            self.stretch + ESTIMATE_WEIGHT * (stretch - self.stretch),
        )
