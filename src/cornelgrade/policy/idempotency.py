"""Idempotency keys: which attempt may run a request, and which response is kept.

The rules apply to one bucket of records, an object of the platform that is replaced as a whole by
conditional writes. :func:`apply` computes the bucket after a group of changes.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Iterable

import msgspec

ROOT_BITS = 3
ID_BITS = 128


class State(enum.StrEnum):
    """State of a request; ``UNKNOWN``: it was sent, but its outcome was not observed."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A stored response; ``parts`` names the objects that hold the body if it is large."""

    status: int
    content_type: str
    body: bytes
    parts: tuple[str, ...] = ()


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A request with an idempotency key.

    :param digest: hash of method, path and body.
    :param nonce: identifies the attempt that may dispatch the request.
    :param holder: process that made the attempt.
    :param started_at_s: Unix time of the claim.
    :param expires_at_s: Unix time after which the record is dropped.
    """

    digest: str
    nonce: str
    holder: str
    idempotent: bool
    state: State
    started_at_s: float
    expires_at_s: float
    answer: Answer | None = None


class Phase(enum.StrEnum):
    """Phase of a bucket; the records of a split one are in its two children."""

    OPEN = "open"
    SPLITTING = "splitting"
    SPLIT = "split"


class Bucket(msgspec.Struct, frozen=True, array_like=True):
    """Records whose ids share a prefix."""

    phase: Phase = Phase.OPEN
    records: dict[str, Record] = {}


class ChangeKind(enum.Enum):
    """Kind of a change.

    :cvar CLAIM: claim the request for an attempt.
    :cvar ANSWER: store the response.
    :cvar RELEASE: release a claim whose request was not run.
    :cvar DOUBT: record that the outcome of the request is unknown.
    """

    CLAIM = "claim"
    ANSWER = "answer"
    RELEASE = "release"
    DOUBT = "doubt"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change to a bucket.

    :param record: record to store; its nonce identifies the attempt.
    """

    kind: ChangeKind
    record_id: str
    record: Record


