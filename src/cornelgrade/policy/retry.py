"""What may follow a failed call, by its progress and idempotence, and the retry budget."""

import enum

import msgspec

from cornelgrade import errors
from cornelgrade.adapters import engine


class FailureAction(enum.Enum):
    """What the gateway does after a failed call.

    ``ELSEWHERE`` sends the whole request to another upstream; ``RESUME`` continues a stream after
    the tokens that the caller already has; ``FAIL`` returns an error.
    """

    ELSEWHERE = "elsewhere"
    RESUME = "resume"
    FAIL = "fail"


class Rule(msgspec.Struct, frozen=True):
    """What to do next, and what an error returned to the caller states about execution."""

    then: FailureAction
    ran: errors.Ran


_TABLE: dict[tuple[engine.Progress, bool], Rule] = {
    (engine.Progress.NOT_SENT, True): Rule(FailureAction.ELSEWHERE, errors.Ran.NO),
    (engine.Progress.NOT_SENT, False): Rule(FailureAction.ELSEWHERE, errors.Ran.NO),
    (engine.Progress.SENT, True): Rule(FailureAction.ELSEWHERE, errors.Ran.UNKNOWN),
    (engine.Progress.SENT, False): Rule(FailureAction.FAIL, errors.Ran.UNKNOWN),
    (engine.Progress.PART_ANSWERED, True): Rule(FailureAction.RESUME, errors.Ran.YES),
    (engine.Progress.PART_ANSWERED, False): Rule(FailureAction.FAIL, errors.Ran.UNKNOWN),
    (engine.Progress.ANSWERED, True): Rule(FailureAction.FAIL, errors.Ran.YES),
    (engine.Progress.ANSWERED, False): Rule(FailureAction.FAIL, errors.Ran.YES),
}


def after_failure(progress: engine.Progress, idempotent: bool) -> Rule:
    """Return the rule for a call that failed after reaching ``progress``."""
    return _TABLE[(progress, idempotent)]


_RAN_PRECEDENCE = (errors.Ran.NO, errors.Ran.UNKNOWN, errors.Ran.YES)


def combine_ran(earlier: errors.Ran, last: errors.Ran) -> errors.Ran:
    """Combine two attempts: one that may have run takes precedence over one that did not."""
    return max(earlier, last, key=_RAN_PRECEDENCE.index)


class Budget(msgspec.Struct, frozen=True):
    """A retry budget: each success earns a share of a retry, up to ``limit`` retries."""

    limit: float = 10.0
    balance: float = 10.0


def earn(budget: Budget, share: float) -> Budget:
    """Add the share earned by one success.

    :param share: retries per success, from the manifest.
    """
    return msgspec.structs.replace(budget, balance=min(budget.limit, budget.balance + share))


def spend(budget: Budget) -> Budget | None:
    """Deduct one retry; return ``None`` if the budget is exhausted."""
    if budget.balance < 1.0:
        return None
    return msgspec.structs.replace(budget, balance=budget.balance - 1.0)
