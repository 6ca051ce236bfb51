"""The service ``path_watch``: whether a connection ended alone or together with its path.

A response that has no framing and may run only once can't be asked for again. A second connection
to its upstream, on which nothing is sent, ends at the same moment if something on the path ended
both. All responses of one start of an upstream share it. What else this process sees end at an
upstream counts too: reports, and responses that were broken off visibly.
"""

import contextlib
import math
from collections.abc import Callable, Iterator

import msgspec
import trio

from cornelgrade import kernel, logs, routes
from cornelgrade.adapters import engine, http1
from cornelgrade.services.edge import path_ends

CONNECT_TIMEOUT_S = 0.25
# How long a request waits for the connection to open. It takes a few milliseconds.
OPEN_WAIT_S = 0.05
# Connections that end within this time have ended together. It is spent in looks at their state, so
# that a process that was paused meanwhile looks again before it decides.
SAME_MOMENT_S = 0.05
POLL_S = 0.005
SAME_MOMENT_POLLS = round(SAME_MOMENT_S / POLL_S)
# Failures of other calls are noticed by other tasks, maybe after they have read what had arrived.
FAILURE_MOMENT_S = 0.1
# An upstream that closes an idle connection sooner keeps none open.
MIN_IDLE_S = 1.0
# A connection that is open may still wait to be accepted, and then outlives what ends the path. Who
# has relayed a part of a response this long after it was opened has accepted it.
MIN_PROOF_S = 0.1
# How long a connection is kept for the next response once no response needs it.
KEEP_S = 3.0
# An upstream that closed two connections after the same time, up to this part of it, closes idle
# ones. Later ones are renewed sooner, so that no response ends by chance at that moment.
SAME_TIME_RATIO = 0.1
RENEWAL_RATIO = 0.5
# How long a service is expected to send responses without framing after one of its upstreams has.
UNFRAMED_MEMORY_S = 60.0
# While responses need a connection that can't be opened, it is tried again after this time.
RETRY_S = 0.25
# An upstream that has closed so many idle connections in a row sooner than MIN_IDLE_S keeps none.
MAX_SHORT_CONNECTIONS = 2
_log = logs.Logger("path_watch")
_Key = tuple[str, str, int]


class IdleConnection:
    """The idle connection to an upstream as seen by one response.

    :param response: the channel that carries the response. Its state is read when the idle
        connection ends, as the end of the response is noticed late behind a slow caller.
    """

    def __init__(self, standing: "_StandingConnection", response: http1.Channel) -> None:
        self._standing = standing
        self._response = response
        self._response_closed_s: float | None = None
        self._ended = False
        self._ended_with_idle = False

    async def wait_open(self) -> None:
        """Wait until the idle connection is open, for :data:`OPEN_WAIT_S` at most."""
        with trio.move_on_after(OPEN_WAIT_S):
            await self._standing.opened.wait()

    def record_end(self, *, idle_ended: bool) -> bool:
        """Record that another connection has ended; return whether the response has with it.

        :param idle_ended: whether the idle connection has ended, not one of another call.
        """
        if not self._ended and not self._response.is_open():
            self._ended = self._closed_for_s() <= FAILURE_MOMENT_S
            self._ended_with_idle = self._ended and idle_ended
        return self._ended

    def _closed_for_s(self) -> float:
        """Return for how long the response is known to have ended."""
        now_s = trio.current_time()
        if self._response_closed_s is None:
            self._response_closed_s = now_s
        return now_s - self._response_closed_s

    def has_ended(self) -> bool:
        """Return whether the path has ended with the response, which has ended."""
        return self._ended or self._standing.is_closed()

    def has_ended_with_idle(self) -> bool:
        """Return whether the path has ended as the idle connection shows, not only other calls."""
        return self._ended_with_idle or self._standing.is_closed()

    async def ends_soon(self) -> bool:
        """Return whether the path has ended together with the response, or does so soon."""
        self._closed_for_s()
        for _ in range(SAME_MOMENT_POLLS):
            if self.has_ended():
                return True
            await trio.sleep(POLL_S)
        return self.has_ended()

    def watched_s(self) -> float | None:
        """Return how long it was open when the last part of the response arrived.

        :returns: ``None`` if it was not, or not long enough to tell that it had been accepted.
        """
        opened_s = self._standing.opened_s
        if opened_s is None:
            return None
        open_s = self._response.last_received_s - opened_s
        return open_s if open_s >= MIN_PROOF_S else None


