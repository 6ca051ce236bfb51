"""Faults outside the programs: power loss, clock steps, reused addresses and lost histories."""

import dataclasses
import time

import pytest
import trio

from cornelgrade import routes
from cornelgrade.platform.standins import edge_system, stream_engine

ITEMS = {f"item-{number}": b"note" for number in range(6)}
EVENTS = 5


async def read_all_results(system, gateway: str, job: str) -> dict[str, str]:
    results: list[tuple[str, str]] = []
    with trio.fail_after(10):
        while len(results) < len(ITEMS):
            results += await system.results(gateway, job, len(results))
    assert len(results) == len(ITEMS)
    return dict(results)


def expected_texts() -> dict[str, str]:
    return {name: stream_engine.result_text(name, EVENTS) for name in ITEMS}


async def test_accepted_job_completes_after_all_vms_lose_power():
    async with edge_system.run_system(gateways=2, workers=2, engines=2) as system:
        got = await system.submit("gateway-0", "job", ITEMS)
        for node in system.nodes.values():
            node.scope.cancel()
        system.nodes.clear()
        await system.start_worker("worker-8")
        await system.start_gateway("gateway-8")
        await system.wait_until_ready("gateway-8")
        results = await read_all_results(system, "gateway-8", "job")
    assert got.status == 202
    assert results == expected_texts()


@pytest.mark.parametrize("step_s", [-2.0, 2.0])
async def test_wall_clock_step_during_a_job_changes_no_result(step_s, monkeypatch):
    async with edge_system.run_system(gateways=2, workers=2, engines=1, event_s=0.05) as system:
        await system.submit("gateway-0", "job", ITEMS)
        real_time = time.time
        monkeypatch.setattr(time, "time", lambda: real_time() + step_s)
        assert await read_all_results(system, "gateway-1", "job") == expected_texts()
        await system.submit("gateway-0", "job", ITEMS)
        monkeypatch.setattr(time, "time", real_time)
        assert await read_all_results(system, "gateway-0", "job") == expected_texts()


async def test_address_reused_by_another_service_runs_no_requests():
    async with edge_system.run_system(gateways=1, workers=1, engines=1) as system:
        other = stream_engine.StreamEngine("other-0")
        await system.nursery.start(other.run)
        stale = routes.Upstream("gone-0", edge_system.SERVICE, other.address, "north", 8)
        await system.register(stale)
        await trio.sleep(0.2)
        for number in range(6):
            got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, f"r{number}")
            assert got.body == stream_engine.response_body(f"r{number}", EVENTS)
        await system.submit("gateway-0", "job", ITEMS)
        assert await read_all_results(system, "gateway-0", "job") == expected_texts()
    assert other.seen
    assert not any(seen.ran for seen in other.seen)


async def test_restarted_engine_with_the_same_name_is_used_immediately():
    async with edge_system.run_system(gateways=1, engines=1) as system:
        engine = system.engines["engine-0"]
        engine.crash(0.3)
        assert (await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")).status == 503
        await trio.sleep(0.4)
        await system.register(
            routes.Upstream("engine-0", edge_system.SERVICE, engine.address, "north", 8, False, 17)
        )
        await trio.sleep(0.3)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r2")
    assert got.body == stream_engine.response_body("r2", EVENTS)


async def test_engine_that_leaves_while_the_history_is_lost_gets_no_new_requests():
    async with edge_system.run_system(gateways=1, engines=2) as system:
        edge_system.set_outage(system.store, down=True)
        await trio.sleep(0.1)
        edge_system.set_outage(system.store, down=False)
        leaving = system.engines["engine-0"].upstream(edge_system.SERVICE, "north")
        await system.register(dataclasses.replace(leaving, leaving=True))
        system.store.forget_history()
        await trio.sleep(2.0)
        before = len(system.engines["engine-0"].seen)
        for number in range(6):
            await system.send_online("gateway-0", edge_system.ONCE_PREFIX, f"r{number}")
        assert len(system.engines["engine-0"].seen) == before
