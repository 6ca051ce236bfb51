"""Batch items whose every run fails at the upstream."""

import pytest
import trio

from cornelgrade.platform.standins import edge_system, formats, stream_engine
from cornelgrade.services.edge import job_repository

ITEMS = 12
WORKERS = 3
RUN_S = 0.3
RESTARTS = 16
RESTART_INTERVAL_S = 0.6
MAX_ATTEMPTS = 3  # of the batch route in edge_system.make_plan
MAX_FAILED_RUNS = 3 * MAX_ATTEMPTS  # the operators' bound on runs of such an item


async def read_ends(system, job, count):
    """Return how each item of a job ended, once ``count`` of them have."""
    ends = {}
    with trio.fail_after(20):
        while len(ends) < count:
            target = formats.job_target(job, len(ends))
            got = await system.send("gateway-0", "GET", target, formats.wait_headers(1.0))
            ends |= {item: end for item, end, _ in formats.decode_results(got.body)}
    return ends


async def restart_workers(system):
    """Replace one worker after the other, so that the others live on."""
    for number in range(RESTARTS):
        await trio.sleep(RESTART_INTERVAL_S)
        system.nodes.pop(f"worker-{number}").scope.cancel()
        await system.start_worker(f"worker-{number + WORKERS}")


async def restart_all_workers(system):
    """Replace all workers at once, so that none of them lives on."""
    for round_number in range(1, RESTARTS + 1):
        await trio.sleep(RESTART_INTERVAL_S)
        for name in [name for name in system.nodes if name.startswith("worker")]:
            system.nodes.pop(name).scope.cancel()
        for number in range(WORKERS):
            await system.start_worker(f"worker-{round_number * WORKERS + number}")


# Guards against workers that each count an item's failed runs alone and from zero after a restart.
# A restart of all workers cuts their runs off; the bound is on failures that upstreams answered.
@pytest.mark.parametrize(
    ("restart", "counted"), [(restart_workers, "ran"), (restart_all_workers, "ended")]
)
async def test_failing_item_is_given_up_after_its_attempts_across_worker_restarts(restart, counted):
    async with edge_system.run_system(workers=WORKERS, engines=9, event_s=RUN_S) as system:
        for eng in system.engines.values():
            eng.faults = stream_engine.Faults(fail=500)
        items = {f"item-{number}": b"note" for number in range(ITEMS)}
        await system.submit("gateway-0", "job", items)
        await restart(system)
        ends = await read_ends(system, "job", ITEMS)
        runs = [
            seen.request
            for eng in system.engines.values()
            for seen in eng.seen
            if getattr(seen, counted)
        ]
    assert len(set(ends.values())) == 1
    counts = [runs.count(item) for item in ends]
    assert min(counts) >= MAX_ATTEMPTS
    assert max(counts) <= MAX_FAILED_RUNS, counts


# Guards against a lower number of failed runs that replaces a higher one, and against objects that
# outlive their job.
async def test_number_of_failed_runs_only_grows_and_is_deleted_with_its_job():
    store = edge_system.Store(edge_system.UNLIMITED)
    repository = job_repository.JobRepository(store, 100_000)
    header = job_repository.JobHeader("job", "r", "host", 0, 0, 0, 3, 0, 0)
    stored = await repository.create_job(header, ())
    for count in (1, 3, 2):
        await repository.record_failures("job", 1, count)
    assert await repository.read_failures("job") == {1: 3}
    await repository.delete_job(stored)
    assert await repository.read_failures("job") == {}
    assert await repository.find_job("job") is None
