"""Stores jobs in the platform's store, the only durable copy of them.

A job is accepted by creating its header after its input. A result is an object named by the index
of its item, or one of several in an object. The order in which the objects are created, and that
within an object, determine the positions of results; of several results of an item only the first
counts. Neither positions nor contents ever change. The number of failed runs of an item is an
object too, so that workers that all restart go on counting.
"""

import base64
import secrets
from typing import Literal

import msgspec

from cornelgrade.adapters import platform
from cornelgrade.services.edge import ports

HEADER_KIND = "cornelgrade-jobs"
INPUT_KIND = "cornelgrade-inputs"
RESULT_KIND = "cornelgrade-results"
FAILURE_KIND = "cornelgrade-failures"
# Base64 grows data by a third; the remainder is for the object's envelope.
PIECE_SIZE_RATIO = 0.7
GROUP_MARK = "."
GROUP_NAME_BYTES = 4


class JobHeader(msgspec.Struct, frozen=True):
    """A job without its items.

    Its id may be submitted again after the job was deleted, so the id and ``received_ms`` together
    identify a job.

    :param route: name of the route that accepted it.
    :param received_ms: Unix milliseconds of its acceptance; its deadlines count from then.
    :param pieces: number of objects that hold its input.
    :param team: the team that submitted it, empty if requests need no keys.
    :param done_tokens: tokens of items whose results are stored, or fewer: it is recorded with a
        delay, and only where the limit on waiting tokens is near.
    :param reserved_ms: Unix milliseconds of its last reservation, 0 for that of ``received_ms``.
    :param plan: version of the plan under which it was accepted, 0 if stored by an earlier build.
    :param state: ``reserved`` until it is accepted or ``declined`` for lack of room, then ``open``
        until all results are stored (``done``) or its caller ends it (``ended``). A reserved or
        declined job is not accepted; submitting it again may succeed.
    """

    job: str
    route: str
    host: str
    received_ms: int
    due_ms: int
    expires_ms: int
    total: int
    tokens: int
    pieces: int
    state: Literal["reserved", "declined", "open", "done", "ended"] = "open"
    team: str = ""
    done_tokens: int = 0
    reserved_ms: int = 0
    plan: int = 0

    @property
    def accepted(self) -> bool:
        """Whether the job was ever accepted."""
        return self.state not in ("reserved", "declined")

    def is_same_job(self, other: "JobHeader") -> bool:
        """Whether another header is one of this job, perhaps in another state."""
        return (self.job, self.received_ms) == (other.job, other.received_ms)

    def submitted_again(self, later: "JobHeader") -> "JobHeader":
        """Return the header of a job that was not accepted with what a later submission says.

        Its deadlines count from its first submission.
        """
        return msgspec.structs.replace(
            self,
            route=later.route,
            host=later.host,
            team=later.team,
            plan=later.plan,
            due_ms=self.received_ms + later.due_ms - later.received_ms,
            expires_ms=self.received_ms + later.expires_ms - later.received_ms,
        )

    def is_visible_to(self, team: str | None) -> bool:
        """Whether callers of a team may use the job.

        :param team: empty for callers without one; ``None`` if requests need no keys.
        """
        return team is None or self.team in ("", team)


class _Result(msgspec.Struct, frozen=True, kw_only=True):
    """A result in an object of its own.

    :param received_ms: of the job, 0 if not known: results of older versions don't have it.
    """

    item: str
    end: ports.ItemEnd
    text: str
    received_ms: int = 0


class _GroupedResult(_Result, frozen=True, kw_only=True):
    index: int


# Results that one worker stores together, in an object whose name contains GROUP_MARK.
_Group = tuple[_GroupedResult, ...]


class StoredHeader(msgspec.Struct, frozen=True):
    """A job header with its position and version in the store.

    :param created: orders headers by creation.
    :param is_new: whether this call created it.
    """

    header: JobHeader
    version: int
    created: int = 0
    is_new: bool = False


class StoredResult(msgspec.Struct, frozen=True):
    """A result in the store.

    :param created: orders the results of a job; those of one object share it.
    """

    index: int
    result: ports.ItemResult
    created: int


