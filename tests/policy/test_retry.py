import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade import errors
from cornelgrade.adapters import engine
from cornelgrade.policy import retry


@pytest.mark.parametrize(
    ("progress", "idempotent", "then", "ran"),
    [
        ("NOT_SENT", True, "ELSEWHERE", "NO"),
        ("NOT_SENT", False, "ELSEWHERE", "NO"),
        ("SENT", True, "ELSEWHERE", "UNKNOWN"),
        ("SENT", False, "FAIL", "UNKNOWN"),
        ("PART_ANSWERED", True, "RESUME", "YES"),
        ("PART_ANSWERED", False, "FAIL", "UNKNOWN"),
        ("ANSWERED", True, "FAIL", "YES"),
        ("ANSWERED", False, "FAIL", "YES"),
    ],
)
def test_rule_for_each_progress_and_idempotence(progress, idempotent, then, ran):
    rule = retry.after_failure(engine.Progress[progress], idempotent)
    assert rule == retry.Rule(retry.FailureAction[then], errors.Ran[ran])


def test_not_run_is_reported_only_if_no_byte_was_sent():
    for progress, idempotent in itertools.product(engine.Progress, (True, False)):
        rule = retry.after_failure(progress, idempotent)
        assert (rule.ran is errors.Ran.NO) == (progress is engine.Progress.NOT_SENT)


def test_non_idempotent_request_that_may_have_run_is_never_retried():
    for progress in set(engine.Progress) - {engine.Progress.NOT_SENT}:
        assert retry.after_failure(progress, False).then is retry.FailureAction.FAIL


@given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_within_the_share_of_successes(outcomes):
    budget = retry.Budget()
    retries = 0
    for succeeded in outcomes:
        if succeeded:
            budget = retry.earn(budget, 0.1)
            continue
        left = retry.spend(budget)
        if left is not None:
            budget = left
            retries += 1
    assert retries <= 10 + 0.1 * sum(outcomes)


@pytest.mark.parametrize(
    ("earlier", "last", "combined"),
    [("NO", "NO", "NO"), ("UNKNOWN", "NO", "UNKNOWN"), ("NO", "YES", "YES")],
)
def test_attempt_that_may_have_run_takes_precedence(earlier, last, combined):
    found = retry.combine_ran(errors.Ran[earlier], errors.Ran[last])
    assert found is errors.Ran[combined]
