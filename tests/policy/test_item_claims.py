"""Which of several workers may start an item, decided without the store.

Guards against duplicate runs of an item when all workers have free slots at the same moment, as at
the end of a burst of online requests.
"""

import pytest

from cornelgrade.adapters import peer_key
from cornelgrade.policy import item_claims
from cornelgrade.schema import codec, messages
from cornelgrade.services.edge import claim_exchange, job_repository, open_job

WORKERS = ("w1", "w2", "w3")
ITEMS = 30


def make_job() -> open_job.OpenJob:
    header = job_repository.JobHeader("j", "r", "h", 0, 0, 0, ITEMS, 0, 1)
    return open_job.OpenJob(header, 1, known_s=100.0)


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
    job.apply_claim("w2", messages.JobClaim("job", 1 << 4, 0), now_s=200.0)
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
        job.apply_claim("w2", messages.JobClaim("job", 1 << 3, 0), taken_s)
    assert bool(job.claim_to_send(now_s).running >> 3 & 1) is kept


def test_completed_item_is_no_longer_claimed():
    job = make_job()
    job.interrupted_s[3] = 101.0
    job.apply_claim("w2", messages.JobClaim("job", 0, 1 << 3), 102.0)
    assert job.claim_to_send(102.0).running == 0
    assert 3 not in job.startable_items(102.0)


# Guards against a worker that counts only its own failed runs of an item.
def test_failed_runs_of_all_workers_count_together():
    job = make_job()
    job.failures[3] = 1
    job.apply_claim("w2", messages.JobClaim("j", 0, 0, (messages.ItemFailures(3, 2),)), 102.0)
    job.apply_claim("w3", messages.JobClaim("j", 0, 0, (messages.ItemFailures(3, 1),)), 102.1)
    assert job.claim_to_send(102.2).failed == (messages.ItemFailures(3, 2),)


# Guards against claims that are dropped because a datagram is too large.
def test_claims_on_jobs_whose_items_all_failed_fit_in_datagrams():
    items = 200
    bits = (1 << items) - 1
    failed = tuple(messages.ItemFailures(index, 250) for index in range(items))
    large = [messages.JobClaim(f"{n:016x}", bits, bits, failed) for n in range(3)]
    small = [messages.JobClaim(f"{n:016x}", bits, bits, failed[:8]) for n in range(20)]
    claims = (*small, *large)
    groups = claim_exchange.group_claims(claims)
    assert tuple(claim for group in groups for claim in group) == claims
    for group in groups:
        body = messages.JobClaims(group)
        datagram = messages.Datagram("frontend-providencia-10", 2**60, 2**40, 1.8e9, body)
        raw = codec.encode(datagram)
        assert len(raw) + peer_key.TAG_BYTES <= codec.MAX_DATAGRAM_BYTES
        assert codec.decode(raw).body == body


# Guards against calls to the store for each job by each worker of a large fleet.
def test_job_is_loaded_at_once_by_few_workers_of_many_and_by_the_next_one_a_step_later():
    workers = tuple(sorted(f"w{number}" for number in range(30)))
    job = make_job()
    first = open_job.job_workers("j", workers)
    assert len(first) == open_job.JOB_WORKERS
    assert open_job.closing_worker("j", workers) == first[0]
    starters = {
        vm for vm in workers for index in range(ITEMS) if job.may_start(index, workers, vm, 100.0)
    }
    assert starters == set(first)
    loading = [
        sum(job.may_load(workers, vm, 100.01 + s) for vm in workers) for s in (0.0, 0.3, 0.6, 9.0)
    ]
    assert loading == [1, 2, 3, 30]


# Guards against idle workers that load a job of which nothing is left to start.
def test_job_whose_items_all_run_elsewhere_is_not_loaded():
    job = make_job()
    job.apply_claim("w2", messages.JobClaim("j", (1 << ITEMS) - 2, 1), 200.0)
    assert not job.may_load(WORKERS, "w1", 200.5)
    job.apply_claim("w2", messages.JobClaim("j", (1 << ITEMS) - 4, 1), 200.0)
    assert job.may_load(WORKERS, "w1", 200.5)


# Guards against a second run of what a frozen worker's upstream goes on with, and against waiting
# for a worker that has ended when its items would be late.
@pytest.mark.parametrize(
    ("age_s", "unreported_s", "slack_s", "holds"),
    [
        (1.0, 0.9, -1.0, True),
        (2.0, 1.9, 9.0, False),
        (5.0, 0.1, 9.0, True),
        (5.0, 0.1, -0.1, False),
        (6.0, 0.1, 9.0, False),
    ],
)
def test_claim_of_a_silent_worker_holds_while_there_is_time(age_s, unreported_s, slack_s, holds):
    assert item_claims.holds(age_s, unreported_s=unreported_s, slack_s=slack_s) is holds
    job = make_job()
    job.apply_claim("w2", messages.JobClaim("j", 1 << 3, 0), 200.0)
    job.heard_s = {"w2": 200.0 + unreported_s}
    job.slack_s = slack_s
    assert bool(job.items_claimed_elsewhere(200.0 + age_s)) is holds
