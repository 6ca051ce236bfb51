"""Which of several workers may start an item, decided without the store.

Guards against duplicate runs of an item when all workers have free slots at the same moment, as at
the end of a burst of online requests.
"""

import pytest

from cornelgrade.services.edge import job_repository, open_job

WORKERS = ("w1", "w2", "w3")
ITEMS = 30


def make_job() -> open_job.OpenJob:
    header = job_repository.JobHeader("j", "r", "h", 0, 0, 0, ITEMS, 0, 1)
    return open_job.OpenJob(header, 1, loaded_s=100.0)


def workers_that_may_start(job: open_job.OpenJob, index: int, now_s: float) -> list[str]:
    return [vm for vm in WORKERS if job.may_start(index, WORKERS, vm, now_s)]


def test_item_may_start_at_one_worker_first_and_at_one_more_with_each_step():
    job = make_job()
    for index in range(ITEMS):
        counts = [
            len(workers_that_may_start(job, index, 100.0 + s))
            for s in (0.0, 0.29, 0.31, 0.59, 0.61)
        ]
        assert counts == [1, 1, 2, 2, 3]
    assert {workers_that_may_start(job, index, 100.0)[0] for index in range(ITEMS)} == set(WORKERS)


def test_item_released_by_another_worker_may_start_at_one_worker_first():
    job = make_job()
    job.apply_claim("w2", 1 << 4, 0, now_s=200.0)
    assert len(workers_that_may_start(job, 4, 200.1)) == 1
    assert len(workers_that_may_start(job, 4, 200.7)) == 3


@pytest.mark.parametrize(
    ("now_s", "taken_s", "kept"), [(101.0, None, True), (108.0, None, False), (103.0, 102.0, False)]
)
def test_interrupted_item_is_claimed_until_it_expires_or_another_worker_claims_it(
    now_s, taken_s, kept
):
    job = make_job()
    job.interrupted_s[3] = 101.0
    if taken_s is not None:
        job.apply_claim("w2", 1 << 3, 0, taken_s)
    assert bool(job.claims_to_send(now_s) >> 3 & 1) is kept


def test_completed_item_is_no_longer_claimed():
    job = make_job()
    job.interrupted_s[3] = 101.0
    job.apply_claim("w2", 0, 1 << 3, 102.0)
    assert job.claims_to_send(102.0) == 0
    assert 3 not in job.startable_items(102.0)
