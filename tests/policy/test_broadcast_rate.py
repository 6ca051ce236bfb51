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
