"""Decoders of untrusted bytes return a valid value or raise a documented error for any input."""

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

# Derandomized, so that CI is reproducible.
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
ENTRY = {"service": "s", "address": "10.0.0.9:80", "zone": "z", "state": "ready", "slots": 8}
ROUTE = {"name": "r", "host": "H", "pathPrefix": "/a/", "kind": "batch", "service": "s", "cap": 9}
PLAN = {"version": 3, "routes": [ROUTE], "services": [{"name": "s", "engine": {"slots": 4}}]}
LOT = {"items": [{"id": "a", "path": "/a/b", "body": "YQ==", "tokens": 4, "headers": {"k": "v"}}]}
NUMBERS = [b"-1", b"0", b"1e999", b"-1e999", b"1e308", b"9" * 30, b"9" * 5000, b"0.5"]
VALUES = strategies.sampled_from([*NUMBERS, b"null", b'""', b"[]", b"{}", b'"\\ud800"', b"\xff"])


def encoded_parts(value: object) -> list[bytes]:
    """Return the JSON encodings of a value and of all its nested values."""
    nested = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
    inner = itertools.chain.from_iterable(encoded_parts(part) for part in nested)
    return [msgspec.json.encode(value), *inner]


def corrupted(value: object) -> strategies.SearchStrategy[bytes]:
    """Draw the encoded value with one part replaced or its end cut off, or arbitrary bytes."""
    encoded = msgspec.json.encode(value)
    replaced = strategies.builds(
        lambda part, by: encoded.replace(part, by),
        strategies.sampled_from(encoded_parts(value)),
        VALUES,
    )
    truncated = strategies.integers(0, len(encoded)).map(lambda at: encoded[:at])
    return strategies.one_of(replaced, truncated, strategies.binary(max_size=60))


@SETTINGS
@hypothesis.given(corrupted(ENTRY))
def test_decoded_entry_is_valid_or_none(raw):
    found = entries.decode("i", raw)
    assert found is None or (found.slots >= 1 and found.address.rpartition(":")[2].isdigit())


@SETTINGS
@hypothesis.given(corrupted(PLAN))
def test_decoded_plan_is_valid_or_none(raw):
    found = plans.decode(raw)
    assert found is None or isinstance(found, routes.Plan)


@SETTINGS
@hypothesis.given(corrupted(LOT))
def test_job_submission_is_decoded_or_rejected(raw):
    try:
        items = jobs.JobCallFormat().parse_submission(raw)
    except errors.BadInputError:
        return
    sent = msgspec.json.decode(raw)["items"]
    assert [item.name for item in items] == [item["id"] for item in sent]
    assert [item.body for item in items] == [base64.b64decode(item["body"]) for item in sent]
    assert all(item.tokens >= 0 for item in items)


@SETTINGS
@hypothesis.given(corrupted({"running": 1, "waiting": 2}))
def test_load_report_is_decoded_or_none(raw):
    found = calls.CallFormat().parse_load(raw)
    assert found is None or isinstance(found, ports.UpstreamLoad)


@SETTINGS
@hypothesis.given(strategies.binary(max_size=40), strategies.binary(max_size=40))
def test_caller_headers_are_parsed_or_ignored(deadline, resume):
    found = calls.CallFormat().parse_caller(
        ((b"x-deadline-ms", deadline), (b"last-event-id", resume))
    )
    assert found.timeout_s is None or 0 <= found.timeout_s < float("inf")
    assert found.resume_after is None or found.resume_after >= 0


@SETTINGS
@hypothesis.given(corrupted({"items": [{"metadata": {"name": "a", "revision": 1}, "spec": {}}]}))
def test_store_page_is_decoded_or_unavailable(raw):
    try:
        page = objects._decode_response(raw, objects._Page)
    except platform.UnavailableError:
        return
    assert all(
        s is None or s.name is not None
        for s in (objects._decode_object("k", i) for i in page.items)
    )


STREAM = b"".join(b"id: %d\r\ndata: a%d\r\ndata:\r\n\r\n" % (n, n) for n in range(1, 4))
STREAM += b"id: " + b"9" * 5000 + b"\n\nid: \xb2\n\n:comment\n\ndata: end\n\n"


@SETTINGS
@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=8))
def test_event_splitting_does_not_depend_on_chunk_boundaries(cuts):
    offsets = [0, *sorted(cuts), len(STREAM)]
    splitter = event_stream.EventSplitter()
    parts = [STREAM[a:b] for a, b in itertools.pairwise(offsets)]
    found = [event for part in parts for event in splitter.feed(part)]
    assert b"".join(event.raw for event in found) == STREAM
    assert [event.event_id for event in found] == [1, 2, 3, None, None, None, None]


@pytest.mark.parametrize("raw", [b"", b"\n\n", b"id\n\n", b"\xff\xfe\n\n"])
def test_events_without_a_number_are_accepted(raw):
    assert all(event.event_id is None for event in event_stream.EventSplitter().feed(raw))
