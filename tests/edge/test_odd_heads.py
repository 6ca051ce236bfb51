"""Upstreams in trouble whose responses have heads that are none."""

import contextlib

import pytest
import trio
from tests.edge import test_early_answers

from cornelgrade.adapters import http1
from cornelgrade.platform.standins import edge_system

BODY = b"the engine's whole body"
LENGTH = b"content-length: %d\r\n" % len(BODY)
SIGNED = b"x-response-signature: s\r\n"
HEADS = {
    "status 000": b"HTTP/1.1 000 OK\r\n" + SIGNED + LENGTH,
    "status 600": b"HTTP/1.1 600 OK\r\n" + SIGNED + LENGTH,
    "version 2.0": b"HTTP/2.0 200 OK\r\n" + SIGNED + LENGTH,
    "blank in a name": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"x odd: 1\r\n" + LENGTH,
    "blank behind a name": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"content-length : 23\r\n",
    "blank before a name": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"x-odd: 1\r\n " + LENGTH,
    "blank before the first name": b"HTTP/1.1 200 OK\r\n " + LENGTH + SIGNED,
    "control character in a name": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"x\x01odd: 1\r\n" + LENGTH,
    "control character in a value": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"x-odd: \x01\r\n" + LENGTH,
    "no name": b"HTTP/1.1 200 OK\r\n" + SIGNED + b": 1\r\n" + LENGTH,
    "length and chunks": (
        b"HTTP/1.1 200 OK\r\n" + SIGNED + b"transfer-encoding: chunked\r\n" + LENGTH
    ),
}


class OddUpstream(test_early_answers.EarlyUpstream):
    """Answers small requests once they have arrived, and closes."""

    async def serve(self, stream):
        async with stream:
            begun = await stream.receive_some(test_early_answers.READ_BYTES)
            if begun.startswith(b"GET"):
                await stream.send_all(test_early_answers.REPORT)
                return
            self.answered += 1
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(self.answer)


# Guards against passing on a response whose head is invalid: its lines are none of the upstream's
# headers, or its body is not the upstream's.
@pytest.mark.parametrize("name", HEADS)
@pytest.mark.parametrize("prefix", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
async def test_response_with_an_invalid_head_is_not_passed_on(name, prefix):
    odd = OddUpstream(HEADS[name] + b"\r\n" + BODY, 0.0)
    async with edge_system.run_system(engines=1) as system:
        await test_early_answers.start_early(system, odd)
        got = await system.send_online("gateway-0", prefix, "r", body=b"q")
        assert got.status in (502, 503)
        assert "x-odd" not in got.headers
        assert BODY not in got.body
    assert odd.answered


# Guards against the same where workers run items, gateways forward to peers and the store answers.
@pytest.mark.parametrize("name", HEADS)
async def test_client_of_all_programs_rejects_an_invalid_head(name, nursery):
    async def answer(stream):
        async with stream:
            await stream.receive_some(65_536)
            await stream.send_all(HEADS[name] + b"\r\n" + BODY)

    listeners = await nursery.start(trio.serve_tcp, answer, 0)
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    with await http1.connect(address, 1.0) as channel:
        await channel.send("POST", b"/", ((b"host", b"h"),), b"q")
        with pytest.raises(http1.engine.CallError):
            await channel.read_head()
    nursery.cancel_scope.cancel()
