"""Gateways that lost their links to all upstreams, which others still reach."""

import dataclasses
import time

import pytest
import trio
from tests.edge import stranded

from cornelgrade.adapters import engine as engine_port
from cornelgrade.adapters import peer_auth
from cornelgrade.platform.standins import edge_system, formats, stream_engine
from cornelgrade.schema import messages
from cornelgrade.services import quarantine
from cornelgrade.services.edge import frontend, peers, upstream_reach

REQUESTS = 20
# Within this time a gateway must have noticed that it lost its upstreams.
NOTICE_S = 1.5
PAUSE_S = 1.2


async def send_all(system, gateway, first, path=edge_system.RESUMABLE_PREFIX, count=REQUESTS):
    responses = []

    async def send(number):
        started_s = trio.current_time()
        got = await system.send_online(gateway, path, f"{gateway}-{number}")
        responses.append((trio.current_time() - started_s, got))

    async with trio.open_nursery() as nursery:
        for number in range(first, first + count):
            nursery.start_soon(send, number)
            await trio.sleep(0.03)
    return responses


async def notice(system, gateway):
    await send_all(system, gateway, 1000, count=4)
    await trio.sleep(NOTICE_S)


def runs_of(system, request):
    return [
        seen
        for engine in system.engines.values()
        for seen in engine.seen
        if seen.request == request
    ]


# Guards against callers of a gateway without upstreams who are refused while others are served.
@pytest.mark.parametrize("refuses", [False, True])
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
@pytest.mark.parametrize("others", [1, 3])
async def test_stranded_gateways_serve_through_one_that_reaches_upstreams(
    monkeypatch, refuses, path, others
):
    async with edge_system.run_system(gateways=others + 1, workers=1, engines=3) as system:
        cut = [f"gateway-{number}" for number in range(others)]
        with stranded.cut_vms(system, monkeypatch, *cut, refuses=refuses):
            for name in cut:
                await notice(system, name)
            for name in cut:
                responses = await send_all(system, name, 0, path)
                assert [got.status for _, got in responses] == [200] * REQUESTS
                for number in range(REQUESTS):
                    assert len(runs_of(system, f"{name}-{number}")) == 1
        engine = system.engines["engine-0"]
        bodies = {got.body for _, got in responses}
        assert stream_engine.response_body(f"{cut[-1]}-3", engine.events) in bodies


# Guards against links that accept connections and then reset them, and look alive.
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
async def test_gateway_whose_connections_are_reset_serves_through_another(monkeypatch, path):
    async with edge_system.run_system(gateways=2, workers=1, engines=3) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", resets=True):
            await notice(system, "gateway-0")
            responses = await send_all(system, "gateway-0", 0, path)
    assert [got.status for _, got in responses] == [200] * REQUESTS


# Guards against texts that are refused everywhere as the cause of crashes which only a gateway
# without links has seen.
async def test_gateway_without_links_reports_no_crashes(monkeypatch):
    reported = []
    monkeypatch.setattr(
        quarantine.Quarantine, "report_crash", lambda self, name, *more: reported.append(name)
    )
    async with edge_system.run_system(gateways=3, workers=1, engines=3) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", resets=True):
            await send_all(system, "gateway-0", 0, count=4)
            await trio.sleep(NOTICE_S)
        assert not reported
        system.engines["engine-0"].faults = stream_engine.Faults(crash_on=b"crashing")
        await system.send_online("gateway-1", edge_system.RESUMABLE_PREFIX, "r1", b"crashing")
        await trio.sleep(NOTICE_S)
        assert reported == ["engine-0"] * system.engines["engine-0"].crashes


# Guards against requests that are held, or passed round, when no gateway reaches an upstream.
@pytest.mark.parametrize("refuses", [False, True])
async def test_all_stranded_gateways_refuse_at_once(monkeypatch, refuses):
    async with edge_system.run_system(gateways=3, workers=1, engines=3) as system:
        cut = [f"gateway-{number}" for number in range(3)]
        with stranded.cut_vms(system, monkeypatch, *cut, refuses=refuses):
            for name in cut:
                await notice(system, name)
            responses = await send_all(system, "gateway-0", 0)
    assert {got.status for _, got in responses} == {503}
    assert max(took_s for took_s, _ in responses) < 0.4
    assert all(float(got.headers["retry-after"]) > 0 for _, got in responses)


