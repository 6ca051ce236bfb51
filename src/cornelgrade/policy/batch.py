"""Batch rules: what follows an event of an item, the order of jobs, and due times at risk."""

import dataclasses
import enum
from collections.abc import Iterable


class ItemState(enum.Enum):
    """State of an item in the worker that holds its chunk.

    ``NEEDS_START_RECORD``: the item is not idempotent and its start is not recorded yet.
    """

    NEEDS_START_RECORD = "needs_mark"
    READY = "ready"
    RUNNING = "running"
    ENDED = "ended"


class Event(enum.Enum):
    """What happened to a running item.

    :cvar ANSWERED: complete response that reports success.
    :cvar REJECTED: complete response that a retry would get again.
    :cvar BUSY: refused by the upstream without processing.
    :cvar NOT_SENT: no byte reached the upstream.
    :cvar FAILED: complete response that reports a fault of the upstream, or a timeout; a retry may
        succeed.
    :cvar BROKEN: connection lost after the call was sent; the upstream may have crashed.
    :cvar YIELDED: cancelled to make room for online requests.
    :cvar CONDEMNED: quarantined because it crashes engines.
    """

    ANSWERED = "answered"
    REJECTED = "rejected"
    BUSY = "busy"
    NOT_SENT = "not_sent"
    FAILED = "failed"
    BROKEN = "broken"
    PREEMPTED = "yielded"
    QUARANTINED = "condemned"


class Action(enum.Enum):
    """What the worker does next with the item.

    ``RETRY_UNCOUNTED`` retries whatever the number of attempts.
    """

    KEEP_RESULT = "keep_result"
    RETRY = "run_again"
    RETRY_UNCOUNTED = "run_again_free"
    FINAL_ERROR = "final_error"
    UNKNOWN = "unknown"


_IDEMPOTENT = {
    Event.ANSWERED: Action.KEEP_RESULT,
    Event.REJECTED: Action.FINAL_ERROR,
    Event.BUSY: Action.RETRY_UNCOUNTED,
    Event.NOT_SENT: Action.RETRY_UNCOUNTED,
    Event.FAILED: Action.RETRY,
    Event.BROKEN: Action.RETRY_UNCOUNTED,
    Event.PREEMPTED: Action.RETRY_UNCOUNTED,
    Event.QUARANTINED: Action.FINAL_ERROR,
}

_AT_MOST_ONCE = _IDEMPOTENT | {
    event: Action.UNKNOWN for event in (Event.FAILED, Event.BROKEN, Event.PREEMPTED)
}

_ATTEMPT_EVENTS = frozenset({Event.ANSWERED, Event.REJECTED, Event.FAILED, Event.BROKEN})

CRASHES_TO_QUARANTINE = 2
MAX_BREAKS_PER_ATTEMPT = 3

_STATUS_EVENTS = {
    408: Event.BUSY,
    429: Event.BUSY,
    503: Event.BUSY,
}


def classify_status(status: int) -> Event:
    """Map the status of an upstream's complete response to an event."""
    if status in _STATUS_EVENTS:
        return _STATUS_EVENTS[status]
    if 200 <= status < 300:
        return Event.ANSWERED
    return Event.REJECTED if status < 500 else Event.FAILED


def counts_as_attempt(event: Event) -> bool:
    """Return whether an event uses up one of the item's attempts."""
    return event in _ATTEMPT_EVENTS


def classify_break(crashes_alone: int, attempts: int, max_attempts: int) -> Event:
    """Decide whether an item whose connection broke is run again or quarantined.

    If other requests were running, one of them may be the cause, so the item runs again, alone. It
    is quarantined at the second break while it ran alone, or after many breaks of any kind.
    """
    quarantined = (
        crashes_alone >= CRASHES_TO_QUARANTINE or attempts >= max_attempts * MAX_BREAKS_PER_ATTEMPT
    )
    return Event.QUARANTINED if quarantined else Event.BROKEN


def next_action(event: Event, *, idempotent: bool, attempts: int, max_attempts: int) -> Action:
    """Return what follows an event of an item.

    :param attempts: attempts counted so far, including the one that just ended.
    """
    action = (_IDEMPOTENT if idempotent else _AT_MOST_ONCE)[event]
    if action is Action.RETRY and attempts >= max_attempts:
        return Action.FINAL_ERROR
    return action


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An open job to be ordered; times are Unix seconds."""

    name: str
    due_at_s: float
    price: float


def urgency(job: Candidate, now_s: float) -> float:
    """Return the time left, weighted by the price; the job with the lowest value runs first.

    A job past its due time grows more urgent every second, faster if its price is higher.
    """
    left_s = job.due_at_s - now_s
    price = max(job.price, 0.01)
    return left_s / price if left_s > 0 else left_s * price


def sort_by_urgency(jobs: Iterable[Candidate], now_s: float) -> list[Candidate]:
    """Sort jobs by urgency, then by name."""
    return sorted(jobs, key=lambda job: (urgency(job, now_s), job.name))


@dataclasses.dataclass(frozen=True, slots=True)
class JobProgress:
    """Progress of a job; times are Unix seconds."""

    items: int
    ended: int
    started_at_s: float
    due_at_s: float


def estimate_end_s(progress: JobProgress, now_s: float) -> float | None:
    """Estimate the Unix time at which a job ends, ``None`` if no item has ended yet."""
    if progress.ended >= progress.items:
        return now_s
    if not progress.ended or not progress.started_at_s:
        return None
    per_item_s = (now_s - progress.started_at_s) / progress.ended
    return now_s + per_item_s * (progress.items - progress.ended)


def is_at_risk(progress: JobProgress, now_s: float, item_s: float) -> bool:
    """Return whether a job may miss its due time.

    :param item_s: seconds per item across the fleet, assumed until an item has ended.
    """
    end_s = estimate_end_s(progress, now_s)
    if end_s is None:
        end_s = now_s + item_s * (progress.items - progress.ended)
    return end_s > progress.due_at_s
