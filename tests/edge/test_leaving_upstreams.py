"""Upstreams that say in responses that they are leaving, while their registration says ready."""

import dataclasses

import pytest
import trio

from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.services.edge import fleet

SETTLE_S = 0.2
REQUESTS = 6


def announce(engine, **faults):
    engine.faults = stream_engine.Faults(leaving=True, **faults)


async def send_all(system, gateway, path=edge_system.ONCE_PREFIX, first=0):
    return [
        await system.send_online(gateway, path, f"{gateway}-r{number}")
        for number in range(first, first + REQUESTS)
    ]


def knows_leaving(system, node, engine):
    usable = system.nodes[node].kern.find("fleet", fleet.Fleet).usable_registrations()
    return all(reg.upstream.name != engine for reg in usable)


# Guards against new work for an upstream that says it is leaving: in a success, in an error of its
# own, in a refusal, in a response to another request, or without proof.
@pytest.mark.parametrize(
    "faults", [{}, {"fail": 500}, {"decline": True}, {"foreign": True}, {"unsigned": True}]
)
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
async def test_gateway_sends_nothing_after_a_response_that_says_leaving(faults, path):
    async with edge_system.run_system(gateways=1, engines=2) as system:
        leaving, staying = system.engines.values()
        announce(leaving, **faults)
        while not leaving.seen:
            await send_all(system, "gateway-0", path)
        before = len(leaving.seen)
        responses = await send_all(system, "gateway-0", path, first=100)
        assert len(leaving.seen) == before == 1
    assert [got.status for got in responses] == [200] * REQUESTS
    assert not staying.faults.leaving


# Guards against new work for a leaving upstream while its registration can't change.
async def test_word_of_an_upstream_holds_while_the_store_is_away_and_after_it_returned():
    async with edge_system.run_system(gateways=1, engines=2) as system:
        leaving = system.engines["engine-0"]
        edge_system.set_outage(system.store, down=True)
        announce(leaving)
        while not leaving.seen:
            await send_all(system, "gateway-0")
        before = len(leaving.seen)
        await send_all(system, "gateway-0", first=100)
        edge_system.set_outage(system.store, down=False)
        system.store.forget_history()
        await trio.sleep(1.0)
        await send_all(system, "gateway-0", first=200)
        assert len(leaving.seen) == before


# Guards against batch items for an upstream that says it leaves in the response to an item.
async def test_worker_starts_no_items_after_a_response_that_says_leaving():
    async with edge_system.run_system(gateways=1, workers=1, engines=1) as system:
        announce(system.engines["engine-0"])
        await system.submit("gateway-0", "first", {"item-0": b"note"})
        while not await system.results("gateway-0", "first", 0):
            pass
        ran = len(system.engines["engine-0"].seen)
        await system.submit("gateway-0", "second", {"item-1": b"note"})
        await trio.sleep(1.0)
        assert len(system.engines["engine-0"].seen) == ran
        await system.start_engine("engine-1")
        with trio.fail_after(3):
            while not await system.results("gateway-0", "second", 0):
                pass


# Guards against a worker that learns of the leaving only by running an item there.
async def test_worker_learns_from_a_load_report_that_an_upstream_leaves():
    async with edge_system.run_system(gateways=1, workers=1, engines=1) as system:
        announce(system.engines["engine-0"])
        await trio.sleep(1.0)
        await system.submit("gateway-0", "job", {"item-0": b"note"})
        await trio.sleep(1.0)
        assert not system.engines["engine-0"].seen


# Guards against shutting out the next start of an upstream under the same name and address.
async def test_next_start_of_an_upstream_that_left_gets_work():
    async with edge_system.run_system(gateways=1, engines=1) as system:
        engine = system.engines["engine-0"]
        announce(engine)
        await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
        assert (await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r2")).status == 503
        engine.faults = stream_engine.Faults()
        up = engine.upstream(edge_system.SERVICE, "north")
        await system.register(dataclasses.replace(up, started_ms=17))
        with trio.fail_after(1.0):
            while knows_leaving(system, "gateway-0", "engine-0"):
                await trio.sleep(0.02)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r3")
    assert got.body == stream_engine.response_body("r3", engine.events)


# Guards against a refusal that is untrue or without a time to come back, where nobody is left.
async def test_request_is_refused_as_not_run_at_once_if_every_upstream_leaves():
    async with edge_system.run_system(gateways=1, engines=1) as system:
        announce(system.engines["engine-0"])
        await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
        begun_s = trio.current_time()
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r2")
        took_s = trio.current_time() - begun_s
        seen = [req.request for req in system.engines["engine-0"].seen]
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 0
    assert took_s < 0.1
    assert seen == ["r1"]


# Guards against a first request by each VM at an upstream that one of them knows to leave.
async def test_processes_nearby_learn_of_it_before_they_meet_the_upstream():
    async with edge_system.run_system(gateways=4, workers=1, engines=1) as system:
        announce(system.engines["engine-0"])
        await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
        await trio.sleep(SETTLE_S)
        # Both are in the upstream's failure domain.
        assert knows_leaving(system, "gateway-3", "engine-0")
        assert knows_leaving(system, "worker-0", "engine-0")


# Guards against a word that is not passed on to the caller's side, who may act on it too.
async def test_response_that_says_leaving_is_passed_on_whole():
    async with edge_system.run_system(gateways=1, engines=1) as system:
        engine = system.engines["engine-0"]
        announce(engine)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
    assert got.headers["server-leaving"] == "1"
    assert got.body == stream_engine.response_body("r1", engine.events)
