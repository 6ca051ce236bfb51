"""What counts for and against a request when upstreams crash: completions, restarts, copies."""

import itertools

import pytest
import trio
from tests.edge import culprits

from cornelgrade.platform.standins import edge_system, formats, stream_engine

POPULAR = b"the same words from many callers"
LATE_SEND_PAUSE_S = 0.3
NEIGHBOUR_TRIES = 8


def count_late_runs_since(before, system):
    """Return the culprit's runs since there were ``before``; none if it was stopped earlier."""
    assert culprits.count_crashes(system)
    return 0 if before is None else len(culprits.list_runs(system)) - before


class Callers:
    """Callers of one system; their requests go to its gateways in turn."""

    def __init__(self, system, path=edge_system.RESUMABLE_PREFIX):
        self.system = system
        self.path = path
        self.numbers = itertools.count()

    async def send(self, body):
        gateways = sorted(name for name in self.system.nodes if name.startswith("gateway"))
        number = next(self.numbers)
        gateway = gateways[number % len(gateways)]
        return await self.system.send_online(gateway, self.path, f"r{number}", body=body)

    async def send_each_gateway(self, body):
        gateways = [name for name in self.system.nodes if name.startswith("gateway")]
        return [(await self.send(body)).status for _ in gateways]

    async def ask_until_served(self, body):
        """Send a request again until it is served, as its caller does; return all statuses."""
        statuses = []
        for _ in range(NEIGHBOUR_TRIES):
            got = await self.send(body)
            statuses.append(got.status if got.complete else 0)
            if statuses[-1] == 200:
                break
            await trio.sleep(LATE_SEND_PAUSE_S)
        return statuses

    async def send_unrelated(self, count):
        """Send requests of different texts, one after the other, until each is served."""
        for number in range(count):
            statuses = await self.ask_until_served(f"unrelated {number}".encode())
            assert statuses[-1] == 200, statuses

    async def crash_engines(self, crashes=culprits.CRASHES):
        """Send the culprit until it has crashed so many engines or is stopped before."""
        for _ in range(culprits.LATE_SENDS):
            if culprits.count_crashes(self.system) < crashes:
                await self.send(culprits.CULPRIT)
                await trio.sleep(LATE_SEND_PAUSE_S)
        assert culprits.count_crashes(self.system)

    async def count_late_runs(self):
        """Return how often the culprit reaches engines if callers go on sending it."""
        await trio.sleep(culprits.SPREAD_S)
        before = len(culprits.list_runs(self.system))
        for _ in range(culprits.LATE_SENDS):
            await self.send(culprits.CULPRIT)
            await trio.sleep(LATE_SEND_PAUSE_S)
        return len(culprits.list_runs(self.system)) - before


# Guards against a text that was served, and is immune to blame when it then crashes upstreams.
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
@pytest.mark.parametrize("gateways", [1, 3])
async def test_text_that_each_gateway_had_served_is_stopped_once_it_crashes_upstreams(
    gateways, path
):
    async with edge_system.run_system(gateways=gateways, engines=8) as system:
        callers = Callers(system, path)
        assert set(await callers.send_each_gateway(culprits.CULPRIT)) == {200}
        culprits.make_engines_crash(system)
        await callers.crash_engines()
        assert await callers.count_late_runs() <= culprits.MAX_LATE_RUNS
        assert (await callers.ask_until_served(b"innocent"))[-1] == 200


# Guards against the same beside other requests, of which none was served before.
async def test_text_that_was_served_is_stopped_beside_new_requests_that_are_served():
    async with edge_system.run_system(gateways=3, engines=8, events=20) as system:
        callers = Callers(system)
        await callers.send_each_gateway(culprits.CULPRIT)
        culprits.make_engines_crash(system)
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(Callers(system).send_unrelated, 12 + number)
            await callers.crash_engines()
            late = await callers.count_late_runs()
    assert late <= culprits.MAX_LATE_RUNS


