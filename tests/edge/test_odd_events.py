"""Version lines, pauses and late extra responses, by themselves and where a response breaks off."""

import math
import re

import pytest
import trio
from tests.edge import test_ends_between_events, test_unframed_responses

from cornelgrade.platform.standins import edge_system, stream_engine

EVENTS = test_unframed_responses.EVENTS
RESUMABLE, RUN_ONCE = edge_system.RESUMABLE_PREFIX, edge_system.ONCE_PREFIX
# Longer than a gateway and a worker wait for the next event where another upstream may go on.
PAUSE_S = 1.6
_VERSION_LINE = re.compile(rb"^versions:\d+\n", re.MULTILINE)
VERSIONS = {"new_version_every": 2}
PAUSE = {"pause_after": 2, "pause_s": PAUSE_S}
# Breaks of the first response, in the middle of an event or between two.
BREAKS = [
    {},
    {"cut_after": 3},
    {"end_after": 3},
    {"end_after": 3, "unframed": True},
    {"close_after": 2, "unframed": True},
    {"close_after": 3, "unframed": True},
    {"unframed": True},
]


def list_runs(system, request):
    return [s for eng in system.engines.values() for s in eng.seen if s.request == request]


def set_run_faults(system, *faults):
    """Let each run of a request have its own faults, and all further ones the last."""
    for eng in system.engines.values():

        async def answer(req, seen, eng=eng):
            runs = len(list_runs(system, seen.request))
            eng.faults = stream_engine.Faults(**faults[min(runs, len(faults)) - 1])
            await stream_engine.StreamEngine._answer(eng, req, seen)

        eng._answer = answer


def unversioned(body):
    return _VERSION_LINE.sub(b"", body)


def count_version_lines(body):
    return len(_VERSION_LINE.findall(body))


async def wait_result(system, job):
    results = []
    with trio.fail_after(15):
        while not results:
            results = await system.results("gateway-0", job, 0)
    return results


# Guards against events that are lost, doubled or cut where an event begins with a version, a run
# is preempted, or late refusals of other requests come before a response.
@pytest.mark.parametrize("breaks", BREAKS, ids=str)
@pytest.mark.parametrize("odd", [VERSIONS, PAUSE, {"extra_refusals": ("other",)}], ids=str)
async def test_resumable_streams_and_items_are_whole(odd, breaks):
    async with edge_system.run_system(workers=1, engines=2) as system:
        later = {k: v for k, v in odd.items() if not k.startswith("pause")}
        set_run_faults(system, odd | breaks, later | {"unframed": "unframed" in breaks})
        await system.submit("gateway-0", "job", {"item": b"note"})
        got = await system.send_online("gateway-0", RESUMABLE, "r1")
        results = await wait_result(system, "job")
        runs = list_runs(system, "r1") + list_runs(system, "item")
        assert all(seen.run.until_s < math.inf for seen in runs if seen.run)
    assert (got.status, got.complete) == (200, True)
    assert unversioned(got.body) == stream_engine.response_body("r1", EVENTS)
    assert count_version_lines(got.body) == (EVENTS // 2 if odd is VERSIONS else 0)
    assert results == [("item", stream_engine.result_text("item", EVENTS))]


# Guards against the same for streams that run once, which pass unchanged or end incomplete.
@pytest.mark.parametrize("breaks", BREAKS[:4] + BREAKS[6:], ids=str)
@pytest.mark.parametrize("odd", [VERSIONS, PAUSE, {"extra_refusals": ("other",)}], ids=str)
async def test_stream_that_runs_once_is_whole_or_incomplete(odd, breaks):
    async with edge_system.run_system(engines=2) as system:
        set_run_faults(system, odd | breaks, {})
        got = await system.send_online("gateway-0", RUN_ONCE, "r1")
        runs = list_runs(system, "r1")
    whole = stream_engine.response_body("r1", EVENTS)
    assert len(runs) == 1
    assert unversioned(got.body) == whole[: len(unversioned(got.body))]
    is_whole = breaks in ({}, {"unframed": True})
    assert got.complete == is_whole
    assert not is_whole or unversioned(got.body) == whole


# Guards against a stream that is taken up with such events at another gateway.
@pytest.mark.parametrize("breaks", BREAKS, ids=str)
@pytest.mark.parametrize("odd", [VERSIONS, PAUSE], ids=str)
async def test_stream_that_is_taken_up_is_whole(odd, breaks):
    async with edge_system.run_system(gateways=2, engines=2) as system:
        await system.send_online("gateway-0", RESUMABLE, "r1")
        set_run_faults(system, odd | breaks, {"unframed": "unframed" in breaks})
        got = await system.send_online(
            "gateway-1", RESUMABLE, "r2", resumes="r1", last_event_id="1"
        )
    assert (got.status, got.complete) == (200, True)
    assert unversioned(got.body) == stream_engine.response_body("r2", EVENTS, 1)


# Guards against a question that a preempted run answers late, which confirms no end.
@pytest.mark.parametrize("close_after", [3, EVENTS])
async def test_stream_is_whole_if_a_question_is_preempted(close_after):
    async with edge_system.run_system(workers=1, engines=2) as system:
        late = {"unframed": True, "pause_after": close_after - 1, "pause_s": PAUSE_S}
        first = {"unframed": True, "close_after": close_after}
        set_run_faults(system, first, {"unframed": True}, late, {"unframed": True})
        await system.submit("gateway-0", "job", {"item": b"note"})
        got = await system.send_online("gateway-0", RESUMABLE, "r1")
        results = await wait_result(system, "job")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)
    assert results == [("item", stream_engine.result_text("item", EVENTS))]


