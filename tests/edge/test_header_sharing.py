"""Jobs that change while a worker has lost the store and other workers reach it."""

import json

import pytest
import trio

from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.services.edge import (
    header_sharing,
    job_repository,
    open_job,
    peer_calls,
    peers,
    ports,
    runner,
)

WORKERS = ("worker-0", "worker-1", "worker-2")
ITEMS = {f"item-{number}": b"note" for number in range(6)}
# Items may come to an upstream for this long after the cancellation of their job is acknowledged.
CANCELLED_WITHIN_S = 3.0
# From the last result to the final state of the job, while the worker that closes it can't.
CLOSED_WITHIN_S = 5.0
# One attempt to store an outcome at a silent store, and the call to another worker.
STORED_WITHIN_S = 3.0


def runner_of(system, worker):
    return system.nodes[worker].kern.find("runner", runner.Runner)


async def read_all(system, job, total):
    seen = []
    while len(seen) < total:
        got = await system.send(
            "gateway-0", "GET", formats.job_target(job, len(seen)), formats.wait_headers(0.5)
        )
        assert got.status == 200
        seen += formats.decode_results(got.body)
    return seen


async def wait_until_lost(system, worker):
    """Wait until a worker has noticed that it lost the store."""
    availability = runner_of(system, worker)._availability
    with trio.fail_after(8.0):
        while not availability.unavailable:
            await trio.sleep(0.05)


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
        await wait_until_lost(system, lost)
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
        await wait_until_lost(system, lost)
        await system.submit("gateway-0", "job", ITEMS)
        with trio.fail_after(2.0 + CLOSED_WITHIN_S):
            await read_all(system, "job", len(ITEMS))
            while await state_of(system, "job") != "done":
                await trio.sleep(0.1)


# Guards against an expired item that is given up although it runs: by a worker that misses the
# claims of the one that runs it, while the first one of the job's workers receives them.
async def test_running_item_is_not_given_up_by_a_worker_that_misses_its_claim():
    async with edge_system.run_system(workers=3, engines=1, events=40, event_s=0.2) as system:
        await system.plan(edge_system.make_plan(2, item_ttl_s=3.0))
        await trio.sleep(0.5)
        known = system.nodes["gateway-0"].kern.find("peers", peers.Peers)
        owner = known.batch_owner("engine-0", "north")
        ranks = {
            f"job-{number}": open_job.job_workers(f"job-{number}", WORKERS) for number in range(99)
        }
        job = next(name for name, ranked in ranks.items() if ranked[2] == owner)
        sender = system.nodes[owner].kern.find("peers", peers.Peers)
        send = sender.send
        sender.send = lambda vm, body: vm == ranks[job][1] or send(vm, body)
        await system.submit("gateway-0", job, {"item-0": b"note"})
        with trio.fail_after(20.0):
            ((_, end, _),) = await read_all(system, job, 1)
    assert end == "completed"


# Guards against an older header that arrives after a newer one, and opens a closed job again.
async def test_older_header_is_not_applied():
    async with edge_system.run_system(workers=1, engines=1) as system:
        worker = runner_of(system, "worker-0")
        await system.submit("gateway-0", "job", ITEMS)
        with trio.fail_after(CLOSED_WITHIN_S):
            while "job" not in worker._jobs:
                await trio.sleep(0.01)
            older = worker._find_known_header("job")
            while (known := worker._find_known_header("job")) is None or known == older:
                await trio.sleep(0.1)
            assert known.header.state == "done"
        worker._apply_header(older, is_new=True)
        assert "job" not in worker._jobs


# Guards against outcomes that wait for calls of the other kind: while other workers run a version
# that doesn't tell headers, each of those calls fails.
async def test_outcomes_are_sent_while_headers_are_declined():
    async with edge_system.run_system(workers=3, engines=0) as system:
        await system.submit("gateway-0", "job", ITEMS)
        await trio.sleep(1.0)
        for other in WORKERS[1:]:
            calls = system.nodes[other].kern.find("peer_calls", peer_calls.PeerCalls)
            del calls._handlers[header_sharing.PATH]
        system.nodes["worker-0"].store.silent = True
        await wait_until_lost(system, "worker-0")
        worker = runner_of(system, "worker-0")
        job = worker._jobs["job"]
        for index, item in enumerate(ITEMS):
            result = ports.ItemResult(item, ports.ItemEnd.COMPLETED, "text")
            worker._outcomes.start_result(worker._nursery, job, index, result)
            with trio.fail_after(STORED_WITHIN_S):
                while index in job.storing:
                    await trio.sleep(0.05)


# Guards against many calls while the store is down for all workers.
async def test_outage_for_all_workers_costs_few_header_calls(monkeypatch):
    asked = []
    call = peer_calls.PeerCalls.call

    async def record(self, vm, target, *args):
        if target == header_sharing.PATH:
            asked.append(vm)
        return await call(self, vm, target, *args)

    monkeypatch.setattr(peer_calls.PeerCalls, "call", record)
    async with edge_system.run_system(workers=3, engines=0) as system:
        await system.submit("gateway-0", "job", ITEMS)
        await trio.sleep(1.0)
        edge_system.set_outage(system.store, down=True)
        for worker in WORKERS:
            await wait_until_lost(system, worker)
        asked.clear()
        await trio.sleep(4.0)
        edge_system.set_outage(system.store, down=False)
    assert 0 < len(asked) <= 3 * 5
