"""Selects which entries of a process's state to broadcast to its peers."""

from typing import Generic, TypeVar

import trio

# Full state is resent this often because datagrams may be lost.
BROADCAST_INTERVAL_S = 0.25
T = TypeVar("T")


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
