"""The daemons that forward by host and path: which services each runs, and what its signals do."""

import dataclasses
import signal
import sys
from collections.abc import Awaitable, Callable

import trio

from cornelgrade import errors, kernel, log_stream, logs, settings
from cornelgrade.adapters import platform
from cornelgrade.services.edge import (
    _object_watch,
    fleet,
    frontend,
    item_call,
    job_handler,
    job_repository,
    metrics_page,
    peers,
    ports,
    runner,
    slot_permits,
    vm_retirement,
)

_log = logs.Logger("daemon")
_RESTART = kernel.Supervision(on_exit=kernel.OnExit.RESTART)


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What the daemons speak to, and how."""

    store: platform.Platform
    directory: ports.Directory
    calls: ports.CallFormat
    job_calls: ports.JobCallFormat
    retirements: ports.Retirements


Drain = Callable[[], Awaitable[None]]
Assemble = Callable[[kernel.Kernel, settings.EdgeSettings, Dependencies], Drain]


def run_gateway(cfg: settings.EdgeSettings, dependencies: Dependencies) -> None:
    """Run a gateway process until it is told to stop and has drained."""
    _run(cfg, dependencies, add_gateway)


def run_worker(cfg: settings.EdgeSettings, dependencies: Dependencies) -> None:
    """Run a worker process until it is told to stop and has drained."""
    _run(cfg, dependencies, add_worker)


def add_gateway(
    kern: kernel.Kernel, cfg: settings.EdgeSettings, dependencies: Dependencies
) -> Drain:
    """Add a gateway's services in the order in which they start, and give its shutdown."""
    _add_common(kern, cfg, dependencies, peers.Role.GATEWAY)
    kern.add(slot_permits.SlotPermits(kern, cfg, dependencies.calls))
    repository = job_repository.JobRepository(dependencies.store, cfg.value_bytes)
    handler = job_handler.JobHandler(repository, dependencies.calls, dependencies.job_calls)
    public_frontend = frontend.Frontend(kern, cfg, dependencies.calls, handler)
    kern.add(public_frontend)
    return public_frontend.drain


def add_worker(
    kern: kernel.Kernel, cfg: settings.EdgeSettings, dependencies: Dependencies
) -> Drain:
    """Add a worker's services in the order in which they start, and give its shutdown."""
    availability = _add_common(kern, cfg, dependencies, peers.Role.WORKER)
    caller = item_call.ItemCaller(dependencies.calls)
    running = runner.Runner(kern, cfg, dependencies.store, availability, caller, dependencies.calls)
    kern.add(running)
    kern.add(
        vm_retirement.VmRetirement(
            kern, dependencies.store, availability, dependencies.retirements
        ),
        _RESTART,
    )
    return running.drain


def _add_common(
    kern: kernel.Kernel, cfg: settings.EdgeSettings, dependencies: Dependencies, role: peers.Role
) -> _object_watch.StoreAvailability:
    availability = _object_watch.StoreAvailability()
    kern.add(peers.Peers(cfg, role, dependencies.store, availability), _RESTART)
    kern.add(fleet.Fleet(dependencies.store, dependencies.directory, availability))
    if cfg.metrics_address is not None:
        kern.add(metrics_page.MetricsPage(cfg.metrics_address), _RESTART)
    return availability


def _run(cfg: settings.EdgeSettings, dependencies: Dependencies, assemble: Assemble) -> None:
    stream = log_stream.BoundedStream(sys.stdout.fileno())
    with logs.handler(cfg.log_level, cfg.vm, stream).applicationbound():
        try:
            trio.run(serve, cfg, dependencies, assemble)
        except* Exception as group:
            for exc in kernel.causes(group):
                _log.error("failed", error=repr(exc), where=kernel.place(exc))
            sys.exit(errors.ExitCode.FAILED)


async def serve(cfg: settings.EdgeSettings, dependencies: Dependencies, assemble: Assemble) -> None:
    """Run a daemon until a signal stops it."""
    kern = kernel.Kernel()
    drain = assemble(kern, cfg, dependencies)
    async with trio.open_nursery() as nursery:
        await nursery.start(kern.run)
        _log.info("started", vm=cfg.vm, failure_domain=cfg.failure_domain)
        nursery.start_soon(_follow_signals, kern, drain)
        await kern.wait_stopped()
        nursery.cancel_scope.cancel()
    _log.info("stopped")


async def _follow_signals(kern: kernel.Kernel, drain: Drain) -> None:
    """Drain at the first signal to stop; at a second one stop at once."""
    stopping = trio.Event()
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*watched) as signals:
        async with trio.open_nursery() as nursery:
            async for signum in signals:
                _log.info("signal", signal=signal.Signals(signum).name, second=stopping.is_set())
                if signum == signal.SIGHUP:
                    continue
                if stopping.is_set():
                    kern.stop()
                    return
                stopping.set()
                nursery.start_soon(_drain_then_stop, kern, drain)


async def _drain_then_stop(kern: kernel.Kernel, drain: Drain) -> None:
    await drain()
    kern.stop()
