"""Requests and batch items that crash each upstream that runs them."""

import itertools

import pytest
import trio
from tests.edge import culprits

from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.services import _subscriptions
from cornelgrade.services.edge import peers

CALLER_PATIENCE_S = 2.0
ITEM_OBSERVATION_S = 6.0


async def send_culprit(system, gateways, numbers, path=edge_system.RESUMABLE_PREFIX):
    """Send the request once more, from the next gateway, as a caller's repeat does."""
    return await system.send_online(
        next(gateways), path, f"r{next(numbers)}", body=culprits.CULPRIT
    )


async def crash_engines(system, gateways, numbers, path=edge_system.RESUMABLE_PREFIX):
    """Send the request until it has crashed enough engines or is refused at once."""
    for _ in range(culprits.LATE_SENDS):
        if culprits.count_crashes(system) < culprits.CRASHES:
            await send_culprit(system, gateways, numbers, path)
            await trio.sleep(0.2)
    assert culprits.count_crashes(system)
    await trio.sleep(culprits.SPREAD_S)


async def count_late_runs(system, gateways, numbers, path=edge_system.RESUMABLE_PREFIX):
    """Return how often engines get the request when callers repeat it."""
    before = len(culprits.list_runs(system))
    for _ in range(culprits.LATE_SENDS):
        await send_culprit(system, gateways, numbers, path)
    return len(culprits.list_runs(system)) - before


# Guards against a crashing request that each attempt of its caller sends to further upstreams.
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
@pytest.mark.parametrize("gateways", [1, 3])
async def test_request_that_crashed_three_upstreams_is_not_repeated(gateways, path):
    async with edge_system.run_system(gateways=gateways, engines=6) as system:
        culprits.make_engines_crash(system)
        names = itertools.cycle(f"gateway-{number}" for number in range(gateways))
        numbers = itertools.count()
        await crash_engines(system, names, numbers, path)
        assert await count_late_runs(system, names, numbers, path) <= culprits.MAX_LATE_RUNS
        innocent = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "innocent")
    assert innocent.body == stream_engine.response_body("innocent", 5)


# Guards against gateways that forget a crashing request when they restart.
async def test_restarted_gateways_do_not_repeat_a_request_that_crashed_upstreams():
    async with edge_system.run_system(gateways=2, engines=6) as system:
        culprits.make_engines_crash(system)
        names, numbers = itertools.cycle(["gateway-0", "gateway-1"]), itertools.count()
        await crash_engines(system, names, numbers)
        for name in ("gateway-0", "gateway-1"):
            system.nodes[name].scope.cancel()
        for name in ("gateway-2", "gateway-3"):
            await system.start_gateway(name)
            await system.wait_until_ready(name)
        names = itertools.cycle(["gateway-2", "gateway-3"])
        assert await count_late_runs(system, names, numbers) <= culprits.MAX_LATE_RUNS


# Guards against crashes that reset no connection and are noticed by the caller's patience alone.
@pytest.mark.parametrize("crash_after", [None, 1])
async def test_request_under_which_upstreams_fall_silent_is_not_repeated(crash_after):
    async with edge_system.run_system(gateways=2, engines=8) as system:
        culprits.make_engines_crash(system, dark=True, down_s=5.0, crash_after=crash_after)
        names, numbers = itertools.cycle(["gateway-0", "gateway-1"]), itertools.count()

        async def send_and_give_up():
            with trio.move_on_after(CALLER_PATIENCE_S):
                await send_culprit(system, names, numbers, edge_system.ONCE_PREFIX)

        while culprits.count_crashes(system) < culprits.CRASHES:
            await send_and_give_up()
        await trio.sleep(culprits.SPREAD_S)
        before = len(culprits.list_runs(system))
        for _ in range(culprits.LATE_SENDS):
            await send_and_give_up()
        assert len(culprits.list_runs(system)) - before <= culprits.MAX_LATE_RUNS


