"""Tells a gateway which team's request goes next, from its own queue and batch owners' reports."""

import collections
import random
from collections.abc import Callable, Iterable

import msgspec
import trio

from cornelgrade import metrics
from cornelgrade.policy import fair_queue
from cornelgrade.schema import messages

# Reports expire after four broadcasts, like those of the load.
REPORT_TTL_S = 1.0
# Teams listed with one upstream, those with the most requests first: an upstream has few slots.
MAX_TEAMS_PER_UPSTREAM = 16
# Teams listed in one datagram, so that it stays below its maximum size beside the upstreams' names.
MAX_TEAMS_PER_DATAGRAM = 48


class _Report(msgspec.Struct, frozen=True):
    verdict: fair_queue.Verdict
    at_s: float


class TeamShares:
    """Counts teams' requests at upstreams; orders waiting requests and refuses those of hot teams.

    Without teams, requests keep their order of arrival and none is refused here.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._queue = fair_queue.StartTimeQueue()
        self._at_upstreams: dict[str, collections.Counter[int]] = {}
        self._reports: dict[tuple[str, str], _Report] = {}
        self._refusal_counter = metrics.counter(
            "cornelgrade_edge_team_early_refusals_total",
            "Requests refused early because their team is over its fair share, by team.",
        )

    def enqueue(self, service: str, team: str) -> "QueueEntry":
        """Return the position of a new request."""
        is_over = self._is_over_share(service, fair_queue.team_id(team))
        return QueueEntry(self._queue.tag(team), is_over)

    def start(self, entry: "QueueEntry", upstream: str) -> None:
        """Record that a request got a permit; its count goes with the next message."""
        self._queue.start(entry.tag)
        team = fair_queue.team_id(entry.tag.team)
        self._at_upstreams.setdefault(upstream, collections.Counter())[team] += 1

    def end(self, entry: "QueueEntry", upstream: str, used_s: float) -> None:
        """Record that a request released its permit.

        :param used_s: how long it held it.
        """
        self._queue.end(entry.tag, used_s)
        counts = self._at_upstreams[upstream]
        team = fair_queue.team_id(entry.tag.team)
        counts[team] -= 1
        if not counts[team]:
            del counts[team]
        if not counts:
            del self._at_upstreams[upstream]

    def leave(self, entry: "QueueEntry") -> None:
        """Record that a request left without a permit."""
        self._queue.end(entry.tag, None)

    def should_refuse(self, service: str, team: str, occupancy: float) -> bool:
        """Return whether to refuse a request at once, because its team is over its share.

        :param occupancy: online requests at the service's upstreams, as a share of their slots.
        """
        probability = fair_queue.early_refusal_probability(occupancy)
        if not probability or not self._is_over_share(service, fair_queue.team_id(team)):
            return False
        if self._rng.random() >= probability:
            return False
        self._refusal_counter.inc({"team": team})
        return True

    def _is_over_share(self, service: str, team: int) -> bool:
        now_s = trio.current_time()
        return fair_queue.is_over_share(
            team,
            (
                report.verdict
                for (_, reported_service), report in self._reports.items()
                if reported_service == service and now_s - report.at_s <= REPORT_TTL_S
            ),
        )

    def make_use(self, upstream: str, online: int, took_ms: int = 0) -> messages.UpstreamUse:
        """Return this gateway's requests at an upstream, with their teams.

        :param took_ms: duration of the response that has just ended there, 0 for none.
        """
        counts = self._at_upstreams.get(upstream, collections.Counter())
        teams = tuple(
            messages.TeamUse(team, count)
            for team, count in counts.most_common(MAX_TEAMS_PER_UPSTREAM)
            if team
        )
        return messages.UpstreamUse(upstream, online, teams=teams, took_ms=took_ms)

    def apply_report(
        self, message: messages.Uses, find_service: Callable[[str], str | None]
    ) -> None:
        """Take in which teams a batch owner reported as over their share."""
        now_s = trio.current_time()
        over: dict[str, set[int]] = {}
        upstreams: collections.Counter[str] = collections.Counter()
        for use in message.uses:
            service = find_service(use.upstream)
            if service is not None:
                over.setdefault(service, set()).update(use.over_share)
                upstreams[service] += 1
        for service, teams in over.items():
            verdict = fair_queue.Verdict(frozenset(teams), upstreams[service])
            self._reports[message.vm, service] = _Report(verdict, now_s)


class QueueEntry(msgspec.Struct, frozen=True):
    """Position of a waiting request among those of equal rank.

    :param is_over_share: whether its team was over its share when it came.
    """

    tag: fair_queue.StartTag
    is_over_share: bool

    @property
    def order(self) -> tuple[bool, float]:
        """By which to sort."""
        return self.is_over_share, self.tag.start_s


def split_uses(uses: Iterable[messages.UpstreamUse]) -> list[messages.Uses]:
    """Split counts into messages that list a bounded number of teams each."""
    groups: list[list[messages.UpstreamUse]] = [[]]
    listed = 0
    for use in uses:
        if listed + len(use.teams) > MAX_TEAMS_PER_DATAGRAM:
            groups.append([])
            listed = 0
        groups[-1].append(use)
        listed += len(use.teams)
    return [messages.Uses(tuple(group)) for group in groups]
