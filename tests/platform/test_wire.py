"""What the platform's bodies and headers become inside, also where another writer left them."""

import msgspec
import pytest

from cornelgrade import errors, routes
from cornelgrade.adapters import http1, http1_server
from cornelgrade.platform import calls, entries, jobs, plans
from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.services.edge import ports

ENTRY = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
}
ROUTE = {
    "name": "r",
    "host": "Questions.example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 5000,
    "targetLatencyMs": 300,
    "priority": 1,
    "service": "llm",
    "maxAttempts": 2,
    "resumable": True,
    "gap_aim_ms": 200,
}


@pytest.mark.parametrize(
    ("change", "leaving"), [({}, False), ({"state": "draining"}, True), ({"born": 17}, False)]
)
def test_entry_names_an_upstream(change, leaving):
    found = entries.read("i-1", msgspec.json.encode(ENTRY | change))
    started_ms = change.get("born", 0)
    assert found == routes.Upstream("i-1", "llm", "10.0.0.9:8080", "north", 8, leaving, started_ms)


@pytest.mark.parametrize(
    "raw",
    [
        b"\xff\xfe",
        b"null",
        b"[]",
        b'"text"',
        *(
            msgspec.json.encode(ENTRY | change)
            for change in (
                {"state": "broken"},
                {"state": 7},
                {"address": "nowhere"},
                {"address": "10.0.0.9:none"},
                {"address": "10.0.0.9:99999"},
                {"slots": "8"},
                {"slots": 0},
                {"service": None},
                {"born": "yesterday"},
            )
        ),
        *(
            msgspec.json.encode({k: v for k, v in ENTRY.items() if k != missing})
            for missing in ("service", "address", "zone", "state", "slots")
        ),
    ],
)
def test_entry_of_another_writer_names_no_upstream(raw):
    assert entries.read("i-1", raw) is None


def test_plan_and_entry_that_stand_ins_write_are_read_as_they_were():
    plan = edge_system.a_plan(7, completion_aim_s=18.0, waiting_tokens=900)
    up = routes.Upstream("i-1", "llm", "10.0.0.9:80", "north", 8, True, 17)
    assert plans.read(formats.plan(plan)) == plan
    assert entries.read("i-1", formats.entry(up)) == up


def test_plan_is_read_with_its_units():
    raw = msgspec.json.encode(
        {
            "version": 7,
            "routes": [ROUTE],
            "services": [{"name": "llm", "maxConnections": 290, "engine": {"slots": 8}}],
            "limits": {"maxHeaderBytes": 16384, "headerTimeoutMs": 3000},
        }
    )
    plan = plans.read(raw)
    assert plan.version == 7
    assert plan.services == (routes.Service("llm", 8, 290),)
    assert plan.limits == routes.CallerLimits(16384, 0, 3.0, 0.0)
    (route,) = plan.routes
    assert route.host == "questions.example"
    assert (route.timeout_s, route.aim_s, route.gap_aim_s) == (5.0, 0.3, 0.2)
    assert route.repeatable


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("safe", False, True),
        ("unsafe", False, False),
        ("streaming", False, False),
        ("streaming", True, True),
        ("not known yet", False, False),
    ],
)
def test_what_may_be_repeated_follows_from_the_kind(kind, resumable, repeatable):
    route = ROUTE | {"kind": kind, "resumable": resumable}
    plan = plans.read(msgspec.json.encode({"version": 1, "routes": [route]}))
    assert plan.routes[0].repeatable is repeatable


def test_routes_may_be_split_between_services():
    split = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
        {"service": "c", "weight": 0},
    ]
    raw = msgspec.json.encode({"version": 1, "routes": [ROUTE | {"trafficSplit": split}]})
    assert plans.read(raw).routes[0].targets == (
        routes.Target("a", 90),
        routes.Target("b", 10),
    )


@pytest.mark.parametrize("raw", [b"", b"\xff", b"[]", b'{"version": "7"}'])
def test_plan_that_cant_be_read_is_none(raw):
    assert plans.read(raw) is None


@pytest.mark.parametrize(
    ("text", "patience_s"),
    [("5000", 5.0), ("0.5", 0.0005), ("nan", None), ("-1", None), ("x", None)],
)
def test_callers_patience_is_read_in_seconds(text, patience_s):
    headers = ((b"host", b"h"), (b"x-request-id", b"r"), (b"x-deadline-ms", text.encode()))
    assert calls.Calls().parse_caller(headers) == ports.Caller("r", "h", patience_s)


