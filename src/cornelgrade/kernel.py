"""Start and supervise the services of a process and look them up by name."""

import enum
import math
import pathlib
import traceback
from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec
import trio

from cornelgrade import errors, logs

T = TypeVar("T")


class Service(Protocol):
    """A named long-running task that owns its sockets and state."""

    name: str

    async def run(self, started: Callable[[], None]) -> None:
        """Run until cancelled; call ``started`` once the service is ready for use."""


class OnExit(enum.Enum):
    """What the kernel does when a service raises an exception."""

    STOP = "stop"
    RESTART = "restart"


class Supervision(msgspec.Struct, frozen=True):
    """How one service is supervised.

    :param on_exit: what to do when the service raises an exception.
    :param backoff_s: delay before the first restart; doubles up to ``max_backoff_s``.
    """

    on_exit: OnExit = OnExit.STOP
    backoff_s: float = 0.1
    max_backoff_s: float = 5.0


class Kernel:
    """Runs the services of one process.

    Services start in the order they were added, each once the previous one is ready.
    """

    def __init__(self) -> None:
        self._log = logs.Logger("kernel")
        self._services: dict[str, Service] = {}
        self._supervision: dict[str, Supervision] = {}
        self._cancel = trio.CancelScope()
        self._stopped = trio.Event()

    def add(self, service: Service, supervision: Supervision | None = None) -> None:
        """Register a service under its name; must precede :meth:`run`."""
        if service.name in self._services:
            raise ValueError(f"service {service.name} is already registered")
        self._services[service.name] = service
        self._supervision[service.name] = supervision or Supervision()

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service called ``name``.

        :param kind: the expected type; it is for type checkers only and not verified.
        :raises CornelgradeError: if there is no such service.
        """
        service = self._services.get(name)
        if service is None:
            raise errors.CornelgradeError(f"no service {name}", step="find")
        return service  # type: ignore[return-value]

    def has(self, name: str) -> bool:
        """Return whether a service is registered."""
        return name in self._services

    def services(self) -> tuple[Service, ...]:
        """Return all services in the order they were added."""
        return tuple(self._services.values())

    def stop(self) -> None:
        """Cancel all services, so that :meth:`run` returns."""
        self._cancel.cancel()

    async def wait_stopped(self) -> None:
        """Wait until all services have ended."""
        await self._stopped.wait()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all services until :meth:`stop`, or until one that is not restarted fails."""
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
        supervision = self._supervision[service.name]
        pending = [task_status]

        def started() -> None:
            if pending:
                pending.pop().started()

        for attempt in range(2**31):
            try:
                await service.run(started)
                return
            except Exception as exc:
                self._log_failure(service.name, exc)
                if supervision.on_exit is OnExit.STOP:
                    raise
            doublings = min(
                attempt, int(math.log2(supervision.max_backoff_s / supervision.backoff_s)) + 1
            )
            await trio.sleep(min(supervision.backoff_s * 2**doublings, supervision.max_backoff_s))

    def _log_failure(self, service: str, exc: Exception) -> None:
        for cause in get_leaf_exceptions(exc):
            self._log.error(
                "service_died", died=service, error=repr(cause), where=format_location(cause)
            )


def get_leaf_exceptions(exc: BaseException) -> tuple[BaseException, ...]:
    """Return the leaf exceptions of nested groups, or the exception itself."""
    if isinstance(exc, BaseExceptionGroup):
        return tuple(leaf for inner in exc.exceptions for leaf in get_leaf_exceptions(inner))
    return (exc,)


def format_location(exc: BaseException) -> str:
    """Return ``file:line`` of where an exception was raised, empty if unknown."""
    frames = traceback.extract_tb(exc.__traceback__)
    return f"{pathlib.PurePath(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
