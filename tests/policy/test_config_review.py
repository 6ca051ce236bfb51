import dataclasses

import msgspec
import pytest

from cornelgrade import manifest, routes
from cornelgrade.policy import config_files, manifest_review, plan_review, token_bucket

S = routes.Target("s")
ROUTE = routes.Route("r", "h.example", "/a/", routes.RouteKind.STREAM, (S,))
SERVICE = routes.Service("s")
TEAM = routes.Team("t", (b"1",), rate_limit=token_bucket.RateLimit(5.0, 5.0))
PLAN = routes.Plan(1, (ROUTE,), (SERVICE,), teams=(TEAM,))


def route(**changes) -> dict:
    return {"routes": (dataclasses.replace(ROUTE, **changes),)}


def two_routes(**changes) -> dict:
    return {"routes": (ROUTE, dataclasses.replace(ROUTE, **{"name": "q", **changes}))}


def batch(**terms) -> dict:
    return route(kind=routes.RouteKind.BATCH, job_policy=routes.JobPolicy(**terms))


def services(*listed: routes.Service) -> dict:
    return {"services": listed}


def two_teams(name: str, *keys: bytes) -> dict:
    return {"teams": (TEAM, routes.Team(name, keys))}


def limit(*limits: float) -> dict:
    return {"teams": (dataclasses.replace(TEAM, rate_limit=token_bucket.RateLimit(*limits)),)}


def review(changes: dict) -> list[str]:
    found = plan_review.review(dataclasses.replace(PLAN, **changes))
    return [f"{finding.severity} {finding.format_problem()}" for finding in found]


CORRECT = [
    {},
    {"teams": None},
    {"teams": (dataclasses.replace(TEAM, rate_limit=None),)},
    two_routes(host="other.example"),
    two_routes(path_prefix="/a/b/"),
    route(timeout_s=1.0, aim_s=1.0, gap_aim_s=1.0),
    route(kind=routes.RouteKind.ONCE, timeout_s=1.0, gap_aim_s=2.0),
    batch(item_ttl_s=60.0, completion_aim_s=60.0),
]
FAULTS = [
    (two_routes(name="r", path_prefix="/b/"), "error $.routes[1].name: name r is already at"),
    (services(SERVICE, SERVICE), "error $.services[1].name: name s is already at services[0]"),
    (two_teams("t", b"2"), "error $.teams[1].name: name t is already at teams[0]"),
    (two_routes(), "error $.routes[1].path_prefix: never matches: route r has"),
    (route(path_prefix="a/"), "error $.routes[0].path_prefix: never matches: it has to begin"),
    (route(path_prefix="/a"), "warning $.routes[0].path_prefix: matches /ax, too"),
    (route(host="h:80"), "error $.routes[0].host: never matches"),
    (route(host=""), "error $.routes[0].host: never matches"),
    (two_routes(path_prefix="/b/", targets=()), "error $.routes[1]: route q has no targets"),
    (
        route(targets=(S, routes.Target("s", 0.0))),
        "warning $.routes[0].targets[1].weight: service s",
    ),
    (route(targets=(S, routes.Target("x"))), "error $.routes[0].targets[1].service: service x is"),
    (services(SERVICE, routes.Service("x")), "warning $.services[1]: no route leads to service x"),
    (services(routes.Service("s", 0)), "error $.services[0].slots: an upstream without slots"),
    (services(routes.Service("s", 8, 4)), "warning $.services[0].max_connections: 4 connections"),
    (route(timeout_s=0.0), "error $.routes[0].timeout_s: the timeout is not over 0"),
    (route(timeout_s=0.5, gap_aim_s=0.1), "warning $.routes[0].timeout_s: the timeout of 0.5 s is"),
    (
        route(timeout_s=0.5, aim_s=0.1),
        "warning $.routes[0].timeout_s: the timeout of 0.5 s is under",
    ),
    (batch(item_ttl_s=0.0), "error $.routes[0].job_policy.item_ttl_s: the time to live is not"),
    (batch(item_ttl_s=9.0), "warning $.routes[0].job_policy.item_ttl_s: the time to live of 9 s"),
    (batch(waiting_tokens=-1), "error $.routes[0].job_policy.waiting_tokens: the number"),
    ({"limits": routes.CallerLimits(-1)}, "error $.limits.header_bytes: the limit is under 0"),
    (two_teams("u"), "warning $.teams[1].key_digests: team u has no keys"),
    (two_teams("u", b"2", b"1"), "error $.teams[1].key_digests[1]: key is already team t's"),
    ({"teams": ()}, "error $.teams: no team has a key"),
    (limit(-1.0, 5.0), "error $.teams[0].rate_limit.rate_per_s: the limit is invalid"),
    (limit(float("nan"), 5.0), "error $.teams[0].rate_limit.rate_per_s: the limit is invalid"),
    (limit(0.0, 5.0), "warning $.teams[0].rate_limit.burst: a burst without a rate"),
    (limit(5.0, 4.0), "warning $.teams[0].rate_limit.burst: the burst of 4 is under one second"),
]


