"""Which bytes of an upstream's stream count as its progress, on the product's own interface."""

import pytest
import trio

from cornelgrade.adapters import engine
from cornelgrade.services import _relay

EVENT = b'data: {"text": "a"}\n\n'
COMMENT = b": still here\n\n"
TIMEOUTS = _relay.EventTimeouts(0.3, 0.3)


class Response:
    """Yields some chunks, then the same one again and again, or ends."""

    status = 200
    headers = ()

    def __init__(self, chunks, pause_s, occasional=b""):
        self._chunks = chunks
        self._pause_s = pause_s
        self._occasional = occasional

    async def chunks(self):
        for chunk in self._chunks:
            await trio.sleep(self._pause_s)
            yield chunk
        while self._occasional:
            await trio.sleep(self._pause_s)
            yield self._occasional


async def relay(response):
    counted = []
    parts = _relay.relay_stream(response, "engine-0", counted.append, TIMEOUTS)
    received = [part async for part in parts if isinstance(part, bytes)]
    return b"".join(received), sum(counted)


# Guards against a stream that an upstream holds for ever with comments or half an event.
@pytest.mark.parametrize("events", [[], [EVENT]], ids=["before", "after"])
@pytest.mark.parametrize("occasional", [COMMENT, b"d", b"\n"])
async def test_stalled_stream_fails_whatever_it_still_sends(events, occasional):
    with trio.fail_after(2), pytest.raises(engine.CallError) as caught:
        await relay(Response(events, 0.1, occasional))
    assert caught.value.timed_out
    assert caught.value.progress is engine.Progress.PART_ANSWERED


# Guards against cutting off a stream whose events come in time, in parts.
async def test_slow_stream_is_relayed_to_its_end():
    whole = EVENT * 4 + engine.END_MARKER
    chunks = [whole[i : i + 11] for i in range(0, len(whole), 11)]
    assert await relay(Response(chunks, 0.1)) == (whole, 4)


# Guards against a token that is skipped when a stream goes on, because a comment counted as one.
async def test_comments_are_passed_on_and_not_counted():
    chunks = [EVENT, COMMENT, EVENT + COMMENT, engine.END_MARKER]
    assert await relay(Response(chunks, 0.0)) == (b"".join(chunks), 2)


FOREIGN_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"


# Guards against passing on what follows the end of a stream, such as a second response on a
# connection without framing, as part of the answer.
@pytest.mark.parametrize("behind", [EVENT, FOREIGN_HEAD + EVENT, EVENT + engine.END_MARKER])
@pytest.mark.parametrize("chunk_bytes", [7, 1_000])
async def test_stream_ends_at_its_first_end_marker(behind, chunk_bytes):
    whole = EVENT * 2 + engine.END_MARKER
    received = whole + behind
    chunks = [received[i : i + chunk_bytes] for i in range(0, len(received), chunk_bytes)]
    assert await relay(Response(chunks, 0.0)) == (whole, 2)


# Guards against a stream that is broken off between or inside events, and that a second response
# on the same connection completes with its own events and end marker.
@pytest.mark.parametrize("chunk_bytes", [7, 1_000])
@pytest.mark.parametrize("cut", [b"", b"da", EVENT[:12]], ids=["between", "name", "data"])
async def test_stream_fails_before_lines_that_belong_to_no_event_stream(chunk_bytes, cut):
    received = EVENT * 2 + cut + FOREIGN_HEAD + EVENT * 3 + engine.END_MARKER
    chunks = [received[i : i + chunk_bytes] for i in range(0, len(received), chunk_bytes)]
    counted = []
    passed_on = b""
    with pytest.raises(engine.CallError) as caught:
        async for part in _relay.relay_stream(Response(chunks, 0.0), "engine-0", counted.append):
            passed_on += part if isinstance(part, bytes) else b""
    assert caught.value.progress is engine.Progress.PART_ANSWERED
    assert (passed_on, sum(counted)) == (EVENT * 2, 2)


# Guards against failing a sound stream whose comments end their lines in another way.
async def test_stream_with_line_ends_of_two_kinds_is_relayed_to_its_end():
    chunks = [EVENT, b": ping\r\n\r\n", EVENT, b"\r\n", EVENT, engine.END_MARKER]
    assert await relay(Response(chunks, 0.0)) == (b"".join(chunks), 3)
