"""Jobs that change while a worker has lost the store and other workers reach it."""

import json

import pytest
import trio

from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.services.edge import job_repository, runner

WORKERS = ("worker-0", "worker-1", "worker-2")
ITEMS = {f"item-{number}": b"note" for number in range(6)}
# Items may come to an upstream for this long after the cancellation of their job is acknowledged.
CANCELLED_WITHIN_S = 3.0
# From the last result to the final state of the job, while the worker that closes it can't.
CLOSED_WITHIN_S = 5.0


def runner_of(system, worker):
    return system.nodes[worker].kern.find("runner", runner.Runner)


async def read_all(system, job, total):
    """Read results as a caller does, who repeats a read that is rejected."""
    seen = []
    while len(seen) < total:
        got = await system.send(
            "gateway-0", "GET", formats.job_target(job, len(seen)), formats.wait_headers(0.5)
        )
        assert got.status in (200, 503)
        if got.status == 200:
            seen += formats.decode_results(got.body)
        else:
            await trio.sleep(float(got.headers["retry-after"]))
    return seen


async def state_of(system, job):
    stored = await system.store.get(job_repository.HEADER_KIND, job)
    return json.loads(stored.value)["state"]


# Guards against items of a cancelled job that go on at a worker which has lost the store, and that
# keep upstreams from other work.
@pytest.mark.parametrize("lost", WORKERS)
async def test_cancelled_job_stops_at_a_worker_without_the_store(lose_store, lost):
    items = {f"item-{number}": b"note" for number in range(100)}
    async with edge_system.run_system(workers=3, engines=3, events=5, event_s=0.3) as system:
        await system.submit("gateway-0", "job", items)
        await trio.sleep(0.9)
        lose_store(system, lost)
        await trio.sleep(0.3)
        got = await system.send("gateway-0", "DELETE", formats.job_target("job"), {})
        cancelled_s = trio.current_time()
        await trio.sleep(CANCELLED_WITHIN_S + 2.0)
        starts_s = [at.at_s for eng in system.engines.values() for at in eng.seen]
        running = sum(eng.running for eng in system.engines.values())
    assert got.status == 200
    assert max(starts_s) - cancelled_s <= CANCELLED_WITHIN_S
    assert running == 0


# Guards against a job that stays open, and whose tokens count against the limit on waiting ones,
# because the worker that would close it has lost the store.
@pytest.mark.parametrize("lost", WORKERS)
async def test_job_is_closed_by_another_worker(lose_store, lost):
    async with edge_system.run_system(workers=3, engines=3, events=5, event_s=0.2) as system:
        await system.submit("gateway-0", "job", ITEMS)
        await trio.sleep(0.7)
        lose_store(system, lost)
        await read_all(system, "job", len(ITEMS))
        with trio.fail_after(CLOSED_WITHIN_S):
            while await state_of(system, "job") != "done":
                await trio.sleep(0.1)
            # The worker that can't see this in the store must not keep the job either.
            while any("job" in runner_of(system, worker)._jobs for worker in WORKERS):
                await trio.sleep(0.1)


# Guards against reads that are rejected because they wait for a worker that doesn't know the job
# and can't read it, as it lost the store before the job was submitted.
@pytest.mark.parametrize("wait_s", [0.0, 0.5])
@pytest.mark.parametrize("lost", WORKERS)
async def test_reads_of_a_new_job_are_not_rejected(lose_store, lost, wait_s):
    async with edge_system.run_system(workers=3, engines=0) as system:
        lose_store(system, lost)
        # The platform's client takes a silent store for lost after 2 s.
        await trio.sleep(2.5)
        await system.submit("gateway-0", "job", ITEMS)
        target, headers = formats.job_target("job"), formats.wait_headers(wait_s)
        statuses = [
            (await system.send("gateway-0", "GET", target, headers)).status for _ in range(6)
        ]
    assert statuses == [200] * 6


# Guards against items of an expired job that are never given up, for the same reason.
@pytest.mark.parametrize("lost", WORKERS)
async def test_expired_items_are_given_up_by_another_worker(lose_store, lost):
    async with edge_system.run_system(workers=3, engines=0) as system:
        await system.plan(edge_system.make_plan(2, item_ttl_s=2.0))
        await trio.sleep(0.5)
        lose_store(system, lost)
        await trio.sleep(2.5)
        await system.submit("gateway-0", "job", ITEMS)
        with trio.fail_after(2.0 + CLOSED_WITHIN_S):
            await read_all(system, "job", len(ITEMS))
            while await state_of(system, "job") != "done":
                await trio.sleep(0.1)
