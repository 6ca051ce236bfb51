import msgspec
import pytest

from cornelgrade import errors
from cornelgrade.platform import desired_state, plans
from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.policy import token_bucket

SPLIT = [{"service": "s"}]
ROUTE = {"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "batch", "trafficSplit": SPLIT}
TENANT = {"name": "t", "apiKeys": ["secret"], "ratePerS": 5, "burst": 5}
CONFIG = {"version": 1, "routes": [ROUTE], "services": [{"name": "s"}], "tenants": [TENANT]}
FORMAT = desired_state.DesiredState()


def read(**changes):
    return FORMAT.read(msgspec.json.encode(CONFIG | changes))


def route(**changes) -> dict:
    return {"routes": [ROUTE | changes]}


def tenant(**changes) -> dict:
    return {"tenants": [TENANT, {"name": "u", "apiKeys": ["other"], **changes}]}


# Guards against findings in the project's names, which an operator can't find in the file.
@pytest.mark.parametrize(
    ("changes", "path"),
    [
        (route(pathPrefix="/a"), "routes[0].pathPrefix"),
        (route(trafficSplit=[*SPLIT, {"service": "x"}]), "routes[0].trafficSplit[1].service"),
        (route(trafficSplit=[], service="x"), "routes[0].service"),
        (route(service="x"), "routes[0].service"),
        (route(trafficSplit=[{"service": "s", "weight": 0}]), "routes[0]"),
        (route(timeoutMs=100), "routes[0].timeoutMs"),
        (route(completionTargetMs=5000, itemTtlS=4), "routes[0].itemTtlS"),
        (route(cap=-1), "routes[0].cap"),
        (route(kind="lazy"), "routes[0].kind"),
        ({"services": [{"name": "s", "engine": {"slots": 0}}]}, "services[0].engine.slots"),
        ({"services": [{"name": "s", "maxConnections": 2}]}, "services[0].maxConnections"),
        ({"limits": {"maxHeaderBytes": -1}}, "limits.maxHeaderBytes"),
        ({"limits": {"maxBodyBytes": -1}}, "limits.maxBodyBytes"),
        ({"limits": {"headerTimeoutMs": -1}}, "limits.headerTimeoutMs"),
        ({"limits": {"idleTimeoutMs": -1}}, "limits.idleTimeoutMs"),
        (tenant(apiKeys=[]), "tenants[1].apiKeys"),
        (tenant(apiKeys=["secret"]), "tenants[1].apiKeys[0]"),
        (tenant(name="t"), "tenants[1].name"),
        (tenant(name="a\nb"), "tenants[1].name"),
        (tenant(burst=5), "tenants[1].burst"),
        (tenant(ratePerS=-5), "tenants[1].ratePerS"),
    ],
)
def test_finding_has_the_path_in_the_file(changes, path):
    assert read().findings == ()
    assert f"$.{path}" in [finding.path for finding in read(**changes).findings]


# Guards against a check that stops at the first of several errors or quotes a key.
def test_every_malformed_value_is_reported_with_its_path():
    with pytest.raises(errors.BadInputError) as caught:
        read(tenants=[{"apiKeys": "secret"}], **route(trafficSplit=[{"weight": "secret"}]))
    paths = [problem.split(":")[0] for problem in caught.value.problems]
    split = "$.routes[0].trafficSplit[0]"
    assert paths == [
        f"{split}.service",
        f"{split}.weight",
        "$.tenants[0].name",
        "$.tenants[0].apiKeys",
    ]
    assert "secret" not in str(caught.value) + repr(read())


# Guards against a review of other values than those that the VMs will use.
def test_draft_of_a_correct_configuration_is_the_plan():
    limit = token_bucket.RateLimit(5.0, 5.0)
    teams = (edge_system.make_team("a", rank=2), edge_system.make_team("b", rate_limit=limit))
    keys = {team.name: (edge_system.team_key(team.name),) for team in teams}
    raw = formats.encode_plan(edge_system.make_plan(3, teams=teams), keys)
    assert plans.decode_draft(raw).plan == plans.decode(raw)
    assert FORMAT.read(raw).findings == ()
