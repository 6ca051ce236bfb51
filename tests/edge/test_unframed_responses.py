"""Responses with neither a length nor chunks, which end with their connection."""

import dataclasses

import pytest
import trio
from tests.edge import culprits

from cornelgrade import routes
from cornelgrade.platform.standins import edge_system, formats, stream_engine

EVENTS = 5
SAFE_PREFIX, UNSAFE_PREFIX = "/safe/", "/unsafe/"
ALL_PREFIXES = (
    edge_system.ONCE_PREFIX,
    edge_system.RESUMABLE_PREFIX,
    SAFE_PREFIX,
    UNSAFE_PREFIX,
)
RUN_ONCE_PREFIXES = (edge_system.ONCE_PREFIX, UNSAFE_PREFIX)


@pytest.fixture
async def start_system():
    """Return a function that starts a system whose plan has a route of each kind."""

    async def plan_all_kinds(system):
        base = edge_system.make_plan(2)
        calls = (
            edge_system.make_route("safe", SAFE_PREFIX, routes.RouteKind.IDEMPOTENT),
            edge_system.make_route("unsafe", UNSAFE_PREFIX, routes.RouteKind.ONCE),
        )
        await system.plan(dataclasses.replace(base, routes=(*base.routes, *calls)))
        with trio.fail_after(5):
            while (await system.send_online("gateway-0", SAFE_PREFIX, "probe")).status != 200:
                await trio.sleep(0.02)
        return system

    return plan_all_kinds


def set_faults(system, **faults):
    for eng in system.engines.values():
        eng.faults = stream_engine.Faults(**faults)


# Guards against refusing whole responses because nothing but their connection's end marks theirs.
@pytest.mark.parametrize("path", ALL_PREFIXES)
async def test_whole_unframed_response_is_relayed_as_complete(start_system, path):
    async with edge_system.run_system() as system:
        await start_system(system)
        set_faults(system, unframed=True)
        got = await system.send_online("gateway-0", path, "r1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)


# Guards against passing a stream on as complete that its upstream broke off within an event.
@pytest.mark.parametrize("unframed", [False, True])
@pytest.mark.parametrize("end_after", [0, 2, EVENTS - 1])
@pytest.mark.parametrize("path", RUN_ONCE_PREFIXES)
async def test_stream_that_ends_inside_an_event_is_visibly_broken_off(
    start_system, path, end_after, unframed
):
    async with edge_system.run_system() as system:
        await start_system(system)
        set_faults(system, unframed=unframed, end_after=end_after)
        got = await system.send_online("gateway-0", path, "r1")
        (seen,) = [s for s in system.engines["engine-0"].seen if s.request == "r1"]
    assert seen.ran
    assert not (got.status == 200 and got.complete)
    assert got.status not in (429, 503)


# Guards against the same where another upstream can answer.
@pytest.mark.parametrize("unframed", [False, True])
@pytest.mark.parametrize("end_after", [0, 2, EVENTS - 1])
async def test_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere(end_after, unframed):
    async with edge_system.run_system(engines=2) as system:
        broken = stream_engine.Faults(unframed=unframed, end_after=end_after)
        for eng in system.engines.values():
            eng.faults = broken
        for number in range(4):
            for name in system.engines:
                system.engines[name].faults = (
                    broken if name == f"engine-{number % 2}" else stream_engine.Faults()
                )
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, f"r{number}")
            assert (got.status, got.complete) == (200, True)
            assert got.body == stream_engine.response_body(f"r{number}", EVENTS)


# Guards against taking a stream that ends before its first event for a complete one.
@pytest.mark.parametrize("path", ALL_PREFIXES)
async def test_unframed_stream_without_an_event_is_not_complete(start_system, path):
    async with edge_system.run_system() as system:
        await start_system(system)
        set_faults(system, unframed=True, end_before_events=True)
        got = await system.send_online("gateway-0", path, "r1")
    assert not (got.status == 200 and got.complete)


# Guards against taking a stream that goes on elsewhere and ends there before an event for complete.
async def test_resumed_stream_without_an_event_is_not_complete():
    async with edge_system.run_system(engines=2) as system:
        for number in range(4):
            for eng in system.engines.values():
                eng.faults = stream_engine.Faults(
                    unframed=True, end_after=2, end_before_events_if_resumed=True
                )
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, f"r{number}")
            assert not (got.status == 200 and got.complete)


