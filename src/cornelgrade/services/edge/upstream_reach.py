"""The service ``upstream_reach``: which upstreams this VM reaches, by the failures of its calls."""

from collections.abc import Callable

import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.adapters import engine
from cornelgrade.services.edge import (
    _notifier,
    fleet,
    ports,
    upstream_limits,
    upstream_loads,
    upstream_notices,
)

# Pause between probes of a suspect upstream, so that a short outage costs little capacity.
PROBE_INTERVAL_S = 0.25
_log = logs.Logger("upstream_reach")


class UpstreamReach:
    """Tracks suspect upstreams: those that were unreachable or timed out.

    :ivar changed: notified when an upstream is trusted again.
    """

    name = "upstream_reach"

    def __init__(self, kern: kernel.Kernel, call_format: ports.CallFormat) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._limits = kern.find("upstream_limits", upstream_limits.UpstreamLimits)
        self._notices = upstream_notices.UpstreamNotices(kern, call_format)
        self._call_format = call_format
        self.changed = _notifier.Notifier()
        self._suspects: set[str] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Probe suspect upstreams until cancelled."""
        async with trio.open_nursery() as self._nursery:
            started()
            await trio.sleep_forever()

    def is_suspect(self, upstream: str) -> bool:
        """Return whether an upstream was unreachable when it was last called."""
        return upstream in self._suspects

    def mark_suspect(self, upstream: routes.Upstream, reason: str) -> None:
        """Stop sending requests to an upstream that was unreachable or timed out.

        It is probed until it reports its load, so that no request has to try it first.
        """
        if upstream.name in self._suspects or self._nursery is None:
            return
        self._suspects.add(upstream.name)
        _log.warning("upstream_suspect", upstream=upstream.name, reason=reason)
        self._nursery.start_soon(self._probe_suspect, upstream)

    async def _probe_suspect(self, upstream: routes.Upstream) -> None:
        since_s = trio.current_time()
        while any(reg.upstream == upstream for reg in self._fleet.usable_registrations()):
            await trio.sleep(PROBE_INTERVAL_S)
            if self._limits.try_take_for_poll(upstream) and await self._responds(upstream):
                break
        self._suspects.discard(upstream.name)
        suspect_s = trio.current_time() - since_s
        _log.info("upstream_trusted", upstream=upstream.name, suspect_s=suspect_s)
        self.changed.notify_all()

    async def _responds(self, upstream: routes.Upstream) -> bool:
        try:
            await upstream_loads.fetch_load(self._call_format, upstream, self._notices.record)
        except engine.CallError as exc:
            _log.debug("upstream_unresponsive", upstream=upstream.name, error=exc.format_message())
            return False
        return True
