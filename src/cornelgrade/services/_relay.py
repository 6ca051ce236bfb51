"""Checks that an answer is whole while it is passed on."""

from collections.abc import Callable

from cornelgrade.adapters import engine
from cornelgrade.services import exchange

MIN_SERVER_ERROR_STATUS = 500


async def relay_stream(
    answer: engine.Answer, peer: str, count: Callable[[int], None]
) -> exchange.Parts:
    """Relay whole events only, and count them, so that a stream can be resumed between two.

    :param count: told the number of events passed on, the end marker not counted.
    :raises CallError: ``PART_ANSWERED`` when the end marker does not come.
    """
    yield exchange.Head(answer.status, answer.headers)
    partial = b""
    async for chunk in answer.chunks():
        data = partial + chunk if partial else chunk
        end = data.rfind(engine.EVENT_END) + len(engine.EVENT_END)
        if end < len(engine.EVENT_END):
            partial = data
            continue
        partial = data[end:]
        events = data[:end]
        ended = events.endswith(engine.END_MARKER)
        count(events.count(engine.EVENT_END) - ended)
        yield events
        if ended:
            return
    raise _truncated_error(peer)


async def relay_whole(answer: engine.Answer) -> exchange.Parts:
    """Give an answer only when all of it is here."""
    body = b"".join([chunk async for chunk in answer.chunks()])
    yield exchange.Head(answer.status, answer.headers)
    yield body


async def collect_answer(parts: exchange.Parts) -> tuple[exchange.Head, bytes]:
    """Gather an answer."""
    head = await anext(parts)
    assert isinstance(head, exchange.Head)
    body = [part async for part in parts if isinstance(part, bytes)]
    return head, b"".join(body)


def server_error(answer: engine.Answer, peer: str) -> engine.CallError:
    """Make the failure of a call that the upstream answered by a server error."""
    return engine.CallError(
        f"answered {answer.status}", step="send", peer=peer, progress=engine.Progress.SENT
    )


def _truncated_error(peer: str) -> engine.CallError:
    return engine.CallError(
        "the stream ended without its end marker",
        step="relay",
        peer=peer,
        progress=engine.Progress.PART_ANSWERED,
    )
