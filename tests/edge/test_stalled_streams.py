"""Streams that are slow but healthy go on; stalled ones end, whatever bytes they still send."""

import itertools

import pytest
import trio
from tests.edge import test_endless_bytes

from cornelgrade.platform.standins import edge_system, stream_engine

COMMENT = b": still here\n\n"
HALF_EVENT = b"x"
BLANK = b"\n\n"
CHUNKED = test_endless_bytes.STREAM_HEAD + b"transfer-encoding: chunked\r\n\r\n"
PAUSE_S = 0.1


def as_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def start_stalled(system, occasional, events=b""):
    """Replace engine-0 by an upstream that sends some events, then only occasional bytes."""
    made = test_endless_bytes.EndlessUpstream(
        CHUNKED + (as_chunk(events) if events else b""), as_chunk(occasional), PAUSE_S
    )
    address = await system.nursery.start(made.serve)
    up = edge_system.routes.Upstream("engine-0", edge_system.SERVICE, address, "north", 8)
    await system.register(up)
    await trio.sleep(0.6)
    return made


# Guards against a stream that is held by comments, blank lines or half an event while another
# upstream could go on with it.
@pytest.mark.parametrize("occasional", [COMMENT, HALF_EVENT, BLANK])
async def test_stalled_stream_goes_on_at_another_upstream(occasional):
    async with edge_system.run_system(engines=2) as system:
        stalled = await start_stalled(system, occasional)
        for number in range(6):
            started_s = trio.current_time()
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, f"r{number}")
            assert trio.current_time() - started_s < 2.0
            body = got.body.replace(COMMENT, b"").lstrip(b"\n")
            assert (body, got.complete) == (stream_engine.response_body(f"r{number}", 5), True)
        assert stalled.taken_bytes


# Guards against cutting off a stream whose events come more slowly than its route asks for.
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
async def test_slow_stream_is_served_to_its_end(path):
    async with edge_system.run_system(engines=2, events=4, event_s=0.8) as system:
        got = await system.send_online("gateway-0", path, "r1")
    assert (got.body, got.complete) == (stream_engine.response_body("r1", 4), True)


# Guards against an item that its upstream holds for ever with comments, and against comments that
# become part of its result.
@pytest.mark.parametrize("occasional", [COMMENT, BLANK])
async def test_stalled_item_completes_at_another_upstream(occasional):
    async with edge_system.run_system(engines=2, workers=1) as system:
        stalled = await start_stalled(system, occasional)
        await system.submit("gateway-0", "job", {f"item-{n}": b"note" for n in range(4)})
        await trio.sleep(2.0)
        await system.register(system.engines["engine-0"].upstream(edge_system.SERVICE, "north"))
        results = {}
        with trio.fail_after(10):
            while len(results) < 4:
                results |= dict(await system.results("gateway-0", "job", len(results)))
        assert stalled.taken_bytes
    assert results == {name: stream_engine.result_text(name, 5) for name in results}


# Guards against counting comments as events where a stream has neither a length nor chunks.
@pytest.mark.parametrize("comments", [1, 3])
async def test_unframed_stream_of_comments_is_incomplete(comments):
    async with edge_system.run_system(engines=1) as system:
        head = test_endless_bytes.STREAM_HEAD + b"connection: close\r\n\r\n"

        async def send_comments(stream):
            request = await stream.receive_some(65_536)
            report = request.startswith(b"GET")
            await stream.send_all(
                test_endless_bytes.REPORT if report else head + COMMENT * comments
            )
            await stream.aclose()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        system.nursery.start_soon(trio.serve_listeners, send_comments, listeners)
        up = edge_system.routes.Upstream(
            "engine-0", edge_system.SERVICE, f"127.0.0.1:{port}", "north", 8
        )
        await system.register(up)
        await trio.sleep(0.6)
        for path, number in itertools.product(
            (edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX), range(2)
        ):
            got = await system.send_online("gateway-0", path, f"r{number}")
            assert not got.complete or got.status == 502
