"""What replies with the last events of a stream tell about its end."""

import pytest

from cornelgrade.policy import stream_end

ENDED, MORE, UNKNOWN = stream_end.Answer.ENDED, stream_end.Answer.MORE, stream_end.Answer.UNKNOWN


# Guards against taking a reply for a confirmation that was cut short or brought other events.
@pytest.mark.parametrize(
    ("last_event", "replies", "answers"),
    [
        (5, [(4, 5)], [ENDED]),
        (5, [(4, 5, None)], [ENDED]),
        (5, [(4, 5, 6)], [MORE]),
        (5, [(), (4, 5)], [UNKNOWN, ENDED]),
        (5, [(4,), (5,), (5,)], [UNKNOWN, UNKNOWN, ENDED]),
        (5, [(4,), (5, 6)], [UNKNOWN, MORE]),
        (5, [(5,), (5, 6), (1, 2)], [UNKNOWN, UNKNOWN, UNKNOWN]),
        (5, [(4, 4, 5), (4, 6)], [UNKNOWN, UNKNOWN]),
        (1, [(), (1,)], [UNKNOWN, ENDED]),
        (2, [(1, 2)], [ENDED]),
        (2, [(1,), (2,), (), (2,)], [UNKNOWN, UNKNOWN, UNKNOWN, ENDED]),
    ],
)
def test_end_needs_the_last_events_again(last_event, replies, answers):
    evidence = stream_end.Evidence(last_event)
    found = []
    for events in replies:
        evidence.begin_reply()
        for number in events:
            evidence.add_event(number)
        found.append(evidence.end_reply())
    assert found == answers


# Guards against asking for what follows event 0, which an upstream may not read as the begin.
@pytest.mark.parametrize(("last_event", "asked_after"), [(1, 0), (2, 0), (3, 1), (30, 28)])
def test_last_two_events_are_asked_for(last_event, asked_after):
    assert stream_end.Evidence(last_event).ask_after == asked_after
