"""Upstreams that name a rate limit, which all VMs keep to together."""

import itertools

import pytest
import trio

from cornelgrade.adapters import engine as engine_port
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.schema import messages
from cornelgrade.services.edge import peers, upstream_limits

LIMIT_PER_S = 3.0
WINDOW_S = 4.0
# What the users' rule allows in any window, from 3 s after the limit was first named.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
RULE_STARTS_S = 3.0
PLAY_S = 8.0
CALLER_INTERVAL_S = 0.1


def limit_engines(engines, *limits):
    for engine in engines:
        engine.faults = stream_engine.Faults(limits=limits or (str(LIMIT_PER_S),))


def most_in_window(engine, since_s):
    arrivals = [at_s for at_s in engine.arrivals_s if at_s >= since_s]
    return max(
        (sum(1 for at_s in arrivals if start <= at_s < start + WINDOW_S) for start in arrivals),
        default=0,
    )


async def call_all_the_time(system, gateway, responses, path=edge_system.RESUMABLE_PREFIX):
    async with trio.open_nursery() as nursery:
        for number in itertools.count():
            nursery.start_soon(call_once, system, gateway, f"{gateway}-{number}", path, responses)
            await trio.sleep(CALLER_INTERVAL_S)


async def call_once(system, gateway, request, path, responses):
    sent_s = trio.current_time()
    try:
        got = await system.send_online(gateway, path, request)
    except engine_port.CallError:
        return
    responses.append((trio.current_time() - sent_s, got))


async def play(system, gateways, for_s=PLAY_S, **options):
    """Call each gateway all the time for a while and return the responses."""
    responses = []
    with trio.move_on_after(for_s):
        async with trio.open_nursery() as nursery:
            for name in gateways:
                nursery.start_soon(
                    lambda gateway: call_all_the_time(system, gateway, responses, **options), name
                )
    return responses


# Guards against upstreams that get from all VMs together more than the limit that they named.
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
@pytest.mark.parametrize("declining", [False, True])
async def test_limited_upstreams_get_no_more_than_they_take(path, declining):
    async with edge_system.run_system(gateways=3, workers=2, engines=3) as system:
        limited = list(system.engines.values())[:2]
        limit_engines(limited)
        if declining:
            limited[0].faults = stream_engine.Faults(limits=(str(LIMIT_PER_S),), decline=True)
        started_s = trio.current_time()
        gateways = [f"gateway-{number}" for number in range(3)]
        responses = await play(system, gateways, path=path)
        for engine in limited:
            assert most_in_window(engine, started_s + RULE_STARTS_S) <= ALLOWED
    assert sum(got.status == 200 for _, got in responses) >= 0.97 * len(responses)


# Guards against batch items, load polls and crash checks that go past the limit.
async def test_batch_items_and_polls_count_against_the_limit():
    async with edge_system.run_system(gateways=2, workers=3, engines=2) as system:
        limited = list(system.engines.values())
        limit_engines(limited)
        await trio.sleep(1.0)
        started_s = trio.current_time()
        items = {f"item-{number}": b"note" for number in range(120)}
        await system.submit("gateway-0", "job", items)
        await play(system, ["gateway-0", "gateway-1"], for_s=7.0)
        for engine in limited:
            assert most_in_window(engine, started_s) <= ALLOWED


# Guards against an allowance that lies unused at VMs without callers, and against callers that are
# kept waiting for one that won't come.
async def test_one_gateway_uses_the_whole_limit_and_refuses_the_rest_at_once():
    async with edge_system.run_system(gateways=3, workers=2, engines=1) as system:
        limit_engines(system.engines.values())
        await play(system, ["gateway-0"], for_s=1.0)
        responses = await play(system, ["gateway-0"], for_s=6.0)
        served = [took_s for took_s, got in responses if got.status == 200]
        refused = [(took_s, got) for took_s, got in responses if got.status != 200]
        assert 0.7 * LIMIT_PER_S * 6.0 <= len(served) <= ALLOWED * 1.5
        assert {got.status for _, got in refused} == {503}
        assert max(took_s for took_s, _ in refused) < 0.3
        assert all(0.3 <= float(got.headers["retry-after"]) < 3.0 for _, got in refused)


# Guards against a limit that is kept after the upstream has ceased to name it.
async def test_requests_flow_again_soon_after_the_limit_has_ended():
    async with edge_system.run_system(gateways=2, workers=1, engines=1) as system:
        limit_engines(system.engines.values())
        await play(system, ["gateway-0", "gateway-1"], for_s=2.0)
        system.engines["engine-0"].faults = stream_engine.Faults()
        await play(system, ["gateway-0"], for_s=1.0)
        responses = await play(system, ["gateway-0", "gateway-1"], for_s=1.0)
        assert {got.status for _, got in responses} == {200}


# Guards against a limit that outlives the start of the upstream that named it.
async def test_next_start_of_an_upstream_has_no_limit():
    async with edge_system.run_system(gateways=1, workers=1, engines=1) as system:
        engine = system.engines["engine-0"]
        limit_engines([engine])
        await play(system, ["gateway-0"], for_s=1.0)
        engine.faults = stream_engine.Faults()
        engine.started_ms = 17
        await system.register(engine.upstream(edge_system.SERVICE, "north"))
        await trio.sleep(0.6)
        responses = await play(system, ["gateway-0"], for_s=0.5)
        assert {got.status for _, got in responses} == {200}


# Guards against a VM that has just started and sends freely until it has heard the limit itself.
async def test_gateway_that_has_just_started_learns_limits_from_its_peers():
    async with edge_system.run_system(gateways=1, workers=1, engines=1) as system:
        limit_engines(system.engines.values())
        await play(system, ["gateway-0"], for_s=1.0)
        node = await system.start_gateway("gateway-late")
        await system.wait_until_ready("gateway-late")
        await trio.sleep(1.5)
        limits = node.kern.find("upstream_limits", upstream_limits.UpstreamLimits)
        up = system.engines["engine-0"].upstream(edge_system.SERVICE, "north")
        assert limits.limit_of(up) == LIMIT_PER_S


# Guards against a gateway that sends nothing, or freely, once no worker responds to it.
async def test_gateway_without_a_batch_owner_uses_its_fixed_part():
    async with edge_system.run_system(gateways=2, workers=1, engines=1) as system:
        limit_engines(system.engines.values())
        await play(system, ["gateway-0", "gateway-1"], for_s=1.0)
        system.nodes["worker-0"].scope.cancel()
        await trio.sleep(2.5)
        started_s = trio.current_time()
        responses = await play(system, ["gateway-0", "gateway-1"], for_s=6.0)
        assert most_in_window(system.engines["engine-0"], started_s) <= ALLOWED
        assert sum(got.status == 200 for _, got in responses) >= 0.4 * LIMIT_PER_S * 6.0


# Guards against calm days that pay for limits.
async def test_nothing_is_told_or_asked_without_a_limit(monkeypatch):
    sent = []
    send = peers.Peers.send
    monkeypatch.setattr(
        peers.Peers, "send", lambda self, vm, body: sent.append(body) or send(self, vm, body)
    )
    async with edge_system.run_system(gateways=2, workers=1, engines=2) as system:
        await play(system, ["gateway-0", "gateway-1"], for_s=1.0)
    limit_messages = (messages.UpstreamLimits, messages.AllowanceRequest, messages.AllowanceGrant)
    assert sent
    assert not any(isinstance(body, limit_messages) for body in sent)
