"""Admission control: a bounded queue by priority, then deadline."""

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


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """Sort key of a request in the queue; the smallest is served first.

    :param rank: rank of the request's priority.
    :param deadline_s: time at which the caller stops waiting, on the process's clock.
    :param number: sequence number of the arrival.
    """

    rank: int
    deadline_s: float
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """State of the queue at an admission decision.

    :param ahead: queued requests that are served before the new one.
    :param served_per_s: recent rate at which requests leave the queue for an upstream.
    :param last_place: last place in the queue, ``None`` if the queue is empty.
    :param mean_duration_s: recent mean duration of a request after it is sent.
    :param higher_rank_share: share of the recently sent requests that had a higher priority.
    """

    length: int
    limit: int
    ahead: int
    served_per_s: float
    last_place: Place | None = None
    mean_duration_s: float = 0.0
    higher_rank_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Enqueue:
    """Admit the request to the queue after evicting the request at ``evict``, if any."""

    evict: Place | None = None


def estimate_wait_s(state: QueueState) -> float:
    """Estimate the queueing time of a new request from the recent service rate.

    Higher priorities keep their share of that rate, since their later arrivals overtake the
    request.
    """
    if state.ahead == 0 or state.served_per_s <= 0:
        return 0.0
    rate_per_s = state.served_per_s * max(MIN_REMAINING_SHARE, 1.0 - state.higher_rank_share)
    return state.ahead / rate_per_s


def retry_after_s(state: QueueState) -> float:
    """Estimate the time until the queue has room again."""
    if state.served_per_s <= 0:
        return 1.0
    return max(MIN_RETRY_AFTER_S, state.length / state.served_per_s)


def make_overload_refusal(state: QueueState, message: str) -> errors.Refusal:
    """Return the refusal of a request that cannot be served in time."""
    return errors.Refusal(
        errors.Code.OVERLOADED,
        message,
        step="admit",
        ran=errors.Ran.NO,
        retry_after_s=round(retry_after_s(state), 3),
    )


def make_timeout_refusal(place: Place, state: QueueState, now_s: float) -> errors.Refusal:
    """Return the refusal of a queued request that cannot finish by its deadline."""
    code = errors.Code.DEADLINE if place.deadline_s <= now_s else errors.Code.OVERLOADED
    return errors.Refusal(
        code,
        "no upstream was free in time",
        step="queue",
        ran=errors.Ran.NO,
        retry_after_s=round(retry_after_s(state), 3),
    )


def decide(place: Place, state: QueueState, now_s: float) -> result.Result[Enqueue, errors.Refusal]:
    """Admit a request to the queue or refuse it immediately.

    A full queue evicts its last request in favor of a new one that is served before it. A request
    that is expected to end after its deadline is refused now rather than at the deadline. One that
    need not wait is never refused for that reason, since the mean duration predicts a single
    request poorly.
    """
    wait_s = estimate_wait_s(state)
    left_s = place.deadline_s - now_s
    if wait_s > 0 and wait_s * WAIT_SAFETY_FACTOR + state.mean_duration_s > left_s:
        return result.Err(
            make_overload_refusal(state, "the queue is longer than the request's deadline allows")
        )
    if state.length < state.limit:
        return result.Ok(Enqueue())
    if state.last_place is not None and place < state.last_place:
        return result.Ok(Enqueue(evict=state.last_place))
    return result.Err(make_overload_refusal(state, "the queue is full"))


def find_unservable(
    places: Sequence[Place], free_permits: int, mean_duration_s: float, now_s: float
) -> tuple[Place, ...]:
    """Return the queued requests that can no longer finish by their deadlines.

    While there are slot permits for the whole queue, only requests past their deadlines are
    returned: the mean duration predicts a single request poorly, and a short one may still finish
    in time.

    :param free_permits: slot permits that this gateway may use now.
    """
    allowance_s = mean_duration_s if len(places) > free_permits else 0.0
    return tuple(p for p in places if p.deadline_s <= now_s + allowance_s)


def reserved_permits(permits: int, top_share: float) -> int:
    """Return how many of a gateway's slot permits are reserved for the top rank.

    :param top_share: the top rank's share of the recently sent requests; no permit is reserved for
        an unused rank.
    """
    return math.floor(permits * RESERVED_PERMIT_SHARE) if top_share >= MIN_TOP_RANK_SHARE else 0


def higher_rank_share(shares: Mapping[int, float], rank: int) -> float:
    """Return the share of the recently sent requests that ranked higher than ``rank``."""
    return sum(share for other, share in shares.items() if other < rank)


def record_sent(shares: Mapping[int, float], rank: int) -> dict[int, float]:
    """Update each rank's share of sent requests with one more, as an exponential moving average."""
    decayed = {other: share * (1 - SENT_SHARE_WEIGHT) for other, share in shares.items()}
    return decayed | {rank: decayed.get(rank, 0.0) + SENT_SHARE_WEIGHT}
