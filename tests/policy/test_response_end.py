"""Ends of response bodies, wherever the parts of the body end."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade.policy import event_stream, response_end

EVENT_STREAM = "text/event-stream; charset=utf-8"
LINE_ENDS = ("\n", "\r\n", "\r")


def judge(parts, content_type=EVENT_STREAM, *, framed=False):
    end = response_end.follow_body(content_type, framed=framed)
    for part in parts:
        end.feed(part)
    return end.find_break()


@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize(
    ("stream", "complete"),
    [
        ("id: 1", False),
        ("id: 1\n", False),
        ("id: 1\ndata: a\n", False),
        ("id: 1\ndata: a\n\n", True),
        ("id: 1\ndata: a\n\n\n", True),
        ("id: 1\ndata: a\n\ni", False),
        ("id: 1\ndata: a\n\n: comment\n", False),
        ("id: 1\ndata: a\n\nid: 2\n\n", True),
    ],
)
def test_stream_is_complete_only_between_events(stream, complete, line_end):
    assert (judge([stream.replace("\n", line_end).encode()]) == "") is complete


# Data, an id, a comment, and what is none of these.
PIECES = st.sampled_from(["data:a", "id:1", ": a", "b", "\r", "\n"])


# Guards against judging by where the network happened to split the stream.
@given(st.lists(PIECES, max_size=24).map("".join), st.data())
def test_verdict_does_not_depend_on_how_a_stream_is_split(text, data):
    stream = text.encode()
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=4)))
    parts = [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
    whole = [stream[i : i + 1] for i in range(len(stream))]
    assert judge(parts) == judge([stream]) == judge(whole)


# Guards against two rules for where an event ends: one that relays events, one that judges the end.
@given(st.lists(st.lists(PIECES, max_size=8).map("".join), max_size=6))
def test_relayed_events_and_verdict_agree(texts):
    splitter = event_stream.EventSplitter()
    parts = [text.encode() for text in texts]
    events = [event for part in parts for event in splitter.feed(part)]
    rest_is_blank = event_stream.is_blank(splitter.remainder)
    assert (judge(parts, framed=True) == "") == rest_is_blank
    assert (judge(parts) == "") == (rest_is_blank and not all(event.empty for event in events))


def test_stream_without_an_event_is_complete_only_if_it_is_framed():
    assert judge([]) == "stream ended before its first event"
    assert judge([], framed=True) == ""


def test_body_that_is_no_stream_is_judged_by_its_framing():
    assert judge([b"data: a"], "text/plain") == ""


# Guards against a deeply nested document that ends the task that relays it.
def test_json_that_is_nested_too_deeply_is_not_taken_for_complete():
    end = response_end.follow_json_body("application/json", framed=False)
    end.feed(b"[" * 5_000 + b"]" * 5_000)
    assert end.find_break() != ""


# Guards against events without a number that come twice where a response begins before the last
# number, and against dropping new ones.
@pytest.mark.parametrize(
    ("raw", "new"),
    [
        (b"data: b\n\n", ""),
        (b"data: b\n\ndata: c\n\n", "c"),
        (b"id: 1\ndata: 1\n\ndata: a\n\nid: 2\ndata: 2\n\ndata: b\n\ndata: c\n\n", "c"),
        (b"id: 3\ndata: 3\n\ndata: d\n\n", "3d"),
    ],
)
def test_events_of_an_earlier_response_are_not_new(raw, new):
    repeats, last_id, found = event_stream.Repeats(), None, ""
    for response in (b"id: 1\ndata: 1\n\ndata: a\n\nid: 2\ndata: 2\n\ndata: b\n\n", raw):
        found = ""
        repeats.begin_response()
        for event in event_stream.EventSplitter().feed(response):
            if repeats.is_new(event, last_id):
                repeats.add_new(event)
                found += event.data().decode()
                last_id = event.event_id or last_id
    assert found == new
