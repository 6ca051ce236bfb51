"""The rules over one bucket whose conditional writes land late, in any order, or unheard."""

import dataclasses

from hypothesis import settings, stateful
from hypothesis import strategies as st

from cornelgrade.policy import idempotency
from cornelgrade.policy.idempotency import ChangeKind, Outcome, State

RID = idempotency.record_id("afya", "k")
SIGHT = idempotency.Sight(now_s=0.0, dead=frozenset({"gone"}))


@dataclasses.dataclass
class Write:
    """A conditional write on its way."""

    base: int
    bucket: idempotency.Bucket


@dataclasses.dataclass
class Attempt:
    """One attempt; ``write`` is its last write, whose fate it may not know."""

    record: idempotency.Record
    kind: ChangeKind = ChangeKind.CLAIM
    write: Write | None = None
    released: bool = False
    dispatched: bool = False


class Protocol(stateful.RuleBasedStateMachine):
    """Several attempts at one key that may not be repeated."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self.bucket = idempotency.Bucket()
        self.attempts = []
        self.on_their_way = []
        self.stored = None

    @stateful.rule(holder=st.sampled_from(["one", "two", "gone"]))
    def start(self, holder):
        nonce = f"n{len(self.attempts)}"
        record = idempotency.Record("d", nonce, holder, False, State.RUNNING, 0.0, 9.0)
        self.attempts.append(Attempt(record))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=st.data())
    def read_and_write(self, data):
        """Read the bucket and act on it as the committer does; also after an unheard write."""
        attempt = data.draw(st.sampled_from(self.attempts))
        if attempt.released:
            return
        change = idempotency.Change(attempt.kind, RID, attempt.record)
        applied = idempotency.apply(self.bucket, [change], SIGHT)
        if applied.changed:
            attempt.write = Write(self.version, applied.bucket)
            self.on_their_way.append((attempt, attempt.write))
        else:
            self.conclude(attempt, applied.verdicts[0].outcome)

    @stateful.precondition(lambda self: self.on_their_way)
    @stateful.rule(data=st.data(), heard=st.booleans())
    def land(self, data, heard):
        index = data.draw(st.integers(0, len(self.on_their_way) - 1))
        attempt, write = self.on_their_way.pop(index)
        if write.base != self.version:
            return
        self.version += 1
        self.bucket = write.bucket
        if heard and attempt.write is write:
            self.conclude(attempt, Outcome.RUN)

    def conclude(self, attempt, outcome):
        if attempt.kind is ChangeKind.RELEASE:
            attempt.released = True
        elif attempt.kind is ChangeKind.CLAIM and outcome is Outcome.RUN:
            attempt.dispatched = True

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=st.data())
    def give_up(self, data):
        """The caller has gone before it learnt the outcome of its claim."""
        attempt = data.draw(st.sampled_from(self.attempts))
        if not attempt.dispatched and attempt.kind is ChangeKind.CLAIM:
            attempt.kind = ChangeKind.RELEASE

    @stateful.precondition(lambda self: any(a.dispatched for a in self.attempts))
    @stateful.rule(answered=st.booleans())
    def end(self, answered):
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
