import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cornelgrade.policy import idempotency
from cornelgrade.policy.idempotency import ChangeKind, Outcome, State

NOW_S = 1_000.0
SIGHT = idempotency.ChangeContext(NOW_S, frozenset({"gone/1"}), max_run_s=100.0)
ANSWER = idempotency.Answer(200, "text/plain", b"first")
RID = idempotency.record_id("afya", "k")


def record(nonce="n1", **change):
    made = idempotency.Record("d", nonce, "vm/1", False, State.RUNNING, NOW_S, NOW_S + 500)
    return msgspec.structs.replace(made, **change)


def done(nonce="n1", body=b"first"):
    answer = idempotency.Answer(200, "text/plain", body)
    return record(nonce, state=State.DONE, answer=answer)


def apply(existing, kind, wanted):
    bucket = idempotency.Bucket(records={RID: existing} if existing else {})
    applied = idempotency.apply(bucket, [idempotency.Change(kind, RID, wanted)], SIGHT)
    return applied, applied.bucket.records.get(RID)


@pytest.mark.parametrize(
    ("existing", "outcome", "kept_nonce"),
    [
        (None, Outcome.RUN, "n2"),
        (record("n2"), Outcome.RUN, "n2"),
        (record(), Outcome.JOIN, "n1"),
        (record(digest="other"), Outcome.CONFLICT, "n1"),
        (done(), Outcome.ANSWERED, "n1"),
        (record(state=State.UNKNOWN), Outcome.UNKNOWN, "n1"),
        (record(holder="gone/1"), Outcome.UNKNOWN, "n1"),
        (record(started_at_s=NOW_S - 101), Outcome.UNKNOWN, "n1"),
        (record(holder="gone/1", idempotent=True), Outcome.UNKNOWN, "n1"),
        (record(expires_at_s=NOW_S - 1), Outcome.RUN, "n2"),
    ],
)
def test_claim_of_a_non_idempotent_request(existing, outcome, kept_nonce):
    applied, after = apply(existing, ChangeKind.CLAIM, record("n2"))
    assert applied.verdicts[0].outcome is outcome
    assert after.nonce == kept_nonce


@pytest.mark.parametrize(
    ("existing", "outcome", "kept_nonce"),
    [
        (record(idempotent=True), Outcome.JOIN, "n1"),
        (record(idempotent=True, holder="gone/1"), Outcome.RUN, "n2"),
        (record(idempotent=True, started_at_s=NOW_S - 101), Outcome.RUN, "n2"),
        (record(idempotent=False, holder="gone/1"), Outcome.UNKNOWN, "n1"),
    ],
)
def test_claim_of_an_idempotent_request(existing, outcome, kept_nonce):
    applied, after = apply(existing, ChangeKind.CLAIM, record("n2", idempotent=True))
    assert applied.verdicts[0].outcome is outcome
    assert after.nonce == kept_nonce


@pytest.mark.parametrize(
    ("existing", "outcome", "body"),
    [
        (None, Outcome.STORED, b"second"),
        (record("n2"), Outcome.STORED, b"second"),
        (record("n1"), Outcome.STORED, b"second"),
        (record("n2", state=State.UNKNOWN), Outcome.STORED, b"second"),
        (done("n1"), Outcome.LOST, b"first"),
        (done("n2", b"second"), Outcome.STORED, b"second"),
    ],
)
def test_first_response_is_kept(existing, outcome, body):
    applied, after = apply(existing, ChangeKind.ANSWER, done("n2", b"second"))
    assert applied.verdicts[0].outcome is outcome
    assert after.answer.body == body


@pytest.mark.parametrize(
    ("existing", "left"),
    [(None, None), (record("n2"), None), (record("n1"), "n1"), (done("n2"), "n2")],
)
def test_release_removes_only_its_own_unanswered_claim(existing, left):
    applied, after = apply(existing, ChangeKind.RELEASE, record("n2"))
    assert (after and after.nonce) == left
    assert applied.changed, "the write must advance the version past a claim still in transit"


@pytest.mark.parametrize(
    ("existing", "state"),
    [
        (None, State.UNKNOWN),
        (record("n2"), State.UNKNOWN),
        (record("n1"), State.RUNNING),
        (done("n2"), State.DONE),
    ],
)
def test_unknown_outcome_is_stored_unless_another_attempt_or_a_response_exists(existing, state):
    _, after = apply(existing, ChangeKind.DOUBT, record("n2", state=State.UNKNOWN))
    assert after.state is state


def test_only_the_first_claim_of_a_group_runs():
    claims = [idempotency.Change(ChangeKind.CLAIM, RID, record(f"n{i}")) for i in range(5)]
    applied = idempotency.apply(idempotency.Bucket(), claims, SIGHT)
    outcomes = [verdict.outcome for verdict in applied.verdicts]
    assert outcomes == [Outcome.RUN, *[Outcome.JOIN] * 4]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.integers().map(str), max_size=200, unique=True))
def test_split_puts_every_record_in_the_bucket_of_its_key(keys):
    parent = idempotency.bucket_name(RID)
    ids = [idempotency.record_id("t", key) for key in keys]
    records = {rid: record(rid) for rid in ids if idempotency.bucket_name(rid) == parent}
    bucket = idempotency.Bucket(records=records)
    halves = idempotency.split_bucket(parent, bucket)
    for rid, kept in records.items():
        assert halves[idempotency.bucket_name(rid, len(parent) + 1)].records[rid] == kept
    assert sum(len(half.records) for half in halves.values()) == len(records)
    assert idempotency.decode(idempotency.encode(bucket)) == bucket


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(ChangeKind)), st.sampled_from(["n1", "n2", "n3"]), st.booleans()
        ),
        max_size=20,
    )
)
def test_stored_response_never_changes_and_changes_are_idempotent(steps):
    bucket, stored = idempotency.Bucket(), None
    for kind, nonce, idempotent in steps:
        wanted = done(nonce, nonce.encode()) if kind is ChangeKind.ANSWER else record(nonce)
        wanted = msgspec.structs.replace(wanted, idempotent=idempotent)
        change = idempotency.Change(kind, RID, wanted)
        bucket = idempotency.apply(bucket, [change], SIGHT).bucket
        assert idempotency.apply(bucket, [change], SIGHT).bucket == bucket
        existing = bucket.records.get(RID)
        if stored is not None:
            assert existing.answer == stored
        stored = existing.answer if existing else None
