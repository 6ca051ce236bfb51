"""The service ``runner``: runs batch items in slots that online requests leave free.

Each upstream has one worker that runs batch items there. Any worker may run items of any job.
Workers exchange claims on the items that they run; the store keeps the first result of an item.
"""

import math
import time
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import kernel, logs, metrics, routes, settings
from cornelgrade.adapters import engine, platform
from cornelgrade.policy import (
    batch_capacity,
    health,
    item_claims,
    placement,
    registrations,
    request_traits,
    route_table,
    software_versions,
)
from cornelgrade.schema import messages
from cornelgrade.services import ports as shared_ports
from cornelgrade.services.edge import (
    _broadcast,
    _notifier,
    _object_watch,
    _store_availability,
    claim_exchange,
    crash_detector,
    fleet,
    header_sharing,
    item_call,
    job_repository,
    job_routes,
    job_sweeper,
    open_job,
    outcome_sharing,
    outcome_writer,
    peers,
    ports,
    team_items,
    upstream_limits,
    upstream_notices,
    upstream_outliers,
    upstream_uses,
    waiting_tokens,
)

# Maximum time between two scheduling passes; load changes trigger one at once.
SCHEDULE_INTERVAL_S = 0.05
# Minimum time between two passes, so that load changes close together share one.
MIN_SCHEDULE_PAUSE_S = 0.01
# How often jobs are checked for completion and expiry.
ADVANCE_INTERVAL_S = 0.05
# How long the list of upstreams that this worker owns is used before it is computed anew.
OWNERSHIP_TTL_S = 0.05
# Minimum time between two broadcasts, so that changes close together share a datagram.
MIN_BROADCAST_PAUSE_S = 0.05
# The part of that pause between a change and the broadcast of claims, in which the next scheduling
# pass starts items. Other workers may start the same items until they receive the claims.
CLAIM_GATHER_S = 2 * MIN_SCHEDULE_PAUSE_S
# Job headers written close together share a response to a watch. Jobs are due, and cancelled ones
# have to stop, within seconds.
HEADER_SETTLE_S = 0.5
# A route that is missing from the plan for this long was removed for good.
ROUTE_REMOVED_AFTER_S = 4.0
# Reserved from the shutdown grace period for broadcasting the final state.
SHUTDOWN_MARGIN_S = 1.0
_MS_PER_S = 1000.0
_log = logs.Logger("runner")


