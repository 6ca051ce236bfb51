"""Online requests through a gateway to engines, including faulty ones."""

import pytest
import trio

from cornelgrade.adapters import http1
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.policy import placement


async def test_request_and_stream_are_relayed_unchanged():
    async with edge_system.run_system() as system:
        got = await system.send_online(
            "gateway-0", f"{edge_system.ONCE_PREFIX}a%2Fb?x=1&y", "r1", body=b"\x00\xff"
        )
        seen = system.engines["engine-0"].seen[0]
    assert (got.status, got.body, got.complete) == (200, stream_engine.response_body("r1", 5), True)
    assert got.headers["x-response-signature"] == "signed"
    assert (seen.target, seen.body) == (b"/once/a%2Fb?x=1&y", b"\x00\xff")
    assert seen.headers["x-expect-instance"] == "engine-0"
    assert 4000 < int(seen.headers["x-deadline-ms"]) <= 5000


@pytest.mark.parametrize(
    ("host", "path", "status"),
    [
        (edge_system.HOST, "/nowhere/", 404),
        ("other.example", edge_system.ONCE_PREFIX, 404),
        (edge_system.HOST, edge_system.ONCE_PREFIX, 200),
        (f"{edge_system.HOST}:8080", edge_system.ONCE_PREFIX, 200),
    ],
)
async def test_route_is_found_by_host_and_prefix(host, path, status):
    async with edge_system.run_system() as system:
        headers = {"host": host, "x-request-id": "r1"}
        got = await system.send("gateway-0", "POST", path, headers)
    assert got.status == status


async def test_declined_request_is_retried_at_another_engine():
    async with edge_system.run_system(engines=2) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(decline=True)
        for number in range(4):
            got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, f"r{number}")
            assert got.body == stream_engine.response_body(f"r{number}", 5)


async def test_request_declined_by_all_engines_gets_503_with_retry_after():
    async with edge_system.run_system(engines=2) as system:
        for engine in system.engines.values():
            engine.faults = stream_engine.Faults(decline=True)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
    assert got.status == 503
    assert 0 < float(got.headers["retry-after"]) < 5


async def test_request_that_ran_gets_502_when_no_other_engine_has_room():
    async with edge_system.run_system(engines=2, slots=1, events=500) as system:
        full, cutting = system.engines["engine-0"], system.engines["engine-1"]
        cutting.faults = stream_engine.Faults(decline=True)
        requests_to_fill = 1 + placement.MAX_WAITING_AT_UPSTREAM
        for number in range(requests_to_fill):
            system.nursery.start_soon(
                system.send_online, "gateway-0", edge_system.ONCE_PREFIX, f"long-{number}"
            )
        with trio.fail_after(3):
            while full.running + full.waiting < requests_to_fill:
                await trio.sleep(0.01)
        cutting.faults = stream_engine.Faults(cut_after=0)
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
        assert [seen.request for seen in cutting.seen if seen.ran] == ["r1"]
    assert got.status == 502


@pytest.mark.parametrize("cut_after", [0, 2])
async def test_non_idempotent_request_runs_at_most_once(cut_after):
    async with edge_system.run_system(engines=3) as system:
        for engine in system.engines.values():
            engine.faults = stream_engine.Faults(cut_after=cut_after)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
        runs = sum(len(engine.seen) for engine in system.engines.values())
    assert runs == 1
    assert not got.complete


@pytest.mark.parametrize("fault", ["cut_after", "silent_after"])
async def test_resumable_stream_resumes_at_another_engine_after_its_last_event(fault):
    async with edge_system.run_system(engines=2) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(**{fault: 2})
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
        if not system.engines["engine-0"].seen:
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r2")
        other = system.engines["engine-1"].seen
    request = other[-1].request
    assert (got.body, got.complete) == (stream_engine.response_body(request, 5), True)


