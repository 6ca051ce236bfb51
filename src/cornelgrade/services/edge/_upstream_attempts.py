"""The outcomes of this VM's own requests to upstreams."""

import collections
from collections.abc import Callable, Iterable

from cornelgrade.adapters import engine
from cornelgrade.policy import outlier

MAX_SUCCESSES = 256
# Requests that are remembered to have succeeded.
MAX_SERVED = 1024
# Statuses that say that the upstream doesn't run the request, which is no failure of it.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MAY_HAVE_RUN = frozenset((engine.Progress.SENT, engine.Progress.PART_ANSWERED))


class Attempt:
    """One request at an upstream; tells its outcome once.

    :param settle: called with whether it failed, and whether by a broken connection.
    """

    def __init__(self, settle: Callable[[bool, bool], None]) -> None:
        self._settle: Callable[[bool, bool], None] | None = settle

    def record_status(self, status: int) -> None:
        """Record the status of the response, as soon as it is known."""
        if status >= 500 and status not in _NOT_RUN_STATUSES:
            self._tell(failed=True)

    def record_completion(self, status: int) -> None:
        """Record that the response is complete; one that rejects the request proves nothing."""
        self.record_status(status)
        if status < 400:
            self._tell(failed=False)

    def record_error(self, exc: engine.CallError) -> None:
        """Record a corrupted, truncated or broken response.

        Silent and unreachable upstreams, and those that crashed, are left to
        :mod:`cornelgrade.services.edge.upstream_reach`.
        """
        if exc.progress in _MAY_HAVE_RUN and not exc.timed_out:
            self._tell(failed=True, broken=True)

    def _tell(self, *, failed: bool, broken: bool = False) -> None:
        settle, self._settle = self._settle, None
        if settle is not None:
            settle(failed, broken)


class SuccessHistory:
    """The recent successes of a VM's requests, by upstream and by request."""

    def __init__(self) -> None:
        self._at_s: dict[outlier.Start, collections.deque[float]] = {}
        self._served: collections.OrderedDict[int, None] = collections.OrderedDict()

    def record(self, start: outlier.Start, request: int, now_s: float) -> None:
        """Record a success."""
        self._served[request] = None
        self._served.move_to_end(request)
        while len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        self._at_s.setdefault(start, collections.deque(maxlen=MAX_SUCCESSES)).append(now_s)

    def count(self, start: outlier.Start, now_s: float) -> int:
        """Return the number of successes at an upstream within the window."""
        return sum(now_s - at_s < outlier.WINDOW_S for at_s in self._at_s.get(start, ()))

    def was_served(self, request: int) -> bool:
        """Return whether a request succeeded lately at any upstream."""
        return request in self._served

    def keep_only(self, starts: Iterable[outlier.Start]) -> None:
        """Drop the successes at upstreams that left."""
        self._at_s = {start: self._at_s[start] for start in starts if start in self._at_s}
