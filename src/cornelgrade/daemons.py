"""The gateway and worker daemons: their services and signal handling."""

import contextlib
import dataclasses
import random
import signal
import sys
from collections.abc import AsyncIterator, Callable

import quart
import trio

from cornelgrade import errors, kernel, logs, settings
from cornelgrade.adapters import peer_key, peer_manifest, platform, platform_http
from cornelgrade.services import (
    batch,
    conditions,
    configuration,
    drain,
    event_loop_watch,
    fleet_histories,
    histories,
    job_store,
    leaving,
    load_reports,
    membership,
    online,
    open_job_uses,
    peer_histories,
    ports,
    quarantine,
    reconciler,
    record_histories,
    records,
    router,
    share_grants,
    trace_writer,
    upstreams,
    worker_membership,
)
from cornelgrade.services.web import app, operations, server
from cornelgrade.services.web import jobs as web_jobs
from cornelgrade.services.web import manifest as web_manifest
from cornelgrade.services.web import online as web_online
from cornelgrade.services.web import requests as web_requests

_log = logs.Logger("daemon")
_RESTART = kernel.Supervision(on_exit=kernel.OnExit.RESTART)


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Clients for the platform and for other VMs, opened before the services start."""

    store: platform.Platform
    peers: peer_manifest.ManifestPeers


AddServices = Callable[[kernel.Kernel, settings.Settings, Dependencies], None]


def run_gateway(cfg: settings.Settings) -> None:
    """Run a gateway process until it has drained after a signal to stop."""
    _run_to_exit(cfg, add_gateway)


def run_worker(cfg: settings.Settings) -> None:
    """Run a worker process until it has drained after a signal to stop."""
    _run_to_exit(cfg, add_worker)


async def serve_gateway(
    cfg: settings.Settings,
    stopping: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a gateway; it drains and returns after ``stopping`` is set."""
    await _serve(cfg, stopping, add_gateway, task_status)


