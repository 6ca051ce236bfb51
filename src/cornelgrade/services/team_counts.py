"""Counts what each team asked of this process, for operators."""

import collections

import aioprometheus

from cornelgrade import reports


class TeamCounts:
    """Counts requests of teams by outcome, in a metric and for the status report.

    :param counter: has the labels ``team`` and ``outcome``.
    """

    def __init__(self, counter: aioprometheus.Counter) -> None:
        self._counter = counter
        self._admitted: collections.Counter[str] = collections.Counter()
        self._refused: dict[str, collections.Counter[str]] = {}

    def record_admission(self, team: str) -> None:
        """Count a request that is within its team's rate limit."""
        self._admitted[team] += 1
        self._counter.inc({"team": team, "outcome": "admitted"})

    def record_refusal(self, team: str, reason: str) -> None:
        """Count a refused request.

        :param reason: code of the refusal.
        """
        self._refused.setdefault(team, collections.Counter())[reason] += 1
        self._counter.inc({"team": team, "outcome": reason})

    def report(self) -> tuple[reports.TeamReport, ...]:
        """Return the counts of each team, by name."""
        total = max(1, sum(self._admitted.values()))
        return tuple(
            reports.TeamReport(
                name,
                self._admitted[name],
                self._admitted[name] / total,
                dict(self._refused.get(name, {})),
            )
            for name in sorted({*self._admitted, *self._refused})
        )
