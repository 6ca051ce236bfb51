"""Whether a stream has ended where a response without framing does.

What ends the connection need not be the upstream: a balancer or an address translation on the path
may give it up, and an upstream may break off one response and go on running. So the stream is asked
for once more, after its last event. It has ended if that brings no event either.
"""

import msgspec

from cornelgrade.policy import event_stream


class StreamEnd(msgspec.Struct):
    """What the responses to one request show of the end of its stream.

    :ivar ended_after: number of the event after which a response ended.
    :ivar in_event: whether a later event had begun when a response broke off, so that more are due.
    """

    ended_after: int | None = None
    in_event: bool = False

    def feed(self, new_events: bool, remainder: bytes) -> None:
        """Take what a part of a response brought.

        :param new_events: whether it completed events that follow the last one.
        :param remainder: its bytes after the last event.
        """
        begun = not event_stream.is_blank(remainder)
        self.in_event = begun or (self.in_event and not new_events)

    def is_asked(self, last_event: int | None) -> bool:
        """Return whether what follows an event is asked for, because a response ended there.

        Events without a number are then no sign of more: the caller may have had them before.
        """
        return last_event is not None and self.ended_after == last_event

    def may_be_empty(self, last_event: int | None) -> bool:
        """Return whether a response that goes on after an event may have no events."""
        return last_event is not None and not self.in_event

    def record_end(self, last_event: int | None) -> bool:
        """Record that a response without framing ended after an event.

        :param last_event: ``None`` if the events have no numbers, so that nothing can be asked.
        :returns: whether the stream has ended there.
        """
        ended = last_event is None or self.ended_after == last_event
        self.ended_after = last_event
        return ended
