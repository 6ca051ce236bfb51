"""Ejected upstreams: their trials, and their readmission.

An ejected upstream gets few requests as trials, at increasing intervals. It is readmitted after
some have succeeded, and for a while fewer failures eject it again.
"""

import collections
import enum
from collections.abc import Mapping

import msgspec

from cornelgrade.policy import outlier

# Failures that are kept; far more than eject all that may be ejected.
MAX_FAILURES = 512
# How long an upstream that was readmitted is ejected again after fewer failures.
PROBATION_S = 10.0
# Time from an ejection to its first trial; doubles with each trial that fails.
FIRST_TRIAL_S = 0.5
MAX_TRIAL_INTERVAL_S = 4.0
# Trials that may be open at once; one more with each success.
FIRST_TRIALS = 2
MAX_OPEN_TRIALS = 4
# An upstream that fails 45 in 100 requests passes this many trials 3 times in 100.
READMIT_SUCCESSES = 6
# How long a VM may wait for a request to use as a trial, and how long its outcome is awaited.
TRIAL_USE_S = 1.0
TRIAL_TTL_S = 3.0
# Trials that must succeed, or lapse without a repeatable request, before any request may serve as
# one: a request that can't be repeated fails its caller.
ANY_AFTER_SUCCESSES = 3
ANY_AFTER_UNUSED = 4
# Without the outcome of any trial, evidence is that old when the upstream is readmitted.
UNTRIED_READMIT_S = 30.0


class Ejection(msgspec.Struct, frozen=True):
    """An upstream that is ejected, and its trials.

    :param failure_share: share of its requests that failed.
    :param heard_s: when it was ejected or, later, the last trial ended.
    :param failed_trials: rounds of trials that failed, also of earlier ejections.
    :param successes: trials that succeeded since the last one failed.
    :param open_until_s: when each open trial lapses.
    :param unused: trials that lapsed without an outcome since the last one failed.
    """

    failure_share: float
    since_s: float
    heard_s: float
    next_trial_s: float
    failed_trials: int = 0
    successes: int = 0
    open_until_s: tuple[float, ...] = ()
    unused: int = 0

    @property
    def takes_any_request(self) -> bool:
        """Whether a trial may be a request that can't be repeated if it fails."""
        return self.successes >= ANY_AFTER_SUCCESSES or self.unused >= ANY_AFTER_UNUSED


def trial_interval_s(failed_trials: int) -> float:
    """Return the time until the next trial."""
    return min(FIRST_TRIAL_S * 2.0 ** min(failed_trials, 16), MAX_TRIAL_INTERVAL_S)


def eject(failure_share: float, now_s: float, failed_trials: int = 0) -> Ejection:
    """Return a new ejection.

    :param failed_trials: those of an earlier ejection that it follows.
    """
    next_trial_s = now_s + trial_interval_s(failed_trials)
    return Ejection(failure_share, now_s, now_s, next_trial_s, failed_trials)


def expire_trials(ejection: Ejection, now_s: float) -> Ejection:
    """Close trials that had no outcome in time."""
    still_open = tuple(until_s for until_s in ejection.open_until_s if now_s < until_s)
    lapsed = len(ejection.open_until_s) - len(still_open)
    if not lapsed:
        return ejection
    return msgspec.structs.replace(
        ejection, open_until_s=still_open, unused=ejection.unused + lapsed
    )


def trials_due(ejection: Ejection, now_s: float) -> int:
    """Return how many trials may be opened now."""
    if now_s < ejection.next_trial_s:
        return 0
    allowed = min(FIRST_TRIALS + ejection.successes, MAX_OPEN_TRIALS)
    return max(0, allowed - len(ejection.open_until_s))


def open_trials(ejection: Ejection, count: int, now_s: float) -> Ejection:
    """Record trials that were handed out."""
    opened = (now_s + TRIAL_TTL_S,) * count
    return msgspec.structs.replace(ejection, open_until_s=ejection.open_until_s + opened)


def record_trial(ejection: Ejection, succeeded: bool, now_s: float) -> Ejection | None:
    """Record the outcome of a trial; return ``None`` if the upstream is readmitted.

    A failure ends the round: others of the same round that fail too don't prolong the pause.
    """
    if succeeded:
        if ejection.successes + 1 >= READMIT_SUCCESSES:
            return None
        return msgspec.structs.replace(
            ejection,
            heard_s=now_s,
            successes=ejection.successes + 1,
            open_until_s=ejection.open_until_s[1:],
        )
    if now_s < ejection.next_trial_s:
        return msgspec.structs.replace(ejection, heard_s=now_s, successes=0)
    failed_trials = ejection.failed_trials + 1
    return msgspec.structs.replace(
        ejection,
        heard_s=now_s,
        next_trial_s=now_s + trial_interval_s(failed_trials),
        failed_trials=failed_trials,
        successes=0,
        open_until_s=(),
        unused=0,
    )


