"""Relays responses and checks that they are complete."""

import dataclasses
import math
from collections.abc import AsyncIterator, Callable

import trio

from cornelgrade.adapters import engine
from cornelgrade.policy import event_stream
from cornelgrade.services import exchange

MIN_SERVER_ERROR_STATUS = 500
_DATA = b"data:"


@dataclasses.dataclass(frozen=True, slots=True)
class EventTimeouts:
    """Longest waits for a complete event with data: for the first one, and between two."""

    first_s: float
    gap_s: float


NO_TIMEOUTS = EventTimeouts(math.inf, math.inf)


async def relay_stream(
    response: engine.Response,
    peer: str,
    on_events: Callable[[int], None],
    timeouts: EventTimeouts = NO_TIMEOUTS,
) -> exchange.ResponseParts:
    """Relay complete events only, and count them, so that a stream can be resumed after any event.

    Comments are passed on, but neither counted nor taken for progress. Bytes behind the end marker
    are dropped: without framing, a second response may follow on the connection.

    :param on_events: called with the number of events relayed, excluding the end marker.
    :raises CallError: ``PART_ANSWERED`` if the stream ends without the end marker, has no complete
        event in time, an event that is too long, or lines that belong to no event stream.
    """
    yield exchange.ResponseHead(response.status, response.headers)
    partial = _PartialEvents()
    chunks = response.chunks()
    event_deadline_s = trio.current_time() + timeouts.first_s
    while (chunk := await _read_chunk(chunks, event_deadline_s, peer)) is not None:
        taken = partial.take_events(chunk)
        if taken.count:
            event_deadline_s = trio.current_time() + timeouts.gap_s
        if taken.events:
            on_events(taken.count)
            yield taken.events
        if taken.ended:
            return
        if taken.malformed:
            raise _relay_error(event_stream.MALFORMED_MESSAGE, peer)
        if partial.size > event_stream.MAX_EVENT_BYTES:
            raise _relay_error("an event exceeds the size limit", peer)
    raise _relay_error("the stream ended without its end marker", peer)


@dataclasses.dataclass(frozen=True, slots=True)
class _TakenEvents:
    """Complete events at the begin of some data.

    :param count: number of those with data, excluding the end marker.
    :param ended: whether the last one is the end marker.
    :param malformed: whether lines that belong to no event stream follow.
    """

    events: bytes
    count: int
    ended: bool = False
    malformed: bool = False


class _PartialEvents:
    """Data of a stream from the event on that is not complete yet.

    Each byte is searched once, however small the chunks are.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._searched = 0

    @property
    def size(self) -> int:
        """Number of bytes."""
        return len(self._data)

    def take_events(self, chunk: bytes) -> _TakenEvents:
        """Append a chunk; take complete events, up to the end marker or to a malformed one."""
        self._data += chunk
        start = count = 0
        # The end of an event may have begun in the bytes that were searched before.
        search_from = max(0, self._searched - len(engine.EVENT_END) + 1)
        while (found := self._data.find(engine.EVENT_END, search_from)) >= 0:
            end = search_from = found + len(engine.EVENT_END)
            event = bytes(self._data[start:end])
            if not event_stream.belongs_to_stream(event):
                return _TakenEvents(bytes(self._data[:start]), count, malformed=True)
            if event == engine.END_MARKER or event.endswith(b"\n" + engine.END_MARKER):
                return _TakenEvents(bytes(self._data[:end]), count, ended=True)
            count += any(line.startswith(_DATA) for line in event.split(b"\n"))
            start = end
        taken = _TakenEvents(bytes(self._data[:start]), count)
        del self._data[:start]
        self._searched = len(self._data)
        return taken


async def _read_chunk(chunks: AsyncIterator[bytes], deadline_s: float, peer: str) -> bytes | None:
    """Return the next chunk, ``None`` at the end.

    :raises CallError: at the deadline, whatever bytes arrived before it.
    """
    with trio.move_on_at(deadline_s):
        return await anext(chunks, None)
    raise engine.CallError(
        "no complete event in time",
        step="relay",
        peer=peer,
        progress=engine.Progress.PART_ANSWERED,
        timed_out=True,
    )


async def relay_whole(response: engine.Response) -> exchange.ResponseParts:
    """Yield a response after all of it has arrived."""
    body = b"".join([chunk async for chunk in response.chunks()])
    yield exchange.ResponseHead(response.status, response.headers)
    yield body


async def collect_response(parts: exchange.ResponseParts) -> tuple[exchange.ResponseHead, bytes]:
    """Read a response to its end and return its head and body."""
    head = await anext(parts)
    assert isinstance(head, exchange.ResponseHead)
    body = [part async for part in parts if isinstance(part, bytes)]
    return head, b"".join(body)


def server_error(response: engine.Response, peer: str) -> engine.CallError:
    """Return the error of a call whose response, by its status, can't be passed on."""
    return engine.CallError(
        f"answered {response.status}", step="send", peer=peer, progress=engine.Progress.SENT
    )


def _relay_error(message: str, peer: str) -> engine.CallError:
    return engine.CallError(
        message,
        step="relay",
        peer=peer,
        progress=engine.Progress.PART_ANSWERED,
    )
