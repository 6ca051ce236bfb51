"""The service ``outage_checks``: whether an upstream is down, or only this VM's links to it are.

A VM that has lost its links sees all its upstreams fail. Before one counts as crashed, another one
has to respond to this VM, or none of some peers may reach it, as in the indirect probes of SWIM.
"""

import random
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import kernel, logs, routes, settings
from cornelgrade.adapters import engine
from cornelgrade.policy import listed_runs
from cornelgrade.schema import messages
from cornelgrade.services.edge import (
    _notifier,
    fleet,
    path_ends,
    path_watch,
    peers,
    ports,
    upstream_limits,
    upstream_loads,
    upstream_notices,
)

# Other upstreams that are checked for one that doesn't respond.
CHECKED_UPSTREAMS = 2
# Peers that are asked, and how long for: they check the upstream themselves.
QUERIED_PEERS = 6
QUERY_WAIT_S = 0.4
# After a peer has reached an upstream that this VM doesn't, others are not asked about for so long.
CUT_OFF_S = 1.0
# A peer checks an upstream once for all that ask within this time.
REPLY_INTERVAL_S = 0.25
# The sign of an outage that is over.
RESTARTED = "restarted"
# How often an upstream is asked whether it still runs if it accepts connections without a response.
# A sound one may be silent for a second.
MAX_CHECKS = 3
CHECK_PAUSE_S = 0.1
# How long a start is asked for that is to go on with a stream: a report that is lost, and another
# one. Callers give up after 2 s without another event.
START_TIMEOUT_S = 0.8
# A report is as of some hundred ms ago, so that the first one after the end of a response often
# still lists its run. Two more are asked for meanwhile, each after this time.
MAX_RUN_CHECKS = 2
RUN_CHECK_PAUSE_S = 0.3
# A path that has ended may end again. For this time, a response that nothing watched long enough
# counts as ended with it.
UNTRUSTED_S = 1.0
_log = logs.Logger("outage_checks")


class _Check(msgspec.Struct, frozen=True):
    """What a check of an upstream has found.

    :param running: whether it runs without a restart.
    :param reached: whether it responded to this VM; else the result is that of peers.
    :param load: its report, ``None`` if it gave no usable one.
    """

    running: bool
    reached: bool = False
    load: ports.UpstreamLoad | None = None


