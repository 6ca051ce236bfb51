"""The service ``web``: serves the application with Hypercorn on trio."""

import logging
from collections.abc import Callable

import hypercorn
import trio
from hypercorn import trio as hypercorn_trio
from quart_trio import QuartTrio

from cornelgrade import kernel, settings
from cornelgrade.services import drain

KEEP_ALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 5.0


class WebServer:
    """Serves an application until the process has drained.

    :param address: the address to listen on, by default the gateway's.
    """

    name = "web"

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.Settings, app: QuartTrio, address: str = ""
    ) -> None:
        self._kern = kern
        self._app = app
        self._config = hypercorn.Config()
        self._config.bind = [address or cfg.gateway_address]
        self._config.keep_alive_timeout = KEEP_ALIVE_S
        self._config.graceful_timeout = SHUTDOWN_TIMEOUT_S
        self._config.errorlog = logging.getLogger("hypercorn.error")
        if cfg.tls is not None:
            self._config.certfile = cfg.tls.certificate_file
            self._config.keyfile = cfg.tls.key_file

    async def run(self, started: Callable[[], None]) -> None:
        """Serve until the process has drained and every connection is closed."""
        drain_service = self._kern.find("drain", drain.Drain)
        async with trio.open_nursery() as nursery:
            serve = hypercorn_trio.serve
            await nursery.start(self._serve, serve, drain_service.wait_drained)
            started()
        self._kern.stop()

    async def _serve(self, serve, wait_drained, task_status=trio.TASK_STATUS_IGNORED) -> None:
        await serve(
            self._app,
            self._config,
            shutdown_trigger=wait_drained,
            task_status=task_status,
            mode="asgi",
        )
