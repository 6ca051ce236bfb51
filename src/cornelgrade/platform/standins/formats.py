"""Encoders of the platform's formats on the side of operators, engines and callers."""

import base64
from collections.abc import Mapping

import msgspec

from cornelgrade import routes

_MS_PER_S = 1000.0
_ROUTE_KINDS = {
    routes.RouteKind.IDEMPOTENT: "safe",
    routes.RouteKind.ONCE: "unsafe",
    routes.RouteKind.STREAM: "streaming",
    routes.RouteKind.BATCH: "batch",
}


def encode_plan(value: routes.Plan, keys: Mapping[str, tuple[str, ...]] | None = None) -> bytes:
    """Encode a plan as an operator's configuration.

    :param keys: the keys of each team, of which the plan has only the digests.
    """
    services = [
        {"name": s.name, "engine": {"slots": s.slots}, "maxConnections": s.max_connections}
        for s in value.services
    ]
    listed = [_encode_route(route) for route in value.routes]
    config = {"version": value.version, "routes": listed, "services": services}
    if value.teams is not None:
        config["tenants"] = [_encode_team(t, (keys or {}).get(t.name, ())) for t in value.teams]
    return msgspec.json.encode(config)


def _encode_team(team: routes.Team, keys: tuple[str, ...]) -> dict[str, object]:
    limit = team.rate_limit
    return {
        "name": team.name,
        "apiKeys": keys,
        "priority": team.rank,
        "ratePerS": limit.rate_per_s if limit else 0,
        "burst": limit.burst if limit else 0,
    }


def _encode_route(route: routes.Route) -> dict[str, object]:
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": _ROUTE_KINDS[route.kind],
        "trafficSplit": [{"service": t.service, "weight": t.weight} for t in route.targets],
        "timeoutMs": route.timeout_s * _MS_PER_S,
        "targetLatencyMs": route.aim_s * _MS_PER_S,
        "gap_aim_ms": route.gap_aim_s * _MS_PER_S,
        "priority": route.rank,
        "maxAttempts": route.max_attempts,
        "resumable": route.resumable,
        "completionTargetMs": route.job_policy.completion_aim_s * _MS_PER_S,
        "itemTtlS": route.job_policy.item_ttl_s,
        "cap": route.job_policy.waiting_tokens,
        "allowAnonymous": not route.needs_key,
    }


def encode_entry(up: routes.Upstream) -> bytes:
    """Encode an engine's registration."""
    return msgspec.json.encode(
        {
            "service": up.service,
            "address": up.address,
            "zone": up.failure_domain,
            "state": "draining" if up.leaving else "ready",
            "slots": up.slots,
            "born": up.started_ms,
            "version": up.version,
        }
    )


def online_headers(request: str, timeout_s: float) -> dict[str, str]:
    """Return the headers of an online request."""
    return {**request_headers(request), "x-deadline-ms": str(int(timeout_s * _MS_PER_S))}


def prompt_headers(*parts: str) -> dict[str, str]:
    """Return the header that lists the parts of a prompt, the request's own one last."""
    return {"x-prompt-prefix": ",".join(f"{part}:100" for part in parts)}


def take_up_headers(first_request: str, last_event: int) -> dict[str, str]:
    """Return the headers by which a caller takes a stream up.

    :param first_request: id of the attempt that brought its first event.
    """
    return {"resumes": first_request, "last-event-id": str(last_event)}


def request_headers(request: str) -> dict[str, str]:
    """Return the headers of a job submission or of a request without a deadline."""
    return {"x-request-id": request}


def key_headers(key: str) -> dict[str, str]:
    """Return the header that carries a team's key; none without a key."""
    return {"x-key": key} if key else {}


def encode_job(
    prefix: str,
    items: dict[str, bytes],
    tokens: int = 100,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Encode a job; ``items`` maps ids, which are appended to the path prefix, to bodies.

    :param headers: of each item.
    """
    listed = [
        {
            "id": name,
            "path": f"{prefix}{name}",
            "headers": headers or {},
            "body": base64.b64encode(body).decode(),
            "tokens": tokens,
        }
        for name, body in items.items()
    ]
    return msgspec.json.encode({"items": listed})


def job_target(job: str, after: int | None = None) -> str:
    """Return the target of a job, or of its results from position ``after`` on."""
    return f"/lots/{job}" if after is None else f"/lots/{job}?after={after}"


def wait_headers(wait_s: float) -> dict[str, str]:
    """Return the headers of a call that waits for results."""
    return {"x-wait-ms": str(int(wait_s * _MS_PER_S))}


def decode_results(body: bytes) -> list[tuple[str, str, str]]:
    """Decode a page of results to tuples of item id, state and text."""
    page = msgspec.json.decode(body)
    return [(result["id"], result["state"], result["text"]) for result in page["results"]]
