"""Storage of batch jobs in the platform: headers, input pieces, chunks, index of open jobs.

The store runs no task; the gateway and the worker each have an instance. A submission writes the
entry in the index of open jobs first, then the input pieces, then the header. The creation of the
header accepts the job. An entry without a header is an upload in progress or an abandoned one.
"""

import collections
import dataclasses
import hashlib
import secrets
import time
from collections.abc import AsyncIterator, Callable
from typing import TypeVar

import msgspec

from cornelgrade.adapters import platform
from cornelgrade.policy import claims
from cornelgrade.services import _platform_retries, job_records

T = TypeVar("T")
RetryingWriter = _platform_retries.RetryingWriter

_CACHED_PIECES = 4
_CACHED_SPILLS = 2
_EDIT_ATTEMPTS = 20


def job_id(team: str, key: str) -> str:
    """Return the id of a job: one for each job key of a team."""
    return hashlib.sha256(f"{team}\0{key}".encode()).hexdigest()[:32]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenJob:
    """An entry in the index of open jobs; its header may not exist yet."""

    name: str
    version: int
    ledger: claims.Ledger

    @property
    def due_at_s(self) -> float:
        """The Unix time at which the job is due."""
        return int(self.name.split(":")[0]) / 1000

    @property
    def team(self) -> str:
        """The team that owns the job."""
        return self.name.split(":")[1]

    @property
    def job(self) -> str:
        """The job's id."""
        return self.name.split(":")[2]

    @property
    def upload(self) -> str:
        """The upload that the entry belongs to."""
        return self.name.split(":")[3]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedHeader:
    """A header and its version in the platform."""

    header: job_records.Header
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedChunk:
    """A chunk and its version in the platform, which the next conditional write must match."""

    chunk: job_records.Chunk
    version: int


class LostChunkError(Exception):
    """Another worker has written the chunk; nothing was changed."""


