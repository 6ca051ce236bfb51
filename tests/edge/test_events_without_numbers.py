"""Streams with an event that has no number behind their last one, such as an end marker."""

import pytest
import trio
from tests.edge import test_unframed_responses

from cornelgrade.platform.standins import edge_system, stream_engine

EVENTS = test_unframed_responses.EVENTS
# Its upstream ends a response after its last event, and reports list the run a little longer.
PAUSE_S, LAG_S = 0.2, 0.1
END_DATA = b"done"
RUN_ONCE_PREFIXES = test_unframed_responses.RUN_ONCE_PREFIXES
set_faults = test_unframed_responses.set_faults
start_system = test_unframed_responses.start_system
# Responses that end before the event without a number, or that are reset behind it.
ENDS = [{"unframed": True}, {"unframed": True, "close_after": EVENTS}, {"cut_after": EVENTS + 1}]


def whole_body(request):
    return stream_engine.response_body(request, EVENTS) + b"data: " + END_DATA + b"\n\n"


def set_first_run_faults(system, **faults):
    """Let the first run of each request have faults, and later ones only the event."""
    for eng in system.engines.values():

        async def answer(req, seen, eng=eng, answer=eng._answer):
            first = seen.resumed_after is None
            drawn = stream_engine.Faults(end_data=END_DATA, **(faults if first else {}))
            for other in system.engines.values():
                other.faults = drawn
            await answer(req, seen)

        eng._answer = answer


# Guards against taking a whole stream for a cut one because its upstream counts such an event.
@pytest.mark.parametrize("path", RUN_ONCE_PREFIXES)
async def test_whole_stream_that_runs_once_is_complete(start_system, path):
    async with edge_system.run_system(engines=2) as system:
        await start_system(system)
        for eng in system.engines.values():
            eng.report_lag_s = LAG_S
        pause = {"pause_after": EVENTS + 1, "pause_s": PAUSE_S}
        set_faults(system, unframed=True, end_data=END_DATA, **pause)
        got = await system.send_online("gateway-0", path, "r1")
    assert (got.status, got.body, got.complete) == (200, whole_body("r1"), True)


# Guards against an event without a number that is lost, or comes twice, where its stream goes on.
@pytest.mark.parametrize("faults", ENDS, ids=["whole", "ends before it", "reset behind it"])
async def test_event_without_a_number_comes_once_where_a_stream_goes_on(faults):
    async with edge_system.run_system(engines=2) as system:
        set_first_run_faults(system, **faults)
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
    assert (got.status, got.body, got.complete) == (200, whole_body("r1"), True)


# Guards against the same in the text of an item.
@pytest.mark.parametrize("faults", ENDS, ids=["whole", "ends before it", "reset behind it"])
async def test_event_without_a_number_stands_once_in_the_text_of_an_item(faults):
    async with edge_system.run_system(workers=1, engines=2) as system:
        set_first_run_faults(system, **faults)
        await system.submit("gateway-0", "job", {"item": b"note"})
        results = []
        with trio.fail_after(10):
            while not results:
                results = await system.results("gateway-0", "job", 0)
    text = f"{stream_engine.result_text('item', EVENTS)}\n{END_DATA.decode()}"
    assert results == [("item", text)]
