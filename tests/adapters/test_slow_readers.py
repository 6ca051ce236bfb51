"""A server whose clients read slowly or not at all."""

import socket

import pytest
import trio

from cornelgrade import addresses
from cornelgrade.adapters import http1_connection, http1_server

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
CHUNK_BYTES = 16_384
STALL_S = 0.4


class BlockServer:
    """Responds with chunks until its client has gone.

    :ivar sent_bytes: by number of request.
    """

    def __init__(self):
        self.server = http1_server.Server(self._respond)
        self.sent_bytes = []
        self.ended = 0

    async def _respond(self, exchange):
        number = len(self.sent_bytes)
        self.sent_bytes.append(0)
        try:
            await exchange.start_response(200, (), b"x")
            while True:
                await exchange.send_chunk(b"x" * CHUNK_BYTES)
                self.sent_bytes[number] += CHUNK_BYTES
        finally:
            self.ended += 1


@pytest.fixture
async def blocks(monkeypatch):
    monkeypatch.setattr(http1_connection, "SEND_STALL_TIMEOUT_S", STALL_S)
    made = BlockServer()
    async with trio.open_nursery() as nursery:
        made.address = await nursery.start(made.server.serve, "127.0.0.1:0")
        yield made
        nursery.cancel_scope.cancel()


async def open_reader(address):
    """Return a client's connection with a small receive buffer, after it sent its request."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await sock.connect(addresses.split_host_port(address))
    stream = trio.SocketStream(sock)
    await stream.send_all(REQUEST)
    return stream


# Guards against kernel buffers that grow to megabytes for each client that doesn't read.
async def test_little_is_sent_to_a_client_that_reads_nothing(blocks):
    async with await open_reader(blocks.address):
        await trio.sleep(STALL_S / 2)
    assert 0 < blocks.sent_bytes[0] <= 4 * http1_connection.SEND_BUFFER_BYTES


# Guards against a request that is held, with its slot, for a client that reads nothing.
async def test_client_that_reads_nothing_is_ended_and_others_are_not(blocks):
    stalled = await open_reader(blocks.address)
    reading = await open_reader(blocks.address)
    deadline_s = trio.current_time() + 4 * STALL_S
    while trio.current_time() < deadline_s:
        assert await reading.receive_some(CHUNK_BYTES)
    assert blocks.ended == 1
    with pytest.raises(trio.BrokenResourceError):
        while True:
            await stalled.receive_some(CHUNK_BYTES)


# Guards against ending a client that reads little at a time, which a full socket alone can't show.
async def test_client_that_reads_slowly_goes_on(blocks):
    slow = await open_reader(blocks.address)
    for _ in range(20):
        assert await slow.receive_some(2_048)
        await trio.sleep(STALL_S / 4)
    assert blocks.ended == 0
