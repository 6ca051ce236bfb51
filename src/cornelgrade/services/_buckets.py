"""Group commit of record changes: one task for each bucket, one conditional write for each group.

Changes that arrive while a bucket's write is in flight are committed together in the next write.
Retries are safe: each change carries the nonce of its attempt, so a group whose write had an
unknown outcome is applied again to the bucket as read back, and has no second effect.
"""

import collections
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence

import msgspec
import trio

from cornelgrade import logs, metrics
from cornelgrade.adapters import platform
from cornelgrade.policy import idempotency

KIND = "request"
MAX_GROUP_CHANGES = 64
SPLIT_BYTES = 200_000
MIN_RETRY_S = 0.01
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 1.0
MIN_PAUSE_S = 0.005
MAX_PAUSE_S = 0.16
PAUSE_DECAY = 0.8
DOWN_AFTER_FAILURES = 2
DOWN_S = 1.0
MAX_PARALLEL_COMMITS = 32
CLEANUP_PAGE_SIZE = 4


@dataclasses.dataclass(eq=False, slots=True)
class PendingChange:
    """A change that is to be committed to the platform.

    :param durable: it is retried while the platform is unavailable; other changes fail at once.
    :param eager: its result may be used before the write succeeds.
    :param sent: a write that includes it was started.
    :param ambiguous: a write that includes it had an unknown outcome.
    :param cancelled: its caller no longer wants it; no further write includes it.
    :param prepare: writes the objects that must exist before the change is committed; a retry
        calls it again.
    :param on_done: called after the change has its result or has failed.
    """

    change: idempotency.Change
    durable: bool = False
    eager: bool = False
    sent: bool = False
    ambiguous: bool = False
    cancelled: bool = False
    prepare: Callable[[], Awaitable[None]] | None = None
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    on_done: Callable[[], None] | None = None
    result: idempotency.Verdict | None = None

    def resolve(self, result: idempotency.Verdict) -> None:
        """Set the result and wake the waiter; later results are ignored."""
        if not self.done.is_set():
            self.result = result
            self._finish()

    def fail(self) -> None:
        """Wake the waiter without a result: the change was not written."""
        if not self.done.is_set():
            self._finish()

    def _finish(self) -> None:
        self.done.set()
        if self.on_done is not None:
            self.on_done()


class Health:
    """Whether the platform has responded recently."""

    def __init__(self) -> None:
        self._failures = 0
        self._down_until_s = 0.0

    def succeeded(self) -> None:
        """Record a call with a response."""
        self._failures = 0

    def failed(self) -> None:
        """Record a call without a response."""
        self._failures += 1
        self._down_until_s = trio.current_time() + DOWN_S

    def down_for_s(self) -> float:
        """Return the seconds for which callers should skip the platform, 0 if they should call."""
        if self._failures < DOWN_AFTER_FAILURES:
            return 0.0
        return max(0.0, self._down_until_s - trio.current_time())


