"""Durable outcomes of keyed requests: at most one dispatch, one answer that stands.

The rules are in :mod:`cornelgrade.policy.idempotency`, the writing in
:mod:`cornelgrade.services._buckets`; here attempts wait, time out and join each other.
"""

import dataclasses
import secrets
import time
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import errors, kernel, logs, settings
from cornelgrade.adapters import platform
from cornelgrade.policy import idempotency
from cornelgrade.services import _answers, _backlog, _buckets, _refusals, ports

NAME = "records"
EAGER_CLAIM_WAIT_S = 0.5
FIRST_JOIN_POLL_S = 0.05
MAX_JOIN_POLL_S = 1.0
DEFAULT_RETENTION_S = 86_400.0
TIDY_EVERY_S = 60.0

Dead = Callable[[str], bool]


@dataclasses.dataclass(eq=False, slots=True)
class _Local:
    """A run of this process whose outcome is not yet durable.

    :param began_s: start on the process's monotonic clock.
    :param answer: set once the run has ended; it waits for the platform.
    :param unknown: the run was given up without knowing its outcome.
    """

    run: ports.ClaimedRun
    began_s: float
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    answer: ports.StoredAnswer | None = None
    unknown: bool = False

    def notify(self) -> None:
        """Wake those who joined the run."""
        self.changed.set()
        self.changed = trio.Event()


