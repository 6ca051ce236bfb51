"""Which of several workers starts an item, without a word from the store.

The pattern: all workers have room at the same moment, as a burst of online requests ends.
"""

import pytest

from cornelgrade.services.edge import job_repository, open_job

WORKERS = ("w1", "w2", "w3")
ITEMS = 30


def a_job() -> open_job.OpenJob:
    header = job_repository.JobHeader("j", "r", "h", 0, 0, 0, ITEMS, 0, 1)
    return open_job.OpenJob(header, 1, loaded_s=100.0)


def starters(job: open_job.OpenJob, index: int, now_s: float) -> list[str]:
    return [vm for vm in WORKERS if job.may_start(index, WORKERS, vm, now_s)]


def test_each_item_has_one_worker_at_first_and_one_more_with_each_step():
    job = a_job()
    for index in range(ITEMS):
        counts = [len(starters(job, index, 100.0 + s)) for s in (0.0, 0.29, 0.31, 0.59, 0.61)]
        assert counts == [1, 1, 2, 2, 3]
    assert {starters(job, index, 100.0)[0] for index in range(ITEMS)} == set(WORKERS)


def test_item_that_another_worker_had_is_free_for_one_worker_first_again():
    job = a_job()
    job.apply_claim("w2", 1 << 4, 0, now_s=200.0)
    assert len(starters(job, 4, 200.1)) == 1
    assert len(starters(job, 4, 200.7)) == 3


@pytest.mark.parametrize(
    ("now_s", "taken_s", "kept"), [(101.0, None, True), (108.0, None, False), (103.0, 102.0, False)]
)
def test_parked_item_is_claimed_until_its_time_is_over_or_another_took_it(now_s, taken_s, kept):
    job = a_job()
    job.interrupted_s[3] = 101.0
    if taken_s is not None:
        job.apply_claim("w2", 1 << 3, 0, taken_s)
    assert bool(job.claims_to_send(now_s) >> 3 & 1) is kept


def test_item_that_is_done_is_claimed_no_more():
    job = a_job()
    job.interrupted_s[3] = 101.0
    job.apply_claim("w2", 0, 1 << 3, 102.0)
    assert job.claims_to_send(102.0) == 0
    assert 3 not in job.startable_items(102.0)
