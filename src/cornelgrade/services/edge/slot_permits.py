"""The service ``seats``: selects an upstream for each online request, or queues the request.

A gateway reports its outstanding requests at an upstream to the upstream's batch owner as soon as
the count changes, so that batch items are preempted. The owner replies with the requests of all
other gateways.
"""

import collections
import itertools
import random
from collections.abc import Callable
from types import TracebackType

import msgspec
import trio

from cornelgrade import errors, kernel, logs, routes, settings
from cornelgrade.policy import placement, rendezvous, software_versions
from cornelgrade.schema import messages
from cornelgrade.services.edge import (
    _notifier,
    _placement_metrics,
    fleet,
    peers,
    team_shares,
    upstream_limits,
    upstream_outliers,
    upstream_reach,
    upstream_view,
)

# Counts are resent this often because datagrams may be lost.
USE_BROADCAST_INTERVAL_S = 0.25
# How often the metrics of placement are sampled.
LOAD_METRICS_INTERVAL_S = 1.0
# Reports of other gateways' requests expire after four broadcasts.
REPORT_TTL_S = 1.0
# Limits on the upstreams that a gateway tracks, so that its messages stay bounded in a large fleet.
MAX_LOCAL_UPSTREAMS = 16
MAX_REMOTE_UPSTREAMS = 8
# Retry-After of a refusal: about the time in which an upstream completes a request.
RETRY_AFTER_S = 0.4
# Limits change, so no caller is told to stay away for longer.
MAX_RETRY_AFTER_S = 60.0
_MS_PER_S = 1000.0
_log = logs.Logger("seats")


class _Report(msgspec.Struct, frozen=True):
    others: int
    batch: int
    at_s: float


class SlotPermit:
    """Permission to send one request to an upstream; a context manager that releases it.

    :ivar candidate: the load by which the upstream was chosen.
    :ivar load_age_s: age of the report of others' requests, ``None`` if there was none.
    :ivar waited_s: how long the request waited for the permit.
    """

    def __init__(self, owner: "SlotPermits", assignment: "_Assignment", waited_s: float) -> None:
        self.upstream = assignment.upstream
        self.candidate = assignment.candidate
        self.load_age_s = assignment.load_age_s
        self.waited_s = waited_s
        self._owner = owner
        self._assignment = assignment
        self._took_s: float | None = None

    def __enter__(self) -> "SlotPermit":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._owner.release(self._assignment, took_s=self._took_s)

    def record_success(self) -> None:
        """Record that the upstream has completed a whole response, which shows its speed."""
        self._took_s = trio.current_time() - self._assignment.granted_s


class _Assignment(msgspec.Struct, frozen=True):
    upstream: routes.Upstream
    candidate: placement.Candidate
    load_age_s: float | None
    isolated: bool
    queue_entry: team_shares.QueueEntry
    granted_s: float


class _Waiter(msgspec.Struct):
    """A request that waits for a permit.

    :ivar retry_after_s: set if it is refused, because no rate limit allows it before its deadline.
    """

    service: str
    rank: int
    queue_entry: team_shares.QueueEntry
    arrival: int
    exclude: frozenset[str]
    deadline_s: float
    isolated: bool = False
    origin: software_versions.StreamOrigin | None = None
    repeatable: bool = False
    assignment: _Assignment | None = None
    retry_after_s: float | None = None
    wake: trio.Event = msgspec.field(default_factory=trio.Event)