class Records:
    """The service ``records``.

    :param store: the platform's object API.
    :param vm: this VM's name.
    :param deadline_s: longest wait for the platform by a caller who needs it.
    :param retention_s: gives how long a record is kept after its last change.
    :param max_run_s: age from which a running record without an answer counts as lost.
    :param dead: tells whether a VM is known to be gone; a hint on which no safety rests.
    :param clock: gives Unix time in seconds.
    :param kern: where ``drain`` is found, which is held while answers wait for the platform.
    """

    name = NAME

    def __init__(
        self,
        store: platform.Platform,
        vm: str,
        *,
        deadline_s: float = 2.0,
        retention_s: Callable[[], float] = lambda: DEFAULT_RETENTION_S,
        max_run_s: float = 120.0,
        dead: Dead = lambda vm: False,
        clock: Callable[[], float] = time.time,
        kern: kernel.Kernel | None = None,
    ) -> None:
        self._vm = vm
        self._process = secrets.token_hex(4)
        self._deadline_s = deadline_s
        self._retention_s = retention_s
        self._max_run_s = max_run_s
        self._dead = dead
        self._clock = clock
        self._log = logs.Logger(NAME)
        self._answers = _answers.Answers(store)
        self._committer = _buckets.Committer(store, self._sight)
        self._locals: dict[str, _Local] = {}
        self._backlog = _backlog.Backlog(kern)

    async def run(self, started: Callable[[], None]) -> None:
        """Commit records and remove old ones until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tidy)
            nursery.start_soon(self._backlog.run)
            await self._committer.run(started)

    async def begin(self, claim: ports.Claim) -> ports.ClaimedRun | ports.StoredAnswer:
        """Claim a request, or give the answer that it has; see :class:`ports.Records`."""
        rid = idempotency.record_id(claim.team, claim.key)
        until = trio.current_time() + claim.wait_s
        poll_s = FIRST_JOIN_POLL_S
        while True:
            local = self._locals.get(rid)
            if local is not None:
                known = _known_locally(local, claim)
                if known is not None:
                    return known
                changed = local.changed
            else:
                got = await self._claim(rid, claim)
                if got is not None:
                    return got
                changed = trio.Event()
            if trio.current_time() >= until:
                raise _refusals.still_running(claim)
            with trio.move_on_after(min(poll_s, until - trio.current_time())):
                await changed.wait()
            poll_s = min(poll_s * 2, MAX_JOIN_POLL_S)

    async def finish(self, run: ports.ClaimedRun, answer: ports.StoredAnswer) -> bool:
        """Store the answer; false if it waits for the platform or another one was first."""
        stands = await self.store(run, answer)
        return stands.recorded and stands.body == answer.body

    async def store(self, run: ports.ClaimedRun, answer: ports.StoredAnswer) -> ports.StoredAnswer:
        """Store the answer and give the one that stands; see :class:`ports.Records`."""
        rid = idempotency.record_id(run.claim.team, run.claim.key)
        waiting = dataclasses.replace(answer, recorded=False)
        if not self._backlog.has_room(len(answer.body)):
            self._forget(rid, run)
            self._log.error("answer_not_kept", request=run.claim.request_id)
            return waiting
        local = self._own(rid, run)
        if local is not None:
            local.answer = waiting
            local.notify()
        op = self._queue_answer(rid, run, answer)
        await self._wait_durable(op)
        if op.verdict is None or op.verdict.record is None:
            return waiting
        if op.verdict.outcome is idempotency.Outcome.STORED:
            return dataclasses.replace(answer, recorded=True)
        return await self._standing(op.verdict.record, answer)

    async def abandon(self, run: ports.ClaimedRun, ran: errors.Ran) -> None:
        """Give the claim up; the change is queued before this waits for anything."""
        rid = idempotency.record_id(run.claim.team, run.claim.key)
        released = ran is errors.Ran.NO or run.claim.idempotent
        kind = idempotency.ChangeKind.RELEASE if released else idempotency.ChangeKind.DOUBT
        record = msgspec.structs.replace(self._record(run), state=idempotency.State.UNKNOWN)
        op = _buckets.Op(
            idempotency.Change(kind, rid, record),
            durable=True,
            on_done=lambda: self._forget(rid, run),
        )
        self._committer.submit(op)
        local = self._own(rid, run)
        if local is not None:
            local.unknown = not released
            local.notify()
        if released:
            self._forget(rid, run)
        await self._wait_durable(op)

    async def lookup(self, team: str, key: str) -> ports.StoredAnswer | None:
        """Read a stored answer."""
        found = await self.inspect(team, key)
        return found if isinstance(found, ports.StoredAnswer) else None

    async def inspect(self, team: str, key: str) -> ports.StoredAnswer | ports.RequestState:
        """Read a stored answer or the request's state; see :class:`ports.Records`."""
        rid = idempotency.record_id(team, key)
        local = self._locals.get(rid)
        if local is not None and local.answer is not None:
            return local.answer
        try:
            record = await self._committer.read(rid)
            if record is not None and record.answer is not None:
                return await self._answers.read(record.answer)
        except platform.UnavailableError as exc:
            raise _refusals.unreadable(exc) from exc
        if local is not None:
            return ports.RequestState.UNKNOWN if local.unknown else ports.RequestState.RUNNING
        if record is None or record.expires_at_s <= self._clock():
            return ports.RequestState.NOT_FOUND
        sight = self._sight(idempotency.Bucket(records={rid: record}))
        return ports.RequestState(idempotency.state_of(record, sight).value)

    async def _claim(
        self, rid: str, claim: ports.Claim
    ) -> ports.ClaimedRun | ports.StoredAnswer | None:
        """Try once to claim; ``None`` if another attempt is running."""
        run = ports.ClaimedRun(claim, secrets.token_hex(16))
        if self._committer.health.down_for_s():
            return self._unrecorded(rid, run)
        change = idempotency.Change(idempotency.ChangeKind.CLAIM, rid, self._record(run))
        op = _buckets.Op(change, eager=claim.idempotent)
        self._committer.submit(op)
        got: ports.ClaimedRun | ports.StoredAnswer | None = None
        try:
            await _wait(op, EAGER_CLAIM_WAIT_S if claim.idempotent else self._deadline_s)
            if op.verdict is None:
                got = self._unrecorded(rid, run)
            else:
                got = await self._conclude(rid, run, op.verdict)
        finally:
            if got is not run:
                self._give_up(op)
        return got

    async def _conclude(
        self, rid: str, run: ports.ClaimedRun, verdict: idempotency.Verdict
    ) -> ports.ClaimedRun | ports.StoredAnswer | None:
        """Turn a claim's verdict into what its caller gets."""
        if verdict.outcome is idempotency.Outcome.RUN:
            return self._start(rid, run)
        if verdict.outcome is idempotency.Outcome.JOIN:
            return None
        if verdict.outcome is idempotency.Outcome.CONFLICT:
            raise _refusals.conflict(run.claim)
        if verdict.record is None or verdict.record.answer is None:
            raise _refusals.unknown(run.claim)
        try:
            return await self._answers.read(verdict.record.answer)
        except platform.UnavailableError as exc:
            raise _refusals.unreadable(exc) from exc

    def _unrecorded(self, rid: str, run: ports.ClaimedRun) -> ports.ClaimedRun | None:
        """Go on without the platform if the request may be repeated."""
        if run.claim.idempotent:
            return self._start(rid, run)
        raise _refusals.not_recorded()

    def _start(self, rid: str, run: ports.ClaimedRun) -> ports.ClaimedRun | None:
        """Enter a run of this process; ``None`` if one of the same key is already there."""
        if rid in self._locals:
            return None
        self._locals[rid] = _Local(run, trio.current_time())
        return run

    def _give_up(self, op: _buckets.Op) -> None:
        """Make sure that a claim whose caller does not run it will not stand."""
        op.dropped = True
        refused = op.verdict is not None and op.verdict.outcome is not idempotency.Outcome.RUN
        if op.sent and not refused:
            release = dataclasses.replace(op.change, kind=idempotency.ChangeKind.RELEASE)
            self._committer.submit(_buckets.Op(release, durable=True))

    def _queue_answer(
        self, rid: str, run: ports.ClaimedRun, answer: ports.StoredAnswer
    ) -> _buckets.Op:
        """Queue an answer, to be kept until the platform has it."""
        record = self._record(run)
        packed, prepare = self._answers.pack(answer, run.nonce, record.expires_at_s)
        record = msgspec.structs.replace(record, state=idempotency.State.DONE, answer=packed)
        change = idempotency.Change(idempotency.ChangeKind.ANSWER, rid, record)
        size = len(answer.body)
        self._backlog.add(size)

        def committed() -> None:
            self._backlog.remove(size)
            self._forget(rid, run)

        op = _buckets.Op(change, durable=True, prepare=prepare, on_done=committed)
        self._committer.submit(op)
        return op

    async def _wait_durable(self, op: _buckets.Op) -> None:
        """Wait for a change that is kept anyway, not at all while the platform is away."""
        down_s = self._committer.health.down_for_s()
        await _wait(op, 0.0 if down_s else self._deadline_s)

    async def _standing(
        self, record: idempotency.Record, answer: ports.StoredAnswer
    ) -> ports.StoredAnswer:
        """Give the answer that was first, or the caller's own where it cannot be had."""
        if record.answer is None:
            return dataclasses.replace(answer, recorded=False)
        try:
            return await self._answers.read(record.answer)
        except platform.UnavailableError:
            return dataclasses.replace(answer, recorded=False)

    def _record(self, run: ports.ClaimedRun) -> idempotency.Record:
        now_s = self._clock()
        return idempotency.Record(
            digest=run.claim.digest,
            nonce=run.nonce,
            holder=f"{self._vm}/{self._process}",
            idempotent=run.claim.idempotent,
            state=idempotency.State.RUNNING,
            started_at_s=now_s,
            expires_at_s=now_s + self._retention_s(),
        )

    def _own(self, rid: str, run: ports.ClaimedRun) -> _Local | None:
        local = self._locals.get(rid)
        return local if local is not None and local.run.nonce == run.nonce else None

    def _forget(self, rid: str, run: ports.ClaimedRun) -> None:
        local = self._own(rid, run)
        if local is not None:
            del self._locals[rid]
            local.notify()

    def _sight(self, bucket: idempotency.Bucket) -> idempotency.Sight:
        holders = {record.holder for record in bucket.records.values()}
        dead = frozenset(holder for holder in holders if self._gone(holder))
        return idempotency.Sight(self._clock(), dead, self._max_run_s)

    def _gone(self, holder: str) -> bool:
        """Tell whether a holder is another process of this VM or one on a dead VM."""
        vm, _, process = holder.rpartition("/")
        return process != self._process if vm == self._vm else self._dead(vm)

    async def _tidy(self) -> None:
        """Remove what is older than its retention, a little at a time."""
        after = ""
        while True:
            await trio.sleep(TIDY_EVERY_S)
            self._drop_lost_runs()
            try:
                await self._answers.tidy(self._clock())
                after = await self._committer.tidy(after)
            except platform.UnavailableError as exc:
                self._log.warning("tidy_failed", error=exc.format_message())

    def _drop_lost_runs(self) -> None:
        """Forget runs that nobody finished or gave up."""
        oldest_s = trio.current_time() - self._max_run_s
        for rid, local in list(self._locals.items()):
            if local.answer is None and not local.unknown and local.began_s < oldest_s:
                self._forget(rid, local.run)


