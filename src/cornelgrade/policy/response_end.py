"""Whether a response is complete where its body ends.

The framing of a body may end although the upstream broke the response off: a body with neither a
length nor chunks ends with its connection, which an upstream that crashes closes too.
"""

from typing import Protocol

import msgspec

from cornelgrade.policy import event_stream

_EVENT_STREAM = "text/event-stream"
_JSON = "application/json"


class BodyEnd(Protocol):
    """Follows a body and judges its end."""

    def feed(self, part: bytes) -> None:
        """Take the next part of the body."""

    def find_break(self) -> str:
        """Return why a body that ends here was broken off; empty if it may be complete."""


class _EventStreamEnd:
    """The end of a stream of events.

    :param may_be_empty: whether it may have no event; else the first one is looked for.
    """

    def __init__(self, *, may_be_empty: bool) -> None:
        self._first_events = None if may_be_empty else event_stream.EventSplitter()
        self._has_event = may_be_empty
        self._in_event = False
        self._tail = b""

    def feed(self, part: bytes) -> None:
        """Take the next part of the stream."""
        if not self._has_event:
            self._has_event = self._completes_event(part)
        buffer = self._tail + part
        after_event = event_stream.find_last_event_end(buffer)
        if after_event:
            self._in_event = False
        rest = buffer[after_event:]
        self._in_event = self._in_event or not event_stream.is_blank(rest)
        self._tail = rest[-event_stream.MAX_LINE_END_BYTES :]

    def find_break(self) -> str:
        """Return why the stream was broken off."""
        if self._in_event:
            return "stream ended in the middle of an event"
        if not self._has_event:
            return "stream ended before its first event"
        return ""

    def _completes_event(self, part: bytes) -> bool:
        """Return whether a part completes an event that is more than a comment."""
        if self._first_events is None:
            return False
        try:
            return any(not event.empty for event in self._first_events.feed(part))
        except event_stream.EventTooLongError:
            self._first_events = None
            return False


class _JsonEnd:
    """The end of a JSON document that only the end of the connection marks."""

    def __init__(self) -> None:
        self._body = bytearray()

    def feed(self, part: bytes) -> None:
        """Take the next part of the document."""
        self._body += part

    def find_break(self) -> str:
        """Return why the document was broken off."""
        try:
            msgspec.json.decode(self._body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return "JSON document ended early"
        except RecursionError:
            return "JSON document is nested too deeply to find its end"
        return ""


class AnyEnd:
    """The end of a body of which only the framing tells whether it is complete."""

    def feed(self, part: bytes) -> None:
        """Ignore the part."""

    def find_break(self) -> str:
        """Return that the body may be complete."""
        return ""


def is_event_stream(content_type: str) -> bool:
    """Return whether a body of this type is a stream of events."""
    return content_type.startswith(_EVENT_STREAM)


def follow_body(content_type: str, *, framed: bool, may_be_empty: bool = False) -> BodyEnd:
    """Return what judges the end of a body of this type.

    :param framed: whether more than the end of the connection marks the end of the body.
    :param may_be_empty: whether an unframed stream may have no event.
    """
    if is_event_stream(content_type):
        return _EventStreamEnd(may_be_empty=framed or may_be_empty)
    return AnyEnd()


def follow_json_body(content_type: str, *, framed: bool) -> BodyEnd:
    """As :func:`follow_body`, where the protocol says that JSON responses are one document."""
    if content_type.startswith(_JSON) and not framed:
        return _JsonEnd()
    return follow_body(content_type, framed=framed)


def is_end_marked(content_type: str, *, framed: bool) -> bool:
    """Return whether a body of this type shows by itself whether it is complete."""
    return framed or content_type.startswith(_JSON)