class Runner:
    """Schedules and runs the batch items of this worker."""

    name = "runner"

    def __init__(
        self,
        kern: kernel.Kernel,
        cfg: settings.EdgeSettings,
        store: platform.Platform,
        availability: _store_availability.StoreAvailability,
        item_caller: item_call.ItemCaller,
        call_format: ports.CallFormat,
    ) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peers = kern.find("peers", peers.Peers)
        self._limits = kern.find("upstream_limits", upstream_limits.UpstreamLimits)
        self._outliers = kern.find("upstream_outliers", upstream_outliers.UpstreamOutliers)
        self._quarantine = kern.find("quarantine", shared_ports.Quarantine)
        self._crash_detector = kern.find("crash_detector", crash_detector.CrashDetector)
        self._cfg = cfg
        self._store = store
        self._repository = job_repository.JobRepository(store, cfg.value_bytes)
        self._availability = availability
        self._sweeper = job_sweeper.JobSweeper(self._repository, self._peers, cfg)
        self._item_caller = item_caller
        self._call_format = call_format
        self._jobs: dict[str, open_job.OpenJob] = {}
        self._claims = claim_exchange.ClaimExchange(self._peers, self._jobs)
        self._done_tokens = waiting_tokens.DoneTokens(self._repository, self._jobs)
        self._team_items = team_items.TeamItems(self._jobs)
        self._health: dict[str, health.Health] = {}
        self._run_counter = metrics.counter(
            "cornelgrade_edge_item_runs_total", "Runs of batch items by outcome."
        )
        self._run_histogram = metrics.histogram(
            "cornelgrade_edge_item_run_seconds", "Time of one run of a batch item."
        )
        self._wake = _notifier.Notifier()
        self._outcomes = outcome_writer.OutcomeWriter(
            self._repository,
            self._jobs,
            self._wake.notify_all,
            self._peers.all_read_groups,
            outcome_sharing.OutcomeClient(kern),
        )
        outcome_sharing.OutcomeServer(
            kern, self._repository, availability, self._jobs, self._wake.notify_all
        )
        self._shared_headers = header_sharing.HeaderClient(
            kern,
            availability,
            self._jobs,
            lambda stored_header: self._apply_header(stored_header, is_new=False),
        )
        header_sharing.HeaderServer(kern, availability, self._find_known_header)
        self._uses = upstream_uses.UpstreamUses(
            self._peers,
            call_format,
            self._count_items_at,
            self._wake.notify_all,
            upstream_notices.UpstreamNotices(kern, call_format),
        )
        self._pace = batch_capacity.Pace()
        self._owned: tuple[registrations.Registration, ...] = ()
        self._owned_at_s = -OWNERSHIP_TTL_S
        self._advanced_s = -ADVANCE_INTERVAL_S
        self._scheduled_s = math.inf
        self._resumed_s = -item_claims.SETTLE_S
        self._stopping = False
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Run items until cancelled."""
        uses = self._peers.subscribe(messages.Uses)
        claims = self._peers.subscribe(messages.JobClaims)
        async with trio.open_nursery() as self._nursery:
            nursery = self._nursery
            nursery.start_soon(self._uses.receive_uses, uses)
            nursery.start_soon(self._claims.receive_claims, claims)
            nursery.start_soon(self._broadcast_claims)
            nursery.start_soon(self._broadcast_uses)
            nursery.start_soon(self._sweeper.run)
            nursery.start_soon(
                self._uses.loads.poll,
                self._upstreams_to_poll,
                self._record_upstream_failure,
                self._record_upstream_success,
            )
            nursery.start_soon(self._watch_headers)
            nursery.start_soon(self._shared_headers.run)
            started()
            while True:
                self._schedule()
                with trio.move_on_after(SCHEDULE_INTERVAL_S):
                    await self._wake.wait()
                await trio.sleep(MIN_SCHEDULE_PAUSE_S)

    async def drain(self) -> None:
        """Stop starting items, and wait for running ones within the grace period.

        Items still running after that are cancelled, so that other workers take them over.
        """
        self._stopping = True
        with trio.move_on_after(self._cfg.stop_grace_s - SHUTDOWN_MARGIN_S):
            while any(job.items_in_progress() for job in self._jobs.values()):
                await trio.sleep(SCHEDULE_INTERVAL_S)
        remaining = [run for job in self._jobs.values() for run in job.runs.values()]
        _log.info("drained", items_left=len(remaining))
        for run in remaining:
            run.scope.cancel()

    # Jobs

    def find_header(self, job: str) -> job_repository.StoredHeader | None:
        """Return the header of an accepted job, perhaps in an earlier state."""
        stored = self._find_known_header(job)
        return stored if stored is not None and stored.header.accepted else None

    def _find_known_header(self, job: str) -> job_repository.StoredHeader | None:
        """Return the header of a job in the state that is known here."""
        tracked = self._jobs.get(job)
        if tracked is not None:
            return job_repository.StoredHeader(tracked.header, tracked.version, tracked.created)
        return self._sweeper.find_header(job)

    async def _watch_headers(self) -> None:
        await _object_watch.watch_objects(
            self._store,
            job_repository.HEADER_KIND,
            self._availability,
            self._apply_headers,
            settle_s=HEADER_SETTLE_S,
        )

    async def _apply_headers(self, changes: platform.Changes, is_snapshot: bool) -> None:
        deleted = set(changes.deleted)
        if is_snapshot and changes.version:
            known = self._jobs.keys() | self._sweeper.tracked_jobs()
            deleted |= known - {stored.name for stored in changes.items}
        for name in deleted:
            self._sweeper.untrack(name)
            if (job := self._jobs.get(name)) is not None:
                self._drop_job(job, "deleted")
        for stored in changes.items:
            try:
                stored_header = job_repository.decode_header(stored)
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
                _log.error("header_unreadable", job=stored.name, error=repr(exc))
                continue
            self._apply_header(stored_header, is_new=not is_snapshot)

    def _apply_header(self, stored_header: job_repository.StoredHeader, *, is_new: bool) -> None:
        header = stored_header.header
        known = self._find_known_header(header.job)
        if known is not None and stored_header.version < known.version:
            # A response to the watch may arrive after a newer header from another worker.
            return
        tracked = self._jobs.get(header.job)
        if tracked is not None and not tracked.header.is_same_job(header):
            # It was deleted, which was missed, and its id was submitted again.
            self._drop_job(tracked, "replaced")
            tracked = None
        if header.state != "open":
            if tracked is not None:
                self._drop_job(tracked, header.state)
            self._sweeper.track_closed(stored_header)
            return
        self._sweeper.untrack(header.job)
        if tracked is not None:
            tracked.apply_header(stored_header)
            return
        now_s = trio.current_time()
        job = open_job.OpenJob(
            header,
            stored_header.version,
            created=stored_header.created,
            known_s=now_s,
            route_seen_s=now_s,
        )
        self._jobs[header.job] = job
        if self._loads_at_once(job):
            self._start_loading(job, is_new=is_new)

    def _drop_job(self, job: open_job.OpenJob, why: str) -> None:
        if self._jobs.get(job.header.job) is job:
            del self._jobs[job.header.job]
        _log.info("job_dropped", job=job.header.job, why=why, running=len(job.runs))
        for run in job.runs.values():
            run.scope.cancel()

    def _loads_at_once(self, job: open_job.OpenJob) -> bool:
        workers = self._peers.live_vms(peers.Role.WORKER)
        return self._cfg.vm in open_job.job_workers(job.header.job, workers)

    def _start_loading(self, job: open_job.OpenJob, *, is_new: bool) -> None:
        assert self._nursery is not None
        job.loading = True
        self._nursery.start_soon(self._load_job, job, is_new)

    def _load_next_job(self, now_s: float) -> None:
        """Load the job due first of those whose items wait for a worker, one at a time."""
        if any(job.loading and not job.items for job in self._jobs.values()):
            return
        workers = self._peers.live_vms(peers.Role.WORKER)
        waiting = [job for job in self._jobs.values() if job.may_load(workers, self._cfg.vm, now_s)]
        if waiting:
            self._start_loading(min(waiting, key=lambda j: j.header.due_ms), is_new=False)

    async def _load_job(self, job: open_job.OpenJob, is_new: bool) -> None:
        """Read a job's input and which of its items are done."""
        while self._jobs.get(job.header.job) is job:
            try:
                if not is_new:
                    listed, _, _ = await self._repository.list_results(
                        job.header.job, 0, 0.0, job.header.received_ms
                    )
                    # An item that two workers ran may have two results.
                    job.done |= sum(1 << index for index in {entry.index for entry in listed})
                    job.merge_failures(await self._repository.read_failures(job.header.job))
                job.items = await self._repository.read_items(job.header)
                job.fingerprints = tuple(map(self._fingerprint_item, job.items))
                _log.info("job_loaded", job=job.header.job, items=job.header.total, done=job.done)
                self._wake.notify_all()
                return
            except platform.UnavailableError as exc:
                _log.warning("job_not_loaded", job=job.header.job, error=exc.format_message())
                await trio.sleep(open_job.RETRY_PAUSE_S)

    def _fingerprint_item(self, item: ports.Item) -> request_traits.Fingerprint:
        headers = tuple((k.encode(), v.encode("latin-1")) for k, v in item.headers)
        parts = self._call_format.parse_prompt_parts(headers)
        return request_traits.fingerprint(item.target, item.body, parts)

    # Slots

    def _schedule(self) -> None:
        now_s = trio.current_time()
        if now_s - self._scheduled_s >= item_claims.MAX_PASS_GAP_S:
            _log.info("resumed", paused_s=now_s - self._scheduled_s)
            self._resumed_s = now_s
        self._scheduled_s = now_s
        if now_s - self._resumed_s < item_claims.SETTLE_S:
            return
        if now_s - self._advanced_s >= ADVANCE_INTERVAL_S:
            self._advanced_s = now_s
            self._update_claim_terms()
            for job in tuple(self._jobs.values()):
                self._advance_job(job, now_s)
        table = self._fleet.table()
        if table is None or self._stopping:
            return
        free_slots: list[tuple[routes.Upstream, int]] = []
        for reg in self._owned_registrations():
            up = reg.upstream
            healthy = health.is_usable(self._health.get(up.name, health.HEALTHY), now_s)
            if healthy and not reg.suspect_until_s:
                change = batch_capacity.items_to_start(self._uses.current_use(up, now_s))
                change = self._outliers.limit_items(up, change)
                free_slots += [(up, change)] if change > 0 else []
                for _ in range(-change):
                    self._preempt_item(up.name)
        free_total = sum(free for _, free in free_slots)
        waiting = self._list_startable(table, free_total, now_s) if free_slots else []
        free_slots = self._sort_for_items(free_slots)
        started = sum(self._start_items(up, free, table, waiting) for up, free in free_slots)
        if started:
            # Broadcasts the claims: passes that follow no event start items too.
            self._wake.notify_all()
        if started < free_total:
            self._load_next_job(now_s)

    def _update_claim_terms(self) -> None:
        """Update by what the jobs judge whether the claims of silent workers still hold."""
        heard_s = self._peers.last_received_s()
        run_s = self._pace.remaining_s(0)
        for job in self._jobs.values():
            job.heard_s = heard_s
            job.slack_s = job.header.due_ms / _MS_PER_S - time.time() - run_s

    def _sort_for_items(
        self, free_slots: list[tuple[routes.Upstream, int]]
    ) -> list[tuple[routes.Upstream, int]]:
        """Sort upstreams by the cost of one more request, so that urgent items start at the best.

        The batch owner knows the load of its upstreams exactly.
        """
        if len(free_slots) < 2:
            return free_slots
        now_s = trio.current_time()
        speeds = self._uses.speeds.assess((up.name for up, _ in free_slots), now_s)
        candidates = []
        for up, _ in free_slots:
            use = self._uses.current_use(up, now_s)
            speed = speeds.relative[up.name]
            candidates.append(
                placement.Candidate(
                    up.name, up.slots, local=True, own=use.batch, others=use.online, speed=speed
                )
            )
        given = placement.assess(tuple(candidates))
        costs = {c.name: placement.placement_cost(c, given) for c in candidates}
        return sorted(free_slots, key=lambda entry: costs[entry[0].name])

    def _owned_upstreams(self) -> list[routes.Upstream]:
        return [reg.upstream for reg in self._owned_registrations()]

    def _upstreams_to_poll(self) -> list[routes.Upstream]:
        return [up for up in self._owned_upstreams() if self._limits.try_take_for_poll(up)]

    def _owned_registrations(self) -> tuple[registrations.Registration, ...]:
        """Return the usable registrations of which this worker is the batch owner."""
        now_s = trio.current_time()
        if now_s - self._owned_at_s >= OWNERSHIP_TTL_S:
            usable = self._fleet.usable_registrations()
            self._owned = tuple(reg for reg in usable if self._owns_upstream(reg.upstream))
            self._owned_at_s = now_s
        return self._owned

    def _owns_upstream(self, up: routes.Upstream) -> bool:
        return self._peers.batch_owner(up.name, up.failure_domain) == self._cfg.vm

    def _start_items(
        self,
        up: routes.Upstream,
        free: int,
        table: route_table.RouteTable,
        waiting: list[batch_capacity.WaitingItem],
    ) -> int:
        """Start waiting items in the free slots of an upstream; return their number."""
        started, now_s = 0, trio.current_time()
        available = frozenset(
            software_versions.origin_at(owned)
            for owned in self._owned_upstreams()
            if owned.service == up.service
        )
        for entry in tuple(waiting):
            if started >= free or not self._limits.may_send_item(up):
                break
            job = self._jobs[entry.job]
            fingerprint = job.fingerprints[entry.index]
            if not self._quarantine.item_may_run(fingerprint):
                # Another item that shares a quarantined part has just started.
                continue
            if self._would_join_suspect(fingerprint, up):
                continue
            service = job_routes.pick_service(table, job.header, job.items[entry.index].name)
            # Events that were made at a service which its route has left are not waited for.
            if service != up.service or not job.may_run_at(entry.index, up, available, now_s):
                continue
            waiting.remove(entry)
            self._start_item(job, entry.index, up)
            started += 1
        return started

    def _would_join_suspect(self, fingerprint: str, up: routes.Upstream) -> bool:
        """Whether an item and one that runs at an upstream are both suspects.

        Suspects are kept apart, so that the next crash shows which of them caused it.
        """
        return self._quarantine.is_suspect(fingerprint) and any(
            self._quarantine.is_suspect(job.fingerprints[index])
            for job in self._jobs.values()
            for index, _ in job.runs_at(up.name)
        )

    def _count_items_at(self, upstream: str) -> int:
        """Return the number of items that run at an upstream."""
        return sum(1 for job in self._jobs.values() for _ in job.runs_at(upstream))

    def _list_startable(
        self, table: route_table.RouteTable, free: int, now_s: float
    ) -> list[batch_capacity.WaitingItem]:
        """Return the items that this worker may start, in order.

        :param free: number of free slots.
        """
        workers = self._peers.live_vms(peers.Role.WORKER)
        waiting = [
            batch_capacity.WaitingItem(
                job.header.job,
                index,
                job.header.due_ms / _MS_PER_S,
                self._pace.remaining_s(job.partial[index].events if index in job.partial else 0),
                index in job.interrupted_s,
                *self._team_items.identify(table, job),
                order=open_job.start_order(job.header.job, index, workers, self._cfg.vm),
            )
            for job in self._jobs.values()
            for index in job.startable_items(now_s)
            if job.may_start(index, workers, self._cfg.vm, now_s)
            and self._quarantine.item_may_run(job.fingerprints[index])
        ]
        teams = self._team_items.measure(table, free, now_s)
        return batch_capacity.sort_waiting(waiting, self._cfg.vm, time.time(), teams)

    def _preempt_item(self, upstream: str) -> None:
        running = [
            batch_capacity.RunningItem(
                job.header.job,
                index,
                run.started_s,
                job.partial[index].events,
                job.header.due_ms / _MS_PER_S,
            )
            for job in self._jobs.values()
            for index, run in job.runs_at(upstream)
            if not (run.preempted or run.duplicate)
        ]
        chosen = batch_capacity.choose_preempted(running, time.time())
        if chosen is not None:
            run = self._jobs[chosen.job].runs[chosen.index]
            run.preempted = True
            run.scope.cancel()

    def _start_item(self, job: open_job.OpenJob, index: int, up: routes.Upstream) -> None:
        assert self._nursery is not None
        run = open_job.ItemRun(up.name, trio.current_time(), trio.CancelScope())
        self._limits.take(up)
        self._outliers.take_trial(up)
        job.partial_for_run(index, up)
        job.runs[index] = run
        self._quarantine.start_item(job.fingerprints[index])
        self._nursery.start_soon(self._run_item, job, index, up, run)

    # Items

    async def _run_item(
        self, job: open_job.OpenJob, index: int, up: routes.Upstream, run: open_job.ItemRun
    ) -> None:
        item = job.items[index]
        fingerprint = job.fingerprints[index]
        partial = job.partial[index]
        events_before = partial.events
        outcome = "cancelled"
        try:
            with run.scope:
                with self._crash_detector.track_call(up, fingerprint):
                    result = await self._call_upstream(job, item, up, partial)
                outcome = result.end.value if result else "failed"
                self._record_upstream_success(up)
                if result is not None and result.end is ports.ItemEnd.COMPLETED:
                    self._quarantine.report_completion(fingerprint)
                    took_s = trio.current_time() - run.started_s
                    new_events = partial.events - events_before
                    interrupted_s = job.record_run(index, run.started_s, took_s)
                    self._pace = self._pace.update(
                        partial.events, new_events, took_s, interrupted_s
                    )
                self._handle_result(job, index, result)
        except engine.CallError as exc:
            outcome = exc.format_message()
            job.delay_retry(index, trio.current_time())
            if exc.progress is engine.Progress.NOT_SENT or exc.timed_out:
                self._record_upstream_failure(up, exc)
        finally:
            job.runs.pop(index, None)
            if partial.events:
                job.interrupted_s[index] = trio.current_time()
            if outcome != ports.ItemEnd.COMPLETED.value:
                job.record_run(index, run.started_s, trio.current_time() - run.started_s)
            self._wake.notify_all()
            took_s = trio.current_time() - run.started_s
            if run.scope.cancelled_caught and (run.preempted or run.duplicate):
                outcome = "duplicate" if run.duplicate else "gave_way"
            self._run_counter.inc({"outcome": outcome.split(":")[0]})
            self._run_histogram.observe({}, took_s)
            _log.info(
                "item",
                item=item.name,
                fingerprint=fingerprint,
                job=job.header.job,
                upstream=up.name,
                outcome=outcome,
                events=partial.events,
                took_s=took_s,
            )

    async def _call_upstream(
        self,
        job: open_job.OpenJob,
        item: ports.Item,
        up: routes.Upstream,
        partial: item_call.PartialResult,
    ) -> ports.ItemResult | None:
        """Run an item at an upstream, and check the upstream if that fails."""
        # The items of a job are alike, so one that can't succeed is rarely alone.
        attempt = self._outliers.start_attempt(up, job.header.job)
        try:
            return await self._item_caller.run_item(job.header, item, up, partial, attempt)
        except engine.CallError as exc:
            if not await self._crash_detector.check_after(up, exc):
                attempt.record_error(exc)
            raise

    def _record_upstream_failure(self, up: routes.Upstream, exc: engine.CallError) -> None:
        now_s = trio.current_time()
        previous = self._health.get(up.name, health.HEALTHY)
        self._health[up.name] = health.record_failure(previous, now_s)
        _log.info("upstream_suspect", upstream=up.name, error=exc.format_message())

    def _record_upstream_success(self, up: routes.Upstream) -> None:
        self._health.pop(up.name, None)
        self._crash_detector.record_response(up)

    def _handle_result(
        self, job: open_job.OpenJob, index: int, result: ports.ItemResult | None
    ) -> None:
        """Store a final result; after a failure, retry the item or give it up."""
        assert self._nursery is not None
        if result is None:
            job.failures[index] = job.failures.get(index, 0) + 1
            job.partial.pop(index, None)
            job.delay_retry(index, trio.current_time())
            if not job_routes.has_failed(self._fleet.table(), job.header, job.failures[index]):
                self._outcomes.start_failures(self._nursery, job, index)
                return
            result = _given_up_result(job.items[index])
        self._outcomes.start_result(self._nursery, job, index, result)

    # Completion of jobs

    def _advance_job(self, job: open_job.OpenJob, now_s: float) -> None:
        """Close a completed job; give up the items of one that expired or lost its route."""
        table = self._fleet.table()
        if table is None or not job_routes.is_removed(table, job.header):
            job.route_seen_s = now_s
        if not job.loading and self._loads_at_once(job):
            self._start_loading(job, is_new=False)
        rank = open_job.closing_rank(
            job.header.job, self._peers.live_vms(peers.Role.WORKER), self._cfg.vm
        )
        if rank is None or job.closing:
            return
        assert self._nursery is not None
        if job.complete:
            job.completed_s = now_s if job.completed_s is None else job.completed_s
            if self._is_turn_to_close(job.completed_s, rank, now_s):
                job.closing = True
                self._nursery.start_soon(self._close_job, job)
            return
        if rank == 0:
            self._done_tokens.start_record(self._nursery, job, table)
        if not _may_give_up(job, now_s):
            job.expired_s = None
            return
        job.expired_s = now_s if job.expired_s is None else job.expired_s
        workers = open_job.job_workers(job.header.job, self._peers.live_vms(peers.Role.WORKER))
        # A worker before this one that reports the job knows its claims and the time as well.
        if self._is_turn_to_close(job.expired_s, rank, now_s) and not any(
            job.is_reported_by(vm, now_s) for vm in workers[:rank]
        ):
            self._give_up_items(job, now_s)

    def _give_up_items(self, job: open_job.OpenJob, now_s: float) -> None:
        assert self._nursery is not None
        indexes = tuple(job.startable_items(now_s))
        if not indexes:
            return
        for index in indexes:
            result = _given_up_result(job.items[index])
            self._outcomes.start_result(self._nursery, job, index, result)
        table = self._fleet.table()
        _log.info(
            "items_given_up",
            job=job.header.job,
            items=len(indexes),
            why="expired" if _is_expired(job) else "route removed",
            route=job.header.route,
            route_missing_s=now_s - job.route_seen_s,
            plan=table.plan.version if table else 0,
        )

    def _is_turn_to_close(self, since_s: float, rank: int, now_s: float) -> bool:
        """Whether this worker may close a job that is complete since a time, or expired.

        The first worker always may, as it can let another one store outcomes. Those before another
        one may have lost the store, or not respond; after an outage for all, it waits again.
        """
        if rank == 0:
            return True
        waited_s = now_s - max(since_s, self._availability.recovered_s)
        return waited_s >= rank * open_job.CLOSE_STAGGER_S and not self._availability.unavailable

    async def _close_job(self, job: open_job.OpenJob) -> None:
        try:
            await self._repository.close_job(
                job_repository.StoredHeader(job.header, job.version), "done"
            )
            self._drop_job(job, "done")
        except platform.UnavailableError as exc:
            _log.info("job_not_closed", job=job.header.job, error=exc.format_message())
            await trio.sleep(open_job.RETRY_PAUSE_S)
        finally:
            job.closing = False

    # Broadcasts

    async def _broadcast_claims(self) -> None:
        while True:
            changed = self._wake.next_event()
            self._claims.send_claims()
            await trio.sleep(MIN_BROADCAST_PAUSE_S - CLAIM_GATHER_S)
            with trio.move_on_after(_broadcast.BROADCAST_INTERVAL_S):
                await changed.wait()
            await trio.sleep(CLAIM_GATHER_S)

    async def _broadcast_uses(self) -> None:
        while True:
            gateways = self._uses.send_to_gateways(self._owned_upstreams())
            with trio.move_on_after(_broadcast.BROADCAST_INTERVAL_S):
                await self._wake.wait()
            await trio.sleep(_broadcast.pause_s(gateways, MIN_BROADCAST_PAUSE_S))


def _may_give_up(job: open_job.OpenJob, now_s: float) -> bool:
    """Whether a job's items may be given up: it has expired or its route was removed."""
    removed = now_s - job.route_seen_s > ROUTE_REMOVED_AFTER_S
    return bool(job.items) and (removed or _is_expired(job))


def _is_expired(job: open_job.OpenJob) -> bool:
    return time.time() * _MS_PER_S > job.header.expires_ms


def _given_up_result(item: ports.Item) -> ports.ItemResult:
    return ports.ItemResult(item.name, ports.ItemEnd.GIVEN_UP, "")
