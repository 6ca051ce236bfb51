"""What a relayed request is and how far it came, with the decisions that follow from it."""

import msgspec

from cornelgrade import errors, logs, routes
from cornelgrade.adapters import http1, http1_server
from cornelgrade.policy import event_stream, listed_runs, software_versions, stream_end
from cornelgrade.services.edge import forwarding, ports, serving_start, slot_permits

# Statuses that say that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# The step of failures after the request was sent.
STEP = "answer"


class Progress(msgspec.Struct):
    """Progress of a request over all its attempts.

    :ivar upstreams_tried: number of upstreams that it was assigned to.
    :ivar runs: number of upstreams that may have run it.
    :ivar earlier_runs: the same at the gateway that forwarded it here.
    :ivar last_event: number of the last event sent to the caller.
    :ivar last_event_s: when it arrived or, before the first one of an attempt, the head.
    :ivar response_bytes: bytes of response bodies received.
    :ivar origin: what began the stream, once it has begun, here or in an earlier attempt.
    :ivar recorded: the origin that was recorded last, so that the stream can be taken up.
    :ivar serving: which start serves the last response, ``None`` if a peer does.
    :ivar received: what the last response has brought of a stream that can't be asked for again.
    :ivar framing: what marks the end of the last response.
    :ivar end: what the last run shows of the end of the stream.
    :ivar repeats: what of a stream that can be asked for again came before.
    :ivar peer: the gateway to which it was forwarded last; empty once it is tried here.
    :ivar failed_peers: gateways that failed to serve it.
    """

    upstreams_tried: int = 0
    runs: int = 0
    earlier_runs: int = 0
    started: bool = False
    last_event: int | None = None
    last_event_s: float = 0.0
    response_bytes: int = 0
    origin: software_versions.StreamOrigin | None = None
    recorded: software_versions.StreamOrigin | None = None
    serving: serving_start.ServingStart | None = None
    received: listed_runs.Received | None = None
    framing: http1.Framing | None = None
    end: stream_end.StreamEnd = msgspec.field(default_factory=stream_end.StreamEnd)
    repeats: event_stream.Repeats = msgspec.field(default_factory=event_stream.Repeats)
    first_byte_s: float | None = None
    upstream: str = ""
    permit: slot_permits.SlotPermit | None = None
    failed_upstreams: frozenset[str] = frozenset()
    peer: str = ""
    failed_peers: frozenset[str] = frozenset()


class Request(msgspec.Struct, frozen=True):
    """A request with its caller, route and deadline.

    :param hop: where it came from, if another gateway forwarded it.
    :param team: the team that it belongs to, if any.
    :param rank: its priority; 0 is the most urgent.
    :param fingerprint: identifies the request across callers' repeats, which have ids of their own.
    """

    exchange: http1_server.Exchange
    caller: ports.Caller
    route: routes.Route
    deadline_s: float
    fingerprint: str
    hop: forwarding.Hop | None = None
    team: str = ""
    rank: int = 0


def is_last_attempt(req: Request, progress: Progress) -> bool:
    """Whether no other upstream may run the request after the next one."""
    return progress.earlier_runs + progress.runs + 1 >= req.route.max_attempts


def may_repeat(req: Request, progress: Progress) -> bool:
    """Whether another upstream may run the request if the next one fails."""
    return req.route.repeatable and not is_last_attempt(req, progress)


def placement_fields(permit: slot_permits.SlotPermit | None) -> dict[str, logs.Value]:
    """Return the log fields of the load by which the last upstream was chosen."""
    if permit is None:
        return {}
    candidate = permit.candidate
    return {
        "own": candidate.own,
        "others": candidate.others,
        "batch": candidate.batch,
        "load_age_s": permit.load_age_s,
        "waited_s": permit.waited_s,
    }


def final_refusal(progress: Progress, refusal: errors.Refusal) -> errors.Refusal:
    """Return the refusal as is only if no upstream can have run the request."""
    if not progress.runs:
        return refusal
    return errors.Refusal(
        errors.Code.UPSTREAM_FAILED, refusal.message, step=refusal.step, ran=errors.Ran.UNKNOWN
    )


def timeout_refusal(progress: Progress) -> errors.Refusal:
    """Return the refusal after a timeout; once an upstream or peer was tried, it may have run."""
    if not (progress.upstreams_tried or progress.runs or progress.peer):
        return errors.Refusal(
            errors.Code.OVERLOADED,
            "no permit before the deadline",
            step="choose",
            retry_after_s=slot_permits.RETRY_AFTER_S,
        )
    return errors.Refusal(
        errors.Code.DEADLINE,
        "no complete response before the deadline",
        step=STEP,
        ran=errors.Ran.UNKNOWN,
    )
