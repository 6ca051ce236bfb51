"""Streams that have begun and broke off, where the next engine responds with an error."""

import dataclasses

import pytest
import trio
from tests.edge import stranded, test_stranded_vms

from cornelgrade.platform.standins import edge_system, stream_engine

EVENTS = 5
CUT_AFTER = 2
REQUESTS = 6
COMMENT = b": kept open\n\n"
HEAD = b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\nfull\n\n"
REPLIES = {
    "500": stream_engine.Reply(500, "text/plain", b"failed\n\n"),
    "503 not executed": stream_engine.Reply(503, "text/plain", b"full\n\n", not_executed=True),
    "503": stream_engine.Reply(503, "text/plain", b"full\n\n"),
    "404": stream_engine.Reply(404, "text/plain", b"no stream\n\n"),
    "429": stream_engine.Reply(429, "text/plain", b"wait\n\n", not_executed=True),
    "unframed 500": stream_engine.Reply(500, "text/plain", b"failed\n\n", unframed=True),
    "200 text": stream_engine.Reply(200, "text/plain", b"failed\n\n"),
    "200 text without a line end": stream_engine.Reply(200, "text/plain", b"failed"),
    "200 empty text": stream_engine.Reply(200, "text/plain"),
    "200 JSON": stream_engine.Reply(200, "application/json", b'{"error": "full"}\n\n'),
    "unframed 200 text": stream_engine.Reply(200, "text/plain", b"failed\n\n", unframed=True),
    "200 text as events": stream_engine.Reply(200, body=b"internal error: full\n\n"),
    "200 JSON as events": stream_engine.Reply(200, body=b'{"error": "full"}\n\n'),
    "200 head as events": stream_engine.Reply(200, body=HEAD),
    "unframed 200 head as events": stream_engine.Reply(200, body=HEAD, unframed=True),
    "200 comment, then a head": stream_engine.Reply(200, body=COMMENT + HEAD),
    "200 event with a head in it": stream_engine.Reply(200, body=b"id: 3\nda" + HEAD),
}
each_reply = pytest.mark.parametrize("reply", REPLIES.values(), ids=list(REPLIES))


def break_streams(engines, reply):
    for engine in engines:
        engine.faults = stream_engine.Faults(cut_after=CUT_AFTER, resume_reply=reply)


def is_prefix(body, request):
    """Return whether a body consists of the first events of a response, and of comments."""
    return body.replace(COMMENT, b"") in {
        stream_engine.response_body(request, number) for number in range(EVENTS)
    }


# Guards against an error in the middle of a stream, and against one that ends as if complete.
@each_reply
async def test_stream_that_no_engine_resumes_is_visibly_broken_off(reply):
    async with edge_system.run_system(engines=2) as system:
        break_streams(system.engines.values(), reply)
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
    assert got.status == 200
    assert is_prefix(got.body, "r1")
    assert not got.complete


# Guards against the same where a third engine can go on with the stream.
@each_reply
async def test_stream_goes_on_after_an_engine_that_responds_with_an_error(reply):
    async with edge_system.run_system(engines=3) as system:
        plan = edge_system.make_plan(version=2)
        again = [dataclasses.replace(r, max_attempts=4) for r in plan.routes]
        await system.plan(dataclasses.replace(plan, routes=tuple(again)))
        await trio.sleep(0.3)
        break_streams([system.engines[name] for name in ("engine-0", "engine-1")], reply)
        for number in range(REQUESTS):
            request = f"r{number}"
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, request)
            assert (got.status, got.complete) == (200, True)
            body = got.body.replace(COMMENT, b"")
            assert body == stream_engine.response_body(request, EVENTS)


# Guards against the same over another gateway.
@each_reply
async def test_forwarded_stream_that_no_engine_resumes_is_visibly_broken_off(monkeypatch, reply):
    async with edge_system.run_system(gateways=2, workers=1, engines=2) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await test_stranded_vms.notice(system, "gateway-0")
            break_streams(system.engines.values(), reply)
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
    assert got.status == 200
    assert is_prefix(got.body, "r1")
    assert not got.complete


# Guards against results that lack events, or contain an error, after an engine responded with one.
# A 500 counts as a failed attempt, after which an item may be given up.
@pytest.mark.parametrize(
    "reply",
    [reply for reply in REPLIES.values() if reply.status != 500],
    ids=[name for name, reply in REPLIES.items() if reply.status != 500],
)
async def test_item_completes_whole_after_an_engine_responded_with_an_error(reply):
    async with edge_system.run_system(workers=1, engines=2) as system:
        break_streams(system.engines.values(), reply)
        await system.submit("gateway-0", "job", {"r1": b"note"})
        with trio.fail_after(10):
            while not any(s.resumed_after for e in system.engines.values() for s in e.seen):
                await trio.sleep(0.02)
        assert await system.results("gateway-0", "job", 0) == []
        for engine in system.engines.values():
            engine.faults = stream_engine.Faults()
        results = []
        with trio.fail_after(15):
            while not results:
                results = await system.results("gateway-0", "job", 0)
    assert results == [("r1", stream_engine.result_text("r1", EVENTS))]


# Guards against an error that is added to a stream which may run once only.
@each_reply
async def test_stream_that_may_run_once_is_never_resumed(reply):
    async with edge_system.run_system(engines=2) as system:
        break_streams(system.engines.values(), reply)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r1")
        runs = test_stranded_vms.runs_of(system, "r1")
    assert not got.complete
    assert got.body.startswith(stream_engine.response_body("r1", CUT_AFTER))
    assert len(runs) == 1