class JobRepository:
    """Reads and writes jobs.

    All methods raise :class:`platform.UnavailableError` if the store does not respond.

    :param value_bytes: maximum size of an object in the store.
    """

    def __init__(self, store: platform.Platform, value_bytes: int) -> None:
        self._store = store
        self._piece_bytes = int(value_bytes * PIECE_SIZE_RATIO)
        self._headers: dict[str, platform.StoredObject] = {}
        self._headers_revision = 0

    async def create_job(self, header: JobHeader, items: tuple[ports.Item, ...]) -> StoredHeader:
        """Store a job and return its header, or the existing one if it was stored before."""
        encoded = msgspec.msgpack.encode(items)
        size = self._piece_bytes
        pieces = [encoded[at : at + size] for at in range(0, len(encoded), size)]
        for number, piece in enumerate(pieces):
            await self._create_piece(header.job, number, piece)
        complete_header = msgspec.structs.replace(header, pieces=len(pieces))
        try:
            stored = await self._store.create(
                HEADER_KIND, header.job, msgspec.json.encode(complete_header)
            )
        except platform.ConflictError as exc:
            if exc.current is None:
                raise platform.UnavailableError(
                    "job header was deleted during creation", step="accept"
                ) from exc
            return decode_header(exc.current)
        return StoredHeader(complete_header, stored.version, stored.created, is_new=True)

    async def _create_piece(self, job: str, number: int, piece: bytes) -> None:
        value = msgspec.json.encode(base64.b64encode(piece).decode())
        try:
            await self._store.create(INPUT_KIND, f"{job}.{number}", value)
        except platform.ConflictError:
            # An earlier submission of the same job already stored this piece.
            return

    async def find_job(self, job: str) -> StoredHeader | None:
        """Return a job's header, or ``None`` if there is no such job."""
        stored = await self._store.get(HEADER_KIND, job)
        return decode_header(stored) if stored else None

    async def find_accepted(self, job: str) -> JobHeader | None:
        """Return the header of an accepted job, perhaps in an earlier state, or ``None``.

        A job stays accepted, so a state that is seconds old will do if it shows that.
        """
        for allow_stale in (True, False):
            stored = await self._store.get(HEADER_KIND, job, allow_stale=allow_stale)
            header = decode_header(stored).header if stored else None
            if header is not None and header.accepted:
                return header
        return None

    async def list_headers(self) -> tuple[StoredHeader, ...]:
        """Return the headers of all jobs.

        Only the first call lists them, in several pages; the next ones read what changed since.
        """
        asked = self._headers_revision
        changes = await self._store.watch(HEADER_KIND, after=asked, wait_s=0.0)
        if asked and (changes.reset or not changes.version):
            asked = 0
            changes = await self._store.watch(HEADER_KIND, after=0, wait_s=0.0)
        if not asked:
            self._headers.clear()
        # A later change may have been read meanwhile.
        if not asked or changes.version > self._headers_revision:
            self._headers.update((stored.name, stored) for stored in changes.items)
            for name in changes.deleted:
                self._headers.pop(name, None)
            self._headers_revision = changes.version
        return tuple(map(decode_header, self._headers.values()))

    async def reserve_job(
        self, stored_header: StoredHeader, later: JobHeader, reserved_ms: int
    ) -> StoredHeader:
        """Reserve a declined job, or one whose reservation has expired, at a new position.

        :param later: of the submission that reserves it.
        :returns: its header, in whichever state it is now.
        """
        header = stored_header.header.submitted_again(later)
        reserved = msgspec.structs.replace(header, state="reserved", reserved_ms=reserved_ms)
        return await self._replace(stored_header, reserved)

    async def accept_reserved(self, stored_header: StoredHeader, later: JobHeader) -> JobHeader:
        """Accept a reserved job unless its reservation has changed; return its present header.

        :param later: of the submission that is accepted.
        """
        opened = msgspec.structs.replace(stored_header.header.submitted_again(later), state="open")
        return (await self._replace(stored_header, opened)).header

    async def record_done_tokens(self, stored_header: StoredHeader, tokens: int) -> StoredHeader:
        """Store the tokens of an open job's finished items, unless a higher number is stored.

        :returns: its header, in whichever state it is now.
        """
        while stored_header.header.state == "open" and stored_header.header.done_tokens < tokens:
            updated = msgspec.structs.replace(stored_header.header, done_tokens=tokens)
            stored_header = await self._replace(stored_header, updated)
        return stored_header

    async def _replace(self, stored_header: StoredHeader, updated: JobHeader) -> StoredHeader:
        """Store a header unless it has changed; return the stored one."""
        value = msgspec.json.encode(updated)
        try:
            stored = await self._store.update(
                HEADER_KIND, updated.job, value, stored_header.version
            )
        except platform.ConflictError as exc:
            return _current_header(exc, updated, step="update job")
        return StoredHeader(updated, stored.version, stored.created)

    async def accept_job(self, stored_header: StoredHeader, later: JobHeader) -> JobHeader:
        """Accept a reserved or declined job; one that was accepted is unchanged.

        :param later: of the submission that is accepted.
        """
        return await self._change_state(stored_header, "open", ("reserved", "declined"), later)

    async def decline_job(self, stored_header: StoredHeader) -> JobHeader:
        """Decline a reserved job; one accepted in the meantime stays accepted."""
        return await self._change_state(stored_header, "declined", ("reserved",))

    async def close_job(
        self, stored_header: StoredHeader, state: Literal["done", "ended"]
    ) -> JobHeader:
        """Move an open job to a final state; one in a final state is unchanged."""
        return await self._change_state(stored_header, state, ("open",))

    async def _change_state(
        self,
        stored_header: StoredHeader,
        state: Literal["declined", "open", "done", "ended"],
        from_states: tuple[str, ...],
        later: JobHeader | None = None,
    ) -> JobHeader:
        while stored_header.header.state in from_states:
            header = stored_header.header
            header = header if later is None else header.submitted_again(later)
            updated = msgspec.structs.replace(header, state=state)
            value = msgspec.json.encode(updated)
            try:
                await self._store.update(HEADER_KIND, updated.job, value, stored_header.version)
                return updated
            except platform.ConflictError as exc:
                stored_header = _current_header(exc, updated, step="change job state")
        return stored_header.header

    async def delete_job(self, stored_header: StoredHeader) -> None:
        """Delete all objects of a job, its header last.

        :raises ConflictError: if the job has changed; nothing is deleted then.
        """
        job = stored_header.header.job
        current = await self._store.get(HEADER_KIND, job)
        if current is None or current.version != stored_header.version:
            raise platform.ConflictError(f"job {job} was modified", step="forget", current=current)
        kind = _result_kind(job)
        changes = await self._store.watch(kind, after=0, wait_s=0.0)
        for stored in changes.items:
            await self._store.delete(kind, stored.name, stored.version)
        for stored in await self._store.list(_failure_kind(job)):
            await self._store.delete(stored.kind, stored.name, stored.version)
        for number in range(stored_header.header.pieces):
            piece = await self._store.get(INPUT_KIND, f"{job}.{number}")
            if piece is not None:
                await self._store.delete(INPUT_KIND, piece.name, piece.version)
        await self._store.delete(HEADER_KIND, job, stored_header.version)

    async def read_items(self, header: JobHeader) -> tuple[ports.Item, ...]:
        """Return a job's input."""
        pieces = [await self._read_piece(header.job, number) for number in range(header.pieces)]
        return msgspec.msgpack.decode(b"".join(pieces), type=tuple[ports.Item, ...])

    async def _read_piece(self, job: str, number: int) -> bytes:
        # Input never changes, so any copy of it will do.
        name = f"{job}.{number}"
        stored = await self._store.get(INPUT_KIND, name, allow_stale=True)
        if stored is None:
            stored = await self._store.get(INPUT_KIND, name)
        if stored is None:
            raise platform.UnavailableError("job input is incomplete", step="read input")
        return base64.b64decode(msgspec.json.decode(stored.value, type=str))

    async def add_result(
        self, job: str, index: int, result: ports.ItemResult, received_ms: int = 0
    ) -> None:
        """Store a result unless another VM has already stored one.

        One of a deleted job of the same id, stored by a worker that didn't know of its deletion, is
        replaced. The result of a deleted job doesn't replace one of the present job.

        :param received_ms: of the job, 0 if not known.
        """
        kind, name = _result_kind(job), _item_name(index)
        new = _Result(item=result.item, end=result.end, text=result.text, received_ms=received_ms)
        while True:
            try:
                await self._store.create(kind, name, msgspec.json.encode(new))
                return
            except platform.ConflictError as exc:
                if exc.current is None or not _is_of_earlier_job(exc.current, received_ms):
                    return
                await self._delete_result(exc.current)

    async def _delete_result(self, stored: platform.StoredObject) -> None:
        try:
            await self._store.delete(stored.kind, stored.name, stored.version)
        except platform.ConflictError:
            # Another worker has replaced it.
            return

    def group_results(
        self, results: dict[int, ports.ItemResult]
    ) -> tuple[dict[int, ports.ItemResult], ...]:
        """Split results into groups that fit into one object each."""
        groups: list[dict[int, ports.ItemResult]] = []
        size = 0
        for index, result in results.items():
            size += len(msgspec.json.encode(result))
            if not groups or size > self._piece_bytes:
                groups.append({})
                size = len(msgspec.json.encode(result))
            groups[-1][index] = result
        return tuple(groups)

    async def add_group(
        self, job: str, name: str, results: dict[int, ports.ItemResult], received_ms: int = 0
    ) -> None:
        """Store several results in one object.

        Another VM may have stored results of these items; the first one of an item counts.

        :param name: made by :func:`make_group_name`, the same when the call is repeated.
        :param received_ms: of the job, 0 if not known.
        """
        group = tuple(
            _GroupedResult(item=r.item, end=r.end, text=r.text, index=i, received_ms=received_ms)
            for i, r in results.items()
        )
        try:
            await self._store.create(_result_kind(job), name, msgspec.json.encode(group))
        except platform.ConflictError:
            # An earlier attempt has stored it, though its response was lost.
            return

    async def record_failures(self, job: str, index: int, failures: int) -> None:
        """Store the number of failed runs of an item, unless a higher one is stored."""
        kind, name, value = _failure_kind(job), _item_name(index), msgspec.json.encode(failures)
        try:
            await self._store.create(kind, name, value)
        except platform.ConflictError as exc:
            current = exc.current
            while current is not None and _decode_failures(current) < failures:
                try:
                    await self._store.update(kind, name, value, current.version)
                    return
                except platform.ConflictError as conflict:
                    current = conflict.current

    async def read_failures(self, job: str) -> dict[int, int]:
        """Return the numbers of failed runs by item."""
        stored = await self._store.list(_failure_kind(job))
        return {int(found.name): _decode_failures(found) for found in stored}

    async def list_results(
        self, job: str, after: int, wait_s: float, received_ms: int = 0
    ) -> tuple[tuple[StoredResult, ...], int, bool]:
        """Return results newer than a revision, in order, and the revision to continue from.

        A list that spans several pages may include results created after the revision of its first
        page, but not necessarily all of them. Those are left to the next call, so that each object
        is returned exactly once. An item may have several results; the first one counts.

        :param after: 0 for all results.
        :param received_ms: of the job, to leave out results of a deleted job of the same id; 0 if
            not known.
        :returns: results, revision, and whether the store has lost the history since ``after``.
        """
        changes = await self._store.watch(_result_kind(job), after=after, wait_s=wait_s)
        new = (s for s in changes.items if after < s.created <= changes.version)
        ordered = sorted(new, key=lambda stored: stored.created)
        results = tuple(
            entry for stored in ordered for entry in _decode_results(stored, received_ms)
        )
        return results, changes.version, changes.reset


