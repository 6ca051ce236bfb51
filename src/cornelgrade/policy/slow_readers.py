"""Which connections to end when a process buffers too much for clients that read slowly."""

from collections.abc import Sequence

import msgspec

# A client that reads at all takes something within this time.
MIN_BLOCKED_S = 0.5


class Reader(msgspec.Struct, frozen=True):
    """A connection for which bytes are buffered.

    :param held_bytes: of its request and of the response that the client has not taken.
    :param blocked_s: how long the client has read nothing, 0 if nothing waits for it.
    """

    held_bytes: int
    blocked_s: float


def choose_ended(readers: Sequence[Reader], excess_bytes: int) -> tuple[int, ...]:
    """Return the positions of the connections to end so that ``excess_bytes`` are freed.

    Those come first whose clients have read nothing for the longest time, since nobody may be left
    to receive their responses. Clients that read are never ended, so less may be freed.
    """
    blocked = [n for n, reader in enumerate(readers) if reader.blocked_s >= MIN_BLOCKED_S]
    blocked.sort(key=lambda n: readers[n].blocked_s, reverse=True)
    chosen: list[int] = []
    for position in blocked:
        if excess_bytes <= 0:
            break
        chosen.append(position)
        excess_bytes -= readers[position].held_bytes
    return tuple(chosen)
