"""Results that gateways get from the worker that follows a job, and results stored together.

Calls to the store before that, measured by the same tests: see each bound.
"""

import msgspec
import pytest
import trio

from cornelgrade.adapters import platform
from cornelgrade.platform.standins import edge_system
from cornelgrade.services.edge import (
    job_repository,
    open_job,
    outcome_writer,
    peers,
    ports,
    result_sharing,
)

RESULTS_KIND = f"{job_repository.RESULT_KIND}-job"
HEADER_KIND = job_repository.HEADER_KIND
ITEMS = {f"item-{number}": b"note" for number in range(6)}


async def read_all(system, gateways, within_s=10.0):
    """Read the job's results in turn at several gateways, as callers do."""
    seen = []
    with trio.fail_after(within_s):
        while len(seen) < len(ITEMS):
            for gateway in gateways:
                seen += await system.results(gateway, "job", len(seen))
    return seen


def names_of(results):
    return [item for item, _ in results]


def make_result(index, text="text"):
    return ports.ItemResult(f"item-{index}", ports.ItemEnd.COMPLETED, text)


def reject_store(monkeypatch, *nodes):
    """Let the store reject some nodes' calls."""
    limit_call = edge_system.Store._limit_call

    def limited(self, call, *args, **kwargs):
        if edge_system.CURRENT_NODE.get() in nodes:
            raise platform.UnavailableError("rejected", step=call)
        return limit_call(self, call, *args, **kwargs)

    monkeypatch.setattr(edge_system.Store, "_limit_call", limited)


# Guards against a watch of each gateway that is asked for a job.
async def test_gateways_share_the_watch_of_a_worker():
    async with edge_system.run_system(gateways=6, workers=1, event_s=0.3) as system:
        await system.submit("gateway-0", "job", ITEMS)
        await trio.sleep(0.6)
        before = system.store.calls.copy()
        seen = await read_all(system, [f"gateway-{number}" for number in range(6)])
        calls = system.store.calls - before
    assert sorted(names_of(seen)) == sorted(ITEMS)
    assert calls[f"watch:{RESULTS_KIND}"] + calls[f"list:{RESULTS_KIND}"] <= 4
    assert calls[f"get:{HEADER_KIND}"] <= 1


# Guards against gateways that see other positions than each other or than the store.
async def test_positions_are_the_same_at_each_gateway_also_after_all_workers_died():
    async with edge_system.run_system(gateways=3, workers=3, engines=3) as system:
        await system.submit("gateway-0", "job", ITEMS)
        seen = await read_all(system, ["gateway-0"])
        shared = await read_all(system, ["gateway-1"])
        for number in range(3):
            system.nodes[f"worker-{number}"].scope.cancel()
        stored = await read_all(system, ["gateway-2"])
    assert seen == shared == stored


# Guards against results that stay hidden when the worker that gateways ask dies within a job.
async def test_results_are_read_on_when_the_worker_dies():
    async with edge_system.run_system(gateways=2, workers=2, engines=2, event_s=0.2) as system:
        await system.submit("gateway-0", "job", ITEMS)
        first = await system.results("gateway-0", "job", 0)
        known = system.nodes["gateway-0"].kern.find("peers", peers.Peers)
        worker = open_job.closing_worker("job", known.live_vms(peers.Role.WORKER))
        system.nodes[worker].scope.cancel()
        seen = await read_all(system, ["gateway-0", "gateway-1"], within_s=15.0)
    assert seen[: len(first)] == first
    assert sorted(names_of(seen)) == sorted(ITEMS)


# Guards against a worker that serves what it read before the store began to reject it.
async def test_store_is_read_while_it_rejects_the_worker(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=2, engines=2, event_s=0.2) as system:
        await system.submit("gateway-0", "job", ITEMS)
        known = system.nodes["gateway-0"].kern.find("peers", peers.Peers)
        worker = open_job.closing_worker("job", known.live_vms(peers.Role.WORKER))
        await system.results("gateway-0", "job", 0)
        reject_store(monkeypatch, worker)
        with trio.move_on_after(4.0):
            while len(await system.results("gateway-0", "job", 0)) < 3:
                await trio.sleep(0.1)
        fresh = await system.results("gateway-1", "job", 0)
        stored = (await system.store.list(RESULTS_KIND)) and await system.results(
            "gateway-0", "job", 0
        )
    assert fresh and fresh == stored[: len(fresh)]


# Guards against callers that get 503 from a gateway that the store rejects, although workers know.
async def test_gateway_that_the_store_rejects_reads_results(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, event_s=0.1) as system:
        reject_store(monkeypatch, "gateway-1")
        await system.submit("gateway-0", "job", ITEMS)
        seen = await read_all(system, ["gateway-1"])
    assert sorted(names_of(seen)) == sorted(ITEMS)


# Guards against a write for each result: 6 objects before.
@pytest.mark.parametrize("old_build", [False, True], ids=["all read groups", "an old build"])
async def test_results_that_end_together_are_stored_together(old_build):
    async with edge_system.run_system(gateways=1, workers=1) as system:
        if old_build:
            entry = {"address": "127.0.0.1:1", "role": "gateway", "failure_domain": "north"}
            await system.store.create(peers.PEER_KIND, "old", msgspec.json.encode(entry))
            await trio.sleep(1.0)
        await system.submit("gateway-0", "job", ITEMS)
        seen = await read_all(system, ["gateway-0"])
        names = [stored.name for stored in await system.store.list(RESULTS_KIND)]
    assert sorted(names_of(seen)) == sorted(ITEMS)
    # An old build could not read several results in one object.
    assert sorted(names) == [f"{n:05d}" for n in range(6)] if old_build else len(names) <= 2


