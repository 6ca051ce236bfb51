"""Graceful shutdown: not ready, a grace for the balancer, no new work, then the last answers."""

import contextlib
import enum
from collections.abc import Callable, Iterator

import trio

from cornelgrade import errors, logs


class Phase(enum.Enum):
    """Where a process stands in its shutdown."""

    SERVING = "serving"
    NOT_READY = "not_ready"
    REFUSING = "refusing"
    DRAINED = "drained"


class Drain:
    """The service ``drain``: counts requests in progress and walks through the phases.

    :param grace_s: how long requests are still taken after readiness is withdrawn, so that the
        platform's balancer can notice.
    """

    name = "drain"

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._log = logs.Logger("drain")
        self._active: dict[str, float] = {}
        self._requested = trio.Event()
        self._idle = trio.Event()
        self._drained = trio.Event()
        self.phase = Phase.SERVING

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests."""
        return self.phase is Phase.SERVING

    @property
    def begun(self) -> bool:
        """Whether a shutdown was asked for."""
        return self._requested.is_set()

    def active(self) -> tuple[str, ...]:
        """Name the requests in progress."""
        return tuple(self._active)

    @contextlib.contextmanager
    def request(self, request_id: str) -> Iterator[None]:
        """Count a request while it is in progress.

        :raises Refusal: ``DRAINING`` when no new work is taken.
        """
        if self.phase in (Phase.REFUSING, Phase.DRAINED):
            raise errors.Refusal(
                errors.Code.DRAINING, "this VM is shutting down", step="admit", retry_after_s=0.5
            )
        with self.track_work(request_id):
            yield

    @contextlib.contextmanager
    def track_work(self, request_id: str) -> Iterator[None]:
        """Keep the process from ending while work that it already took goes on."""
        self._active[request_id] = trio.current_time()
        try:
            yield
        finally:
            del self._active[request_id]
            if not self._active and self.phase is Phase.REFUSING:
                self._idle.set()

    def begin(self) -> None:
        """Start the shutdown; a second call does nothing."""
        self._requested.set()

    async def wait_requested(self) -> None:
        """Wait until a shutdown was asked for."""
        await self._requested.wait()

    async def wait_drained(self) -> None:
        """Wait until the last request has been answered."""
        await self._drained.wait()

    async def run(self, started: Callable[[], None]) -> None:
        """Walk through the phases once asked to."""
        started()
        await self._requested.wait()
        self._enter(Phase.NOT_READY)
        await trio.sleep(self._grace_s)
        self._enter(Phase.REFUSING)
        if self._active:
            await self._idle.wait()
        self._enter(Phase.DRAINED)
        self._drained.set()
        await trio.sleep_forever()

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self._log.info("drain", phase=phase.value, active=len(self._active))
