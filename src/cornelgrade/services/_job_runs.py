"""The chunks that this worker holds, job by job: claiming, renewing, ending and cancelling."""

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
    _settled,
    job_ending,
    job_records,
    job_store,
)

LONGEST_LEASE_FACTOR = 24.0
MAX_CLAIM_CHUNKS = 4
LONGEST_SETTLE_DELAY_S = 8.0
_SETTLE_LEASE_SHARE = 0.4
_WATCH_WAIT_S = 5.0
_WATCH_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What claiming needs to know of the others.

    :param usable_vms: VMs that the membership counts as usable.
    :param policy: the manifest's rules of batch work.
    """

    usable_vms: frozenset[str]
    policy: manifest.BatchPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How fast this worker is.

    :param chunk_s: expected seconds from the claim of a chunk to its end.
    :param max_chunks: chunks that it may claim at once.
    """

    chunk_s: float
    max_chunks: int = 1


class JobRun:
    """One open job of which this worker holds chunks.

    :param feed: where ready items go.
    :param on_cancel: called with the job's identity when it is cancelled.
    """

    def __init__(
        self,
        store: job_store.JobStore,
        entry: job_store.OpenJob,
        found: job_store.Versioned,
        me: claims.Holder,
        feed: _item_queue.ItemQueue,
        nursery: trio.Nursery,
        on_cancel: Callable[[str], None],
        on_idle: Callable[[], None],
    ) -> None:
        self.entry = entry
        self.header = found.header
        self.gone = False
        self.cancelled = found.header.state is not job_records.JobState.OPEN
        self.draining = False
        self._version = found.version
        self._store = store
        self._me = me
        self._feed = feed
        self._nursery = nursery
        self._on_cancel = on_cancel
        self._on_idle = on_idle
        self.held: set[int] = set()
        self._runs: dict[int, _chunk_run.ChunkRun] = {}
        self._done: dict[claims.Claim, claims.Tally] = {}
        self._returned: set[claims.Claim] = set()
        self._log = logs.Logger("batch")
        self._settle_by_s = math.inf
        self._edit_lock = trio.Lock()
        candidate = batch.Candidate(entry.name, entry.due_at_s, found.header.price)
        self._urgency = batch.urgency(candidate, store.unix_s())
        self._watch_scope = trio.CancelScope()
        nursery.start_soon(self._watch)

    @property
    def idle(self) -> bool:
        """Whether nothing of the job is held or waits to be written."""
        return not (self.held or self.unsettled)

    @property
    def unsettled(self) -> bool:
        """Whether the ledger has yet to be told of something."""
        return bool(self._done or self._returned)

    @property
    def settle_due(self) -> bool:
        """Whether that can't wait for the next claim any longer."""
        return self.unsettled and trio.current_time() >= self._settle_by_s

    def refresh(self, entry: job_store.OpenJob) -> None:
        """Take in a later reading of the job's ledger."""
        if entry.version > self.entry.version:
            self.entry = entry

    async def claim(self, fleet: Fleet, sightings: claims.Sightings, pace: Pace) -> int:
        """Claim some chunks, ending finished ones in the same write; give how many."""
        asked_at_s = trio.current_time()
        taken = claims.Taken(self.entry.ledger)
        lease_s = min(
            max(fleet.policy.lease_s, 2 * pace.chunk_s), fleet.policy.lease_s * LONGEST_LEASE_FACTOR
        )

        def change(ledger: claims.Ledger) -> claims.Ledger:
            nonlocal taken
            ledger = self._begin(self._settle(ledger))
            fresh = 0 if self.cancelled else share(ledger, len(fleet.usable_vms), pace.max_chunks)
            found = dataclasses.replace(self.entry, ledger=ledger)
            over = lapsed(found, self._me, self.held, fleet, sightings)
            taken = claims.take(ledger, self._me, fresh, lease_s, over)
            return taken.ledger

        if not await self._edit(change):
            return 0
        for claim in (*taken.fresh, *taken.over):
            self.held.add(claim.chunk)
            self._nursery.start_soon(
                self._hold, claim, claim in taken.over, asked_at_s, fleet.policy.max_attempts
            )
        return len(taken.fresh) + len(taken.over)

    def _begin(self, ledger: claims.Ledger) -> claims.Ledger:
        if ledger.chunks or ledger.closed:
            return ledger
        return msgspec.structs.replace(
            ledger, chunks=self.header.chunks, started_at_s=self._store.unix_s()
        )

    def _settle(self, ledger: claims.Ledger) -> claims.Ledger:
        """Write ended and returned chunks into a ledger."""
        return claims.give_back(claims.release(ledger, self._done), self._returned)

    async def settle(self, *, now: bool = False) -> None:
        """Write what has ended, and end the job if it was the last of it.

        While other chunks of the job are held, that waits for the next claim or renewal.
        """
        if self.unsettled and (now or not self.held or self.settle_due):
            await self._edit(self._settle)
        if self.gone or self.held:
            return
        if self.entry.ledger.complete or (self.cancelled and self.entry.ledger.unclaimed):
            await job_ending.end(self._store, self.entry)
            self.gone = True

    async def _edit(self, change: Callable[[claims.Ledger], claims.Ledger]) -> bool:
        """Change the ledger; false if the job has ended elsewhere."""
        async with self._edit_lock:
            done, returned = dict(self._done), set(self._returned)
            asked_at_s = trio.current_time()
            entry = await self._store.edit_ledger(
                self.entry, lambda ledger: self._renewed(ledger, change(ledger)), _settled.FOREVER_S
            )
            for claim in done:
                del self._done[claim]
            self._returned -= returned
            if entry is None:
                self._end()
                return False
            if entry.version != self.entry.version:
                self._note_renewal(entry.ledger, asked_at_s)
            self.entry = entry
            return True

    def _renewed(self, before: claims.Ledger, after: claims.Ledger) -> claims.Ledger:
        """Renew every claim of this worker in a ledger that is written anyway."""
        if after == before:
            return before
        return claims.renew(after, str(self._me), frozenset(self.held))

    def _note_renewal(self, ledger: claims.Ledger, asked_at_s: float) -> None:
        for run in self._runs.values():
            if claims.held(ledger, run.claim):
                run.renewed(asked_at_s)

    def _end(self) -> None:
        self.gone = True
        for run in self._runs.values():
            run.lose()
        self._on_cancel(self.header.job)

    async def _hold(
        self, claim: claims.Claim, taken_over: bool, claimed_at_s: float, max_attempts: int
    ) -> None:
        """Run one chunk from its claim to its end."""
        try:
            await self._run_chunk(claim, taken_over, claimed_at_s, max_attempts)
        finally:
            self.held.discard(claim.chunk)
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
                changed=self._feed.notify,
            )
        except (job_store.LostChunkError, platform.UnavailableError) as exc:
            self._log.warning(
                "claim_dropped", job=self.header.job, chunk=claim.chunk, error=repr(exc)
            )
            return
        self._runs[claim.chunk] = run
        if self.cancelled or self.draining:
            run.stop()
        self._feed.add(run, self._urgency)
        try:
            await run.run(self._renew)
        finally:
            self._feed.remove(run)
            del self._runs[claim.chunk]
        self._conclude(run)

    def _conclude(self, run: _chunk_run.ChunkRun) -> None:
        delay_s = min(LONGEST_SETTLE_DELAY_S, run.claim.lease_s * _SETTLE_LEASE_SHARE)
        settle_by_s = trio.current_time() + delay_s
        self._settle_by_s = min(self._settle_by_s, settle_by_s) if self.unsettled else settle_by_s
        if run.lost:
            self._log.warning("chunk_lost", job=self.header.job, chunk=run.claim.chunk)
        elif run.left and not self.cancelled:
            self._returned.add(run.claim)
        else:
            self._done[run.claim] = run.tally()

    async def _renew(self, run: _chunk_run.ChunkRun) -> bool:
        chunks = frozenset({run.claim.chunk})

        def change(ledger: claims.Ledger) -> claims.Ledger:
            if not claims.held(ledger, run.claim):
                return ledger
            return claims.renew(self._settle(ledger), str(self._me), chunks)

        return await self._edit(change) and claims.held(self.entry.ledger, run.claim)

    async def _watch(self) -> None:
        """Notice a cancel within moments."""
        with self._watch_scope:
            while not self.gone and not self.cancelled:
                try:
                    changes = await self._store.plat.watch(
                        job_records.JOB, self.header.name, self._version, _WATCH_WAIT_S
                    )
                    changed = bool(changes.items or changes.deleted or changes.reset)
                    found = await self._current() if changed else self.header
                except platform.UnavailableError:
                    await trio.sleep(_WATCH_RETRY_S)
                    continue
                self._version = changes.version
                if found is None or found.state is not job_records.JobState.OPEN:
                    self._cancel()

    async def _current(self) -> job_records.Header | None:
        found = await self._store.header(self.header.team, self.header.job)
        return found.header if found else None

    def _cancel(self) -> None:
        self.cancelled = True
        for run in self._runs.values():
            run.stop()
        self._on_cancel(self.header.job)
        self._on_idle()

    def drain(self) -> None:
        """Hand out no more items; what is running may end."""
        self.draining = True
        for run in self._runs.values():
            run.stop()

    def close(self) -> None:
        """Stop watching."""
        self.gone = True
        self._watch_scope.cancel()


def lapsed(
    entry: job_store.OpenJob,
    me: claims.Holder,
    held: Set[int],
    fleet: Fleet,
    sightings: claims.Sightings,
) -> frozenset[claims.Claim]:
    """Give the claims on a job that this worker may take over.

    Those in its own name that it does not hold are left over from a write whose answer was lost.
    """
    now_s = trio.current_time()
    first = sightings.note(entry.name, entry.ledger, now_s)
    grace_s = fleet.policy.lease_s
    return frozenset(
        claim
        for claim in entry.ledger.claims
        if (claim.holder == str(me) and claim.chunk not in held)
        or claims.lapsed(claim, me, first[claim], now_s, fleet.usable_vms, grace_s)
    )


def share(ledger: claims.Ledger, vms: int, max_chunks: int) -> int:
    """Give how many chunks to claim at once: fewer towards the end of a job."""
    left = ledger.chunks - ledger.next_chunk
    return min(max_chunks, max(1, math.floor(left / (2 * max(1, vms)))))
