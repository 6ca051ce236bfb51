"""Wait for the tokens of a sequence and encode them as a response."""

import trio

from cornelgrade.standins import engine_model, engine_wire


async def wait_for_tokens(sequence: engine_model.Sequence, count: int) -> None:
    """Wait until ``count`` tokens are generated or the sequence has ended."""
    while len(sequence.words) < count and not sequence.ended:
        event = trio.Event()

        def wake(event: trio.Event = event) -> None:
            if sequence.ended or len(sequence.words) >= count:
                event.set()

        sequence.wake = wake
        await event.wait()
    sequence.wake = None


def encode_events(sequence: engine_model.Sequence, start: int, stop: int, *, chat: bool) -> bytes:
    """Encode tokens ``start`` to ``stop`` of this call as server-sent events."""
    last = sequence.end - 1
    return b"".join(
        engine_wire.encode_event(sequence.words[index], chat=chat, last=index == last)
        for index in range(start, stop)
    )


def encode_response(sequence: engine_model.Sequence, *, chat: bool) -> bytes:
    """Encode a finished sequence as a complete response."""
    usage = engine_wire.Usage(
        prompt_tokens=sequence.prompt_tokens,
        completion_tokens=len(sequence.words),
        total_tokens=sequence.prompt_tokens + len(sequence.words),
        cached_tokens=sequence.cached_tokens,
    )
    return engine_wire.encode_response(
        "".join(sequence.words),
        usage,
        chat=chat,
        model=sequence.completion.model,
        stream_id=sequence.stream_id,
    )