class SlotPermits:
    """Counts requests at upstreams and queues those for which no upstream has room."""

    name = "seats"

    def __init__(self, kern: kernel.Kernel, cfg: settings.EdgeSettings) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._reach = kern.find("upstream_reach", upstream_reach.UpstreamReach)
        self._limits = kern.find("upstream_limits", upstream_limits.UpstreamLimits)
        self._outliers = kern.find("upstream_outliers", upstream_outliers.UpstreamOutliers)
        self._peers = kern.find("peers", peers.Peers)
        self._cfg = cfg
        self._metrics = _placement_metrics.PlacementMetrics()
        self._view = upstream_view.UpstreamView(self._peers, cfg)
        self._rng = random.Random(cfg.vm)
        self._outstanding: dict[str, int] = {}
        self._isolated: collections.Counter[str] = collections.Counter()
        self._reports: dict[str, _Report] = {}
        self._waiting: list[_Waiter] = []
        self._teams = team_shares.TeamShares(self._rng)
        self._services: dict[str, str] = {}
        self._arrival_numbers = itertools.count()

    async def run(self, started: Callable[[], None]) -> None:
        """Send and receive use counts until cancelled."""
        received = self._peers.subscribe(messages.Uses)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_uses, received)
            nursery.start_soon(self._broadcast_uses)
            nursery.start_soon(self._record_loads)
            nursery.start_soon(self._dispatch_on_change, self._fleet.changed)
            nursery.start_soon(self._dispatch_on_change, self._limits.changed)
            nursery.start_soon(self._dispatch_on_change, self._reach.changed)
            nursery.start_soon(self._dispatch_on_change, self._outliers.changed)
            started()

    async def acquire(
        self,
        service: str,
        rank: int,
        exclude: frozenset[str],
        max_wait_s: float,
        *,
        isolated: bool = False,
        origin: software_versions.StreamOrigin | None = None,
        repeatable: bool = False,
        team: str = "",
    ) -> SlotPermit:
        """Return a permit, waiting for one if necessary.

        Among waiting requests of equal rank, the team that has used the least slot time goes first.

        :param exclude: upstreams that already failed this request; used only as a last resort.
        :param isolated: avoid upstreams at which another isolated request has a permit.
        :param origin: what began a stream that goes on; others don't count as upstreams. Such a
            request goes before new ones of its rank, because few upstreams can serve it.
        :param repeatable: whether the request may run at another upstream if it fails.
        :param team: the team that it belongs to, empty if none.
        :raises Refusal: ``OVERLOADED`` if none is free in time, or at once if capacity is short and
            the team is over its fair share; ``UNAVAILABLE`` if there is no
            upstream at all.
        """
        started_s = trio.current_time()
        candidates = self._list_candidates(service, exclude, origin, repeatable)
        if not candidates:
            version = f" version {origin.version}" if origin else ""
            raise self._refusal(
                errors.Code.UNAVAILABLE, f"no upstream of {service}{version} is registered"
            )
        is_first_try = not exclude and origin is None
        if is_first_try and self._teams.should_refuse(service, team, self._occupancy(candidates)):
            raise self._refusal(errors.Code.OVERLOADED, f"team {team} is over its fair share")
        waiter = _Waiter(
            service,
            rank,
            self._teams.enqueue(service, team),
            next(self._arrival_numbers),
            exclude,
            started_s + max_wait_s,
            isolated,
            origin,
            repeatable,
        )
        self._waiting.append(waiter)
        self._waiting.sort(key=lambda w: (w.rank, w.origin is None, w.queue_entry.order, w.arrival))
        self._dispatch()
        try:
            with trio.move_on_after(max_wait_s):
                await waiter.wake.wait()
        except trio.Cancelled:
            self._abandon_wait(waiter)
            raise
        if waiter.assignment is None:
            self._teams.leave(waiter.queue_entry)
        if waiter.retry_after_s is not None:
            message = f"all upstreams of {service} are at their rate limits"
            raise self._refusal(errors.Code.OVERLOADED, message, waiter.retry_after_s)
        if waiter.assignment is None:
            self._waiting.remove(waiter)
            raise self._refusal(errors.Code.OVERLOADED, f"all upstreams of {service} are full")
        return SlotPermit(self, waiter.assignment, trio.current_time() - started_s)

    def _abandon_wait(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if waiter.assignment is not None:
            self.release(waiter.assignment)
        else:
            self._teams.leave(waiter.queue_entry)

    def release(self, assignment: _Assignment, took_s: float | None = None) -> None:
        """Release a permit.

        :param took_s: duration of a complete, successful response, if there was one.
        """
        upstream = assignment.upstream
        if assignment.isolated:
            self._isolated -= collections.Counter((upstream.name,))
        if took_s is not None:
            self._view.record_response(upstream.name, took_s)
        used_s = trio.current_time() - assignment.granted_s
        self._teams.end(assignment.queue_entry, upstream.name, used_s)
        self._change_outstanding(upstream, -1, took_s or 0.0)
        self._dispatch()

    def count_outstanding(self) -> int:
        """Return the number of requests that this VM has at upstreams."""
        return sum(self._outstanding.values())

    def can_go_on_elsewhere(
        self, origin: software_versions.StreamOrigin, exclude: frozenset[str]
    ) -> bool:
        """Return whether an upstream that isn't excluded could go on with a stream."""
        return any(
            software_versions.origin_at(reg.upstream) == origin and reg.upstream.name not in exclude
            for reg in self._fleet.usable_registrations()
        )

    def _list_candidates(
        self,
        service: str,
        exclude: frozenset[str],
        origin: software_versions.StreamOrigin | None,
        repeatable: bool,
    ) -> list[placement.Candidate]:
        now_s = trio.current_time()
        serving = [
            reg for reg in self._fleet.usable_registrations() if reg.upstream.service == service
        ]
        view = self._view.of_service(service, tuple(reg.upstream for reg in serving))
        registered = [
            reg for reg in serving if origin in (None, software_versions.origin_at(reg.upstream))
        ]
        healthy = [reg for reg in registered if not self._reach.is_suspect(reg.upstream.name)]
        untried = [reg for reg in healthy if reg.upstream.name not in exclude]
        candidates = [
            self._make_candidate(reg.upstream, bool(reg.suspect_until_s), now_s, view, repeatable)
            for reg in untried or healthy or registered
        ]
        return placement.list_offered(candidates)

    def _make_candidate(
        self,
        up: routes.Upstream,
        suspect: bool,
        now_s: float,
        view: upstream_view.View,
        repeatable: bool,
    ) -> placement.Candidate:
        report = self._reports.get(up.name)
        if report is not None and now_s - report.at_s > REPORT_TTL_S:
            report = None
        return placement.Candidate(
            name=up.name,
            slots=up.slots,
            local=up.failure_domain == self._cfg.failure_domain,
            own=self._outstanding.get(up.name, 0),
            others=report.others if report else 0,
            batch=report.batch if report else 0,
            suspect=suspect,
            has_allowance=self._limits.has_allowance(up),
            standing=self._outliers.standing(up, repeatable=repeatable),
            report_age=view.report_age(now_s - report.at_s if report else None),
            speed=view.speeds.relative[up.name],
            preference=view.preferences[up.name],
        )

    def _occupancy(self, candidates: list[placement.Candidate]) -> float:
        """Return the online requests at upstreams with a fresh report, per slot."""
        fresh_s = trio.current_time() - REPORT_TTL_S
        reported = [c for c in candidates if (r := self._reports.get(c.name)) and r.at_s >= fresh_s]
        return sum(c.online for c in reported) / max(1, sum(c.slots for c in reported))

    def _dispatch(self) -> None:
        asked: set[str] = set()
        for waiter in tuple(self._waiting):
            exclude = waiter.exclude | (set(self._isolated) if waiter.isolated else set())
            candidates = tuple(
                self._list_candidates(waiter.service, exclude, waiter.origin, waiter.repeatable)
            )
            if waiter.queue_entry.is_over_share:
                # Places behind a running request are left to the other teams.
                candidates = tuple(c for c in candidates if c.online < c.slots)
            remote_cost = self._cfg.remote_cost_requests
            chosen = placement.choose_upstream(candidates, self._rng, remote_cost)
            limited = placement.list_limited(candidates, chosen, remote_cost)
            self._request_allowance(limited, asked)
            if chosen is None:
                self._refuse_if_limited(waiter, candidates)
                continue
            waiter.assignment = self._assign(chosen, waiter)
            self._waiting.remove(waiter)
            self._teams.start(waiter.queue_entry, chosen.name)
            if waiter.isolated:
                self._isolated[chosen.name] += 1
            self._limits.take(waiter.assignment.upstream)
            self._outliers.take_trial(waiter.assignment.upstream)
            self._change_outstanding(waiter.assignment.upstream, 1)
            waiter.wake.set()

    def _request_allowance(self, limited: tuple[placement.Candidate, ...], asked: set[str]) -> None:
        """Ask for a token of the best upstream that may have one.

        :param asked: upstreams of which a token is due to another waiting request; extended.
        """
        for candidate in limited:
            if candidate.name in asked:
                continue
            if self._limits.request_allowance(self._find_upstream(candidate)):
                asked.add(candidate.name)
                return

    def _refuse_if_limited(
        self, waiter: _Waiter, candidates: tuple[placement.Candidate, ...]
    ) -> None:
        """Refuse a request at once if rate limits leave no room for it before its deadline."""
        if not placement.are_all_limited(candidates):
            return
        upstreams = [self._find_upstream(candidate) for candidate in candidates]
        wait_s = min(map(self._limits.shortest_wait_s, upstreams))
        if trio.current_time() + wait_s > waiter.deadline_s:
            expected_s = min(map(self._limits.expected_wait_s, upstreams))
            waiter.retry_after_s = min(max(expected_s, RETRY_AFTER_S), MAX_RETRY_AFTER_S)
            self._waiting.remove(waiter)
            waiter.wake.set()

    def _find_upstream(self, candidate: placement.Candidate) -> routes.Upstream:
        registered = (reg.upstream for reg in self._fleet.usable_registrations())
        return next(up for up in registered if up.name == candidate.name)

    def _assign(self, candidate: placement.Candidate, waiter: _Waiter) -> _Assignment:
        report = self._reports.get(candidate.name)
        now_s = trio.current_time()
        age_s = now_s - report.at_s if report else None
        self._metrics.record_choice(age_s)
        return _Assignment(
            self._find_upstream(candidate),
            candidate,
            age_s,
            waiter.isolated,
            waiter.queue_entry,
            now_s,
        )

    def _change_outstanding(
        self, upstream: routes.Upstream, change: int, took_s: float = 0.0
    ) -> None:
        count = self._outstanding.get(upstream.name, 0) + change
        if count:
            self._outstanding[upstream.name] = count
        else:
            self._outstanding.pop(upstream.name, None)
        took_ms = round(took_s * _MS_PER_S)
        message = messages.Uses((self._teams.make_use(upstream.name, count, took_ms),))
        for owner in self._peers.batch_owners(upstream.name, upstream.failure_domain):
            self._peers.send(owner, message)

    def _tracked_upstreams(self) -> list[routes.Upstream]:
        """Return the upstreams whose load this gateway tracks: a bounded number."""
        registered = [reg.upstream for reg in self._fleet.usable_registrations()]
        ranked = sorted(registered, key=lambda up: rendezvous.score(up.name, self._cfg.vm))
        local_upstreams = [up for up in ranked if up.failure_domain == self._cfg.failure_domain]
        remote_upstreams = [up for up in ranked if up.failure_domain != self._cfg.failure_domain]
        return local_upstreams[:MAX_LOCAL_UPSTREAMS] + remote_upstreams[:MAX_REMOTE_UPSTREAMS]

    async def _broadcast_uses(self) -> None:
        while True:
            unresponsive = set(self._peers.broadcast_targets(peers.Role.WORKER))
            unresponsive -= set(self._peers.live_vms(peers.Role.WORKER))
            uses_by_vm: dict[str, list[messages.UpstreamUse]] = {vm: [] for vm in unresponsive}
            for up in self._tracked_upstreams():
                use = self._teams.make_use(up.name, self._outstanding.get(up.name, 0))
                for owner in self._peers.batch_owners(up.name, up.failure_domain):
                    uses_by_vm.setdefault(owner, []).append(use)
            for vm, uses in uses_by_vm.items():
                for message in team_shares.split_uses(uses):
                    self._peers.send(vm, message)
            await trio.sleep(USE_BROADCAST_INTERVAL_S)

    async def _record_loads(self) -> None:
        while True:
            self._record_loads_once()
            await trio.sleep(LOAD_METRICS_INTERVAL_S)

    def _record_loads_once(self) -> None:
        for service in {reg.upstream.service for reg in self._fleet.usable_registrations()}:
            candidates = self._list_candidates(service, frozenset(), None, repeatable=False)
            queued = sum(1 for waiter in self._waiting if waiter.service == service)
            self._metrics.record_loads(service, tuple(candidates), queued)

    async def _receive_uses(self, received: trio.MemoryReceiveChannel[messages.Uses]) -> None:
        async for message in received:
            now_s = trio.current_time()
            self._teams.apply_report(message, self._find_service)
            for use in message.uses:
                self._reports[use.upstream] = _Report(use.online, use.batch, now_s)
                if use.took_ms:
                    self._view.record_report(use.upstream, use.took_ms / _MS_PER_S)
            self._dispatch()

    def _find_service(self, upstream: str) -> str | None:
        """Return an upstream's service, which never changes, if it is registered."""
        if upstream not in self._services:
            registered = self._fleet.usable_registrations()
            self._services = {reg.upstream.name: reg.upstream.service for reg in registered}
        return self._services.get(upstream)

    async def _dispatch_on_change(self, changed: _notifier.Notifier) -> None:
        while True:
            await changed.wait()
            self._dispatch()

    @staticmethod
    def _refusal(
        code: errors.Code, message: str, retry_after_s: float = RETRY_AFTER_S
    ) -> errors.Refusal:
        return errors.Refusal(code, message, step="choose", retry_after_s=retry_after_s)
