"""After a response was lost, callers are never told that their request has not run."""

import pytest

from cornelgrade.platform.standins import edge_system, stream_engine

NOT_RUN_STATUSES = (408, 421, 429, 503)


# Guards against passing on the "not run" of the last upstream after an earlier one ran the request.
@pytest.mark.parametrize("status", [408, 429, 503])
async def test_status_of_the_last_upstream_does_not_hide_an_earlier_run(status):
    async with edge_system.run_system(engines=2) as system:
        system.engines["engine-0"].faults = stream_engine.Faults(cut_after=0)
        system.engines["engine-1"].faults = stream_engine.Faults(fail=status)
        for number in range(8):
            got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, f"r{number}")
            tried = [
                e for e in system.engines.values() if any(s.request == f"r{number}" for s in e.seen)
            ]
            if system.engines["engine-0"] in tried:
                assert got.status not in NOT_RUN_STATUSES
        assert system.engines["engine-0"].seen and system.engines["engine-1"].seen


# Guards against a second run on a route whose requests run once, wherever its response was lost.
@pytest.mark.parametrize(
    "faults",
    [{"cut_after": 0}, {"cut_after": 2}, {"silent_after": 0}, {"unsigned": True}, {"end_after": 1}],
    ids=str,
)
async def test_lost_response_neither_repeats_a_request_nor_denies_it(faults):
    async with edge_system.run_system(engines=3) as system:
        for engine in system.engines.values():
            engine.faults = stream_engine.Faults(**faults)
        got = await system.send_online(
            "gateway-0", edge_system.ONCE_PREFIX, "r1", x_deadline_ms="600"
        )
        runs = [seen for engine in system.engines.values() for seen in engine.seen if seen.ran]
    assert len(runs) == 1
    assert got.status not in NOT_RUN_STATUSES
    assert got.status != 200 or not got.complete
