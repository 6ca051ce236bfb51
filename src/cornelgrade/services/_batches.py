"""Joins the parts of a stream that arrive within a short interval into one write.

Most of a relayed token's cost is the way down to the caller's socket, which is paid for each write.
"""

import dataclasses

import trio

from cornelgrade.adapters import engine
from cornelgrade.services import exchange

MAX_PARTS = 256


@dataclasses.dataclass(slots=True, eq=False)
class _Reading:
    """The task that reads the parts, and how it ended."""

    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    whole: bool = False
    error: Exception | None = None


async def joined(
    nursery: trio.Nursery, parts: exchange.Parts, interval_s: float, peer: str
) -> exchange.Parts:
    """Give the bytes of ``parts`` in fewer pieces, at most one each ``interval_s``.

    Nothing is held back for longer than that, and the end and a failure come at once. What
    arrived before a failure is given before it is raised.

    :param nursery: runs the task that reads ``parts`` in the meantime.
    :param peer: the upstream that the parts come from.
    :raises CallError: as ``parts`` does.
    """
    send, receive = trio.open_memory_channel[bytes](MAX_PARTS)
    reading = _Reading()
    nursery.start_soon(_read, parts, send, reading)
    try:
        async for part in receive:
            yield b"".join([part, *_waiting(receive)])
            with trio.move_on_after(interval_s):
                await reading.ended.wait()
        if reading.error is not None:
            raise reading.error
        if not reading.whole:
            raise _stopped(peer)
    finally:
        reading.scope.cancel()
        with trio.CancelScope(shield=True):
            await reading.ended.wait()


async def _read(
    parts: exchange.Parts, send: trio.MemorySendChannel[bytes], reading: _Reading
) -> None:
    try:
        with reading.scope, send:
            async for part in parts:
                assert isinstance(part, bytes)
                await _pass_on(send, part)
            reading.whole = True
    except Exception as exc:
        reading.error = exc
    finally:
        reading.ended.set()


async def _pass_on(send: trio.MemorySendChannel[bytes], part: bytes) -> None:
    try:
        send.send_nowait(part)
    except trio.WouldBlock:
        await send.send(part)


def _waiting(receive: trio.MemoryReceiveChannel[bytes]) -> list[bytes]:
    """Take what has arrived already."""
    return [receive.receive_nowait() for _ in range(receive.statistics().current_buffer_used)]


def _stopped(peer: str) -> engine.CallError:
    return engine.CallError(
        "the relay was stopped",
        step="relay",
        peer=peer,
        progress=engine.Progress.PART_ANSWERED,
    )
