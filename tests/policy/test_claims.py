import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cornelgrade.policy import claims

ME = claims.Holder("vm1", "a")
OTHER = "vm2/b"


def ledger(chunks: int = 10) -> claims.Ledger:
    return claims.Ledger(created_at_s=0.0, chunks=chunks)


@pytest.mark.parametrize(
    ("holder", "age_s", "usable", "expected"),
    [
        ("vm1/a", 1000.0, {"vm1"}, False),
        ("vm1/earlier", 0.0, {"vm1"}, True),
        ("", 0.0, {"vm1"}, True),
        (OTHER, 19.9, {"vm1", "vm2"}, False),
        (OTHER, 20.0, {"vm1", "vm2"}, True),
        (OTHER, 4.9, {"vm1"}, False),
        (OTHER, 5.0, {"vm1"}, True),
    ],
)
def test_claim_expires_after_its_lease_or_earlier_if_its_vm_is_gone(
    holder, age_s, usable, expected
):
    claim = claims.Claim(0, holder, 1, 20.0)
    assert claims.is_expired(claim, ME, 100.0, 100.0 + age_s, frozenset(usable), 5.0) is expected


def test_renewal_resets_the_first_seen_time():
    sightings = claims.FirstSeenTimes()
    taken = claims.claim_chunks(ledger(), ME, 1, 10.0, frozenset()).ledger
    sightings.observe("job", taken, 1.0)
    renewed = claims.renew_claims(taken, str(ME), frozenset({0}))
    assert sightings.observe("job", taken, 5.0) == {taken.claims[0]: 1.0}
    assert sightings.observe("job", renewed, 6.0) == {renewed.claims[0]: 6.0}


def test_closed_ledger_grants_no_claims():
    closed = claims.close_ledger(ledger())
    assert claims.claim_chunks(closed, ME, 5, 10.0, frozenset()).new_claims == ()


def test_ledger_with_a_holder_is_not_closed():
    taken = claims.claim_chunks(ledger(), ME, 1, 10.0, frozenset()).ledger
    assert claims.close_ledger(taken) is taken
    returned = claims.release_claims(taken, frozenset(taken.claims))
    assert claims.close_ledger(returned).closed


def test_ending_a_claim_that_was_taken_over_changes_nothing():
    mine = claims.claim_chunks(ledger(), ME, 1, 10.0, frozenset())
    lost = claims.claim_chunks(
        mine.ledger, claims.Holder("vm2", "b"), 1, 10.0, frozenset(mine.new_claims)
    )
    assert claims.record_ended(lost.ledger, {mine.new_claims[0]: claims.Tally(ok=5)}) == lost.ledger
    assert lost.taken_over[0].epoch == 2


STEPS = st.lists(
    st.tuples(st.sampled_from(["take", "steal", "end", "return"]), st.integers(0, 3)), max_size=60
)


@settings(max_examples=150, deadline=None)
@given(steps=STEPS, chunks=st.integers(1, 12))
def test_every_chunk_is_tallied_at_most_once_whatever_the_order(steps, chunks):
    now = ledger(chunks)
    holders = [claims.Holder(f"vm{number}", "x") for number in range(4)]
    held: dict[int, set[claims.Claim]] = {number: set() for number in range(4)}
    for action, who in steps:
        lapsed = frozenset(now.claims) if action == "steal" else frozenset()
        if action in ("take", "steal"):
            taken = claims.claim_chunks(now, holders[who], 2, 1.0, lapsed)
            held[who] |= {*taken.new_claims, *taken.taken_over}
            now = taken.ledger
        elif held[who]:
            claim = min(held[who], key=lambda one: (one.chunk, one.epoch))
            held[who].discard(claim)
            if action == "end":
                now = claims.record_ended(now, {claim: claims.Tally(ok=1)})
            else:
                now = claims.release_claims(now, frozenset({claim}))
        claimed = [claim.chunk for claim in now.claims]
        assert len(claimed) == len(set(claimed))
        assert now.tally.ended + len(claimed) == now.next_chunk <= chunks
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(now), type=claims.Ledger) == now
