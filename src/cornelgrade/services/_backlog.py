"""Counts answers that wait for the platform, bounds them, and holds a shutdown for them."""

import contextlib

import trio

from cornelgrade import kernel, logs, metrics
from cornelgrade.services import drain

MAX_ANSWERS = 5_000
MAX_BYTES = 32_000_000
DRAIN_LIMIT_S = 30.0


class Backlog:
    """What is not yet written.

    :param kern: where ``drain`` is found, if the process has one.
    """

    def __init__(self, kern: kernel.Kernel | None = None) -> None:
        self._kern = kern
        self._log = logs.Logger("records")
        self._held = contextlib.ExitStack()
        self._holding = False
        self._given_up = False
        self.answers = 0
        self.size_bytes = 0
        self._gauge = metrics.gauge(
            "cornelgrade_records_backlog", "Answers that wait for the platform."
        )

    def has_room(self, size_bytes: int) -> bool:
        """Tell whether an answer of this size may wait too."""
        return self.answers < MAX_ANSWERS and self.size_bytes + size_bytes <= MAX_BYTES

    def add(self, size_bytes: int) -> None:
        """Count one answer in."""
        self._count(1, size_bytes)

    def remove(self, size_bytes: int) -> None:
        """Count one answer out, once it is written."""
        self._count(-1, -size_bytes)

    async def run(self) -> None:
        """Hold a shutdown no longer than its limit."""
        service = self._drain()
        if service is None:
            return
        await service.wait_requested()
        await trio.sleep(DRAIN_LIMIT_S)
        self._given_up = True
        if self.answers:
            self._log.error("answers_dropped", answers=self.answers)
        self._release()

    def _count(self, answers: int, size_bytes: int) -> None:
        self.answers += answers
        self.size_bytes += size_bytes
        self._gauge.set({}, self.answers)
        if not self.answers:
            self._release()
        elif not self._holding:
            self._hold()

    def _hold(self) -> None:
        service = self._drain()
        if service is not None and not self._given_up:
            self._holding = True
            self._held.enter_context(service.track_work("records.backlog"))

    def _release(self) -> None:
        self._holding = False
        self._held.close()

    def _drain(self) -> drain.Drain | None:
        if self._kern is None or not self._kern.has("drain"):
            return None
        return self._kern.find("drain", drain.Drain)
