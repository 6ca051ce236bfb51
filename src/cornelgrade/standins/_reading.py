"""Waiting for a sequence's tokens and writing them as an answer."""

import trio

from cornelgrade.standins import engine_model, engine_wire


async def wait(sequence: engine_model.Sequence, count: int) -> None:
    """Wait until ``count`` tokens are there or no more will come."""
    while len(sequence.words) < count and not sequence.ended:
        event = trio.Event()

        def wake(event: trio.Event = event) -> None:
            if sequence.ended or len(sequence.words) >= count:
                event.set()

        sequence.wake = wake
        await event.wait()
    sequence.wake = None


def events(sequence: engine_model.Sequence, start: int, stop: int, *, chat: bool) -> bytes:
    """Write tokens ``start`` to ``stop`` of this call as server-sent events."""
    last = sequence.end - 1
    return b"".join(
        engine_wire.event(sequence.words[index], chat=chat, last=index == last)
        for index in range(start, stop)
    )


def whole_answer(sequence: engine_model.Sequence, *, chat: bool) -> bytes:
    """Write a finished sequence as a whole answer."""
    usage = engine_wire.Usage(
        prompt_tokens=sequence.prompt_tokens,
        completion_tokens=len(sequence.words),
        total_tokens=sequence.prompt_tokens + len(sequence.words),
        cached_tokens=sequence.cached_tokens,
    )
    return engine_wire.whole(
        "".join(sequence.words),
        usage,
        chat=chat,
        model=sequence.completion.model,
        stream_id=sequence.stream_id,
    )
