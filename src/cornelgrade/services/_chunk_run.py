"""One claimed chunk in the worker that holds it: the states of its items and its commits."""

import collections
import dataclasses
from collections.abc import Awaitable, Callable

import trio

from cornelgrade.policy import batch, claims
from cornelgrade.services import _settled, job_records, job_store

MARK_GROUP_ITEMS = 64
_RENEW_AT_LEASE_SHARE = 0.6
_STOP_AT_LEASE_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """What a cancelled call left behind: its text and how many tokens it has."""

    tokens: int = 0
    text: str = ""


@dataclasses.dataclass(slots=True)
class _Progress:
    """State of one item."""

    state: batch.ItemState
    attempts: int = 0
    crashes_alone: int = 0
    suspect: bool = False
    resume: Resume = Resume()


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """An item handed out to run.

    :param alone: it must have the engine to itself.
    """

    run: "ChunkRun"
    index: int
    item: job_records.Item
    resume: Resume
    alone: bool

    @property
    def name(self) -> str:
        """A name for logs and histories."""
        number = self.run.claim.chunk * self.run.header.chunk_items + self.index
        return f"{self.run.header.job}/{number}"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """How a run of an item went.

    :param alone: nothing else ran on the engine.
    """

    event: batch.Event
    upstream: str
    status: int = 0
    body: bytes = b""
    resume: Resume = Resume()
    alone: bool = False


_LOST_REPORT = Report(batch.Event.BROKEN, "", body=b"the worker that ran it was lost")

Renew = Callable[["ChunkRun"], Awaitable[bool]]


