"""Selects which entries of a process's state to broadcast to its peers."""

from typing import Generic, TypeVar

import trio

# Full state is resent this often because datagrams may be lost.
BROADCAST_INTERVAL_S = 0.25
# Limits a process's datagrams about changes. Each receiver gets them less often the more there are,
# down to the interval of the full state; otherwise the work of a process grows with the square of
# the fleet's size, as a larger fleet has more receivers and more changes.
MAX_DATAGRAMS_PER_S = 300.0
T = TypeVar("T")


def pause_s(receivers: int, min_pause_s: float) -> float:
    """Return how long to wait before the next change is sent, in seconds.

    :param receivers: number of processes that are sent changes.
    :param min_pause_s: pause in a small fleet.
    """
    return min(BROADCAST_INTERVAL_S, max(min_pause_s, receivers / MAX_DATAGRAMS_PER_S))


class BroadcastDelta(Generic[T]):
    """Remembers the entries that were broadcast last, by key."""

    def __init__(self) -> None:
        self._last_sent: dict[str, T] = {}
        self._full_sent_s = -BROADCAST_INTERVAL_S

    def select_entries(self, current: dict[str, T]) -> tuple[dict[str, T], bool]:
        """Return the entries to send now and whether they are the full state.

        :param current: all entries of the state.
        """
        now_s = trio.current_time()
        is_full = now_s - self._full_sent_s >= BROADCAST_INTERVAL_S
        if is_full:
            self._full_sent_s = now_s
        changed = {k: v for k, v in current.items() if is_full or self._last_sent.get(k) != v}
        self._last_sent = current
        return changed, is_full