class Committer:
    """Commits changes to the buckets of their records.

    :param store: the platform.
    :param change_context: returns the context of the rules for a bucket that was just read.
    """

    def __init__(
        self,
        store: platform.Platform,
        change_context: Callable[[idempotency.Bucket], idempotency.ChangeContext],
    ) -> None:
        self.health = Health()
        self._store = store
        self._change_context = change_context
        self._queues: dict[str, collections.deque[PendingChange]] = {}
        self._split_buckets: set[str] = set()
        self._pauses_s: dict[str, float] = {}
        self._rng = random.Random()
        self._nursery: trio.Nursery | None = None
        self._commit_limiter = trio.CapacityLimiter(MAX_PARALLEL_COMMITS)
        self._log = logs.Logger("records")
        self._writes = metrics.counter(
            "cornelgrade_record_writes_total", "Writes of record buckets."
        )
        self._changes = metrics.counter(
            "cornelgrade_record_changes_total", "Changes that were committed."
        )

    async def run(self, started: Callable[[], None]) -> None:
        """Commit until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name in self._queues:
                nursery.start_soon(self._commit_queue, name)
            started()
            await trio.sleep_forever()

    def submit(self, pending: PendingChange) -> None:
        """Queue a change without waiting."""
        self._enqueue(self.locate(pending.change.record_id), (pending,))

    def locate(self, record_id: str) -> str:
        """Return the name of the deepest known bucket for a record."""
        bits = idempotency.ROOT_BITS
        while (name := idempotency.bucket_name(record_id, bits)) in self._split_buckets:
            bits += 1
        return name

    async def read(self, record_id: str) -> idempotency.Record | None:
        """Read a record.

        :raises UnavailableError: if the platform does not respond.
        """
        name = self.locate(record_id)
        _, bucket = await self._load(name)
        while bucket.phase is not idempotency.Phase.OPEN:
            name = idempotency.bucket_name(record_id, len(name) + 1)
            stored, child = await self._load(name)
            if stored is None:
                break
            bucket = child
        return bucket.records.get(record_id)

    async def delete_expired(self, after: str) -> str:
        """Drop expired records from the next few buckets after the name ``after``.

        :returns: the name to continue after, empty at the end of the list.
        :raises UnavailableError: if the platform does not respond.
        """
        page = await self._store.list(KIND, after=after, limit=CLEANUP_PAGE_SIZE)
        for stored in page:
            bucket = _decode(stored)
            applied = idempotency.apply(bucket, (), self._change_context(bucket))
            has_expired = len(applied.bucket.records) < len(bucket.records)
            if has_expired and bucket.phase is idempotency.Phase.OPEN:
                with contextlib.suppress(platform.ConflictError):
                    await self._write(stored.name, stored, applied.bucket)
        return page[-1].name if len(page) == CLEANUP_PAGE_SIZE else ""

    def _enqueue(self, name: str, pending_changes: Iterable[PendingChange]) -> None:
        queue = self._queues.get(name)
        if queue is not None:
            queue.extend(pending_changes)
            return
        self._queues[name] = collections.deque(pending_changes)
        if self._nursery is not None:
            self._nursery.start_soon(self._commit_queue, name)

    async def _commit_queue(self, name: str) -> None:
        """Commit groups of changes until the queue is empty."""
        retry_s = FIRST_RETRY_S
        queue = self._queues[name]
        while group := _next_group(queue):
            try:
                async with self._commit_limiter:
                    await _prepare_all(group)
                    conflicts = await self._commit(name, group)
                retry_s = FIRST_RETRY_S
                await self._pause_after_conflicts(name, conflicts)
                self.health.succeeded()
            except platform.UnavailableError as exc:
                self._requeue(name, group, exc)
                await trio.sleep(max(exc.retry_after_s or retry_s, MIN_RETRY_S))
                retry_s = min(retry_s * 2, MAX_RETRY_S)
        del self._queues[name]

    async def _pause_after_conflicts(self, name: str, conflicts: int) -> None:
        """Pause after write conflicts, so that groups grow and VMs write the bucket less often."""
        pause_s = self._pauses_s.get(name, 0.0)
        if conflicts:
            pause_s = min(max(pause_s, MIN_PAUSE_S) * 2, MAX_PAUSE_S)
        else:
            pause_s *= PAUSE_DECAY
        if pause_s < MIN_PAUSE_S:
            self._pauses_s.pop(name, None)
            return
        self._pauses_s[name] = pause_s
        await trio.sleep(pause_s * (0.5 + self._rng.random()))

    def _requeue(
        self, name: str, group: Iterable[PendingChange], exc: platform.UnavailableError
    ) -> None:
        """Queue a failed group again; fail the changes that need not be retried."""
        queue = self._queues[name]
        queue.extendleft(reversed(list(group)))
        self._log.warning(
            "commit_failed", bucket=name, error=exc.format_message(), queued=len(queue)
        )
        if exc.retry_after_s is not None:
            return
        self.health.failed()
        if not exc.outcome_unknown:
            to_retry = _fail_unsent(queue)
            queue.clear()
            queue.extend(to_retry)

    async def _commit(self, name: str, group: Sequence[PendingChange]) -> int:
        """Commit a group to its bucket and return the number of write conflicts with other VMs."""
        stored, bucket = await self._load(name)
        for conflicts in range(2**31):
            if bucket.phase is not idempotency.Phase.OPEN:
                await self._finish_split(name, stored, bucket)
                self._move_to_children(name, group)
                return conflicts
            active = [pending for pending in group if not pending.cancelled]
            changes = [pending.change for pending in active]
            applied = idempotency.apply(bucket, changes, self._change_context(bucket))
            results = list(zip(active, applied.verdicts, strict=True))
            _resolve_all(pair for pair in results if pair[0].eager)
            if applied.changed:
                current = await self._try_write(name, stored, applied.bucket, active)
                if current is not None:
                    stored, bucket = current
                    continue
            self._changes.add({}, len(active))
            _resolve_all(results)
            return conflicts
        raise AssertionError

    async def _try_write(
        self,
        name: str,
        stored: platform.StoredObject | None,
        bucket: idempotency.Bucket,
        group: Sequence[PendingChange],
    ) -> tuple[platform.StoredObject | None, idempotency.Bucket] | None:
        """Write a bucket, marked for a split if it is too large.

        Return the stored bucket if another VM has written it since the read.
        """
        for pending in group:
            pending.sent = True
        if len(idempotency.encode(bucket)) > SPLIT_BYTES:
            bucket = idempotency.Bucket(idempotency.Phase.SPLITTING, bucket.records)
        try:
            await self._write(name, stored, bucket)
        except platform.ConflictError as exc:
            _mark_unwritten(group, exc.outcome_unknown)
            if exc.current is None:
                return await self._load(name)
            return exc.current, _decode(exc.current)
        except platform.UnavailableError as exc:
            _mark_unwritten(group, exc.outcome_unknown)
            raise
        return None

    async def _load(self, name: str) -> tuple[platform.StoredObject | None, idempotency.Bucket]:
        stored = await self._store.get(KIND, name)
        if stored is None:
            return None, idempotency.Bucket()
        return stored, _decode(stored)

    async def _write(
        self, name: str, stored: platform.StoredObject | None, bucket: idempotency.Bucket
    ) -> None:
        self._writes.inc({})
        raw = idempotency.encode(bucket)
        if stored is None:
            await self._store.create(KIND, name, raw)
        else:
            await self._store.update(KIND, name, raw, stored.version)

    async def _finish_split(
        self, name: str, stored: platform.StoredObject | None, bucket: idempotency.Bucket
    ) -> None:
        """Create the children of a bucket marked for a split, then empty it.

        Any VM may repeat or continue this at any step.
        """
        if bucket.phase is idempotency.Phase.SPLITTING:
            for child, half in idempotency.split_bucket(name, bucket).items():
                with contextlib.suppress(platform.ConflictError):
                    await self._write(child, None, half)
            with contextlib.suppress(platform.ConflictError):
                await self._write(name, stored, idempotency.Bucket(idempotency.Phase.SPLIT))
            self._log.info("bucket_split", bucket=name)
        self._split_buckets.add(name)

    def _move_to_children(self, name: str, group: Iterable[PendingChange]) -> None:
        for pending in group:
            record_id = pending.change.record_id
            self._enqueue(idempotency.bucket_name(record_id, len(name) + 1), (pending,))


def _decode(stored: platform.StoredObject) -> idempotency.Bucket:
    try:
        return idempotency.decode(stored.value)
    except msgspec.DecodeError as exc:
        message = f"bucket {stored.name} is not readable: {exc}"
        raise platform.UnavailableError(message, step="read records") from exc


def _next_group(queue: collections.deque[PendingChange]) -> list[PendingChange]:
    """Remove the next group from the queue, without cancelled changes."""
    group: list[PendingChange] = []
    while queue and len(group) < MAX_GROUP_CHANGES:
        pending = queue.popleft()
        if not pending.cancelled:
            group.append(pending)
    return group


def _resolve_all(pairs: Iterable[tuple[PendingChange, idempotency.Verdict]]) -> None:
    for pending, result in pairs:
        pending.resolve(result)


async def _prepare_all(group: Iterable[PendingChange]) -> None:
    for pending in group:
        if pending.prepare is not None:
            await pending.prepare()


def _mark_unwritten(group: Iterable[PendingChange], outcome_unknown: bool) -> None:
    """Mark the changes of a write that failed or has an unknown outcome."""
    for pending in group:
        pending.ambiguous = pending.ambiguous or outcome_unknown
        pending.sent = pending.ambiguous


def _fail_unsent(queue: Iterable[PendingChange]) -> list[PendingChange]:
    """Fail changes that are known not to be written; return those that must be retried."""
    to_retry = []
    for pending in queue:
        if pending.durable or (pending.ambiguous and not pending.done.is_set()):
            to_retry.append(pending)
        else:
            pending.fail()
    return to_retry
