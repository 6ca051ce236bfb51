"""How gateways read results: what it costs the store, and what callers see when it is silent."""

import trio

from cornelgrade.platform.standins import edge_system
from cornelgrade.services.edge import job_repository, result_reader

RESULTS_KIND = f"{job_repository.RESULT_KIND}-job"
HEADER_KIND = job_repository.HEADER_KIND
WAIT_HEADERS = {"x-wait-ms": "300"}


async def read(system, gateway="gateway-0", after=0):
    return await system.send(gateway, "GET", f"/lots/job?after={after}", WAIT_HEADERS)


# Guards against a store call for each read: callers read often, and most reads find nothing.
async def test_callers_that_wait_for_one_job_share_a_watch():
    async with edge_system.run_system(gateways=1) as system:
        await system.submit("gateway-0", "job", {"item": b"note"})
        before = system.store.calls.copy()
        for _ in range(6):
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(read, system)
        calls = system.store.calls - before
    # One list, a watch that is sent again each WATCH_TIMEOUT_S, and confirmations.
    confirmations = 6 * 0.3 / result_reader.MAX_CONFIRMATION_AGE_S
    assert calls[f"watch:{RESULTS_KIND}"] + calls[f"list:{RESULTS_KIND}"] <= 2 + confirmations
    assert calls[f"get:{HEADER_KIND}"] <= 3


async def test_result_reaches_a_waiting_caller_at_once():
    async with edge_system.run_system(gateways=1, workers=1, event_s=0.2) as system:
        await system.submit("gateway-0", "job", {"item": b"note"})
        begun_s = trio.current_time()
        results = []
        while not results:
            results = await system.results("gateway-0", "job", 0)
        took_s = trio.current_time() - begun_s
    assert results[0][0] == "item"
    assert took_s < 5 * 0.2 + 0.7


# Guards against an empty page from a gateway that can't know whether there are results.
async def test_read_is_refused_while_the_store_is_silent_and_goes_on_after_it():
    async with edge_system.run_system(gateways=1) as system:
        await system.submit("gateway-0", "job", {"item": b"note"})
        assert (await read(system)).status == 200
        edge_system.set_outage(system.store, down=False, silent=True)
        with trio.fail_after(5):
            while (await read(system)).status != 503:
                pass
        edge_system.set_outage(system.store, down=False)
        with trio.fail_after(2):
            while (await read(system)).status != 200:
                await trio.sleep(0.1)


# Guards against a watch that is lost without a sign and hides results until its timeout.
async def test_result_is_seen_although_the_watch_for_it_was_lost():
    async with edge_system.run_system(gateways=4, workers=1, event_s=0.3) as system:
        await system.submit("gateway-0", "job", {"item": b"note"})
        await read(system)
        store = system.nodes["gateway-0"].store
        store.loses_watches = True
        await trio.sleep(2.0)
        store.loses_watches = False
        with trio.fail_after(result_reader.WATCH_TIMEOUT_S + 1.0):
            while not await system.results("gateway-0", "job", 0):
                pass


# Guards against watches that go on for jobs of which nobody reads any more.
async def test_job_is_followed_only_while_somebody_asks(monkeypatch):
    monkeypatch.setattr(result_reader, "FOLLOW_AFTER_READ_S", 0.2)
    async with edge_system.run_system(gateways=1) as system:
        await system.submit("gateway-0", "job", {"item": b"note"})
        await read(system)
        await trio.sleep(0.5)
        before = system.store.calls[f"watch:{RESULTS_KIND}"]
        await trio.sleep(result_reader.WATCH_TIMEOUT_S + 1.0)
        assert system.store.calls[f"watch:{RESULTS_KIND}"] == before
