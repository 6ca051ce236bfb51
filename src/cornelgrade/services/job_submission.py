"""Submission of a job: lines are read as a stream and written as input pieces, then a header.

At most one piece is kept in memory.
"""

import dataclasses
import hashlib
import secrets
from collections.abc import AsyncIterable, AsyncIterator

import msgspec
import trio
import xxhash

from cornelgrade import errors, manifest
from cornelgrade.adapters import platform
from cornelgrade.policy import claims
from cornelgrade.services import job_records, job_store

UPLOAD_TIMEOUT_S = 1800.0
_DEFAULT_PATH = "/v1/completions"
_STEP = "submit job"


class ItemLine(msgspec.Struct, frozen=True):
    """One line of a submission; unknown fields are ignored."""

    custom_id: str
    body: msgspec.Raw
    path: str = _DEFAULT_PATH
    idempotent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """Parameters of a submission apart from its items.

    :param due_s: seconds from now until the job is due.
    """

    team: str
    key: str
    service: manifest.Service
    priority: manifest.Priority
    due_s: float
    chunk_items: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedJob:
    """An accepted job; ``resubmitted`` is true if an earlier submission was accepted."""

    header: job_records.Header
    resubmitted: bool


def _refusal(code: errors.Code, message: str, **details: object) -> errors.Refusal:
    return errors.Refusal(code, message, step=_STEP, **details)  # type: ignore[arg-type]


