"""Records of batch jobs as stored in the platform, and their compact encoding."""

import collections
import enum
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from cornelgrade.policy import claims

T = TypeVar("T")

JOB = "job"
OPEN = "open"
PIECE = "piece"
CHUNK = "chunk"
RESULT = "result"

MAX_PART_BYTES = 900_000
MAX_ITEM_BYTES = 900_000
MAX_JOB_ITEMS = 200_000


class JobState(enum.StrEnum):
    """State of a job; ``ABANDONED`` marks an upload that can no longer become a job."""

    OPEN = "open"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    DONE = "done"
    ABANDONED = "abandoned"


FINAL_STATES = frozenset({JobState.CANCELLED, JobState.DONE, JobState.ABANDONED})


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One item of a job as submitted by its caller.

    :param body: the JSON body of the call.
    :param idempotent: whether it may run more than once.
    """

    custom_id: str
    path: str
    body: bytes
    idempotent: bool = True


class Header(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Header of a job; its creation accepts the job. Times are Unix seconds.

    :param upload: id of the upload, part of the names of the job's input pieces.
    :param piece_items: number of items in each input piece.
    :param digest: hash of the body, the service and the priority; equal for equal submissions.
    """

    team: str
    job: str
    key: str
    digest: str
    service: str
    priority: str
    price: float
    due_at_s: float
    created_at_s: float
    upload: str
    piece_items: tuple[int, ...]
    chunk_items: int
    state: JobState = JobState.OPEN
    ended_at_s: float = 0.0
    tally: claims.Tally = claims.Tally()

    @property
    def items(self) -> int:
        """The number of items."""
        return sum(self.piece_items)

    @property
    def chunks(self) -> int:
        """The number of chunks."""
        return -(-self.items // self.chunk_items)

    @property
    def name(self) -> str:
        """The object name of the header."""
        return header_name(self.team, self.job)

    @property
    def open_name(self) -> str:
        """The object name of the job's entry in the index of open jobs."""
        return open_name(self.due_at_s, self.team, self.job, self.upload)

    def chunk_size(self, chunk: int) -> int:
        """Return the number of items in one chunk."""
        return min(self.chunk_items, self.items - chunk * self.chunk_items)


class OutcomeKind(enum.StrEnum):
    """How an item ended."""

    OK = "ok"
    ERROR = "error"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    PENDING = "pending"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one item.

    :param index: position within its chunk.
    :param status: HTTP status of the upstream's response, 0 if there was none.
    :param body: the response, or a message that says why there is none.
    """

    index: int
    kind: OutcomeKind
    status: int = 0
    body: bytes = b""
    upstream: str = ""
    attempts: int = 0


class Spill(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes that exceed the size of a chunk object, stored in ``parts`` result objects."""

    name: str
    parts: int
    indices: tuple[int, ...]
    tally: claims.Tally


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one chunk; all writes of it are conditional.

    :param started: indices of non-idempotent items that may have been sent to an upstream.
    :param final: every item has its outcome, or the job was cancelled.
    """

    epoch: int
    holder: str
    started: tuple[int, ...] = ()
    attempts: tuple[tuple[int, int], ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    spills: tuple[Spill, ...] = ()
    final: bool = False

    def tally(self) -> claims.Tally:
        """Count the ended items by outcome."""
        total = count_outcomes(self.outcomes)
        for spill in self.spills:
            total = total.plus(spill.tally)
        return total

    def ended(self) -> set[int]:
        """Return the indices of items that have ended."""
        ended = {outcome.index for outcome in self.outcomes}
        return ended.union(*(spill.indices for spill in self.spills))


def count_outcomes(outcomes: Iterable[Outcome]) -> claims.Tally:
    """Count outcomes by kind."""
    numbers = collections.Counter(outcome.kind.value for outcome in outcomes)
    return claims.Tally(**numbers)


def header_name(team: str, job: str) -> str:
    """Return the object name of a header; a team's jobs share a prefix."""
    return f"{team}:{job}"


def open_name(due_at_s: float, team: str, job: str, upload: str) -> str:
    """Return the name of an entry in the index of open jobs; a list is in order of due time."""
    return f"{int(due_at_s * 1000):015d}:{team}:{job}:{upload}"


def piece_name(job: str, upload: str, number: int) -> str:
    """Return the object name of an input piece."""
    return f"{job}.{upload}.{number:06d}"


def chunk_name(job: str, upload: str, chunk: int) -> str:
    """Return the object name of a chunk.

    It includes the upload, so that a job never shares chunks with an abandoned upload of its key.
    """
    return f"{job}.{upload}.{chunk:06d}"


def encode(record: msgspec.Struct | tuple[msgspec.Struct, ...]) -> bytes:
    """Encode a record."""
    return msgspec.msgpack.encode(record)


def decode(raw: bytes, kind: type[T]) -> T:
    """Decode a record."""
    return msgspec.msgpack.decode(raw, type=kind)
