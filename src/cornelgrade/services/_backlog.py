"""Limits the responses that wait to be stored in the platform, and delays a shutdown for them."""

import contextlib

import trio

from cornelgrade import kernel, logs, metrics
from cornelgrade.services import drain

MAX_RESPONSES = 5_000
MAX_BYTES = 32_000_000
DRAIN_LIMIT_S = 30.0


class Backlog:
    """Number and size of the responses that are not stored yet.

    :param kern: finds ``drain``, if the process has it.
    """

    def __init__(self, kern: kernel.Kernel | None = None) -> None:
        self._kern = kern
        self._log = logs.Logger("records")
        self._drain_hold = contextlib.ExitStack()
        self._holds_drain = False
        self._limit_reached = False
        self.responses = 0
        self.size_bytes = 0
        self._gauge = metrics.gauge(
            "cornelgrade_records_backlog", "Answers that wait for the platform."
        )

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a response of this size may be queued."""
        return self.responses < MAX_RESPONSES and self.size_bytes + size_bytes <= MAX_BYTES

    def add(self, size_bytes: int) -> None:
        """Count a response that was queued."""
        self._count(1, size_bytes)

    def remove(self, size_bytes: int) -> None:
        """Stop counting a response that was stored."""
        self._count(-1, -size_bytes)

    async def run(self) -> None:
        """Release a drain after ``DRAIN_LIMIT_S``, even if responses are not stored by then."""
        service = self._find_drain()
        if service is None:
            return
        await service.wait_requested()
        await trio.sleep(DRAIN_LIMIT_S)
        self._limit_reached = True
        if self.responses:
            self._log.error("responses_dropped", answers=self.responses)
        self._release_drain()

    def _count(self, responses: int, size_bytes: int) -> None:
        self.responses += responses
        self.size_bytes += size_bytes
        self._gauge.set({}, self.responses)
        if not self.responses:
            self._release_drain()
        elif not self._holds_drain:
            self._hold_drain()

    def _hold_drain(self) -> None:
        service = self._find_drain()
        if service is not None and not self._limit_reached:
            self._holds_drain = True
            self._drain_hold.enter_context(service.track_work("records.backlog"))

    def _release_drain(self) -> None:
        self._holds_drain = False
        self._drain_hold.close()

    def _find_drain(self) -> drain.Drain | None:
        if self._kern is None or not self._kern.has("drain"):
            return None
        return self._kern.find("drain", drain.Drain)
