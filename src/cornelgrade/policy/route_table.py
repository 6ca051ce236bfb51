"""Lookup of a request's route, and the choice among the route's services."""

import collections

import xxhash

from cornelgrade import routes
from cornelgrade.policy import teams

_HASH_RANGE = float(1 << 64)


def normalize_host(header: str) -> str:
    """Remove the port from a ``Host`` header and convert the name to lower case."""
    name, _, port = header.strip().rpartition(":")
    return (name if port.isdigit() and name else header.strip()).lower()


class RouteTable:
    """Finds routes by host and longest path prefix, and teams by key.

    A host's routes are sorted by descending prefix length, so a search ends at its first match.
    """

    def __init__(self, plan: routes.Plan) -> None:
        self.plan = plan
        self._by_host: dict[str, list[routes.Route]] = collections.defaultdict(list)
        for route in sorted(plan.routes, key=lambda r: len(r.path_prefix), reverse=True):
            self._by_host[route.host].append(route)
        self._by_name = {route.name: route for route in reversed(plan.routes)}
        self._services = {service.name: service for service in plan.services}
        self._teams = {team.name: team for team in plan.teams or ()}
        self.keys = teams.KeyTable((team, team.key_digests) for team in plan.teams or ())

    def find(self, host: str, path: str) -> routes.Route | None:
        """Return the route of a request, ``None`` if there is none."""
        for route in self._by_host.get(normalize_host(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_batch(self, host: str) -> tuple[routes.Route, ...]:
        """Return the batch routes of a host."""
        found = self._by_host.get(normalize_host(host), ())
        return tuple(route for route in found if route.kind is routes.RouteKind.BATCH)

    def by_name(self, name: str) -> routes.Route | None:
        """Return the route called ``name``."""
        return self._by_name.get(name)

    def authenticate(
        self, key_digests: tuple[bytes, ...], *, key_required: bool
    ) -> routes.Team | None:
        """Return the team whose key a request carries, ``None`` if requests need no keys.

        :param key_required: whether the request's route needs a key if there are teams.
        :raises Refusal: ``UNAUTHORIZED`` if there are teams and it has no valid key of one.
        """
        if self.plan.teams is None:
            return None
        if not key_required:
            return self.keys.find(key_digests)
        return self.keys.authenticate(key_digests)

    def team(self, name: str) -> routes.Team | None:
        """Return the team called ``name``."""
        return self._teams.get(name)

    def service(self, name: str) -> routes.Service | None:
        """Return the service called ``name``."""
        return self._services.get(name)


def pick_service(route: routes.Route, key: str) -> str:
    """Choose one of a route's services in proportion to their weights, the same for equal keys.

    :param key: string that is hashed, such as the request's id.
    """
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh3_64_intdigest(key.encode()) / _HASH_RANGE * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
