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
_log = logs.Logger("path_watch")


class IdleConnection:
    """A connection to the upstream of a response on which nothing is sent."""

    def __init__(self) -> None:
        self._ended = trio.Event()
        self._ended_s = float("-inf")

    async def watch(self, up: routes.Upstream, scope: trio.CancelScope) -> None:
        """Connect and wait for the end of the connection."""
        with scope:
            try:
                with await http1.connect(up.address, CONNECT_TIMEOUT_S) as channel:
                    await channel.wait_closed()
            except (engine.CallError, OSError) as exc:
                # Without it, the response counts as one that ended alone.
                _log.info("idle_connection_failed", upstream=up.name, error=repr(exc))
                return
            self._ended_s = trio.current_time()
            self._ended.set()

    async def ended_with(self, ended_s: float) -> bool:
        """Return whether it ended at the same moment, or does so soon.

        :param ended_s: when the response ended, on trio's clock.
        """
        with trio.move_on_at(ended_s + SAME_MOMENT_S):
            await self._ended.wait()
        return self._ended_s >= ended_s - SAME_MOMENT_S


class PathWatch:
    """Keeps idle connections open beside responses."""

    name = "path_watch"

    def __init__(self) -> None:
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Watch connections until cancelled."""
        async with trio.open_nursery() as self._nursery:
            started()
            await trio.sleep_forever()

    @contextlib.contextmanager
    def open_beside(self, up: routes.Upstream) -> Iterator[IdleConnection]:
        """Keep a second connection to an upstream open within the context."""
        idle, scope = IdleConnection(), trio.CancelScope()
        if self._nursery is not None:
            self._nursery.start_soon(idle.watch, up, scope)
        try:
            yield idle
        finally:
            scope.cancel()
