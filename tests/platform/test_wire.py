"""Conversion of the platform's bodies and headers, including those of other writers."""

import dataclasses

import msgspec
import pytest

from cornelgrade import errors, routes
from cornelgrade.adapters import http1, http1_server
from cornelgrade.platform import calls, entries, jobs, plans
from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.policy import teams, token_bucket
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
def test_entry_is_decoded_to_an_upstream(change, leaving):
    found = entries.decode("i-1", msgspec.json.encode(ENTRY | change))
    started_ms = change.get("born", 0)
    assert found == routes.Upstream(
        "i-1", "llm", "10.0.0.9:8080", "north", 8, leaving, started_ms, "v1"
    )


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
def test_invalid_entry_is_ignored(raw):
    assert entries.decode("i-1", raw) is None


def test_encoded_plan_and_entry_round_trip():
    plan = edge_system.make_plan(7, completion_aim_s=18.0, waiting_tokens=900)
    up = routes.Upstream("i-1", "llm", "10.0.0.9:80", "north", 8, True, 17)
    assert plans.decode(formats.encode_plan(plan)) == plan
    assert entries.decode("i-1", formats.encode_entry(up)) == up


def test_plan_units_are_converted():
    raw = msgspec.json.encode(
        {
            "version": 7,
            "routes": [ROUTE],
            "services": [{"name": "llm", "maxConnections": 290, "engine": {"slots": 8}}],
            "limits": {"maxHeaderBytes": 16384, "headerTimeoutMs": 3000},
        }
    )
    plan = plans.decode(raw)
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
def test_route_kind_determines_whether_requests_are_repeatable(kind, resumable, repeatable):
    route = ROUTE | {"kind": kind, "resumable": resumable}
    plan = plans.decode(msgspec.json.encode({"version": 1, "routes": [route]}))
    assert plan.routes[0].repeatable is repeatable


def test_traffic_split_is_decoded_to_weighted_targets():
    split = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
        {"service": "c", "weight": 0},
    ]
    raw = msgspec.json.encode({"version": 1, "routes": [ROUTE | {"trafficSplit": split}]})
    assert plans.decode(raw).routes[0].targets == (
        routes.Target("a", 90),
        routes.Target("b", 10),
    )


def decode_teams(*tenants):
    plan = plans.decode(msgspec.json.encode({"version": 1, "tenants": list(tenants)}))
    return plan.teams


def test_tenants_are_decoded_to_teams_with_digests_of_their_keys():
    tenant = {"name": "clinic", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 48, "burst": 9}
    (team,) = decode_teams(tenant)
    assert team == routes.Team(
        "clinic",
        (teams.digest_key(b"k1"), teams.digest_key(b"k2")),
        1,
        token_bucket.RateLimit(48.0, 9.0),
    )


# Guards against a plan without its last team that opens all routes to callers without a key.
def test_empty_list_of_tenants_still_requires_keys():
    assert decode_teams() == ()
    assert plans.decode(b'{"version": 1}').teams is None


# Guards against one invalid tenant that keeps a plan, or the other teams, from being in force.
@pytest.mark.parametrize(
    "invalid",
    [
        {"apiKeys": ["k"]},
        {"name": ""},
        {"name": "a\r\nb"},
        {"name": "b", "apiKeys": "k"},
        {"name": "b", "ratePerS": "many"},
        {"name": "clinic", "apiKeys": ["other"]},
        7,
    ],
)
def test_invalid_tenant_is_left_out(invalid):
    (team,) = decode_teams({"name": "clinic", "apiKeys": ["k1"]}, invalid)
    assert team.key_digests == (teams.digest_key(b"k1"),)


@pytest.mark.parametrize(
    ("terms", "limit"),
    [
        ({}, None),
        ({"ratePerS": 0, "burst": 5}, None),
        ({"ratePerS": -1}, None),
        ({"ratePerS": 5, "burst": -1}, None),
        ({"ratePerS": 5}, token_bucket.RateLimit(5.0, 0.0)),
        ({"ratePerS": 1e300, "burst": 1e300}, token_bucket.RateLimit(1e300, 1e300)),
    ],
)
def test_rate_limit_of_a_tenant_is_read_safely(terms, limit):
    (team,) = decode_teams({"name": "clinic", **terms})
    assert team.rate_limit == limit


