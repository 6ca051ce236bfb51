"""Online requests through a gateway to engines that misbehave."""

import pytest
import trio

from cornelgrade.adapters import http1
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.policy import placement


async def test_stream_comes_whole_and_unchanged():
    async with edge_system.running() as rig:
        got = await rig.ask("gateway-0", f"{edge_system.ONCE}a%2Fb?x=1&y", "r1", body=b"\x00\xff")
        seen = rig.engines["engine-0"].seen[0]
    assert (got.status, got.body, got.whole) == (200, stream_engine.whole("r1", 5), True)
    assert got.headers["x-response-signature"] == "signed"
    assert (seen.target, seen.body) == (b"/once/a%2Fb?x=1&y", b"\x00\xff")
    assert seen.headers["x-expect-instance"] == "engine-0"
    assert 4000 < int(seen.headers["x-deadline-ms"]) <= 5000


@pytest.mark.parametrize(
    ("host", "path", "status"),
    [
        (edge_system.HOST, "/nowhere/", 404),
        ("other.example", edge_system.ONCE, 404),
        (edge_system.HOST, edge_system.ONCE, 200),
        (f"{edge_system.HOST}:8080", edge_system.ONCE, 200),
    ],
)
async def test_route_is_found_by_host_and_prefix(host, path, status):
    async with edge_system.running() as rig:
        headers = {"host": host, "x-request-id": "r1"}
        got = await rig.send("gateway-0", "POST", path, headers)
    assert got.status == status


async def test_declined_request_goes_to_another_engine():
    async with edge_system.running(engines=2) as rig:
        rig.engines["engine-0"].faults = stream_engine.Faults(decline=True)
        for number in range(4):
            got = await rig.ask("gateway-0", edge_system.ONCE, f"r{number}")
            assert got.body == stream_engine.whole(f"r{number}", 5)


async def test_request_declined_everywhere_is_refused_as_not_run_with_a_time_to_come_back():
    async with edge_system.running(engines=2) as rig:
        for engine in rig.engines.values():
            engine.faults = stream_engine.Faults(decline=True)
        got = await rig.ask("gateway-0", edge_system.ONCE, "r1")
    assert got.status == 503
    assert 0 < float(got.headers["retry-after"]) < 5


async def test_request_that_ran_is_never_refused_as_not_run_when_no_other_engine_has_room():
    async with edge_system.running(engines=2, slots=1, events=500) as rig:
        full, cutting = rig.engines["engine-0"], rig.engines["engine-1"]
        cutting.faults = stream_engine.Faults(decline=True)
        longer = 1 + placement.WAITING_AT_UPSTREAM
        for number in range(longer):
            rig.nursery.start_soon(rig.ask, "gateway-0", edge_system.ONCE, f"long-{number}")
        with trio.fail_after(3):
            while full.running + full.waiting < longer:
                await trio.sleep(0.01)
        cutting.faults = stream_engine.Faults(cut_after=0)
        got = await rig.ask("gateway-0", edge_system.RESUMED, "r1")
        assert [seen.request for seen in cutting.seen if seen.ran] == ["r1"]
    assert got.status == 502


@pytest.mark.parametrize("cut_after", [0, 2])
async def test_request_that_may_run_once_never_runs_again(cut_after):
    async with edge_system.running(engines=3) as rig:
        for engine in rig.engines.values():
            engine.faults = stream_engine.Faults(cut_after=cut_after)
        got = await rig.ask("gateway-0", edge_system.ONCE, "r1")
        runs = sum(len(engine.seen) for engine in rig.engines.values())
    assert runs == 1
    assert not got.whole


@pytest.mark.parametrize("fault", ["cut_after", "silent_after"])
async def test_resumable_stream_goes_on_at_another_engine_behind_its_last_event(fault):
    async with edge_system.running(engines=2) as rig:
        rig.engines["engine-0"].faults = stream_engine.Faults(**{fault: 2})
        got = await rig.ask("gateway-0", edge_system.RESUMED, "r1")
        if not rig.engines["engine-0"].seen:
            got = await rig.ask("gateway-0", edge_system.RESUMED, "r2")
        other = rig.engines["engine-1"].seen
    request = other[-1].request
    assert (got.body, got.whole) == (stream_engine.whole(request, 5), True)


async def test_stream_of_which_events_are_missing_is_never_ended_properly():
    async with edge_system.running(engines=1) as rig:
        rig.engines["engine-0"].faults = stream_engine.Faults(cut_after=3)
        got = await rig.ask("gateway-0", edge_system.RESUMED, "r1")
    assert not got.whole
    assert got.body == stream_engine.whole("r1", 3)


async def test_answer_to_another_request_is_never_passed_on():
    async with edge_system.running(engines=1) as rig:
        rig.engines["engine-0"].faults = stream_engine.Faults(foreign=True)
        got = await rig.ask("gateway-0", edge_system.ONCE, "r1", x_deadline_ms="400")
    assert got.status in (502, 504)
    assert b"not yours" not in got.body