def test_headers_of_one_connection_stay_behind_and_others_go_on_in_order():
    headers = (
        (b"host", b"h"),
        (b"connection", b"keep-alive, x-hop"),
        (b"x-hop", b"1"),
        (b"x-model", b"m"),
        (b"transfer-encoding", b"chunked"),
        (b"x-expect-instance", b"forged"),
        (b"x-deadline-ms", b"9000"),
        (b"x-prompt-prefix", b"a:1,b:2"),
    )
    sent = calls.Calls().upstream_headers(headers, "i-1", 1.25, None)
    assert sent == (
        (b"host", b"h"),
        (b"x-model", b"m"),
        (b"x-prompt-prefix", b"a:1,b:2"),
        (b"x-deadline-ms", b"1250"),
        (b"x-expect-instance", b"i-1"),
    )


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, {"x-request-id": "r", "x-response-signature": "s"}, ports.Verdict.RESPONSE),
        (200, {"x-request-id": "r"}, ports.Verdict.UNSIGNED),
        (200, {"x-request-id": "q", "x-response-signature": "s"}, ports.Verdict.FOREIGN),
        (503, {"x-not-executed": "1"}, ports.Verdict.NOT_RUN),
        (421, {}, ports.Verdict.NOT_RUN),
        (503, {}, ports.Verdict.UNSIGNED),
        (500, {"x-response-signature": "s"}, ports.Verdict.RESPONSE),
    ],
)
def test_only_an_engines_own_word_says_that_it_did_not_run(status, headers, verdict):
    raw = tuple((k.encode(), v.encode()) for k, v in headers.items())
    assert calls.Calls().verdict(http1.Head(status, raw), "r") is verdict


def test_item_keeps_its_headers_but_not_those_that_are_set_here():
    headers = ((b"x-model", b"m"), (b"host", b"forged"), (b"x-request-id", b"forged"))
    sent = calls.Calls().item_headers("h", "item-1", headers, "i-1", 4)
    assert sent == (
        (b"host", b"h"),
        (b"x-request-id", b"item-1"),
        (b"x-expect-instance", b"i-1"),
        (b"x-model", b"m"),
        (b"last-event-id", b"4"),
    )


class FakeExchange(http1_server.Exchange):
    """A call without a connection."""

    def __init__(self, method: str, target: str, **headers: str) -> None:
        path, _, query = target.partition("?")
        self.method, self.path = method, path
        self.query = dict(part.split("=") for part in query.split("&") if part)
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}


@pytest.mark.parametrize(
    ("exchange", "call"),
    [
        (
            FakeExchange("GET", "/lots/j?after=12", x_wait_ms="1000"),
            ports.JobCall(ports.JobOperation.READ, "j", 12, "", 1.0),
        ),
        (FakeExchange("GET", "/items/j?id=i"), ports.JobCall(ports.JobOperation.BODY, "j", 0, "i")),
        (FakeExchange("DELETE", "/lots/j"), ports.JobCall(ports.JobOperation.END, "j")),
        (FakeExchange("POST", "/lots/j"), None),
        (FakeExchange("GET", "/lots/j/more"), None),
        (FakeExchange("GET", "/"), None),
    ],
)
def test_calls_about_jobs_are_told_apart(exchange, call):
    assert jobs.JobCalls().parse_job_call(exchange) == call


@pytest.mark.parametrize("after", ["-1", "", "x", "\xb2", "9" * 5000])
def test_position_that_is_no_number_is_refused(after):
    with pytest.raises(errors.BadInputError):
        jobs.JobCalls().parse_job_call(FakeExchange("GET", f"/lots/j?after={after}"))


@pytest.mark.parametrize(
    ("text", "resume_after"),
    [(b"7", 7), (b"", None), (b"x", None), (b"\xb2", None), (b"9" * 5000, None)],
)
def test_last_event_is_read_if_it_is_a_number(text, resume_after):
    headers = ((b"x-request-id", b"r"), (b"last-event-id", text))
    assert calls.Calls().parse_caller(headers).resume_after == resume_after
