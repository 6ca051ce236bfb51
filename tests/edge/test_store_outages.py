"""Outages of the store in which it falls silent: what processes know is current soon afterwards."""

import dataclasses

import pytest
import trio

from cornelgrade import clocks
from cornelgrade.platform.standins import edge_system
from cornelgrade.services.edge import fleet, store_monitor

CURRENT_WITHIN_S = 2.0
OUTAGE_S = 3.0


def find_fleet(system, node):
    return system.nodes[node].kern.find("fleet", fleet.Fleet)


async def wait_for_plan(system, version):
    for node in system.nodes:
        while find_fleet(system, node).table().plan.version < version:
            await trio.sleep(0.02)


async def be_silent(system, for_s):
    edge_system.set_outage(system.store, down=False, silent=True)
    await trio.sleep(for_s)
    edge_system.set_outage(system.store, down=False)


# Guards against watches that were open when the store fell silent: they are lost, and look like
# watches without changes for the rest of their 20 s.
@pytest.mark.parametrize("outage_s", [1.5, OUTAGE_S])
async def test_plan_is_in_force_soon_after_the_store_was_silent(outage_s):
    async with edge_system.run_system(gateways=3, workers=2) as system:
        await be_silent(system, outage_s)
        with trio.fail_after(CURRENT_WITHIN_S):
            await system.plan(edge_system.make_plan(2))
            await wait_for_plan(system, 2)


# Guards against a watch that is sent into the outage and waits for its own timeout.
async def test_plan_is_in_force_soon_after_an_outage_that_becomes_silent():
    async with edge_system.run_system(gateways=2, workers=1) as system:
        edge_system.set_outage(system.store, down=True)
        await trio.sleep(0.5)
        await be_silent(system, OUTAGE_S)
        with trio.fail_after(CURRENT_WITHIN_S):
            await system.plan(edge_system.make_plan(2))
            await wait_for_plan(system, 2)


# Guards against new work for an upstream that left after the store was silent, when the store then
# also loses its history.
async def test_upstream_that_left_after_a_silent_outage_gets_no_requests():
    async with edge_system.run_system(gateways=1, engines=2) as system:
        await be_silent(system, OUTAGE_S)
        leaving = system.engines["engine-0"].upstream(edge_system.SERVICE, "north")
        await system.register(dataclasses.replace(leaving, leaving=True))
        system.store.forget_history()
        await trio.sleep(CURRENT_WITHIN_S)
        before = len(system.engines["engine-0"].seen)
        for number in range(6):
            await system.send_online("gateway-0", edge_system.ONCE_PREFIX, f"r{number}")
        assert len(system.engines["engine-0"].seen) == before


# Guards against a job that is accepted after the silence and that no worker starts.
async def test_job_accepted_after_a_silent_outage_is_started_soon():
    async with edge_system.run_system(gateways=1, workers=2) as system:
        await be_silent(system, OUTAGE_S)
        with trio.fail_after(2 * CURRENT_WITHIN_S):
            while (await system.submit("gateway-0", "job", {"item": b"note"})).status != 202:
                await trio.sleep(0.1)
            while not await system.results("gateway-0", "job", 0):
                pass


# Guards against a watch that is lost for one VM only, while the processes nearby hear of the store.
async def test_watch_that_one_vm_lost_is_noticed_from_the_processes_nearby():
    async with edge_system.run_system(gateways=4) as system:
        # The first and the fourth gateway share a failure domain.
        lossy = system.nodes["gateway-0"].store
        lossy.loses_watches = True
        await system.plan(edge_system.make_plan(2))
        await trio.sleep(0.1)
        lossy.loses_watches = False
        with trio.fail_after(CURRENT_WITHIN_S):
            await wait_for_plan(system, 2)


# Guards against giving up on a lost watch whose restart is lost too, as just before a store drops
# its history: the process kept its plan until the next change.
async def test_watch_whose_restart_is_lost_too_is_restarted_again():
    async with edge_system.run_system(gateways=4) as system:
        lossy = system.nodes["gateway-0"].store
        sent = system.store.calls["watch:plans"]
        lossy.loses_watches = True
        await system.plan(edge_system.make_plan(2))
        with trio.fail_after(5):
            # The three others receive the plan and watch on; the fourth call is the restart.
            while system.store.calls["watch:plans"] < sent + 4:
                await trio.sleep(0.02)
        await trio.sleep(0.1)
        lossy.loses_watches = False
        with trio.fail_after(CURRENT_WITHIN_S):
            await wait_for_plan(system, 2)


# Guards against watches whose connections broke unnoticed while the machine was suspended.
async def test_watches_are_sent_again_after_the_machine_was_suspended(monkeypatch):
    async with edge_system.run_system(gateways=1) as system:
        sent = system.store.calls["watch:plans"]
        monkeypatch.setattr(clocks, "suspended_s", lambda: 60.0)
        await trio.sleep(CURRENT_WITHIN_S)
        assert system.store.calls["watch:plans"] > sent


# Guards against a store that is overrun by retries in an outage and by all processes after it.
async def test_calls_in_and_after_a_silent_outage_are_bounded():
    async with edge_system.run_system(gateways=6, workers=3) as system:
        await trio.sleep(1.0)
        calls_before = system.store.calls.copy()
        await be_silent(system, OUTAGE_S)
        await trio.sleep(CURRENT_WITHIN_S)
        calls = system.store.calls - calls_before
    processes, outage_s = 9, OUTAGE_S + CURRENT_WITHIN_S
    probe_interval_s = store_monitor.PROBE_TIMEOUT_S + store_monitor.MIN_RETRY_PAUSE_S
    assert calls["watch:plans"] <= 2 * processes
    assert calls["get:plans"] <= processes * (1 + outage_s / probe_interval_s)


# Guards against probes by each process of a failure domain where one is enough.
async def test_processes_of_a_failure_domain_share_probes_while_the_store_is_quiet():
    async with edge_system.run_system(gateways=12) as system:
        await trio.sleep(1.0)
        calls_before = system.store.calls["get:plans"]
        await trio.sleep(6.0)
        probes = system.store.calls["get:plans"] - calls_before
    shared, own = 3 * 6.0 / store_monitor.MAX_SILENCE_S, 12 * 6.0 / store_monitor.MAX_OWN_SILENCE_S
    assert probes <= shared + own


# Guards against a call by each process for each change while upstreams are replaced in a row.
async def test_registrations_close_together_share_a_response():
    async with edge_system.run_system(gateways=2) as system:
        up = system.engines["engine-0"].upstream(edge_system.SERVICE, "north")
        await trio.sleep(0.5)
        before = system.store.calls["watch:upstreams"]
        for number in range(20):
            await system.register(dataclasses.replace(up, name=f"engine-{number}"))
            await trio.sleep(0.02)
        await trio.sleep(1.0)
        assert system.store.calls["watch:upstreams"] - before <= 2 * 4
        for node in system.nodes:
            assert len(find_fleet(system, node).usable_registrations()) == 20
