"""Calls about accepted jobs while other routes fit their paths."""

import dataclasses

import pytest
import trio

from cornelgrade import routes
from cornelgrade.platform.standins import edge_system, formats, stream_engine

JOB = "job"
ITEMS = {"item-0": b"first note", "item-1": b"second note"}
TEAM = "a"
KEY = edge_system.team_key(TEAM)
# A plan is in force at every VM within this time.
IN_FORCE_S = 0.5
GATEWAYS = ("gateway-0", "gateway-1")
BATCH, STREAM, SAFE = routes.RouteKind.BATCH, routes.RouteKind.STREAM, routes.RouteKind.IDEMPOTENT
PATHS = {
    "read": ("GET", formats.job_target(JOB, 0)),
    "body": ("GET", f"/items/{JOB}?id=item-0"),
    "end": ("DELETE", formats.job_target(JOB)),
    "repeat": ("POST", f"{edge_system.NOTES_PREFIX}{JOB}"),
}
EXPECTED = {"read": 200, "body": 200, "end": 200, "repeat": 202}
each_call = pytest.mark.parametrize("what", list(PATHS))


def make_route(prefix, kind, **more):
    return edge_system.make_route(f"added {prefix}", prefix, kind, **more)


def add(*added):
    return lambda found: (*found, *added)


def replace_notes(**changes):
    return lambda found: tuple(
        dataclasses.replace(r, **changes) if r.name == "notes" else r for r in found
    )


def without_notes(found):
    return tuple(r for r in found if r.name != "notes")


ROOTS = {"batch": make_route("/", BATCH), "online": make_route("/", SAFE)}
CHANGES = {
    "batch /": add(ROOTS["batch"]),
    "online /": add(ROOTS["online"]),
    "batch calls": add(make_route("/lots/", BATCH), make_route("/items/", BATCH)),
    "online calls": add(make_route("/lots/", STREAM), make_route("/items/", SAFE)),
    "longer batch": add(make_route(f"{edge_system.NOTES_PREFIX}{JOB}/", BATCH)),
    "batch / instead": lambda found: (*without_notes(found), ROOTS["batch"]),
    "online / instead": lambda found: (*without_notes(found), ROOTS["online"]),
    "now online": replace_notes(kind=SAFE),
    "moved under online /": lambda found: (
        *replace_notes(path_prefix="/moved/")(found),
        ROOTS["online"],
    ),
    "limit": replace_notes(job_policy=routes.JobPolicy(waiting_tokens=1)),
}
each_change = pytest.mark.parametrize("change", list(CHANGES))


def make_plan(version, key, change=None):
    teams = (edge_system.make_team(TEAM), edge_system.make_team("b")) if key else None
    plan = edge_system.make_plan(version, teams=teams)
    return dataclasses.replace(plan, routes=change(plan.routes)) if change else plan


async def put_in_force(system, plan):
    await system.plan(plan)
    await trio.sleep(IN_FORCE_S)


async def call(system, gateway, what, key=""):
    method, path = PATHS[what]
    if what == "repeat":
        return await system.submit(gateway, JOB, ITEMS, key=key)
    return await system.send(gateway, method, path, formats.key_headers(key))


async def start_job(system, key=""):
    await put_in_force(system, make_plan(2, key))
    assert (await system.submit("gateway-0", JOB, ITEMS, key=key)).status == 202


async def ask_online(system, path, **more):
    headers = formats.online_headers("question", edge_system.REQUEST_TIMEOUT_S)
    return await system.send("gateway-0", "GET", path, headers | more)


# Guards against calling a job unknown, or giving calls about it to engines, once a route that was
# added later fits their path.
@each_call
@each_change
@pytest.mark.parametrize("key", ["", KEY])
async def test_calls_about_an_accepted_job_go_before_routes(key, change, what):
    async with edge_system.run_system(gateways=2, workers=0, engines=1) as system:
        await start_job(system, key)
        await put_in_force(system, make_plan(3, key, CHANGES[change]))
        answers = [await call(system, gateway, what, key) for gateway in GATEWAYS]
        assert system.engines["engine-0"].seen == []
    assert [got.status for got in answers] == [EXPECTED[what]] * 2
    if what == "body":
        assert {got.body for got in answers} == {ITEMS["item-0"]}


