"""Whole events out of a stream of server-sent events, however the bytes are cut into parts."""

import dataclasses

# Digits of the largest number: above any stream's length, below what is slow to read.
NUMBER_DIGITS = 15
_ID = b"id:"
_DATA = b"data:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    :param raw: its bytes with the blank line that ends it.
    :param number: its id, ``None`` if it has none or one that is no number.
    """

    raw: bytes
    number: int | None

    def data(self) -> bytes:
        """Give the event's data; several data lines are joined by line feeds."""
        lines = (line for line in self.raw.splitlines() if line.startswith(_DATA))
        return b"\n".join(line[len(_DATA) :].removeprefix(b" ") for line in lines)


class EventSplitter:
    """Collects parts and gives the events that are complete.

    :ivar rest: bytes of the event that is not complete yet.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, part: bytes) -> tuple[Event, ...]:
        """Take a part and give the events that it completes."""
        self.rest += part
        events = []
        while (end := _find_event_end(self.rest)) is not None:
            raw, self.rest = self.rest[:end], self.rest[end:]
            events.append(Event(raw, _parse_id(raw)))
        return tuple(events)


def _find_event_end(buffer: bytes) -> int | None:
    """Give the offset behind the first blank line."""
    ends = [at + len(mark) for mark in (b"\n\n", b"\r\n\r\n") if (at := buffer.find(mark)) >= 0]
    return min(ends, default=None)


def _parse_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() and len(text) <= NUMBER_DIGITS else None
    return None
