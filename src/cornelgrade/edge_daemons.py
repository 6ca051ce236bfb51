"""The daemons that route by host and path: their services and signal handling."""

import signal
import sys
from collections.abc import Awaitable, Callable

import msgspec
import trio

from cornelgrade import errors, kernel, log_stream, logs, settings
from cornelgrade.adapters import platform
from cornelgrade.services import event_loop_watch, quarantine
from cornelgrade.services.edge import (
    _store_availability,
    allowances,
    crash_detector,
    fleet,
    frontend,
    item_call,
    job_handler,
    job_repository,
    metrics_page,
    outage_checks,
    path_ends,
    path_watch,
    peer_calls,
    peer_reach,
    peers,
    plan_exchange,
    ports,
    quarantine_sync,
    result_reader,
    result_sharing,
    runner,
    slot_permits,
    store_monitor,
    stream_origins,
    team_limits,
    upstream_limits,
    upstream_outliers,
    upstream_reach,
    vm_retirement,
)

_log = logs.Logger("daemon")
_RESTART = kernel.Supervision(on_exit=kernel.OnExit.RESTART)


class Dependencies(msgspec.Struct, frozen=True):
    """The platform clients and message formats that the daemons use."""

    store: platform.Platform
    directory: ports.Directory
    calls: ports.CallFormat
    job_calls: ports.JobCallFormat
    retirements: ports.Retirements


Drain = Callable[[], Awaitable[None]]
AddServices = Callable[[kernel.Kernel, settings.EdgeSettings, Dependencies], Drain]


def run_gateway(cfg: settings.EdgeSettings, dependencies: Dependencies) -> None:
    """Run a gateway process until it has drained after a signal to stop."""
    _run_to_exit(cfg, dependencies, add_gateway)


def run_worker(cfg: settings.EdgeSettings, dependencies: Dependencies) -> None:
    """Run a worker process until it has drained after a signal to stop."""
    _run_to_exit(cfg, dependencies, add_worker)


def add_gateway(
    kern: kernel.Kernel, cfg: settings.EdgeSettings, dependencies: Dependencies
) -> Drain:
    """Add a gateway's services in start order and return its drain function."""
    availability = _add_common_services(kern, cfg, dependencies, peers.Role.GATEWAY)
    kern.add(upstream_reach.UpstreamReach(kern, dependencies.calls))
    kern.add(slot_permits.SlotPermits(kern, cfg))
    kern.add(peer_reach.PeerReach(kern, cfg))
    repository = job_repository.JobRepository(dependencies.store, cfg.value_bytes)
    results = result_reader.ResultReader(
        repository,
        availability,
        retention_s=cfg.retention_s,
        client=result_sharing.ResultClient(kern),
    )
    kern.add(results)
    handler = job_handler.JobHandler(
        repository, results, dependencies.calls, dependencies.job_calls
    )
    public_frontend = frontend.Frontend(kern, cfg, dependencies.calls, handler)
    kern.add(public_frontend)
    return public_frontend.drain


def add_worker(
    kern: kernel.Kernel, cfg: settings.EdgeSettings, dependencies: Dependencies
) -> Drain:
    """Add a worker's services in start order and return its drain function."""
    availability = _add_common_services(kern, cfg, dependencies, peers.Role.WORKER)
    caller = item_call.ItemCaller(kern, cfg, dependencies.calls)
    item_runner = runner.Runner(
        kern, cfg, dependencies.store, availability, caller, dependencies.calls
    )
    kern.add(item_runner)
    repository = job_repository.JobRepository(dependencies.store, cfg.value_bytes)
    results = result_reader.ResultReader(
        repository,
        availability,
        retention_s=cfg.retention_s,
        find_header=item_runner.find_header,
    )
    kern.add(results)
    result_sharing.ResultServer(kern, results)
    kern.add(
        vm_retirement.VmRetirement(
            kern, dependencies.store, availability, dependencies.retirements
        ),
        _RESTART,
    )
    return item_runner.drain


def _add_common_services(
    kern: kernel.Kernel, cfg: settings.EdgeSettings, dependencies: Dependencies, role: peers.Role
) -> _store_availability.StoreAvailability:
    kern.add(event_loop_watch.EventLoopWatch())
    availability = _store_availability.StoreAvailability()
    peer_service = peers.Peers(cfg, role, dependencies.store, availability)
    kern.add(peer_service, _RESTART)
    kern.add(
        store_monitor.StoreMonitor(
            kern, dependencies.store, dependencies.directory, availability, cfg.vm
        )
    )
    kern.add(fleet.Fleet(kern, dependencies.store, dependencies.directory, availability))
    kern.add(peer_calls.PeerCalls(kern, cfg, listens=role is peers.Role.WORKER), _RESTART)
    kern.add(plan_exchange.PlanExchange(kern, availability, cfg.vm), _RESTART)
    kern.add(quarantine.Quarantine(kern, quarantine_sync.PeerReports(peer_service)))
    kern.add(
        quarantine_sync.QuarantineSync(kern, dependencies.store, availability, cfg.vm), _RESTART
    )
    kern.add(allowances.Allowances(kern))
    kern.add(upstream_limits.UpstreamLimits(kern))
    kern.add(team_limits.TeamLimits(kern))
    kern.add(upstream_outliers.UpstreamOutliers(kern, cfg))
    kern.add(path_ends.PathEnds())
    kern.add(path_watch.PathWatch(kern), _RESTART)
    kern.add(
        stream_origins.StreamOrigins(
            kern, cfg.vm, dependencies.store, availability, dependencies.directory.upstream_kind
        ),
        _RESTART,
    )
    kern.add(outage_checks.OutageChecks(kern, cfg, dependencies.calls), _RESTART)
    kern.add(crash_detector.CrashDetector(kern), _RESTART)
    if cfg.metrics_address is not None:
        kern.add(metrics_page.MetricsPage(cfg.metrics_address), _RESTART)
    return availability


def _run_to_exit(
    cfg: settings.EdgeSettings, dependencies: Dependencies, add_services: AddServices
) -> None:
    stream = log_stream.BoundedStream(sys.stdout.fileno())
    with logs.make_handler(cfg.log_level, cfg.vm, stream).applicationbound():
        try:
            trio.run(serve, cfg, dependencies, add_services)
        except* Exception as group:
            for exc in kernel.get_leaf_exceptions(group):
                _log.error("failed", error=repr(exc), where=kernel.format_location(exc))
            sys.exit(errors.ExitCode.FAILED)


async def serve(
    cfg: settings.EdgeSettings, dependencies: Dependencies, add_services: AddServices
) -> None:
    """Run a daemon until a signal stops it or a service fails."""
    kern = kernel.Kernel()
    drain = add_services(kern, cfg, dependencies)
    async with trio.open_nursery() as nursery:
        await nursery.start(kern.run)
        _log.info("started", vm=cfg.vm, failure_domain=cfg.failure_domain)
        nursery.start_soon(_handle_signals, kern, drain)
        await kern.wait_stopped()
        nursery.cancel_scope.cancel()
    _log.info("stopped")


async def _handle_signals(kern: kernel.Kernel, drain: Drain) -> None:
    """Drain on the first SIGTERM or SIGINT and stop at once on the second; ignore SIGHUP."""
    stopping = trio.Event()
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled_signals) as signals:
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