# Guards against the same where connections or the upstream end meanwhile.
@pytest.mark.parametrize("crashes", [False, True])
@pytest.mark.parametrize("path", [RUN_ONCE, RESUMABLE])
@pytest.mark.parametrize("odd", [VERSIONS, PAUSE], ids=str)
async def test_streams_are_whole_or_incomplete_in_trouble(odd, path, crashes):
    async with test_ends_between_events.run_behind_proxies(workers=1, engines=2) as made:
        system, proxies = made
        set_run_faults(system, odd | {"unframed": True}, {"unframed": True, "new_version_every": 2})
        received = []

        async def receive():
            received.append(await system.send_online("gateway-0", path, "r1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(receive)
            await system.submit("gateway-0", "job", {"item": b"note"})
            if crashes:
                await trio.sleep(2.5 * test_ends_between_events.EVENT_S)
                for eng in system.engines.values():
                    eng.crash(0.1)
            else:
                await test_ends_between_events.end_connections(system, proxies, "r1", 2)
        results = await wait_result(system, "job")
        runs = list_runs(system, "r1")
    (got,) = received
    whole = stream_engine.response_body("r1", EVENTS)
    body = unversioned(got.body)
    assert body == (whole if got.complete and got.status == 200 else whole[: len(body)])
    assert path == RESUMABLE or (len(runs) == 1 and not got.complete)
    assert results == [("item", stream_engine.result_text("item", EVENTS))]


# Guards against a version line that counts as a whole event where a response ends behind it.
@pytest.mark.parametrize("sent", [b"versions:7", b"versions:7\n", b"versions:7\nid: 3\n"])
@pytest.mark.parametrize("path", [RUN_ONCE, RESUMABLE])
async def test_version_line_is_no_event(path, sent):
    async with edge_system.run_system(engines=2) as system:
        for eng in system.engines.values():

            async def send(req, seen, faults, send_events=eng._send_events):
                if len(list_runs(system, "r1")) > 1:
                    await send_events(req, seen, faults)
                else:
                    await req.send_chunk(stream_engine.response_body("r1", 2) + sent)

            eng._send_events = send
        test_unframed_responses.set_faults(system, unframed=True)
        got = await system.send_online("gateway-0", path, "r1")
    goes_on = path == RESUMABLE
    assert got.complete == goes_on
    assert got.body == stream_engine.response_body("r1", EVENTS if goes_on else 2)


# Guards against a short stream or text from an upstream that broke off an earlier one and ends a
# reply with the last events after the same event too.
async def test_upstream_that_broke_off_a_response_is_asked_twice():
    async with edge_system.run_system(workers=1, engines=1) as system:
        breaks, whole = {"unframed": True, "close_after": 3}, {"unframed": True}
        empty = {"unframed": True, "end_before_events_if_resumed": True}
        for number, faults in enumerate([(breaks, whole), (breaks, empty, breaks, whole)]):
            set_run_faults(system, *faults)
            got = await system.send_online("gateway-0", RESUMABLE, f"r{number}")
            assert (got.status, got.complete) == (200, True)
            assert got.body == stream_engine.response_body(f"r{number}", EVENTS)
            await system.submit("gateway-0", f"job-{number}", {f"item-{number}": b"note"})
            text = stream_engine.result_text(f"item-{number}", EVENTS)
            assert await wait_result(system, f"job-{number}") == [(f"item-{number}", text)]
