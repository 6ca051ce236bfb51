"""What gateways and workers keep and share about requests that crash upstreams."""

import dataclasses
import time

import msgspec
import pytest
import trio

from cornelgrade.adapters import engine
from cornelgrade.platform.standins import edge_system
from cornelgrade.services import ports, quarantine
from cornelgrade.services.edge import crash_detector, quarantine_sync, suspect_records

CULPRIT = "f" * 32
NEIGHBOUR = "e" * 32
SETTLE_S = 1.0


def find_quarantine(system, node):
    return system.nodes[node].kern.find("quarantine", quarantine.Quarantine)


def find_detector(system, node):
    return system.nodes[node].kern.find("crash_detector", crash_detector.CrashDetector)


def lost_connection(progress=engine.Progress.SENT):
    return engine.CallError("connection lost", step="head", peer="engine", progress=progress)


async def quarantine_culprit(system, node):
    """Let the culprit be in flight alone at two crashes."""
    service = find_quarantine(system, node)
    for upstream in ("engine-0", "engine-1"):
        service.verdict(CULPRIT)
        service.report_crash(upstream, (CULPRIT,))
        await trio.sleep(SETTLE_S)


async def list_decisions(system):
    stored = await system.store.list(quarantine_sync.KIND)
    return {found.name: msgspec.json.decode(found.value)["expires_ms"] for found in stored}


async def wait_for_verdict(system, node, fingerprint, verdict):
    with trio.fail_after(5):
        while find_quarantine(system, node).verdict(fingerprint) is not verdict:
            await trio.sleep(0.05)


# Guards against processes that miss a decision, and against a write by each of them.
async def test_decision_reaches_workers_and_is_stored_once():
    async with edge_system.run_system(gateways=2, workers=1) as system:
        await quarantine_culprit(system, "gateway-0")
        for node in system.nodes:
            await wait_for_verdict(system, node, CULPRIT, ports.Verdict.CONDEMNED)
        decisions = await list_decisions(system)
    assert list(decisions) == [CULPRIT]
    assert decisions[CULPRIT] / 1000 == pytest.approx(time.time() + 3_600, abs=60)


# Guards against a decision that is lost because the store was away when it was made.
async def test_decision_made_during_an_outage_of_the_store_is_stored_afterwards():
    async with edge_system.run_system(gateways=2) as system:
        edge_system.set_outage(system.store, down=True)
        await quarantine_culprit(system, "gateway-0")
        edge_system.set_outage(system.store, down=False)
        with trio.fail_after(5):
            while CULPRIT not in await list_decisions(system):
                await trio.sleep(0.1)


# Guards against a process that starts without the decisions because the store is away then.
async def test_process_started_during_an_outage_reads_decisions_afterwards():
    async with edge_system.run_system(gateways=1) as system:
        await quarantine_culprit(system, "gateway-0")
        system.nodes.pop("gateway-0").scope.cancel()
        edge_system.set_outage(system.store, down=True)
        await system.start_gateway("gateway-1")
        await trio.sleep(SETTLE_S)
        edge_system.set_outage(system.store, down=False)
        await wait_for_verdict(system, "gateway-1", CULPRIT, ports.Verdict.CONDEMNED)


# Guards against decisions that stay in the store, and foreign objects that stop the reading.
async def test_expired_decision_is_deleted_and_an_unreadable_one_skipped():
    async with edge_system.run_system(gateways=1) as system:
        expired = msgspec.json.encode(quarantine_sync.StoredDecision(1_000))
        await system.store.create(quarantine_sync.KIND, CULPRIT, expired)
        await system.store.create(quarantine_sync.KIND, NEIGHBOUR, b'"other"')
        await system.start_gateway("gateway-1")
        await trio.sleep(SETTLE_S)
        stored = await system.store.list(quarantine_sync.KIND)
        assert find_quarantine(system, "gateway-1").verdict(CULPRIT) is ports.Verdict.CLEAR
    assert [found.name for found in stored] == [NEIGHBOUR]


# Guards against taking a broken connection for a crash, and a quick restart for none.
@pytest.mark.parametrize(
    ("reported_ms", "registered_ms", "crashed"),
    [(2_000, 1_000, True), (1_000, 1_000, False), (0, 1_000, False), (2_000, 0, False)],
)
async def test_upstream_that_responds_has_crashed_only_if_it_was_started_anew(
    reported_ms, registered_ms, crashed
):
    async with edge_system.run_system() as system:
        system.engines["engine-0"].started_ms = reported_ms
        up = system.engines["engine-0"].upstream(edge_system.SERVICE, "north")
        up = dataclasses.replace(up, started_ms=registered_ms)
        detector = find_detector(system, "gateway-0")
        with detector.track_call(up, CULPRIT):
            await detector.check_after(up, lost_connection())
        assert find_quarantine(system, "gateway-0").is_suspect(CULPRIT) is crashed


# Guards against overlooking the culprit, or blaming requests at other upstreams.
async def test_all_requests_in_flight_at_a_crash_become_suspects_but_those_elsewhere():
    async with edge_system.run_system(engines=2) as system:
        ups = [eng.upstream(edge_system.SERVICE, "north") for eng in system.engines.values()]
        system.engines["engine-0"].crash(2.0)
        detector = find_detector(system, "gateway-0")
        with (
            detector.track_call(ups[0], CULPRIT),
            detector.track_call(ups[0], NEIGHBOUR),
            detector.track_call(ups[1], "elsewhere"),
        ):
            await detector.check_after(ups[0], lost_connection())
        service = find_quarantine(system, "gateway-0")
        suspects = [service.is_suspect(name) for name in (CULPRIT, NEIGHBOUR, "elsewhere")]
    assert suspects == [True, True, False]


# Guards against blaming a request that an upstream never ran or has answered.
@pytest.mark.parametrize("progress", [engine.Progress.NOT_SENT, engine.Progress.ANSWERED])
async def test_call_that_never_ran_or_was_answered_asks_for_no_check(progress):
    async with edge_system.run_system() as system:
        up = system.engines["engine-0"].upstream(edge_system.SERVICE, "north")
        system.engines["engine-0"].crash(2.0)
        detector = find_detector(system, "gateway-0")
        with detector.track_call(up, CULPRIT):
            await detector.check_after(up, lost_connection(progress))
        assert not find_quarantine(system, "gateway-0").is_suspect(CULPRIT)


# Guards against stored crashes that no process takes into account, or that outlast a completion.
async def test_stored_crashes_count_for_later_processes_until_the_request_completes():
    async with edge_system.run_system(gateways=1) as system:
        service = find_quarantine(system, "gateway-0")
        service.report_crash("engine-0", (CULPRIT,), 1_000)
        await trio.sleep(SETTLE_S)
        system.nodes.pop("gateway-0").scope.cancel()
        await system.start_gateway("gateway-1")
        await wait_for_verdict(system, "gateway-1", CULPRIT, ports.Verdict.ALONE)
        assert [s.name for s in await system.store.list(suspect_records.KIND)] == [CULPRIT]
        find_quarantine(system, "gateway-1").report_completion(CULPRIT)
        await trio.sleep(SETTLE_S)
        assert await system.store.list(suspect_records.KIND) == ()


# Guards against a write for every request that was in flight at a crash.
async def test_single_crash_with_several_requests_in_flight_is_not_stored():
    async with edge_system.run_system(gateways=1) as system:
        find_quarantine(system, "gateway-0").report_crash("engine-0", (CULPRIT, NEIGHBOUR))
        await trio.sleep(SETTLE_S)
        assert await system.store.list(suspect_records.KIND) == ()
