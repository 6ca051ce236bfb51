"""An upstream that fails fast while its load report looks good, and all VMs that keep off it."""

import itertools

import pytest
import trio

from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.schema import messages
from cornelgrade.services.edge import peers

CALLER_INTERVAL_S = 0.02
GATEWAYS = 3


async def call_once(system, gateway, path, request, statuses):
    got = await system.send_online(gateway, path, request, body=request.encode())
    statuses.append(got.status)


async def call_all(system, for_s, path):
    """Call the gateways in turn for a while; return the statuses of the responses."""
    statuses, names = [], itertools.cycle([name for name in system.nodes if "gateway" in name])
    ends_s = trio.current_time() + for_s
    async with trio.open_nursery() as nursery:
        for number in itertools.count():
            if trio.current_time() >= ends_s:
                break
            request = f"request-{ends_s}-{number}"
            nursery.start_soon(call_once, system, next(names), path, request, statuses)
            await trio.sleep(CALLER_INTERVAL_S)
    return statuses


def count_runs(engine):
    return sum(seen.ran for seen in engine.seen)


def fail(engine):
    engine.faults = stream_engine.Faults(fail=500)


# Guards against an upstream that fails at once, seems idle and so draws most requests, on routes
# whose requests can't be repeated. Without workers, each gateway has only what it saw itself.
@pytest.mark.parametrize(("workers", "most_failures"), [(2, 12), (0, 8 * GATEWAYS)])
async def test_upstream_that_fails_fast_is_ejected_by_all_gateways(workers, most_failures):
    async with edge_system.run_system(
        gateways=GATEWAYS, workers=workers, engines=6, event_s=0.04
    ) as system:
        await call_all(system, 0.5, edge_system.ONCE_PREFIX)
        fail(system.engines["engine-0"])
        statuses = await call_all(system, 4.0, edge_system.ONCE_PREFIX)
        assert 1 <= statuses.count(500) <= most_failures
        assert set(statuses) == {200, 500}
        # No request can be repeated, so the first trials find none.
        before = count_runs(system.engines["engine-0"])
        system.engines["engine-0"].faults = stream_engine.Faults()
        if workers:
            await call_all(system, 8.0, edge_system.RESUMABLE_PREFIX)
            assert count_runs(system.engines["engine-0"]) - before >= 20


# Guards against callers that pay for the trials of an upstream that stays faulty.
async def test_trials_are_repeatable_requests_that_succeed_elsewhere():
    async with edge_system.run_system(gateways=GATEWAYS, workers=1, engines=6) as system:
        await call_all(system, 0.5, edge_system.RESUMABLE_PREFIX)
        fail(system.engines["engine-0"])
        statuses = await call_all(system, 6.0, edge_system.RESUMABLE_PREFIX)
        assert set(statuses) == {200}
        assert 6 <= count_runs(system.engines["engine-0"]) <= 40


# Guards against an ejection that ends because the worker that decided it is gone.
async def test_ejection_outlives_the_worker_that_decided_it():
    async with edge_system.run_system(gateways=GATEWAYS, workers=2, engines=6) as system:
        await call_all(system, 0.5, edge_system.RESUMABLE_PREFIX)
        fail(system.engines["engine-0"])
        await call_all(system, 1.0, edge_system.RESUMABLE_PREFIX)
        known = system.nodes["gateway-0"].kern.find("peers", peers.Peers)
        system.nodes[known.owners_of(edge_system.SERVICE)[0]].scope.cancel()
        before = count_runs(system.engines["engine-0"])
        statuses = await call_all(system, 6.0, edge_system.ONCE_PREFIX)
        assert set(statuses) <= {200, 500}
        assert statuses.count(500) <= 3
        assert count_runs(system.engines["engine-0"]) - before <= 10


# Guards against batch items that go on to an upstream which gateways found to fail, and fail there.
async def test_batch_items_keep_off_an_ejected_upstream():
    async with edge_system.run_system(gateways=2, workers=2, engines=6) as system:
        await call_all(system, 0.5, edge_system.RESUMABLE_PREFIX)
        fail(system.engines["engine-0"])
        await call_all(system, 1.0, edge_system.RESUMABLE_PREFIX)
        before = count_runs(system.engines["engine-0"])
        items = {f"item-{number}": f"note {number}".encode() for number in range(60)}
        await system.submit("gateway-0", "job", items)
        results = []
        with trio.fail_after(10):
            while len(results) < len(items):
                results += await system.results("gateway-0", "job", len(results))
        assert all(text for _, text in results)
        assert count_runs(system.engines["engine-0"]) - before <= 4


# Guards against a next start of an upstream that inherits the record of the one before.
async def test_next_start_of_an_upstream_is_in_use_at_once():
    async with edge_system.run_system(gateways=2, workers=1, engines=4) as system:
        engine = system.engines["engine-0"]
        await call_all(system, 0.5, edge_system.ONCE_PREFIX)
        fail(engine)
        await call_all(system, 1.0, edge_system.ONCE_PREFIX)
        engine.faults = stream_engine.Faults()
        engine.started_ms = 17
        await system.register(engine.upstream(edge_system.SERVICE, "north"))
        await trio.sleep(0.6)
        before = count_runs(engine)
        statuses = await call_all(system, 0.6, edge_system.ONCE_PREFIX)
        assert set(statuses) == {200}
        assert count_runs(engine) - before >= 3


# Guards against calm days that pay for the exchange of outcomes.
async def test_nothing_is_told_while_nothing_fails(monkeypatch):
    sent = []
    send = peers.Peers.send
    monkeypatch.setattr(
        peers.Peers, "send", lambda self, vm, body: sent.append(body) or send(self, vm, body)
    )
    async with edge_system.run_system(gateways=2, workers=1, engines=2) as system:
        assert set(await call_all(system, 1.0, edge_system.ONCE_PREFIX)) == {200}
    assert sent
    assert not any(isinstance(b, (messages.UpstreamOutcome, messages.Ejections)) for b in sent)
