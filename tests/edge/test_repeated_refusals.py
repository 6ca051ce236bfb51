"""Engines that write an earlier refusal once more where the next response is expected."""

import pytest
import trio
from tests.edge import stranded, test_stranded_vms, test_unframed_responses

from cornelgrade.platform.standins import edge_system, stream_engine

start_system = test_unframed_responses.start_system
set_faults = test_unframed_responses.set_faults
runs_of = test_stranded_vms.runs_of
each_path = pytest.mark.parametrize("path", test_unframed_responses.ALL_PREFIXES)
each_extra = pytest.mark.parametrize(
    "extra", [("earlier",), ("earlier", "earlier"), ("earlier", ""), ("earlier", "", "")]
)


# Guards against "not run" and second runs because of a refusal of another request, and of those
# without an id after it, which can't be told from a repeated one.
@each_extra
@each_path
async def test_refusal_of_another_request_is_skipped(start_system, path, extra):
    async with edge_system.run_system(engines=2) as system:
        await start_system(system)
        set_faults(system, extra_refusals=extra)
        got = await system.send_online("gateway-0", path, "r1")
        runs = runs_of(system, "r1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", 5)
    assert len(runs) == 1


# Guards against the same over another gateway.
@each_extra
@pytest.mark.parametrize("path", [edge_system.ONCE_PREFIX, edge_system.RESUMABLE_PREFIX])
async def test_refusal_of_another_request_is_skipped_over_a_peer(monkeypatch, path, extra):
    async with edge_system.run_system(gateways=2, workers=1, engines=2) as system:
        with stranded.cut_vms(system, monkeypatch, "gateway-0", refuses=True):
            await test_stranded_vms.notice(system, "gateway-0")
            set_faults(system, extra_refusals=extra)
            got = await system.send_online("gateway-0", path, "r1")
        runs = runs_of(system, "r1")
    assert (got.status, got.complete) == (200, True)
    assert len(runs) == 1


# Guards against using a connection again whose buffer holds a second copy of a refusal, be it of
# another request or of the same one.
@each_path
async def test_copy_of_a_refusal_is_not_taken_for_the_next_response(start_system, path):
    async with edge_system.run_system() as system:
        await start_system(system)
        set_faults(system, decline=True, repeat_refusals=True)
        assert (await system.send_online("gateway-0", path, "r1")).status == 503
        set_faults(system)
        for request in ("r1", "r2"):
            with trio.fail_after(5):
                while (got := await system.send_online("gateway-0", path, request)).status == 503:
                    assert not [run for run in runs_of(system, request) if run.ran]
                    await trio.sleep(0.1)
            assert (got.status, got.complete) == (200, True)
            assert len([run for run in runs_of(system, request) if run.ran]) == 1


# Guards against items that run twice, or never end, because of such copies.
async def test_item_runs_once_after_a_copy_of_its_refusal():
    async with edge_system.run_system(workers=1) as system:
        set_faults(system, decline=True, repeat_refusals=True)
        await system.submit("gateway-0", "job", {"item": b"note"})
        with trio.fail_after(10):
            while not runs_of(system, "item"):
                await trio.sleep(0.02)
        set_faults(system)
        results = []
        with trio.fail_after(15):
            while not results:
                results = await system.results("gateway-0", "job", 0)
        runs = [run for run in runs_of(system, "item") if run.ran]
    assert results == [("item", stream_engine.result_text("item", 5))]
    assert len(runs) == 1


# Guards against items that an engine runs in vain because an earlier refusal comes before each
# response.
@each_extra
async def test_item_completes_in_one_run_after_refusals_of_other_requests(extra):
    async with edge_system.run_system(workers=1, engines=2) as system:
        set_faults(system, extra_refusals=extra)
        await system.submit("gateway-0", "job", {"item": b"note"})
        results = []
        with trio.move_on_after(8):
            while not results:
                results = await system.results("gateway-0", "job", 0)
        runs = [run for run in runs_of(system, "item") if run.ran]
    assert results == [("item", stream_engine.result_text("item", 5))]
    assert len(runs) == 1