# Guards against reporting a stream that a crash broke off as a completion, which clears its text.
@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
async def test_text_that_crashes_upstreams_within_unframed_streams_is_stopped(path, gateways):
    async with edge_system.run_system(gateways=gateways, engines=8) as system:
        culprits.make_engines_crash(system, crash_after=2, unframed=True)
        for number in range(culprits.LATE_SENDS):
            if culprits.count_crashes(system) < culprits.CRASHES:
                await system.send_online(
                    f"gateway-{number % gateways}", path, f"r{number}", body=culprits.CULPRIT
                )
                await trio.sleep(0.2)
        assert culprits.count_crashes(system)
        await trio.sleep(culprits.SPREAD_S)
        before = len(culprits.list_runs(system))
        for number in range(culprits.LATE_SENDS):
            await system.send_online(
                f"gateway-{number % gateways}", path, f"late{number}", body=culprits.CULPRIT
            )
        assert len(culprits.list_runs(system)) - before <= culprits.MAX_LATE_RUNS
        got = await system.send_online("gateway-0", path, "innocent")
    assert got.body == stream_engine.response_body("innocent", EVENTS)


# Guards against results that lack events because an item's stream was broken off.
@pytest.mark.parametrize(
    "faults",
    [
        {"end_after": 0},
        {"end_after": 2},
        {"end_before_events": True},
        {"end_after": 2, "end_before_events_if_resumed": True},
    ],
)
async def test_item_whose_unframed_stream_is_broken_off_completes_whole(faults):
    async with edge_system.run_system(workers=1, engines=2) as system:
        set_faults(system, unframed=True, **faults)
        await system.submit("gateway-0", "job", {"item": b"note"})
        with trio.fail_after(10):
            while sum(len(eng.seen) for eng in system.engines.values()) < 2:
                await trio.sleep(0.02)
        assert await system.results("gateway-0", "job", 0) == []
        set_faults(system, unframed=True)
        results = []
        with trio.fail_after(15):
            while not results:
                results = await system.results("gateway-0", "job", 0)
    assert results == [("item", stream_engine.result_text("item", EVENTS))]


# Guards against holding items whose streams are whole but unframed.
async def test_items_with_unframed_streams_complete():
    async with edge_system.run_system(workers=1, engines=2) as system:
        set_faults(system, unframed=True)
        names = [f"item-{number}" for number in range(4)]
        await system.submit("gateway-0", "job", {name: b"note" for name in names})
        results = []
        with trio.fail_after(10):
            while len(results) < len(names):
                target = formats.job_target("job", 0)
                got = await system.send("gateway-0", "GET", target, formats.wait_headers(1.0))
                results = formats.decode_results(got.body)
    texts = {item: text for item, _, text in results}
    assert texts == {name: stream_engine.result_text(name, EVENTS) for name in names}


# Guards against an item that has all its events and asks for more without end.
async def test_item_whose_stream_was_cut_after_its_last_event_completes():
    async with edge_system.run_system(workers=1, engines=2) as system:
        set_faults(system, unframed=True, cut_after=EVENTS)
        await system.submit("gateway-0", "job", {"item": b"note"})
        with trio.fail_after(5):
            while not any(eng.seen for eng in system.engines.values()):
                await trio.sleep(0.02)
        await trio.sleep(0.2)
        set_faults(system, unframed=True)
        results = []
        with trio.fail_after(10):
            while not results:
                results = await system.results("gateway-0", "job", 0)
    assert results == [("item", stream_engine.result_text("item", EVENTS))]


BROKEN_BY_SILENCE = {"unframed": True, "silent_after": 2, "end_before_events_if_resumed": True}


# Guards against taking a stream that goes on after a silence, and brings no event, for complete.
async def test_stream_without_an_event_after_a_silence_is_not_complete():
    async with edge_system.run_system(engines=2) as system:
        set_faults(system, **BROKEN_BY_SILENCE)
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
    assert not (got.status == 200 and got.complete)


# Guards against the same for items, whose text would stay short (soak seed 4).
async def test_item_without_an_event_after_a_silence_completes_whole():
    async with edge_system.run_system(workers=1, engines=2) as system:
        set_faults(system, **BROKEN_BY_SILENCE)
        await system.submit("gateway-0", "job", {"item": b"note"})
        with trio.fail_after(15):
            while sum(len(eng.seen) for eng in system.engines.values()) < 3:
                await trio.sleep(0.02)
        await trio.sleep(0.5)
        set_faults(system, unframed=True)
        results = []
        with trio.fail_after(15):
            while not results:
                results = await system.results("gateway-0", "job", 0)
    assert results == [("item", stream_engine.result_text("item", EVENTS))]
