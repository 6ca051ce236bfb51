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


# Guards against believing an upstream that breaks off responses after a single reply.
@pytest.mark.parametrize(
    ("last_event", "replies", "answers", "asked_after"),
    [
        (5, [(4, 5), (3, 4, 5)], [UNKNOWN, ENDED], [3, 2]),
        (5, [(4, 5), (3, 4, 5, 6)], [UNKNOWN, MORE], [3, 2]),
        (5, [(4, 5), (3,), (4, 5), (4, 5)], [UNKNOWN] * 3 + [ENDED], [3, 2, 3, 3]),
        (1, [(1,), (1, 2)], [UNKNOWN, MORE], [0, 0]),
    ],
)
def test_end_is_confirmed_twice_in_doubt(last_event, replies, answers, asked_after):
    evidence = stream_end.Evidence(last_event, twice=True)
    found, asked = [], []
    for events in replies:
        evidence.begin_reply()
        asked.append(evidence.ask_after)
        for number in events:
            evidence.add_event(number)
        found.append(evidence.end_reply())
    assert (found, asked) == (answers, asked_after)


# Guards against doubting an upstream for ever, or another start of it.
def test_early_ends_are_forgotten():
    ends = stream_end.EarlyEnds()
    ends.record(("engine-0", 1), 0.0)
    ends.record(("engine-1", 1), stream_end.EARLY_END_MEMORY_S - 1)
    known = [("engine-0", 1), ("engine-0", 2), ("engine-1", 1)]
    for now_s, doubted in ((1.0, {0, 2}), (stream_end.EARLY_END_MEMORY_S + 1, {2})):
        assert [ends.includes(start, now_s) for start in known] == [i in doubted for i in range(3)]


# Guards against asking for what follows event 0, which an upstream may not read as the begin.
@pytest.mark.parametrize(("last_event", "asked_after"), [(1, 0), (2, 0), (3, 1), (30, 28)])
def test_last_two_events_are_asked_for(last_event, asked_after):
    assert stream_end.Evidence(last_event).ask_after == asked_after
