"""Judges what becomes of keys, team names and rate limits, as callers and engines see it."""

import bisect
import math
from collections.abc import Iterator

from bench.soak import callers, judge, teams, world
from cornelgrade.platform.standins import stream_engine
from cornelgrade.policy import token_bucket

RATE_WINDOW_S = 5.0


class TeamJudge:
    """Checks a run with teams; finds nothing in a run without them."""

    def __init__(self, system: world.World, seen: callers.Callers) -> None:
        self.system = system
        self.seen = seen
        self.keyring = system.keyring
        self._requests = {req.id: req for req in seen.requests}
        self._team_of = {req.id: self.keyring.team_of[req.key] for req in seen.requests}
        self._team_of |= {item: job.team for job in seen.jobs for item in job.items}
        self._attempts = [
            (name, attempt)
            for name, engine in system.engines.items()
            for attempt in engine.stand_in.seen
        ]

    def all(self) -> Iterator[str]:
        """Check everything and give what is wrong."""
        if self.keyring.teams is None:
            return
        for name, attempt in self._attempts:
            for problem in self._attempt(attempt):
                yield f"{attempt.request} came to {name} {problem}"
        for req in self.seen.denied:
            possible = self._possible_keys(req, req.end_s)
            if all(req.key in keys for keys in possible):
                yield f"{req.id} at {req.gateway} got 401 with the valid key {req.key}"
        for team in self.keyring.teams:
            if team.rate_limit is not None:
                yield from self._rate(team.name, team.rate_limit)
        for job in self.seen.jobs:
            for call in job.foreign:
                yield f"{call} was allowed to another team than {job.team}"

    def _attempt(self, attempt: stream_engine.ReceivedRequest) -> Iterator[str]:
        fields = "".join(f"{name}: {value}\n" for name, value in attempt.headers.items())
        content = fields.encode() + attempt.target + attempt.body
        if "x-key" in attempt.headers or teams.KEY_PREFIX.encode() in content:
            yield "with a key"
        team = self._team_of.get(attempt.request, teams.FREE_TEAM)
        if attempt.team != team:
            yield f"as of {attempt.team!r}, but its caller is of {team!r}"
        req = self._requests.get(attempt.request)
        if req and not any(req.key in keys for keys in self._possible_keys(req, req.begin_s)):
            yield f"through {req.gateway} although its key had been taken away"

    def _possible_keys(self, req: callers.Request, end_s: float) -> list[frozenset[str]]:
        """Return the keys of each plan that may be in force from a request's begin until a time."""
        begun = {v: keys for v, (keys, at_s) in self.keyring.versions.items() if at_s <= end_s}
        known = max((v for v in begun if self._is_known(v, req.gateway, req.begin_s)), default=0)
        return [keys for version, keys in begun.items() if version >= known]

    def _is_known(self, version: int, gateway: str, at_s: float) -> bool:
        """Whether a gateway in touch with the store must have taken a plan into force."""
        parts = {gateway, f"{gateway} to store", "store"}
        in_touch_s = [
            window.end_s + judge.CATCH_UP_S
            for window in self.system.windows
            if window.part in parts and window.fault != world.SLOW and window.begin_s <= at_s
        ]
        written_s = self.system.plans.get(version, math.inf)
        return at_s > max([written_s, *in_touch_s]) + judge.IN_FORCE_S

    def _rate(self, team: str, limit: token_bucket.RateLimit) -> Iterator[str]:
        """Check how many online requests of a team reached engines; retries take no token."""
        first_s: dict[str, float] = {}
        for _, attempt in sorted(self._attempts, key=lambda entry: entry[1].at_s):
            if attempt.team == team and attempt.request in self._requests:
                first_s.setdefault(attempt.request, attempt.at_s)
        allowed = (limit.rate_per_s * RATE_WINDOW_S + limit.burst) * 1.1 + 20
        found = max_in_window(list(first_s.values()), RATE_WINDOW_S)
        if found > allowed:
            yield f"{found} requests of {team} reached engines in 5 s, {allowed:.0f} are allowed"


def max_in_window(sorted_s: list[float], window_s: float) -> int:
    """Return how many of some times fall at most into one window."""
    ends = (bisect.bisect_right(sorted_s, at_s + window_s) for at_s in sorted_s)
    return max((end - begin for begin, end in enumerate(ends)), default=0)
