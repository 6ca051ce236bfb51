"""Upstreams that answer a long upload before they have read it, and break their answer off."""

import contextlib
import socket
import struct

import pytest
import trio

from cornelgrade import routes
from cornelgrade.platform.standins import edge_system

UPLOAD = b"u" * 6_000_000
READ_BYTES = 2_048
HEAD = b"HTTP/1.1 200 OK\r\nx-response-signature: s\r\n"
PLAIN = HEAD + b"content-type: text/plain\r\n\r\n"
EVENTS = HEAD + b"content-type: text/event-stream\r\n\r\n"
PART = b"p" * 1_500
FIRST_EVENT = b"id: 1\ndata: first\n\n"
FAILURE = b"HTTP/1.1 413 Content Too Large\r\nx-response-signature: s\r\n\r\n"
REPORT = b'HTTP/1.1 200 OK\r\ncontent-length: 27\r\n\r\n{"running": 0, "waiting":0}'


class EarlyUpstream:
    """Answers uploads at once, and reports its load all the while.

    :param answer: what it sends.
    :param pause_s: from then until it ends the connection.
    :param resets: whether it resets the connection, else it closes its side.
    """

    def __init__(self, answer, pause_s, *, resets=True):
        self.answer = answer
        self.pause_s = pause_s
        self.resets = resets
        self.answered = 0

    async def serve(self, stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            begun = await stream.receive_some(READ_BYTES)
            if begun.startswith(b"GET"):
                await stream.send_all(REPORT)
                return
            self.answered += 1
            await stream.send_all(self.answer)
            await trio.sleep(self.pause_s)
            if self.resets:
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            else:
                await stream.send_eof()
                await trio.sleep(1.0)


async def start_early(system, early):
    listeners = await system.nursery.start(trio.serve_tcp, early.serve, 0)
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    await system.register(routes.Upstream("engine-0", edge_system.SERVICE, address, "north", 8))
    await trio.sleep(0.6)


# Guards against passing on the part of an answer that its upstream broke off while the upload was
# still being written, as a complete answer: the end of the connection stood for its end.
@pytest.mark.parametrize("prefix", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
@pytest.mark.parametrize("answer", [PLAIN + PART, EVENTS + FIRST_EVENT, FAILURE + PART])
@pytest.mark.parametrize(("pause_s", "resets"), [(0.05, True), (0.6, True), (0.05, False)])
async def test_part_of_an_early_answer_is_not_complete(prefix, answer, pause_s, resets):
    early = EarlyUpstream(answer, pause_s, resets=resets)
    async with edge_system.run_system(engines=1) as system:
        await start_early(system, early)
        for number in range(3):
            got = await system.send_online("gateway-0", prefix, f"r{number}", body=UPLOAD)
            assert got.status in (502, 503) or not got.complete, (got.status, len(got.body))
    assert early.answered


# Guards against refusing an early answer whose framing shows that it is whole.
@pytest.mark.parametrize(
    "framing",
    [
        b"content-length: 1500\r\n\r\n%s",
        b"transfer-encoding: chunked\r\n\r\n5dc\r\n%s\r\n0\r\n\r\n",
    ],
)
async def test_whole_early_answer_is_passed_on(framing):
    answer = HEAD + b"content-type: text/plain\r\n" + framing % PART
    early = EarlyUpstream(answer, 0.2)
    async with edge_system.run_system(engines=1) as system:
        await start_early(system, early)
        got = await system.send_online("gateway-0", edge_system.ONCE_PREFIX, "r", body=UPLOAD)
        assert (got.status, got.body, got.complete) == (200, PART, True)


# Guards against an item that is completed by the part of an early answer.
async def test_item_is_not_completed_by_a_part_of_an_early_answer():
    early = EarlyUpstream(EVENTS + FIRST_EVENT, 0.05)
    async with edge_system.run_system(engines=1, workers=1) as system:
        await start_early(system, early)
        await system.submit("gateway-0", "job", {"item-0": UPLOAD[:4_000_000]})
        await trio.sleep(3.0)
        assert early.answered
        assert await system.results("gateway-0", "job", 0) == []
