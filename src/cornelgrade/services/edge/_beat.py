"""What a process tells the others now: what changed, and everything once a beat."""

from typing import Generic, TypeVar

import trio

# Everything that processes tell each other is told this often, so that some of it may be lost.
BEAT_S = 0.25
T = TypeVar("T")


class Beat(Generic[T]):
    """Remembers what was told last, by a name for each thing."""

    def __init__(self) -> None:
        self._told: dict[str, T] = {}
        self._all_told_s = -BEAT_S

    def due(self, current: dict[str, T]) -> tuple[dict[str, T], bool]:
        """Choose what to tell now, and whether that is everything.

        :param current: all that there is to tell.
        """
        now_s = trio.current_time()
        everything = now_s - self._all_told_s >= BEAT_S
        if everything:
            self._all_told_s = now_s
        changed = {k: v for k, v in current.items() if everything or self._told.get(k) != v}
        self._told = current
        return changed, everything
