"""HTTP server of the stand-ins, which can also crash, restart and stop responding."""

import socket

import trio

from cornelgrade import addresses
from cornelgrade.adapters import http1_server

AbortConnectionError = http1_server.AbortConnectionError
Exchange = http1_server.Exchange
Handler = http1_server.Handler
Headers = http1_server.Headers


class Server(http1_server.Server):
    """HTTP server with injected faults."""

    def __init__(self, handler: Handler) -> None:
        super().__init__(handler)
        self._up_scope = trio.CancelScope()
        self._serve_scope = trio.CancelScope()
        self._down_s = 0.0

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled, restarting after each crash; reports the bound ``IP:port``."""
        host, port = addresses.split_host_port(address)
        with _reserve_port(host, port) as reserved:
            bound = addresses.join_host_port(host, reserved.getsockname()[1])
            async with trio.open_nursery() as nursery:
                await nursery.start(self._serve_until_crash, bound)
                task_status.started(bound)
                while True:
                    with trio.CancelScope() as self._up_scope:
                        await trio.sleep_forever()
                    await trio.sleep(self._down_s)
                    await nursery.start(self._serve_until_crash, bound)

    async def _serve_until_crash(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.CancelScope() as self._serve_scope:
            await super().serve(address, task_status)

    def crash(self, down_s: float, *, resets: bool = True) -> None:
        """Reset or close every connection and refuse new ones for ``down_s`` seconds."""
        self._down_s = down_s
        for conn in self._connections if resets else ():
            conn.reset_on_close()
        self._serve_scope.cancel()
        self._up_scope.cancel()

    def silence(self) -> None:
        """Send nothing more on the connections that are open now."""
        for conn in self._connections:
            conn.stalled = True


def _reserve_port(host: str, port: int) -> socket.socket:
    """Return a socket that keeps other processes off a port while the server is down."""
    reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, port))
    return reserved
