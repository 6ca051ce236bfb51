"""Splits a stream of server-sent events into events, wherever the chunks of bytes end."""

import re

import msgspec

# Enough for the ids of any stream; longer numbers are slow to parse.
MAX_ID_DIGITS = 15
# An event carries a few tokens; what is longer than this is no event.
MAX_EVENT_BYTES = 262_144
# A line ends with CR, LF or both.
MAX_LINE_END_BYTES = 2
_MAX_BLANK_LINE_BYTES = 2 * MAX_LINE_END_BYTES
MALFORMED_MESSAGE = "lines that belong to no event stream"
_LINE_END_BYTES = b"\r\n"
# Number of the first event of a stream, if it has one.
_FIRST_ID = 1
_BLANK_LINE = re.compile(rb"(?>\r\n|\r|\n){2}")
# A line is a comment, a field, or the bare name of a known field. A field that is not known is
# ignored, but its name is a word.
_LINE = rb"(?:[\w-]*:[^\r\n]*|data|id|event|retry)?(?:\r\n|\r|\n)"
_EVENT = re.compile(rb"(?:\xef\xbb\xbf)?(?:" + _LINE + rb")*+")
_KNOWN_LINES = re.compile(
    rb"(?:\xef\xbb\xbf)?(?:(?:(?:data|id|event|retry)?:[^\r\n]*|data|id|event|retry)?(?:\r\n|\r|\n))*+"
)
_ID = b"id:"
_DATA = b"data:"


class Event(msgspec.Struct, frozen=True):
    """A server-sent event.

    :param raw: its bytes, including the blank line that ends it.
    :param event_id: its id, ``None`` if it has none or one that is not a number.
    :param empty: whether it has neither data nor an id, like the comments that keep an idle
        connection open. It shows no progress.
    :param well_formed: whether each of its lines may be part of an event stream; the lines of a
        text or of the head of a response may not.
    """

    raw: bytes
    event_id: int | None
    empty: bool = False
    well_formed: bool = True

    def data(self) -> bytes:
        """Return the event's data, with several data lines joined by line feeds."""
        lines = (line for line in self.raw.splitlines() if line.startswith(_DATA))
        return b"\n".join(line[len(_DATA) :].removeprefix(b" ") for line in lines)


def is_new(event: Event, last_id: int | None) -> bool:
    """Return whether an event is none of those up to the last one; one without a number may be."""
    return event.event_id is None or last_id is None or event.event_id > last_id


class Repeats(msgspec.Struct):
    """Recognises the events of a response that earlier responses have brought.

    A response that is asked for after the last number brings again what followed that number.

    :ivar received: how many events without a number have followed the last number.
    :ivar due: how many of them the current response has yet to bring again.
    :ivar is_before: whether the current response is still before the last number.
    """

    received: int = 0
    due: int = 0
    is_before: bool = False

    def begin_response(self) -> None:
        """Begin with a response that is asked for after the last number."""
        self.due, self.is_before = self.received, False

    def is_new(self, event: Event, last_id: int | None) -> bool:
        """Take the next event of a response; return whether it has not come before."""
        if event.event_id is not None:
            self.is_before = last_id is not None and event.event_id < last_id
            return is_new(event, last_id)
        if self.is_before:
            return False
        is_due = self.due > 0
        self.due -= is_due
        return not is_due

    def add_new(self, event: Event) -> None:
        """Record that a new event was passed on or kept."""
        if event.event_id is not None:
            self.received = self.due = 0
        else:
            self.received += 1


def has_gap(event: Event, last_id: int | None) -> bool:
    """Return whether events are missing before an event.

    :param last_id: number of the last event before it, ``None`` at the begin of a stream.
    """
    next_id = _FIRST_ID if last_id is None else last_id + 1
    return event.event_id is not None and event.event_id > next_id


class EventTooLongError(ValueError):
    """An event does not end within :data:`MAX_EVENT_BYTES`."""


class EventSplitter:
    """Buffers chunks of a stream and returns complete events.

    Each byte is searched once, however small the chunks are.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """Bytes of the event that is not complete yet."""
        return bytes(self._buffer)

    def feed(self, chunk: bytes) -> tuple[Event, ...]:
        """Append a chunk and return the events that it completes.

        :raises EventTooLongError: if the event that is not complete yet is too long.
        """
        self._buffer += chunk
        events = []
        begin = 0
        # The blank line may have begun in the bytes that were searched before.
        search_from = max(0, self._searched - _MAX_BLANK_LINE_BYTES)
        while (found := _BLANK_LINE.search(self._buffer, search_from)) is not None:
            events.append(_parse_event(bytes(self._buffer[begin : found.end()])))
            begin = search_from = found.end()
        del self._buffer[:begin]
        self._searched = len(self._buffer)
        if self._searched > MAX_EVENT_BYTES:
            raise EventTooLongError(f"no event ends within {MAX_EVENT_BYTES} bytes")
        return tuple(events)


def find_last_event_end(buffer: bytes) -> int:
    """Return the offset after the last event in a part of a stream, 0 if no event ends there."""
    return max((found.end() for found in _BLANK_LINE.finditer(buffer)), default=0)


def is_blank(part: bytes) -> bool:
    """Return whether a part of a stream has nothing but line ends."""
    return not part.strip(_LINE_END_BYTES)


def belongs_to_stream(raw: bytes) -> bool:
    """Return whether bytes up to a blank line have lines of an event stream only.

    Fields that are not known may be those of a head that follows part of an event, if a blank line
    lies behind them.
    """
    lines = raw.lstrip(_LINE_END_BYTES)
    if _find_event_end(lines) in (None, len(lines)):
        return _EVENT.fullmatch(lines) is not None
    return _KNOWN_LINES.fullmatch(lines) is not None


def _find_event_end(buffer: bytes) -> int | None:
    """Return the offset after the first blank line."""
    found = _BLANK_LINE.search(buffer)
    return found.end() if found else None


def _parse_event(raw: bytes) -> Event:
    lines = raw.splitlines()
    ids = [line for line in lines if line.startswith(_ID)]
    empty = not ids and not any(line.startswith(_DATA) for line in lines)
    well_formed = _EVENT.fullmatch(raw) is not None
    return Event(raw, _parse_id(ids[0]) if ids else None, empty, well_formed)


def _parse_id(line: bytes) -> int | None:
    text = line[len(_ID) :].strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
