"""The service ``runner``: runs batch items in the slots that online requests leave.

Each upstream has one worker that runs batch there. Every worker may run items of every job; the
workers tell each other which they run, and the store decides which result of an item stands.
"""

import time
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import kernel, logs, metrics, routes, settings
from cornelgrade.adapters import engine, platform
from cornelgrade.policy import batch_room, health, route_table
from cornelgrade.schema import messages
from cornelgrade.services.edge import (
    _beat,
    _object_watch,
    _signal,
    claim_exchange,
    fleet,
    item_call,
    job_repository,
    job_sweeper,
    open_job,
    peers,
    ports,
    upstream_uses,
)

# Longest time between two looks at the slots; changes of load are acted on at once.
TICK_S = 0.05
# Least time between two tellings: changes close together go into one datagram.
TELL_PAUSE_S = 0.02
# The store is asked again for a result that it did not take, a little later each time.
STORE_PAUSE_S = 0.2
LONGEST_STORE_PAUSE_S = 1.0
# A route that is missing for this long was removed for good.
ROUTE_GONE_S = 4.0
# Kept back from the grace of a stop for telling the others.
STOP_MARGIN_S = 1.0
_MS_PER_S = 1000.0
_log = logs.Logger("runner")


class Runner:
    """Owns the batch items that run in this process."""

    name = "runner"

    def __init__(
        self,
        kern: kernel.Kernel,
        cfg: settings.EdgeSettings,
        store: platform.Platform,
        contact: _object_watch.StoreAvailability,
        caller: item_call.ItemCaller,
        calls: ports.CallFormat,
    ) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peers = kern.find("peers", peers.Peers)
        self._cfg = cfg
        self._store = store
        self._book = job_repository.JobRepository(store, cfg.value_bytes)
        self._contact = contact
        self._sweeper = job_sweeper.JobSweeper(self._book, self._peers, cfg)
        self._caller = caller
        self._jobs: dict[str, open_job.OpenJob] = {}
        self._claims = claim_exchange.ClaimExchange(self._peers, self._jobs)
        self._health: dict[str, health.Health] = {}
        self._runs = metrics.counter(
            "cornelgrade_edge_item_runs_total", "Runs of batch items by outcome."
        )
        self._took = metrics.histogram(
            "cornelgrade_edge_item_run_seconds", "Time of one run of a batch item."
        )
        self._wake = _signal.Signal()
        self._uses = upstream_uses.UpstreamUses(self._peers, calls, self._items_at, self._wake.give)
        self._pace = batch_room.Pace()
        self._stopping = False
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Run items until cancelled."""
        uses = self._peers.subscribe(messages.Uses)
        claims = self._peers.subscribe(messages.JobClaims)
        async with trio.open_nursery() as self._nursery:
            nursery = self._nursery
            nursery.start_soon(self._uses.hear, uses)
            nursery.start_soon(self._claims.hear, claims)
            nursery.start_soon(self._tell)
            nursery.start_soon(self._sweeper.run)
            nursery.start_soon(self._uses.loads.follow, self._owned, self._suspect, self._sound)
            nursery.start_soon(
                _object_watch.follow,
                self._store,
                job_repository.HEADER_KIND,
                self._contact,
                self._headers,
            )
            started()
            while True:
                self._schedule()
                with trio.move_on_after(TICK_S):
                    await self._wake.wait()

    async def drain(self) -> None:
        """Start nothing more, and let what runs end if it can within the grace.

        What is left then is cancelled, so that other workers take it over.
        """
        self._stopping = True
        with trio.move_on_after(self._cfg.stop_grace_s - STOP_MARGIN_S):
            while any(job.runs or job.storing for job in self._jobs.values()):
                await trio.sleep(TICK_S)
        left = [run for job in self._jobs.values() for run in job.runs.values()]
        _log.info("drained", items_left=len(left))
        for run in left:
            run.scope.cancel()

    # Jobs

    async def _headers(self, changes: platform.Changes, whole: bool) -> None:
        for stored in changes.items:
            try:
                found = job_repository.read_header(stored)
            except msgspec.MsgspecError as exc:
                _log.error("header_unreadable", job=stored.name, error=repr(exc))
                continue
            self._follow_job(found, fresh=not whole)

    def _follow_job(self, found: job_repository.Found, *, fresh: bool) -> None:
        header = found.header
        known = self._jobs.get(header.job)
        if header.state != "open":
            if known is not None:
                self._drop(known, header.state)
            self._sweeper.closed(found)
            return
        self._sweeper.opened(header.job)
        if known is not None:
            known.version = found.version
            return
        job = open_job.OpenJob(header, found.version, route_seen_s=trio.current_time())
        self._jobs[header.job] = job
        assert self._nursery is not None
        self._nursery.start_soon(self._load, job, fresh)

    def _drop(self, job: open_job.OpenJob, why: str) -> None:
        self._jobs.pop(job.header.job, None)
        _log.info("job_dropped", job=job.header.job, why=why, running=len(job.runs))
        for run in job.runs.values():
            run.scope.cancel()

    async def _load(self, job: open_job.OpenJob, fresh: bool) -> None:
        """Read a job's input, and which of its items are done."""
        while self._jobs.get(job.header.job) is job:
            try:
                if not fresh:
                    listed, _, _ = await self._book.results(job.header.job, 0, 0.0)
                    job.done |= sum(1 << entry.index for entry in listed)
                job.items = await self._book.items(job.header)
                job.loaded_s = trio.current_time()
                _log.info("job_loaded", job=job.header.job, items=job.header.total, done=job.done)
                self._wake.give()
                return
            except platform.UnavailableError as exc:
                _log.warning("job_not_loaded", job=job.header.job, error=exc.format_message())
                await trio.sleep(open_job.RETRY_PAUSE_S)

    # Slots

    def _schedule(self) -> None:
        now_s = trio.current_time()
        for job in tuple(self._jobs.values()):
            self._settle(job, now_s)
        table = self._fleet.table()
        if table is None or self._stopping:
            return
        room: list[tuple[routes.Upstream, int]] = []
        for reg in self._fleet.upstreams():
            up = reg.upstream
            sound = health.usable(self._health.get(up.name, health.HEALTHY), now_s)
            if self._owns(up) and sound and not reg.doubted_until_s:
                change = batch_room.change(self._uses.use(up, now_s))
                room += [(up, change)] if change > 0 else []
                for _ in range(-change):
                    self._give_way(up.name)
        waiting = self._waiting(now_s) if room else []
        for up, free in room:
            self._fill(up, free, table, waiting)

    def _owned(self) -> list[routes.Upstream]:
        return [reg.upstream for reg in self._fleet.upstreams() if self._owns(reg.upstream)]

    def _owns(self, up: routes.Upstream) -> bool:
        return self._peers.batch_owner(up.name, up.failure_domain) == self._cfg.vm

    def _fill(
        self,
        up: routes.Upstream,
        free: int,
        table: route_table.RouteTable,
        waiting: list[batch_room.Waiting],
    ) -> None:
        """Start waiting items in the free slots of an upstream."""
        started = 0
        for entry in tuple(waiting):
            if started >= free:
                return
            job = self._jobs[entry.job]
            if self._service(table, job, entry.index) == up.service:
                waiting.remove(entry)
                self._start(job, entry.index, up)
                started += 1

    def _items_at(self, upstream: str) -> int:
        """Count the items that run at an upstream."""
        return sum(1 for job in self._jobs.values() for _ in job.running(upstream))

    def _waiting(self, now_s: float) -> list[batch_room.Waiting]:
        workers = self._peers.live_vms(peers.Role.WORKER)
        waiting = [
            batch_room.Waiting(
                job.header.job,
                index,
                job.header.due_ms / _MS_PER_S,
                self._pace.needs_s(job.partial[index].events if index in job.partial else 0),
                index in job.interrupted_s,
            )
            for job in self._jobs.values()
            for index in job.startable_items(now_s)
            if job.may_start(index, workers, self._cfg.vm, now_s)
        ]
        return batch_room.order(waiting, self._cfg.vm, time.time())

    def _service(
        self, table: route_table.RouteTable, job: open_job.OpenJob, index: int
    ) -> str | None:
        """Give the service that runs an item under the plan in force."""
        item = job.items[index]
        route = table.find(job.header.host, item.target)
        if route is None or not route.targets:
            return None
        job.route_seen_s = trio.current_time()
        return route_table.pick_service(route, item.name)

    def _give_way(self, upstream: str) -> None:
        running = [
            batch_room.Running(
                job.header.job,
                index,
                run.started_s,
                job.partial[index].events,
                job.header.due_ms / _MS_PER_S,
            )
            for job in self._jobs.values()
            for index, run in job.running(upstream)
            if not run.gave_way
        ]
        chosen = batch_room.gives_way(running, time.time())
        if chosen is not None:
            run = self._jobs[chosen.job].runs[chosen.index]
            run.gave_way = True
            run.scope.cancel()

    def _start(self, job: open_job.OpenJob, index: int, up: routes.Upstream) -> None:
        assert self._nursery is not None
        run = open_job.Run(up.name, trio.current_time(), trio.CancelScope())
        job.partial.setdefault(index, item_call.Partial())
        job.runs[index] = run
        self._nursery.start_soon(self._run, job, index, up, run)

    # Items

    async def _run(
        self, job: open_job.OpenJob, index: int, up: routes.Upstream, run: open_job.Run
    ) -> None:
        item = job.items[index]
        partial = job.partial[index]
        before = partial.events
        outcome = "cancelled"
        try:
            with run.scope:
                result = await self._caller.call(job.header, item, up, partial)
                outcome = result.end.value if result else "failed"
                self._sound(up)
                if result is not None and result.end is ports.ItemEnd.COMPLETED:
                    took_s = trio.current_time() - run.started_s
                    brought = partial.events - before
                    self._pace = self._pace.learn(partial.events, brought, took_s)
                self._take(job, index, result)
        except engine.CallError as exc:
            outcome = exc.format_message()
            job.retry_later(index, trio.current_time())
            if exc.progress is engine.Progress.NOT_SENT or exc.silent:
                self._suspect(up, exc)
        finally:
            job.runs.pop(index, None)
            if partial.events:
                job.interrupted_s[index] = trio.current_time()
            self._wake.give()
            took_s = trio.current_time() - run.started_s
            gave_way = run.gave_way and run.scope.cancelled_caught
            self._runs.inc({"outcome": "gave_way" if gave_way else outcome.split(":")[0]})
            self._took.observe({}, took_s)
            _log.info(
                "item",
                item=item.name,
                job=job.header.job,
                upstream=up.name,
                outcome="gave_way" if gave_way else outcome,
                events=partial.events,
                took_s=took_s,
            )

    def _suspect(self, up: routes.Upstream, exc: engine.CallError) -> None:
        now_s = trio.current_time()
        before = self._health.get(up.name, health.HEALTHY)
        self._health[up.name] = health.failed(before, now_s)
        _log.info("upstream_suspect", upstream=up.name, error=exc.format_message())

    def _sound(self, up: routes.Upstream) -> None:
        self._health.pop(up.name, None)

    def _take(self, job: open_job.OpenJob, index: int, result: ports.ItemResult | None) -> None:
        """Store a final result; count a failure and give the item up after too many."""
        if result is None:
            job.failures[index] = job.failures.get(index, 0) + 1
            job.partial.pop(index, None)
            job.retry_later(index, trio.current_time())
            if job.failures[index] < self._max_attempts(job, index):
                return
            result = _given_up(job.items[index])
        self._store_soon(job, index, result)

    def _max_attempts(self, job: open_job.OpenJob, index: int) -> int:
        table = self._fleet.table()
        route = table.find(job.header.host, job.items[index].target) if table else None
        return route.max_attempts if route else 1

    def _store_soon(self, job: open_job.OpenJob, index: int, result: ports.ItemResult) -> None:
        assert self._nursery is not None
        job.storing.add(index)
        self._nursery.start_soon(self._store_result, job, index, result)

    async def _store_result(
        self, job: open_job.OpenJob, index: int, result: ports.ItemResult
    ) -> None:
        pause_s = STORE_PAUSE_S
        while self._jobs.get(job.header.job) is job:
            try:
                await self._book.add_result(job.header.job, index, result)
                break
            except platform.UnavailableError as exc:
                _log.info("result_not_stored", item=result.item, error=exc.format_message())
                await trio.sleep(pause_s)
                pause_s = min(2 * pause_s, LONGEST_STORE_PAUSE_S)
        job.done |= 1 << index
        job.storing.discard(index)
        job.partial.pop(index, None)
        self._wake.give()

    # Ends of jobs

    def _settle(self, job: open_job.OpenJob, now_s: float) -> None:
        """Close a job whose results are all there, and give up items whose time is over."""
        workers = self._peers.live_vms(peers.Role.WORKER)
        if open_job.owner(job.header.job, workers) != self._cfg.vm or job.closing:
            return
        if job.complete:
            assert self._nursery is not None
            job.closing = True
            self._nursery.start_soon(self._close, job)
        elif self._over(job, now_s):
            for index in tuple(job.startable_items(now_s)):
                self._store_soon(job, index, _given_up(job.items[index]))

    def _over(self, job: open_job.OpenJob, now_s: float) -> bool:
        """Whether a job's items may be given up: their time is over or their route is gone."""
        expired = time.time() * _MS_PER_S > job.header.expires_ms
        table = self._fleet.table()
        if table is None or not job.items:
            return expired and bool(job.items)
        if table.find(job.header.host, job.items[0].target) is not None:
            job.route_seen_s = now_s
        return expired or now_s - job.route_seen_s > ROUTE_GONE_S

    async def _close(self, job: open_job.OpenJob) -> None:
        try:
            await self._book.close(job_repository.Found(job.header, job.version), "done")
            self._drop(job, "done")
        except platform.UnavailableError as exc:
            _log.info("job_not_closed", job=job.header.job, error=exc.format_message())
            await trio.sleep(open_job.RETRY_PAUSE_S)
        finally:
            job.closing = False

    # Peers

    async def _tell(self) -> None:
        while True:
            self._claims.tell()
            self._uses.tell_gateways(self._owned())
            with trio.move_on_after(_beat.BEAT_S):
                await self._wake.wait()
            await trio.sleep(TELL_PAUSE_S)


def _given_up(item: ports.Item) -> ports.ItemResult:
    return ports.ItemResult(item.name, ports.ItemEnd.GIVEN_UP, "")
