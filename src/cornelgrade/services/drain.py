"""Graceful shutdown: report not ready, wait for the balancer, refuse new work, finish the rest."""

import contextlib
import enum
from collections.abc import Callable, Iterator

import trio

from cornelgrade import errors, logs

# The process ends once no request was refused for QUIET_S, since a connection on which a request is
# on its way would be closed without a response. Callers that don't stop to send are waited for no
# longer than LAST_REFUSALS_S.
QUIET_S = 0.5
LAST_REFUSALS_S = 3.0


class Phase(enum.Enum):
    """Phase of a process's shutdown."""

    SERVING = "serving"
    NOT_READY = "not_ready"
    REFUSING = "refusing"
    DRAINED = "drained"


class Drain:
    """The service ``drain``: tracks requests in progress and runs the phases of the shutdown.

    :param grace_s: how long requests are still accepted after the VM reports not ready, so that
        the platform's balancer can react.
    """

    name = "drain"

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._log = logs.Logger("drain")
        self._active: dict[str, float] = {}
        self._refused_at_s = -QUIET_S
        self._requested = trio.Event()
        self._idle = trio.Event()
        self._drained = trio.Event()
        self.phase = Phase.SERVING

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests."""
        return self.phase is Phase.SERVING

    @property
    def requested(self) -> bool:
        """Whether a shutdown was requested."""
        return self._requested.is_set()

    def active(self) -> tuple[str, ...]:
        """Return the ids of the requests in progress."""
        return tuple(self._active)

    @contextlib.contextmanager
    def request(self, request_id: str) -> Iterator[None]:
        """Track a request while it is in progress.

        :raises Refusal: ``DRAINING`` if new work is refused.
        """
        if self.phase in (Phase.REFUSING, Phase.DRAINED):
            self._refused_at_s = trio.current_time()
            raise errors.Refusal(
                errors.Code.DRAINING, "this VM is shutting down", step="admit", retry_after_s=0.5
            )
        with self.track_work(request_id):
            yield

    @contextlib.contextmanager
    def track_work(self, request_id: str) -> Iterator[None]:
        """Keep the process alive while work that it has already accepted continues."""
        self._active[request_id] = trio.current_time()
        try:
            yield
        finally:
            del self._active[request_id]
            if not self._active and self.phase is Phase.REFUSING:
                self._idle.set()

    def begin(self) -> None:
        """Request the shutdown; a second call has no effect."""
        self._requested.set()

    async def wait_requested(self) -> None:
        """Wait until a shutdown is requested."""
        await self._requested.wait()

    async def wait_drained(self) -> None:
        """Wait until the last request has ended."""
        await self._drained.wait()

    async def run(self, started: Callable[[], None]) -> None:
        """Run the phases once a shutdown is requested."""
        started()
        await self._requested.wait()
        self._enter_phase(Phase.NOT_READY)
        await trio.sleep(self._grace_s)
        self._enter_phase(Phase.REFUSING)
        if self._active:
            await self._idle.wait()
        await self._refuse_until_quiet()
        self._enter_phase(Phase.DRAINED)
        self._drained.set()
        await trio.sleep_forever()

    async def _refuse_until_quiet(self) -> None:
        """Return once the last refusal is a while ago."""
        with trio.move_on_after(LAST_REFUSALS_S):
            while trio.current_time() < self._refused_at_s + QUIET_S:
                await trio.sleep_until(self._refused_at_s + QUIET_S)

    def _enter_phase(self, phase: Phase) -> None:
        self.phase = phase
        self._log.info("drain", phase=phase.value, active=len(self._active))
