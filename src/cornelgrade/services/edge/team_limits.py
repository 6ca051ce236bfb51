"""The service ``team_limits``: keeps each team to its rate limit, at all VMs together."""

import collections
import math
from collections.abc import Callable

import trio

from cornelgrade import errors, kernel, logs, metrics, routes
from cornelgrade.policy import shared_allowance
from cornelgrade.services import team_counts
from cornelgrade.services.edge import allowances, fleet, peers

# How long a request may wait until its team has a token again. A longer wait would make it late,
# while an early refusal leaves the caller time to come back.
MAX_TOKEN_WAIT_S = 0.06
# Longer than it takes to replace a lost owner of a limit. Until then a request waits for a reply:
# its team is probably below its limit, and in a large fleet a VM's fixed part is under one token.
FIXED_PART_AFTER_S = peers.LIMIT_OWNER_TIMEOUT_S + 0.25
MAX_REPLY_WAIT_S = FIXED_PART_AFTER_S + allowances.REPLY_TIMEOUT_S
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0
_log = logs.Logger("team_limits")


class TeamLimits:
    """Admits requests of teams; those of teams without a rate limit cost no message.

    :ivar usage: counts the requests of each team.
    """

    name = "team_limits"

    def __init__(self, kern: kernel.Kernel) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peers = kern.find("peers", peers.Peers)
        self._allowances = kern.find("allowances", allowances.Allowances)
        self._allowances.set_source(self._find_terms)
        self._waiting: collections.Counter[str] = collections.Counter()
        self.usage = team_counts.TeamCounts(
            metrics.counter(
                "cornelgrade_edge_team_requests_total", "Requests of teams by team and outcome."
            )
        )

    async def run(self, started: Callable[[], None]) -> None:
        """Apply the limits of each new plan until cancelled."""
        started()
        while True:
            await self._fleet.changed.wait()
            self._apply_plan()

    async def admit(self, team: routes.Team) -> None:
        """Take a token of the team's rate limit, if it has one.

        :raises Refusal: ``RATE_LIMITED`` if the team is over its limit.
        """
        if team.rate_limit is not None:
            await self._wait_for_token(_make_key(team.name), team)
        self.usage.record_admission(team.name)

    async def _wait_for_token(self, key: shared_allowance.LimitKey, team: routes.Team) -> None:
        self._set_terms(key, team)
        self._waiting[team.name] += 1
        try:
            await self._take_token(key, team)
        finally:
            self._waiting[team.name] -= 1
            if not self._waiting[team.name]:
                del self._waiting[team.name]

    def give_back(self, team: routes.Team) -> None:
        """Return the token of a request that was not sent to any upstream."""
        if team.rate_limit is not None:
            self._allowances.give_back(_make_key(team.name))

    async def _take_token(self, key: shared_allowance.LimitKey, team: routes.Team) -> None:
        started_s = trio.current_time()
        while not self._allowances.try_take(key, self._waiting[team.name]):
            waited_s = trio.current_time() - started_s
            wait_s = self._allowances.shortest_wait_s(key)
            if waited_s + wait_s > MAX_TOKEN_WAIT_S and (wait_s or waited_s >= MAX_REPLY_WAIT_S):
                raise self._refuse(key, team)
            with trio.move_on_after(wait_s or allowances.REPLY_TIMEOUT_S):
                await self._allowances.changed.wait()

    def _refuse(self, key: shared_allowance.LimitKey, team: routes.Team) -> errors.Refusal:
        assert team.rate_limit is not None
        self.usage.record_refusal(team.name, errors.Code.RATE_LIMITED)
        wait_s = self._allowances.expected_wait_s(key)
        if not math.isfinite(wait_s):
            wait_s = MAX_RETRY_AFTER_S
        return errors.Refusal(
            errors.Code.RATE_LIMITED,
            f"team {team.name} is over {team.rate_limit.rate_per_s:g} requests/s",
            step="admit",
            retry_after_s=min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S),
        )

    def _find_terms(self, key: shared_allowance.LimitKey) -> allowances.Terms | None:
        table = self._fleet.table()
        team = table.team(key.name) if table is not None and key.is_team else None
        return self._make_terms(team) if team is not None else None

    def _make_terms(self, team: routes.Team) -> allowances.Terms | None:
        if team.rate_limit is None:
            return None
        return allowances.Terms(
            team.rate_limit,
            lambda: self._peers.limit_owner(team.name),
            starts_full=True,
            fixed_part_after_s=FIXED_PART_AFTER_S,
            spares_messages=True,
        )

    def _set_terms(self, key: shared_allowance.LimitKey, team: routes.Team) -> None:
        if not self._allowances.is_limited(key):
            terms = self._make_terms(team)
            assert terms is not None
            self._allowances.set_terms(key, terms)

    def _apply_plan(self) -> None:
        """Change the limits that are in use; forget those of teams that have none any more."""
        for key in self._allowances.known_keys():
            if not key.is_team:
                continue
            terms = self._find_terms(key)
            if terms is None:
                _log.info("team_limit_ended", team=key.name)
                self._allowances.discard(key)
            else:
                self._allowances.set_terms(key, terms)


def _make_key(team: str) -> shared_allowance.LimitKey:
    return shared_allowance.LimitKey(team, is_team=True)
