"""What operators want served: routes by host and path, services and limits, as one version."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated on a route.

    ``IDEMPOTENT`` requests may run again anywhere; ``ONCE`` requests run at most once; a
    ``STREAM`` runs at most once unless its route is resumable; ``BATCH`` takes jobs of items.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends a part of its requests to."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobPolicy:
    """What a batch route promises of its jobs.

    :param completion_aim_s: from the first sending of a job until all its results are due.
    :param item_ttl_s: from the first sending until an unfinished item may be given up.
    :param waiting_tokens: most tokens that may wait on the route at once, 0 for no bound.
    """

    completion_aim_s: float = 60.0
    item_ttl_s: float = 3600.0
    waiting_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :param host: lower case, without a port.
    :param path_prefix: begins and ends with a slash.
    :param timeout_s: longest time that a caller is kept waiting for its whole answer.
    :param aim_s: time to the first byte of an answer that is on time.
    :param gap_aim_s: longest pause within a stream that is on time.
    :param rank: 0 is the most urgent.
    :param max_attempts: most upstreams that one request may run on.
    :param resumable: whether a broken stream may go on at another upstream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float = 30.0
    aim_s: float = 1.0
    gap_aim_s: float = 1.0
    rank: int = 0
    max_attempts: int = 1
    resumable: bool = False
    job_policy: JobPolicy = JobPolicy()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is not RouteKind.ONCE


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    :param slots: requests that one upstream runs at once, if its own entry does not say.
    :param max_connections: connections that one upstream accepts from all callers together.
    """

    name: str
    slots: int = 8
    max_connections: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take; 0 where the operator sets no limit."""

    header_bytes: int = 0
    body_bytes: int = 0
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One accepted version of everything that operators want served."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as it registered itself.

    :param name: the id of this start of it, or of an earlier one that it took over.
    :param started_ms: Unix milliseconds of its start, 0 if it doesn't tell.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
