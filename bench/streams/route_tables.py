"""Draws configurations whose routes change around accepted jobs, and says what is due then."""

import dataclasses
import random
from collections.abc import Callable

import msgspec

from cornelgrade import routes
from cornelgrade.platform.standins import edge_system

OWN_ROUTE = "notes"
ELSEWHERE_PREFIX = "/elsewhere/"
# Routes that fit calls about jobs, paths of items or all paths, but none of the callers' streams.
PREFIXES = ("/", "/lots/", "/items/", ELSEWHERE_PREFIX, f"{edge_system.NOTES_PREFIX}job/")
# Prefixes of the paths of items: of their route, of an online one, of one that may be added.
ITEM_PREFIXES = (edge_system.NOTES_PREFIX, edge_system.RESUMABLE_PREFIX, ELSEWHERE_PREFIX)
_KINDS = (routes.RouteKind.BATCH, routes.RouteKind.STREAM, routes.RouteKind.IDEMPOTENT)
_SERVICE = edge_system.SERVICE
_Change = Callable[[routes.Route], tuple[routes.Route, ...]]


def _replace(**changes) -> _Change:
    return lambda own: (dataclasses.replace(own, **changes),)


# Changes of the jobs' own route that leave its prefix, its host and its kind.
_MILD: tuple[_Change, ...] = (
    lambda own: (own,),
    _replace(targets=(routes.Target(_SERVICE, 90.0), routes.Target(_SERVICE, 10.0))),
    _replace(max_attempts=1),
    _replace(timeout_s=1.0),
)
_ANY: tuple[_Change, ...] = (
    *_MILD,
    _replace(path_prefix="/moved/"),
    _replace(host="moved.example"),
    *(_replace(kind=kind) for kind in _KINDS[1:]),
    lambda own: (),
)


def draw_plan(rng: random.Random, version: int, *, mild: bool = False) -> routes.Plan:
    """Draw a configuration.

    :param mild: whether jobs can be submitted by their own route all the time.
    """
    plan = edge_system.make_plan(version)
    own = next(route for route in plan.routes if route.name == OWN_ROUTE)
    kept = tuple(route for route in plan.routes if route.name != OWN_ROUTE)
    added = tuple(
        edge_system.make_route(f"added {prefix}", prefix, rng.choice(_KINDS))
        for prefix in PREFIXES
        if rng.random() < 0.5
    )
    changed = rng.choice(_MILD if mild else _ANY)(own)
    return dataclasses.replace(plan, routes=(*kept, *changed, *added))


class AcceptedJob(msgspec.Struct):
    """A job and the route that accepted it.

    :ivar kept: whether its route has been there all the time.
    """

    name: str
    route: str
    path: str
    kept: bool = True


def select_route(plan: routes.Plan, path: str) -> routes.Route | None:
    """Return the route of the callers' host with the longest prefix that begins a path."""
    fitting = [
        route
        for route in plan.routes
        if route.host == edge_system.HOST and path.startswith(route.path_prefix)
    ]
    return max(fitting, key=lambda route: len(route.path_prefix), default=None)


def takes_jobs(plan: routes.Plan, path: str) -> routes.Route | None:
    """Return the route that accepts a job with a path, ``None`` if there is none."""
    route = select_route(plan, path)
    return route if route is not None and route.kind is routes.RouteKind.BATCH else None


def expected_status(plan: routes.Plan, path: str) -> int:
    """Return the status of a read whose path names no accepted job."""
    route = select_route(plan, path)
    online = route is not None and route.kind is not routes.RouteKind.BATCH
    return 200 if online else 404
