"""The service ``batch``: runs the items of open jobs on the engines that this VM owns."""

import dataclasses
import secrets
import time
from collections.abc import Callable

import trio

from cornelgrade import errors, kernel, logs, manifest
from cornelgrade.adapters import platform
from cornelgrade.policy import batch, claims, ownership
from cornelgrade.services import (
    _engine_run,
    _item_queue,
    _job_runs,
    job_cleanup,
    job_ending,
    job_records,
    job_store,
    ports,
)

OWNERSHIP_INTERVAL_S = 0.5
LEAVING_EXPIRY_S = 15.0
MIN_POLL_S = 0.1
MAX_POLL_S = 2.0
DRAIN_TIMEOUT_S = 10.0
_OPEN_PAGE = 100
_LOW_WATER_FACTOR = 2
_UNKNOWN_PACE_FACTOR = 6.0
_CLAIM_AHEAD_S = 10.0
_RATE_WEIGHT = 0.3


@dataclasses.dataclass(slots=True)
class _OwnedEngine:
    """An engine that this worker owns."""

    upstream: manifest.Upstream
    run: _engine_run.EngineRun


class Batch:
    """Claims chunks of open jobs and runs their items.

    :param kern: finds ``configuration``, ``membership``, ``upstreams`` and, if the process has it,
        ``quarantine``.
    :param vm: this VM's name.
    :param plat: the platform.
    :param unix_s: returns the Unix time in seconds.
    """

    name = "batch"

    def __init__(
        self,
        kern: kernel.Kernel,
        vm: str,
        failure_domain: str,
        plat: platform.Platform,
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        self.store = job_store.JobStore(plat, unix_s)
        self.holder = claims.Holder(vm, secrets.token_hex(4))
        self._kern = kern
        self._failure_domain = failure_domain
        self._log = logs.Logger("batch")
        self._owned: dict[str, _OwnedEngine] = {}
        self._leaving_until_s: dict[str, float] = {}
        self._item_queues: dict[str, _item_queue.ItemQueue] = {}
        self._jobs: dict[str, _job_runs.JobRun] = {}
        self._headers: dict[str, job_records.Header] = {}
        self._sightings = claims.FirstSeenTimes()
        self._wake = trio.Event()
        self._items_per_s = 0.0
        self._draining = False
        self._drained = trio.Event()
        self._accepted: ports.AcceptedManifest | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Run until cancelled."""
        started()
        config = self._kern.find("configuration", ports.Configuration)
        self._accepted = await config.wait_newer(0)
        members = self._kern.find("membership", ports.Membership)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_loads, members.subscribe(ports.Load))
            nursery.start_soon(self._follow_yields, members.subscribe(ports.Yield))
            nursery.start_soon(self._follow_leaving, members.subscribe(ports.Leaving))
            nursery.start_soon(self._follow_ownership, nursery)
            nursery.start_soon(self._measure_item_rate)
            cleanup = job_cleanup.Cleanup(self.store, self._retention_s)
            nursery.start_soon(cleanup.run, self._owns_cleanup)
            await self._claim_forever(nursery)

    async def drain(self, timeout_s: float = DRAIN_TIMEOUT_S) -> None:
        """Start no more items, let running ones end, and return unfinished chunks to the ledger."""
        self._draining = True
        for job in self._jobs.values():
            job.drain()
        with trio.move_on_after(timeout_s):
            while any(owned.run.running for owned in self._owned.values()):
                await trio.sleep(MIN_POLL_S)
        for owned in self._owned.values():
            owned.run.drain()
        self._wake.set()
        with trio.move_on_after(timeout_s):
            await self._drained.wait()

    def _policy(self) -> manifest.BatchPolicy:
        assert self._accepted is not None
        return self._accepted.manifest.batch

    def _lean(self) -> float:
        return self._policy().lean

    def _retention_s(self) -> float:
        return self._policy().retention_s

    def _usable_vms(self, failure_domain: str = "") -> frozenset[str]:
        view = self._kern.find("membership", ports.Membership).view()
        return frozenset(m.vm for m in view.usable(failure_domain)) | {self.holder.vm}

    def _owns_cleanup(self) -> bool:
        """Return whether this VM runs the cleanup; it is harmless if two VMs do for a moment."""
        return ownership.choose_owner("clean-up", self._usable_vms()) == self.holder.vm

    async def _follow_loads(self, loads: trio.MemoryReceiveChannel[ports.Load]) -> None:
        async for load in loads:
            if load.upstream in self._owned:
                self._owned[load.upstream].run.update_load(load)

    async def _follow_yields(self, yields: trio.MemoryReceiveChannel[ports.Yield]) -> None:
        async for request in yields:
            if request.upstream in self._owned:
                self._owned[request.upstream].run.preempt_items(request.slots)

    async def _follow_leaving(self, leaving: trio.MemoryReceiveChannel[ports.Leaving]) -> None:
        """Stop using upstreams that leave, until their messages are no longer repeated."""
        async for message in leaving:
            self._leaving_until_s[message.upstream] = trio.current_time() + LEAVING_EXPIRY_S
            if message.upstream in self._owned:
                self._owned[message.upstream].run.drain()

    async def _follow_ownership(self, nursery: trio.Nursery) -> None:
        """Keep a run for each engine that this VM owns by the membership and the manifest."""
        config = self._kern.find("configuration", ports.Configuration)
        while True:
            self._accepted = config.current() or self._accepted
            assigned = self._upstreams_to_run()
            for name, owned in self._owned.items():
                if assigned.get(name) != owned.upstream:
                    owned.run.drain()
            for name in set(assigned) - set(self._owned):
                nursery.start_soon(self._run_engine, assigned[name])
            await trio.sleep(OWNERSHIP_INTERVAL_S)

    def _upstreams_to_run(self) -> dict[str, manifest.Upstream]:
        """Return the upstreams that this VM should run batch items on now."""
        assert self._accepted is not None
        now_s = trio.current_time()
        local = _model_engines(self._accepted.manifest, self._failure_domain)
        live = self._usable_vms(self._failure_domain)
        owned = ownership.list_owned(self.holder.vm, local, live)
        return {
            name: local[name]
            for name in owned
            if not self._draining and now_s >= self._leaving_until_s.get(name, 0.0)
        }

    async def _run_engine(self, upstream: manifest.Upstream) -> None:
        pool = self._kern.find("upstreams", ports.UpstreamPool)
        quarantine = (
            self._kern.find("quarantine", ports.Quarantine)
            if self._kern.has("quarantine")
            else None
        )
        try:
            client = pool.get(upstream.name)
        except errors.Refusal:
            return
        run = _engine_run.EngineRun(
            client,
            upstream.slots,
            self._item_queue_for(upstream.service),
            self._lean,
            quarantine,
            upstream.software_version or "",
        )
        self._owned[upstream.name] = _OwnedEngine(upstream, run)
        self._log.info("engine_owned", upstream=upstream.name)
        try:
            await run.run()
        finally:
            del self._owned[upstream.name]
            self._log.info("engine_released", upstream=upstream.name)

    def _item_queue_for(self, service: str) -> _item_queue.ItemQueue:
        return self._item_queues.setdefault(service, _item_queue.ItemQueue())

    async def _measure_item_rate(self) -> None:
        """Measure how many items end on this VM in a second, as a moving average."""
        interval_s, before = 1.0, 0
        while True:
            await trio.sleep(interval_s)
            ended = sum(owned.run.ended for owned in self._owned.values())
            rate = max(0, ended - before) / interval_s
            self._items_per_s += _RATE_WEIGHT * (rate - self._items_per_s)
            before = ended

    async def _claim_forever(self, nursery: trio.Nursery) -> None:
        poll_s = MIN_POLL_S
        while True:
            with trio.move_on_after(poll_s):
                await self._wake.wait()
            self._wake = trio.Event()
            try:
                claimed = await self._run_round(nursery)
            except platform.UnavailableError as exc:
                self._log.warning("platform_unavailable", step=exc.step, error=exc.message)
                claimed = 0
            poll_s = MIN_POLL_S if claimed else min(poll_s * 2, MAX_POLL_S)

    async def _run_round(self, nursery: trio.Nursery) -> int:
        """Claim chunks for services that are short of items, then flush all jobs."""
        claimed = 0
        if not self._draining:
            claimed = await self._claim(nursery)
        for name, job in list(self._jobs.items()):
            await job.flush(now=self._draining)
            if job.finished or job.idle:
                job.close()
                del self._jobs[name]
        if self._draining and not self._jobs:
            self._drained.set()
        return claimed

    def _wanted_items(self) -> dict[str, int]:
        """Return for each service how many more items its engines on this VM can use."""
        slots: dict[str, int] = {}
        for owned in self._owned.values():
            service = owned.upstream.service
            slots[service] = slots.get(service, 0) + owned.upstream.slots
        early = self._policy().chunk_items if self._ledger_write_due() else 0
        wanted = {
            service: _LOW_WATER_FACTOR * count + early - self._item_queue_for(service).ready
            for service, count in slots.items()
        }
        return {service: count for service, count in wanted.items() if count > 0}

    def _ledger_write_due(self) -> bool:
        """Return whether a ledger must be written now, so that a claim needs no extra write."""
        return any(job.flush_due for job in self._jobs.values())

    async def _claim(self, nursery: trio.Nursery) -> int:
        wanted = self._wanted_items()
        if not wanted:
            return 0
        fleet = _job_runs.FleetState(self._usable_vms(), self._policy())
        claimed = 0
        for entry in await self._list_candidates():
            header = self._headers[entry.upload]
            if wanted.get(header.service, 0) <= 0 or not self._is_claimable(entry, fleet):
                continue
            job = await self._open_job_run(nursery, entry)
            if job is None:
                continue
            chunks = await job.claim(fleet, self._sightings, self._estimate_pace(header))
            wanted[header.service] -= chunks * header.chunk_items
            claimed += chunks
        return claimed

    def _is_claimable(self, entry: job_store.OpenJob, fleet: _job_runs.FleetState) -> bool:
        """Return whether the ledger shows chunks to claim, or a job that can be ended."""
        ledger = entry.ledger
        free = not ledger.chunks or ledger.next_chunk < ledger.chunks or ledger.unclaimed
        held_chunks = (
            frozenset(self._jobs[entry.name].held_chunks)
            if entry.name in self._jobs
            else frozenset()
        )
        return free or bool(
            _job_runs.takeover_claims(entry, self.holder, held_chunks, fleet, self._sightings)
        )

    def _estimate_pace(self, header: job_records.Header) -> _job_runs.WorkerPace:
        """Estimate how long a chunk takes from its claim to its end, and how many to claim."""
        if self._items_per_s < 0.1:
            return _job_runs.WorkerPace(self._policy().lease_s * _UNKNOWN_PACE_FACTOR)
        waiting = sum(queue.ready for queue in self._item_queues.values())
        ahead = int(self._items_per_s * _CLAIM_AHEAD_S / header.chunk_items)
        return _job_runs.WorkerPace(
            chunk_s=(waiting + 2 * header.chunk_items) / self._items_per_s,
            max_chunks=min(_job_runs.MAX_CLAIM_CHUNKS, max(1, ahead)),
        )

    async def _list_candidates(self) -> list[job_store.OpenJob]:
        """Return accepted open jobs that may have chunks to claim, most urgent first."""
        entries = {entry.name: entry for entry in await self.store.open_jobs(limit=_OPEN_PAGE)}
        self._sightings.retain_jobs(entries.keys())
        candidates = []
        for entry in entries.values():
            header = await self._accepted_header(entry)
            if header is not None:
                candidates.append(batch.Candidate(entry.name, entry.due_at_s, header.price))
        self._headers = {
            entry.upload: self._headers[entry.upload]
            for entry in entries.values()
            if entry.upload in self._headers
        }
        ordered = batch.sort_by_urgency(candidates, self.store.unix_s())
        return [entries[candidate.name] for candidate in ordered]

    async def _accepted_header(self, entry: job_store.OpenJob) -> job_records.Header | None:
        """Return an open job's header, ``None`` during its upload. The state may be out of date."""
        if entry.upload not in self._headers:
            found = await self.store.header(entry.team, entry.job)
            if found is None or found.header.upload != entry.upload:
                return None
            self._headers[entry.upload] = found.header
        return self._headers[entry.upload]

    async def _open_job_run(
        self, nursery: trio.Nursery, entry: job_store.OpenJob
    ) -> _job_runs.JobRun | None:
        """Return the run of an open job; a job with nothing left to run is ended instead."""
        if entry.name in self._jobs:
            job = self._jobs[entry.name]
            job.refresh(entry)
            return None if job.finished else job
        found = await self.store.header(entry.team, entry.job)
        if found is None:
            return None
        cancelled = found.header.state is not job_records.JobState.OPEN
        if entry.ledger.complete or (cancelled and entry.ledger.unclaimed):
            await job_ending.end(self.store, entry)
            return None
        job = _job_runs.JobRun(
            self.store,
            entry,
            found,
            self.holder,
            self._item_queue_for(found.header.service),
            nursery,
            self._cancel_job,
            self._wake_claim_loop,
        )
        self._jobs[entry.name] = job
        return job

    def _wake_claim_loop(self) -> None:
        self._wake.set()

    def _cancel_job(self, job: str) -> None:
        for owned in self._owned.values():
            owned.run.cancel_job(job)


def _model_engines(wanted: manifest.Manifest, failure_domain: str) -> dict[str, manifest.Upstream]:
    """Return a failure domain's model engines by name; plain services run no batch items."""
    models = {service.name for service in wanted.services if service.kind == "model"}
    return {
        upstream.name: upstream
        for upstream in wanted.upstreams
        if upstream.failure_domain == failure_domain and upstream.service in models
    }
