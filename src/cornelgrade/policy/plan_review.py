"""Review of a plan before it is sent: what can't be served, and limits that contradict.

Paths name the fields of :class:`routes.Plan`; the plan is a draft that still has targets without
weight, teams with equal names and limits that can't be enforced.
"""

import dataclasses
import math
from collections.abc import Callable, Iterator
from typing import Any

from cornelgrade import routes
from cornelgrade.policy import findings, token_bucket


def review(plan: routes.Plan) -> tuple[findings.Finding, ...]:
    """Return everything that is found in a plan."""
    return tuple(finding for rule in _RULES for finding in rule(plan))


def _find_repeated_names(plan: routes.Plan) -> Iterator[findings.Finding]:
    sections: dict[str, tuple[Any, ...]] = {
        "routes": plan.routes,
        "services": plan.services,
        "teams": plan.teams or (),
    }
    for section, entries in sections.items():
        for i, first in findings.find_repeats(entry.name for entry in entries):
            message = f"name {entries[i].name} is already at {section}[{first}]"
            yield findings.make_error(f"$.{section}[{i}].name", message)


def _find_unreachable_routes(plan: routes.Plan) -> Iterator[findings.Finding]:
    places = [(route.host, route.path_prefix) for route in plan.routes]
    for i, first in findings.find_repeats(places):
        message = f"never matches: route {plan.routes[first].name} has this host and prefix, too"
        yield findings.make_error(f"$.routes[{i}].path_prefix", message)
    for i, route in enumerate(plan.routes):
        path = f"$.routes[{i}]"
        if not route.path_prefix.startswith("/"):
            yield findings.make_error(
                f"{path}.path_prefix", "never matches: it has to begin with a slash"
            )
        elif not route.path_prefix.endswith("/"):
            message = f"matches {route.path_prefix}x, too, since it does not end with a slash"
            yield findings.make_warning(f"{path}.path_prefix", message)
        if not route.host or route.host.rpartition(":")[2].isdigit():
            yield findings.make_error(
                f"{path}.host", "never matches: it has to be a name without a port"
            )


def _find_target_problems(plan: routes.Plan) -> Iterator[findings.Finding]:
    listed = {service.name for service in plan.services}
    for i, route in enumerate(plan.routes):
        path = f"$.routes[{i}]"
        if not any(target.weight > 0 for target in route.targets):
            message = f"route {route.name} has no targets, so all its requests are rejected"
            yield findings.make_error(path, message)
        for j, target in enumerate(route.targets):
            if target.weight <= 0:
                message = f"service {target.service} gets no requests of route {route.name}"
                yield findings.make_warning(f"{path}.targets[{j}].weight", message)
            if target.service not in listed:
                message = f"service {target.service} is not listed"
                yield findings.make_error(f"{path}.targets[{j}].service", message)


def _find_unused_services(plan: routes.Plan) -> Iterator[findings.Finding]:
    used = {target.service for route in plan.routes for target in route.targets}
    for i, service in enumerate(plan.services):
        if service.name not in used:
            yield findings.make_warning(
                f"$.services[{i}]", f"no route leads to service {service.name}"
            )


def _find_route_limits(plan: routes.Plan) -> Iterator[findings.Finding]:
    for i, route in enumerate(plan.routes):
        path = f"$.routes[{i}]"
        yield from _find_timeout_problems(route, path)
        if route.kind is routes.RouteKind.BATCH:
            yield from _find_job_policy_problems(route.job_policy, f"{path}.job_policy")


def _find_timeout_problems(route: routes.Route, path: str) -> Iterator[findings.Finding]:
    aims = {"target latency": route.aim_s}
    if route.kind is routes.RouteKind.STREAM:
        aims["target for the pause between events"] = route.gap_aim_s
    if route.timeout_s <= 0:
        yield findings.make_error(
            f"{path}.timeout_s", "the timeout is not over 0, so all requests time out"
        )
        return
    for name, aim_s in aims.items():
        if route.timeout_s < aim_s:
            message = f"the timeout of {route.timeout_s:g} s is under the {name} of {aim_s:g} s"
            yield findings.make_warning(f"{path}.timeout_s", message)


