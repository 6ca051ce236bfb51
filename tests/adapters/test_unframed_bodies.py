"""Responses on the product's own interface that end with their connection."""

import contextlib
import json
import types

import pytest
import trio

from cornelgrade.adapters import engine, upstream_http
from cornelgrade.services import _chunk_run, _item_call, _relay, job_records

BODY = b"{}"
ANSWER = json.dumps({"choices": [{"text": "a whole answer"}]}).encode()
JSON_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n"
EVENT_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
TEXT_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n"
EVENTS = b'data: {"a": 1}\n\ndata: {"b": 2}\n\n'


@contextlib.asynccontextmanager
async def open_upstream(raw):
    """Give an upstream that answers each call with these bytes and closes the connection."""

    async def answer(stream):
        async with stream:
            # Closing a connection with unread bytes would reset it.
            request = b""
            while not request.endswith(BODY):
                request += await stream.receive_some(65_536)
            await stream.send_all(raw)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, answer, listeners)
        async with upstream_http.HttpUpstream("e", f"127.0.0.1:{port}") as upstream:
            yield upstream
        nursery.cancel_scope.cancel()


async def relay(raw, *, stream=False):
    """Return what a gateway relays of a response, or how far the call came if it failed."""
    call = engine.Call("s", "POST", "/v1/completions", BODY)
    async with open_upstream(raw) as upstream:
        try:
            async with upstream.call(call) as response:
                parts = (
                    _relay.relay_stream(response, "e", lambda events: None)
                    if stream
                    else _relay.relay_whole(response)
                )
                return (await _relay.collect_response(parts))[1]
        except engine.CallError as exc:
            return exc.progress


def make_work(item):
    header = types.SimpleNamespace(job="job", chunk_items=1)
    run = types.SimpleNamespace(claim=types.SimpleNamespace(chunk=0), header=header)
    return _chunk_run.Work(run, 0, item, _chunk_run.Resume(), alone=False)


# Guards against passing on, or recording for resends, a body that its upstream broke off.
@pytest.mark.parametrize(
    "raw",
    [
        JSON_HEAD,
        JSON_HEAD + ANSWER[:-1],
        JSON_HEAD + ANSWER[: len(ANSWER) // 2],
        EVENT_HEAD,
        EVENT_HEAD + EVENTS[:-1],
        EVENT_HEAD + EVENTS[:20],
    ],
)
async def test_unframed_body_that_is_cut_off_is_no_answer(raw):
    assert await relay(raw) is engine.Progress.PART_ANSWERED


# Guards against a failure for a response that by HTTP has no body and needs no length.
@pytest.mark.parametrize(
    ("method", "status"), [("POST", b"204 No Content"), ("HEAD", b"200 OK"), ("HEAD", b"204 N")]
)
@pytest.mark.parametrize("content_type", [b"application/json", b"text/event-stream"])
async def test_response_that_has_no_body_is_whole(method, status, content_type):
    head = b"HTTP/1.1 %s\r\ncontent-type: %s\r\n\r\n" % (status, content_type)
    call = engine.Call("s", method, "/refills", BODY)
    async with open_upstream(head) as upstream, upstream.call(call) as response:
        assert [chunk async for chunk in response.chunks()] == []


# Guards against passing on a stream of an engine without its end marker.
@pytest.mark.parametrize("end", [0, 20, len(EVENTS) - 1, len(EVENTS)])
async def test_unframed_stream_without_its_end_marker_is_no_answer(end):
    assert await relay(EVENT_HEAD + EVENTS[:end], stream=True) is engine.Progress.PART_ANSWERED


@pytest.mark.parametrize(
    ("head", "body"), [(JSON_HEAD, ANSWER), (EVENT_HEAD, EVENTS), (TEXT_HEAD, b"any text")]
)
async def test_whole_unframed_body_is_relayed(head, body):
    assert await relay(head + body) == body


async def test_whole_unframed_stream_is_relayed():
    body = EVENTS + engine.END_MARKER
    assert await relay(EVENT_HEAD + body, stream=True) == body


# Guards against storing half an answer as the result of an item.
@pytest.mark.parametrize(("end", "event"), [(len(ANSWER), "ANSWERED"), (20, "BROKEN")])
async def test_item_with_an_unframed_body_completes_only_if_it_is_whole(end, event):
    item = job_records.Item("i", "/v1/completions", BODY)
    async with open_upstream(JSON_HEAD + ANSWER[:end]) as upstream:
        report = await _item_call.ItemCall(upstream, make_work(item)).run()
    assert report.event.name == event