class OutageChecks:
    """Checks upstreams after a failed call, and for peers that ask."""

    name = "outage_checks"

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.EdgeSettings, call_format: ports.CallFormat
    ) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peers = kern.find("peers", peers.Peers)
        self._limits = kern.find("upstream_limits", upstream_limits.UpstreamLimits)
        self._path_ends = kern.find("path_ends", path_ends.PathEnds)
        self._notices = upstream_notices.UpstreamNotices(kern, call_format)
        self._call_format = call_format
        self._rng = random.Random(cfg.vm)
        self._asking = trio.Lock()
        self._cut_off_until_s = -1.0
        self._responding: dict[str, float] = {}
        self._replied = _notifier.Notifier()
        self._checked_s: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        # Starts that are asked whether they run, and since when each has to have run.
        self._confirm_since_s: dict[tuple[str, int], float] = {}
        self._confirmed = _notifier.Notifier()

    async def run(self, started: Callable[[], None]) -> None:
        """Reply to peers and receive their replies until cancelled."""
        queries = self._peers.subscribe(messages.UpstreamQuery)
        replies = self._peers.subscribe(messages.UpstreamResponds)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._receive_queries, nursery, queries)
                nursery.start_soon(self._receive_replies, replies)
                started()
        finally:
            self._nursery = None

    async def find_outage(self, up: routes.Upstream) -> str | None:
        """Return the sign that an upstream is down or was restarted, ``None`` if it still runs."""
        try:
            return RESTARTED if await self._was_restarted(up) else None
        except engine.CallError as exc:
            return exc.format_message()

    async def is_running(self, up: routes.Upstream) -> bool:
        """Return whether an upstream has run without a restart since it was registered.

        An upstream that doesn't respond still runs if this VM has lost its links and a peer gets a
        response.
        """
        return (await self._check_running(up)).running

    async def _check_running(self, up: routes.Upstream) -> _Check:
        """Check whether an upstream runs, as :meth:`is_running`."""
        is_reached = False
        for _ in range(MAX_CHECKS):
            try:
                load = await self._fetch_load(up)
                if _tells_start(up, load):
                    return _Check(not _is_other_start(up, load), reached=True, load=load)
                is_reached = True
            except engine.CallError as exc:
                if exc.progress is engine.Progress.NOT_SENT and not exc.timed_out:
                    # A process that has ended refuses connections.
                    break
            await trio.sleep(CHECK_PAUSE_S)
        if is_reached or await self._reaches_another(up):
            return _Check(running=False, reached=is_reached)
        # Peers may reply with what they found so long ago.
        await trio.sleep(REPLY_INTERVAL_S)
        return _Check(await self._responds_to_peer(up))

    async def has_ended_alone(
        self,
        up: routes.Upstream,
        idle: path_watch.IdleConnection,
        received: listed_runs.Received | None = None,
    ) -> bool:
        """Return whether neither an upstream nor the path to it has ended with a response.

        :param idle: the idle connection to the upstream, beside that of the response.
        :param received: what the response has brought, if the upstream must not go on with it.
        """
        watched_s = idle.watched_s()
        check = _Check(running=False)
        ended = await idle.ends_soon() or (watched_s is None and self._is_untrusted(up))
        if not ended:
            check = await self._check_running(up)
            # What relayed the report has had time to end the idle connection too. What peers see
            # is no evidence of the path from here.
            ended = idle.has_ended() or (watched_s is None and not check.reached)
        _log.info(
            "response_end_checked",
            upstream=up.name,
            request=received.request if received is not None else "",
            watched_s=watched_s,
            path_ended=ended,
            running=check.running,
            reached=check.reached,
        )
        if ended:
            _log.info("path_ended", upstream=up.name, watched_s=watched_s)
            if idle.has_ended_with_idle():
                # A response that ended with connections of other calls is not recorded as an end of
                # its own, else each such response would make the next ones fail.
                self._path_ends.record_end(up, "a response and its path have ended")
            return False
        if watched_s is None:
            # Callers would never get a whole response from an upstream that keeps no connection on
            # which nothing is sent, so that what isn't watched passes.
            _log.info("path_unwatched", upstream=up.name)
        if not check.running or received is None:
            return check.running
        goes_on = await self._goes_on(up, received, check.load)
        if goes_on:
            _log.info("run_goes_on", upstream=up.name, request=received.request)
        return not goes_on

    def _is_untrusted(self, up: routes.Upstream) -> bool:
        """Return whether the path to an upstream has ended a moment ago."""
        return self._path_ends.has_ended_since(up, trio.current_time() - UNTRUSTED_S)

    async def _goes_on(
        self, up: routes.Upstream, received: listed_runs.Received, load: ports.UpstreamLoad | None
    ) -> bool:
        """Return whether an upstream is seen to go on with a run whose response has ended."""
        for _ in range(MAX_RUN_CHECKS):
            found = listed_runs.find(load.events_made if load else {}, received)
            if found is not listed_runs.Finding.LISTED:
                return found is listed_runs.Finding.CUT
            latest_s = trio.current_time() + RUN_CHECK_PAUSE_S + upstream_loads.LOAD_TIMEOUT_S
            if latest_s > received.until_s:
                # A whole response must not time out for this.
                return False
            await trio.sleep(RUN_CHECK_PAUSE_S)
            if not self._limits.try_take_for_poll(up):
                return False
            try:
                load = await upstream_loads.fetch_load(self._call_format, up, self._notices)
            except engine.CallError:
                return False
        return (
            listed_runs.find(load.events_made if load else {}, received) is listed_runs.Finding.CUT
        )

    def confirm_soon(self, up: routes.Upstream, since_s: float) -> None:
        """Ask an upstream in the background which start of it runs, unless it has told.

        One question serves all connections to this start that were opened before.

        :param since_s: when a connection to it was opened, on trio's clock.
        """
        start = (up.name, up.started_ms)
        if self._nursery is not None and start not in self._confirm_since_s:
            self._confirm_since_s[start] = since_s
            self._nursery.start_soon(self._confirm, up, start)
        elif start in self._confirm_since_s:
            self._confirm_since_s[start] = max(since_s, self._confirm_since_s[start])

    async def confirm(self, up: routes.Upstream, since_s: float, wait_s: float) -> None:
        """As :meth:`confirm_soon`, and wait for a while until it is told."""
        self.confirm_soon(up, since_s)
        start = (up.name, up.started_ms)
        with trio.move_on_after(wait_s):
            while start in self._confirm_since_s and not self._fleet.has_reported(up, since_s):
                await self._confirmed.wait()

    async def _confirm(self, up: routes.Upstream, start: tuple[str, int]) -> None:
        try:
            for _ in range(MAX_CHECKS):
                if not self._limits.try_take_for_poll(up):
                    return
                outage = await self.find_outage(up)
                self._confirmed.notify_all()
                has_reported = self._fleet.has_reported(up, self._confirm_since_s[start])
                if has_reported or outage == RESTARTED:
                    return
        finally:
            del self._confirm_since_s[start]
            self._confirmed.notify_all()

    async def check_version(self, up: routes.Upstream) -> None:
        """Check that an upstream with which a stream is to go on is of its registered version.

        :raises CallError: with progress ``NOT_SENT`` if it was restarted or doesn't respond.
        """
        if not up.started_ms:
            return
        doubt = await self.find_doubt(up, trio.current_time())
        if doubt is not None:
            raise engine.CallError(
                doubt, step="check version", peer=up.address, progress=engine.Progress.NOT_SENT
            )

    async def find_doubt(self, up: routes.Upstream, since_s: float) -> str | None:
        """Return why a start is not known to run, ``None`` once it has reported itself.

        It is asked again if a report is lost, or doesn't tell a start.

        :param since_s: when the connection to it was opened, on trio's clock.
        """
        with trio.move_on_after(START_TIMEOUT_S):
            for _ in range(MAX_CHECKS):
                try:
                    if await self._was_restarted(up):
                        return RESTARTED
                except engine.CallError as exc:
                    if exc.progress is engine.Progress.NOT_SENT and not exc.timed_out:
                        # A process that has ended refuses connections.
                        return exc.format_message()
                if self._fleet.has_reported(up, since_s):
                    return None
                await trio.sleep(CHECK_PAUSE_S)
        return "start is not confirmed"

    async def _was_restarted(self, up: routes.Upstream) -> bool:
        """Ask an upstream whether it was restarted since it was registered.

        :raises CallError: if it doesn't respond.
        """
        return _is_other_start(up, await self._fetch_load(up))

    async def _fetch_load(self, up: routes.Upstream) -> ports.UpstreamLoad | None:
        self._limits.take(up)
        return await upstream_loads.fetch_load(self._call_format, up, self._notices)

    async def is_cut_off(self, up: routes.Upstream) -> bool:
        """Return whether an upstream seems down only because this VM has lost its links."""
        async with self._asking:
            if await self._reaches_another(up):
                self._cut_off_until_s = -1.0
                return False
            if trio.current_time() < self._cut_off_until_s:
                return True
            if not await self._responds_to_peer(up):
                return False
            self._cut_off_until_s = trio.current_time() + CUT_OFF_S
            _log.warning("cut_off", upstream=up.name)
            return True

    async def _reaches_another(self, up: routes.Upstream) -> bool:
        """Return whether one of a few other upstreams of the service responds."""
        others = [
            reg.upstream
            for reg in self._fleet.usable_registrations()
            if reg.upstream.service == up.service and reg.upstream.name != up.name
        ]
        reached = False

        async def check(other: routes.Upstream) -> None:
            nonlocal reached
            if await self.find_outage(other) is None:
                reached = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for other in self._rng.sample(others, min(CHECKED_UPSTREAMS, len(others))):
                nursery.start_soon(check, other)
        return reached

    async def _responds_to_peer(self, up: routes.Upstream) -> bool:
        """Ask peers whether an upstream responds to them."""
        # A process that has just started has heard none of them yet.
        others = self._peers.other_vms()
        asked_s = trio.current_time()
        for vm in self._rng.sample(others, min(QUERIED_PEERS, len(others))):
            self._peers.send(vm, messages.UpstreamQuery(up.name, up.started_ms))
        with trio.move_on_after(QUERY_WAIT_S):
            while self._responding.get(up.name, -1.0) < asked_s:
                await self._replied.wait()
            return True
        return False

    async def _receive_queries(
        self,
        nursery: trio.Nursery,
        received: trio.MemoryReceiveChannel[messages.UpstreamQuery],
    ) -> None:
        async for query in received:
            nursery.start_soon(self._reply, query)

    async def _reply(self, query: messages.UpstreamQuery) -> None:
        """Tell a peer that an upstream responds, if it does and was not started anew."""
        registered = [reg.upstream for reg in self._fleet.usable_registrations()]
        up = next((up for up in registered if up.name == query.upstream), None)
        if up is None or up.started_ms != query.started_ms:
            return
        now_s = trio.current_time()
        if now_s - self._checked_s.get(up.name, -REPLY_INTERVAL_S) >= REPLY_INTERVAL_S:
            if not self._limits.try_take_for_poll(up) or await self.find_outage(up) is not None:
                return
            self._checked_s = {n: s for n, s in self._checked_s.items() if now_s - s < CUT_OFF_S}
            self._checked_s[up.name] = now_s
        self._peers.send(query.vm, messages.UpstreamResponds(up.name))

    async def _receive_replies(
        self, received: trio.MemoryReceiveChannel[messages.UpstreamResponds]
    ) -> None:
        async for reply in received:
            now_s = trio.current_time()
            self._responding = {n: s for n, s in self._responding.items() if now_s - s < CUT_OFF_S}
            self._responding[reply.upstream] = now_s
            self._replied.notify_all()


def _tells_start(up: routes.Upstream, load: ports.UpstreamLoad | None) -> bool:
    """Return whether a report tells which start runs, if its upstream tells any."""
    return not up.started_ms or (load is not None and load.started_ms != 0)


def _is_other_start(up: routes.Upstream, load: ports.UpstreamLoad | None) -> bool:
    """Return whether a load report is that of another start than the registered one."""
    if load is None or not up.started_ms:
        return False
    return load.started_ms not in (0, up.started_ms)