# Guards against an item that counts twice, or whose text changes, after two workers ran it.
async def test_first_result_of_an_item_counts():
    async with edge_system.run_system(gateways=2) as system:
        await system.submit("gateway-0", "job", {f"item-{n}": b"note" for n in range(4)})
        repository = job_repository.JobRepository(system.store, 1_000_000)
        await repository.add_result("job", 2, make_result(2, "first"))
        await repository.add_group("job", "00001.a", {1: make_result(1), 2: make_result(2)})
        assert len(await system.results("gateway-0", "job", 0)) == 2
        await repository.add_group("job", "00001.b", {1: make_result(1, "x"), 3: make_result(3)})
        await repository.add_result("job", 0, make_result(0))
        rest = await system.results("gateway-0", "job", 2)
        pages = [await system.results(f"gateway-{n}", "job", 0) for n in range(2)]
    in_order = [("item-2", "first"), *((f"item-{n}", "text") for n in (1, 3, 0))]
    assert pages[0] == pages[1] == in_order
    assert rest == in_order[2:]


# Guards against a write for an item that ran at two workers, of which one has stored its result.
async def test_result_that_another_worker_has_stored_is_not_written():
    store = edge_system.Store(edge_system.UNLIMITED)
    repository = job_repository.JobRepository(store, 100_000)
    header = job_repository.JobHeader("job", "r", "h", 0, 0, 0, 3, 0, 0)
    job = open_job.OpenJob(header, 1, done=0b010)
    writer = outcome_writer.OutcomeWriter(repository, {"job": job}, lambda: None, lambda: True)
    async with trio.open_nursery() as nursery:
        for index in range(3):
            writer.start_result(nursery, job, index, make_result(index))
    entries, _, _ = await repository.list_results("job", 0, 0.0)
    assert [entry.index for entry in entries] == [0, 2]
    assert store.calls["create"] == 1
    assert job.complete and not job.storing


# Guards against a worker that takes an item with two results for another one that is done: items
# that always fail ran again after each restart of the workers.
async def test_worker_that_loads_a_job_counts_two_results_of_an_item_once():
    async with edge_system.run_system(gateways=1) as system:
        await system.submit("gateway-0", "job", ITEMS)
        repository = job_repository.JobRepository(system.store, 1_000_000)
        await repository.add_group("job", "00000.a", {0: make_result(0), 1: make_result(1)})
        await repository.add_group("job", "00000.b", {0: make_result(0), 1: make_result(1)})
        await system.start_worker("worker-0")
        seen = await read_all(system, ["gateway-0"])
        ran = [found.request for found in system.engines["engine-0"].seen]
    assert sorted(names_of(seen)) == sorted(ITEMS)
    assert sorted(ran) == sorted(ITEMS)[2:]


# Guards against an object over the store's limit, which is never stored.
def test_large_results_are_split():
    repository = job_repository.JobRepository(platform.Platform, 10_000)
    results = {index: make_result(index, "x" * 3_000) for index in range(5)}
    groups = repository.group_results(results)
    assert [list(group) for group in groups] == [[0, 1], [2, 3], [4]]


# Guards against a page that ends within an object, after which the store is read from its revision.
def test_page_ends_with_an_object(monkeypatch):
    monkeypatch.setattr(result_sharing, "PAGE_BYTES", 10)
    header = job_repository.JobHeader("job", "r", "h", 0, 0, 0, 5, 0, 0)
    created = (3, 3, 3, 8, 8)
    entries = tuple(
        job_repository.StoredResult(index, make_result(index), at)
        for index, at in enumerate(created)
    )
    page = result_sharing._limit_page(result_sharing.Page(header, 0, entries, 9, 5))
    assert (len(page.results), page.revision) == (3, 3)


# Guards against a list of all headers, in several pages, at each submission, and against a count
# that misses what other gateways accepted, ended or deleted meanwhile.
async def test_headers_are_listed_once_and_then_followed():
    store = edge_system.Store(edge_system.UNLIMITED)
    repository = job_repository.JobRepository(store, 100_000)
    other = job_repository.JobRepository(store, 100_000)
    header = job_repository.JobHeader("job-0", "r", "h", 0, 0, 0, 1, 7, 0)
    items = (ports.Item("item", "/", (), b"", 7),)
    for number in range(3):
        named = msgspec.structs.replace(header, job=f"job-{number}")
        stored = await other.create_job(named, items)
        await repository.list_headers()
    await other.close_job(stored, "done")
    await other.delete_job(await other.find_job("job-0"))
    headers = {found.header.job: found.header.state for found in await repository.list_headers()}
    assert headers == {"job-1": "open", "job-2": "done"}
    assert store.calls[f"list:{HEADER_KIND}"] == 1
    store.forget_history()
    again = {
        msgspec.structs.replace(found, is_new=False) for found in await repository.list_headers()
    }
    assert again == set(await other.list_headers())
