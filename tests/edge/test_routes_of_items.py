"""Items run by the route that accepted their job, whichever routes their paths fit."""

import dataclasses
import time

import msgspec
import pytest
import trio

from cornelgrade import routes
from cornelgrade.platform.standins import edge_system, formats, stream_engine
from cornelgrade.services.edge import job_repository, ports

JOB = "job"
ITEMS = {f"item-{number}": b"note" for number in range(4)}
OTHER_SERVICE = "other-llm"
OTHER_PREFIX = "/other/"
# A plan is in force at every VM within this time.
IN_FORCE_S = 0.5
# The items of a route that is missing for longer may be given up.
REMOVED_AFTER_S = 4.0
# An older reservation has expired.
RESERVATION_MS = 6_000
BATCH, STREAM = routes.RouteKind.BATCH, routes.RouteKind.STREAM
TARGETS = {name: (routes.Target(name),) for name in (edge_system.SERVICE, OTHER_SERVICE)}
# Routes that the paths of the items fit, beside the job's own.
FITTING = {
    "none": (),
    "online": (edge_system.make_route("more", OTHER_PREFIX, STREAM),),
    "batch": (edge_system.make_route("more", OTHER_PREFIX, BATCH),),
}
each_fitting = pytest.mark.parametrize("fitting", list(FITTING))


def make_plan(version, more=(), **changes):
    """Return a plan with more routes, and with changes of the job's own route."""
    plan = edge_system.make_plan(version)
    own = tuple(dataclasses.replace(r, **changes) if r.kind is BATCH else r for r in plan.routes)
    services = (routes.Service(edge_system.SERVICE), routes.Service(OTHER_SERVICE))
    return dataclasses.replace(plan, routes=(*own, *more), services=services)


def at_other_service(found):
    return tuple(dataclasses.replace(r, targets=TARGETS[OTHER_SERVICE]) for r in found)


def without_own_route(plan):
    return dataclasses.replace(plan, routes=tuple(r for r in plan.routes if r.name != "notes"))


async def put_in_force(system, plan):
    await system.plan(plan)
    await trio.sleep(IN_FORCE_S)


async def submit(system, items_prefix=OTHER_PREFIX):
    got = await system.submit("gateway-0", JOB, ITEMS, items_prefix=items_prefix)
    assert got.status == 202


async def read_states(system, limit_s=15.0):
    """Return the state of each item, once all are listed."""
    states = {}
    with trio.fail_after(limit_s):
        while len(states) < len(ITEMS):
            target = formats.job_target(JOB, len(states))
            got = await system.send("gateway-0", "GET", target, formats.wait_headers(1.0))
            states |= {
                item: (state, text) for item, state, text in formats.decode_results(got.body)
            }
    return states


def completed():
    return {name: ("completed", stream_engine.result_text(name, 5)) for name in ITEMS}


def list_runs(system, engine):
    return [seen.request for seen in system.engines[engine].seen if seen.ran]


# Guards against giving items up, without a run, whose path isn't under the prefix of their route.
@each_fitting
@pytest.mark.parametrize("workers", [1, 3])
async def test_items_complete_whichever_route_their_path_fits(workers, fitting):
    async with edge_system.run_system(workers=workers, engines=2) as system:
        await put_in_force(system, make_plan(2, FITTING[fitting]))
        await submit(system)
        assert await read_states(system) == completed()


# Guards against running an item at the service of the route that its path fits.
@pytest.mark.parametrize("fitting", ["online", "batch"])
async def test_items_run_at_the_service_of_their_own_route(fitting):
    async with edge_system.run_system(workers=2, engines=1) as system:
        await system.start_engine("other", service=OTHER_SERVICE)
        await put_in_force(system, make_plan(2, at_other_service(FITTING[fitting])))
        await submit(system)
        assert await read_states(system) == completed()
        assert list_runs(system, "other") == []


