import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.policy import shared_allowance, token_bucket

LIMIT = token_bucket.RateLimit(20.0, 20.0)


# Guards against two sides of a network partition that both lease out the whole rate.
@given(heard=st.integers(1, 40), unheard=st.integers(0, 40))
def test_parts_of_vms_that_do_not_hear_each_other_add_up_to_the_rate(heard, unheard):
    expected = heard + unheard
    limit = token_bucket.RateLimit(6.0, 12.0)
    one = shared_allowance.owner_limit(limit, shared_allowance.Senders(heard, expected))
    other = shared_allowance.owner_limit(limit, shared_allowance.Senders(unheard, expected))
    alone = shared_allowance.fixed_part(limit, shared_allowance.Senders(1, expected))
    for parts in (one, other), (one, alone.scale(unheard)):
        assert sum(part.rate_per_s for part in parts) == pytest.approx(limit.rate_per_s)
        assert sum(part.burst for part in parts) == pytest.approx(limit.burst)


class Owner:
    """Grants single tokens as the owner of a limit does, on a clock of its own."""

    def __init__(self, now_s):
        self.bucket = token_bucket.Bucket.full(LIMIT, now_s)
        self.ledger = shared_allowance.GrantLedger(LIMIT.rate_per_s)

    def grant(self, vm, used, now_s):
        self.bucket = self.bucket.refill(now_s)
        self.bucket = self.bucket.drain(self.ledger.settle(vm, used, now_s))
        tokens = min(1, self.bucket.whole_tokens)
        self.bucket = self.bucket.drain(tokens)
        self.ledger.record_grant(vm, tokens, now_s)
        return tokens


def play(per_s, owner_changes_s, until_s=16.0, vms=10):
    """Send a team's requests through some VMs while owners change; return when they were sent."""
    used = {vm: shared_allowance.RecentTimes(shared_allowance.USE_MEMORY_S) for vm in range(vms)}
    sent, refused = [], 0
    owner = Owner(0.0)
    changes = list(owner_changes_s)
    for number in range(int(per_s * until_s)):
        now_s, vm = number / per_s, number % vms
        if changes and now_s >= changes[0]:
            owner = Owner(changes.pop(0))
        if owner.grant(str(vm), used[vm].count(now_s), now_s):
            used[vm].add(now_s)
            sent.append(now_s)
        else:
            refused += 1
    return sent, refused


# Guards against a second burst from each new owner: a hot team under restarts of the owners.
@pytest.mark.parametrize("per_s", [30.0, 150.0])
def test_limit_is_kept_to_when_its_owner_changes(per_s):
    sent, _ = play(per_s, (6.0, 7.0, 8.0, 11.0))
    window_s = 5.0
    most = max(sum(at <= other < at + window_s for other in sent) for at in sent)
    assert most <= (LIMIT.rate_per_s * window_s + LIMIT.burst) * 1.1 + 20


# Guards against a team that is refused below its rate, because a new owner counts what an earlier
# one granted.
def test_team_below_its_rate_is_not_refused_when_the_owner_changes():
    _, refused = play(0.9 * LIMIT.rate_per_s, (6.0, 7.0, 11.0))
    assert refused == 0


def test_tokens_used_without_a_grant_are_drained_once():
    ledger = shared_allowance.GrantLedger(0.0)
    ledger.record_grant("vm", 2, 0.0)
    assert ledger.settle("vm", 5, 1.0) == 3
    assert ledger.settle("vm", 5, 1.5) == 0
