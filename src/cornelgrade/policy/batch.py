"""Rules of batch work: the table of an item's states, the order of jobs, and due times at risk."""

import dataclasses
import enum
from collections.abc import Iterable


class ItemState(enum.Enum):
    """Where an item stands in the worker that holds its chunk.

    ``NEEDS_MARK`` is a non-idempotent item whose start is not recorded yet.
    """

    NEEDS_MARK = "needs_mark"
    READY = "ready"
    RUNNING = "running"
    ENDED = "ended"


class Event(enum.Enum):
    """What happened to a running item.

    :cvar ANSWERED: a whole answer that says yes.
    :cvar REJECTED: a whole answer that will be the same next time.
    :cvar BUSY: refused by the upstream, not processed.
    :cvar NOT_SENT: no byte reached the upstream.
    :cvar FAILED: a whole answer that blames the upstream, or silence; it may differ next time.
    :cvar BROKEN: the connection broke after the call was sent; the upstream may have crashed.
    :cvar YIELDED: cancelled to make room for online requests.
    :cvar CONDEMNED: the quarantine says that it crashes engines.
    """

    ANSWERED = "answered"
    REJECTED = "rejected"
    BUSY = "busy"
    NOT_SENT = "not_sent"
    FAILED = "failed"
    BROKEN = "broken"
    YIELDED = "yielded"
    CONDEMNED = "condemned"


class Action(enum.Enum):
    """What the worker does next with the item."""

    KEEP_RESULT = "keep_result"
    RUN_AGAIN = "run_again"
    RUN_AGAIN_FREE = "run_again_free"
    FINAL_ERROR = "final_error"
    UNKNOWN = "unknown"


_IDEMPOTENT = {
    Event.ANSWERED: Action.KEEP_RESULT,
    Event.REJECTED: Action.FINAL_ERROR,
    Event.BUSY: Action.RUN_AGAIN_FREE,
    Event.NOT_SENT: Action.RUN_AGAIN_FREE,
    Event.FAILED: Action.RUN_AGAIN,
    Event.BROKEN: Action.RUN_AGAIN_FREE,
    Event.YIELDED: Action.RUN_AGAIN_FREE,
    Event.CONDEMNED: Action.FINAL_ERROR,
}

_AT_MOST_ONCE = _IDEMPOTENT | {
    event: Action.UNKNOWN for event in (Event.FAILED, Event.BROKEN, Event.YIELDED)
}

_ATTEMPT_EVENTS = frozenset({Event.ANSWERED, Event.REJECTED, Event.FAILED, Event.BROKEN})

CRASHES_TO_QUARANTINE = 2
MAX_BREAKS_PER_ATTEMPT = 3

_STATUS_EVENTS = {
    408: Event.BUSY,
    429: Event.BUSY,
    503: Event.BUSY,
}


def event_of_status(status: int) -> Event:
    """Read an upstream's whole answer."""
    if status in _STATUS_EVENTS:
        return _STATUS_EVENTS[status]
    if 200 <= status < 300:
        return Event.ANSWERED
    return Event.REJECTED if status < 500 else Event.FAILED


def counts(event: Event) -> bool:
    """Say whether an event uses up one of an item's attempts."""
    return event in _ATTEMPT_EVENTS


def blame(crashes_alone: int, attempts: int, max_attempts: int) -> Event:
    """Judge an item whose connection broke.

    A break in company may be a neighbour's fault, so the item runs again, alone. The second break
    that was its alone condemns it, and so do many breaks of any kind.
    """
    quarantined = (
        crashes_alone >= CRASHES_TO_QUARANTINE or attempts >= max_attempts * MAX_BREAKS_PER_ATTEMPT
    )
    return Event.CONDEMNED if quarantined else Event.BROKEN


def next_action(event: Event, *, idempotent: bool, attempts: int, max_attempts: int) -> Action:
    """Decide what follows.

    :param attempts: attempts counted so far, with the one that just ended.
    """
    action = (_IDEMPOTENT if idempotent else _AT_MOST_ONCE)[event]
    if action is Action.RUN_AGAIN and attempts >= max_attempts:
        return Action.FINAL_ERROR
    return action


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An open job as the order sees it; times are Unix seconds."""

    name: str
    due_at_s: float
    price: float


def urgency(job: Candidate, now_s: float) -> float:
    """Weigh the time left by the price: the lowest goes first.

    A job past its due time grows more urgent by the second, a dear one faster.
    """
    left_s = job.due_at_s - now_s
    price = max(job.price, 0.01)
    return left_s / price if left_s > 0 else left_s * price


def in_order(jobs: Iterable[Candidate], now_s: float) -> list[Candidate]:
    """Sort jobs by urgency, equal ones by name."""
    return sorted(jobs, key=lambda job: (urgency(job, now_s), job.name))


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How far a job has come; times are Unix seconds."""

    items: int
    ended: int
    started_at_s: float
    due_at_s: float


def expected_end_s(progress: Pace, now_s: float) -> float | None:
    """Estimate the Unix time at which a job ends, ``None`` if nothing tells."""
    if progress.ended >= progress.items:
        return now_s
    if not progress.ended or not progress.started_at_s:
        return None
    per_item_s = (now_s - progress.started_at_s) / progress.ended
    return now_s + per_item_s * (progress.items - progress.ended)


def at_risk(progress: Pace, now_s: float, item_s: float) -> bool:
    """Say whether a job may miss its due time.

    :param item_s: assumed seconds of the fleet for an item while no pace is known.
    """
    end_s = expected_end_s(progress, now_s)
    if end_s is None:
        end_s = now_s + item_s * (progress.items - progress.ended)
    return end_s > progress.due_at_s