async def test_incomplete_stream_is_not_terminated_as_complete():
    async with edge_system.run_system(engines=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(cut_after=3)
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
    assert not got.complete
    assert got.body == stream_engine.response_body("r1", 3)


async def test_response_to_another_request_is_not_relayed():
    async with edge_system.run_system(engines=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(foreign=True)
        got = await system.send_online(
            "gateway-0", edge_system.ONCE_PREFIX, "r1", x_deadline_ms="400"
        )
    assert got.status in (502, 504)
    assert b"not yours" not in got.body


async def test_unsigned_success_is_not_relayed():
    async with edge_system.run_system(engines=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(unsigned=True)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
    assert got.status == 502


async def test_failure_status_of_an_engine_is_relayed():
    async with edge_system.run_system(engines=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(fail=500)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
    assert (got.status, got.body) == (500, b"failed")


async def test_caller_disconnect_cancels_the_engine_request():
    async with edge_system.run_system(engines=1, events=500) as system:
        address = system.nodes["gateway-0"].cfg.caller_address
        headers = ((b"host", edge_system.HOST.encode()), (b"x-request-id", b"r1"))
        with await http1.connect(address, 1.0) as channel:
            await channel.send("POST", edge_system.ONCE_PREFIX.encode(), headers, b"")
            await channel.read_head()
            await channel.read_chunk()
        with trio.fail_after(0.4):
            while system.engines["engine-0"].running:
                await trio.sleep(0.01)
    assert system.engines["engine-0"].seen[0].cancelled


async def test_request_ends_at_its_deadline():
    async with edge_system.run_system(engines=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(silent_after=0)
        started_s = trio.current_time()
        got = await system.send_online(
            "gateway-0", edge_system.ONCE_PREFIX, "r1", x_deadline_ms="500"
        )
        took_s = trio.current_time() - started_s
    assert not got.complete or got.status == 504
    assert took_s < 0.8


async def test_gateway_without_a_plan_is_not_ready_and_refuses_requests():
    async with trio.open_nursery() as nursery:
        system = edge_system.System(nursery)
        await system.start_gateway("gateway-0")
        assert await system.ready("gateway-0") == 503
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
        nursery.cancel_scope.cancel()
    assert got.status == 503
    assert "retry-after" in got.headers


async def test_older_plan_is_ignored():
    async with edge_system.run_system() as system:
        await system.plan(edge_system.make_plan(version=7))
        await system.plan(edge_system.routes.Plan(6, (), ()))
        await trio.sleep(0.2)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
    assert got.status == 200


async def test_leaving_engine_gets_no_new_requests():
    async with edge_system.run_system(engines=2) as system:
        engine = system.engines["engine-0"]
        leaving = edge_system.dataclasses.replace(
            engine.upstream(edge_system.SERVICE, "north"), leaving=True
        )
        await system.register(leaving)
        await trio.sleep(0.2)
        for number in range(6):
            await system.send_online("gateway-0", edge_system.ONCE_PREFIX, f"r{number}")
    assert engine.seen == []


async def test_shutdown_completes_running_responses():
    async with edge_system.run_system(events=100) as system:
        answers: list[edge_system.ReceivedResponse] = []

        async def send_online() -> None:
            answers.append(await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_online)
            await trio.sleep(0.1)
            await system.nodes["gateway-0"].drain()
        assert await system.ready("gateway-0") == 503
    assert answers[0].body == stream_engine.response_body("r1", 100)


async def test_unreachable_upstream_is_skipped_until_its_probe_succeeds():
    async with edge_system.run_system(engines=2) as system:
        near, far = system.engines["engine-0"], system.engines["engine-1"]
        near._server.crash(down_s=1.0)
        await trio.sleep(0.05)
        for number in range(8):
            got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, f"r{number}")
            assert got.body == stream_engine.response_body(f"r{number}", 5)
        assert len(far.seen) == 8
        await trio.sleep(1.6)
        await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "again")
    assert [seen.request for seen in near.seen] == ["again"]


async def test_started_stream_waits_for_a_permit_to_resume():
    async with edge_system.run_system(engines=2, slots=1, events=40) as system:
        first, second = system.engines["engine-0"], system.engines["engine-1"]
        first.faults = stream_engine.Faults(cut_after=4)
        answers: dict[str, edge_system.ReceivedResponse] = {}

        async def send_online(request: str, path: str) -> None:
            answers[request] = await system.send_online("gateway-0", path, request)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_online, "resumed", edge_system.RESUMABLE_PREFIX)
            with trio.fail_after(2):
                while not first.seen:
                    await trio.sleep(0.001)
            for number in range(3):
                nursery.start_soon(send_online, f"other-{number}", edge_system.ONCE_PREFIX)
    assert answers["resumed"].body == stream_engine.response_body("resumed", 40)
    assert second.seen[-1].request == "resumed"
