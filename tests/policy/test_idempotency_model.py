"""Idempotency rules over a bucket whose writes take effect late, reordered or without response.

Guards against a second dispatch of a request that may not be repeated, a released claim that
reappears and a stored response that changes.
"""

import dataclasses

from hypothesis import settings, stateful
from hypothesis import strategies as st

from cornelgrade.policy import idempotency
from cornelgrade.policy.idempotency import ChangeKind, Outcome, State

RID = idempotency.record_id("afya", "k")
SIGHT = idempotency.ChangeContext(now_s=0.0, dead_holders=frozenset({"gone"}))


@dataclasses.dataclass
class Write:
    """A conditional write in transit."""

    base: int
    bucket: idempotency.Bucket


@dataclasses.dataclass
class Attempt:
    """One attempt; ``write`` is its last write, whose outcome may be unknown to it."""

    record: idempotency.Record
    kind: ChangeKind = ChangeKind.CLAIM
    write: Write | None = None
    released: bool = False
    dispatched: bool = False


class Protocol(stateful.RuleBasedStateMachine):
    """Several attempts to run one non-idempotent request under one key."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self.bucket = idempotency.Bucket()
        self.attempts = []
        self.in_transit = []
        self.stored = None

    @stateful.rule(holder=st.sampled_from(["one", "two", "gone"]))
    def start(self, holder):
        nonce = f"n{len(self.attempts)}"
        record = idempotency.Record("d", nonce, holder, False, State.RUNNING, 0.0, 9.0)
        self.attempts.append(Attempt(record))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=st.data())
    def read_and_write(self, data):
        """Read the bucket and write the change, also if the response to the last write was lost."""
        attempt = data.draw(st.sampled_from(self.attempts))
        if attempt.released:
            return
        change = idempotency.Change(attempt.kind, RID, attempt.record)
        applied = idempotency.apply(self.bucket, [change], SIGHT)
        if applied.changed:
            attempt.write = Write(self.version, applied.bucket)
            self.in_transit.append((attempt, attempt.write))
        else:
            self.apply_outcome(attempt, applied.verdicts[0].outcome)

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule(data=st.data(), response_received=st.booleans())
    def apply_write(self, data, response_received):
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        attempt, write = self.in_transit.pop(index)
        if write.base != self.version:
            return
        self.version += 1
        self.bucket = write.bucket
        if response_received and attempt.write is write:
            self.apply_outcome(attempt, Outcome.RUN)

    def apply_outcome(self, attempt, outcome):
        if attempt.kind is ChangeKind.RELEASE:
            attempt.released = True
        elif attempt.kind is ChangeKind.CLAIM and outcome is Outcome.RUN:
            attempt.dispatched = True

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=st.data())
    def release_claim(self, data):
        """Release a claim whose caller disconnected before its outcome was known."""
        attempt = data.draw(st.sampled_from(self.attempts))
        if not attempt.dispatched and attempt.kind is ChangeKind.CLAIM:
            attempt.kind = ChangeKind.RELEASE

    @stateful.precondition(lambda self: any(a.dispatched for a in self.attempts))
    @stateful.rule(answered=st.booleans())
    def finish(self, answered):
        attempt = next(a for a in self.attempts if a.dispatched)
        if attempt.kind is not ChangeKind.CLAIM:
            return
        attempt.kind = ChangeKind.ANSWER if answered else ChangeKind.DOUBT
        answer = idempotency.Answer(200, "", attempt.record.nonce.encode()) if answered else None
        state = State.DONE if answered else State.UNKNOWN
        record = attempt.record
        attempt.record = idempotency.Record(
            record.digest, record.nonce, record.holder, False, state, 0.0, 9.0, answer
        )

    @stateful.invariant()
    def dispatched_at_most_once(self):
        assert sum(attempt.dispatched for attempt in self.attempts) <= 1

    @stateful.invariant()
    def released_claim_never_stands_again(self):
        standing = self.bucket.records.get(RID)
        nonces = {a.record.nonce for a in self.attempts if a.released}
        assert standing is None or standing.nonce not in nonces

    @stateful.invariant()
    def stored_answer_never_changes(self):
        standing = self.bucket.records.get(RID)
        answer = standing.answer if standing else None
        assert self.stored is None or answer == self.stored
        self.stored = answer


TestProtocol = Protocol.TestCase
TestProtocol.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
