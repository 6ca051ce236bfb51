"""A result that one caller has read is there for all callers within a second.

A worker follows a job for all gateways. It may be cut off from the store, or its watch may be lost
without a sign, while the gateways read on.
"""

import msgspec
import pytest
import trio

from cornelgrade import clocks, errors
from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.services.edge import (
    job_repository,
    open_job,
    peer_calls,
    peers,
    ports,
    result_reader,
)

# Within this time a position that was read is there for every other caller.
SETTLE_S = 1.0
# How long callers read after that.
WATCHED_S = 4.0
ITEMS = {f"item-{number}": b"note" for number in range(3)}
WAITS_MS = [0, 300, 1000]


def add_result(system, index):
    """Store a result, as a worker does; none of the test's engines runs an item."""
    repository = job_repository.JobRepository(system.store, 1_000_000)
    result = ports.ItemResult(f"item-{index}", ports.ItemEnd.COMPLETED, f"text {index}")
    return repository.add_result("job", index, result)


def closing_worker(system):
    known = system.nodes["gateway-0"].kern.find("peers", peers.Peers)
    return open_job.closing_worker("job", known.live_vms(peers.Role.WORKER))


def cut_from_workers(monkeypatch, gateway):
    """Let a gateway reach no worker, so that it reads the store."""
    call = peer_calls.PeerCalls.call

    async def limited(self, vm, target, *args):
        if edge_system.CURRENT_NODE.get() == gateway:
            raise errors.NotReachableError("cut off", step=target, peer=vm)
        return await call(self, vm, target, *args)

    monkeypatch.setattr(peer_calls.PeerCalls, "call", limited)


async def read(system, gateway, after, wait_ms):
    """Read results; return the status and the items."""
    headers = {"x-wait-ms": str(wait_ms)} if wait_ms else {}
    got = await system.send(gateway, "GET", f"/lots/job?after={after}", headers)
    results = formats.decode_results(got.body) if got.status == 200 else []
    return got.status, [item for item, _, _ in results]


async def read_until_seen(system, gateway, after, wait_ms=0):
    with trio.fail_after(5):
        while True:
            _, items = await read(system, gateway, after, wait_ms)
            if items:
                return items
            await trio.sleep(0.05)


async def find_empty_answers(system, gateway, after, wait_ms):
    """Return how late callers were still told that there is nothing at a position."""
    started_s = trio.current_time()
    empty = []
    while (asked_s := trio.current_time() - started_s) < WATCHED_S:
        status, items = await read(system, gateway, after, wait_ms)
        if status == 200 and not items:
            empty.append(round(asked_s, 2))
        await trio.sleep(0.1)
    return [late_s for late_s in empty if late_s > SETTLE_S]


def lose_store(system, worker):
    system.nodes[worker].store.silent = True


def lose_watches(system, worker):
    system.nodes[worker].store.loses_watches = True


def suspend_all(monkeypatch, for_s=5.0):
    """Let all processes find that time has passed while their own clocks stood still."""
    since_boot_s = clocks.since_boot_s
    monkeypatch.setattr(clocks, "since_boot_s", lambda: since_boot_s() + for_s)


# Guards against LOST: a gateway that takes an empty page of a worker, which has lost the store, for
# the state of the store, while other gateways read the store.
@pytest.mark.parametrize("wait_ms", WAITS_MS)
@pytest.mark.parametrize("lose", [lose_store, lose_watches])
async def test_position_read_at_one_gateway_is_not_empty_at_another(monkeypatch, lose, wait_ms):
    async with edge_system.run_system(gateways=2, workers=2, engines=0) as system:
        cut_from_workers(monkeypatch, "gateway-1")
        await system.submit("gateway-0", "job", ITEMS)
        await add_result(system, 0)
        for gateway in ("gateway-0", "gateway-1"):
            await read_until_seen(system, gateway, 0)
            await read(system, gateway, 1, 300)
        lose(system, closing_worker(system))
        await add_result(system, 1)
        assert await read_until_seen(system, "gateway-1", 1) == ["item-1"]
        late = await find_empty_answers(system, "gateway-0", 1, wait_ms)
        assert await read_until_seen(system, "gateway-0", 1) == ["item-1"]
    assert late == []


# Guards against the same at a gateway that asks a worker for a job for the first time, as after a
# restart: it took an empty first page for all that there is.
@pytest.mark.parametrize("wait_ms", WAITS_MS)
@pytest.mark.parametrize("lose", [lose_store, lose_watches])
async def test_first_page_of_a_worker_without_watches_is_not_believed(monkeypatch, lose, wait_ms):
    async with edge_system.run_system(gateways=3, workers=2, engines=0) as system:
        cut_from_workers(monkeypatch, "gateway-1")
        await system.submit("gateway-0", "job", ITEMS)
        await read(system, "gateway-0", 0, 300)
        lose(system, closing_worker(system))
        await add_result(system, 0)
        assert await read_until_seen(system, "gateway-1", 0) == ["item-0"]
        late = await find_empty_answers(system, "gateway-2", 0, wait_ms)
    assert late == []