async def test_success_without_its_proof_is_not_passed_on():
    async with edge_system.running(engines=1) as rig:
        rig.engines["engine-0"].faults = stream_engine.Faults(unsigned=True)
        got = await rig.ask("gateway-0", edge_system.ONCE, "r1")
    assert got.status == 502


async def test_engines_own_failure_is_passed_on():
    async with edge_system.running(engines=1) as rig:
        rig.engines["engine-0"].faults = stream_engine.Faults(fail=500)
        got = await rig.ask("gateway-0", edge_system.ONCE, "r1")
    assert (got.status, got.body) == (500, b"failed")


async def test_caller_that_leaves_frees_the_engine_at_once():
    async with edge_system.running(engines=1, events=500) as rig:
        address = rig.nodes["gateway-0"].cfg.caller_address
        headers = ((b"host", edge_system.HOST.encode()), (b"x-request-id", b"r1"))
        with await http1.connect(address, 1.0) as channel:
            await channel.send("POST", edge_system.ONCE.encode(), headers, b"")
            await channel.head()
            await channel.body()
        with trio.fail_after(0.4):
            while rig.engines["engine-0"].running:
                await trio.sleep(0.01)
    assert rig.engines["engine-0"].seen[0].cancelled


async def test_request_is_answered_when_its_time_is_over():
    async with edge_system.running(engines=1) as rig:
        rig.engines["engine-0"].faults = stream_engine.Faults(silent_after=0)
        begun_s = trio.current_time()
        got = await rig.ask("gateway-0", edge_system.ONCE, "r1", x_deadline_ms="500")
        took_s = trio.current_time() - begun_s
    assert not got.whole or got.status == 504
    assert took_s < 0.8


async def test_gateway_without_a_plan_is_not_ready_and_refuses_as_not_run():
    async with trio.open_nursery() as nursery:
        rig = edge_system.System(nursery)
        await rig.gateway("gateway-0")
        assert await rig.ready("gateway-0") == 503
        got = await rig.ask("gateway-0", edge_system.ONCE, "r1")
        nursery.cancel_scope.cancel()
    assert got.status == 503
    assert "retry-after" in got.headers


async def test_older_plan_never_comes_into_force():
    async with edge_system.running() as rig:
        await rig.plan(edge_system.a_plan(version=7))
        await rig.plan(edge_system.routes.Plan(6, (), ()))
        await trio.sleep(0.2)
        got = await rig.ask("gateway-0", edge_system.ONCE, "r1")
    assert got.status == 200


async def test_leaving_engine_gets_no_new_work():
    async with edge_system.running(engines=2) as rig:
        engine = rig.engines["engine-0"]
        gone = edge_system.dataclasses.replace(
            engine.upstream(edge_system.SERVICE, "north"), leaving=True
        )
        await rig.register(gone)
        await trio.sleep(0.2)
        for number in range(6):
            await rig.ask("gateway-0", edge_system.ONCE, f"r{number}")
    assert engine.seen == []


async def test_shutdown_cuts_no_answer_off():
    async with edge_system.running(events=100) as rig:
        answers: list[edge_system.Answer] = []

        async def ask() -> None:
            answers.append(await rig.ask("gateway-0", edge_system.ONCE, "r1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            await rig.nodes["gateway-0"].drain()
        assert await rig.ready("gateway-0") == 503
    assert answers[0].body == stream_engine.whole("r1", 100)


async def test_upstream_that_cant_be_reached_costs_one_request_and_is_used_again_when_it_answers():
    async with edge_system.running(engines=2) as rig:
        near, far = rig.engines["engine-0"], rig.engines["engine-1"]
        near._server.crash(down_s=1.0)
        await trio.sleep(0.05)
        for number in range(8):
            got = await rig.ask("gateway-0", edge_system.ONCE, f"r{number}")
            assert got.body == stream_engine.whole(f"r{number}", 5)
        assert len(far.seen) == 8
        await trio.sleep(1.6)
        await rig.ask("gateway-0", edge_system.ONCE, "again")
    assert [seen.request for seen in near.seen] == ["again"]


async def test_stream_that_has_begun_waits_for_a_place_to_go_on():
    async with edge_system.running(engines=2, slots=1, events=40) as rig:
        first, second = rig.engines["engine-0"], rig.engines["engine-1"]
        first.faults = stream_engine.Faults(cut_after=4)
        answers: dict[str, edge_system.Answer] = {}

        async def ask(request: str, path: str) -> None:
            answers[request] = await rig.ask("gateway-0", path, request)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "resumed", edge_system.RESUMED)
            with trio.fail_after(2):
                while not first.seen:
                    await trio.sleep(0.001)
            for number in range(3):
                nursery.start_soon(ask, f"other-{number}", edge_system.ONCE)
    assert answers["resumed"].body == stream_engine.whole("resumed", 40)
    assert second.seen[-1].request == "resumed"