# Guards against a gateway that takes an upstream which it never reached for the end of the cut.
async def test_upstream_registered_during_a_cut_is_used_only_once_it_responds(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, engines=3) as system:
        reach = system.nodes["gateway-0"].kern.find("upstream_reach", upstream_reach.UpstreamReach)
        with stranded.cut_vms(system, monkeypatch, "gateway-0", resets=True) as cuts:
            await notice(system, "gateway-0")
            await system.start_engine("engine-9")
            responses = []
            for first in (0, REQUESTS, 2 * REQUESTS):
                responses += await send_all(system, "gateway-0", first, edge_system.ONCE_PREFIX)
            assert [got.status for _, got in responses] == [200] * 3 * REQUESTS
            assert reach.has_lost(edge_system.SERVICE)
            cuts.vms.clear()
            await trio.sleep(2.0)
            assert not reach.has_lost(edge_system.SERVICE)


# Guards against a gateway that goes on using its peers after its links are back.
async def test_gateway_sends_directly_again_soon_after_the_cut(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, engines=3) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True) as cuts:
            await notice(system, "gateway-0")
            reach = system.nodes["gateway-0"].kern.find(
                "upstream_reach", upstream_reach.UpstreamReach
            )
            assert reach.has_lost(edge_system.SERVICE)
            cuts.vms.clear()
            await trio.sleep(2.0)
            assert not reach.has_lost(edge_system.SERVICE)


# Guards against a stream that ends when its gateway loses its links, or its peer dies.
async def test_stream_goes_on_when_the_peer_that_forwards_it_dies(monkeypatch):
    async with edge_system.run_system(gateways=3, workers=1, engines=3, events=60) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await notice(system, "gateway-0")
            async with trio.open_nursery() as nursery:
                got = []

                async def send():
                    got.append(
                        await system.send_online(
                            "gateway-0", edge_system.RESUMABLE_PREFIX, "long", b"question"
                        )
                    )

                nursery.start_soon(send)
                await trio.sleep(0.25)
                (run,) = runs_of(system, "long")
                busy = next(
                    name
                    for name in ("gateway-1", "gateway-2")
                    if system.nodes[name].kern.find("front", object)._count_active()
                )
                assert not run.ended
                system.nodes[busy].scope.cancel()
    assert got[0].complete
    assert got[0].body == stream_engine.response_body("long", 60)


# Guards against an upstream that works on after the caller of a stranded gateway has left.
async def test_close_by_the_caller_reaches_the_upstream_over_the_hop(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, engines=3, events=300) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await notice(system, "gateway-0")
            with trio.move_on_after(0.3):
                await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "left")
            await trio.sleep(0.5)
            (run,) = runs_of(system, "left")
            assert run.cancelled


# Guards against a request that may run once only and runs again through another peer.
async def test_request_that_runs_once_is_not_sent_again_after_the_hop_broke(monkeypatch):
    async with edge_system.run_system(gateways=3, workers=1, engines=3, events=60) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await notice(system, "gateway-0")
            for engine in system.engines.values():
                engine.faults = stream_engine.Faults(cut_after=3)
            got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "once")
    assert not got.complete
    assert len(runs_of(system, "once")) == 1


# Guards against more attempts than the route allows, as the peer makes some of its own.
@pytest.mark.parametrize("faults", [{"cut_after": 3}, {"end_before_events": True}, {"fail": 500}])
async def test_attempts_over_the_hop_are_bounded_as_direct_ones_are(monkeypatch, faults):
    async with edge_system.run_system(gateways=3, workers=1, engines=4) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await notice(system, "gateway-0")
            for engine in system.engines.values():
                engine.faults = stream_engine.Faults(**faults)
            await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
    (route,) = (r for r in edge_system.make_plan().routes if r.name == "resumed")
    assert 0 < len(runs_of(system, "r1")) <= route.max_attempts


# Guards against a stream that ends with the first upstream that fails over the hop.
async def test_stream_over_the_hop_goes_on_at_another_upstream(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, engines=2, events=20) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await notice(system, "gateway-0")
            system.engines["engine-0"].faults = stream_engine.Faults(cut_after=3)
            for number in range(REQUESTS):
                name = f"r{number}"
                got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, name)
                if len(runs_of(system, name)) > 1:
                    break
    assert got.complete
    assert got.body == stream_engine.response_body(name, 20)


# Guards against "not run" for a request that a peer may have run when its deadline passed.
async def test_request_that_a_peer_never_answers_may_have_run(monkeypatch):
    async def hold(self, exchange):
        await trio.sleep_forever()

    monkeypatch.setattr(frontend.Frontend, "_handle_forwarded", hold)
    async with edge_system.run_system(gateways=2, workers=1, engines=3) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await notice(system, "gateway-0")
            headers = formats.online_headers("held", 0.5)
            got = await system.send("gateway-0", "POST", edge_system.ONCE_PREFIX, headers)
    assert got.status == 504
    assert "retry-after" not in got.headers


