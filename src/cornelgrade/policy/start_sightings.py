"""When starts of upstreams were last seen to run.

A registration says what some start of an upstream was. That this start serves a connection is known
once it has reported itself later than the connection was opened: it then ran before and after.
"""

import collections

# More than the upstreams of which one process has streams or items at a time.
MAX_UPSTREAMS = 4096
# Those that streams and items of a process can be at: one that ended takes seconds to be back.
MAX_STARTS = 4


class StartSightings:
    """The last report of each of the latest starts of each upstream that this process received.

    A task may look for the report of its start only after the next start has reported itself.
    """

    def __init__(self) -> None:
        # By upstream, when each of its starts was asked for its last report.
        self._asked_s: collections.OrderedDict[str, dict[int, float]] = collections.OrderedDict()

    def record(self, upstream: str, started_ms: int, asked_s: float) -> None:
        """Record a report.

        :param started_ms: Unix time in milliseconds of the start that reported itself.
        :param asked_s: when it was asked. It ran then or later, as its report came after that.
        """
        starts = self._asked_s.setdefault(upstream, {})
        starts[started_ms] = max(asked_s, starts.get(started_ms, asked_s))
        if len(starts) > MAX_STARTS:
            del starts[min(starts, key=starts.__getitem__)]
        self._asked_s.move_to_end(upstream)
        while len(self._asked_s) > MAX_UPSTREAMS:
            self._asked_s.popitem(last=False)

    def was_seen(self, upstream: str, started_ms: int, since_s: float) -> bool:
        """Return whether a start was seen to run at a time or later."""
        asked_s = self._asked_s.get(upstream, {}).get(started_ms)
        return asked_s is not None and asked_s >= since_s
