"""Policies of the edge services that forward requests."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornelgrade import routes
from cornelgrade.policy import event_stream, placement, registrations, route_table


def make_route(prefix: str, host: str = "h", targets=("s",)) -> routes.Route:
    kind = routes.RouteKind.STREAM
    made = tuple(routes.Target(*t) if isinstance(t, tuple) else routes.Target(t) for t in targets)
    return routes.Route(prefix, host, prefix, kind, made)


TABLE = route_table.RouteTable(
    routes.Plan(1, (make_route("/a/"), make_route("/a/b/"), make_route("/", "other")), ())
)


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("h", "/a/x", "/a/"),
        ("h", "/a/b/x", "/a/b/"),
        ("H:80", "/a/b/", "/a/b/"),
        ("h", "/a", None),
        ("h", "/b/", None),
        ("other", "/anything", "/"),
        ("none", "/a/", None),
        ("", "/a/", None),
    ],
)
def test_longest_prefix_of_the_host_is_matched(host, path, found):
    route = TABLE.find(host, path)
    assert (route.path_prefix if route else None) == found


def test_requests_are_divided_by_weight_and_equal_keys_get_the_same_service():
    route = make_route("/", targets=(("a", 90.0), ("b", 10.0)))
    picks = [route_table.pick_service(route, f"r{n}") for n in range(2000)]
    assert 100 < picks.count("b") < 300
    assert picks[0] == route_table.pick_service(route, "r0")


@given(st.data())
def test_events_are_complete_wherever_chunks_end(data):
    raw = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6)) + b"id: 6\nda"
    splitter = event_stream.EventSplitter()
    events = []
    while raw:
        size = data.draw(st.integers(1, len(raw)))
        events += splitter.feed(raw[:size])
        raw = raw[size:]
    assert [e.event_id for e in events] == [1, 2, 3, 4, 5]
    assert [e.data() for e in events] == [b"x1", b"x2", b"x3", b"x4", b"x5"]
    assert splitter.remainder == b"id: 6\nda"


@pytest.mark.parametrize(
    ("raw", "number", "data"),
    [
        (b"id:7\r\ndata:a\r\n\r\n", 7, b"a"),
        (b"data: a\ndata: b\n\n", None, b"a\nb"),
        (b"id: x\ndata:  a\n\n", None, b" a"),
        (b": comment\n\n", None, b""),
    ],
)
def test_event_is_parsed_as_the_standard_specifies(raw, number, data):
    (event,) = event_stream.EventSplitter().feed(raw)
    assert (event.event_id, event.data()) == (number, data)


def seen(name: str, **more) -> placement.Candidate:
    return placement.Candidate(**{"name": name, "slots": 8, "local": True, **more})


@pytest.mark.parametrize(
    ("candidates", "chosen"),
    [
        ((seen("a", own=3), seen("b", own=1)), "b"),
        ((seen("a", others=3), seen("b", own=1)), "b"),
        ((seen("near", own=1), seen("far", local=False)), "near"),
        ((seen("near", own=3), seen("far", local=False)), "far"),
        ((seen("full", own=2, batch=6), seen("free", own=2)), "free"),
        ((seen("doubted", suspect=True), seen("sure", own=3)), "sure"),
        ((seen("a", own=5, others=4),), None),
        ((), None),
    ],
)
def test_upstream_with_the_lowest_cost_is_chosen(candidates, chosen):
    found = placement.choose_upstream(candidates, random.Random(1))
    assert (found.name if found else None) == chosen


UP = routes.Upstream("a", "s", "1.1.1.1:1", "north", 8)


@pytest.mark.parametrize(
    ("away_s", "now_s", "usable"),
    [
        (-1e9, 10.0, False),
        (9.5, 10.0, True),
        (9.5, 11.6, False),
    ],
)
def test_missing_registration_is_unusable_unless_the_platform_was_unavailable(
    away_s, now_s, usable
):
    known = registrations.register({}, (UP,))
    known = registrations.mark_missing(known, frozenset("a"), away_s)
    assert bool(registrations.list_usable(known, now_s)) is usable


def test_renewed_registration_is_usable_again():
    known = registrations.mark_missing(registrations.register({}, (UP,)), frozenset("a"), 9.5)
    known = registrations.register(known, (UP,))
    assert registrations.list_usable(known, 100.0)
    assert registrations.drop_expired(known, 100.0) == known
