"""Whether a stream has ended where a response without framing does.

What ends the connection need not be the upstream: a balancer or an address translation on the path
may give it up, and an upstream may break off one response and go on running. So the upstream is
asked once more for what follows the last event. The stream has ended if that brings none either.
"""

import msgspec


class StreamEnd(msgspec.Struct):
    """What the runs of a request show of the end of its stream.

    :ivar ended_after: number of the event after which a response ended.
    :ivar same_run: whether it did so in the run that goes on now, at one upstream. A response that
        another run broke off is no sign of an end, whatever this one brings.
    """

    ended_after: int | None = None
    same_run: bool = False

    def begin_run(self) -> None:
        """Begin a run at another upstream, or anew."""
        self.same_run = False

    def may_be_whole(self, last_event: int | None) -> bool:
        """Return whether the caller may have all events: a response ended after the last one."""
        return last_event is not None and self.ended_after == last_event

    def is_asked(self, last_event: int | None) -> bool:
        """Return whether an upstream is asked for what follows the end of its response.

        The reply may have no event. Events without a number are then no sign of more, as the caller
        may have had them before.
        """
        return self.same_run and self.may_be_whole(last_event)

    def record_end(self, last_event: int | None) -> bool:
        """Record that a response without framing ended after an event.

        :param last_event: ``None`` if the events have no numbers, so that nothing can be asked.
        :returns: whether the stream has ended there.
        """
        ended = last_event is None or self.is_asked(last_event)
        self.ended_after, self.same_run = last_event, True
        return ended
