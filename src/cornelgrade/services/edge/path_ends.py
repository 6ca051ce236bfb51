"""The service ``path_ends``: when connections to upstreams have ended against the will of this VM.

What ends a connection may end each connection to the same upstream at the same moment. Callers
record lost connections here, so that they are evidence for all tasks of the process.
"""

import collections
from collections.abc import Callable

import trio

from cornelgrade import logs, routes
from cornelgrade.adapters import engine

# Upstreams reset new connections beyond their limit, so that younger ones that were not answered
# are no evidence.
MIN_UNANSWERED_S = 0.1
# More than the upstreams that one process calls within a few seconds.
MAX_PATHS = 4096
_log = logs.Logger("path_ends")
_Path = tuple[str, str]


class PathEnds:
    """Keeps when a connection to each upstream last ended, and notifies listeners."""

    name = "path_ends"

    def __init__(self) -> None:
        self._last_s: collections.OrderedDict[_Path, float] = collections.OrderedDict()
        self._listeners: list[Callable[[routes.Upstream], None]] = []

    async def run(self, started: Callable[[], None]) -> None:
        """Do nothing; calls of other services do the work."""
        started()
        await trio.sleep_forever()

    def subscribe(self, listener: Callable[[routes.Upstream], None]) -> None:
        """Call a function with the upstream each time that a connection to one has ended."""
        self._listeners.append(listener)

    def record_failure(self, up: routes.Upstream, exc: engine.CallError) -> None:
        """Record a failed call, if it failed as its connection ended."""
        if exc.lasted_s is None:
            return
        if exc.progress is engine.Progress.SENT and exc.lasted_s < MIN_UNANSWERED_S:
            return
        self.record_end(up, exc.format_message())

    def record_end(self, up: routes.Upstream, reason: str) -> None:
        """Record that a connection to an upstream has ended."""
        _log.info("connection_ended", upstream=up.name, reason=reason)
        path = (up.name, up.address)
        self._last_s[path] = trio.current_time()
        self._last_s.move_to_end(path)
        while len(self._last_s) > MAX_PATHS:
            self._last_s.popitem(last=False)
        for listener in self._listeners:
            listener(up)

    def has_ended_since(self, up: routes.Upstream, since_s: float) -> bool:
        """Return whether a connection to an upstream has ended since a time on trio's clock."""
        return self._last_s.get((up.name, up.address), -float("inf")) >= since_s