# Guards against keys that reach upstreams or peers, and against callers that name their own team.
def test_key_is_dropped_and_tenant_is_set():
    headers = ((b"x-key", b"secret"), (b"x-tenant", b"forged"), (b"x-model", b"m"))
    fmt = calls.CallFormat()
    caller = fmt.parse_caller(headers)
    assert caller.key_digests == (teams.digest_key(b"secret"),)
    assert b"secret" not in repr(caller).encode()
    sent = [
        fmt.upstream_headers(headers, "i-1", 1.0, None, "clinic"),
        fmt.upstream_headers(headers, "i-1", 1.0, 4, ""),
        fmt.item_headers("h", "item-1", headers, "i-1", None, "clinic"),
        fmt.forwarded_headers(headers, 1.0, None, ""),
    ]
    assert [[v for k, v in found if k == b"x-tenant"] for found in sent] == [
        [b"clinic"],
        [],
        [b"clinic"],
        [],
    ]
    assert not any(k == b"x-key" for found in sent for k, _ in found)


NESTED = b"[" * 100_000 + b"]" * 100_000


# Guards against a process that stops because a configuration is nested too deeply.
@pytest.mark.parametrize(
    "raw",
    [b"", b"\xff", b"[]", b'{"version": "7"}', b'{"version": 1, "tenants": [%b]}' % NESTED],
)
def test_invalid_plan_is_ignored(raw):
    assert plans.decode(raw) is None


@pytest.mark.parametrize(
    ("text", "timeout_s"),
    [("5000", 5.0), ("0.5", 0.0005), ("nan", None), ("-1", None), ("x", None)],
)
def test_deadline_header_is_converted_to_seconds(text, timeout_s):
    headers = ((b"host", b"h"), (b"x-request-id", b"r"), (b"x-deadline-ms", text.encode()))
    assert calls.CallFormat().parse_caller(headers) == ports.Caller("r", "h", timeout_s)


def test_hop_by_hop_headers_are_dropped_and_others_keep_their_order():
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
    sent = calls.CallFormat().upstream_headers(headers, "i-1", 1.25, None)
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
def test_verdict_follows_from_status_and_headers(status, headers, verdict):
    raw = tuple((k.encode(), v.encode()) for k, v in headers.items())
    assert calls.CallFormat().verdict(http1.ResponseHead(status, raw), "r") is verdict


def test_item_headers_are_kept_unless_overwritten():
    headers = ((b"x-model", b"m"), (b"host", b"forged"), (b"x-request-id", b"forged"))
    sent = calls.CallFormat().item_headers("h", "item-1", headers, "i-1", 4)
    assert sent == (
        (b"host", b"h"),
        (b"x-request-id", b"item-1"),
        (b"x-expect-instance", b"i-1"),
        (b"x-model", b"m"),
        (b"last-event-id", b"4"),
    )


class FakeExchange(http1_server.Exchange):
    """An exchange without a connection."""

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
def test_job_calls_are_recognized_by_method_and_path(exchange, call):
    assert jobs.JobCallFormat().parse_job_call(exchange) == call


@pytest.mark.parametrize("after", ["-1", "", "x", "\xb2", "9" * 5000])
def test_invalid_after_is_rejected(after):
    with pytest.raises(errors.BadInputError):
        jobs.JobCallFormat().parse_job_call(FakeExchange("GET", f"/lots/j?after={after}"))


@pytest.mark.parametrize(
    ("text", "resume_after"),
    [(b"7", 7), (b"", None), (b"x", None), (b"\xb2", None), (b"9" * 5000, None)],
)
def test_last_event_id_is_parsed_if_it_is_a_number(text, resume_after):
    headers = ((b"x-request-id", b"r"), (b"last-event-id", text))
    assert calls.CallFormat().parse_caller(headers).resume_after == resume_after


def test_caller_names_the_attempt_that_began_the_stream_it_takes_up():
    headers = ((b"x-request-id", b"r2"), (b"last-event-id", b"4"), (b"resumes", b"r1"))
    assert calls.CallFormat().parse_caller(headers).resumed_request == "r1"
    assert calls.CallFormat().parse_caller(headers[:2]).resumed_request == ""


# Guards against a plan of some thousand routes that is decoded anew for each small change.
def test_routes_that_have_not_changed_are_reused():
    names = [f"route-{number}" for number in range(1400)]
    plan = edge_system.make_plan()
    made = [edge_system.make_route(n, f"/{n}/", routes.RouteKind.ONCE) for n in names]
    decoder = plans.Decoder()
    first = decoder.decode(formats.encode_plan(dataclasses.replace(plan, routes=tuple(made))))
    made[7] = dataclasses.replace(made[7], timeout_s=1.0)
    changed = dataclasses.replace(plan, version=2, routes=tuple(made[1:]))
    second = decoder.decode(formats.encode_plan(changed))
    assert second == changed
    kept = {id(route) for route in first.routes}
    assert [r.name for r in second.routes if id(r) not in kept] == ["route-7"]