# Guards against a worker that runs an item again each time that the upstream crashes under it.
@pytest.mark.parametrize("workers", [1, 3])
async def test_item_that_crashed_three_upstreams_is_not_repeated(workers):
    async with edge_system.run_system(workers=workers, engines=6) as system:
        culprits.make_engines_crash(system)
        items = {"culprit": culprits.CULPRIT, **{f"item-{number}": b"note" for number in range(4)}}
        await system.submit("gateway-0", "job", items)
        with trio.fail_after(20):
            while culprits.count_crashes(system) < culprits.CRASHES:
                await trio.sleep(0.05)
        await trio.sleep(culprits.SPREAD_S)
        before = len(culprits.list_runs(system))
        await trio.sleep(ITEM_OBSERVATION_S)
        assert len(culprits.list_runs(system)) - before <= culprits.MAX_LATE_RUNS
        results = await system.results("gateway-0", "job", 0)
    assert sorted(item for item, _ in results) == [f"item-{number}" for number in range(4)]


# Guards against taking connections that break without a crash for crashes of the upstream.
async def test_request_whose_connections_broke_without_a_crash_is_still_served():
    async with edge_system.run_system(engines=3) as system:
        for eng in system.engines.values():
            eng.faults = stream_engine.Faults(cut_after=0)
        for number in range(4):
            await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, f"r{number}")
        for eng in system.engines.values():
            eng.faults = stream_engine.Faults()
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r9")
    assert got.body == stream_engine.response_body("r9", 5)


# Guards against blaming the requests that were in flight beside the one that crashes upstreams.
async def test_neighbours_of_a_crashing_request_are_all_served():
    async with edge_system.run_system(gateways=3, engines=6, events=20) as system:
        culprits.make_engines_crash(system)
        names = itertools.cycle(f"gateway-{number}" for number in range(3))
        numbers = itertools.count()
        statuses = {}

        async def ask_until_served(request):
            for _ in range(8):
                got = await system.send_online(
                    next(names), edge_system.RESUMABLE_PREFIX, request, body=request.encode()
                )
                statuses.setdefault(request, []).append((got.status, got.complete))
                if (got.status, got.complete) == (200, True):
                    return
                await trio.sleep(0.3)

        async with trio.open_nursery() as nursery:
            for number in range(24):
                nursery.start_soon(ask_until_served, f"neighbour-{number}")
            await trio.sleep(0.05)
            for _ in range(culprits.LATE_SENDS):
                await send_culprit(system, names, numbers)
                await trio.sleep(0.1)
    assert len(statuses) == 24
    assert {tries[-1] for tries in statuses.values()} == {(200, True)}


# Guards against callers that wait for an answer to a request which the quarantine refuses.
async def test_quarantined_request_is_refused_at_once_without_reaching_an_upstream():
    async with edge_system.run_system(gateways=2, engines=6) as system:
        culprits.make_engines_crash(system)
        names, numbers = itertools.cycle(["gateway-0", "gateway-1"]), itertools.count()
        await crash_engines(system, names, numbers)
        for _ in range(culprits.MAX_LATE_RUNS):
            await send_culprit(system, names, numbers)
        before = len(culprits.list_runs(system))
        started_s = trio.current_time()
        got = await send_culprit(system, names, numbers)
        took_s = trio.current_time() - started_s
        assert len(culprits.list_runs(system)) == before
    assert (got.status, got.body) == (502, b"")
    assert "retry-after" not in got.headers
    assert took_s < 0.3


# Guards against processes that missed all reports about a request and never learn of them.
async def test_gateway_that_was_cut_off_learns_of_the_quarantine_afterwards():
    async with edge_system.run_system(gateways=3, engines=6) as system:
        culprits.make_engines_crash(system)
        names, numbers = itertools.cycle(["gateway-0", "gateway-1"]), itertools.count()
        cut = system.nodes["gateway-2"].kern.find("peers", peers.Peers)
        cut_subscribers, cut._subscribers = cut._subscribers, _subscriptions.Subscriptions()
        await crash_engines(system, names, numbers)
        cut._subscribers = cut_subscribers
        await trio.sleep(culprits.SPREAD_S)
        late = await count_late_runs(system, itertools.cycle(["gateway-2"]), numbers)
    assert late <= culprits.MAX_LATE_RUNS
