"""Group commit of record changes: one task a bucket, one conditional write a group.

Changes that arrive while a bucket's write is in flight wait and go together into the next one.
Writes repeat no effect: a change carries its attempt's nonce, so a group whose write had an
unknown outcome is applied again to what is then read back.
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
MAX_GROUP = 64
SPLIT_BYTES = 200_000
MIN_RETRY_S = 0.01
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 1.0
FIRST_PAUSE_S = 0.005
MAX_PAUSE_S = 0.16
PAUSE_DECAY = 0.8
DOWN_AFTER_FAILURES = 2
DOWN_S = 1.0
PARALLEL_COMMITS = 32
TIDY_PAGE = 4


@dataclasses.dataclass(eq=False, slots=True)
class Op:
    """A change on its way to the platform.

    :param durable: kept and tried again while the platform is away; others fail at once.
    :param eager: its verdict may be used before the write is through.
    :param sent: a write that held it was begun.
    :param ambiguous: a write that held it had an unknown outcome.
    :param dropped: its caller has given it up; it goes into no further write.
    :param prepare: writes what must stand before the change does; may be called again.
    :param on_done: called once the verdict is there.
    """

    change: idempotency.Change
    durable: bool = False
    eager: bool = False
    sent: bool = False
    ambiguous: bool = False
    dropped: bool = False
    prepare: Callable[[], Awaitable[None]] | None = None
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    on_done: Callable[[], None] | None = None
    verdict: idempotency.Verdict | None = None

    def resolve(self, verdict: idempotency.Verdict) -> None:
        """Hand the verdict to the waiter; the first one counts."""
        if not self.done.is_set():
            self.verdict = verdict
            self._finish()

    def fail(self) -> None:
        """Tell the waiter that the platform did not take the change."""
        if not self.done.is_set():
            self._finish()

    def _finish(self) -> None:
        self.done.set()
        if self.on_done is not None:
            self.on_done()


class Health:
    """Whether the platform answered lately."""

    def __init__(self) -> None:
        self._failures = 0
        self._until = 0.0

    def succeeded(self) -> None:
        """Note an answer."""
        self._failures = 0

    def failed(self) -> None:
        """Note a call without an answer."""
        self._failures += 1
        self._until = trio.current_time() + DOWN_S

    def down_for_s(self) -> float:
        """Give the seconds for which a caller need not try, 0 if it should."""
        if self._failures < DOWN_AFTER_FAILURES:
            return 0.0
        return max(0.0, self._until - trio.current_time())


class Committer:
    """Carries changes to their buckets.

    :param store: the platform.
    :param sight: gives what the rules look at, for a bucket just read.
    """

    def __init__(
        self,
        store: platform.Platform,
        sight: Callable[[idempotency.Bucket], idempotency.Sight],
    ) -> None:
        self.health = Health()
        self._store = store
        self._sight = sight
        self._queues: dict[str, collections.deque[Op]] = {}
        self._split: set[str] = set()
        self._pauses_s: dict[str, float] = {}
        self._rng = random.Random()
        self._nursery: trio.Nursery | None = None
        self._limit = trio.CapacityLimiter(PARALLEL_COMMITS)
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
                nursery.start_soon(self._drain, name)
            started()
            await trio.sleep_forever()

    def submit(self, op: Op) -> None:
        """Queue a change without waiting."""
        self._enqueue(self.locate(op.change.record_id), (op,))

    def locate(self, rid: str) -> str:
        """Name the deepest bucket known for a record."""
        bits = idempotency.ROOT_BITS
        while (name := idempotency.bucket_name(rid, bits)) in self._split:
            bits += 1
        return name

    async def read(self, rid: str) -> idempotency.Record | None:
        """Read a record.

        :raises UnavailableError: if the platform does not answer.
        """
        name = self.locate(rid)
        _, bucket = await self._load(name)
        while bucket.phase is not idempotency.Phase.OPEN:
            name = idempotency.bucket_name(rid, len(name) + 1)
            stored, child = await self._load(name)
            if stored is None:
                break
            bucket = child
        return bucket.records.get(rid)

    async def tidy(self, after: str) -> str:
        """Drop expired records from the next few buckets behind ``after``.

        :returns: the name to go on from, empty at the end.
        :raises UnavailableError: if the platform does not answer.
        """
        page = await self._store.list(KIND, after=after, limit=TIDY_PAGE)
        for stored in page:
            bucket = _decode(stored)
            applied = idempotency.apply(bucket, (), self._sight(bucket))
            shrunk = len(applied.bucket.records) < len(bucket.records)
            if shrunk and bucket.phase is idempotency.Phase.OPEN:
                with contextlib.suppress(platform.ConflictError):
                    await self._write(stored.name, stored, applied.bucket)
        return page[-1].name if len(page) == TIDY_PAGE else ""

    def _enqueue(self, name: str, ops: Iterable[Op]) -> None:
        queue = self._queues.get(name)
        if queue is not None:
            queue.extend(ops)
            return
        self._queues[name] = collections.deque(ops)
        if self._nursery is not None:
            self._nursery.start_soon(self._drain, name)

    async def _drain(self, name: str) -> None:
        """Commit group after group until the queue is empty."""
        retry_s = FIRST_RETRY_S
        queue = self._queues[name]
        while group := _take(queue):
            try:
                async with self._limit:
                    await _prepare(group)
                    conflicts = await self._commit(name, group)
                retry_s = FIRST_RETRY_S
                await self._pace(name, conflicts)
                self.health.succeeded()
            except platform.UnavailableError as exc:
                self._put_back(name, group, exc)
                await trio.sleep(max(exc.retry_after_s or retry_s, MIN_RETRY_S))
                retry_s = min(retry_s * 2, MAX_RETRY_S)
        del self._queues[name]

    async def _pace(self, name: str, conflicts: int) -> None:
        """Pause between groups while VMs get in each other's way, so that groups grow instead."""
        pause_s = self._pauses_s.get(name, 0.0)
        if conflicts:
            pause_s = min(max(pause_s, FIRST_PAUSE_S) * 2, MAX_PAUSE_S)
        else:
            pause_s *= PAUSE_DECAY
        if pause_s < FIRST_PAUSE_S:
            self._pauses_s.pop(name, None)
            return
        self._pauses_s[name] = pause_s
        await trio.sleep(pause_s * (0.5 + self._rng.random()))

    def _put_back(self, name: str, group: Iterable[Op], exc: platform.UnavailableError) -> None:
        """Queue a failed group again, but for changes whose callers need not wait for that."""
        queue = self._queues[name]
        queue.extendleft(reversed(list(group)))
        self._log.warning(
            "commit_failed", bucket=name, error=exc.format_message(), queued=len(queue)
        )
        if exc.retry_after_s is not None:
            return
        self.health.failed()
        if not exc.outcome_unknown:
            kept = _fail_unsent(queue)
            queue.clear()
            queue.extend(kept)

    async def _commit(self, name: str, group: Sequence[Op]) -> int:
        """Put a group into its bucket; give the number of times that another VM was first."""
        stored, bucket = await self._load(name)
        for conflicts in range(2**31):
            if bucket.phase is not idempotency.Phase.OPEN:
                await self._finish_split(name, stored, bucket)
                self._hand_down(name, group)
                return conflicts
            live = [op for op in group if not op.dropped]
            changes = [op.change for op in live]
            applied = idempotency.apply(bucket, changes, self._sight(bucket))
            answers = list(zip(live, applied.verdicts, strict=True))
            _resolve(pair for pair in answers if pair[0].eager)
            if applied.changed:
                newer = await self._try_write(name, stored, applied.bucket, live)
                if newer is not None:
                    stored, bucket = newer
                    continue
            self._changes.add({}, len(live))
            _resolve(answers)
            return conflicts
        raise AssertionError

    async def _try_write(
        self,
        name: str,
        stored: platform.Stored | None,
        bucket: idempotency.Bucket,
        group: Sequence[Op],
    ) -> tuple[platform.Stored | None, idempotency.Bucket] | None:
        """Write a bucket, sealed if it has grown; give what is there if another VM was first."""
        for op in group:
            op.sent = True
        if len(idempotency.encode(bucket)) > SPLIT_BYTES:
            bucket = idempotency.Bucket(idempotency.Phase.SPLITTING, bucket.records)
        try:
            await self._write(name, stored, bucket)
        except platform.ConflictError as exc:
            _note_unwritten(group, exc.outcome_unknown)
            if exc.current is None:
                return await self._load(name)
            return exc.current, _decode(exc.current)
        except platform.UnavailableError as exc:
            _note_unwritten(group, exc.outcome_unknown)
            raise
        return None

    async def _load(self, name: str) -> tuple[platform.Stored | None, idempotency.Bucket]:
        stored = await self._store.get(KIND, name)
        if stored is None:
            return None, idempotency.Bucket()
        return stored, _decode(stored)

    async def _write(
        self, name: str, stored: platform.Stored | None, bucket: idempotency.Bucket
    ) -> None:
        self._writes.inc({})
        raw = idempotency.encode(bucket)
        if stored is None:
            await self._store.create(KIND, name, raw)
        else:
            await self._store.update(KIND, name, raw, stored.version)

    async def _finish_split(
        self, name: str, stored: platform.Stored | None, bucket: idempotency.Bucket
    ) -> None:
        """Make the children of a sealed bucket, then empty it; any VM may take over at any step."""
        if bucket.phase is idempotency.Phase.SPLITTING:
            for child, half in idempotency.halves(name, bucket).items():
                with contextlib.suppress(platform.ConflictError):
                    await self._write(child, None, half)
            with contextlib.suppress(platform.ConflictError):
                await self._write(name, stored, idempotency.Bucket(idempotency.Phase.SPLIT))
            self._log.info("bucket_split", bucket=name)
        self._split.add(name)

    def _hand_down(self, name: str, group: Iterable[Op]) -> None:
        for op in group:
            rid = op.change.record_id
            self._enqueue(idempotency.bucket_name(rid, len(name) + 1), (op,))


