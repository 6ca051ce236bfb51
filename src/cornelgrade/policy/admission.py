"""Who may queue: token buckets for teams and a bounded queue by priority, then deadline."""

import dataclasses
import math
from collections.abc import Mapping, Sequence

import result

from cornelgrade import errors

MIN_RETRY_AFTER_S = 0.1
WAIT_SAFETY_FACTOR = 2.0
RESERVED_PERMIT_SHARE = 0.25
MIN_REMAINING_SHARE = 0.05
SENT_SHARE_WEIGHT = 0.02
MIN_TOP_RANK_SHARE = 0.0005


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
    :param share_above: share of recent requests sent that had a higher priority.
    :param worst: the last place in the queue, ``None`` when it is empty.
    :param mean_duration_s: recent mean time that a request takes once it is sent.
    """

    length: int
    limit: int
    ahead: int
    served_per_s: float
    worst: Place | None = None
    mean_duration_s: float = 0.0
    share_above: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Enqueue:
    """The request may queue; ``evict`` names the place that must leave for it, if any."""

    evict: Place | None = None


def estimate_wait_s(state: QueueState) -> float:
    """Estimate the wait of a new request from the recent rate of service.

    What goes to higher priorities is not served to this one: their later arrivals overtake it.
    """
    if state.ahead == 0 or state.served_per_s <= 0:
        return 0.0
    rate_per_s = state.served_per_s * max(MIN_REMAINING_SHARE, 1.0 - state.share_above)
    return state.ahead / rate_per_s


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


def late(place: Place, state: QueueState, now_s: float) -> errors.Refusal:
    """Make the refusal of a request that waited and cannot finish by its deadline."""
    code = errors.Code.DEADLINE if place.deadline_s <= now_s else errors.Code.OVERLOADED
    return errors.Refusal(
        code,
        "no upstream was free in time",
        step="queue",
        ran=errors.Ran.NO,
        retry_after_s=round(retry_after_s(state), 3),
    )


def decide(place: Place, state: QueueState, now_s: float) -> result.Result[Enqueue, errors.Refusal]:
    """Let a request queue, or refuse it at once.

    A full queue gives up its last place to a request that goes before it. A request whose
    expected end is after its deadline is refused now rather than when its time is over; one that
    need not wait is never refused for that, since the mean says little of a single request.
    """
    wait_s = estimate_wait_s(state)
    left_s = place.deadline_s - now_s
    if wait_s > 0 and wait_s * WAIT_SAFETY_FACTOR + state.mean_duration_s > left_s:
        return result.Err(refuse(state, "the queue is longer than the request's deadline allows"))
    if state.length < state.limit:
        return result.Ok(Enqueue())
    if state.worst is not None and place < state.worst:
        return result.Ok(Enqueue(evict=state.worst))
    return result.Err(refuse(state, "the queue is full"))


def hopeless(
    places: Sequence[Place], free_permits: int, mean_duration_s: float, now_s: float
) -> tuple[Place, ...]:
    """Give the waiting requests that can no longer finish by their deadlines.

    While there are seats for all that wait, only what is over counts: the mean says little of a
    single request, and a short one may well be in time.

    :param free: seats that this gateway may use now.
    """
    allowance_s = mean_duration_s if len(places) > free_permits else 0.0
    return tuple(p for p in places if p.deadline_s <= now_s + allowance_s)


def kept_seats(permits: int, top_share: float) -> int:
    """Give the seats that a gateway keeps free for the top rank, of all that it has.

    :param top_share: the top rank's share of recent requests; none are kept for a rank that
        nobody uses.
    """
    return math.floor(permits * RESERVED_PERMIT_SHARE) if top_share >= MIN_TOP_RANK_SHARE else 0


def share_above(shares: Mapping[int, float], rank: int) -> float:
    """Give the share of recent requests sent that went before ``rank``."""
    return sum(share for other, share in shares.items() if other < rank)


def count_sent(shares: Mapping[int, float], rank: int) -> dict[int, float]:
    """Add one request sent to the shares of the ranks, older ones weighing less and less."""
    decayed = {other: share * (1 - SENT_SHARE_WEIGHT) for other, share in shares.items()}
    return decayed | {rank: decayed.get(rank, 0.0) + SENT_SHARE_WEIGHT}
