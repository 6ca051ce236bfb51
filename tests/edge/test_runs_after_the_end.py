"""Streams that run once and end between two events while their upstream goes on making events."""

import pytest
from tests.edge import test_unframed_responses

from cornelgrade.platform.standins import edge_system, stream_engine

EVENTS = test_unframed_responses.EVENTS
# A stream that is shorter than the lag of reports isn't listed in the first one after its end.
EVENT_S = 0.15
# Reports are as of some hundred ms ago.
LAGS_S = [0.0, 0.25]
PREFIXES = test_unframed_responses.RUN_ONCE_PREFIXES
set_faults = test_unframed_responses.set_faults
start_system = test_unframed_responses.start_system


async def serve(system, path, lag_s, **faults):
    """Send a request to a system whose reports lag; return the response and the runs it took."""
    for eng in system.engines.values():
        eng.report_lag_s = lag_s
    set_faults(system, unframed=True, **faults)
    got = await system.send_online("gateway-0", path, "r1")
    runs = [s for eng in system.engines.values() for s in eng.seen if s.request == "r1"]
    return got, len(runs)


# Guards against passing on as complete a stream with which its upstream goes on.
@pytest.mark.parametrize("lag_s", LAGS_S)
@pytest.mark.parametrize("close_after", [2, 4])
@pytest.mark.parametrize("path", PREFIXES)
async def test_stream_is_visibly_incomplete_if_its_run_goes_on(
    start_system, path, close_after, lag_s
):
    async with edge_system.run_system(engines=2, event_s=EVENT_S) as system:
        await start_system(system)
        got, runs = await serve(system, path, lag_s, close_after=close_after, goes_on_s=1.0)
    assert not got.complete
    assert got.body == stream_engine.response_body("r1", close_after)
    assert runs == 1


# Guards against refusing whole streams because a late report still lists their finished runs.
@pytest.mark.parametrize("lag_s", [*LAGS_S, 2.0])
@pytest.mark.parametrize("path", PREFIXES)
async def test_whole_stream_is_complete_if_late_reports_list_its_run(start_system, path, lag_s):
    async with edge_system.run_system(engines=2, event_s=EVENT_S) as system:
        await start_system(system)
        got, runs = await serve(system, path, lag_s)
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)
    assert runs == 1
