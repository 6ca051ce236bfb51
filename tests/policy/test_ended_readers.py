"""Which connections end when too much is buffered for clients that read slowly."""

import pytest

from cornelgrade.policy import slow_readers


# Guards against ending clients that read, or more of the others than is needed.
@pytest.mark.parametrize(
    ("excess", "ended"), [(0, ()), (1, (2,)), (100, (2,)), (101, (2, 1)), (1_000, (2, 1))]
)
def test_those_that_read_nothing_for_longest_are_ended_first(excess, ended):
    readers = [slow_readers.Reader(100, blocked_s) for blocked_s in (0.0, 1.0, 3.0, 0.4)]
    assert slow_readers.choose_ended(readers, excess) == ended