async def serve_worker(
    cfg: settings.Settings,
    stopping: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a worker; it drains and returns after ``stopping`` is set."""
    await _serve(cfg, stopping, add_worker, task_status)


def add_gateway(kern: kernel.Kernel, cfg: settings.Settings, dependencies: Dependencies) -> None:
    """Add a gateway's services in start order."""
    members = membership.Membership(cfg)
    _add_common_services(kern, cfg, dependencies, members, cfg.drain_grace_s)
    kern.add(records.make(kern, cfg, dependencies.store))
    kern.add(router.Router(kern, cfg.failure_domain, random.Random()))
    kern.add(online.Online(kern))
    kern.add(load_reports.LoadReports(kern, cfg), _RESTART)
    kern.add(peer_histories.PeerHistories(kern, cfg), _RESTART)
    kern.add(conditions.Conditions(kern, cfg), _RESTART)
    kern.add(server.WebServer(kern, cfg, app.create_app(_make_blueprints(kern, cfg, dependencies))))


def add_worker(kern: kernel.Kernel, cfg: settings.Settings, dependencies: Dependencies) -> None:
    """Add a worker's services in start order."""
    members = worker_membership.WorkerMembership(cfg)
    _add_common_services(kern, cfg, dependencies, members, 0.0)
    kern.add(share_grants.ShareGrants(kern, cfg), _RESTART)
    kern.add(leaving.LeavingWatch(kern, cfg, dependencies.store), _RESTART)
    kern.add(batch.Batch(kern, cfg.vm, cfg.failure_domain, dependencies.store))
    kern.add(reconciler.Reconciler(kern, cfg, dependencies.store), _RESTART)
    kern.add(conditions.Conditions(kern, cfg), _RESTART)
    routes = operations.create_blueprint(kern, cfg, cfg.worker_address)
    kern.add(server.WebServer(kern, cfg, app.create_app([routes]), cfg.worker_address))


def _add_common_services(
    kern: kernel.Kernel,
    cfg: settings.Settings,
    dependencies: Dependencies,
    members: membership.Membership | worker_membership.WorkerMembership,
    grace_s: float,
) -> None:
    step_histories = histories.Histories()
    kern.add(event_loop_watch.EventLoopWatch())
    kern.add(drain.Drain(grace_s))
    kern.add(step_histories)
    if cfg.tracing is not None:
        kern.add(trace_writer.TraceWriter(cfg.tracing))
    kern.add(members)
    job_uses = open_job_uses.OpenJobUses(job_store.JobStore(dependencies.store))
    kern.add(
        configuration.Configuration(
            cfg,
            dependencies.store,
            members,
            dependencies.peers,
            is_worker=isinstance(members, worker_membership.WorkerMembership),
            open_uses=job_uses.read,
            histories=step_histories,
        )
    )
    kern.add(upstreams.Upstreams(kern))
    kern.add(quarantine.Quarantine(kern))


def _make_blueprints(
    kern: kernel.Kernel, cfg: settings.Settings, dependencies: Dependencies
) -> tuple[quart.Blueprint, ...]:
    jobs = job_store.JobStore(dependencies.store)
    current = kern.find("configuration", ports.Configuration)
    fleet = fleet_histories.FleetHistories(dependencies.store, current)
    recorded = record_histories.RecordHistories(jobs, kern.find("records", ports.Records))
    return (
        web_online.create_blueprint(kern),
        web_requests.create_blueprint(kern, cfg),
        web_manifest.create_blueprint(kern, cfg),
        web_jobs.create_blueprint(kern, cfg, jobs),
        operations.create_blueprint(kern, cfg, recorded=recorded, fleet=fleet),
    )


async def _serve(
    cfg: settings.Settings,
    stopping: trio.Event,
    add_services: AddServices,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    kern: kernel.Kernel | None = None,
) -> None:
    async with _open_dependencies(cfg) as dependencies, trio.open_nursery() as nursery:
        kern = kern or kernel.Kernel()
        add_services(kern, cfg, dependencies)
        await nursery.start(kern.run)
        _log.info("started", failure_domain=cfg.failure_domain)
        task_status.started()
        nursery.start_soon(_drain_on_request, stopping, kern)
        await kern.wait_stopped()
        nursery.cancel_scope.cancel()
    _log.info("stopped")


@contextlib.asynccontextmanager
async def _open_dependencies(cfg: settings.Settings) -> AsyncIterator[Dependencies]:
    key = peer_key.read(cfg.peer_key_file)
    store = platform_http.HttpPlatform(cfg.platform_url, deadline_s=cfg.platform_deadline_s)
    peers = peer_manifest.HttpPeers(key, cfg.vm, secure=cfg.tls is not None)
    async with store, peers:
        yield Dependencies(store, peers)


async def _drain_on_request(stopping: trio.Event, kern: kernel.Kernel) -> None:
    """Wait for ``stopping``, announce that this VM leaves, and drain its work."""
    await stopping.wait()
    kern.find("membership", membership.Membership).leave()
    if kern.has("batch"):
        await kern.find("batch", batch.Batch).drain()
    kern.find("drain", drain.Drain).begin()


def _run_to_exit(cfg: settings.Settings, add_services: AddServices) -> None:
    with logs.make_handler(cfg.log_level, cfg.vm).applicationbound():
        try:
            trio.run(_run_until_signalled, cfg, add_services)
        except* Exception as group:
            for exc in kernel.get_leaf_exceptions(group):
                _log.error("failed", error=repr(exc), where=kernel.format_location(exc))
            sys.exit(errors.ExitCode.FAILED)


async def _run_until_signalled(cfg: settings.Settings, add_services: AddServices) -> None:
    stopping = trio.Event()
    kern = kernel.Kernel()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, stopping, kern, nursery.cancel_scope)
        await _serve(cfg, stopping, add_services, kern=kern)
        nursery.cancel_scope.cancel()


async def _handle_signals(
    stopping: trio.Event, kern: kernel.Kernel, scope: trio.CancelScope
) -> None:
    """Drain on the first SIGTERM or SIGINT; on the second, log active requests and abort them."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            _log.info("signal", signal=signal.Signals(signum).name, second=stopping.is_set())
            if stopping.is_set():
                dropped = kern.find("drain", drain.Drain).active()
                _log.warning("dropped", count=len(dropped), requests=",".join(dropped))
                scope.cancel()
            stopping.set()
