"""What a list of runs shows of a response that has ended."""

import pytest

from cornelgrade.policy import listed_runs


# Guards against taking a list that lags, or one without the run, for a sign of a cut.
@pytest.mark.parametrize(
    ("made", "request_id", "last_event", "finding"),
    [
        ({"r1": 4}, "r1", 3, listed_runs.Finding.CUT),
        ({"r1": 3}, "r1", 3, listed_runs.Finding.LISTED),
        ({"r1": 0}, "r1", 3, listed_runs.Finding.LISTED),
        ({"r2": 9}, "r1", 3, listed_runs.Finding.NOTHING),
        ({}, "r1", 3, listed_runs.Finding.NOTHING),
        ({"r1": 4}, "r1", None, listed_runs.Finding.NOTHING),
        ({"": 4}, "", 3, listed_runs.Finding.NOTHING),
    ],
)
@pytest.mark.parametrize("unnumbered", [0, 1])
async def test_only_more_events_than_received_show_a_cut(
    made, request_id, last_event, finding, unnumbered
):
    received = listed_runs.Received(request_id, last_event=last_event)
    for _ in range(unnumbered):
        received.add_event(None)
    made = {name: count + unnumbered for name, count in made.items()}
    assert listed_runs.find(made, received) is finding
