"""What may follow a failed call: the table of progress and idempotence, and the retry budget."""

import dataclasses
import enum

from cornelgrade import errors
from cornelgrade.adapters import engine


class Next(enum.Enum):
    """What the gateway does after a failed call.

    ``ELSEWHERE`` sends the whole request to another upstream; ``RESUME`` continues a stream from
    the tokens that the caller already has; ``FAIL`` ends with an error.
    """

    ELSEWHERE = "elsewhere"
    RESUME = "resume"
    FAIL = "fail"


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """A row of the table: what to do next and what a final error may say of the run."""

    then: Next
    ran: errors.Ran


_TABLE: dict[tuple[engine.Progress, bool], Rule] = {
    (engine.Progress.NOT_SENT, True): Rule(Next.ELSEWHERE, errors.Ran.NO),
    (engine.Progress.NOT_SENT, False): Rule(Next.ELSEWHERE, errors.Ran.NO),
    (engine.Progress.SENT, True): Rule(Next.ELSEWHERE, errors.Ran.UNKNOWN),
    (engine.Progress.SENT, False): Rule(Next.FAIL, errors.Ran.UNKNOWN),
    (engine.Progress.PART_ANSWERED, True): Rule(Next.RESUME, errors.Ran.YES),
    (engine.Progress.PART_ANSWERED, False): Rule(Next.FAIL, errors.Ran.UNKNOWN),
    (engine.Progress.ANSWERED, True): Rule(Next.FAIL, errors.Ran.YES),
    (engine.Progress.ANSWERED, False): Rule(Next.FAIL, errors.Ran.YES),
}


def after_failure(progress: engine.Progress, idempotent: bool) -> Rule:
    """Look up what may follow a call that came as far as ``progress``."""
    return _TABLE[(progress, idempotent)]


_RAN_PRECEDENCE = (errors.Ran.NO, errors.Ran.UNKNOWN, errors.Ran.YES)


def ran_after(earlier: errors.Ran, last: errors.Ran) -> errors.Ran:
    """Join what two attempts say: one that may have run outweighs one that did not."""
    return max(earlier, last, key=_RAN_PRECEDENCE.index)


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """A retry budget: retries are a share of recent successes, up to ``limit`` saved up."""

    limit: float = 10.0
    balance: float = 10.0


def earn(budget: Budget, share: float) -> Budget:
    """Add one success.

    :param share: retries that it pays for, from the manifest.
    """
    return dataclasses.replace(budget, balance=min(budget.limit, budget.balance + share))


def spend(budget: Budget) -> Budget | None:
    """Pay for one retry; ``None`` when the budget is used up."""
    if budget.balance < 1.0:
        return None
    return dataclasses.replace(budget, balance=budget.balance - 1.0)
