import contextlib

import pytest
import trio

from cornelgrade.adapters import engine, upstream_http
from cornelgrade.standins import plain_service


async def test_undecodable_response_raises_call_error():
    server = plain_service.PlainServer(plain_service.PlainService("refills-0"))
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, "127.0.0.1:0")
        async with upstream_http.HttpUpstream("refills-0", address) as upstream:
            with pytest.raises(engine.CallError) as caught:
                await upstream.load()
        nursery.cancel_scope.cancel()
    assert caught.value.progress is engine.Progress.ANSWERED
    assert caught.value.peer == "refills-0"


# Guards against holding all that an upstream sends in response to a control call, without end.
async def test_control_response_without_end_raises_call_error():
    sent = 0

    async def answer(stream):
        nonlocal sent
        await stream.receive_some(65_536)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                await stream.send_all(b"x" * 65_536)
                sent += 65_536

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        async with upstream_http.HttpUpstream("e", f"127.0.0.1:{port}") as upstream:
            with pytest.raises(engine.CallError):
                await upstream.load()
        nursery.cancel_scope.cancel()
    assert upstream_http.MAX_CONTROL_BYTES <= sent <= 4 * upstream_http.MAX_CONTROL_BYTES


# Guards against a late second copy of a response that is taken for the response to the next call.
@pytest.mark.parametrize("delay_s", [0.0, 0.1], ids=["with the first", "during the next call"])
async def test_second_copy_of_a_response_reaches_no_other_call(delay_s):
    async def answer(stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while request := await stream.receive_some(65_536):
                body = request.split(b" ")[1]
                raw = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
                await stream.send_all(raw if delay_s else raw * 2)
                if delay_s:
                    await trio.sleep(delay_s)
                    await stream.send_all(raw)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        port = listeners[0].socket.getsockname()[1]
        bodies = []
        async with upstream_http.HttpUpstream("engine-0", f"127.0.0.1:{port}") as upstream:
            for path in ("/first", "/second", "/third"):
                call = engine.Call("stream", "POST", path, b"")
                async with upstream.call(call) as response:
                    bodies.append(b"".join([chunk async for chunk in response.chunks()]))
        nursery.cancel_scope.cancel()
    assert bodies == [b"/first", b"/second", b"/third"]
