"""The service ``path_watch``: whether a connection ended alone or together with its path.

A response that has no framing and may run only once can't be asked for again. A second connection
to its upstream, on which nothing is sent, ends at the same moment if something on the path ended
both.
"""

import contextlib
from collections.abc import Callable, Iterator

import trio

from cornelgrade import logs, routes
from cornelgrade.adapters import engine, http1

CONNECT_TIMEOUT_S = 0.25
# Connections that end within this time have ended together.
SAME_MOMENT_S = 0.05
POLL_S = 0.005
# An upstream that closes an idle connection sooner keeps none open.
MIN_IDLE_S = 1.0
_log = logs.Logger("path_watch")


class IdleConnection:
    """A connection to the upstream of a response on which nothing is sent.

    :param response: the channel that carries the response. Its state is read when this connection
        ends, as the end of the response is noticed late behind a slow caller.
    """

    def __init__(self, response: http1.Channel) -> None:
        self._response = response
        self._ended = trio.Event()

    async def watch(self, up: routes.Upstream, scope: trio.CancelScope) -> None:
        """Stay connected until the response and this connection have ended together."""
        with scope:
            while not self._ended.is_set():
                opened_s = trio.current_time()
                try:
                    with await http1.connect(up.address, CONNECT_TIMEOUT_S) as channel:
                        await channel.wait_closed()
                except (engine.CallError, OSError) as exc:
                    # Without it, the response counts as one that ended alone.
                    _log.info("idle_connection_failed", upstream=up.name, error=repr(exc))
                    return
                lasted_s = trio.current_time() - opened_s
                if await self._has_response_ended():
                    self._ended.set()
                elif lasted_s < MIN_IDLE_S:
                    return

    async def _has_response_ended(self) -> bool:
        """Return whether the connection of the response has ended, or does so soon."""
        with trio.move_on_after(SAME_MOMENT_S):
            while self._response.is_open():
                await trio.sleep(POLL_S)
            return True
        return False

    async def ended_with(self, ended_s: float) -> bool:
        """Return whether it has ended together with the response, or does so soon.

        :param ended_s: when the end of the response was noticed, on trio's clock.
        """
        with trio.move_on_at(ended_s + SAME_MOMENT_S):
            await self._ended.wait()
        return self._ended.is_set()


class PathWatch:
    """Keeps idle connections open beside responses."""

    name = "path_watch"

    def __init__(self) -> None:
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Watch connections until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                started()
                await trio.sleep_forever()
        finally:
            self._nursery = None

    @contextlib.contextmanager
    def open_beside(self, up: routes.Upstream, response: http1.Channel) -> Iterator[IdleConnection]:
        """Keep a second connection to the upstream of a response open within the context."""
        idle, scope = IdleConnection(response), trio.CancelScope()
        if self._nursery is not None:
            self._nursery.start_soon(idle.watch, up, scope)
        try:
            yield idle
        finally:
            scope.cancel()
