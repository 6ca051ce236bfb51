"""The chunks that this worker holds of each job: claim, renewal, end and cancellation."""

import dataclasses
import math
from collections.abc import Callable, Set

import msgspec
import trio

from cornelgrade import logs, manifest
from cornelgrade.adapters import platform
from cornelgrade.policy import batch, claims
from cornelgrade.services import (
    _chunk_run,
    _item_queue,
    _platform_retries,
    job_ending,
    job_records,
    job_store,
)

MAX_LEASE_FACTOR = 24.0
MAX_CLAIM_CHUNKS = 4
MAX_FLUSH_DELAY_S = 8.0
_FLUSH_DELAY_LEASE_SHARE = 0.4
_WATCH_WAIT_S = 5.0
_WATCH_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class FleetState:
    """State of the fleet that a claim depends on.

    :param usable_vms: VMs that the membership counts as usable.
    :param policy: the manifest's policy for batch work.
    """

    usable_vms: frozenset[str]
    policy: manifest.BatchPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerPace:
    """How fast this worker runs chunks.

    :param chunk_s: expected seconds from the claim of a chunk to its end.
    :param max_chunks: number of chunks that it may claim at once.
    """

    chunk_s: float
    max_chunks: int = 1


class JobRun:
    """One open job of which this worker holds chunks.

    :param queue: receives the chunks whose items may run.
    :param on_cancel: called with the job's id when its running items must be cancelled.
    :param on_idle: called when a chunk has ended or the job is cancelled.
    """

    def __init__(
        self,
        store: job_store.JobStore,
        entry: job_store.OpenJob,
        stored: job_store.VersionedHeader,
        own_holder: claims.Holder,
        queue: _item_queue.ItemQueue,
        nursery: trio.Nursery,
        on_cancel: Callable[[str], None],
        on_idle: Callable[[], None],
    ) -> None:
        self.entry = entry
        self.header = stored.header
        self.finished = False
        self.cancelled = stored.header.state is not job_records.JobState.OPEN
        self.draining = False
        self._version = stored.version
        self._store = store
        self._own_holder = own_holder
        self._queue = queue
        self._nursery = nursery
        self._on_cancel = on_cancel
        self._on_idle = on_idle
        self.held_chunks: set[int] = set()
        self._runs: dict[int, _chunk_run.ChunkRun] = {}
        self._ended_tallies: dict[claims.Claim, claims.Tally] = {}
        self._returned_claims: set[claims.Claim] = set()
        self._log = logs.Logger("batch")
        self._flush_by_s = math.inf
        self._edit_lock = trio.Lock()
        candidate = batch.Candidate(entry.name, entry.due_at_s, stored.header.price)
        self._urgency = batch.urgency(candidate, store.unix_s())
        self._watch_scope = trio.CancelScope()
        nursery.start_soon(self._watch)

    @property
    def idle(self) -> bool:
        """Whether no chunk is held and no result waits to be written to the ledger."""
        return not (self.held_chunks or self.has_unflushed)

    @property
    def has_unflushed(self) -> bool:
        """Whether ended or returned chunks are not written to the ledger yet."""
        return bool(self._ended_tallies or self._returned_claims)

    @property
    def flush_due(self) -> bool:
        """Whether unflushed chunks must be written now, without waiting for the next claim."""
        return self.has_unflushed and trio.current_time() >= self._flush_by_s

    def refresh(self, entry: job_store.OpenJob) -> None:
        """Use a newer version of the job's ledger."""
        if entry.version > self.entry.version:
            self.entry = entry

    async def claim(
        self, fleet: FleetState, sightings: claims.FirstSeenTimes, pace: WorkerPace
    ) -> int:
        """Claim chunks and return their number; ended chunks are written in the same write."""
        requested_at_s = trio.current_time()
        taken = claims.ClaimResult(self.entry.ledger)
        lease_s = min(
            max(fleet.policy.lease_s, 2 * pace.chunk_s), fleet.policy.lease_s * MAX_LEASE_FACTOR
        )

        def change(ledger: claims.Ledger) -> claims.Ledger:
            nonlocal taken
            ledger = self._start_ledger(self._apply_unflushed(ledger))
            fresh_count = (
                0
                if self.cancelled
                else fresh_chunk_count(ledger, len(fleet.usable_vms), pace.max_chunks)
            )
            entry = dataclasses.replace(self.entry, ledger=ledger)
            lapsed = takeover_claims(entry, self._own_holder, self.held_chunks, fleet, sightings)
            taken = claims.claim_chunks(ledger, self._own_holder, fresh_count, lease_s, lapsed)
            return taken.ledger

        if not await self._edit_ledger(change):
            return 0
        for claim in (*taken.new_claims, *taken.taken_over):
            self.held_chunks.add(claim.chunk)
            self._nursery.start_soon(
                self._run_claim,
                claim,
                claim in taken.taken_over,
                requested_at_s,
                fleet.policy.max_attempts,
            )
        return len(taken.new_claims) + len(taken.taken_over)

    def _start_ledger(self, ledger: claims.Ledger) -> claims.Ledger:
        if ledger.chunks or ledger.closed:
            return ledger
        return msgspec.structs.replace(
            ledger, chunks=self.header.chunks, started_at_s=self._store.unix_s()
        )

    def _apply_unflushed(self, ledger: claims.Ledger) -> claims.Ledger:
        """Return a ledger with this worker's ended and returned chunks."""
        return claims.release_claims(
            claims.record_ended(ledger, self._ended_tallies), self._returned_claims
        )

    async def flush(self, *, now: bool = False) -> None:
        """Write ended and returned chunks, and end the job if all its chunks have ended.

        While other chunks of the job are held, the write is left to the next claim or renewal, or
        to the time when :attr:`flush_due` is true.
        """
        if self.has_unflushed and (now or not self.held_chunks or self.flush_due):
            await self._edit_ledger(self._apply_unflushed)
        if self.finished or self.held_chunks:
            return
        if self.entry.ledger.complete or (self.cancelled and self.entry.ledger.unclaimed):
            await job_ending.end(self._store, self.entry)
            self.finished = True

    async def _edit_ledger(self, change: Callable[[claims.Ledger], claims.Ledger]) -> bool:
        """Change the ledger; return false if another worker has ended the job."""
        async with self._edit_lock:
            ended, returned = dict(self._ended_tallies), set(self._returned_claims)
            requested_at_s = trio.current_time()
            entry = await self._store.edit_ledger(
                self.entry,
                lambda ledger: self._renew_held_claims(ledger, change(ledger)),
                _platform_retries.FOREVER_S,
            )
            for claim in ended:
                del self._ended_tallies[claim]
            self._returned_claims -= returned
            if entry is None:
                self._mark_ended()
                return False
            if entry.version != self.entry.version:
                self._note_renewal(entry.ledger, requested_at_s)
            self.entry = entry
            return True

    def _renew_held_claims(self, before: claims.Ledger, after: claims.Ledger) -> claims.Ledger:
        """Renew all claims of this worker if the ledger is written for another reason."""
        if after == before:
            return before
        return claims.renew_claims(after, str(self._own_holder), frozenset(self.held_chunks))

    def _note_renewal(self, ledger: claims.Ledger, requested_at_s: float) -> None:
        for run in self._runs.values():
            if claims.is_held(ledger, run.claim):
                run.note_renewal(requested_at_s)

    def _mark_ended(self) -> None:
        self.finished = True
        for run in self._runs.values():
            run.mark_lost()
        self._on_cancel(self.header.job)

    async def _run_claim(
        self, claim: claims.Claim, taken_over: bool, claimed_at_s: float, max_attempts: int
    ) -> None:
        """Run one claimed chunk until it ends."""
        try:
            await self._run_chunk(claim, taken_over, claimed_at_s, max_attempts)
        finally:
            self.held_chunks.discard(claim.chunk)
        self._on_idle()

    async def _run_chunk(
        self, claim: claims.Claim, taken_over: bool, claimed_at_s: float, max_attempts: int
    ) -> None:
        try:
            run = await _chunk_run.load(
                self._store,
                self.header,
                claim,
                taken_over=taken_over,
                claimed_at_s=claimed_at_s,
                max_attempts=max_attempts,
                on_ready=self._queue.notify,
            )
        except (job_store.LostChunkError, platform.UnavailableError) as exc:
            self._log.warning(
                "claim_dropped", job=self.header.job, chunk=claim.chunk, error=repr(exc)
            )
            return
        self._runs[claim.chunk] = run
        if self.cancelled or self.draining:
            run.stop()
        self._queue.add(run, self._urgency)
        try:
            await run.run(self._renew)
        finally:
            self._queue.remove(run)
            del self._runs[claim.chunk]
        self._queue_result(run)

    def _queue_result(self, run: _chunk_run.ChunkRun) -> None:
        delay_s = min(MAX_FLUSH_DELAY_S, run.claim.lease_s * _FLUSH_DELAY_LEASE_SHARE)
        flush_by_s = trio.current_time() + delay_s
        self._flush_by_s = min(self._flush_by_s, flush_by_s) if self.has_unflushed else flush_by_s
        if run.lost:
            self._log.warning("chunk_lost", job=self.header.job, chunk=run.claim.chunk)
        elif run.unfinished and not self.cancelled:
            self._returned_claims.add(run.claim)
        else:
            self._ended_tallies[run.claim] = run.tally()

    async def _renew(self, run: _chunk_run.ChunkRun) -> bool:
        chunks = frozenset({run.claim.chunk})

        def change(ledger: claims.Ledger) -> claims.Ledger:
            if not claims.is_held(ledger, run.claim):
                return ledger
            return claims.renew_claims(self._apply_unflushed(ledger), str(self._own_holder), chunks)

        return await self._edit_ledger(change) and claims.is_held(self.entry.ledger, run.claim)

    async def _watch(self) -> None:
        """Watch the header, so that a cancel takes effect at once."""
        with self._watch_scope:
            while not self.finished and not self.cancelled:
                try:
                    changes = await self._store.plat.watch(
                        job_records.JOB, self.header.name, self._version, _WATCH_WAIT_S
                    )
                    changed = bool(changes.items or changes.deleted or changes.reset)
                    header = await self._read_header() if changed else self.header
                except platform.UnavailableError:
                    await trio.sleep(_WATCH_RETRY_S)
                    continue
                self._version = changes.version
                if header is None or header.state is not job_records.JobState.OPEN:
                    self._cancel()

    async def _read_header(self) -> job_records.Header | None:
        found = await self._store.header(self.header.team, self.header.job)
        return found.header if found else None

    def _cancel(self) -> None:
        self.cancelled = True
        for run in self._runs.values():
            run.stop()
        self._on_cancel(self.header.job)
        self._on_idle()

    def drain(self) -> None:
        """Start no more items; running ones may end."""
        self.draining = True
        for run in self._runs.values():
            run.stop()

    def close(self) -> None:
        """Stop watching the header."""
        self.finished = True
        self._watch_scope.cancel()


def takeover_claims(
    entry: job_store.OpenJob,
    own_holder: claims.Holder,
    held_chunks: Set[int],
    fleet: FleetState,
    sightings: claims.FirstSeenTimes,
) -> frozenset[claims.Claim]:
    """Return the claims on a job that this worker may take over.

    A claim in its own name that it does not hold comes from a write whose response was lost.
    """
    now_s = trio.current_time()
    first_seen_s = sightings.observe(entry.name, entry.ledger, now_s)
    grace_s = fleet.policy.lease_s
    return frozenset(
        claim
        for claim in entry.ledger.claims
        if (claim.holder == str(own_holder) and claim.chunk not in held_chunks)
        or claims.is_expired(
            claim, own_holder, first_seen_s[claim], now_s, fleet.usable_vms, grace_s
        )
    )


def fresh_chunk_count(ledger: claims.Ledger, vm_count: int, max_chunks: int) -> int:
    """Return how many chunks to claim at once: fewer towards the end of a job."""
    left = ledger.chunks - ledger.next_chunk
    return min(max_chunks, max(1, math.floor(left / (2 * max(1, vm_count)))))