def decode_header(stored: platform.StoredObject) -> StoredHeader:
    """Decode a stored job header."""
    header = msgspec.json.decode(stored.value, type=JobHeader)
    return StoredHeader(header, stored.version, stored.created)


def _current_header(exc: platform.ConflictError, header: JobHeader, *, step: str) -> StoredHeader:
    """Return the header with which a change of a job conflicted.

    :raises UnavailableError: if the job was deleted, also if its id was submitted again.
    """
    found = decode_header(exc.current) if exc.current is not None else None
    if found is None or not found.header.is_same_job(header):
        raise platform.UnavailableError("job header was deleted", step=step) from exc
    return found


def make_group_name(results: dict[int, ports.ItemResult]) -> str:
    """Return a new name for an object with these results."""
    return f"{_item_name(min(results))}{GROUP_MARK}{secrets.token_hex(GROUP_NAME_BYTES)}"


def _decode_results(stored: platform.StoredObject, received_ms: int) -> tuple[StoredResult, ...]:
    """Decode the results in an object, but for those of another job of the same id."""
    if GROUP_MARK in stored.name:
        group = msgspec.json.decode(stored.value, type=_Group)
        return tuple(
            StoredResult(r.index, _make_result(r), stored.created)
            for r in group
            if _may_be_of_job(r, received_ms)
        )
    single = msgspec.json.decode(stored.value, type=_Result)
    if not _may_be_of_job(single, received_ms):
        return ()
    return (StoredResult(int(stored.name), _make_result(single), stored.created),)


def _may_be_of_job(result: _Result, received_ms: int) -> bool:
    return not (result.received_ms and received_ms) or result.received_ms == received_ms


def _is_of_earlier_job(stored: platform.StoredObject, received_ms: int) -> bool:
    """Whether a single result is known to be of an earlier job than that received then."""
    result = msgspec.json.decode(stored.value, type=_Result)
    return 0 < result.received_ms < received_ms


def _make_result(decoded: _Result) -> ports.ItemResult:
    return ports.ItemResult(decoded.item, decoded.end, decoded.text)


def _decode_failures(stored: platform.StoredObject) -> int:
    return msgspec.json.decode(stored.value, type=int)


def _item_name(index: int) -> str:
    return f"{index:05d}"


def _result_kind(job: str) -> str:
    return f"{RESULT_KIND}-{job}"


def _failure_kind(job: str) -> str:
    return f"{FAILURE_KIND}-{job}"
