"""Durable outcomes of keyed requests: at most one dispatch, and one response that is stored.

The rules are in :mod:`cornelgrade.policy.idempotency`, the writes in
:mod:`cornelgrade.services._buckets`. This module handles waits, timeouts, and attempts that join a
running one.
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
from cornelgrade.services import _backlog, _buckets, _refusals, _stored_responses, ports

NAME = "records"
EAGER_CLAIM_WAIT_S = 0.5
FIRST_JOIN_POLL_S = 0.05
MAX_JOIN_POLL_S = 1.0
DEFAULT_RETENTION_S = 86_400.0
CLEANUP_INTERVAL_S = 60.0

IsDead = Callable[[str], bool]


@dataclasses.dataclass(eq=False, slots=True)
class _LocalRun:
    """A run of this process whose outcome is not yet durable.

    :param started_s: start on the process's monotonic clock.
    :param response: set once the run has ended; it is not stored yet.
    :param unknown: the run was abandoned with an unknown outcome.
    """

    run: ports.ClaimedRun
    started_s: float
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    response: ports.StoredResponse | None = None
    unknown: bool = False

    def notify(self) -> None:
        """Wake the attempts that joined the run."""
        self.changed.set()
        self.changed = trio.Event()


class Records:
    """The service ``records``.

    :param store: the platform's object API.
    :param vm: this VM's name.
    :param deadline_s: longest time in seconds that a caller waits for a write to the platform.
    :param retention_s: returns for how many seconds a record is kept after its last change.
    :param max_run_s: age in seconds from which a running record without a response counts as lost.
    :param dead: returns whether a VM is known to be dead; safety does not depend on it.
    :param clock: returns the Unix time in seconds.
    :param kern: finds ``drain``, which waits while responses are not stored yet.
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
        dead: IsDead = lambda vm: False,
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
        self._responses = _stored_responses.ResponseStore(store)
        self._committer = _buckets.Committer(store, self._change_context)
        self._local_runs: dict[str, _LocalRun] = {}
        self._backlog = _backlog.Backlog(kern)

    async def run(self, started: Callable[[], None]) -> None:
        """Commit records and remove expired ones until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_cleanup)
            nursery.start_soon(self._backlog.run)
            await self._committer.run(started)

    async def begin(self, claim: ports.Claim) -> ports.ClaimedRun | ports.StoredResponse:
        """Claim a request, or return its stored response; see :class:`ports.Records`."""
        record_id = idempotency.record_id(claim.team, claim.key)
        join_until_s = trio.current_time() + claim.wait_s
        poll_s = FIRST_JOIN_POLL_S
        while True:
            local = self._local_runs.get(record_id)
            if local is not None:
                local_response = _response_of_local_run(local, claim)
                if local_response is not None:
                    return local_response
                changed = local.changed
            else:
                claimed = await self._claim(record_id, claim)
                if claimed is not None:
                    return claimed
                changed = trio.Event()
            if trio.current_time() >= join_until_s:
                raise _refusals.still_running(claim)
            with trio.move_on_after(min(poll_s, join_until_s - trio.current_time())):
                await changed.wait()
            poll_s = min(poll_s * 2, MAX_JOIN_POLL_S)

    async def finish(self, run: ports.ClaimedRun, response: ports.StoredResponse) -> bool:
        """Store the response; return false if it waits for the platform or lost to another."""
        stored = await self.store(run, response)
        return stored.recorded and stored.body == response.body

    async def store(
        self, run: ports.ClaimedRun, response: ports.StoredResponse
    ) -> ports.StoredResponse:
        """Store the response and return the one that is stored; see :class:`ports.Records`."""
        record_id = idempotency.record_id(run.claim.team, run.claim.key)
        unrecorded = msgspec.structs.replace(response, recorded=False)
        if not self._backlog.has_room(len(response.body)):
            self._remove_local_run(record_id, run)
            self._log.error("response_not_recorded", request=run.claim.request_id)
            return unrecorded
        local = self._find_own_run(record_id, run)
        if local is not None:
            local.response = unrecorded
            local.notify()
        pending = self._queue_response(record_id, run, response)
        await self._wait_durable(pending)
        if pending.result is None or pending.result.record is None:
            return unrecorded
        if pending.result.outcome is idempotency.Outcome.STORED:
            return msgspec.structs.replace(response, recorded=True)
        return await self._read_winning_response(pending.result.record, response)

    async def abandon(self, run: ports.ClaimedRun, ran: errors.Ran) -> None:
        """Abandon the claim; the change is queued before the first wait."""
        record_id = idempotency.record_id(run.claim.team, run.claim.key)
        released = ran is errors.Ran.NO or run.claim.idempotent
        kind = idempotency.ChangeKind.RELEASE if released else idempotency.ChangeKind.DOUBT
        record = msgspec.structs.replace(self._build_record(run), state=idempotency.State.UNKNOWN)
        pending = _buckets.PendingChange(
            idempotency.Change(kind, record_id, record),
            durable=True,
            on_done=lambda: self._remove_local_run(record_id, run),
        )
        self._committer.submit(pending)
        local = self._find_own_run(record_id, run)
        if local is not None:
            local.unknown = not released
            local.notify()
        if released:
            self._remove_local_run(record_id, run)
        await self._wait_durable(pending)

    async def lookup(self, team: str, key: str) -> ports.StoredResponse | None:
        """Read a stored response."""
        found = await self.inspect(team, key)
        return found if isinstance(found, ports.StoredResponse) else None

    async def inspect(self, team: str, key: str) -> ports.StoredResponse | ports.RequestState:
        """Read a stored response or the request's state; see :class:`ports.Records`."""
        record_id = idempotency.record_id(team, key)
        local = self._local_runs.get(record_id)
        if local is not None and local.response is not None:
            return local.response
        try:
            record = await self._committer.read(record_id)
            if record is not None and record.answer is not None:
                return await self._responses.read(record.answer)
        except platform.UnavailableError as exc:
            raise _refusals.unreadable(exc) from exc
        if local is not None:
            return ports.RequestState.UNKNOWN if local.unknown else ports.RequestState.RUNNING
        if record is None or record.expires_at_s <= self._clock():
            return ports.RequestState.NOT_FOUND
        context = self._change_context(idempotency.Bucket(records={record_id: record}))
        return ports.RequestState(idempotency.reported_state(record, context).value)

    async def _claim(
        self, record_id: str, claim: ports.Claim
    ) -> ports.ClaimedRun | ports.StoredResponse | None:
        """Try once to claim; return ``None`` if another attempt is running."""
        run = ports.ClaimedRun(claim, secrets.token_hex(16))
        if self._committer.health.down_for_s():
            return self._run_unrecorded(record_id, run)
        change = idempotency.Change(
            idempotency.ChangeKind.CLAIM, record_id, self._build_record(run)
        )
        pending = _buckets.PendingChange(change, eager=claim.idempotent)
        self._committer.submit(pending)
        claimed: ports.ClaimedRun | ports.StoredResponse | None = None
        try:
            await _wait_until_done(
                pending, EAGER_CLAIM_WAIT_S if claim.idempotent else self._deadline_s
            )
            if pending.result is None:
                claimed = self._run_unrecorded(record_id, run)
            else:
                claimed = await self._handle_claim_result(record_id, run, pending.result)
        finally:
            if claimed is not run:
                self._cancel_claim(pending)
        return claimed

    async def _handle_claim_result(
        self, record_id: str, run: ports.ClaimedRun, result: idempotency.Verdict
    ) -> ports.ClaimedRun | ports.StoredResponse | None:
        """Return the run or the stored response that a claim resulted in, or refuse it."""
        if result.outcome is idempotency.Outcome.RUN:
            return self._register_run(record_id, run)
        if result.outcome is idempotency.Outcome.JOIN:
            return None
        if result.outcome is idempotency.Outcome.CONFLICT:
            raise _refusals.conflict(run.claim)
        if result.record is None or result.record.answer is None:
            raise _refusals.unknown(run.claim)
        try:
            return await self._responses.read(result.record.answer)
        except platform.UnavailableError as exc:
            raise _refusals.unreadable(exc) from exc

    def _run_unrecorded(self, record_id: str, run: ports.ClaimedRun) -> ports.ClaimedRun | None:
        """Run without a record if the request may be repeated; refuse it otherwise."""
        if run.claim.idempotent:
            return self._register_run(record_id, run)
        raise _refusals.not_recorded()

    def _register_run(self, record_id: str, run: ports.ClaimedRun) -> ports.ClaimedRun | None:
        """Register a run of this process; return ``None`` if the key has one already."""
        if record_id in self._local_runs:
            return None
        self._local_runs[record_id] = _LocalRun(run, trio.current_time())
        return run

    def _cancel_claim(self, pending: _buckets.PendingChange) -> None:
        """Cancel a claim that its caller does not run; release it if it may be written."""
        pending.cancelled = True
        refused = (
            pending.result is not None and pending.result.outcome is not idempotency.Outcome.RUN
        )
        if pending.sent and not refused:
            release = dataclasses.replace(pending.change, kind=idempotency.ChangeKind.RELEASE)
            self._committer.submit(_buckets.PendingChange(release, durable=True))

    def _queue_response(
        self, record_id: str, run: ports.ClaimedRun, response: ports.StoredResponse
    ) -> _buckets.PendingChange:
        """Queue a response, which is retried until the platform stores it."""
        record = self._build_record(run)
        packed, prepare = self._responses.pack(response, run.nonce, record.expires_at_s)
        record = msgspec.structs.replace(record, state=idempotency.State.DONE, answer=packed)
        change = idempotency.Change(idempotency.ChangeKind.ANSWER, record_id, record)
        size = len(response.body)
        self._backlog.add(size)

        def committed() -> None:
            self._backlog.remove(size)
            self._remove_local_run(record_id, run)

        pending = _buckets.PendingChange(change, durable=True, prepare=prepare, on_done=committed)
        self._committer.submit(pending)
        return pending

    async def _wait_durable(self, pending: _buckets.PendingChange) -> None:
        """Wait for a durable change, but not while the platform is unavailable."""
        down_s = self._committer.health.down_for_s()
        await _wait_until_done(pending, 0.0 if down_s else self._deadline_s)

    async def _read_winning_response(
        self, record: idempotency.Record, response: ports.StoredResponse
    ) -> ports.StoredResponse:
        """Return the response stored first, or the caller's own if that can't be read."""
        if record.answer is None:
            return msgspec.structs.replace(response, recorded=False)
        try:
            return await self._responses.read(record.answer)
        except platform.UnavailableError:
            return msgspec.structs.replace(response, recorded=False)

    def _build_record(self, run: ports.ClaimedRun) -> idempotency.Record:
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

    def _find_own_run(self, record_id: str, run: ports.ClaimedRun) -> _LocalRun | None:
        local = self._local_runs.get(record_id)
        return local if local is not None and local.run.nonce == run.nonce else None

    def _remove_local_run(self, record_id: str, run: ports.ClaimedRun) -> None:
        local = self._find_own_run(record_id, run)
        if local is not None:
            del self._local_runs[record_id]
            local.notify()

    def _change_context(self, bucket: idempotency.Bucket) -> idempotency.ChangeContext:
        holders = {record.holder for record in bucket.records.values()}
        dead = frozenset(holder for holder in holders if self._is_holder_dead(holder))
        return idempotency.ChangeContext(self._clock(), dead, self._max_run_s)

    def _is_holder_dead(self, holder: str) -> bool:
        """Return whether a holder is an earlier process of this VM or on a dead VM."""
        vm, _, process = holder.rpartition("/")
        return process != self._process if vm == self._vm else self._dead(vm)

    async def _run_cleanup(self) -> None:
        """Remove expired responses and records, a few objects at a time."""
        after = ""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            self._drop_lost_runs()
            try:
                await self._responses.delete_expired(self._clock())
                after = await self._committer.delete_expired(after)
            except platform.UnavailableError as exc:
                self._log.warning("record_cleanup_failed", error=exc.format_message())

    def _drop_lost_runs(self) -> None:
        """Remove runs that were neither finished nor abandoned within ``max_run_s``."""
        oldest_s = trio.current_time() - self._max_run_s
        for record_id, local in list(self._local_runs.items()):
            if local.response is None and not local.unknown and local.started_s < oldest_s:
                self._remove_local_run(record_id, local.run)


def make(kern: kernel.Kernel, cfg: settings.Settings, store: platform.Platform) -> Records:
    """Create the service of one VM; it finds the manifest and the membership by name."""

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


def _response_of_local_run(local: _LocalRun, claim: ports.Claim) -> ports.StoredResponse | None:
    """Return the response of a run of this process, ``None`` while it runs."""
    if local.run.claim.digest != claim.digest:
        raise _refusals.conflict(claim)
    if local.unknown:
        raise _refusals.unknown(claim)
    return local.response


async def _wait_until_done(pending: _buckets.PendingChange, longest_s: float) -> None:
    with trio.move_on_after(longest_s):
        await pending.done.wait()
