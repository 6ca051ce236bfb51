"""Who may queue: token buckets for teams and a bounded queue by priority, then deadline."""

import dataclasses

import result

from cornelgrade import errors

MIN_RETRY_AFTER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A team's rate and burst, in requests."""

    rate_per_s: float
    burst: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """A token bucket as it stood at ``at_s``."""

    tokens: float
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The bucket after a try and how long to wait; 0 means that a token was taken."""

    bucket: Bucket
    wait_s: float


def take(bucket: Bucket, limit: Limit, now_s: float) -> Taken:
    """Take one token if there is one."""
    elapsed_s = max(0.0, now_s - bucket.at_s)
    tokens = min(limit.burst, bucket.tokens + elapsed_s * limit.rate_per_s)
    if tokens >= 1.0:
        return Taken(Bucket(tokens - 1.0, now_s), 0.0)
    return Taken(Bucket(tokens, now_s), (1.0 - tokens) / limit.rate_per_s)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """A request's place in the queue; the smallest goes first.

    :param rank: its priority's rank.
    :param deadline_s: when its caller stops waiting, on the process's clock.
    :param number: order of arrival.
    """

    rank: int
    deadline_s: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """What the decision needs of the queue.

    :param ahead: queued requests that go before the new one.
    :param served_per_s: recent rate at which requests leave the queue for an upstream.
    :param worst: the last place in the queue, ``None`` when it is empty.
    """

    length: int
    limit: int
    ahead: int
    served_per_s: float
    worst: Place | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Enqueue:
    """The request may queue; ``evict`` names the place that must leave for it, if any."""

    evict: Place | None = None


def expected_wait_s(state: QueueState) -> float:
    """Estimate the wait of a new request from the recent rate of service."""
    if state.ahead == 0 or state.served_per_s <= 0:
        return 0.0
    return state.ahead / state.served_per_s


def retry_after_s(state: QueueState) -> float:
    """Say when the queue should have room again."""
    if state.served_per_s <= 0:
        return 1.0
    return max(MIN_RETRY_AFTER_S, state.length / state.served_per_s)


def refuse(state: QueueState, message: str) -> errors.Refusal:
    """Make the refusal of a request that cannot be served in time."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        message,
        step="admit",
        ran=errors.Ran.NO,
        retry_after_s=round(retry_after_s(state), 3),
    )


def decide(place: Place, state: QueueState, now_s: float) -> result.Result[Enqueue, errors.Refusal]:
    """Let a request queue, or refuse it at once.

    A full queue gives up its last place to a request that goes before it. A request whose
    expected wait ends after its deadline is refused now rather than when its time is over.
    """
    if expected_wait_s(state) > place.deadline_s - now_s:
        return result.Err(refuse(state, "the queue is longer than the request's deadline allows"))
    if state.length < state.limit:
        return result.Ok(Enqueue())
    if state.worst is not None and place < state.worst:
        return result.Ok(Enqueue(evict=state.worst))
    return result.Err(refuse(state, "the queue is full"))
