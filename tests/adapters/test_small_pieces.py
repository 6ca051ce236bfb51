"""Peers whose bytes cost much to parse for their size, at clients and servers of a process."""

import contextlib

import pytest
import trio
from tests.adapters import test_endless_bodies
from tests.edge import test_endless_bytes

from cornelgrade.adapters import client_buffers, engine, http1_connection, platform
from cornelgrade.platform import objects
from cornelgrade.services import _relay

CHUNKED = test_endless_bodies.EVENTS + test_endless_bodies.CHUNKED
PIECES = test_endless_bytes.chunked(b"x")
EVENT_S = 1.0
CALL_S = 2.5


async def send_endless(stream, block):
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while True:
            await stream.send_all(block)


async def serve_endless(nursery, first, block):
    async def answer(stream):
        await stream.receive_some(test_endless_bodies.BLOCK)
        await stream.send_all(first)
        await send_endless(stream, block)

    listeners = await nursery.start(trio.serve_tcp, answer, 0)
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


# Guards against an upstream of the product's own interface that keeps a process from its other
# tasks, and from noticing that no event has come in time.
@pytest.mark.parametrize("piece", [b"x", b":\n\n", b"data: x\n"])
async def test_other_tasks_go_on_beside_an_upstream_of_the_own_interface(piece, monkeypatch):
    first = test_endless_bodies.HEAD + CHUNKED
    block = test_endless_bytes.chunked(piece)
    monkeypatch.setitem(test_endless_bodies.ENDLESS, "pieces", (first, block))
    call = engine.Call("s", "POST", "/v1/chat", b"{}")
    async with (
        test_endless_bytes.measured_stalls() as stalls,
        test_endless_bodies.open_endless("pieces") as (upstream, _),
    ):
        with trio.fail_after(CALL_S), pytest.raises(engine.CallError):
            async with upstream.call(call) as response:
                limits = _relay.EventTimeouts(EVENT_S, EVENT_S)
                async for _ in _relay.relay_stream(response, "e", lambda events: None, limits):
                    pass
        assert max(stalls) < test_endless_bytes.MAX_STALL_S


# Guards against the same by its load report.
async def test_other_tasks_go_on_beside_an_endless_report(monkeypatch):
    first = test_endless_bodies.HEAD + test_endless_bodies.JSON + test_endless_bodies.CHUNKED
    monkeypatch.setitem(test_endless_bodies.ENDLESS, "pieces", (first, PIECES))
    async with (
        test_endless_bytes.measured_stalls() as stalls,
        test_endless_bodies.open_endless("pieces") as (upstream, _),
    ):
        with trio.fail_after(CALL_S), pytest.raises(engine.CallError):
            await upstream.load()
        assert max(stalls) < test_endless_bytes.MAX_STALL_S


# Guards against the same by the store.
async def test_other_tasks_go_on_beside_a_store_without_end(nursery):
    first = test_endless_bodies.HEAD + test_endless_bodies.JSON + test_endless_bodies.CHUNKED
    address = await serve_endless(nursery, first, PIECES)
    store = objects.ObjectStore(address, deadline_s=1.0)
    async with test_endless_bytes.measured_stalls() as stalls:
        with trio.fail_after(CALL_S), pytest.raises(platform.UnavailableError):
            await store.get("kind", "name")
        assert max(stalls) < test_endless_bytes.MAX_STALL_S
    nursery.cancel_scope.cancel()


# Guards against the same by a client that sends its request in many small chunks.
async def test_other_tasks_go_on_beside_a_request_in_small_chunks():
    head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
    limits = http1_connection.Limits(body_bytes=200_000)
    server = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with (
        trio.open_nursery() as nursery,
        test_endless_bytes.measured_stalls() as stalls,
    ):
        client = await trio.open_tcp_stream("127.0.0.1", server[0].socket.getsockname()[1])
        stream = await server[0].accept()
        await client.send_all(head)
        nursery.start_soon(send_endless, client, PIECES)
        buffers = client_buffers.ClientBuffers(10_000_000)
        with (
            http1_connection.Connection(stream, buffers) as conn,
            pytest.raises(http1_connection.BodyTooLargeError),
        ):
            await conn.read_request(limits)
        assert max(stalls) < test_endless_bytes.MAX_STALL_S
        nursery.cancel_scope.cancel()
