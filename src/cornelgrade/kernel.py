"""The micro-kernel: starts services, supervises them and lets them find each other by name."""

import dataclasses
import enum
import math
import pathlib
import traceback
from collections.abc import Callable
from typing import Protocol, TypeVar

import trio

from cornelgrade import errors, logs

T = TypeVar("T")


class Service(Protocol):
    """A named task that owns its sockets and its state."""

    name: str

    async def run(self, started: Callable[[], None]) -> None:
        """Run until cancelled; call ``started`` once others may use the service."""


class OnExit(enum.Enum):
    """What the kernel does when a service ends by an error."""

    STOP = "stop"
    RESTART = "restart"


@dataclasses.dataclass(frozen=True, slots=True)
class Supervision:
    """One entry of the supervision table.

    :param on_exit: stop the process, or start the service again.
    :param backoff_s: first pause before a restart, doubled up to ``max_backoff_s``.
    """

    on_exit: OnExit = OnExit.STOP
    backoff_s: float = 0.1
    max_backoff_s: float = 5.0


class Kernel:
    """Holds the services of one process.

    Services are started in the order they were added; each is up before the next starts.
    """

    def __init__(self) -> None:
        self._log = logs.Logger("kernel")
        self._services: dict[str, Service] = {}
        self._supervision: dict[str, Supervision] = {}
        self._cancel = trio.CancelScope()
        self._stopped = trio.Event()

    def add(self, service: Service, supervision: Supervision | None = None) -> None:
        """Register a service under its name before :meth:`run`."""
        if service.name in self._services:
            raise ValueError(f"service {service.name} is already there")
        self._services[service.name] = service
        self._supervision[service.name] = supervision or Supervision()

    def find(self, name: str, kind: type[T]) -> T:
        """Give the service called ``name``; the caller names the Protocol that it expects.

        :raises CornelgradeError: if there is no such service.
        """
        service = self._services.get(name)
        if service is None:
            raise errors.CornelgradeError(f"no service {name}", step="find")
        return service  # type: ignore[return-value]

    def has(self, name: str) -> bool:
        """Tell whether a service is there."""
        return name in self._services

    def services(self) -> tuple[Service, ...]:
        """Give all services in the order they were added."""
        return tuple(self._services.values())

    def stop(self) -> None:
        """Cancel every service and let :meth:`run` return."""
        self._cancel.cancel()

    async def wait_stopped(self) -> None:
        """Wait until every service has ended."""
        await self._stopped.wait()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all services until :meth:`stop` or until one that may not restart fails."""
        try:
            with self._cancel:
                async with trio.open_nursery() as nursery:
                    for service in self._services.values():
                        await nursery.start(self._supervise, service)
                    task_status.started()
        finally:
            self._stopped.set()

    async def _supervise(
        self, service: Service, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        rule = self._supervision[service.name]
        pending = [task_status]

        def started() -> None:
            if pending:
                pending.pop().started()

        for attempt in range(2**31):
            try:
                await service.run(started)
                return
            except Exception as exc:
                self._log_death(service.name, exc)
                if rule.on_exit is OnExit.STOP:
                    raise
            doublings = min(attempt, int(math.log2(rule.max_backoff_s / rule.backoff_s)) + 1)
            await trio.sleep(min(rule.backoff_s * 2**doublings, rule.max_backoff_s))

    def _log_death(self, service: str, exc: Exception) -> None:
        for cause in causes(exc):
            self._log.error("service_died", died=service, error=repr(cause), where=place(cause))


def causes(exc: BaseException) -> tuple[BaseException, ...]:
    """Give the exceptions inside nested groups, or the exception itself."""
    if isinstance(exc, BaseExceptionGroup):
        return tuple(leaf for inner in exc.exceptions for leaf in causes(inner))
    return (exc,)


def place(exc: BaseException) -> str:
    """Name the file and line where an exception was raised."""
    frames = traceback.extract_tb(exc.__traceback__)
    return f"{pathlib.PurePath(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
