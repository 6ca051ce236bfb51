"""How often a process tells its peers of changes, by the size of the fleet."""

import pytest

from cornelgrade.services.edge import _broadcast

MIN_PAUSE_S = 0.05


# Guards against SHORT by processor time: a worker that sends each change to each gateway does work
# that grows with the square of the fleet's size.
@pytest.mark.parametrize("receivers", [30, 70, 300, 1000])
def test_datagrams_of_changes_are_bounded_or_no_more_than_those_of_the_full_state(receivers):
    sent_per_s = receivers / _broadcast.pause_s(receivers, MIN_PAUSE_S)
    full_per_s = receivers / _broadcast.BROADCAST_INTERVAL_S
    assert sent_per_s <= max(_broadcast.MAX_DATAGRAMS_PER_S, full_per_s) * 1.001


@pytest.mark.parametrize("receivers", [0, 1, 6, 12])
def test_small_fleet_is_told_at_once(receivers):
    assert _broadcast.pause_s(receivers, MIN_PAUSE_S) == MIN_PAUSE_S


# Guards against work for states that don't change, which are most in a large fleet, and against a
# changed one that is sent only once: datagrams may be lost.
def test_unchanged_state_is_sent_twice_and_then_every_second_time():
    repeats = _broadcast.Repeats()
    states = [1, 1, 1, 1, 1, 2, 2, 2, 2]
    sent = ["worker" in repeats.select_due({"worker": state}) for state in states]
    assert sent == [True, True, False, True, False, True, True, False, True]


def test_receiver_that_was_left_out_is_sent_its_state_at_once():
    repeats = _broadcast.Repeats()
    for receivers in ({"a": 1, "b": 1}, {"a": 1, "b": 1}, {"a": 1}):
        repeats.select_due(receivers)
    assert repeats.select_due({"a": 1, "b": 1}) == {"a": 1, "b": 1}
    assert repeats.select_due({"a": 1, "b": 2}) == {"b": 2}
