"""What a process tells the others now: what changed, and everything once a beat."""

from typing import Generic, TypeVar

import trio

# Everything that processes tell each other is told this often, so that some of it may be lost.
BROADCAST_INTERVAL_S = 0.25
T = TypeVar("T")


class BroadcastDelta(Generic[T]):
    """Remembers what was told last, by a name for each thing."""

    def __init__(self) -> None:
        self._last_sent: dict[str, T] = {}
        self._full_sent_s = -BROADCAST_INTERVAL_S

    def select_entries(self, current: dict[str, T]) -> tuple[dict[str, T], bool]:
        """Choose what to tell now, and whether that is everything.

        :param current: all that there is to tell.
        """
        now_s = trio.current_time()
        is_full = now_s - self._full_sent_s >= BROADCAST_INTERVAL_S
        if is_full:
            self._full_sent_s = now_s
        changed = {k: v for k, v in current.items() if is_full or self._last_sent.get(k) != v}
        self._last_sent = current
        return changed, is_full
