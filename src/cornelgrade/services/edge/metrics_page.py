"""The service ``metrics_page``: serves counters and latency histograms as text over HTTP."""

from collections.abc import Callable

from aioprometheus.formats import text

from cornelgrade import metrics
from cornelgrade.adapters import http1_server

METRICS_PATH = "/metrics"


class MetricsPage:
    """Serves the process's metrics registry."""

    name = "metrics_page"

    def __init__(self, address: str) -> None:
        self._address = address
        self._server = http1_server.Server(self._handle_request)

    async def run(self, started: Callable[[], None]) -> None:
        """Serve until cancelled."""
        started()
        await self._server.serve(self._address)

    async def _handle_request(self, exchange: http1_server.Exchange) -> None:
        if exchange.path != METRICS_PATH:
            await exchange.respond(404, b"", ())
            return
        formatter = text.TextFormatter()
        body = formatter.marshall(metrics.REGISTRY)
        headers = tuple((k, v) for k, v in formatter.get_headers().items())
        await exchange.respond(200, body, headers)
