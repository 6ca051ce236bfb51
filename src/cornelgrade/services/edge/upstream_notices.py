"""Records what calls show of upstreams: that they leave, their limits, their start, their path."""

from cornelgrade import kernel, routes
from cornelgrade.adapters import engine, http1
from cornelgrade.services.edge import fleet, path_ends, ports, upstream_limits


class UpstreamNotices:
    """Passes what responses say to the services that act on it."""

    def __init__(self, kern: kernel.Kernel, call_format: ports.CallFormat) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._limits = kern.find("upstream_limits", upstream_limits.UpstreamLimits)
        self._path_ends = kern.find("path_ends", path_ends.PathEnds)
        self._call_format = call_format

    def record(self, up: routes.Upstream, head: http1.ResponseHead) -> None:
        """Record what the head of a response says, of whatever status."""
        if self._call_format.is_leaving(head):
            self._fleet.record_leaving(up)
        self._limits.record_reading(up, self._call_format.read_limit(head))

    def record_load(self, up: routes.Upstream, load: ports.UpstreamLoad, asked_s: float) -> None:
        """Record what a load report says of more than the load."""
        self._fleet.record_start(up, load.started_ms, asked_s)

    def record_failure(self, up: routes.Upstream, exc: engine.CallError) -> None:
        """Record that no load report arrived."""
        self._path_ends.record_failure(up, exc)
