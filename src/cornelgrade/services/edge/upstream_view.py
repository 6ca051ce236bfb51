"""A gateway's view of a service's upstreams beside their load: speeds and order of preference."""

import msgspec
import trio

from cornelgrade import routes, settings
from cornelgrade.policy import preference, upstream_speed
from cornelgrade.services.edge import peers

# How long a view is used before it is computed anew; speeds and registered gateways change rarely.
VIEW_TTL_S = 0.2
# A batch owner sends changes of the load this late, because it collects them for so long.
REPORT_DELAY_S = 0.05


class View(msgspec.Struct, frozen=True):
    """Speeds of the upstreams of a service, and this gateway's preference among them."""

    upstreams: tuple[str, ...]
    speeds: upstream_speed.Speeds
    preferences: dict[str, float]
    at_s: float

    def report_age(self, age_s: float | None) -> float | None:
        """Return a report's age in durations of a request.

        :param age_s: time since its receipt, ``None`` if there is none.
        """
        return None if age_s is None else (age_s + REPORT_DELAY_S) / self.speeds.typical_s


class UpstreamView:
    """Keeps a view of each service."""

    def __init__(self, peer_service: peers.Peers, cfg: settings.EdgeSettings) -> None:
        self._peers = peer_service
        self._cfg = cfg
        self._table = upstream_speed.SpeedTable()
        self._views: dict[str, View] = {}

    def record_response(self, upstream: str, took_s: float) -> None:
        """Record the duration of a complete, successful response."""
        self._table.record(upstream, took_s, trio.current_time())

    def record_report(self, upstream: str, mean_s: float) -> None:
        """Record the mean duration that the upstream's batch owner reported."""
        self._table.record_report(upstream, mean_s, trio.current_time())

    def of_service(self, service: str, upstreams: tuple[routes.Upstream, ...]) -> View:
        """Return the view of a service.

        :param upstreams: all upstreams of the service that may be sent requests.
        """
        now_s = trio.current_time()
        view = self._views.get(service)
        names = tuple(up.name for up in upstreams)
        if view is None or view.upstreams != names or now_s - view.at_s >= VIEW_TTL_S:
            self._table.forget_old(now_s)
            speeds = self._table.assess(names, now_s)
            view = View(names, speeds, self._rank(upstreams), now_s)
            self._views[service] = view
        return view

    def _rank(self, upstreams: tuple[routes.Upstream, ...]) -> dict[str, float]:
        """Rank local upstreams among the local gateways, and the others among all gateways."""
        domain = self._cfg.failure_domain
        local = sorted(up.name for up in upstreams if up.failure_domain == domain)
        remote = sorted(up.name for up in upstreams if up.failure_domain != domain)
        near = self._peers.registered_vms(peers.Role.GATEWAY, domain)
        everyone = self._peers.registered_vms(peers.Role.GATEWAY)
        return preference.rank_upstreams(
            self._cfg.vm, near, tuple(local)
        ) | preference.rank_upstreams(self._cfg.vm, everyone, tuple(remote))
