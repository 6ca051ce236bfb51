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
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)
NO_RESUME = _chunk_run.Resume()
RESUME = _chunk_run.Resume(2, "earlier text")
TEXT_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n"
UNTYPED_HEAD = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
LOAD = b'HTTP/1.1 200 OK\r\ncontent-length: 35\r\n\r\n{"running":0,"waiting":0,"slots":8}\n'
CLOSE = b""
SILENCE = b"silence"
CONTROL = b"GET /v1/load "
END_OF_HEAD = b"\r\n\r\n"
EVENTS = b'data: {"a": 1}\n\ndata: {"b": 2}\n\n'


@contextlib.asynccontextmanager
async def open_upstream(raw, *, ends=False, control=NOT_FOUND):
    """Give an upstream that answers each call with these bytes and closes the connection.

    :param ends: whether its process ends right after that, as a crash does.
    :param control: what it answers to a control call before it closes the connection.
    """

    async def answer(stream):
        async with stream:
            # Closing a connection with unread bytes would reset it.
            request = b""
            while not request.endswith((b"}", END_OF_HEAD)):
                request += await stream.receive_some(65_536)
            if request.startswith(CONTROL):
                asked.append(request)
                if control == SILENCE:
                    await trio.sleep_forever()
                await stream.send_all(control)
                return
            while not request.endswith(b"}"):
                request += await stream.receive_some(65_536)
            await stream.send_all(raw)
            if ends:
                serving.cancel()
                await closed.wait()

    async def serve():
        with serving:
            await trio.serve_listeners(answer, listeners, handler_nursery=nursery)
        closed.set()

    asked = []
    serving, closed = trio.CancelScope(), trio.Event()
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(serve)
        async with upstream_http.HttpUpstream("e", f"127.0.0.1:{port}") as upstream:
            upstream.asked = asked
            yield upstream
        nursery.cancel_scope.cancel()


async def relay(raw, *, stream=False, **changes):
    """Return what a gateway relays of a response, or how far the call came if it failed."""
    call = engine.Call("s", "POST", "/v1/completions", BODY, marks_end=stream)
    async with open_upstream(raw, **changes) as upstream:
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


async def run_item(raw, body=BODY, resume=NO_RESUME, version=""):
    """Return the report of an item's run at an upstream that answers with these bytes."""
    item = job_records.Item("i", "/v1/completions", body)
    async with open_upstream(raw) as upstream:
        work = make_work(item, resume)
        return await _item_call.ItemCall(upstream, work, software_version=version).run()


def make_work(item, resume=NO_RESUME):
    header = types.SimpleNamespace(job="job", chunk_items=1)
    run = types.SimpleNamespace(claim=types.SimpleNamespace(chunk=0), header=header)
    return _chunk_run.Work(run, 0, item, resume, alone=False)


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


# Guards against passing on, or recording for resends, the begin of a body whose upstream crashed:
# its kernel ends the connection as the end of a whole body does.
@pytest.mark.parametrize(
    "raw",
    [TEXT_HEAD, TEXT_HEAD + b"any te", UNTYPED_HEAD + ANSWER[:20], EVENT_HEAD + EVENTS],
)
@pytest.mark.parametrize(
    "failure", [{"ends": True}, {"control": CLOSE}], ids=["refuses", "closes connections"]
)
async def test_unframed_body_of_an_upstream_that_has_ended_is_no_answer(raw, failure):
    assert await relay(raw, **failure) is engine.Progress.PART_ANSWERED


def with_start(head, start):
    return head.replace(b"\r\n", b"\r\nengine-start: %s\r\n" % start, 1)


# Guards against passing on, or recording for resends, the begin of a body whose upstream crashed
# and is back before it is asked; a start that isn't named on both sides shows nothing.
@pytest.mark.parametrize(
    ("head", "control", "whole"),
    [
        (with_start(TEXT_HEAD, b"1"), with_start(NOT_FOUND, b"2"), False),
        (with_start(UNTYPED_HEAD, b"1"), with_start(LOAD, b"2"), False),
        (with_start(TEXT_HEAD, b"1"), with_start(NOT_FOUND, b"1"), True),
        (with_start(TEXT_HEAD, b"1"), NOT_FOUND, True),
        (TEXT_HEAD, with_start(LOAD, b"2"), True),
    ],
)
async def test_unframed_body_is_whole_only_of_the_start_that_still_runs(head, control, whole):
    body = b"any text" if whole else engine.Progress.PART_ANSWERED
    assert await relay(head + b"any text", control=control) == body


