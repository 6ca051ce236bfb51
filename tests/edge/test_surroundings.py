"""What happens around the programs: power, clocks, addresses and histories that are lost."""

import dataclasses
import time

import pytest
import trio

from cornelgrade import routes
from cornelgrade.platform.standins import edge_system, stream_engine

ITEMS = {f"item-{number}": b"note" for number in range(6)}
EVENTS = 5


async def read_all(rig, gateway: str, job: str) -> dict[str, str]:
    found: list[tuple[str, str]] = []
    with trio.fail_after(10):
        while len(found) < len(ITEMS):
            found += await rig.results(gateway, job, len(found))
    assert len(found) == len(ITEMS)
    return dict(found)


def texts() -> dict[str, str]:
    return {name: stream_engine.text(name, EVENTS) for name in ITEMS}


async def test_job_acknowledged_just_before_all_vms_lose_power_is_completed():
    async with edge_system.running(gateways=2, workers=2, engines=2) as rig:
        got = await rig.submit("gateway-0", "job", ITEMS)
        for node in rig.nodes.values():
            node.scope.cancel()
        rig.nodes.clear()
        await rig.worker("worker-8")
        await rig.gateway("gateway-8")
        await rig.until_ready("gateway-8")
        results = await read_all(rig, "gateway-8", "job")
    assert got.status == 202
    assert results == texts()


@pytest.mark.parametrize("step_s", [-2.0, 2.0])
async def test_wall_clock_that_steps_while_a_job_runs_changes_no_result(step_s, monkeypatch):
    async with edge_system.running(gateways=2, workers=2, engines=1, event_s=0.05) as rig:
        await rig.submit("gateway-0", "job", ITEMS)
        sound = time.time
        monkeypatch.setattr(time, "time", lambda: sound() + step_s)
        assert await read_all(rig, "gateway-1", "job") == texts()
        await rig.submit("gateway-0", "job", ITEMS)
        monkeypatch.setattr(time, "time", sound)
        assert await read_all(rig, "gateway-0", "job") == texts()


async def test_address_that_another_service_took_over_runs_nothing_of_the_first():
    async with edge_system.running(gateways=1, workers=1, engines=1) as rig:
        other = stream_engine.StreamEngine("other-0")
        await rig.nursery.start(other.run)
        gone = routes.Upstream("gone-0", edge_system.SERVICE, other.address, "north", 8)
        await rig.register(gone)
        await trio.sleep(0.2)
        for number in range(6):
            got = await rig.ask("gateway-0", edge_system.ONCE, f"r{number}")
            assert got.body == stream_engine.whole(f"r{number}", EVENTS)
        await rig.submit("gateway-0", "job", ITEMS)
        assert await read_all(rig, "gateway-0", "job") == texts()
    assert other.seen
    assert not any(seen.ran for seen in other.seen)


async def test_engine_that_starts_again_under_its_name_is_used_at_once():
    async with edge_system.running(gateways=1, engines=1) as rig:
        engine = rig.engines["engine-0"]
        engine.crash(0.3)
        assert (await rig.ask("gateway-0", edge_system.ONCE, "r1")).status == 503
        await trio.sleep(0.4)
        await rig.register(
            routes.Upstream("engine-0", edge_system.SERVICE, engine.address, "north", 8, False, 17)
        )
        await trio.sleep(0.3)
        got = await rig.ask("gateway-0", edge_system.ONCE, "r2")
    assert got.body == stream_engine.whole("r2", EVENTS)


async def test_engine_that_left_while_the_history_was_lost_gets_no_more_work():
    async with edge_system.running(gateways=1, engines=2) as rig:
        edge_system.outage(rig.store, down=True)
        await trio.sleep(0.1)
        edge_system.outage(rig.store, down=False)
        leaving = rig.engines["engine-0"].upstream(edge_system.SERVICE, "north")
        await rig.register(dataclasses.replace(leaving, leaving=True))
        rig.store.forget_history()
        await trio.sleep(2.0)
        before = len(rig.engines["engine-0"].seen)
        for number in range(6):
            await rig.ask("gateway-0", edge_system.ONCE, f"r{number}")
        assert len(rig.engines["engine-0"].seen) == before
