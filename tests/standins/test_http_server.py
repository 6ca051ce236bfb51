"""The stand-ins' HTTP server, across a crash."""

import socket

import pytest
import trio

from cornelgrade import addresses
from cornelgrade.standins import _http_server


# Guards against another process that gets the port while the server is down, which then can't
# start again.
async def test_port_of_a_crashed_server_is_kept_until_it_is_back():
    async def handle(req):
        await req.respond(200, b"")

    server = _http_server.Server(handle)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, "127.0.0.1:0")
        host, port = addresses.split_host_port(address)
        server.crash(0.2)
        await trio.sleep(0.1)
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((host, port))
        await trio.sleep(0.3)
        stream = await trio.open_tcp_stream(host, port)
        await stream.aclose()
        nursery.cancel_scope.cancel()
