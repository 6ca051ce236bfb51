"""The service ``event_loop_watch``: how long single steps keep all other tasks waiting.

A process whose step lasts long answers nobody and notices no deadline meanwhile, and neither does
one that the machine pauses.
"""

from collections.abc import Callable

import trio

from cornelgrade import logs, metrics

INTERVAL_S = 0.25
# Deadlines of callers and probes are some hundred milliseconds and more.
LOGGED_S = 0.25
_log = logs.Logger("event_loop")


class EventLoopWatch:
    """Measures how late a task runs that is due at regular times."""

    name = "event_loop_watch"

    def __init__(self) -> None:
        self._longest_s = 0.0
        self._stalls = metrics.counter(
            "cornelgrade_event_loop_stalls_total", "Times that no task ran for 0.25 s or more."
        )
        self._longest = metrics.gauge(
            "cornelgrade_event_loop_longest_stall_seconds", "Longest time that no task ran."
        )

    async def run(self, started: Callable[[], None]) -> None:
        """Measure until cancelled."""
        started()
        while True:
            due_s = trio.current_time() + INTERVAL_S
            await trio.sleep_until(due_s)
            self._record(trio.current_time() - due_s)

    def _record(self, late_s: float) -> None:
        if late_s > self._longest_s:
            self._longest_s = late_s
            self._longest.set({}, late_s)
        if late_s >= LOGGED_S:
            self._stalls.inc({})
            _log.warning("event_loop_stalled", lasted_s=late_s)