class ChunkRun:
    """Items of one claimed chunk.

    :param held: the chunk object as this holder last wrote it, ``None`` before its first write.
    :param max_attempts: attempts after which an item gets its final error.
    :param changed: called when items became ready.
    """

    def __init__(
        self,
        store: job_store.JobStore,
        header: job_records.Header,
        claim: claims.Claim,
        stored: job_store.VersionedChunk | None,
        items: list[job_records.Item],
        *,
        claimed_at_s: float,
        max_attempts: int,
        changed: Callable[[], None],
    ) -> None:
        self.header = header
        self.claim = claim
        self.lost = False
        self._store = store
        self._items = items
        self._max_attempts = max_attempts
        self._changed = changed
        self._lease_renewed_at_s = claimed_at_s
        self._version = stored.version if stored else 0
        previous = stored.chunk if stored else job_records.Chunk(claim.epoch, claim.holder)
        self._spills = previous.spills
        self._ended = previous.ended()
        self._outcomes = {outcome.index: outcome for outcome in previous.outcomes}
        self._started = set(previous.started)
        self._dirty = False
        self._stopping = False
        self._wake = trio.Event()
        self._ready: collections.deque[int] = collections.deque()
        self._unmarked: collections.deque[int] = collections.deque()
        self._running = 0
        self._progress = [self._initial_progress(index) for index in range(len(items))]
        for index, attempts in previous.attempts:
            self._progress[index].attempts = attempts

    def _initial_progress(self, index: int) -> _Progress:
        if index in self._ended:
            return _Progress(batch.ItemState.ENDED)
        if self._items[index].idempotent:
            self._ready.append(index)
            return _Progress(batch.ItemState.READY)
        if index in self._started:
            self._record_outcome(index, job_records.OutcomeKind.UNKNOWN, _LOST_REPORT, attempts=1)
            return _Progress(batch.ItemState.ENDED)
        self._unmarked.append(index)
        return _Progress(batch.ItemState.NEEDS_MARK)

    @property
    def ready(self) -> int:
        """Number of items that may be handed out now."""
        return 0 if self._stopping else len(self._ready)

    @property
    def unfinished(self) -> int:
        """Number of items that have not ended."""
        return len(self._items) - len(self._ended)

    def lease_valid(self) -> bool:
        """Whether the lease still holds by this worker's own clock."""
        lease_s = self.claim.lease_s * _STOP_AT_LEASE_SHARE
        return not self.lost and trio.current_time() < self._lease_renewed_at_s + lease_s

    def take(self) -> Work | None:
        """Hand out an item, ``None`` if none is ready or the lease is over."""
        if self._stopping or not self._ready or not self.lease_valid():
            return None
        index = self._ready.popleft()
        progress = self._progress[index]
        progress.state = batch.ItemState.RUNNING
        self._running += 1
        return Work(self, index, self._items[index], progress.resume, progress.suspect)

    def put_back(self, work: Work) -> None:
        """Take back an item that was not run after all."""
        self._running -= 1
        self._push_ready(work.index)

    def abandon(self, work: Work) -> None:
        """Take back an item whose call was cut off by the worker's own end.

        An at-most-once item ends as unknown.
        """
        self.report(work, Report(batch.Event.YIELDED, "", body=b"the worker stopped"))

    def report(self, work: Work, report: Report) -> batch.Action:
        """Take in how a run of an item went."""
        self._running -= 1
        progress = self._progress[work.index]
        if progress.state is not batch.ItemState.RUNNING:
            return batch.Action.KEEP_RESULT
        event = self._classify_event(progress, report)
        action = batch.next_action(
            event,
            idempotent=work.item.idempotent,
            attempts=progress.attempts,
            max_attempts=self._max_attempts,
        )
        kinds = {
            batch.Action.KEEP_RESULT: job_records.OutcomeKind.OK,
            batch.Action.FINAL_ERROR: job_records.OutcomeKind.ERROR,
            batch.Action.UNKNOWN: job_records.OutcomeKind.UNKNOWN,
        }
        if action in kinds:
            self._record_outcome(work.index, kinds[action], report, progress.attempts)
            progress.state = batch.ItemState.ENDED
        else:
            progress.resume = report.resume
            self._push_ready(work.index)
        self._wake_run()
        return action

    def _classify_event(self, progress: _Progress, report: Report) -> batch.Event:
        """Count the attempt, and tell a crash of its own from that of a neighbour."""
        counted = batch.counts(report.event)
        progress.attempts += counted
        if report.event is not batch.Event.BROKEN:
            return report.event
        progress.suspect = True
        progress.crashes_alone += report.alone
        return batch.blame(progress.crashes_alone, progress.attempts, self._max_attempts)

    def _push_ready(self, index: int) -> None:
        progress = self._progress[index]
        progress.state = batch.ItemState.READY
        self._ready.appendleft(index)
        self._changed()

    def _record_outcome(
        self, index: int, kind: job_records.OutcomeKind, report: Report, attempts: int
    ) -> None:
        self._ended.add(index)
        self._dirty = True
        self._outcomes[index] = job_records.Outcome(
            index, kind, report.status, report.body, report.upstream, attempts
        )

    def stop(self) -> None:
        """Hand out no more items and let :meth:`run` commit and return."""
        self._stopping = True
        self._wake_run()

    def mark_lost(self) -> None:
        """Give the chunk up without another write."""
        self.lost = True
        self.stop()

    def _wake_run(self) -> None:
        self._wake.set()

    async def run(self, renew: Renew) -> None:
        """Mark, commit and renew until every item has ended, or :meth:`stop` or a loss.

        :param renew: renews the claim in the ledger and says whether it still stands.
        """
        while not self.lost and self.unfinished and not (self._stopping and not self._running):
            if self._unmarked and not self._stopping and len(self._ready) < MARK_GROUP_ITEMS:
                await self._commit_starts()
                continue
            with trio.move_on_at(
                self._lease_renewed_at_s + self.claim.lease_s * _RENEW_AT_LEASE_SHARE
            ) as scope:
                await self._wake.wait()
            self._wake = trio.Event()
            if scope.cancelled_caught and self._renewal_due():
                await self._renew(renew)
        await self._commit(final=not self.unfinished)

    def _renewal_due(self) -> bool:
        return (
            trio.current_time()
            >= self._lease_renewed_at_s + self.claim.lease_s * _RENEW_AT_LEASE_SHARE
        )

    def note_renewal(self, requested_at_s: float) -> None:
        """Note that the claim was renewed by a write that began at ``requested_at_s``."""
        self._lease_renewed_at_s = max(self._lease_renewed_at_s, requested_at_s)

    async def _renew(self, renew: Renew) -> None:
        await self._commit()
        if not self.lost and not await renew(self):
            self.mark_lost()

    async def _commit_starts(self) -> None:
        """Record the start of a group of non-idempotent items, then make them ready."""
        count = min(MARK_GROUP_ITEMS, len(self._unmarked))
        group = [self._unmarked.popleft() for _ in range(count)]
        self._started.update(group)
        self._dirty = True
        await self._commit()
        if self.lost:
            return
        for index in group:
            self._progress[index].state = batch.ItemState.READY
            self._ready.append(index)
        self._changed()

    async def _commit(self, *, final: bool = False) -> None:
        """Write progress; a conflict loses the chunk, an outage is waited out."""
        if self.lost or not (self._dirty or final):
            return
        self._dirty = False
        chunk = job_records.Chunk(
            epoch=self.claim.epoch,
            holder=self.claim.holder,
            started=tuple(sorted(self._started)),
            attempts=tuple((i, p.attempts) for i, p in enumerate(self._progress) if p.attempts),
            outcomes=tuple(self._outcomes[index] for index in sorted(self._outcomes)),
            spills=self._spills,
            final=final,
        )
        try:
            stored = await self._store.commit(
                self.header, self.claim.chunk, chunk, self._version, _settled.FOREVER_S
            )
        except job_store.LostChunkError:
            self.mark_lost()
            return
        self._version = stored.version
        if stored.chunk.spills != self._spills:
            self._spills = stored.chunk.spills
            for outcome in chunk.outcomes:
                del self._outcomes[outcome.index]

    def tally(self) -> claims.Tally:
        """Count the ended items by outcome."""
        total = job_records.count_outcomes(self._outcomes.values())
        for spill in self._spills:
            total = total.plus(spill.tally)
        return total


async def load(
    store: job_store.JobStore,
    header: job_records.Header,
    claim: claims.Claim,
    *,
    taken_over: bool,
    claimed_at_s: float,
    max_attempts: int,
    changed: Callable[[], None],
) -> ChunkRun:
    """Read a claimed chunk's items, fencing an earlier holder first.

    :raises LostChunkError: a later holder has it.
    :raises UnavailableError: the platform is out.
    """
    stored = await store.fence(header, claim) if taken_over else None
    items = await store.items(header, claim.chunk)
    return ChunkRun(
        store,
        header,
        claim,
        stored,
        items,
        claimed_at_s=claimed_at_s,
        max_attempts=max_attempts,
        changed=changed,
    )
