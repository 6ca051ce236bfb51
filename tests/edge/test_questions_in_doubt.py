"""Questions for the last events of streams at upstreams that have broken off a response."""

import pytest
from tests.edge import test_unframed_responses

from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.policy import stream_end

EVENTS = test_unframed_responses.EVENTS


# Guards against failing whole streams of an upstream that has broken off one, because the questions
# that this adds take longer than all of them may.
@pytest.mark.parametrize("event_s", [0.1, 0.19, 0.25])
async def test_whole_stream_of_a_slow_upstream_in_doubt(monkeypatch, event_s):
    monkeypatch.setattr(stream_end.EarlyEnds, "includes", lambda self, start, now_s: True)
    async with edge_system.run_system(engines=1, event_s=event_s) as system:
        (eng,) = system.engines.values()
        eng.faults = stream_engine.Faults(unframed=True)
        got = await system.send_online("gateway-0", edge_system.RESUMABLE_PREFIX, "r1")
    assert (got.status, got.complete) == (200, True)
    assert got.body == stream_engine.response_body("r1", EVENTS)
