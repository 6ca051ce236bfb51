"""A server that stops responds to all requests that reached it."""

import contextlib
import socket

import pytest
import trio

from cornelgrade import addresses
from cornelgrade.adapters import http1_server

REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"


class EchoServer:
    """A server that responds to each request with its body."""

    def __init__(self):
        self.server = http1_server.Server(self._respond)
        self.address = ""

    async def _respond(self, exchange):
        await exchange.respond(200, exchange.body)

    async def wait_until_idle(self):
        with trio.fail_after(3):
            while self.server.active_requests:
                await trio.sleep(0.01)

    def connect(self):
        """Return a connection whose bytes the server reads only once the caller awaits."""
        sock = socket.create_connection(addresses.split_host_port(self.address))
        return trio.SocketStream(trio.socket.from_stdlib_socket(sock))


@pytest.fixture
async def echo():
    made = EchoServer()
    async with trio.open_nursery() as nursery:
        made.address = await nursery.start(made.server.serve, "127.0.0.1:0")
        yield made
        nursery.cancel_scope.cancel()


async def read_response(stream):
    received = b""
    with trio.fail_after(3), contextlib.suppress(trio.BrokenResourceError):
        while not received.endswith(b"body") and (part := await stream.receive_some(65_536)):
            received += part
    return received


def send_now(stream, data):
    """Send bytes without giving the server a chance to run before the next call."""
    stream.socket._sock.send(data)


# Guards against closing a connection that was opened after the signal before its request is read.
async def test_request_on_a_connection_opened_after_the_signal_is_served(echo):
    echo.server.drain()
    stream = echo.connect()
    await trio.sleep(0.05)
    await stream.send_all(REQUEST)
    received = await read_response(stream)
    assert b"200" in received and received.endswith(b"body")
    assert b"connection: close" in received.lower()


# Guards against a reset of connections that wait to be accepted when the server stops to listen.
async def test_requests_that_wait_to_be_accepted_are_served(echo):
    await trio.sleep(0.05)
    streams = [echo.connect() for _ in range(20)]
    for stream in streams:
        send_now(stream, REQUEST)
    echo.server.stop_listening()
    for stream in streams:
        assert (await read_response(stream)).endswith(b"body")
    await echo.wait_until_idle()
    # The listener is closed by its own task, maybe after the last response.
    with trio.fail_after(1), pytest.raises(ConnectionRefusedError):
        while True:
            echo.connect().socket.close()
            await trio.sleep(0.01)


# Guards against closing a kept-alive connection on which a request has just arrived.
async def test_request_that_arrives_on_a_kept_connection_as_it_closes_is_served(echo):
    stream = echo.connect()
    await stream.send_all(REQUEST)
    assert (await read_response(stream)).endswith(b"body")
    await trio.sleep(0.05)
    send_now(stream, REQUEST)
    echo.server.stop_listening()
    assert (await read_response(stream)).endswith(b"body")


# Guards against the end of the process while a request is still being received.
async def test_request_that_is_being_received_counts_as_active(echo):
    stream = echo.connect()
    await stream.send_all(REQUEST[:-2])
    await trio.sleep(0.05)
    echo.server.stop_listening()
    await trio.sleep(0.05)
    assert echo.server.active_requests == 1
    await stream.send_all(REQUEST[-2:])
    assert (await read_response(stream)).endswith(b"body")
    await echo.wait_until_idle()


# Guards against a shutdown that waits for callers who never send a request.
async def test_idle_connections_do_not_delay_the_stop(echo):
    used, unused = echo.connect(), echo.connect()
    await used.send_all(REQUEST)
    assert (await read_response(used)).endswith(b"body")
    await trio.sleep(0.05)
    echo.server.stop_listening()
    await echo.wait_until_idle()
    for stream in (used, unused):
        with trio.fail_after(2):
            assert await stream.receive_some(1) == b""
