"""How jobs lie in the platform's store, the only place where they last.

A job is accepted by the creation of its header, which comes after its input. Each result is an
object of its own, named by its item's index and created once: whoever is first decides, and the
order of creation gives the results' positions.
"""

import base64
import dataclasses
from typing import Literal

import msgspec

from cornelgrade.adapters import platform
from cornelgrade.services.edge import ports

HEADER_KIND = "cornelgrade-jobs"
INPUT_KIND = "cornelgrade-inputs"
RESULT_KIND = "cornelgrade-results"
# Base64 makes three bytes four; the rest is left for the object's frame.
PIECE_SIZE_RATIO = 0.7


class JobHeader(msgspec.Struct, frozen=True):
    """What is known of a job without its items.

    :param received_ms: Unix milliseconds of its acceptance; its times count from there.
    :param pieces: objects that hold its input.
    :param state: ``reserved`` until it is known to fit or not (``declined``), then ``open`` until
        all results are there (``done``) or its caller ends it. A reserved or declined job is not
        accepted; a repeat of it may be.
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

    @property
    def accepted(self) -> bool:
        """Whether the job was ever accepted."""
        return self.state not in ("reserved", "declined")


class _Result(msgspec.Struct, frozen=True):
    item: str
    end: ports.ItemEnd
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredHeader:
    """A header in the store.

    :param created: orders headers by their creation.
    :param is_new: this call created it.
    """

    header: JobHeader
    version: int
    created: int = 0
    is_new: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResult:
    """A result in the store.

    :param created: orders the results of a job.
    """

    index: int
    result: ports.ItemResult
    created: int


class JobRepository:
    """Reads and writes jobs.

    All calls raise :class:`platform.UnavailableError` if the store does not answer.

    :param value_bytes: largest object that the store takes.
    """

    def __init__(self, store: platform.Platform, value_bytes: int) -> None:
        self._store = store
        self._piece_bytes = int(value_bytes * PIECE_SIZE_RATIO)

    async def create_job(self, header: JobHeader, items: tuple[ports.Item, ...]) -> StoredHeader:
        """Store a job and give its header, or that of the same job stored earlier."""
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
                raise platform.UnavailableError("header taken back", step="accept") from exc
            return decode_header(exc.current)
        return StoredHeader(complete_header, stored.version, stored.created, is_new=True)

    async def _create_piece(self, job: str, number: int, piece: bytes) -> None:
        value = msgspec.json.encode(base64.b64encode(piece).decode())
        try:
            await self._store.create(INPUT_KIND, f"{job}.{number}", value)
        except platform.ConflictError:
            # An earlier submission of the same job got this far.
            return

    async def find_job(self, job: str) -> StoredHeader | None:
        """Read a job's header."""
        stored = await self._store.get(HEADER_KIND, job)
        return decode_header(stored) if stored else None

    async def list_headers(self) -> tuple[StoredHeader, ...]:
        """Read the headers of all jobs."""
        changes = await self._store.watch(HEADER_KIND, after=0, wait_s=0.0)
        return tuple(decode_header(stored) for stored in changes.items)

    async def accept_job(self, stored_header: StoredHeader) -> JobHeader:
        """Accept a job that is not accepted yet."""
        return await self._change_state(stored_header, "open", ("reserved", "declined"))

    async def decline_job(self, stored_header: StoredHeader) -> JobHeader:
        """Give up a reservation; a job that was accepted meanwhile stays so."""
        return await self._change_state(stored_header, "declined", ("reserved",))

    async def close_job(
        self, stored_header: StoredHeader, state: Literal["done", "ended"]
    ) -> JobHeader:
        """Move an open job to its final state; one that is final already stays as it is."""
        return await self._change_state(stored_header, state, ("open",))

    async def _change_state(
        self,
        stored_header: StoredHeader,
        state: Literal["declined", "open", "done", "ended"],
        from_states: tuple[str, ...],
    ) -> JobHeader:
        while stored_header.header.state in from_states:
            updated = msgspec.structs.replace(stored_header.header, state=state)
            value = msgspec.json.encode(updated)
            try:
                await self._store.update(HEADER_KIND, updated.job, value, stored_header.version)
                return updated
            except platform.ConflictError as exc:
                if exc.current is None:
                    raise platform.UnavailableError("header is gone", step="move job") from exc
                stored_header = decode_header(exc.current)
        return stored_header.header

    async def delete_job(self, stored_header: StoredHeader) -> None:
        """Remove all that the store holds of a job, its header last.

        :raises ConflictError: if the job has changed; then all of it stays.
        """
        job = stored_header.header.job
        current = await self._store.get(HEADER_KIND, job)
        if current is None or current.version != stored_header.version:
            raise platform.ConflictError(f"{job} has changed", step="forget", current=current)
        kind = _result_kind(job)
        changes = await self._store.watch(kind, after=0, wait_s=0.0)
        for stored in changes.items:
            await self._store.delete(kind, stored.name, stored.version)
        for number in range(stored_header.header.pieces):
            piece = await self._store.get(INPUT_KIND, f"{job}.{number}")
            if piece is not None:
                await self._store.delete(INPUT_KIND, piece.name, piece.version)
        await self._store.delete(HEADER_KIND, job, stored_header.version)

    async def read_items(self, header: JobHeader) -> tuple[ports.Item, ...]:
        """Read a job's input."""
        pieces = [await self._read_piece(header.job, number) for number in range(header.pieces)]
        return msgspec.msgpack.decode(b"".join(pieces), type=tuple[ports.Item, ...])

    async def _read_piece(self, job: str, number: int) -> bytes:
        stored = await self._store.get(INPUT_KIND, f"{job}.{number}")
        if stored is None:
            raise platform.UnavailableError("input is missing", step="read input")
        return base64.b64decode(msgspec.json.decode(stored.value, type=str))

    async def add_result(self, job: str, index: int, result: ports.ItemResult) -> None:
        """Store a result; one that another VM stored earlier stands."""
        value = msgspec.json.encode(_Result(result.item, result.end, result.text))
        try:
            await self._store.create(_result_kind(job), f"{index:05d}", value)
        except platform.ConflictError:
            return

    async def list_results(
        self, job: str, after: int, wait_s: float
    ) -> tuple[tuple[StoredResult, ...], int, bool]:
        """Give results newer than a revision, in their order, and the revision to go on from.

        A list of several pages also holds results that were created after the revision of its
        first page, but not all of these: they are left to the next call, which gives each once.

        :param after: 0 for all results.
        :returns: results, revision, and whether the store forgot what lies behind ``after``.
        """
        changes = await self._store.watch(_result_kind(job), after=after, wait_s=wait_s)
        new = (s for s in changes.items if after < s.created <= changes.version)
        results = [_decode_result(stored) for stored in new]
        ordered = tuple(sorted(results, key=lambda entry: entry.created))
        return ordered, changes.version, changes.reset


def decode_header(stored: platform.Stored) -> StoredHeader:
    """Decode a header."""
    header = msgspec.json.decode(stored.value, type=JobHeader)
    return StoredHeader(header, stored.version, stored.created)


def _decode_result(stored: platform.Stored) -> StoredResult:
    got = msgspec.json.decode(stored.value, type=_Result)
    return StoredResult(
        int(stored.name), ports.ItemResult(got.item, got.end, got.text), stored.created
    )


def _result_kind(job: str) -> str:
    return f"{RESULT_KIND}-{job}"