class _Ended(msgspec.Struct, frozen=True):
    """An idle connection that its peer, or something on the path, has closed."""

    lasted_s: float
    reset: bool

    @property
    def shows_path_end(self) -> bool:
        """Whether this is how paths end; upstreams close and reset young ones for other reasons."""
        return self.lasted_s >= (MIN_PROOF_S if self.reset else MIN_IDLE_S)


class _StandingConnection:
    """A connection to one start of an upstream on which nothing is sent.

    :ivar opened_s: when it was opened, on trio's clock; ``None`` while it isn't open.
    :ivar opened: set while it is open.
    """

    def __init__(self, up: routes.Upstream, ends: path_ends.PathEnds) -> None:
        self.opened_s: float | None = None
        self.opened = trio.Event()
        self.watching: set[IdleConnection] = set()
        self.is_running = False
        self._up = up
        self._path_ends = ends
        self._scope = trio.CancelScope()
        self._channel: http1.Channel | None = None
        self._renewal_s = math.inf
        self._lasted_s = 0.0
        self._short_connections = 0

    def is_closed(self) -> bool:
        """Return whether its peer has closed it, also if :meth:`run` hasn't noticed yet."""
        return self._channel is not None and not self._channel.is_open()

    def begin(self) -> None:
        """Let :meth:`run` go on until it is released."""
        self._scope = trio.CancelScope()
        self.is_running = True

    def hold(self) -> bool:
        """Keep it open; return whether it has not been given up yet."""
        self._scope.deadline = float("inf")
        return not self._scope.cancel_called

    def release(self) -> None:
        """Keep it open for the next response for a while."""
        self._scope.deadline = trio.current_time() + KEEP_S

    async def run(self) -> None:
        """Stay connected until it is given up, or the upstream keeps no idle connection."""
        try:
            with self._scope:
                while True:
                    ended = await self._stay_connected()
                    if ended is None:
                        await trio.sleep(RETRY_S)
                    elif ended.lasted_s < self._renewal_s:
                        if ended.shows_path_end:
                            self._path_ends.record_end(self._up, "idle connection closed")
                        if self._keeps_none(
                            ended.lasted_s, await self.tell_watching(idle_ended=True)
                        ):
                            return
                        self._learn_renewal(ended.lasted_s)
        finally:
            self.is_running = False

    def _keeps_none(self, lasted_s: float, response_ended: bool) -> bool:
        """Return whether the upstream is known to keep no idle connection open.

        A single one that was closed soon may have ended with its path.
        """
        is_short = lasted_s < MIN_IDLE_S and not response_ended
        self._short_connections = self._short_connections + 1 if is_short else 0
        return self._short_connections >= MAX_SHORT_CONNECTIONS

    def _learn_renewal(self, lasted_s: float) -> None:
        """Take into account how long a connection lasted until its peer closed it."""
        if abs(lasted_s - self._lasted_s) < SAME_TIME_RATIO * lasted_s:
            self._renewal_s = RENEWAL_RATIO * lasted_s
        self._lasted_s = lasted_s

    async def _stay_connected(self) -> _Ended | None:
        """Keep a connection open until it ends or is renewed, ``None`` if none could be opened."""
        try:
            with await http1.connect(self._up.address, CONNECT_TIMEOUT_S) as channel:
                self._channel, self.opened_s = channel, channel.opened_s
                self.opened.set()
                try:
                    reset = False
                    with trio.move_on_after(self._renewal_s):
                        reset = await channel.wait_closed()
                    return _Ended(trio.current_time() - channel.opened_s, reset)
                finally:
                    self._channel = self.opened_s = None
                    self.opened = trio.Event()
        except (engine.CallError, OSError) as exc:
            # Without it, a response counts as one that ended alone.
            _log.info("idle_connection_failed", upstream=self._up.name, error=repr(exc))
            return None

    async def tell_watching(self, *, idle_ended: bool = False) -> bool:
        """Return whether a response has ended with a connection that has, or does so soon.

        :param idle_ended: whether that was the idle connection, not one of another call.
        """
        ended = False
        for _ in range(SAME_MOMENT_POLLS):
            ended = self._record_ends(idle_ended) or ended
            await trio.sleep(POLL_S)
        return self._record_ends(idle_ended) or ended

    def _record_ends(self, idle_ended: bool) -> bool:
        return any([idle.record_end(idle_ended=idle_ended) for idle in self.watching])