# Guards against callers that use the peers' address to get past admission.
@pytest.mark.parametrize("forged", [{}, {peer_auth.AUTH_HEADER: f"gateway-1 {0} 00 00"}])
async def test_requests_that_no_peer_signed_are_rejected(forged):
    async with edge_system.run_system(gateways=1, engines=1) as system:
        address = system.nodes["gateway-0"].cfg.peer_address
        headers = {"host": edge_system.HOST, **formats.online_headers("r1", 5.0), **forged}
        headers |= {"cornelgrade-sender": "gateway-1", "cornelgrade-runs": "0"}
        if forged:
            headers[peer_auth.AUTH_HEADER] = f"gateway-1 {int(time.time() * 1000)} 00 00"
        got = await edge_system.call(address, "POST", b"/once/", headers, b"question")
        assert got.status == 401
        assert not system.engines["engine-0"].seen


# Guards against a silent or dead upstream that is taken for lost links.
async def test_single_upstream_that_is_down_strands_nobody(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, engines=3) as system:
        system.engines["engine-0"].crash(3.0)
        responses = await send_all(system, "gateway-0", 0)
        reach = system.nodes["gateway-0"].kern.find("upstream_reach", upstream_reach.UpstreamReach)
        assert not reach.has_lost(edge_system.SERVICE)
    assert [got.status for _, got in responses] == [200] * REQUESTS


# Guards against sound upstreams that are silent for a moment and are taken for lost links, and
# against a request that is given up although it may run once only.
async def test_pause_of_a_sound_upstream_is_no_disturbance():
    async with edge_system.run_system(gateways=2, workers=1, engines=3, events=30) as system:
        reach = system.nodes["gateway-0"].kern.find("upstream_reach", upstream_reach.UpstreamReach)
        responses = []

        async def send():
            responses.extend(await send_all(system, "gateway-0", 0, edge_system.ONCE_PREFIX))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.3)
            system.engines["engine-0"].pause(PAUSE_S)
            await trio.sleep(PAUSE_S)
            assert not reach.has_lost(edge_system.SERVICE)
    assert [got.status for _, got in responses] == [200] * REQUESTS
    assert all(got.complete for _, got in responses)


# Guards against calm days that pay for the questions of stranded gateways.
async def test_gateways_that_reach_their_upstreams_ask_nothing(monkeypatch):
    sent = []
    send = peers.Peers.send
    monkeypatch.setattr(
        peers.Peers, "send", lambda self, vm, body: sent.append(body) or send(self, vm, body)
    )
    async with edge_system.run_system(gateways=2, workers=1, engines=2) as system:
        await send_all(system, "gateway-0", 0)
    assert sent
    assert not any(isinstance(body, messages.ReachQuery | messages.ReachReport) for body in sent)


# Guards against a gateway that is shut down under a request that it serves for another one.
async def test_shutdown_finishes_requests_that_were_forwarded(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, engines=3, events=100) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await notice(system, "gateway-0")
            got = []

            async def send():
                try:
                    got.append(
                        await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "last")
                    )
                except engine_port.CallError as exc:
                    got.append(exc)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(0.2)
                peer = system.nodes["gateway-1"]
                await peer.drain()
                peer.kern.stop()
    assert got[0].complete


# Guards against a request at the limit on headers that is rejected because of the hop's own ones.
async def test_forwarded_request_may_have_as_many_headers_as_a_direct_one(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, engines=3) as system:
        plan = edge_system.make_plan(version=2)
        limits = dataclasses.replace(plan.limits, header_bytes=1500)
        await system.plan(dataclasses.replace(plan, limits=limits))
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await notice(system, "gateway-0")
            got = await system.send_online(
                "gateway-0", edge_system.ONCE_PREFIX, "r1", x_note="n" * 1200
            )
    assert got.status == 200


# Guards against an upstream that goes on for a caller who has left the gateway that forwarded it.
async def test_forwarded_request_stops_when_its_caller_has_left(monkeypatch):
    async with edge_system.run_system(gateways=2, workers=1, engines=3) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0"):
            await notice(system, "gateway-0")
            for engine in system.engines.values():
                engine.events = 400
            with trio.move_on_after(1.0) as scope:
                await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "left")
            assert scope.cancelled_caught
            assert len(runs_of(system, "left")) == 1
            with trio.fail_after(0.5):
                while any(engine.running for engine in system.engines.values()):
                    await trio.sleep(0.01)
        assert runs_of(system, "left")[0].cancelled
