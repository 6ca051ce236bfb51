"""Checks that an answer is whole while it is passed on."""

from collections.abc import Callable

from cornelgrade.adapters import engine
from cornelgrade.services import exchange

SERVER_ERROR = 500


async def stream(answer: engine.Answer, peer: str, count: Callable[[int], None]) -> exchange.Parts:
    """Relay whole events only, and count them, so that a stream can be resumed between two.

    :param count: told the number of events passed on, the end marker not counted.
    :raises CallError: ``PART_ANSWERED`` when the end marker does not come.
    """
    yield exchange.Head(answer.status, answer.headers)
    held = b""
    async for chunk in answer.chunks():
        data = held + chunk if held else chunk
        end = data.rfind(engine.EVENT_END) + len(engine.EVENT_END)
        if end < len(engine.EVENT_END):
            held = data
            continue
        held = data[end:]
        ready = data[:end]
        ended = ready.endswith(engine.END_MARKER)
        count(ready.count(engine.EVENT_END) - ended)
        yield ready
        if ended:
            return
    raise _truncated(peer)


async def whole(answer: engine.Answer) -> exchange.Parts:
    """Give an answer only when all of it is here."""
    body = b"".join([chunk async for chunk in answer.chunks()])
    yield exchange.Head(answer.status, answer.headers)
    yield body


async def collect(parts: exchange.Parts) -> tuple[exchange.Head, bytes]:
    """Gather an answer."""
    head = await anext(parts)
    assert isinstance(head, exchange.Head)
    body = [part async for part in parts if isinstance(part, bytes)]
    return head, b"".join(body)


def refused(answer: engine.Answer, peer: str) -> engine.CallError:
    """Make the failure of a call that the upstream answered by a server error."""
    return engine.CallError(
        f"answered {answer.status}", step="send", peer=peer, progress=engine.Progress.SENT
    )


def _truncated(peer: str) -> engine.CallError:
    return engine.CallError(
        "the stream ended without its end marker",
        step="relay",
        peer=peer,
        progress=engine.Progress.PART_ANSWERED,
    )
