"""Decodes the operator's configuration to :class:`routes.Plan`."""

import math
from typing import Any

import msgspec
import xxhash

from cornelgrade import logs, routes, validation
from cornelgrade.platform import calls
from cornelgrade.policy import teams, token_bucket

KIND = "config"
NAME = "main"
_MS_PER_S = 1000.0
_log = logs.Logger("plans")
# The platform's names of route kinds. Unknown kinds are treated as ONCE, which is never retried
# after a request may have run.
_ROUTE_KINDS = {
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
    # Several weighted services; takes precedence over ``service``.
    traffic_split: list[_Split] = []
    timeout_ms: float = 30_000.0
    # For batch routes, the target time until a job is accepted.
    target_latency_ms: float = 1_000.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    gap_aim_ms: float = msgspec.field(name="gap_aim_ms", default=1_000.0)
    completion_target_ms: float = 60_000.0
    item_ttl_s: float = 3_600.0
    # The maximum number of tokens queued on a batch route.
    cap: float = 0.0
    # Whether requests need no tenant's key.
    allow_anonymous: bool = False


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


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # Requests a second at all nodes together, 0 for no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


_ROUTE_DECODER = msgspec.json.Decoder(_Route)


class _Config(msgspec.Struct):
    version: int
    # Decoded one by one, so that those that have not changed are reused.
    routes: list[msgspec.Raw] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    # Decoded one by one, so that an invalid one doesn't keep the others from being served.
    tenants: list[msgspec.Raw] | None = None


class _Draft(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class Draft(msgspec.Struct, frozen=True):
    """A configuration that may be sent, for review.

    :param plan: has everything that :func:`decode` leaves out: targets without weight, tenants
        whose names repeat, and rate limits that can't be enforced.
    :param document: the configuration with defaults, as JSON values and without keys: ``apiKeys``
        is their number.
    """

    plan: routes.Plan
    document: dict[str, Any]


class Decoder:
    """Decodes the versions of a configuration; routes that have not changed are reused.

    A plan may have some thousand routes and change several times a second, so the time to decode
    one and the memory that it needs beside the last one depend on what changed.
    """

    def __init__(self) -> None:
        self._routes: dict[bytes, routes.Route] = {}

    def decode(self, value: bytes) -> routes.Plan | None:
        """Decode a configuration, ``None`` if it is invalid."""
        try:
            config = msgspec.json.decode(value, type=_Config)
            decoded = self._decode_routes(config.routes)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            _log.error("plan_invalid", error=repr(exc))
            return None
        return _convert(config, decoded, _decode_teams(config.tenants))

    def _decode_routes(self, raws: list[msgspec.Raw]) -> tuple[routes.Route, ...]:
        by_digest: dict[bytes, routes.Route] = {}
        digests = [xxhash.xxh3_128_digest(bytes(raw)) for raw in raws]
        for digest, raw in zip(digests, raws, strict=True):
            if digest not in by_digest:
                by_digest[digest] = self._routes.get(digest) or _decode_route(raw)
        self._routes = by_digest
        return tuple(by_digest[digest] for digest in digests)


def decode(value: bytes) -> routes.Plan | None:
    """Decode a single configuration, ``None`` if it is invalid."""
    return Decoder().decode(value)


def _decode_route(raw: msgspec.Raw) -> routes.Route:
    route = _ROUTE_DECODER.decode(raw)
    return _convert_route(route, _convert_targets(route))


def decode_draft(value: bytes) -> Draft:
    """Decode a configuration for review.

    :raises BadInputError: if it is invalid, with one entry per problem.
    """
    config = validation.decode(value, _Draft, step="desired state")
    found = None if config.tenants is None else tuple(map(_convert_draft_tenant, config.tenants))
    document = msgspec.to_builtins(config)
    for tenant in document["tenants"] or ():
        tenant["apiKeys"] = len(tenant["apiKeys"])
    converted = tuple(
        _convert_route(route, _convert_draft_targets(route)) for route in config.routes
    )
    return Draft(_convert(config, converted, found), document)


def is_known_kind(kind: str) -> bool:
    """Return whether a route's kind is known; others are treated as ``unsafe``."""
    return kind in _ROUTE_KINDS


def _convert(
    config: _Config | _Draft,
    converted: tuple[routes.Route, ...],
    found: tuple[routes.Team, ...] | None,
) -> routes.Plan:
    return routes.Plan(
        version=config.version,
        routes=converted,
        services=tuple(
            routes.Service(s.name, s.engine.slots, s.max_connections) for s in config.services
        ),
        limits=routes.CallerLimits(
            header_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            header_timeout_s=config.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=config.limits.idle_timeout_ms / _MS_PER_S,
        ),
        teams=found,
    )


def _decode_teams(tenants: list[msgspec.Raw] | None) -> tuple[routes.Team, ...] | None:
    """Decode the tenants; those that can't be served are logged and left out."""
    if tenants is None:
        return None
    by_name: dict[str, routes.Team] = {}
    for raw in tenants:
        try:
            tenant = msgspec.json.decode(raw, type=_Tenant)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            _log.error("team_invalid", error=repr(exc))
            continue
        if not tenant.name or not calls.is_field_value(tenant.name) or tenant.name in by_name:
            _log.error("team_invalid", team=tenant.name, error="its name is not unique or invalid")
            continue
        by_name[tenant.name] = _convert_tenant(tenant, _convert_rate_limit(tenant))
    return tuple(by_name.values())


def _convert_tenant(tenant: _Tenant, limit: token_bucket.RateLimit | None) -> routes.Team:
    return routes.Team(
        name=tenant.name,
        key_digests=tuple(teams.digest_key(key.encode()) for key in tenant.api_keys if key),
        rank=tenant.priority,
        rate_limit=limit,
    )


def _convert_draft_tenant(tenant: _Tenant) -> routes.Team:
    """Convert a tenant with its rate limit, also if that is invalid."""
    rate_per_s, burst = tenant.rate_per_s, tenant.burst
    limit = token_bucket.RateLimit(rate_per_s, burst) if rate_per_s or burst else None
    return _convert_tenant(tenant, limit)


def _convert_rate_limit(tenant: _Tenant) -> token_bucket.RateLimit | None:
    """Return a tenant's rate limit; a burst without a rate can't be kept to."""
    rate_per_s, burst = tenant.rate_per_s, tenant.burst
    if not (math.isfinite(rate_per_s) and math.isfinite(burst)) or min(rate_per_s, burst) < 0:
        _log.error("team_limit_invalid", team=tenant.name, rate_per_s=rate_per_s, burst=burst)
        return None
    if not rate_per_s:
        return None
    return token_bucket.RateLimit(rate_per_s, burst)


def _convert_route(route: _Route, targets: tuple[routes.Target, ...]) -> routes.Route:
    if route.kind not in _ROUTE_KINDS:
        _log.warning("route_kind_unknown", route=route.name, kind=route.kind)
    return routes.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_ROUTE_KINDS.get(route.kind, routes.RouteKind.ONCE),
        targets=targets,
        timeout_s=route.timeout_ms / _MS_PER_S,
        aim_s=route.target_latency_ms / _MS_PER_S,
        gap_aim_s=route.gap_aim_ms / _MS_PER_S,
        rank=route.priority,
        max_attempts=route.max_attempts,
        resumable=route.resumable,
        job_policy=routes.JobPolicy(
            completion_aim_s=route.completion_target_ms / _MS_PER_S,
            item_ttl_s=route.item_ttl_s,
            waiting_tokens=int(route.cap),
        ),
        needs_key=not route.allow_anonymous,
    )


def _convert_targets(route: _Route) -> tuple[routes.Target, ...]:
    split = tuple(routes.Target(s.service, s.weight) for s in route.traffic_split if s.weight > 0)
    return split or ((routes.Target(route.service),) if route.service else ())


def _convert_draft_targets(route: _Route) -> tuple[routes.Target, ...]:
    """Return all targets of a route's split, then its ``service`` if no part of it is used."""
    split = tuple(routes.Target(s.service, s.weight) for s in route.traffic_split)
    is_used = any(target.weight > 0 for target in split)
    return split if is_used or not route.service else (*split, routes.Target(route.service))