async def split_lines(body: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
    """Split a body into its non-empty lines.

    :raises Refusal: ``TOO_LARGE`` for a line that exceeds the limit of one item.
    """
    rest = bytearray()
    async for data in body:
        rest += data
        if b"\n" in data:
            *complete_lines, last = rest.split(b"\n")
            rest = bytearray(last)
            for line in complete_lines:
                if line.strip():
                    yield bytes(line)
        if len(rest) > job_records.MAX_ITEM_BYTES:
            raise _refusal(errors.Code.TOO_LARGE, "an item's line is too large")
    if rest.strip():
        yield bytes(rest)


class _ItemReader:
    """Decodes lines to items and computes the digest of the submission."""

    def __init__(self, request: JobRequest) -> None:
        self._request = request
        self._custom_id_hashes: set[int] = set()
        self._digest = hashlib.sha256()
        self._decoder = msgspec.json.Decoder(ItemLine)
        for part in (request.service.name, request.priority.name):
            self._digest.update(part.encode() + b"\0")

    @property
    def digest(self) -> str:
        """The digest of the lines read so far."""
        return self._digest.hexdigest()

    def decode_item(self, line: bytes) -> job_records.Item:
        """Decode one line.

        :raises Refusal: ``BAD_REQUEST`` with the line's number, or ``TOO_LARGE``.
        """
        number = len(self._custom_id_hashes) + 1
        self._digest.update(line + b"\n")
        try:
            decoded = self._decoder.decode(line)
        except msgspec.MsgspecError as exc:
            raise _refusal(errors.Code.BAD_REQUEST, f"line {number}: {exc}") from exc
        id_hash = xxhash.xxh3_64_intdigest(decoded.custom_id.encode())
        if id_hash in self._custom_id_hashes:
            message = f"line {number}: custom_id {decoded.custom_id!r} comes twice"
            raise _refusal(errors.Code.BAD_REQUEST, message)
        self._custom_id_hashes.add(id_hash)
        if len(line) > job_records.MAX_ITEM_BYTES:
            raise _refusal(errors.Code.TOO_LARGE, f"line {number} is too large")
        if number > job_records.MAX_JOB_ITEMS:
            raise _refusal(errors.Code.TOO_LARGE, f"over {job_records.MAX_JOB_ITEMS} items")
        at_most_once = decoded.path.startswith(self._request.service.non_idempotent_routes)
        return job_records.Item(
            custom_id=decoded.custom_id,
            path=decoded.path,
            body=bytes(decoded.body),
            idempotent=decoded.idempotent and not at_most_once,
        )


class _Upload:
    """Writes items as input pieces of one upload."""

    def __init__(self, store: job_store.JobStore, job: str, upload: str) -> None:
        self._store = store
        self._job = job
        self._upload = upload
        self._items: list[job_records.Item] = []
        self._bytes = 0
        self.piece_items: list[int] = []

    async def add(self, item: job_records.Item) -> None:
        """Add an item to the current piece, after writing that piece if it is full."""
        size = len(item.body) + len(item.custom_id) + len(item.path) + 32
        if self._items and self._bytes + size > job_records.MAX_PART_BYTES:
            await self.flush()
        self._items.append(item)
        self._bytes += size

    async def flush(self) -> None:
        """Write the current piece."""
        if not self._items:
            return
        name = job_records.piece_name(self._job, self._upload, len(self.piece_items))
        value = job_records.encode(tuple(self._items))
        await self._store.retrying_writer().create(job_records.PIECE, name, value)
        self.piece_items.append(len(self._items))
        self._items, self._bytes = [], 0


async def submit(
    store: job_store.JobStore, request: JobRequest, body: AsyncIterable[bytes]
) -> AcceptedJob:
    """Accept a job, or return it if its key and body were accepted before.

    :raises Refusal: ``CONFLICT`` for another body under the same key, ``BAD_REQUEST``,
        ``TOO_LARGE``, ``DEADLINE``, or ``UNAVAILABLE`` with ``ran=no``; ``ran=unknown`` only if
        the outcome of the header's write is unknown.
    """
    job = job_store.job_id(request.team, request.key)
    with trio.move_on_after(UPLOAD_TIMEOUT_S):
        try:
            found = await store.header(request.team, job)
            if found and found.header.state is not job_records.JobState.ABANDONED:
                return await _compare_resubmission(found.header, request, body)
            return await _upload_job(store, request, job, body, found.version if found else 0)
        except platform.UnavailableError as exc:
            raise _unavailable(exc, errors.Ran.NO) from exc
    raise _refusal(errors.Code.DEADLINE, "the upload took too long")


def _unavailable(exc: platform.UnavailableError, ran: errors.Ran) -> errors.Refusal:
    return _refusal(
        errors.Code.UNAVAILABLE,
        f"the platform is out: {exc.message}; send the job again with the same key",
        ran=ran,
        retry_after_s=exc.retry_after_s or 5.0,
        peer="platform",
    )


async def _compare_resubmission(
    header: job_records.Header, request: JobRequest, body: AsyncIterable[bytes]
) -> AcceptedJob:
    """Compare a body with the body accepted under its key."""
    reader = _ItemReader(request)
    async for line in split_lines(body):
        reader.decode_item(line)
    return _accept_existing(header, reader.digest)


def _accept_existing(header: job_records.Header, digest: str) -> AcceptedJob:
    if header.digest != digest:
        raise _refusal(errors.Code.CONFLICT, "another job has this key")
    return AcceptedJob(header, resubmitted=True)


async def _upload_job(
    store: job_store.JobStore,
    request: JobRequest,
    job: str,
    body: AsyncIterable[bytes],
    tombstone: int,
) -> AcceptedJob:
    """Upload the items and create the header.

    :param tombstone: version of an abandoned header that is replaced, 0 if there is none.
    """
    now_s = store.unix_s()
    due_at_s = int((now_s + request.due_s) * 1000) / 1000
    upload = f"{int(now_s * 1000):012x}{secrets.token_hex(4)}"
    entry = job_records.open_name(due_at_s, request.team, job, upload)
    ledger = job_records.encode(claims.Ledger(created_at_s=now_s))
    await store.retrying_writer().create(job_records.OPEN, entry, ledger)
    pieces = _Upload(store, job, upload)
    try:
        reader = _ItemReader(request)
        async for line in split_lines(body):
            await pieces.add(reader.decode_item(line))
        await pieces.flush()
        if not pieces.piece_items:
            raise _refusal(errors.Code.BAD_REQUEST, "a job needs at least one item")
        header = job_records.Header(
            team=request.team,
            job=job,
            key=request.key,
            digest=reader.digest,
            service=request.service.name,
            priority=request.priority.name,
            price=request.priority.price,
            due_at_s=due_at_s,
            created_at_s=now_s,
            upload=upload,
            piece_items=tuple(pieces.piece_items),
            chunk_items=request.chunk_items,
        )
        accepted = await _create_header(store, header, tombstone)
    except (errors.Refusal, platform.UnavailableError) as exc:
        if getattr(exc, "ran", errors.Ran.NO) is errors.Ran.NO:
            await remove_upload(store, entry, job, upload)
        raise
    if accepted.resubmitted and accepted.header.upload != upload:
        await remove_upload(store, entry, job, upload)
    return accepted


async def _create_header(
    store: job_store.JobStore, header: job_records.Header, tombstone: int
) -> AcceptedJob:
    raw = job_records.encode(header)
    try:
        await store.retrying_writer().write(job_records.JOB, header.name, raw, tombstone)
    except platform.ConflictError as exc:
        if exc.current is None:
            raise _refusal(
                errors.Code.UNAVAILABLE, "the upload was given up; send it again"
            ) from exc
        other = job_records.decode(exc.current.value, job_records.Header)
        if other.state is job_records.JobState.ABANDONED:
            raise _refusal(
                errors.Code.UNAVAILABLE, "the upload was given up; send it again"
            ) from exc
        if other.upload == header.upload:
            return AcceptedJob(other, resubmitted=False)
        return _accept_existing(other, header.digest)
    except platform.UnavailableError as exc:
        ran = errors.Ran.UNKNOWN if exc.outcome_unknown else errors.Ran.NO
        raise _unavailable(exc, ran) from exc
    return AcceptedJob(header, resubmitted=False)


async def remove_upload(store: job_store.JobStore, entry: str, job: str, upload: str) -> None:
    """Remove the pieces and the index entry of an upload that is no job, without retries.

    The cleanup removes what is left if the platform is unavailable.
    """
    with trio.move_on_after(5.0, shield=True):
        try:
            await remove_objects(store.plat, job_records.PIECE, f"{job}.{upload}.")
            found = await store.plat.get(job_records.OPEN, entry)
            if found:
                await store.plat.delete(job_records.OPEN, entry, found.version)
        except (platform.UnavailableError, platform.ConflictError):
            return


async def remove_objects(plat: platform.Platform, kind: str, prefix: str) -> None:
    """Remove all objects of one kind under a prefix, a few at a time."""
    while found := await plat.list(kind, prefix=prefix, limit=4):
        for stored in found:
            await plat.delete(kind, stored.name, stored.version)
