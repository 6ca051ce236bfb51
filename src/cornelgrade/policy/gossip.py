"""A queue of updates that ride along with other messages, each a bounded number of times."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclasses.dataclass(slots=True)
class _QueuedUpdate(Generic[T]):
    value: T
    urgent: bool
    order: int
    sends: int = 0


class Queue(Generic[T]):
    """Holds one update for each key; a newer one replaces the older.

    :param limit: most updates held; the most often sent ones go first when there are more.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._items: dict[Hashable, _QueuedUpdate[T]] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def put(self, key: Hashable, value: T, *, urgent: bool = True) -> None:
        """Queue an update; urgent ones are taken first."""
        self._items[key] = _QueuedUpdate(value, urgent, -next(self._order))
        if len(self._items) > self._limit:
            del self._items[max(self._items, key=lambda k: self._send_priority(self._items[k]))]

    def take(self, room_bytes: int, size: Callable[[T], int], sends: int) -> tuple[T, ...]:
        """Take the least often sent updates that fit, and drop those sent ``sends`` times."""
        chosen = []
        for key in heapq.nsmallest(
            32, self._items, key=lambda k: self._send_priority(self._items[k])
        ):
            item = self._items[key]
            room_bytes -= size(item.value)
            if room_bytes < 0:
                break
            chosen.append(item.value)
            item.sends += 1
            if item.sends >= sends:
                del self._items[key]
        return tuple(chosen)

    @staticmethod
    def _send_priority(item: _QueuedUpdate[T]) -> tuple[bool, int, int]:
        return (not item.urgent, item.sends, item.order)