def is_untried(ejection: Ejection, now_s: float) -> bool:
    """Return whether no trial had an outcome for so long that the evidence is outdated."""
    return now_s - ejection.heard_s >= UNTRIED_READMIT_S


class Reason(enum.StrEnum):
    """Why an upstream was ejected or readmitted."""

    FAILURES = "failures"
    TRIALS_SUCCEEDED = "trials succeeded"
    REPLACED = "faultier upstreams are ejected"
    UNTRIED = "no trial ended for long"


class Change(msgspec.Struct, frozen=True):
    """An upstream that was ejected or readmitted.

    :param failures: number of failures that ejected it.
    """

    start: outlier.Start
    ejection: Ejection
    reason: Reason
    failures: int = 0

    @property
    def ejected(self) -> bool:
        """Whether it was ejected."""
        return self.reason is Reason.FAILURES


class _Probation(msgspec.Struct, frozen=True):
    failed_trials: int
    until_s: float


class Judge:
    """The failures that a VM knows, and the upstreams that it has ejected.

    :ivar ejections: upstreams that it ejected, or whose ejection it took over.
    """

    def __init__(self) -> None:
        self.ejections: dict[outlier.Start, Ejection] = {}
        self._failures: collections.deque[outlier.Failure] = collections.deque(maxlen=MAX_FAILURES)
        self._probations: dict[outlier.Start, _Probation] = {}

    def add_failure(self, failure: outlier.Failure) -> None:
        """Record a failure, unless its upstream is ejected."""
        if failure.start not in self.ejections:
            self._failures.append(failure)

    def find_changes(
        self,
        registered: frozenset[outlier.Start],
        now_s: float,
        *,
        senders: int,
        sender: str | None = None,
    ) -> list[Change]:
        """Eject the outliers of a service, and return what changed.

        :param registered: the upstreams of the service.
        :param senders: VMs whose failures are known.
        :param sender: the only VM whose failures count, ``None`` for all.
        """
        while self._failures and not outlier.is_recent(self._failures[0], now_s):
            self._failures.popleft()
        tallies = outlier.tally_failures(
            failure
            for failure in self._failures
            if failure.start in registered and sender in (None, failure.sender)
        )
        probations = frozenset(s for s, p in self._probations.items() if now_s < p.until_s)
        found = outlier.find_outliers(tallies, len(registered), senders, probations)
        changes: list[Change] = []
        for start, share in found.items():
            shares = {s: ej.failure_share for s, ej in self.ejections.items() if s in registered}
            if start in shares or not outlier.may_eject(share, shares.values(), len(registered)):
                continue
            probation = self._probations.get(start)
            ejection = eject(share, now_s, probation.failed_trials + 1 if probation else 0)
            self.ejections[start] = ejection
            self.forget_failures(start)
            changes.append(Change(start, ejection, Reason.FAILURES, tallies[start].failures))
            kept = outlier.limit_ejected(shares | {start: share}, len(registered))
            changes += [self._readmit(s, Reason.REPLACED, now_s) for s in shares if s not in kept]
        return changes

    def record_trial(self, start: outlier.Start, succeeded: bool, now_s: float) -> Change | None:
        """Record the outcome of a trial; return the readmission, if it leads to one."""
        ejection = self.ejections.get(start)
        if ejection is None:
            return None
        after = record_trial(ejection, succeeded, now_s)
        if after is None:
            return self._readmit(start, Reason.TRIALS_SUCCEEDED, now_s)
        self.ejections[start] = after
        return None

    def expire(self, registered: Mapping[outlier.Start, object], now_s: float) -> list[Change]:
        """Drop upstreams that left, and readmit those without trials for long."""
        self.ejections = {
            s: expire_trials(ej, now_s) for s, ej in self.ejections.items() if s in registered
        }
        self._probations = {s: p for s, p in self._probations.items() if now_s < p.until_s}
        untried = [s for s, ej in self.ejections.items() if is_untried(ej, now_s)]
        return [self._readmit(start, Reason.UNTRIED, now_s) for start in untried]

    def forget_failures(self, start: outlier.Start) -> None:
        """Drop the evidence against an upstream that was ejected or readmitted."""
        kept = (failure for failure in self._failures if failure.start != start)
        self._failures = collections.deque(kept, maxlen=MAX_FAILURES)

    def _readmit(self, start: outlier.Start, reason: Reason, now_s: float) -> Change:
        ejection = self.ejections.pop(start)
        self._probations[start] = _Probation(ejection.failed_trials, now_s + PROBATION_S)
        return Change(start, ejection, reason)