# Guards against counting the failed runs of an item against the limit of another route.
async def test_failed_items_get_the_attempts_of_their_own_route():
    more = (edge_system.make_route("more", OTHER_PREFIX, BATCH, max_attempts=1),)
    async with edge_system.run_system(workers=2, engines=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(fail=500)
        await put_in_force(system, make_plan(2, more))
        await submit(system)
        states = await read_states(system)
        runs = list_runs(system, "engine-0")
    assert {state for state, _ in states.values()} == {"dead_letter"}
    assert min(runs.count(name) for name in ITEMS) >= 3


# Guards against items that outlive their own route because their path fits another one.
@each_fitting
async def test_items_end_with_their_own_route(fitting):
    async with edge_system.run_system(workers=2, engines=1) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(decline=True)
        await put_in_force(system, make_plan(2, FITTING[fitting]))
        await submit(system)
        await put_in_force(system, without_own_route(make_plan(3, FITTING[fitting])))
        system.engines["engine-0"].faults = stream_engine.Faults()
        states = await read_states(system, limit_s=REMOVED_AFTER_S + 6.0)
    assert {state for state, _ in states.values()} == {"dead_letter"}


# Guards against items that stop when their route changes in any way but its removal.
@pytest.mark.parametrize(
    "changes",
    [
        {"path_prefix": "/moved/"},
        {"host": "moved.example"},
        {"kind": STREAM},
        {"targets": TARGETS[OTHER_SERVICE]},
        {"targets": (*TARGETS[edge_system.SERVICE], *TARGETS[OTHER_SERVICE])},
    ],
    ids=lambda changes: next(iter(changes)),
)
@pytest.mark.parametrize("items_prefix", [edge_system.NOTES_PREFIX, OTHER_PREFIX])
async def test_items_go_on_after_their_route_has_changed(items_prefix, changes):
    async with edge_system.run_system(workers=2, engines=1) as system:
        await system.start_engine("other", service=OTHER_SERVICE)
        await put_in_force(system, make_plan(2))
        for eng in system.engines.values():
            eng.faults = stream_engine.Faults(decline=True)
        await submit(system, items_prefix)
        await put_in_force(system, make_plan(3, **changes))
        for eng in system.engines.values():
            eng.faults = stream_engine.Faults()
        assert await read_states(system) == completed()
        if changes.get("targets") == TARGETS[OTHER_SERVICE]:
            assert list_runs(system, "engine-0") == []


# Guards against waiting for the upstream that has an item's events at a service its route has left.
async def test_interrupted_item_moves_with_its_route_at_once():
    events, at_once_s = 40, 3.0
    async with edge_system.run_system(
        workers=1, engines=1, events=events, event_s=0.05, version="v1"
    ) as system:
        await system.start_engine("other", service=OTHER_SERVICE, events=events)
        await put_in_force(system, make_plan(2))
        await submit(system)
        await trio.sleep(0.5)
        assert list_runs(system, "engine-0")
        await put_in_force(system, make_plan(3, targets=TARGETS[OTHER_SERVICE]))
        system.engines["engine-0"].crash(0.1)
        moved_s = trio.current_time()
        states = await read_states(system)
        took_s = trio.current_time() - moved_s
    assert {state for state, _ in states.values()} == {"completed"}
    assert took_s < at_once_s


# Guards against giving up items because a plan that came before their job lacks its route.
async def test_older_plan_does_not_tell_that_a_route_was_removed():
    async with edge_system.run_system(workers=1, engines=1) as system:
        await put_in_force(system, make_plan(7))
        system.engines["engine-0"].faults = stream_engine.Faults(decline=True)
        await submit(system)
        # The plan that the worker knows, before the job was accepted, had no such route.
        (stored,) = await system.store.list(job_repository.HEADER_KIND)
        header = msgspec.json.decode(stored.value, type=job_repository.JobHeader)
        assert header.plan == 7
        later = msgspec.structs.replace(header, route="added later", plan=8)
        await system.store.update(
            stored.kind, stored.name, msgspec.json.encode(later), stored.version
        )
        await trio.sleep(REMOVED_AFTER_S + 1.5)
        system.engines["engine-0"].faults = stream_engine.Faults()
        added = edge_system.make_route("added later", "/later/", BATCH)
        await put_in_force(system, make_plan(8, (added,)))
        assert await read_states(system) == completed()


# Guards against giving up an item that fails while its route is missing for a moment.
async def test_items_that_fail_while_their_route_is_replaced_are_retried():
    async with edge_system.run_system(workers=1, engines=1, event_s=0.2) as system:
        await put_in_force(system, make_plan(2))
        system.engines["engine-0"].faults = stream_engine.Faults(fail=500)
        await submit(system)
        await put_in_force(system, without_own_route(make_plan(3)))
        await trio.sleep(1.0)
        system.engines["engine-0"].faults = stream_engine.Faults()
        await put_in_force(system, make_plan(4))
        assert await read_states(system) == completed()


# Guards against losing the jobs of the build before, whose headers name no plan.
@pytest.mark.parametrize("route_kept", [True, False])
async def test_jobs_that_an_earlier_build_stored_end(route_kept):
    async with edge_system.run_system(workers=1, engines=1) as system:
        await put_in_force(system, make_plan(2))
        system.engines["engine-0"].faults = stream_engine.Faults(decline=True)
        await submit(system)
        (stored,) = await system.store.list(job_repository.HEADER_KIND)
        header = msgspec.json.decode(stored.value)
        del header["plan"]
        await system.store.update(
            stored.kind, stored.name, msgspec.json.encode(header), stored.version
        )
        if not route_kept:
            await put_in_force(system, without_own_route(make_plan(3)))
        system.engines["engine-0"].faults = stream_engine.Faults()
        states = await read_states(system, limit_s=REMOVED_AFTER_S + 6.0)
    expected = "completed" if route_kept else "dead_letter"
    assert {state for state, _ in states.values()} == {expected}


# Guards against running a job, once it is accepted, by the route on which it was declined before.
@pytest.mark.parametrize("waiting_tokens", [0, 100_000, 500], ids=["no limit", "far", "near"])
@pytest.mark.parametrize("state", ["declined", "reserved"])
async def test_declined_job_belongs_to_the_route_that_accepts_it(state, waiting_tokens):
    later = edge_system.make_route(
        "later",
        edge_system.NOTES_PREFIX,
        BATCH,
        job_policy=routes.JobPolicy(waiting_tokens=waiting_tokens),
    )
    async with edge_system.run_system(workers=1, engines=1) as system:
        repository = job_repository.JobRepository(system.store, 100_000)
        items = tuple(
            ports.Item(name, f"{edge_system.NOTES_PREFIX}{name}", (), body, 100)
            for name, body in ITEMS.items()
        )
        received_ms = int(time.time() * 1000) - RESERVATION_MS
        times = (received_ms, received_ms + 1_000, received_ms + 2_000)
        header = job_repository.JobHeader(
            JOB, "notes", edge_system.HOST, *times, len(items), 400, 0, state, plan=2
        )
        await repository.create_job(header, items)
        await put_in_force(system, without_own_route(make_plan(3, (later,))))
        assert (await system.submit("gateway-0", JOB, ITEMS)).status == 202
        stored = await repository.find_job(JOB)
        states = await read_states(system)
    assert (stored.header.route, stored.header.plan) == ("later", 3)
    assert stored.header.received_ms == received_ms
    assert states == completed()
