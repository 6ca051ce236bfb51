"""Whether a stream has ended where a response without framing does.

What ends the connection need not be the upstream: a balancer or an address translation on the path
may give it up, and an upstream may break off one response and go on running. So the upstream is
asked for what follows the last event. A reply without an event shows nothing, as a broken path
brings that too: the upstream is then asked for the last events again, and the stream has ended if
the reply brings these and nothing after them. The second question does not replace the first, as
an upstream that breaks off each response after the same event would end both there.

An upstream that breaks off responses may by chance end the reply after the same event too. So one
that has done so is asked once more, from an earlier event.
"""

import enum

import msgspec

# Events that have to be brought again. A reply that is cut short after its first event brings one,
# as a whole one would if a single event were asked for.
OVERLAP_EVENTS = 2
# How long an upstream counts as one that breaks off responses after it was last seen to.
EARLY_END_MEMORY_S = 60.0


class Answer(enum.Enum):
    """What a reply tells about the end of a stream."""

    ENDED = "ended"
    MORE = "more"
    UNKNOWN = "unknown"


class Evidence:
    """What replies with the last events of a stream tell about its end.

    :param twice: whether the events have to be brought twice, from an earlier one the second time.
    :ivar last_event: number of the event after which the stream may have ended, 1 or more.
    :ivar ask_after: the event after which the upstream is asked next, 0 for the begin of the
        stream. A reply that ended before the last event is gone on with.
    :ivar last_brought: number of the last event that the current reply brought.
    """

    def __init__(self, last_event: int, *, twice: bool = False) -> None:
        self.last_event = last_event
        self._twice = twice
        self._in_order = True
        self._require(OVERLAP_EVENTS)
        self.last_brought = self.ask_after

    def _require(self, events: int) -> None:
        self.ask_after = max(0, self.last_event - events)
        self._missing = self.last_event - self.ask_after

    def begin_reply(self) -> None:
        """Begin with the next reply."""
        self.last_brought, self._in_order = self.ask_after, True

    def add_event(self, number: int | None) -> None:
        """Take the next event of a reply; one without a number tells nothing."""
        if number is None:
            return
        self._in_order = self._in_order and number == self.last_brought + 1
        if self._in_order:
            self.last_brought = number

    @property
    def goes_on(self) -> bool:
        """Whether the reply has brought more than the last event."""
        return self.last_brought > self.last_event

    @property
    def ends_early(self) -> bool:
        """Whether the reply has not brought the last event."""
        return self.last_brought < self.last_event

    def end_reply(self) -> Answer:
        """Return what the replies tell, now that one has ended.

        The stream has ended if replies that ended after the last event, not before, have brought
        as many events as overlap.
        """
        if not self._in_order:
            return Answer.UNKNOWN
        if self.goes_on:
            return Answer.MORE
        if self.ends_early:
            self.ask_after = self.last_brought
            return Answer.UNKNOWN
        self._missing -= self.last_brought - self.ask_after
        if self._missing <= 0 and self._twice:
            self._twice = False
            self._require(OVERLAP_EVENTS + 1)
        return Answer.ENDED if self._missing <= 0 else Answer.UNKNOWN


class EarlyEnds:
    """The starts of upstreams that broke off responses while they went on running."""

    def __init__(self) -> None:
        self._seen_s: dict[tuple[str, int], float] = {}

    def record(self, start: tuple[str, int], now_s: float) -> None:
        """Record that a start of an upstream broke off a response."""
        oldest_s = now_s - EARLY_END_MEMORY_S
        self._seen_s = {seen: at_s for seen, at_s in self._seen_s.items() if at_s >= oldest_s}
        self._seen_s[start] = now_s

    def includes(self, start: tuple[str, int], now_s: float) -> bool:
        """Return whether a start broke off a response lately."""
        return start in self._seen_s and self._seen_s[start] >= now_s - EARLY_END_MEMORY_S


class StreamEnd(msgspec.Struct):
    """What the responses to a request show of the end of its stream.

    :ivar ended_after: number of the event after which a response without framing ended.
    :ivar goes_on_after: number of the event after which a reply has brought more.
    """

    ended_after: int | None = None
    goes_on_after: int | None = None

    def has_ended_after(self, last_event: int | None) -> bool:
        """Return whether a response without framing ended after the last event."""
        return last_event is not None and self.ended_after == last_event

    def goes_on(self, last_event: int | None) -> bool:
        """Return whether more is known to follow the last event."""
        return last_event is not None and self.goes_on_after == last_event

    def may_be_whole(self, last_event: int | None) -> bool:
        """Return whether the caller may have all events: a response ended after the last one."""
        return self.has_ended_after(last_event) and not self.goes_on(last_event)

    def is_doubtful(self, asked_after: int | None, last_event: int | None) -> bool:
        """Return whether a response, asked for after an event, is no evidence of an end.

        One that brings nothing is none after another one had no framing and ended there.
        """
        return asked_after == last_event and self.has_ended_after(last_event)

    def is_asked_about(self, last_event: int | None) -> bool:
        """Record the end of a response without framing; return whether it has to be confirmed.

        :param last_event: ``None`` if the events have no numbers, so that nothing can be asked.
        """
        self.ended_after = last_event
        return bool(last_event)
