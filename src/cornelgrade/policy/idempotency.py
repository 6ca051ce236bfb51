"""Idempotency keys: which attempt may run a request, and which answer stands.

Pure rules over one bucket of records. A bucket is one object of the platform, written as a whole
and conditionally; :func:`apply` says what it becomes when a group of changes goes into it.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Iterable

import msgspec

ROOT_BITS = 3
ID_BITS = 128


class State(enum.StrEnum):
    """What is known of a request; ``UNKNOWN`` means that it was sent and its end was not seen."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """An answer within its record, or the names of the objects that hold a large body."""

    status: int
    content_type: str
    body: bytes
    parts: tuple[str, ...] = ()


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One keyed request.

    :param digest: hash of method, path and body.
    :param nonce: the attempt that may dispatch it.
    :param holder: the process that made the attempt.
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
    """Life of a bucket: a split one lives on in its two children."""

    OPEN = "open"
    SPLITTING = "splitting"
    SPLIT = "split"


class Bucket(msgspec.Struct, frozen=True, array_like=True):
    """Records whose ids share a prefix."""

    phase: Phase = Phase.OPEN
    records: dict[str, Record] = {}


class ChangeKind(enum.Enum):
    """What a change does: claim, store an answer, give up unrun, give up with unknown outcome."""

    CLAIM = "claim"
    ANSWER = "answer"
    RELEASE = "release"
    DOUBT = "doubt"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change to a bucket.

    :param record: what the record should become; its nonce names the attempt.
    """

    kind: ChangeKind
    record_id: str
    record: Record


class Outcome(enum.Enum):
    """What became of a change."""

    RUN = "run"
    ANSWERED = "answered"
    JOIN = "join"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    STORED = "stored"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A change's outcome and the record that stands after it."""

    outcome: Outcome
    record: Record | None


@dataclasses.dataclass(frozen=True, slots=True)
class Sight:
    """What the decisions look at besides the bucket.

    :param now_s: Unix time.
    :param dead: holders that are known to be gone.
    :param max_run_s: age from which a running record is taken for its holder's remains.
    """

    now_s: float
    dead: frozenset[str] = frozenset()
    max_run_s: float = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """A bucket after a group of changes, with one verdict a change."""

    bucket: Bucket
    changed: bool
    verdicts: tuple[Verdict, ...]


class ExistingState(enum.Enum):
    """What a change finds under its id."""

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
    """Hash a team's key to the id of its record, in hexadecimal."""
    return hashlib.blake2b(f"{team}\0{key}".encode(), digest_size=ID_BITS // 8).hexdigest()


def bucket_name(rid: str, bits: int = ROOT_BITS) -> str:
    """Name the bucket that holds a record at a depth of ``bits``."""
    return f"{int(rid, 16):0{ID_BITS}b}"[:bits]


def classify_existing(record: Record | None, wanted: Record, context: Sight) -> ExistingState:
    """Classify what stands under an id, as seen by the attempt in ``wanted``."""
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


def is_orphaned(record: Record, context: Sight) -> bool:
    """Tell whether a running record's holder is gone or has taken too long."""
    expired = context.now_s - record.started_at_s > context.max_run_s
    return record.holder in context.dead or expired


def state_of(record: Record, context: Sight) -> State:
    """Give a record's state as callers are told it."""
    lost = record.state is State.RUNNING and is_orphaned(record, context)
    return State.UNKNOWN if lost else record.state


def _apply_claim(records: dict[str, Record], change: Change, context: Sight) -> Verdict:
    existing = records.get(change.record_id)
    outcome = CLAIM_OUTCOMES[classify_existing(existing, change.record, context)]
    if outcome is not Outcome.RUN:
        return Verdict(outcome, existing)
    if existing is None or existing.nonce != change.record.nonce:
        records[change.record_id] = change.record
    return Verdict(outcome, records[change.record_id])


def _apply_answer(records: dict[str, Record], change: Change, context: Sight) -> Verdict:
    existing = records.get(change.record_id)
    if existing is not None and existing.nonce == change.record.nonce and existing.answer:
        return Verdict(Outcome.STORED, existing)
    outcome = ANSWER_OUTCOMES[classify_existing(existing, change.record, context)]
    if outcome is Outcome.STORED:
        records[change.record_id] = change.record
        existing = change.record
    return Verdict(outcome, existing)


def _apply_release(records: dict[str, Record], change: Change, context: Sight) -> Verdict:
    existing = records.get(change.record_id)
    if existing is None or existing.nonce != change.record.nonce or existing.answer:
        return Verdict(Outcome.LOST, existing)
    del records[change.record_id]
    return Verdict(Outcome.STORED, None)


def _apply_unknown(records: dict[str, Record], change: Change, context: Sight) -> Verdict:
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


def apply(bucket: Bucket, changes: Iterable[Change], context: Sight) -> ApplyResult:
    """Put changes into an open bucket, in order, after dropping expired records.

    A release always counts as a change: the write moves the object's version, so that a write of
    the released claim that is still on its way can no longer take effect.
    """
    changes = tuple(changes)
    records = {k: r for k, r in bucket.records.items() if r.expires_at_s > context.now_s}
    before = dict(records)
    verdicts = tuple(_APPLY_BY_KIND[change.kind](records, change, context) for change in changes)
    must_write = any(change.kind is ChangeKind.RELEASE for change in changes)
    return ApplyResult(Bucket(bucket.phase, records), must_write or records != before, verdicts)


def halves(name: str, bucket: Bucket) -> dict[str, Bucket]:
    """Divide a bucket's records between its two children by the next bit of their ids."""
    parts: dict[str, dict[str, Record]] = {name + "0": {}, name + "1": {}}
    for rid, record in bucket.records.items():
        parts[bucket_name(rid, len(name) + 1)][rid] = record
    return {child: Bucket(Phase.OPEN, records) for child, records in parts.items()}


def encode(bucket: Bucket) -> bytes:
    """Encode a bucket as the platform holds it."""
    return msgspec.msgpack.encode(bucket)


def decode(raw: bytes) -> Bucket:
    """Decode a bucket.

    :raises msgspec.DecodeError: if it is none.
    """
    return msgspec.msgpack.decode(raw, type=Bucket)