class PathWatch:
    """Keeps an idle connection open to each upstream with responses that need it."""

    name = "path_watch"

    def __init__(self, kern: kernel.Kernel) -> None:
        self._nursery: trio.Nursery | None = None
        self._standing: dict[_Key, _StandingConnection] = {}
        self._unframed_s: dict[str, float] = {}
        self._path_ends = kern.find("path_ends", path_ends.PathEnds)
        self._path_ends.subscribe(self._tell_watching)

    async def run(self, started: Callable[[], None]) -> None:
        """Watch connections until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                started()
                await trio.sleep_forever()
        finally:
            self._nursery = None
            self._standing.clear()

    def record_head(self, service: str, head: http1.ResponseHead) -> None:
        """Record the head of a successful response of an upstream of a service."""
        if head.framing is http1.Framing.CONNECTION:
            self._unframed_s[service] = trio.current_time()
        else:
            self._unframed_s.setdefault(service, -math.inf)

    def expects_unframed(self, service: str) -> bool:
        """Return whether upstreams of a service may send responses without framing.

        They do if one has lately, or if none has responded yet.

        The idle connection is then opened before the request is sent, as a process that is paused
        may read a response long after its path has ended.
        """
        earliest_s = trio.current_time() - UNFRAMED_MEMORY_S
        return self._unframed_s.get(service, math.inf) >= earliest_s

    def _tell_watching(self, up: routes.Upstream) -> None:
        for (name, address, _), standing in self._standing.items():
            if (name, address) == (up.name, up.address) and self._nursery is not None:
                self._nursery.start_soon(standing.tell_watching)

    @contextlib.contextmanager
    def open_beside(self, up: routes.Upstream, response: http1.Channel) -> Iterator[IdleConnection]:
        """Keep an idle connection to the upstream of a response open within the context."""
        standing = self._hold(up)
        idle = IdleConnection(standing, response)
        standing.watching.add(idle)
        try:
            yield idle
        finally:
            standing.watching.discard(idle)
            if not standing.watching:
                standing.release()
                if not standing.is_running:
                    self._drop(up, standing)

    def _hold(self, up: routes.Upstream) -> _StandingConnection:
        """Return the connection to this start of an upstream; open it if need be."""
        key = (up.name, up.address, up.started_ms)
        standing = self._standing.get(key)
        if standing is None or (standing.is_running and not standing.hold()):
            standing = self._standing[key] = _StandingConnection(up, self._path_ends)
        if not standing.is_running and self._nursery is not None:
            standing.begin()
            self._nursery.start_soon(self._run_standing, up, standing)
        return standing

    async def _run_standing(self, up: routes.Upstream, standing: _StandingConnection) -> None:
        try:
            await standing.run()
        finally:
            if not standing.watching:
                self._drop(up, standing)

    def _drop(self, up: routes.Upstream, standing: _StandingConnection) -> None:
        key = (up.name, up.address, up.started_ms)
        if self._standing.get(key) is standing:
            del self._standing[key]