# Guards against noise, also at the border of each limit.
@pytest.mark.parametrize("changes", CORRECT)
def test_correct_plan_has_no_findings(changes):
    assert review(changes) == []


# Guards against faults in a plan that are sent unnoticed: one row for each kind of finding.
@pytest.mark.parametrize(("changes", "expected"), FAULTS)
def test_each_fault_of_a_plan_is_found_alone(changes, expected):
    (found,) = review(changes)
    assert found.startswith(expected)


SAMPLE = manifest.Manifest(
    services=(manifest.Service("chat", models=("m",), non_idempotent_routes=("/a", "/b")),),
    priorities=(manifest.Priority("high", 0),),
    teams=(manifest.Team("t", ("a" * 64,), ("high",), 16.0, 16),),
    upstreams=(manifest.Upstream("e1", "chat", "d1", "10.0.0.1:80", 16),),
    models=(manifest.Model("m"),),
)
ONCE = "$.services[0].non_idempotent_routes"
EXCESS = "the teams' rates add up to 32 requests/s; 16 slots serve that only if a request takes"
MANIFEST_FAULTS = [
    ("services", {"name": "idle"}, "error $.services[0]: no upstream serves idle"),
    ("services", {"non_idempotent_routes": ("/a/b", "/a")}, f"warning {ONCE}[0]: has no effect"),
    ("services", {"non_idempotent_routes": ("/a", "/a")}, f"warning {ONCE}[1]: has no effect"),
    ("services", {"non_idempotent_routes": ("a",)}, f"error {ONCE}[0]: never matches"),
    ("services", {"models": ()}, "warning $.models[0]: no service has model m"),
    ("priorities", {"name": "low"}, "warning $.priorities[0]: no team may use priority low"),
    ("teams", {"key_hashes": ()}, "warning $.teams[0].key_hashes: team t has no keys"),
    ("teams", {"burst": 15}, "warning $.teams[0].burst: the burst of 15 is under one second"),
    ("teams", {"rate_per_s": 32.0, "burst": 32}, f"warning $.teams: {EXCESS} under 0.5 s"),
    ("online", {"first_token_timeout_s": 61.0}, "warning $.online.first_token_timeout_s: 61 s is"),
    ("online", {"token_gap_timeout_s": 61.0}, "warning $.online.token_gap_timeout_s: 61 s is over"),
    (
        "online",
        {"retention_s": 59.0},
        "warning $.online.default_deadline_s: 60 s is over retention",
    ),
    ("batch", {"retention_s": 9.0}, "warning $.batch.lease_s: 10 s is over retention_s (9 s)"),
]


# Guards against faults in a manifest that are sent unnoticed: one row for each kind of finding.
@pytest.mark.parametrize(("section", "changes", "expected"), MANIFEST_FAULTS)
def test_each_fault_of_a_manifest_is_found(section, changes, expected):
    value = getattr(SAMPLE, section)
    entries = isinstance(value, tuple)
    changed = msgspec.structs.replace(value[0] if entries else value, **changes)
    broken = msgspec.structs.replace(SAMPLE, **{section: (changed,) if entries else changed})
    found = [f"{f.severity} {f.format_problem()}" for f in manifest_review.review(broken)]
    assert manifest_review.review(SAMPLE) == ()
    assert [line for line in found if line.startswith(expected)]


# Guards against a plan that is sent, acknowledged and ignored by all VMs.
@pytest.mark.parametrize(
    ("before", "after", "differs", "count"),
    [(3, 4, True, 0), (3, 3, True, 1), (3, 2, True, 1), (3, 3, False, 0), (None, None, True, 0)],
)
def test_plan_that_would_not_replace_the_one_in_force_is_an_error(before, after, differs, count):
    old, new = (config_files.Reading((), version=version) for version in (before, after))
    found = config_files.review_replacement(old, new, differs=differs)
    assert [finding.path for finding in found] == ["$.version"] * count
