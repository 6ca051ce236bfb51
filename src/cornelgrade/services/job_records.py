"""Records of batch jobs as the platform holds them, and their compact encoding."""

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
    """State of a job; ``ABANDONED`` marks an upload that never became a job."""

    OPEN = "open"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    DONE = "done"
    ABANDONED = "abandoned"


FINAL = frozenset({JobState.CANCELLED, JobState.DONE, JobState.ABANDONED})


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One item of a job as its caller sent it.

    :param body: the JSON body of the call.
    :param idempotent: whether it may run more than once.
    """

    custom_id: str
    path: str
    body: bytes
    idempotent: bool = True


class Header(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A job; its creation is the job's acceptance. Times are Unix seconds.

    :param upload: names the input pieces that belong to it.
    :param piece_items: number of items in each input piece.
    :param digest: hash of the body and of what else makes two submissions the same.
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
        """Give the number of items in one chunk."""
        return min(self.chunk_items, self.items - chunk * self.chunk_items)


class OutcomeKind(enum.StrEnum):
    """How an item ended."""

    OK = "ok"
    ERROR = "error"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    PENDING = "pending"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """The end of one item.

    :param index: position within its chunk.
    :param status: HTTP status of the upstream's answer, 0 if there was none.
    :param body: the answer, or a message that says why there is none.
    """

    index: int
    kind: OutcomeKind
    status: int = 0
    body: bytes = b""
    upstream: str = ""
    attempts: int = 0


class Spill(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes that did not fit into their chunk object, kept in ``parts`` result objects."""

    name: str
    parts: int
    indices: tuple[int, ...]
    tally: claims.Tally


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one chunk; every write of it is conditional.

    :param started: indices of non-idempotent items that may have been dispatched.
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
        """Give the indices of items that have ended."""
        ended = {outcome.index for outcome in self.outcomes}
        return ended.union(*(spill.indices for spill in self.spills))


def count_outcomes(outcomes: Iterable[Outcome]) -> claims.Tally:
    """Count outcomes by kind."""
    numbers = collections.Counter(outcome.kind.value for outcome in outcomes)
    return claims.Tally(**numbers)


def header_name(team: str, job: str) -> str:
    """Name a header, so that a team's jobs share a prefix."""
    return f"{team}:{job}"


def open_name(due_at_s: float, team: str, job: str, upload: str) -> str:
    """Name an entry of the index of open jobs, so that a list gives the earliest due first."""
    return f"{int(due_at_s * 1000):015d}:{team}:{job}:{upload}"


def piece_name(job: str, upload: str, number: int) -> str:
    """Name an input piece."""
    return f"{job}.{upload}.{number:06d}"


def chunk_name(job: str, upload: str, chunk: int) -> str:
    """Name a chunk object; a job that reuses an abandoned one's key shares nothing with it."""
    return f"{job}.{upload}.{chunk:06d}"


def encode(record: msgspec.Struct | tuple[msgspec.Struct, ...]) -> bytes:
    """Encode a record."""
    return msgspec.msgpack.encode(record)


def decode(raw: bytes, kind: type[T]) -> T:
    """Decode a record."""
    return msgspec.msgpack.decode(raw, type=kind)