def _decode(stored: platform.Stored) -> idempotency.Bucket:
    try:
        return idempotency.decode(stored.value)
    except msgspec.DecodeError as exc:
        message = f"bucket {stored.name} is not readable: {exc}"
        raise platform.UnavailableError(message, step="read records") from exc


def _take(queue: collections.deque[Op]) -> list[Op]:
    """Take the next group, leaving out changes that their callers gave up."""
    group: list[Op] = []
    while queue and len(group) < MAX_GROUP:
        op = queue.popleft()
        if not op.dropped:
            group.append(op)
    return group


def _resolve(pairs: Iterable[tuple[Op, idempotency.Verdict]]) -> None:
    for op, verdict in pairs:
        op.resolve(verdict)


async def _prepare(group: Iterable[Op]) -> None:
    for op in group:
        if op.prepare is not None:
            await op.prepare()


def _note_unwritten(group: Iterable[Op], outcome_unknown: bool) -> None:
    """Note a write that failed, or that may have failed, for the changes in it."""
    for op in group:
        op.ambiguous = op.ambiguous or outcome_unknown
        op.sent = op.ambiguous


def _fail_unsent(queue: Iterable[Op]) -> list[Op]:
    """Fail changes that are surely not written; give those that must be tried again."""
    kept = []
    for op in queue:
        if op.durable or (op.ambiguous and not op.done.is_set()):
            kept.append(op)
        else:
            op.fail()
    return kept