class Outcome(enum.Enum):
    """Result of a change."""

    RUN = "run"
    ANSWERED = "answered"
    JOIN = "join"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    STORED = "stored"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a change and the record stored after it."""

    outcome: Outcome
    record: Record | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeContext:
    """Inputs of a decision besides the bucket.

    :param now_s: Unix time.
    :param dead: holders that are known to have stopped.
    :param max_run_s: age above which the holder of a running record is presumed dead.
    """

    now_s: float
    dead_holders: frozenset[str] = frozenset()
    max_run_s: float = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """A bucket after a group of changes, with one verdict for each change."""

    bucket: Bucket
    changed: bool
    verdicts: tuple[Verdict, ...]


class ExistingState(enum.Enum):
    """Classification of the record that is stored under the id of a change."""

    NOTHING = "nothing"
    OTHER_BODY = "other_body"
    OWN = "own"
    DONE = "done"
    UNKNOWN = "unknown"
    RUNNING = "running"
    ORPHAN_IDEMPOTENT = "orphan_idempotent"
    ORPHAN_AT_MOST_ONCE = "orphan_at_most_once"


CLAIM_OUTCOMES: dict[ExistingState, Outcome] = {
    ExistingState.NOTHING: Outcome.RUN,
    ExistingState.OTHER_BODY: Outcome.CONFLICT,
    ExistingState.OWN: Outcome.RUN,
    ExistingState.DONE: Outcome.ANSWERED,
    ExistingState.UNKNOWN: Outcome.UNKNOWN,
    ExistingState.RUNNING: Outcome.JOIN,
    ExistingState.ORPHAN_IDEMPOTENT: Outcome.RUN,
    ExistingState.ORPHAN_AT_MOST_ONCE: Outcome.UNKNOWN,
}

ANSWER_OUTCOMES: dict[ExistingState, Outcome] = {
    ExistingState.NOTHING: Outcome.STORED,
    ExistingState.OTHER_BODY: Outcome.LOST,
    ExistingState.OWN: Outcome.STORED,
    ExistingState.DONE: Outcome.LOST,
    ExistingState.UNKNOWN: Outcome.STORED,
    ExistingState.RUNNING: Outcome.STORED,
    ExistingState.ORPHAN_IDEMPOTENT: Outcome.STORED,
    ExistingState.ORPHAN_AT_MOST_ONCE: Outcome.STORED,
}


def record_id(team: str, key: str) -> str:
    """Return the record id of a team's key, a hash in hexadecimal."""
    return hashlib.blake2b(f"{team}\0{key}".encode(), digest_size=ID_BITS // 8).hexdigest()


def bucket_name(rid: str, bits: int = ROOT_BITS) -> str:
    """Return the name of the bucket that holds a record at a depth of ``bits``."""
    return f"{int(rid, 16):0{ID_BITS}b}"[:bits]


def classify_existing(
    record: Record | None, wanted: Record, context: ChangeContext
) -> ExistingState:
    """Classify the stored record from the viewpoint of the attempt in ``wanted``."""
    if record is None:
        return ExistingState.NOTHING
    if record.digest != wanted.digest:
        return ExistingState.OTHER_BODY
    if record.state is State.DONE:
        return ExistingState.DONE
    if record.state is State.UNKNOWN:
        return ExistingState.UNKNOWN
    if record.nonce == wanted.nonce:
        return ExistingState.OWN
    if not is_orphaned(record, context):
        return ExistingState.RUNNING
    may_repeat = record.idempotent and wanted.idempotent
    return ExistingState.ORPHAN_IDEMPOTENT if may_repeat else ExistingState.ORPHAN_AT_MOST_ONCE


def is_orphaned(record: Record, context: ChangeContext) -> bool:
    """Return whether a running record's holder is dead or has taken too long."""
    expired = context.now_s - record.started_at_s > context.max_run_s
    return record.holder in context.dead_holders or expired


def reported_state(record: Record, context: ChangeContext) -> State:
    """Return the state of a record as reported to callers."""
    lost = record.state is State.RUNNING and is_orphaned(record, context)
    return State.UNKNOWN if lost else record.state


def _apply_claim(records: dict[str, Record], change: Change, context: ChangeContext) -> Verdict:
    existing = records.get(change.record_id)
    outcome = CLAIM_OUTCOMES[classify_existing(existing, change.record, context)]
    if outcome is not Outcome.RUN:
        return Verdict(outcome, existing)
    if existing is None or existing.nonce != change.record.nonce:
        records[change.record_id] = change.record
    return Verdict(outcome, records[change.record_id])


def _apply_answer(records: dict[str, Record], change: Change, context: ChangeContext) -> Verdict:
    existing = records.get(change.record_id)
    if existing is not None and existing.nonce == change.record.nonce and existing.answer:
        return Verdict(Outcome.STORED, existing)
    outcome = ANSWER_OUTCOMES[classify_existing(existing, change.record, context)]
    if outcome is Outcome.STORED:
        records[change.record_id] = change.record
        existing = change.record
    return Verdict(outcome, existing)


def _apply_release(records: dict[str, Record], change: Change, context: ChangeContext) -> Verdict:
    existing = records.get(change.record_id)
    if existing is None or existing.nonce != change.record.nonce or existing.answer:
        return Verdict(Outcome.LOST, existing)
    del records[change.record_id]
    return Verdict(Outcome.STORED, None)


def _apply_unknown(records: dict[str, Record], change: Change, context: ChangeContext) -> Verdict:
    existing = records.get(change.record_id)
    if existing is not None and (existing.nonce != change.record.nonce or existing.answer):
        return Verdict(Outcome.LOST, existing)
    records[change.record_id] = change.record
    return Verdict(Outcome.STORED, change.record)


_APPLY_BY_KIND = {
    ChangeKind.CLAIM: _apply_claim,
    ChangeKind.ANSWER: _apply_answer,
    ChangeKind.RELEASE: _apply_release,
    ChangeKind.DOUBT: _apply_unknown,
}


def apply(bucket: Bucket, changes: Iterable[Change], context: ChangeContext) -> ApplyResult:
    """Apply changes to an open bucket, in order, after dropping expired records.

    A release always counts as a change: its write advances the object's version, so that a delayed
    write of the released claim fails.
    """
    changes = tuple(changes)
    records = {k: r for k, r in bucket.records.items() if r.expires_at_s > context.now_s}
    before = dict(records)
    verdicts = tuple(_APPLY_BY_KIND[change.kind](records, change, context) for change in changes)
    must_write = any(change.kind is ChangeKind.RELEASE for change in changes)
    return ApplyResult(Bucket(bucket.phase, records), must_write or records != before, verdicts)


def split_bucket(name: str, bucket: Bucket) -> dict[str, Bucket]:
    """Split a bucket's records between its two children by the next bit of their ids."""
    parts: dict[str, dict[str, Record]] = {name + "0": {}, name + "1": {}}
    for rid, record in bucket.records.items():
        parts[bucket_name(rid, len(name) + 1)][rid] = record
    return {child: Bucket(Phase.OPEN, records) for child, records in parts.items()}


def encode(bucket: Bucket) -> bytes:
    """Encode a bucket for storage in the platform."""
    return msgspec.msgpack.encode(bucket)


def decode(raw: bytes) -> Bucket:
    """Decode a bucket.

    :raises msgspec.DecodeError: if ``raw`` is not a bucket.
    """
    return msgspec.msgpack.decode(raw, type=Bucket)
