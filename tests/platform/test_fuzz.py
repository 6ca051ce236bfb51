"""Decoders of foreign bytes give the right value or a clear error, whatever comes."""

import base64
import itertools

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from cornelgrade import errors, routes
from cornelgrade.adapters import platform
from cornelgrade.platform import calls, entries, jobs, objects, plans
from cornelgrade.policy import event_stream
from cornelgrade.services.edge import ports

# The same examples in each run, so that CI gives the same verdict.
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
ENTRY = {"service": "s", "address": "10.0.0.9:80", "zone": "z", "state": "ready", "slots": 8}
ROUTE = {"name": "r", "host": "H", "pathPrefix": "/a/", "kind": "batch", "service": "s", "cap": 9}
PLAN = {"version": 3, "routes": [ROUTE], "services": [{"name": "s", "engine": {"slots": 4}}]}
LOT = {"items": [{"id": "a", "path": "/a/b", "body": "YQ==", "tokens": 4, "headers": {"k": "v"}}]}
NUMBERS = [b"-1", b"0", b"1e999", b"-1e999", b"1e308", b"9" * 30, b"9" * 5000, b"0.5"]
VALUES = strategies.sampled_from([*NUMBERS, b"null", b'""', b"[]", b"{}", b'"\\ud800"', b"\xff"])


def places(value: object) -> list[bytes]:
    """Give the encoded parts of a value, each of which may be replaced."""
    nested = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
    inner = itertools.chain.from_iterable(places(part) for part in nested)
    return [msgspec.json.encode(value), *inner]


def damaged(value: object) -> strategies.SearchStrategy[bytes]:
    """Draw bytes that are the value with one part replaced, cut short, or anything."""
    whole = msgspec.json.encode(value)
    replaced = strategies.builds(
        lambda part, by: whole.replace(part, by), strategies.sampled_from(places(value)), VALUES
    )
    cut = strategies.integers(0, len(whole)).map(lambda at: whole[:at])
    return strategies.one_of(replaced, cut, strategies.binary(max_size=60))


@SETTINGS
@hypothesis.given(damaged(ENTRY))
def test_entry_is_one_that_can_be_used_or_none(raw):
    found = entries.read("i", raw)
    assert found is None or (found.slots >= 1 and found.address.rpartition(":")[2].isdigit())


@SETTINGS
@hypothesis.given(damaged(PLAN))
def test_plan_is_read_or_none(raw):
    found = plans.read(raw)
    assert found is None or isinstance(found, routes.Plan)


@SETTINGS
@hypothesis.given(damaged(LOT))
def test_job_is_read_as_sent_or_refused_as_bad(raw):
    try:
        items = jobs.JobCalls().parse_submission(raw)
    except errors.BadInputError:
        return
    sent = msgspec.json.decode(raw)["items"]
    assert [item.name for item in items] == [item["id"] for item in sent]
    assert [item.body for item in items] == [base64.b64decode(item["body"]) for item in sent]
    assert all(item.tokens >= 0 for item in items)


@SETTINGS
@hypothesis.given(damaged({"running": 1, "waiting": 2}))
def test_load_is_read_or_none(raw):
    found = calls.Calls().parse_load(raw)
    assert found is None or isinstance(found, ports.UpstreamLoad)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=40), strategies.binary(max_size=40))
def test_callers_headers_are_read(deadline, resume):
    found = calls.Calls().parse_caller(((b"x-deadline-ms", deadline), (b"last-event-id", resume)))
    assert found.timeout_s is None or 0 <= found.timeout_s < float("inf")
    assert found.resume_after is None or found.resume_after >= 0


@SETTINGS
@hypothesis.given(damaged({"items": [{"metadata": {"name": "a", "revision": 1}, "spec": {}}]}))
def test_page_of_the_store_is_read_or_is_no_answer(raw):
    try:
        page = objects._decoded(raw, objects._Page)
    except platform.UnavailableError:
        return
    assert all(
        s is None or s.name is not None for s in (objects._stored("k", i) for i in page.items)
    )


STREAM = b"".join(b"id: %d\r\ndata: a%d\r\ndata:\r\n\r\n" % (n, n) for n in range(1, 4))
STREAM += b"id: " + b"9" * 5000 + b"\n\nid: \xb2\n\n:comment\n\ndata: end\n\n"


@SETTINGS
@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=8))
def test_events_are_the_same_however_the_stream_is_cut(cuts):
    marks = [0, *sorted(cuts), len(STREAM)]
    splitter = event_stream.EventSplitter()
    parts = [STREAM[a:b] for a, b in itertools.pairwise(marks)]
    found = [event for part in parts for event in splitter.feed(part)]
    assert b"".join(event.raw for event in found) == STREAM
    assert [event.number for event in found] == [1, 2, 3, None, None, None, None]


@pytest.mark.parametrize("raw", [b"", b"\n\n", b"id\n\n", b"\xff\xfe\n\n"])
def test_events_without_a_number_pass(raw):
    assert all(event.number is None for event in event_stream.EventSplitter().feed(raw))