def make(kern: kernel.Kernel, cfg: settings.Settings, store: platform.Platform) -> Records:
    """Make the service of one VM; it finds the manifest and the membership by name."""

    def retention_s() -> float:
        if not kern.has("configuration"):
            return DEFAULT_RETENTION_S
        accepted = kern.find("configuration", ports.Configuration).current()
        return accepted.manifest.online.retention_s if accepted else DEFAULT_RETENTION_S

    def dead(vm: str) -> bool:
        if not kern.has("membership"):
            return False
        members = kern.find("membership", ports.Membership).view().members
        return any(m.vm == vm and m.state is ports.MemberState.DEAD for m in members)

    return Records(
        store,
        cfg.vm,
        deadline_s=cfg.platform_deadline_s,
        retention_s=retention_s,
        dead=dead,
        kern=kern,
    )


def _known_locally(local: _Local, claim: ports.Claim) -> ports.StoredAnswer | None:
    """Give the answer of a run of this process, ``None`` while it runs."""
    if local.run.claim.digest != claim.digest:
        raise _refusals.conflict(claim)
    if local.unknown:
        raise _refusals.unknown(claim)
    return local.answer


async def _wait(op: _buckets.Op, longest_s: float) -> None:
    with trio.move_on_after(longest_s):
        await op.done.wait()