# Guards against results that stay unseen, or change their positions, after all processes have lost
# power and while the worker that follows the job has lost the store.
async def test_positions_that_were_read_are_there_after_a_restart_of_all(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=2, engines=0) as system:
        await system.submit("gateway-0", "job", ITEMS)
        for index in (2, 0):
            await add_result(system, index)
        with trio.fail_after(5):
            while (seen := (await read(system, "gateway-0", 0, 300))[1]) != ["item-2", "item-0"]:
                pass
        for node in system.nodes.values():
            node.scope.cancel()
        for number in range(2):
            await system.start_worker(f"worker-{number}")
            await system.start_gateway(f"gateway-{number}")
        for number in range(2):
            await system.wait_until_ready(f"gateway-{number}")
        await system.wait_until_peers_known()
        system.nodes[closing_worker(system)].store.silent = True
        answers = []
        with trio.fail_after(10):
            for _ in range(20):
                answers.append(await read(system, "gateway-1", 0, 0))
                await trio.sleep(0.1)
    assert [items for status, items in answers if status == 200 and items != seen] == []
    assert answers[-1] == (200, seen)


# Guards against results that stay unseen while the store takes longer than a confirmation may: each
# read was cancelled before its response came, and callers that don't wait got 503 without end.
async def test_results_of_a_slow_store_reach_callers_that_do_not_wait():
    async with edge_system.run_system(gateways=2, workers=2, engines=0) as system:
        await system.submit("gateway-0", "job", ITEMS)
        await read(system, "gateway-0", 0, 0)
        await add_result(system, 0)
        system.store.switch(msgspec.structs.replace(system.store.switches, slow_s=0.7))
        assert await read_until_seen(system, "gateway-0", 0) == ["item-0"]


# Guards against results that stay unseen while the worker that follows the job doesn't respond: the
# wait for it took all the time for a confirmation, so the store was not read.
async def test_results_reach_callers_that_do_not_wait_when_a_worker_does_not_respond(monkeypatch):
    call = peer_calls.PeerCalls.call
    silent = False

    async def limited(self, vm, target, timeout_s, *args):
        if not silent:
            return await call(self, vm, target, timeout_s, *args)
        await trio.sleep(timeout_s)
        raise errors.NotReachableError("no response", step=target, peer=vm)

    monkeypatch.setattr(peer_calls.PeerCalls, "call", limited)
    async with edge_system.run_system(gateways=2, workers=2, engines=0) as system:
        await system.submit("gateway-0", "job", ITEMS)
        await read(system, "gateway-0", 0, 0)
        await add_result(system, 0)
        silent = True
        # The read above confirmed that there was nothing.
        await trio.sleep(result_reader.MAX_CONFIRMATION_AGE_S)
        with trio.fail_after(SETTLE_S):
            assert await read_until_seen(system, "gateway-0", 0) == ["item-0"]


# Guards against processes that were suspended and take what they knew before for new: their own
# clocks leave out the time for which the machine was suspended.
async def test_suspended_processes_do_not_take_old_knowledge_for_new(monkeypatch):
    async with edge_system.run_system(gateways=1, workers=2, engines=0) as system:
        await system.submit("gateway-0", "job", ITEMS)
        await add_result(system, 0)
        await read_until_seen(system, "gateway-0", 0)
        await trio.sleep(result_reader.MAX_CONFIRMATION_AGE_S)
        # Without a wait no process watches the job.
        assert await read(system, "gateway-0", 1, 0) == (200, [])
        suspend_all(monkeypatch)
        await add_result(system, 1)
        status, items = await read(system, "gateway-0", 1, 0)
    assert (status, items) == (200, ["item-1"]) or status == 503


# Guards against positions that are empty or change at gateways while the store has dropped the
# history from which the process that reads for them continues.
@pytest.mark.parametrize("wait_ms", WAITS_MS)
async def test_positions_stay_while_the_store_drops_its_history(monkeypatch, wait_ms):
    async with edge_system.run_system(gateways=3, workers=2, engines=0) as system:
        cut_from_workers(monkeypatch, "gateway-1")
        await system.submit("gateway-0", "job", ITEMS)
        await add_result(system, 2)
        for number in range(3):
            assert await read_until_seen(system, f"gateway-{number}", 0, 300) == ["item-2"]
        lose_store(system, closing_worker(system))
        await add_result(system, 0)
        system.store.forget_history()
        assert await read_until_seen(system, "gateway-1", 1) == ["item-0"]
        late = await find_empty_answers(system, "gateway-0", 1, wait_ms)
        system.nodes[closing_worker(system)].store.silent = False
        await add_result(system, 1)
        seen = [await read_until_seen(system, f"gateway-{number}", 1) for number in range(3)]
        last = [await read_until_seen(system, f"gateway-{number}", 2) for number in range(3)]
    assert late == []
    assert [items[0] for items in seen] == ["item-0"] * 3
    assert last == [["item-1"]] * 3