# Guards against failing a whole response because its upstream is too busy for a control call.
async def test_unframed_body_of_an_upstream_that_accepts_connections_in_silence_is_whole():
    with trio.fail_after(upstream_http.CONTROL_TIMEOUT_S + 1.0):
        assert await relay(TEXT_HEAD + b"any text", control=SILENCE) == b"any text"


# Guards against a question that costs responses whose end is marked in another way.
@pytest.mark.parametrize(
    ("raw", "stream", "questions"),
    [
        (TEXT_HEAD + b"any text", False, 1),
        (JSON_HEAD + ANSWER, False, 0),
        (EVENT_HEAD + EVENTS + engine.END_MARKER, True, 0),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", False, 0),
        (b"HTTP/1.1 204 No Content\r\n\r\n", False, 0),
        (b"HTTP/1.1 404 Not Found\r\n\r\n", False, 0),
    ],
)
async def test_only_an_unmarked_end_costs_a_load_report(raw, stream, questions):
    call = engine.Call("s", "POST", "/v1/completions", BODY, marks_end=stream)
    async with open_upstream(raw) as upstream, upstream.call(call) as response:
        async for _ in response.chunks():
            pass
        assert len(upstream.asked) == questions


# Guards against storing half an answer as the result of an item.
@pytest.mark.parametrize(("end", "event"), [(len(ANSWER), "ANSWERED"), (20, "BROKEN")])
async def test_item_with_an_unframed_body_completes_only_if_it_is_whole(end, event):
    assert (await run_item(JSON_HEAD + ANSWER[:end])).event.name == event


# Guards against the same where the framing tells of an end, but not the document.
@pytest.mark.parametrize("content_type", [b"content-type: application/json\r\n", b""])
@pytest.mark.parametrize(
    ("end", "event"), [(len(ANSWER), "ANSWERED"), (20, "FAILED"), (0, "FAILED")]
)
async def test_item_with_a_framed_body_completes_only_if_its_document_is_whole(
    content_type, end, event
):
    head = b"HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n" % (content_type, end)
    assert (await run_item(head + ANSWER[:end])).event.name == event


# Guards against storing the begin of a stream as the result of an item that asked for one.
@pytest.mark.parametrize("head", [EVENT_HEAD, CHUNKED_HEAD], ids=["unframed", "chunked"])
@pytest.mark.parametrize(
    ("events", "event"), [(EVENTS, "BROKEN"), (EVENTS + engine.END_MARKER, "ANSWERED")]
)
async def test_item_of_events_completes_only_with_the_end_marker(head, events, event):
    chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(events), events)
    report = await run_item(head + (chunk if head == CHUNKED_HEAD else events))
    assert report.event.name == event
    assert event == "BROKEN" or report.body == events


# Guards against an engine's run of all items that ends because the text of cancelled runs can't be
# put before a response.
@pytest.mark.parametrize(
    "answer",
    [b"{}", b"[]", b'{"choices": [{}]}', b"7", b'{"choices": [{"text": "\xff"}]}'],
)
async def test_resumed_item_fails_if_its_answer_is_no_completion(answer):
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(answer)
    report = await run_item(head + answer, resume=RESUME)
    assert (report.event.name, report.resume) == ("FAILED", NO_RESUME)


# Guards against a text of which two software versions wrote a part each: the engine was replaced
# before the manifest says so.
@pytest.mark.parametrize(("named", "event"), [(b"v1", "ANSWERED"), (b"v2", "PREEMPTED")])
async def test_item_goes_on_only_where_the_response_names_its_version(named, event):
    head = b"HTTP/1.1 200 OK\r\nengine-software-version: %s\r\ncontent-length: %d\r\n\r\n"
    resume = _chunk_run.Resume(2, "earlier text", "v1")
    report = await run_item(head % (named, len(ANSWER)) + ANSWER, resume=resume, version="v1")
    assert (report.event.name, b"earlier" in report.body) == (event, event == "ANSWERED")
    assert event == "ANSWERED" or report.resume == NO_RESUME


# Guards against the same, and against the loss of the first events of a stream.
async def test_item_of_events_starts_anew():
    whole = EVENTS + engine.END_MARKER
    report = await run_item(EVENT_HEAD + whole, b'{"stream": true}', RESUME)
    assert (report.event.name, report.body) == ("ANSWERED", whole)
