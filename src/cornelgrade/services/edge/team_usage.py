"""Tracks at a batch owner how many slots each team uses, and which teams are over their share."""

import collections
from collections.abc import Iterable

import msgspec

from cornelgrade import logs, routes
from cornelgrade.policy import fair_queue
from cornelgrade.schema import messages

# Teams over their share that are reported, those with the largest usage first. A message has one
# such list for each service; the upstreams of an owner have few services.
MAX_REPORTED_TEAMS = 8
_log = logs.Logger("team_usage")


class _Service(msgspec.Struct):
    """:ivar over_share: ids of the teams over their share, those with the largest usage first."""

    usage: fair_queue.SlotUsage[int] = msgspec.field(default_factory=fair_queue.SlotUsage[int])
    over_share: tuple[int, ...] = ()


class TeamUsage:
    """Teams' usage of the upstreams that this worker owns, by service."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def update(
        self,
        owned: list[routes.Upstream],
        uses: dict[str, list[messages.UpstreamUse]],
        now_s: float,
    ) -> None:
        """Recompute which teams are over their share.

        :param uses: what the gateways reported lately, by upstream.
        """
        by_service: dict[str, list[routes.Upstream]] = collections.defaultdict(list)
        for up in owned:
            by_service[up.service].append(up)
        self._services = {name: self._services.get(name, _Service()) for name in by_service}
        for name, upstreams in by_service.items():
            service = self._services[name]
            listed = (use for up in upstreams for use in uses.get(up.name, ()))
            in_use = _count_by_team(listed)
            usage = service.usage.update(in_use, now_s)
            slots = sum(up.slots for up in upstreams)
            over = fair_queue.list_over_share(usage, in_use.total(), slots)
            ranked = tuple(sorted(over, key=lambda team: (-usage[team], team)))
            if over != frozenset(service.over_share):
                _log.info("teams_over_share", service=name, teams=len(over), active=len(usage))
            service.over_share = ranked

    def over_share(self, service: str) -> tuple[int, ...]:
        """Return the ids of the teams over their share, a bounded number in a steady order."""
        known = self._services.get(service)
        return tuple(sorted(known.over_share[:MAX_REPORTED_TEAMS])) if known else ()


def _count_by_team(uses: Iterable[messages.UpstreamUse]) -> collections.Counter[int]:
    """Count requests by team; those that no team is named for count as one team's."""
    counts: collections.Counter[int] = collections.Counter()
    for use in uses:
        counts[0] += use.online - sum(entry.online for entry in use.teams)
        for entry in use.teams:
            counts[entry.team] += entry.online
    return +counts
