"""The desired state of routing: routes by host and path, services and limits."""

import dataclasses
import enum

from cornelgrade.policy import token_bucket


class RouteKind(enum.Enum):
    """How requests of a route may be retried.

    ``IDEMPOTENT`` requests may run again anywhere; ``ONCE`` requests run at most once; a
    ``STREAM`` runs at most once unless its route is resumable; ``BATCH`` accepts jobs of items.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobPolicy:
    """Targets and limits for the jobs of a batch route.

    :param completion_aim_s: target time from a job's first submission until all results exist.
    :param item_ttl_s: time from first submission after which unfinished items may be abandoned.
    :param waiting_tokens: maximum number of tokens waiting on the route, 0 for no limit.
    """

    completion_aim_s: float = 60.0
    item_ttl_s: float = 3600.0
    waiting_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where and how requests of one host and path prefix are forwarded.

    :param host: lower case, without a port.
    :param path_prefix: begins and ends with a slash.
    :param timeout_s: time limit for the complete response.
    :param aim_s: target for the time to the first byte.
    :param gap_aim_s: target for the longest gap within a stream.
    :param rank: priority; 0 is the most urgent.
    :param max_attempts: maximum number of upstreams that one request may run on.
    :param resumable: whether an interrupted stream may resume at another upstream.
    :param needs_key: whether a request has to carry a team's key, if the plan has teams.
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
    needs_key: bool = True

    @property
    def repeatable(self) -> bool:
        """Whether a request that may already have run may be retried."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is not RouteKind.ONCE


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    :param slots: concurrent requests per upstream, unless its registration sets a number.
    :param max_connections: connections that one upstream accepts from all clients together.
    """

    name: str
    slots: int = 8
    max_connections: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for callers' requests; 0 means no limit."""

    header_bytes: int = 0
    body_bytes: int = 0
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A group of callers that shares keys and limits.

    :param key_digests: SHA-256 digests of its keys.
    :param rank: priority of its requests, which goes before that of their routes; ``None`` for
        the routes' own.
    :param rate_limit: of its requests at all VMs together, ``None`` for no limit.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    rank: int | None = None
    rate_limit: token_bucket.RateLimit | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One accepted version of all routes, services, limits and teams.

    :param teams: ``None`` if requests need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    teams: tuple[Team, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as it registered itself.

    :param name: id of this start of the upstream, or of an earlier start that it took over.
    :param started_ms: Unix time of its start in milliseconds, 0 if not given.
    :param version: version of its software; empty if not given. What two versions write doesn't fit
        together, so a stream goes on only at the version that began it.
    :param restarted: whether it reports another start than its registration, whose ``version`` may
        be out of date then.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    version: str = ""
    restarted: bool = False
