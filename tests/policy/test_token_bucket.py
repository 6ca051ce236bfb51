import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.policy import token_bucket, upstream_limit


@given(st.lists(st.floats(0, 0.2), max_size=200))
def test_bucket_admits_no_more_than_rate_and_burst(gaps_s):
    limit = token_bucket.RateLimit(rate_per_s=10.0, burst=3)
    bucket = token_bucket.Bucket.full(limit, 0.0)
    now_s, passed = 0.0, 0
    for gap_s in gaps_s:
        now_s += gap_s
        bucket = bucket.refill(now_s)
        if bucket.whole_tokens:
            bucket = bucket.drain(1)
            passed += 1
    assert passed <= 3 + 10.0 * now_s + 1e-6


@given(
    rates=st.lists(st.floats(0.1, 50.0), min_size=1, max_size=20),
    steps=st.lists(st.floats(0.0, 0.7), min_size=1, max_size=60),
)
def test_bucket_gives_no_more_than_its_rate_and_one_burst(rates, steps):
    highest = max(rates)
    bucket, taken, now_s = token_bucket.Bucket(upstream_limit.rate_limit(rates[0]), 0.0), 0, 0.0
    for number, step_s in enumerate(steps):
        now_s += step_s
        bucket = bucket.refill(now_s, upstream_limit.rate_limit(rates[number % len(rates)]))
        tokens = bucket.whole_tokens
        bucket = bucket.drain(tokens)
        taken += tokens
    assert taken <= highest * now_s + upstream_limit.rate_limit(highest).capacity + 1e-6


def test_debt_is_paid_off_before_the_next_token():
    bucket = token_bucket.Bucket(upstream_limit.rate_limit(2.0), 0.0).drain(2).refill(1.0)
    assert bucket.whole_tokens == 0
    assert bucket.wait_s == pytest.approx(0.5)
    assert bucket.refill(1.5).whole_tokens == 1


# Guards against a process that stops because an upstream's ownership moves on under a request.
def test_bucket_without_a_rate_never_has_a_token():
    bucket = token_bucket.Bucket(token_bucket.RateLimit(0.0, 0.0), 0.0).refill(5.0)
    assert bucket.whole_tokens == 0
    assert bucket.wait_s == bucket.wait_behind_s(3) == float("inf")
