"""Relays responses and checks that they are complete."""

from collections.abc import Callable

from cornelgrade.adapters import engine
from cornelgrade.services import exchange

MIN_SERVER_ERROR_STATUS = 500


async def relay_stream(
    response: engine.Response, peer: str, on_events: Callable[[int], None]
) -> exchange.ResponseParts:
    """Relay complete events only, and count them, so that a stream can be resumed after any event.

    :param on_events: called with the number of events relayed, excluding the end marker.
    :raises CallError: ``PART_ANSWERED`` if the stream ends without the end marker.
    """
    yield exchange.ResponseHead(response.status, response.headers)
    partial = b""
    async for chunk in response.chunks():
        data = partial + chunk if partial else chunk
        end = data.rfind(engine.EVENT_END) + len(engine.EVENT_END)
        if end < len(engine.EVENT_END):
            partial = data
            continue
        partial = data[end:]
        events = data[:end]
        ended = events.endswith(engine.END_MARKER)
        on_events(events.count(engine.EVENT_END) - ended)
        yield events
        if ended:
            return
    raise _truncated_error(peer)


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
    """Return the error of a call that got a server error as response."""
    return engine.CallError(
        f"answered {response.status}", step="send", peer=peer, progress=engine.Progress.SENT
    )


def _truncated_error(peer: str) -> engine.CallError:
    return engine.CallError(
        "the stream ended without its end marker",
        step="relay",
        peer=peer,
        progress=engine.Progress.PART_ANSWERED,
    )
