"""Streams in which an upstream writes bytes that don't belong there."""

import pytest
import trio
from tests.edge import test_unframed_responses

from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.standins import _http_server

EVENTS = 5
start_system = test_unframed_responses.start_system
set_faults = test_unframed_responses.set_faults
RUN_ONCE_PREFIXES = test_unframed_responses.RUN_ONCE_PREFIXES


def is_part_of_own_stream(got):
    return got.body == stream_engine.response_body("r1", EVENTS)[: len(got.body)]


# Guards against passing on another request's response behind one that only its connection ends.
@pytest.mark.parametrize("path", RUN_ONCE_PREFIXES)
async def test_second_response_is_not_passed_on_with_a_stream_that_runs_once(start_system, path):
    async with edge_system.run_system() as system:
        await start_system(system)
        set_faults(system, unframed=True, foreign_after=True)
        got = await system.send_online("gateway-0", path, "r1")
        (seen,) = [s for s in system.engines["engine-0"].seen if s.request == "r1"]
    assert seen.ran
    assert is_part_of_own_stream(got)
    assert not (got.status == 200 and got.complete)


# Guards against passing on what follows a resumable stream.
async def test_second_response_is_not_passed_on_with_a_resumable_stream():
    async with edge_system.run_system(engines=2) as system:
        for number in range(4):
            for name, eng in system.engines.items():
                foreign_after = name == f"engine-{number % 2}"
                eng.faults = stream_engine.Faults(unframed=True, foreign_after=foreign_after)
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, f"r{number}")
            assert got.body == stream_engine.response_body(f"r{number}", EVENTS)
            assert got.status == 200


# Guards against numbers that go back or are missing within a stream that runs once.
@pytest.mark.parametrize("numbers", [(1, 2, 1), (1, 2, 2), (1, 2, 4)])
@pytest.mark.parametrize("path", RUN_ONCE_PREFIXES)
async def test_stream_that_runs_once_ends_before_an_event_out_of_order(
    start_system, monkeypatch, path, numbers
):
    async def send_out_of_order(self, req, seen, faults):
        for number in numbers:
            await req.send_chunk(stream_engine.encode_event(seen.request, number))
            await trio.sleep(0.01)

    async with edge_system.run_system() as system:
        await start_system(system)
        monkeypatch.setattr(stream_engine.StreamEngine, "_send_events", send_out_of_order)
        got = await system.send_online("gateway-0", path, "r1")
    assert got.body == stream_engine.response_body("r1", 2)
    assert not got.complete


# Guards against a stream or item without its first events.
@pytest.mark.parametrize("path", RUN_ONCE_PREFIXES)
async def test_stream_that_runs_once_and_lacks_its_first_events_fails(start_system, path):
    async with edge_system.run_system() as system:
        await start_system(system)
        set_faults(system, begin_after=2)
        got = await system.send_online("gateway-0", path, "r1")
    assert b"data" not in got.body
    assert not (got.status == 200 and got.complete)


async def test_resumable_stream_without_its_first_events_runs_elsewhere():
    async with edge_system.run_system(engines=2) as system:
        for number in range(4):
            for name, eng in system.engines.items():
                missing = 2 if name == f"engine-{number % 2}" else 0
                eng.faults = stream_engine.Faults(begin_after=missing)
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, f"r{number}")
            assert got.body == stream_engine.response_body(f"r{number}", EVENTS)


async def test_item_without_its_first_events_runs_again():
    async with edge_system.run_system(workers=1, engines=2) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(begin_after=2)
        items = {f"item-{number}": b"note" for number in range(8)}
        await system.submit("gateway-0", "job", items)
        await trio.sleep(0.5)
        system.engines["engine-0"].faults = stream_engine.Faults()
        results = []
        with trio.fail_after(20):
            while len(results) < len(items):
                results += await system.results("gateway-0", "job", len(results))
    assert dict(results) == {name: stream_engine.result_text(name, EVENTS) for name in items}


# Guards against events that come twice because nothing numbers those that the caller has.
async def test_resumable_stream_without_numbers_is_not_repeated(monkeypatch):
    async def send_without_numbers(self, req, seen, faults):
        await req.send_chunk(b"data: a\n\n")
        raise _http_server.AbortConnectionError

    async with edge_system.run_system(engines=2) as system:
        monkeypatch.setattr(stream_engine.StreamEngine, "_send_events", send_without_numbers)
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
        runs = [s for eng in system.engines.values() for s in eng.seen if s.ran]
    assert (got.body, got.complete, len(runs)) == (b"data: a\n\n", False, 1)


# Guards against changing what a sound stream that runs once has between its events.
@pytest.mark.parametrize("unframed", [False, True])
@pytest.mark.parametrize("path", RUN_ONCE_PREFIXES)
async def test_comments_and_events_without_numbers_are_passed_on_unchanged(
    start_system, monkeypatch, path, unframed
):
    parts = (b": hello\n\n", b"data: a\n\n", b"event: x\ndata: b\r\n", b"\r\n", b"data: c\n\n\n")

    async def send_parts(self, req, seen, faults):
        for part in parts:
            await req.send_chunk(part)
            await trio.sleep(0.01)

    async with edge_system.run_system() as system:
        await start_system(system)
        set_faults(system, unframed=unframed)
        monkeypatch.setattr(stream_engine.StreamEngine, "_send_events", send_parts)
        got = await system.send_online("gateway-0", path, "r1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == b"".join(parts)