# Guards against losing results that were read, and against items that stop, by such a route.
@pytest.mark.parametrize("change", ["batch /", "online /", "now online"])
async def test_results_are_read_on_under_a_route_that_fits(change):
    async with edge_system.run_system(gateways=2, workers=1, engines=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(decline=True)
        await start_job(system)
        await put_in_force(system, make_plan(3, "", CHANGES[change]))
        system.engines["engine-0"].faults = stream_engine.Faults()
        results = []
        with trio.fail_after(15):
            while len(results) < len(ITEMS):
                results += await system.results("gateway-1", JOB, len(results))
        assert results == await system.results("gateway-0", JOB, 0)
    assert sorted(results) == [(name, stream_engine.result_text(name, 5)) for name in ITEMS]


# Guards against keeping from an online route what is no call about a job of its host.
@pytest.mark.parametrize("path", ["/lots/unknown", "/items/unknown?id=x", "/lots/job/more"])
async def test_online_route_gets_requests_that_name_no_job(path):
    async with edge_system.run_system() as system:
        await start_job(system)
        await put_in_force(system, make_plan(3, "", CHANGES["online /"]))
        assert (await ask_online(system, path)).status == 200
        (seen,) = system.engines["engine-0"].seen
    assert seen.request == "question"


# Guards against taking an online request for a call about a job of another host.
async def test_job_takes_no_requests_of_an_online_route_at_another_host():
    other = dataclasses.replace(ROOTS["online"], host="other.example")
    async with edge_system.run_system() as system:
        await start_job(system)
        await put_in_force(system, make_plan(3, "", add(other)))
        got = await ask_online(system, formats.job_target(JOB), host="other.example")
        assert got.status == 200
        assert len(system.engines["engine-0"].seen) == 1


# Guards against submitting to an engine, and against accepting, a job that no route takes any more.
async def test_job_that_was_not_accepted_goes_to_the_online_route_that_fits():
    async with edge_system.run_system() as system:
        await put_in_force(system, make_plan(3, "", CHANGES["online / instead"]))
        assert (await call(system, "gateway-0", "repeat")).status == 200
        assert len(system.engines["engine-0"].seen) == 1
        assert await system.store.list("cornelgrade-jobs") == ()


# Guards against making ordinary online requests wait for a store that is away.
async def test_only_requests_that_may_be_calls_depend_on_the_store():
    async with edge_system.run_system() as system:
        await put_in_force(system, make_plan(3, "", CHANGES["online /"]))
        edge_system.set_outage(system.store, down=True)
        assert (await ask_online(system, "/question")).status == 200
        assert (await ask_online(system, "/lots/unknown")).status == 503


# Guards against asking for a key by the host's present routes for a job that was accepted without.
@each_call
@pytest.mark.parametrize("key", ["", "no such key"])
async def test_job_that_was_accepted_without_a_key_needs_none(key, what):
    teams = (edge_system.make_team(TEAM),)
    plan = edge_system.make_plan(2, teams=teams)
    open_plan = dataclasses.replace(plan, routes=replace_notes(needs_key=False)(plan.routes))
    async with edge_system.run_system(gateways=2) as system:
        await put_in_force(system, open_plan)
        assert (await system.submit("gateway-0", JOB, ITEMS)).status == 202
        await put_in_force(system, dataclasses.replace(plan, version=3))
        answers = [await call(system, gateway, what, key) for gateway in GATEWAYS]
        unknown = await system.send("gateway-0", "GET", "/lots/unknown?after=0", {})
        new = await system.submit("gateway-0", "new", ITEMS)
    assert [got.status for got in answers] == [EXPECTED[what]] * 2
    assert (unknown.status, new.status) == (401, 401)


# Guards against turning a team's job away, when it comes again, once a plan has no teams.
async def test_job_of_a_team_comes_again_after_the_teams_were_removed():
    async with edge_system.run_system() as system:
        await start_job(system, KEY)
        await put_in_force(system, make_plan(3, ""))
        answers = [await call(system, "gateway-0", what, KEY) for what in PATHS]
    assert [got.status for got in answers] == [EXPECTED[what] for what in PATHS]