class JobStore:
    """Reads and writes jobs.

    :param plat: the platform.
    :param unix_s: returns the Unix time in seconds.
    """

    def __init__(self, plat: platform.Platform, unix_s: Callable[[], float] = time.time) -> None:
        self.plat = plat
        self.unix_s = unix_s
        self._pieces: collections.OrderedDict[str, tuple[job_records.Item, ...]] = (
            collections.OrderedDict()
        )

    async def header(self, team: str, job: str) -> VersionedHeader | None:
        """Read a header, ``None`` if there is no such job."""
        name = job_records.header_name(team, job)
        stored = await _platform_retries.read(self.plat, job_records.JOB, name)
        return _decode_header(stored) if stored else None

    async def headers(self, team: str, after: str, limit: int) -> tuple[job_records.Header, ...]:
        """Read a page of a team's jobs in the order of their ids."""
        prefix = job_records.header_name(team, "")
        found = await self.plat.list(
            job_records.JOB, prefix=prefix, after=prefix + after if after else "", limit=limit
        )
        return tuple(_decode_header(stored).header for stored in found)

    async def edit_header(
        self,
        team: str,
        job: str,
        change: Callable[[job_records.Header], job_records.Header],
    ) -> VersionedHeader | None:
        """Change a header by conditional writes; ``None`` if there is no such job.

        After a conflict, ``change`` is called again with the stored header. Nothing is written if
        it returns an equal header.
        """
        found = await self.header(team, job)
        for _ in range(_EDIT_ATTEMPTS):
            if found is None:
                return None
            changed = change(found.header)
            if changed == found.header:
                return found
            raw = job_records.encode(changed)
            try:
                stored = await self.retrying_writer().update(
                    job_records.JOB, changed.name, raw, found.version
                )
            except platform.ConflictError as exc:
                found = _decode_header(exc.current) if exc.current else None
                continue
            return _decode_header(stored)
        raise platform.UnavailableError("header keeps changing", step="edit job")

    async def open_jobs(self, after: str = "", limit: int = 100) -> tuple[OpenJob, ...]:
        """Read open jobs, earliest due first."""
        found = await self.plat.list(job_records.OPEN, after=after, limit=limit)
        return tuple(decode_open_job(stored) for stored in found)

    async def open_entry(self, name: str) -> OpenJob | None:
        """Read one entry in the index of open jobs."""
        stored = await _platform_retries.read(self.plat, job_records.OPEN, name)
        return decode_open_job(stored) if stored else None

    async def edit_ledger(
        self,
        entry: OpenJob,
        change: Callable[[claims.Ledger], claims.Ledger],
        retry_limit_s: float = _platform_retries.WRITE_RETRY_LIMIT_S,
    ) -> OpenJob | None:
        """Change the ledger of an open job by conditional writes; ``None`` if the job has ended.

        After a conflict, ``change`` is called again with the stored ledger. Nothing is written if
        it returns an equal ledger.
        """
        for _ in range(_EDIT_ATTEMPTS):
            changed = change(entry.ledger)
            if changed == entry.ledger:
                return entry
            raw = job_records.encode(changed)
            try:
                stored = await self.retrying_writer(retry_limit_s).update(
                    job_records.OPEN, entry.name, raw, entry.version
                )
            except platform.ConflictError as exc:
                if exc.current is None:
                    return None
                entry = decode_open_job(exc.current)
                continue
            return decode_open_job(stored)
        raise platform.UnavailableError("ledger keeps changing", step="edit ledger")

    async def items(self, header: job_records.Header, chunk: int) -> list[job_records.Item]:
        """Read the items of one chunk."""
        first = chunk * header.chunk_items
        end = first + header.chunk_size(chunk)
        found: list[job_records.Item] = []
        start = 0
        for number, count in enumerate(header.piece_items):
            if start < end and start + count > first:
                piece = await self._read_piece(header, number)
                found.extend(piece[max(0, first - start) : end - start])
            start += count
        return found

    async def _read_piece(
        self, header: job_records.Header, number: int
    ) -> tuple[job_records.Item, ...]:
        name = job_records.piece_name(header.job, header.upload, number)
        if name not in self._pieces:
            raw = await self.stored_value(job_records.PIECE, name)
            self._pieces[name] = job_records.decode(raw, tuple[job_records.Item, ...])
            if len(self._pieces) > _CACHED_PIECES:
                self._pieces.popitem(last=False)
        self._pieces.move_to_end(name)
        return self._pieces[name]

    async def stored_value(self, kind: str, name: str) -> bytes:
        """Read an object that must exist.

        :raises UnavailableError: also if the object is missing.
        """
        stored = await _platform_retries.read(self.plat, kind, name)
        if stored is None:
            raise platform.UnavailableError(f"{kind}/{name} is missing", step="read job")
        return stored.value

    async def chunk(self, header: job_records.Header, chunk: int) -> VersionedChunk | None:
        """Read a chunk object, ``None`` before its first write."""
        name = job_records.chunk_name(header.job, header.upload, chunk)
        stored = await _platform_retries.read(self.plat, job_records.CHUNK, name)
        return _decode_chunk(stored) if stored else None

    async def fence(self, header: job_records.Header, claim: claims.Claim) -> VersionedChunk:
        """Take over a chunk, so that later writes of earlier holders fail.

        :raises LostChunkError: if a later holder has fenced the chunk already.
        """
        for _ in range(_EDIT_ATTEMPTS):
            found = await self.chunk(header, claim.chunk)
            if found and found.chunk.epoch > claim.epoch:
                raise LostChunkError
            if found and (found.chunk.epoch, found.chunk.holder) == (claim.epoch, claim.holder):
                return found
            before = found.chunk if found else job_records.Chunk(claim.epoch, claim.holder)
            fenced = msgspec.structs.replace(before, epoch=claim.epoch, holder=claim.holder)
            try:
                return await self._write_chunk(
                    header, claim.chunk, fenced, found.version if found else 0
                )
            except LostChunkError:
                continue
        raise platform.UnavailableError("chunk keeps changing", step="fence")

    async def commit(
        self,
        header: job_records.Header,
        number: int,
        chunk: job_records.Chunk,
        version: int,
        retry_limit_s: float = _platform_retries.WRITE_RETRY_LIMIT_S,
    ) -> VersionedChunk:
        """Write a chunk's progress; outcomes that don't fit are written to separate objects.

        :param version: the version that this holder wrote last, 0 for none.
        :raises LostChunkError: if another holder has written the chunk since.
        """
        if len(job_records.encode(chunk)) > job_records.MAX_PART_BYTES:
            chunk = await self._spill(header, number, chunk, retry_limit_s)
        return await self._write_chunk(header, number, chunk, version, retry_limit_s)

    async def _write_chunk(
        self,
        header: job_records.Header,
        number: int,
        chunk: job_records.Chunk,
        version: int,
        retry_limit_s: float = _platform_retries.WRITE_RETRY_LIMIT_S,
    ) -> VersionedChunk:
        name = job_records.chunk_name(header.job, header.upload, number)
        raw = job_records.encode(chunk)
        writer = self.retrying_writer(retry_limit_s)
        try:
            stored = await writer.write(job_records.CHUNK, name, raw, version)
        except platform.ConflictError as exc:
            raise LostChunkError from exc
        return VersionedChunk(chunk, stored.version)

    async def _spill(
        self,
        header: job_records.Header,
        number: int,
        chunk: job_records.Chunk,
        retry_limit_s: float,
    ) -> job_records.Chunk:
        """Move all outcomes to result objects with names that no other holder uses."""
        spills = list(chunk.spills)
        for group in _group_by_size(chunk.outcomes):
            nonce = secrets.token_hex(4)
            base = f"{job_records.chunk_name(header.job, header.upload, number)}.{nonce}"
            raw = job_records.encode(group)
            parts = range(0, len(raw), job_records.MAX_PART_BYTES)
            for part, start in enumerate(parts):
                value = raw[start : start + job_records.MAX_PART_BYTES]
                name = f"{base}.{part:04d}"
                await self.retrying_writer(retry_limit_s).create(job_records.RESULT, name, value)
            indices = tuple(outcome.index for outcome in group)
            tally = job_records.count_outcomes(group)
            spills.append(job_records.Spill(base, len(parts), indices, tally))
        return msgspec.structs.replace(chunk, outcomes=(), spills=tuple(spills))

    async def outcomes(
        self, header: job_records.Header, number: int
    ) -> AsyncIterator[job_records.Outcome]:
        """Yield the outcomes of a chunk's items in order, ``PENDING`` for unfinished items.

        At most ``_CACHED_SPILLS`` spills are kept in memory.
        """
        found = await self.chunk(header, number)
        chunk = found.chunk if found else job_records.Chunk(0, "")
        inline = {outcome.index: outcome for outcome in chunk.outcomes}
        spilled = {index: spill for spill in chunk.spills for index in spill.indices}
        cache: collections.OrderedDict[str, dict[int, job_records.Outcome]] = (
            collections.OrderedDict()
        )
        missing = (
            job_records.OutcomeKind.CANCELLED
            if header.state is job_records.JobState.CANCELLED
            else job_records.OutcomeKind.PENDING
        )
        for index in range(header.chunk_size(number)):
            if index in spilled:
                spill = spilled[index]
                if spill.name not in cache:
                    cache[spill.name] = await self._load_spill(spill)
                    if len(cache) > _CACHED_SPILLS:
                        cache.popitem(last=False)
                yield cache[spill.name][index]
            else:
                yield inline.get(index) or job_records.Outcome(index, missing)

    async def _load_spill(self, spill: job_records.Spill) -> dict[int, job_records.Outcome]:
        parts = [
            await self.stored_value(job_records.RESULT, f"{spill.name}.{part:04d}")
            for part in range(spill.parts)
        ]
        group = job_records.decode(b"".join(parts), tuple[job_records.Outcome, ...])
        return {outcome.index: outcome for outcome in group}

    def retrying_writer(
        self, retry_limit_s: float = _platform_retries.WRITE_RETRY_LIMIT_S
    ) -> RetryingWriter:
        """Return a writer that retries and recognizes writes whose response was lost."""
        return RetryingWriter(self.plat, retry_limit_s)


def decode_open_job(stored: platform.StoredObject) -> OpenJob:
    """Decode an entry in the index of open jobs."""
    return OpenJob(stored.name, stored.version, job_records.decode(stored.value, claims.Ledger))


def _decode_header(stored: platform.StoredObject) -> VersionedHeader:
    return VersionedHeader(job_records.decode(stored.value, job_records.Header), stored.version)


def _decode_chunk(stored: platform.StoredObject) -> VersionedChunk:
    return VersionedChunk(job_records.decode(stored.value, job_records.Chunk), stored.version)


def _group_by_size(
    outcomes: tuple[job_records.Outcome, ...],
) -> list[tuple[job_records.Outcome, ...]]:
    """Group outcomes by about one object's size; a larger outcome is a group of its own."""
    groups: list[list[job_records.Outcome]] = [[]]
    room = job_records.MAX_PART_BYTES
    for outcome in sorted(outcomes, key=lambda one: one.index):
        size = len(outcome.body) + 100
        if groups[-1] and size > room:
            groups.append([])
            room = job_records.MAX_PART_BYTES
        groups[-1].append(outcome)
        room -= size
    return [tuple(group) for group in groups]
