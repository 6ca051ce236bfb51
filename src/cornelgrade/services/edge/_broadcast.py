"""Selects which entries of a process's state to broadcast to its peers."""

import dataclasses
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


@dataclasses.dataclass(slots=True)
class _Sent(Generic[T]):
    """What a receiver was sent last.

    :ivar repeated: whether it was sent twice.
    :ivar skipped: whether it was left out the last time.
    """

    value: T
    repeated: bool = False
    skipped: bool = False


class Repeats(Generic[T]):
    """Selects which receivers to send a state to, of all that are due.

    A changed state is sent, and once more the next time because datagrams may be lost; from then on
    only every second time. In a large fleet most receivers' states are unchanged.
    """

    def __init__(self) -> None:
        self._sent: dict[str, _Sent[T]] = {}

    def select_due(self, current: dict[str, T]) -> dict[str, T]:
        """Return what to send now.

        :param current: the states by receiver.
        """
        self._sent = {receiver: self._next(receiver, value) for receiver, value in current.items()}
        return {r: value for r, value in current.items() if not self._sent[r].skipped}

    def _next(self, receiver: str, value: T) -> _Sent[T]:
        last = self._sent.get(receiver)
        if last is None or last.value != value:
            return _Sent(value)
        return _Sent(value, repeated=True, skipped=last.repeated and not last.skipped)


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
