"""Batch items under which upstreams crashed by chance, which are still owed."""

import pytest
import trio

from cornelgrade.platform.standins import edge_system, stream_engine

BURSTS, CRASHES, PAUSE_S = 3, 4, 0.4
# Items must go on soon after the crashes end: the operators excuse those of the last 20 s.
CALM_S = 20.0
# An item that waits after a crash runs again within this time.
NEXT_RUN_S = 10.0
EVENTS = 60
# An item takes 12 s while engines crash, so that none completes before the last crash.
CRASHING_EVENT_S, CALM_EVENT_S = 0.2, 0.01


async def crash_under_items(system):
    """Crash in turn the engine that runs one of the items, in bursts."""
    for eng in system.engines.values():
        eng.event_s = CRASHING_EVENT_S
    for _ in range(BURSTS):
        for _ in range(CRASHES):
            with trio.move_on_after(NEXT_RUN_S):
                while not (busy := [eng for eng in system.engines.values() if eng.running]):
                    await trio.sleep(0.01)
                for eng in busy:
                    eng.crash(PAUSE_S)
            await trio.sleep(PAUSE_S)
        await trio.sleep(2.0)
    for eng in system.engines.values():
        eng.event_s = CALM_EVENT_S


async def read_results(system, job, total):
    results = []
    while len(results) < total:
        results += await system.results("gateway-0", job, len(results))
    return results


# Guards against items that are never placed again because upstreams crashed while they ran.
@pytest.mark.parametrize("restart", [False, True])
@pytest.mark.parametrize("workers", [1, 3])
async def test_items_complete_after_bursts_of_crashes(workers, restart):
    names = [f"item-{number}" for number in range(4)]
    async with edge_system.run_system(workers=workers, engines=6, events=EVENTS) as system:
        await system.submit("gateway-0", "job", {name: name.encode() for name in names})
        await crash_under_items(system)
        assert sum(eng.crashes for eng in system.engines.values()) >= BURSTS * CRASHES
        if restart:
            for name in [name for name in system.nodes if name.startswith("worker")]:
                system.nodes.pop(name).scope.cancel()
            for number in range(workers):
                await system.start_worker(f"worker-{number + 10}")
        with trio.fail_after(CALM_S):
            results = await read_results(system, "job", len(names))
        text = {name: stream_engine.result_text(name, EVENTS) for name in names}
        assert dict(results) == text
