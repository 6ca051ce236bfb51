"""The daemons: which services each process runs, and what its signals do."""

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
    """What a daemon speaks to beside callers and upstreams."""

    store: platform.Platform
    peers: peer_manifest.Peers


Assemble = Callable[[kernel.Kernel, settings.Settings, Dependencies], None]


def run_gateway(cfg: settings.Settings) -> None:
    """Run a gateway process until it is told to stop and has drained."""
    _run(cfg, add_gateway)


def run_worker(cfg: settings.Settings) -> None:
    """Run a worker process until it is told to stop and has drained."""
    _run(cfg, add_worker)


async def serve_gateway(
    cfg: settings.Settings,
    stopping: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a gateway until it has drained, which begins when ``stopping`` is set."""
    await _serve(cfg, stopping, add_gateway, task_status)


async def serve_worker(
    cfg: settings.Settings,
    stopping: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a worker until it has drained, which begins when ``stopping`` is set."""
    await _serve(cfg, stopping, add_worker, task_status)


def add_gateway(kern: kernel.Kernel, cfg: settings.Settings, dependencies: Dependencies) -> None:
    """Add a gateway's services, in the order in which they start."""
    members = membership.Membership(cfg)
    _add_common(kern, cfg, dependencies, members, cfg.drain_grace_s)
    kern.add(records.make(kern, cfg, dependencies.store))
    kern.add(router.Router(kern, cfg.failure_domain, random.Random()))
    kern.add(online.Online(kern))
    kern.add(load_reports.LoadReports(kern, cfg), _RESTART)
    kern.add(peer_histories.PeerHistories(kern, cfg), _RESTART)
    kern.add(conditions.Conditions(kern, cfg), _RESTART)
    kern.add(server.WebServer(kern, cfg, app.create_app(_blueprints(kern, cfg, dependencies))))


def add_worker(kern: kernel.Kernel, cfg: settings.Settings, dependencies: Dependencies) -> None:
    """Add a worker's services, in the order in which they start."""
    members = worker_membership.WorkerMembership(cfg)
    _add_common(kern, cfg, dependencies, members, 0.0)
    kern.add(share_grants.ShareGrants(kern, cfg), _RESTART)
    kern.add(leaving.LeavingWatch(kern, cfg, dependencies.store), _RESTART)
    kern.add(batch.Batch(kern, cfg.vm, cfg.failure_domain, dependencies.store))
    kern.add(reconciler.Reconciler(kern, cfg, dependencies.store), _RESTART)
    kern.add(conditions.Conditions(kern, cfg), _RESTART)
    routes = operations.create_blueprint(kern, cfg, cfg.worker_address)
    kern.add(server.WebServer(kern, cfg, app.create_app([routes]), cfg.worker_address))


def _add_common(
    kern: kernel.Kernel,
    cfg: settings.Settings,
    dependencies: Dependencies,
    members: membership.Membership | worker_membership.WorkerMembership,
    grace_s: float,
) -> None:
    told = histories.Histories()
    kern.add(drain.Drain(grace_s))
    kern.add(told)
    if cfg.tracing is not None:
        kern.add(trace_writer.TraceWriter(cfg.tracing))
    kern.add(members)
    uses = open_job_uses.OpenJobUses(job_store.JobStore(dependencies.store))
    kern.add(
        configuration.Configuration(
            cfg,
            dependencies.store,
            members,
            dependencies.peers,
            beside_gateway=isinstance(members, worker_membership.WorkerMembership),
            open_uses=uses.read,
            histories=told,
        )
    )
    kern.add(upstreams.Upstreams(kern))
    kern.add(quarantine.Quarantine(kern))


def _blueprints(
    kern: kernel.Kernel, cfg: settings.Settings, dependencies: Dependencies
) -> tuple[quart.Blueprint, ...]:
    jobs = job_store.JobStore(dependencies.store)
    followed = kern.find("configuration", ports.Configuration)
    fleet = fleet_histories.FleetHistories(dependencies.store, followed)
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
    assemble: Assemble,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    kern: kernel.Kernel | None = None,
) -> None:
    async with _outside(cfg) as dependencies, trio.open_nursery() as nursery:
        kern = kern or kernel.Kernel()
        assemble(kern, cfg, dependencies)
        await nursery.start(kern.run)
        _log.info("started", failure_domain=cfg.failure_domain)
        task_status.started()
        nursery.start_soon(_drain_when, stopping, kern)
        await kern.wait_stopped()
        nursery.cancel_scope.cancel()
    _log.info("stopped")


@contextlib.asynccontextmanager
async def _outside(cfg: settings.Settings) -> AsyncIterator[Dependencies]:
    key = peer_key.read(cfg.peer_key_file)
    store = platform_http.HttpPlatform(cfg.platform_url, deadline_s=cfg.platform_deadline_s)
    peers = peer_manifest.HttpPeers(key, cfg.vm, secure=cfg.tls is not None)
    async with store, peers:
        yield Dependencies(store, peers)


async def _drain_when(stopping: trio.Event, kern: kernel.Kernel) -> None:
    """Drain once asked to: announce it, let running work end, then stop."""
    await stopping.wait()
    kern.find("membership", membership.Membership).leave()
    if kern.has("batch"):
        await kern.find("batch", batch.Batch).drain()
    kern.find("drain", drain.Drain).begin()


def _run(cfg: settings.Settings, assemble: Assemble) -> None:
    with logs.handler(cfg.log_level, cfg.vm).applicationbound():
        try:
            trio.run(_run_until_signalled, cfg, assemble)
        except* Exception as group:
            for exc in kernel.causes(group):
                _log.error("failed", error=repr(exc), where=kernel.place(exc))
            sys.exit(errors.ExitCode.FAILED)


async def _run_until_signalled(cfg: settings.Settings, assemble: Assemble) -> None:
    stopping = trio.Event()
    kern = kernel.Kernel()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_signals, stopping, kern, nursery.cancel_scope)
        await _serve(cfg, stopping, assemble, kern=kern)
        nursery.cancel_scope.cancel()


async def _follow_signals(
    stopping: trio.Event, kern: kernel.Kernel, scope: trio.CancelScope
) -> None:
    """Drain at the first SIGTERM or SIGINT; at the second say what is dropped, and drop it."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            _log.info("signal", signal=signal.Signals(signum).name, second=stopping.is_set())
            if stopping.is_set():
                dropped = kern.find("drain", drain.Drain).active()
                _log.warning("dropped", count=len(dropped), requests=",".join(dropped))
                scope.cancel()
            stopping.set()
