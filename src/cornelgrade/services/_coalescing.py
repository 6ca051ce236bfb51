"""Coalesces parts of a stream that arrive within a short interval into one write.

The write to the caller's socket is most of the cost of relaying a token.
"""

import dataclasses

import trio

from cornelgrade.adapters import engine
from cornelgrade.services import exchange

MAX_PARTS = 256


@dataclasses.dataclass(slots=True, eq=False)
class _ReaderState:
    """State of the task that reads the parts."""

    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    complete: bool = False
    error: Exception | None = None


async def coalesce(
    nursery: trio.Nursery, parts: exchange.ResponseParts, interval_s: float, peer: str
) -> exchange.ResponseParts:
    """Yield the bytes of ``parts`` in larger parts, at most one for each ``interval_s``.

    No byte is delayed for longer than ``interval_s``. The end and a failure of ``parts`` are
    passed on at once; bytes received before a failure are yielded before it is raised.

    :param nursery: runs the task that reads ``parts``.
    :param peer: the upstream that sends the parts.
    :raises CallError: as ``parts`` does.
    """
    send, receive = trio.open_memory_channel[bytes](MAX_PARTS)
    reader = _ReaderState()
    nursery.start_soon(_read_parts, parts, send, reader)
    try:
        async for part in receive:
            yield b"".join([part, *_receive_buffered(receive)])
            with trio.move_on_after(interval_s):
                await reader.ended.wait()
        if reader.error is not None:
            raise reader.error
        if not reader.complete:
            raise _relay_stopped_error(peer)
    finally:
        reader.scope.cancel()
        with trio.CancelScope(shield=True):
            await reader.ended.wait()


async def _read_parts(
    parts: exchange.ResponseParts, send: trio.MemorySendChannel[bytes], reader: _ReaderState
) -> None:
    try:
        with reader.scope, send:
            async for part in parts:
                assert isinstance(part, bytes)
                await _forward(send, part)
            reader.complete = True
    except Exception as exc:
        reader.error = exc
    finally:
        reader.ended.set()


async def _forward(send: trio.MemorySendChannel[bytes], part: bytes) -> None:
    try:
        send.send_nowait(part)
    except trio.WouldBlock:
        await send.send(part)


def _receive_buffered(receive: trio.MemoryReceiveChannel[bytes]) -> list[bytes]:
    """Receive the parts that are buffered already."""
    return [receive.receive_nowait() for _ in range(receive.statistics().current_buffer_used)]


def _relay_stopped_error(peer: str) -> engine.CallError:
    return engine.CallError(
        "the relay was stopped",
        step="relay",
        peer=peer,
        progress=engine.Progress.PART_ANSWERED,
    )
