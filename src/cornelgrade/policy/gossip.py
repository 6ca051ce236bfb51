"""A queue of updates piggybacked on other messages, each a bounded number of times."""

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
    """Holds the latest update of each key.

    :param limit: maximum number of updates; beyond it, the most often sent one is dropped.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._items: dict[Hashable, _QueuedUpdate[T]] = {}
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def put(self, key: Hashable, value: T, *, urgent: bool = True) -> None:
        """Add an update; urgent ones are taken first."""
        self._items[key] = _QueuedUpdate(value, urgent, -next(self._order))
        if len(self._items) > self._limit:
            del self._items[max(self._items, key=lambda k: self._send_priority(self._items[k]))]

    def take(self, room_bytes: int, size: Callable[[T], int], max_sends: int) -> tuple[T, ...]:
        """Return the least often sent updates that fit; drop those sent ``max_sends`` times."""
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
            if item.sends >= max_sends:
                del self._items[key]
        return tuple(chosen)

    @staticmethod
    def _send_priority(item: _QueuedUpdate[T]) -> tuple[bool, int, int]:
        return (not item.urgent, item.sends, item.order)
