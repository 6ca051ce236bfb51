"""The service ``upstream_reach``: which upstreams this VM reaches, by the failures of its calls."""

from collections.abc import Callable

import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.adapters import engine
from cornelgrade.policy import stranding
from cornelgrade.services.edge import (
    _notifier,
    fleet,
    ports,
    upstream_limits,
    upstream_loads,
    upstream_notices,
)

# After it has lost all upstreams of a service, a VM sends to one that it reaches again after this
# long, or at once if it reaches half of them: links come back one by one.
RETURN_AFTER_S = 1.0
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
        self._failures = 0
        self._lost: dict[str, float | None] = {}
        self._returned: set[str] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Probe suspect upstreams until cancelled."""
        async with trio.open_nursery() as self._nursery:
            started()
            await trio.sleep_forever()

    def has_lost(self, service: str) -> bool:
        """Return whether this VM has lost its upstreams of a service, while others may not have."""
        if not self._suspects and not self._lost:
            return False
        self._update_lost(service)
        return service in self._lost

    def reaches(self, service: str) -> bool:
        """Return whether an upstream of a service isn't suspect."""
        return self._count_reached(service)[0] > 0

    def reached_services(self) -> tuple[str, ...]:
        """Return the services of which this VM has not lost the upstreams."""
        services = {reg.upstream.service for reg in self._fleet.usable_registrations()}
        return tuple(sorted(s for s in services if self.reaches(s) and not self.has_lost(s)))

    def record_contact(self) -> None:
        """Record that an upstream responded."""
        self._failures = 0

    def _count_reached(self, service: str) -> tuple[int, int]:
        """Return how many upstreams of a service this VM reaches, and how many it doesn't."""
        names = [
            reg.upstream.name
            for reg in self._fleet.usable_registrations()
            if reg.upstream.service == service
        ]
        unreached = sum(1 for name in names if name in self._suspects)
        return len(names) - unreached, unreached

    def _update_lost(self, service: str) -> None:
        """Enter or leave the state in which the upstreams of a service are lost."""
        now_s = trio.current_time()
        if service in self._lost:
            self._suspect_unheard(service)
        reached, unreached = self._count_reached(service)
        if service not in self._lost:
            if stranding.has_lost_upstreams(reached, unreached):
                self._lost[service] = None
                _log.warning("upstreams_lost", service=service, unreached=unreached)
            return
        since_s = self._lost[service]
        if not reached and unreached:
            self._lost[service] = None
        elif reached < unreached and since_s is None:
            self._lost[service] = now_s
        elif reached >= unreached or (since_s is not None and now_s - since_s >= RETURN_AFTER_S):
            del self._lost[service]
            self._returned.clear()
            _log.info(
                "upstreams_reached_again", service=service, reached=reached, unreached=unreached
            )

    def _suspect_unheard(self, service: str) -> None:
        """Suspect upstreams that were registered since a service was lost, until they respond."""
        for reg in self._fleet.usable_registrations():
            up = reg.upstream
            if up.service == service and up.name not in self._returned:
                self.mark_suspect(up, "registered while links are lost")

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
        self._returned.discard(upstream.name)
        _log.warning("upstream_suspect", upstream=upstream.name, reason=reason)
        self._nursery.start_soon(self._probe_suspect, upstream)
        self._failures += 1
        if self._failures == stranding.CHECK_AFTER_FAILURES:
            self._check_others(upstream.service)

    def _check_others(self, service: str) -> None:
        """Probe the other upstreams of a service, so that no request has to find out."""
        assert self._nursery is not None
        for reg in self._fleet.usable_registrations():
            up = reg.upstream
            if up.service == service and up.name not in self._suspects:
                self._limits.take(up)
                self._nursery.start_soon(self._check, up)

    async def _check(self, up: routes.Upstream) -> None:
        if await self._responds(up):
            self.record_contact()
        else:
            self.mark_suspect(up, "no response to a check")

    async def _probe_suspect(self, upstream: routes.Upstream) -> None:
        since_s = trio.current_time()
        while any(reg.upstream == upstream for reg in self._fleet.usable_registrations()):
            await trio.sleep(PROBE_INTERVAL_S)
            if self._limits.try_take_for_poll(upstream) and await self._responds(upstream):
                self._returned.add(upstream.name)
                break
        self._suspects.discard(upstream.name)
        self.record_contact()
        suspect_s = trio.current_time() - since_s
        _log.info("upstream_trusted", upstream=upstream.name, suspect_s=suspect_s)
        self.changed.notify_all()

    async def _responds(self, upstream: routes.Upstream) -> bool:
        try:
            await upstream_loads.fetch_load(self._call_format, upstream, self._notices)
        except engine.CallError as exc:
            _log.debug("upstream_unresponsive", upstream=upstream.name, error=exc.format_message())
            return False
        return True
