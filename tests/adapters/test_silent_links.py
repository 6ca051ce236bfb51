"""Connections whose link is silent for a while, or for good."""

import contextlib
import ctypes
import socket
import struct

import pytest
import trio

from cornelgrade.adapters import engine, http1

# A sound upstream may be silent for a second or so.
SILENCE_S = 1.2
# Within this time a call to a host that is gone must fail.
MAX_DETECTION_S = 5.0
# A classic BPF program of one instruction: accept no byte of any packet.
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27


@contextlib.contextmanager
def silent_link(sock):
    """Drop all segments that reach a socket, so that it acknowledges none."""
    program = bytearray(_DROP_ALL)
    address = (len(program) // 8, _address_of(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, struct.pack("HxxxxxxQ", *address))
    yield
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)


def _address_of(buffer):
    return ctypes.addressof(ctypes.c_char.from_buffer(buffer))


@contextlib.asynccontextmanager
async def open_call():
    """Yield a channel that has sent a request, and the socket that received it."""
    with trio.socket.socket() as listener:
        await listener.bind(("127.0.0.1", 0))
        listener.listen()
        host, port = listener.getsockname()
        with await http1.connect(f"{host}:{port}", 1.0) as channel:
            sock, _ = await listener.accept()
            with sock:
                await channel.send("POST", b"/", ((b"host", b"upstream"),), b"question")
                await sock.recv(4096)
                yield channel, sock


# Guards against a call that fails because its upstream was silent when one probe was due.
@pytest.mark.parametrize("idle_s", [0.5, 0.9])
async def test_call_outlives_a_silence_of_a_second(idle_s):
    async with open_call() as (channel, sock):
        await trio.sleep(idle_s)
        with silent_link(sock):
            await trio.sleep(SILENCE_S)
        await trio.sleep(2.0)
        await sock.send(b"HTTP/1.1 204 No Content\r\n\r\n")
        head = await channel.read_head()
    assert head.status == 204


# Guards against a call that waits for good for an upstream whose host is gone.
async def test_call_to_a_silent_host_fails_soon():
    async with open_call() as (channel, sock):
        with silent_link(sock), trio.fail_after(MAX_DETECTION_S), pytest.raises(engine.CallError):
            await channel.read_head()