def _find_job_policy_problems(terms: routes.JobPolicy, path: str) -> Iterator[findings.Finding]:
    if terms.waiting_tokens < 0:
        yield findings.make_error(f"{path}.waiting_tokens", "the number of tokens is under 0")
    if terms.item_ttl_s <= 0:
        yield findings.make_error(
            f"{path}.item_ttl_s", "the time to live is not over 0, so no item is run"
        )
    elif terms.item_ttl_s < terms.completion_aim_s:
        message = (
            f"the time to live of {terms.item_ttl_s:g} s is under the completion target of "
            f"{terms.completion_aim_s:g} s"
        )
        yield findings.make_warning(f"{path}.item_ttl_s", message)


def _find_service_limits(plan: routes.Plan) -> Iterator[findings.Finding]:
    for i, service in enumerate(plan.services):
        if service.slots < 1:
            yield findings.make_error(
                f"$.services[{i}].slots", "an upstream without slots gets no requests"
            )
        elif service.max_connections < service.slots:
            message = f"{service.max_connections} connections are too few for {service.slots} slots"
            yield findings.make_warning(f"$.services[{i}].max_connections", message)


def _find_caller_limits(plan: routes.Plan) -> Iterator[findings.Finding]:
    for name, value in dataclasses.asdict(plan.limits).items():
        if value < 0:
            yield findings.make_error(f"$.limits.{name}", "the limit is under 0")


def _find_key_problems(plan: routes.Plan) -> Iterator[findings.Finding]:
    teams = plan.teams or ()
    owners: dict[bytes, int] = {}
    for i, team in enumerate(teams):
        path = f"$.teams[{i}].key_digests"
        if not team.key_digests:
            message = f"team {team.name} has no keys, so no request can belong to it"
            yield findings.make_warning(path, message)
        for j, digest in enumerate(team.key_digests):
            owner = owners.setdefault(digest, i)
            if owner != i:
                message = (
                    f"key is already team {teams[owner].name}'s, and its requests are that team's"
                )
                yield findings.make_error(f"{path}[{j}]", message)
    if plan.teams is not None and not owners and any(route.needs_key for route in plan.routes):
        message = "no team has a key, so all requests of routes that need one are rejected"
        yield findings.make_error("$.teams", message)


def _find_team_limits(plan: routes.Plan) -> Iterator[findings.Finding]:
    for i, team in enumerate(plan.teams or ()):
        if team.rate_limit:
            yield from review_rate_limit(team.rate_limit, f"$.teams[{i}].rate_limit")


def review_rate_limit(limit: token_bucket.RateLimit, path: str) -> Iterator[findings.Finding]:
    """Yield what is wrong with a team's rate limit.

    :param path: path of the limit, whose fields are ``rate_per_s`` and ``burst``.
    """
    rate_per_s, burst = limit.rate_per_s, limit.burst
    if not (math.isfinite(rate_per_s) and math.isfinite(burst)) or min(rate_per_s, burst) < 0:
        yield findings.make_error(f"{path}.rate_per_s", "the limit is invalid and not enforced")
    elif not rate_per_s:
        yield findings.make_warning(f"{path}.burst", "a burst without a rate is not enforced")
    elif burst < rate_per_s:
        message = f"the burst of {burst:g} is under one second of the rate of {rate_per_s:g}/s"
        yield findings.make_warning(f"{path}.burst", message)


_RULES: tuple[Callable[[routes.Plan], Iterator[findings.Finding]], ...] = (
    _find_repeated_names,
    _find_unreachable_routes,
    _find_target_problems,
    _find_unused_services,
    _find_route_limits,
    _find_service_limits,
    _find_caller_limits,
    _find_key_problems,
    _find_team_limits,
)
