"""Calls to the platform's store by kind and caller, on the stand-in system.

``python -m bench.store_calls [--seconds=20]`` runs 14 gateways and 3 workers, submits jobs at
random gateways, and reads each job's results about twice a second at random gateways, as callers
do. A stale read is priced at a tenth of a call.
"""

import collections
import random
import sys

import docopt
import trio

from cornelgrade.platform.standins import edge_system, formats
from cornelgrade.services.edge import peer_calls

GATEWAYS, WORKERS, ENGINES = 14, 3, 4
JOBS_PER_S = 0.7
ITEMS_PER_JOB = 11
EVENTS, EVENT_S = 40, 0.1
READ_PAUSE_S = 0.5
# Of the batch route; high enough that each job is accepted after one list of headers.
WAITING_TOKENS = 1_000_000
STALE_PRICE = 0.1
MAX_JOB_S = 30.0
_OWN_MODULES = "cornelgrade/services/"
_WATCH_MODULES = ("_object_watch.py", "job_repository.py")


class CallCounter:
    """Counts calls of a store by role of the process, kind, call and calling function."""

    def __init__(self) -> None:
        self.calls: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self.peer_calls: collections.Counter[str] = collections.Counter()
        self.active = False

    def wrap(self, name: str) -> None:
        """Count the calls of one method of the stand-in store."""
        wrapped = getattr(edge_system.Store, name)

        async def counted(store, kind, *args, **kwargs):
            if self.active:
                stale = " stale" if kwargs.get("allow_stale") else ""
                # A watch from 0 is a list, which is counted as such.
                after = args[1] if len(args) > 1 else kwargs.get("after", 0)
                if name != "watch" or after:
                    key = (_role(), f"{name}{stale} {_group(kind)}", _find_caller())
                    self.calls[key] += 1
            return await wrapped(store, kind, *args, **kwargs)

        setattr(edge_system.Store, name, counted)

    def wrap_peer_calls(self) -> None:
        """Count calls between processes, which open a connection each as calls of the store do."""
        wrapped = peer_calls.PeerCalls.call

        async def counted(calls, vm, target, *args):
            if self.active:
                self.peer_calls[target.partition("?")[0]] += 1
            return await wrapped(calls, vm, target, *args)

        peer_calls.PeerCalls.call = counted  # type: ignore[method-assign]

    def price(self) -> float:
        """Return the number of priced calls."""
        return sum(n * (STALE_PRICE if " stale " in k[1] else 1.0) for k, n in self.calls.items())


def _role() -> str:
    return edge_system.CURRENT_NODE.get().partition("-")[0] or "bench"


def _group(kind: str) -> str:
    """Return a kind without the name of its job."""
    return kind.partition("-job-")[0]


def _find_caller() -> str:
    frame = sys._getframe(2)
    while frame is not None:
        path = frame.f_code.co_filename
        if _OWN_MODULES in path and not path.endswith(_WATCH_MODULES):
            return f"{path.rpartition('/')[2].removesuffix('.py')}.{frame.f_code.co_name}"
        frame = frame.f_back
    return ""


class Load:
    """Submits jobs and reads their results.

    :ivar took_s: times from the acceptance of each job to its last result.
    """

    def __init__(self, system: edge_system.System) -> None:
        self.system = system
        self.rng = random.Random(7)
        self.took_s: list[float] = []
        self.problems: list[str] = []

    def draw_gateway(self) -> str:
        """Return a random gateway."""
        return f"gateway-{self.rng.randrange(GATEWAYS)}"

    async def run_job(self, number: int) -> None:
        """Submit a job and read until all of its results were seen."""
        job = f"job-{number}"
        items = {f"{job}-item-{i}": b"note" for i in range(ITEMS_PER_JOB)}
        begun_s = trio.current_time()
        response = await self.system.submit(self.draw_gateway(), job, items)
        if response.status != 202:
            self.problems.append(f"{job}: status {response.status}")
            return
        seen: list[str] = []
        with trio.move_on_after(MAX_JOB_S):
            while len(seen) < len(items):
                target = formats.job_target(job, len(seen))
                headers = formats.wait_headers(edge_system.RESULTS_WAIT_S)
                got = await self.system.send(self.draw_gateway(), "GET", target, headers)
                if got.status == 200:
                    seen += [item for item, _, _ in formats.decode_results(got.body)]
                await trio.sleep(READ_PAUSE_S)
        if sorted(seen) != sorted(items):
            self.problems.append(f"{job}: {len(set(seen))} of {len(items)} items, {len(seen)} read")
        self.took_s.append(trio.current_time() - begun_s)


async def run(seconds: float) -> None:
    """Run the load and print the calls."""
    counter = CallCounter()
    for name in ("get", "list", "create", "update", "delete", "watch"):
        counter.wrap(name)
    counter.wrap_peer_calls()
    shape = {"gateways": GATEWAYS, "workers": WORKERS, "engines": ENGINES}
    async with edge_system.run_system(**shape, events=EVENTS, event_s=EVENT_S) as system:
        await system.plan(edge_system.make_plan(2, waiting_tokens=WAITING_TOKENS))
        await trio.sleep(1.5)
        counter.active = True
        load = Load(system)
        begun_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds * JOBS_PER_S)):
                nursery.start_soon(load.run_job, number)
                await trio.sleep(1.0 / JOBS_PER_S)
        took_s = trio.current_time() - begun_s
        counter.active = False
    _print(counter, load, took_s)


def _print(counter: CallCounter, load: Load, took_s: float) -> None:
    for (role, call, caller), count in counter.calls.most_common():
        print(f"{count:6} {role:8} {call:38} {caller}")
    print(f"calls of peers: {dict(counter.peer_calls)}")
    jobs = len(load.took_s)
    print(f"{sum(counter.calls.values())} calls, {counter.price():.0f} priced, in {took_s:.1f} s")
    print(f"{jobs} jobs of {ITEMS_PER_JOB} items, {counter.price() / max(jobs, 1):.1f} per job")
    mean_s = sum(load.took_s) / max(jobs, 1)
    print(f"mean time to the last result {mean_s:.2f} s; problems: {load.problems}")


if __name__ == "__main__":
    args = docopt.docopt("Usage: store_calls [--seconds=N]")
    trio.run(run, float(args["--seconds"] or 20))
