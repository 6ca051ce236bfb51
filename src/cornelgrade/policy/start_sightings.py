"""When starts of upstreams were last seen to run.

A registration says what some start of an upstream was. That this start serves a connection is known
once it has reported itself later than the connection was opened: it then ran before and after.
"""

import collections

import msgspec

# More than the upstreams of which one process has streams or items at a time.
MAX_UPSTREAMS = 4096


class _Sighting(msgspec.Struct, frozen=True):
    started_ms: int
    asked_s: float


class StartSightings:
    """The last report of each upstream that this process has received."""

    def __init__(self) -> None:
        self._last: collections.OrderedDict[str, _Sighting] = collections.OrderedDict()

    def record(self, upstream: str, started_ms: int, asked_s: float) -> None:
        """Record a report.

        :param started_ms: Unix time in milliseconds of the start that reported itself.
        :param asked_s: when it was asked. It ran then or later, as its report came after that.
        """
        known = self._last.get(upstream)
        if known is not None and known.asked_s > asked_s:
            return
        self._last[upstream] = _Sighting(started_ms, asked_s)
        self._last.move_to_end(upstream)
        while len(self._last) > MAX_UPSTREAMS:
            self._last.popitem(last=False)

    def was_seen(self, upstream: str, started_ms: int, since_s: float) -> bool:
        """Return whether a start was seen to run at a time or later."""
        known = self._last.get(upstream)
        return known is not None and known.started_ms == started_ms and known.asked_s >= since_s