# Guards against the same in a stream that is cut off after events and taken up at other upstreams.
async def test_text_that_was_served_and_now_crashes_within_its_stream_is_stopped():
    async with edge_system.run_system(gateways=3, engines=8) as system:
        callers = Callers(system)
        await callers.send_each_gateway(culprits.CULPRIT)
        culprits.make_engines_crash(system, crash_after=2)
        await callers.crash_engines()
        assert await callers.count_late_runs() <= culprits.MAX_LATE_RUNS


# Guards against taking an upstream's own failure for a completion, which clears a crashing text.
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
async def test_failure_status_of_an_upstream_does_not_clear_a_crashing_text(path):
    async with edge_system.run_system(gateways=3, engines=8) as system:
        callers = Callers(system, path)
        for round_number in range(6):
            culprits.make_engines_crash(system)
            await callers.send(culprits.CULPRIT)
            if round_number == culprits.CRASHES:
                await trio.sleep(culprits.SPREAD_S)
                before = len(culprits.list_runs(system))
            for eng in system.engines.values():
                eng.faults = stream_engine.Faults(fail=500)
            await trio.sleep(0.7)
            await callers.send(culprits.CULPRIT)
        late = len(culprits.list_runs(system)) - before
        culprits.make_engines_crash(system)
        late += await callers.count_late_runs()
    assert late <= culprits.MAX_LATE_RUNS


# Guards against processes that forget crashes when all of them restart before the text is stopped.
async def test_crashes_before_a_restart_of_all_gateways_count_after_it():
    async with edge_system.run_system(gateways=2, engines=10) as system:
        culprits.make_engines_crash(system)
        callers = Callers(system, edge_system.ONCE_PREFIX)
        before = None
        for number in range(2, 2 + 2 * 8, 2):
            crashes = culprits.count_crashes(system)
            await callers.send(culprits.CULPRIT)
            await trio.sleep(0.3)
            for name in [name for name in system.nodes if name.startswith("gateway")]:
                system.nodes.pop(name).scope.cancel()
            for name in (f"gateway-{number}", f"gateway-{number + 1}"):
                await system.start_gateway(name)
            for name in (f"gateway-{number}", f"gateway-{number + 1}"):
                await system.wait_until_ready(name)
            await system.wait_until_peers_known()
            if culprits.count_crashes(system) >= culprits.CRASHES > crashes:
                await trio.sleep(culprits.SPREAD_S)
                before = len(culprits.list_runs(system))
        assert count_late_runs_since(before, system) <= culprits.MAX_LATE_RUNS


# Guards against a text of many callers whose copies hide it beside other requests.
async def test_text_of_many_callers_is_stopped_beside_others_that_are_served():
    async with edge_system.run_system(gateways=3, engines=8, events=20) as system:
        culprits.make_engines_crash(system)
        callers = Callers(system)
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(Callers(system).send_unrelated, 14)
            async with trio.open_nursery() as senders:
                for _ in range(6):
                    senders.start_soon(Callers(system).crash_engines)
            late = await callers.count_late_runs()
    assert late <= culprits.MAX_LATE_RUNS


# Guards against blaming a text of many callers, in flight at every crash, for another's crashes.
@pytest.mark.parametrize("served_before", [False, True])
async def test_popular_text_is_served_beside_a_crashing_one(served_before):
    async with edge_system.run_system(gateways=3, engines=8, events=20) as system:
        callers = Callers(system)
        if served_before:
            await callers.send_each_gateway(POPULAR)
            await callers.send_each_gateway(culprits.CULPRIT)
        culprits.make_engines_crash(system)
        statuses = []

        async def ask(number):
            for _ in range(6):
                statuses.append(await Callers(system).ask_until_served(POPULAR))

        async with trio.open_nursery() as nursery:
            for number in range(12):
                nursery.start_soon(ask, number)
            await trio.sleep(0.1)
            await callers.crash_engines()
            late = await callers.count_late_runs()
    assert late <= culprits.MAX_LATE_RUNS
    assert {tries[-1] for tries in statuses} == {200}


