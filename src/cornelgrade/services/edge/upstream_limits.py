"""The service ``upstream_limits``: the rate limits that upstreams name in their responses."""

from collections.abc import Callable

import trio

from cornelgrade import logs, routes
from cornelgrade.policy import upstream_limit

_log = logs.Logger("upstream_limits")


class UpstreamLimits:
    """Tracks the limit of each start of an upstream."""

    name = "upstream_limits"

    def __init__(self) -> None:
        self._rates: dict[tuple[str, int], float] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Keep limits until cancelled."""
        started()
        await trio.sleep_forever()

    def record_reading(self, up: routes.Upstream, reading: upstream_limit.Reading) -> None:
        """Record what a response says of its upstream's limit."""
        if reading.rejected:
            _log.warning("limit_unreadable", upstream=up.name, text=",".join(reading.rejected))
        if not reading.is_readable:
            return
        key = (up.name, up.started_ms)
        if reading.per_s == self._rates.get(key):
            return
        if reading.per_s is None:
            del self._rates[key]
        else:
            self._rates[key] = reading.per_s
        _log.info("upstream_limit", upstream=up.name, per_s=reading.per_s or "", source="response")
