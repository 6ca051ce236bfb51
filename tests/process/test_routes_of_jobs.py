"""Jobs of real gateways and workers while drawn versions of the configuration change the routes."""

import random

import pytest
import trio
from bench.soak import world
from bench.streams import rig, route_tables

from cornelgrade.platform.standins import edge_system, formats

BUILDS = rig.Builds(world.ROOT, world.ROOT)
# A plan is in force at every VM within this time.
IN_FORCE_S = 1.0
VERSIONS = 5
ITEMS = 2
FINISH_S = 20.0


class Trial:
    """Submits jobs under drawn plans, and compares what gateways answer with what is due."""

    def __init__(self, system, rng):
        self.system = system
        self.rng = rng
        self.jobs = []
        self.wrong = []

    async def send(self, gateway, method, path, headers=(), body=b""):
        sent = {"host": edge_system.HOST, **dict(headers)}
        return await edge_system.call(gateway.caller_address, method, path.encode(), sent, body)

    async def compare(self, what, gateway, expected, method, path, headers=(), body=b""):
        got = await self.send(gateway, method, path, headers, body)
        if got.status != expected:
            self.wrong.append(f"{what} {method} {path} at {gateway.name}: {got.status}")

    def encode(self, job, items_prefix):
        return formats.encode_job(items_prefix, {f"{job}-{n}": b"note" for n in range(ITEMS)})

    async def submit(self, plan, number):
        """Submit a job under a drawn prefix; only a batch route accepts it."""
        name = f"job-{plan.version}-{number}"
        path = f"{self.rng.choice((edge_system.NOTES_PREFIX, *route_tables.PREFIXES))}{name}"
        route = route_tables.takes_jobs(plan, path)
        if route is None:
            return
        body = self.encode(name, self.rng.choice(route_tables.ITEM_PREFIXES))
        gateway = self.rng.choice(self.system.gateways)
        got = await self.send(gateway, "POST", path, formats.request_headers(name), body)
        assert got.status == 202
        self.jobs.append((route_tables.AcceptedJob(name, route.name, path), body))

    async def compare_calls(self, plan):
        for gateway in self.system.gateways:
            for job, body in self.jobs:
                what = f"plan {plan.version}, route {job.route}:"
                named = formats.request_headers(job.name)
                await self.compare(what, gateway, 200, "GET", formats.job_target(job.name, 0))
                await self.compare(what, gateway, 202, "POST", job.path, named, body)
                item = f"/items/{job.name}?id={job.name}-0"
                await self.compare(what, gateway, 200, "GET", item)
            for path in ("/lots/unknown", "/items/unknown"):
                expected = route_tables.expected_status(plan, path)
                await self.compare(f"plan {plan.version}:", gateway, expected, "GET", path)

    async def compare_ends(self):
        for gateway in self.system.gateways:
            for job, _ in self.jobs:
                await self.compare("end", gateway, 200, "DELETE", formats.job_target(job.name))

    async def compare_items(self):
        """Read all results; the items of a route that was there all the time are completed."""
        for job, _ in self.jobs:
            states = []
            with trio.move_on_after(FINISH_S):
                while len(states) < ITEMS:
                    target = formats.job_target(job.name, len(states))
                    got = await self.send(
                        self.system.gateways[0], "GET", target, formats.wait_headers(0.5)
                    )
                    if got.status == 200:
                        states += [state for _, state, _ in formats.decode_results(got.body)]
            is_due = states == ["completed"] * ITEMS if job.kept else len(states) == ITEMS
            if not is_due:
                self.wrong.append(f"{job.name} of {job.route}, kept={job.kept}: {states}")


async def play(seed, folder):
    rng = random.Random(f"routes of jobs {seed}")
    async with rig.running(folder, BUILDS, seed, {}) as system:
        trial = Trial(system, rng)
        for version in range(2, 2 + VERSIONS):
            plan = route_tables.draw_plan(rng, version)
            await system.put_plan(plan)
            names = {route.name for route in plan.routes}
            for job, _ in trial.jobs:
                job.kept = job.kept and job.route in names
            await trio.sleep(IN_FORCE_S)
            for number in range(3):
                await trial.submit(plan, number)
            await trial.compare_calls(plan)
        await trial.compare_items()
        await trial.compare_calls(plan)
        await trial.compare_ends()
    assert trial.wrong == []
    assert trial.jobs


# Guards against calls and items of accepted jobs that depend on the routes which their paths fit.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_accepted_jobs_go_by_the_route_on_record(seed, tmp_path):
    trio.run(play, seed, tmp_path)
