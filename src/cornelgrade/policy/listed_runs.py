"""What an upstream's list of runs shows of the end of a response.

An upstream that goes on with a request after its response has ended has not ended that response.
The list lags, so that it still names runs that have ended. It shows a cut only by a run that has
made more events than the response brought: a run that has ended made none after the last one.
"""

import enum
import math

import msgspec


class Received(msgspec.Struct):
    """What a response has brought.

    :ivar request: id of the request; empty if it has none.
    :ivar until_s: when the request times out, on the clock of the caller.
    :ivar last_event: number of the last event, ``None`` before the first one with a number.
    :ivar unnumbered: how many events without a number it has brought; a list may count them.
    """

    request: str
    until_s: float = math.inf
    last_event: int | None = None
    unnumbered: int = 0

    def add_event(self, number: int | None) -> None:
        """Take the next event."""
        if number is None:
            self.unnumbered += 1
        else:
            self.last_event = number


class Finding(enum.Enum):
    """What a list shows of a run whose response has ended.

    ``NOTHING``: the run isn't listed, or can't be told from others.
    ``LISTED``: it goes on, or had not ended when the list was made.
    ``CUT``: it goes on.
    """

    NOTHING = "nothing"
    LISTED = "listed"
    CUT = "cut"


def find(events_made: dict[str, int], received: Received) -> Finding:
    """Compare a list of runs with what the response of one of them has brought.

    :param events_made: number of events of each run that is listed, by the id of its request.
    """
    made = events_made.get(received.request) if received.request else None
    if made is None or received.last_event is None:
        return Finding.NOTHING
    is_cut = made > received.last_event + received.unnumbered
    return Finding.CUT if is_cut else Finding.LISTED
