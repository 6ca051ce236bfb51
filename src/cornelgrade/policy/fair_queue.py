"""Fair queueing among teams: who gets the next slot, and who is over its max-min fair share.

A team's usage is counted in slots: the number that its requests or items occupy, averaged over the
last seconds. Callers without a team count together as one team.
"""

import math
from collections.abc import Hashable, Iterable, Mapping
from typing import Generic, TypeVar

import msgspec
import xxhash

# Time constant of the average number of slots in use: some requests of a team, so that a short
# burst hardly counts, and short beside a peak of the load.
USAGE_SPAN_S = 1.0
# Averages below this are dropped, so that the state is bounded by the teams that are active.
MIN_USAGE_SLOTS = 0.01
# Share of the slots from which capacity counts as short. Marking teams earlier than that costs them
# nothing while slots are free.
CONTENDED_SHARE = 0.8
# Requests of a team that is over its share are refused early with a probability that grows from 0
# to 1 while the online requests at a service's upstreams grow from the first to the second of these
# shares of the slots. Gateways know the load with a delay, in which a hot team alone would fill the
# upstreams' queues, so a rule by free places comes too late. The second one is reached when each of
# a few upstreams with 8 slots has one waiting request, the most that is sent knowingly.
EARLY_REFUSAL_FROM = 0.95
EARLY_REFUSAL_TO = 1.125
# Weight of the last request in the moving average of slot time.
ESTIMATE_WEIGHT = 0.1
# Slot time of a request before any has completed, in seconds.
INITIAL_SLOT_TIME_S = 0.5
_ID_MASK = 0xFFFFFFFF
K = TypeVar("K", bound=Hashable)


def team_id(team: str) -> int:
    """Return the 32-bit number by which datagrams name a team; 0 for callers without a team.

    Teams that share a number count as one. Among 2,000 teams the probability that any two do is
    under 1 in 2,000.
    """
    return max(1, xxhash.xxh3_64_intdigest(team.encode()) & _ID_MASK) if team else 0


class SlotUsage(Generic[K]):
    """Average number of slots in use by each team over the last :data:`USAGE_SPAN_S`."""

    def __init__(self, span_s: float = USAGE_SPAN_S) -> None:
        self._span_s = span_s
        self._in_use: dict[K, int] = {}
        self._averages: dict[K, float] = {}
        self._updated_s: float | None = None

    def update(self, in_use: Mapping[K, int], now_s: float) -> Mapping[K, float]:
        """Record how many slots each team uses from now on; return the averages.

        :param in_use: positive numbers.
        """
        if self._updated_s is not None:
            kept = math.exp(-max(0.0, now_s - self._updated_s) / self._span_s)
            for team in {*self._averages, *self._in_use}:
                used = self._in_use.get(team, 0)
                self._averages[team] = used + kept * (self._averages.get(team, 0.0) - used)
        self._in_use = dict(in_use)
        self._updated_s = now_s
        self._averages = {
            team: average
            for team, average in self._averages.items()
            if average >= MIN_USAGE_SLOTS or team in in_use
        }
        return self._averages


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share: the most that a team may have if all get the same at most.

    :returns: infinity if the capacity suffices for all demands.
    """
    left = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        share = left / (len(ordered) - index)
        if demand > share:
            return max(0.0, share)
        left -= demand
    return math.inf


def list_over_share(usage: Mapping[K, float], in_use: int, slots: int) -> frozenset[K]:
    """Return the teams that use more than their fair share while capacity is short.

    A team that is alone is never among them.

    :param usage: slots used by each team, averaged.
    :param in_use: slots that all teams use now, so that a sudden load counts at once.
    :param slots: of all upstreams concerned.
    """
    used_slots = sum(usage.values())
    if len(usage) < 2 or max(used_slots, in_use) < CONTENDED_SHARE * slots:
        return frozenset()
    level = fair_level(usage.values(), CONTENDED_SHARE * min(used_slots, slots))
    return frozenset(team for team, used in usage.items() if used > level)


def early_refusal_probability(occupancy: float) -> float:
    """Return the probability with which a request of a team over its share is refused at once.

    :param occupancy: online requests at the upstreams of its service, as a share of their slots.
    """
    part = (occupancy - EARLY_REFUSAL_FROM) / (EARLY_REFUSAL_TO - EARLY_REFUSAL_FROM)
    return min(1.0, max(0.0, part))


class Verdict(msgspec.Struct, frozen=True):
    """What one batch owner reported about the teams at its upstreams of a service.

    :param over_share: ids of the teams that are over their share.
    :param upstreams: number of upstreams that the report covers.
    """

    over_share: frozenset[int]
    upstreams: int = 1


def is_over_share(team: int, verdicts: Iterable[Verdict]) -> bool:
    """Return whether a team is over its share at most of the upstreams of a service.

    Each owner sees a sample of the slots, so that one of them alone may be wrong.
    """
    balance = 0
    for verdict in verdicts:
        balance += verdict.upstreams if team in verdict.over_share else -verdict.upstreams
    return balance > 0


class _Flow(msgspec.Struct):
    """Requests of one team.

    :ivar finish: start tag of its next request, unless the virtual time is later.
    :ivar last_start: the start tag assigned last.
    :ivar pending: requests that wait or occupy a slot.
    """

    finish: float = 0.0
    last_start: float = 0.0
    pending: int = 0


class StartTag(msgspec.Struct, frozen=True):
    """Position of a request in the queue: lower ones go first, in seconds of slot time.

    :param estimate_s: slot time that was charged in advance.
    """

    team: str
    start_s: float
    estimate_s: float


class StartTimeQueue:
    """Start-time fair queueing: assigns each request a position by its team's slot time.

    Requests of one team keep their order. The estimate charged when a request is tagged is
    corrected by the slot time that it used, 0 for one that got no slot.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._virtual_s = 0.0
        self._estimate_s = INITIAL_SLOT_TIME_S

    def tag(self, team: str) -> StartTag:
        """Assign a position to a new request of a team."""
        flow = self._flows.setdefault(team, _Flow())
        start_s = max(self._virtual_s, flow.finish)
        flow.last_start = start_s
        flow.finish = start_s + self._estimate_s
        flow.pending += 1
        return StartTag(team, start_s, self._estimate_s)

    def start(self, tag: StartTag) -> None:
        """Record that a request got a slot: no new request goes before it."""
        self._virtual_s = max(self._virtual_s, tag.start_s)

    def end(self, tag: StartTag, used_s: float | None) -> None:
        """Record that a request ended.

        :param used_s: its slot time, ``None`` if it got no slot.
        """
        if used_s is not None:
            self._estimate_s += ESTIMATE_WEIGHT * (used_s - self._estimate_s)
        flow = self._flows[tag.team]
        # Not below the last start tag, so that the team's requests keep their order.
        flow.finish = max(flow.last_start, flow.finish + (used_s or 0.0) - tag.estimate_s)
        flow.pending -= 1
        if not flow.pending and flow.finish <= self._virtual_s:
            del self._flows[tag.team]