# Guards against counting one crash once for each VM from which a text was in flight there.
async def test_one_crash_with_a_popular_text_in_flight_from_all_vms_stops_nothing():
    async with edge_system.run_system(gateways=8, engines=1, events=60) as system:
        callers = Callers(system, edge_system.ONCE_PREFIX)
        engine = system.engines["engine-0"]
        async with trio.open_nursery() as nursery:
            for number in range(8):
                body = f"other {number}".encode()
                nursery.start_soon(
                    system.send_online, f"gateway-{number}", callers.path, "p", POPULAR
                )
                nursery.start_soon(system.send_online, f"gateway-{number}", callers.path, "o", body)
            with trio.fail_after(5):
                while engine.running < engine.slots:
                    await trio.sleep(0.01)
            engine.crash(0.3)
        await trio.sleep(1.0)
        engine.event_s = 0.001
        assert {tries[-1] for tries in [await callers.ask_until_served(POPULAR)]} == {200}


async def submit_served_item(system):
    """Run the culprit's text as an item to its end, before it crashes engines."""
    await system.submit("gateway-0", "before", {"culprit": culprits.CULPRIT})
    with trio.fail_after(10):
        while not await system.results("gateway-0", "before", 0):
            await trio.sleep(0.05)


# Guards against items whose text was served, as items of other jobs, and then crashes upstreams.
@pytest.mark.parametrize("workers", [1, 3])
async def test_item_whose_text_was_served_is_stopped_once_it_crashes_upstreams(workers):
    async with edge_system.run_system(workers=workers, engines=8) as system:
        await submit_served_item(system)
        culprits.make_engines_crash(system)
        before = len(culprits.list_runs(system))
        items = {"culprit": culprits.CULPRIT, **{f"item-{number}": b"note" for number in range(4)}}
        await system.submit("gateway-0", "job", items)
        with trio.fail_after(20):
            while culprits.count_crashes(system) < culprits.CRASHES:
                await trio.sleep(0.05)
        await trio.sleep(culprits.SPREAD_S)
        before = len(culprits.list_runs(system))
        await trio.sleep(culprits.LATE_SENDS * LATE_SEND_PAUSE_S + culprits.SPREAD_S)
        assert len(culprits.list_runs(system)) - before <= culprits.MAX_LATE_RUNS
        target = formats.job_target("job", 0)
        got = await system.send("gateway-0", "GET", target, formats.wait_headers(1.0))
        ends = {item for item, _, _ in formats.decode_results(got.body)}
    assert ends == {f"item-{number}" for number in range(4)}


async def restart_all_workers(system, first_number):
    """Replace both workers at once by two with the given numbers."""
    for name in [name for name in system.nodes if name.startswith("worker")]:
        system.nodes.pop(name).scope.cancel()
    for number in (first_number, first_number + 1):
        await system.start_worker(f"worker-{number}")


# Guards against workers that all restart and forget the crashes of an item.
async def test_crashes_of_an_item_count_after_all_workers_restarted():
    async with edge_system.run_system(workers=2, engines=10) as system:
        culprits.make_engines_crash(system)
        await system.submit("gateway-0", "job", {"culprit": culprits.CULPRIT})
        before = None
        for number in range(2, 22, 2):
            crashes = culprits.count_crashes(system)
            with trio.move_on_after(culprits.SPREAD_S):
                while culprits.count_crashes(system) == crashes:
                    await trio.sleep(0.02)
            await trio.sleep(0.1)
            if before is None and culprits.count_crashes(system) >= culprits.CRASHES:
                await trio.sleep(culprits.SPREAD_S)
                before = len(culprits.list_runs(system))
            await restart_all_workers(system, number)
        assert count_late_runs_since(before, system) <= culprits.MAX_LATE_RUNS
