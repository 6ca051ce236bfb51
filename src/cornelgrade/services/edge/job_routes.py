"""What the plan in force says about a job that was accepted under an earlier one.

A job belongs to the route that accepted it, by name, until it is deleted. That route decides where
its items run, how often they may fail and when they are given up, whichever routes the paths of the
items or of calls about the job fit at present. Calls about an accepted job go before all routes.
"""

from cornelgrade import routes
from cornelgrade.policy import route_table
from cornelgrade.services.edge import job_repository


def find_route(
    table: route_table.RouteTable, header: job_repository.JobHeader
) -> routes.Route | None:
    """Return the route of a job as it is now, ``None`` if the plan doesn't have it."""
    return table.by_name(header.route)


def is_at_host(table: route_table.RouteTable, header: job_repository.JobHeader, host: str) -> bool:
    """Whether calls about a job come with a host: that of its submission, or its route's now."""
    route = find_route(table, header)
    return route_table.normalize_host(host) in (header.host, route.host if route else header.host)


def is_removed(table: route_table.RouteTable, header: job_repository.JobHeader) -> bool:
    """Whether a job's route was removed; a plan older than the job's can't show that."""
    return table.plan.version >= header.plan and find_route(table, header) is None


def pick_service(
    table: route_table.RouteTable, header: job_repository.JobHeader, item: str
) -> str | None:
    """Return the service that runs an item of a job, ``None`` if its route has none now."""
    route = find_route(table, header)
    if route is None or not route.targets:
        return None
    return route_table.pick_service(route, item)


def has_failed(
    table: route_table.RouteTable | None, header: job_repository.JobHeader, failures: int
) -> bool:
    """Whether an item has failed as often as its route allows.

    The items of a route that is missing are given up once it counts as removed, not before: the
    next version of the plan may have it again.

    :param failures: number of its runs that an upstream reported as failed.
    """
    route = find_route(table, header) if table is not None else None
    return route is not None and failures >= route.max_attempts
