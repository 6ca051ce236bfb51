"""Reads the operator's desired state into :class:`routes.Plan`."""

import msgspec

from cornelgrade import logs, routes

KIND = "config"
NAME = "main"
_MS_PER_S = 1000.0
_log = logs.Logger("plans")
# What the platform calls the kinds; one that is not named here is taken as what may run once.
_KINDS = {
    "safe": routes.RouteKind.IDEMPOTENT,
    "unsafe": routes.RouteKind.ONCE,
    "streaming": routes.RouteKind.STREAM,
    "batch": routes.RouteKind.BATCH,
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    # Several services by weight, in place of ``service``.
    traffic_split: list[_Split] = []
    timeout_ms: float = 30_000.0
    # Batch: the time to the acceptance of a job.
    target_latency_ms: float = 1_000.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    gap_aim_ms: float = msgspec.field(name="gap_aim_ms", default=1_000.0)
    completion_target_ms: float = 60_000.0
    item_ttl_s: float = 3_600.0
    # The most tokens that may wait on a batch route.
    cap: float = 0.0


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 8


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 256
    engine: _Engine = _Engine()


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()


def read(value: bytes) -> routes.Plan | None:
    """Decode a desired state, ``None`` if it can't be read."""
    try:
        got = msgspec.json.decode(value, type=_Config)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        _log.error("plan_unreadable", error=repr(exc))
        return None
    return routes.Plan(
        version=got.version,
        routes=tuple(_route(route) for route in got.routes),
        services=tuple(
            routes.Service(s.name, s.engine.slots, s.max_connections) for s in got.services
        ),
        limits=routes.CallerLimits(
            header_bytes=got.limits.max_header_bytes,
            body_bytes=got.limits.max_body_bytes,
            header_timeout_s=got.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=got.limits.idle_timeout_ms / _MS_PER_S,
        ),
    )


def _route(got: _Route) -> routes.Route:
    if got.kind not in _KINDS:
        _log.warning("route_kind_unknown", route=got.name, kind=got.kind)
    return routes.Route(
        name=got.name,
        host=got.host.lower(),
        path_prefix=got.path_prefix,
        kind=_KINDS.get(got.kind, routes.RouteKind.ONCE),
        targets=_targets(got),
        timeout_s=got.timeout_ms / _MS_PER_S,
        aim_s=got.target_latency_ms / _MS_PER_S,
        gap_aim_s=got.gap_aim_ms / _MS_PER_S,
        rank=got.priority,
        max_attempts=got.max_attempts,
        resumable=got.resumable,
        job_policy=routes.JobPolicy(
            completion_aim_s=got.completion_target_ms / _MS_PER_S,
            item_ttl_s=got.item_ttl_s,
            waiting_tokens=int(got.cap),
        ),
    )


def _targets(got: _Route) -> tuple[routes.Target, ...]:
    split = tuple(routes.Target(s.service, s.weight) for s in got.traffic_split if s.weight > 0)
    return split or ((routes.Target(got.service),) if got.service else ())
