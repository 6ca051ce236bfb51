"""The service ``seats``: which upstream a gateway's next online request goes to, or that it waits.

A gateway tells an upstream's batch owner how many requests it has there, at once when that
changes, so that batch gives way; the owner answers with everybody else's.
"""

import dataclasses
import itertools
import random
from collections.abc import Callable
from types import TracebackType

import trio

from cornelgrade import errors, kernel, logs, routes, settings
from cornelgrade.adapters import engine
from cornelgrade.policy import placement, rendezvous
from cornelgrade.schema import messages
from cornelgrade.services.edge import fleet, peers, ports, upstream_loads

# A lost datagram is made up for after this long.
REFRESH_S = 0.25
# Figures of others that are older than this are not used: four refreshes.
STALE_S = 1.0
# Upstreams that a gateway considers at once, so that its messages stay bounded in a large fleet.
NEAR_UPSTREAMS = 16
FAR_UPSTREAMS = 8
# A suspect upstream is asked again after this pause: a short outage costs little capacity.
PROBE_S = 0.25
# When to come back after a refusal: about the time in which an upstream ends a request.
RETRY_AFTER_S = 0.4
_log = logs.Logger("seats")


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    others: int
    batch: int
    at_s: float


class Seat:
    """A place at an upstream; a context manager that gives it back.

    :ivar seen: what the choice went by.
    :ivar load_age_s: age of what it knew of others' requests, ``None`` if it knew nothing.
    :ivar waited_s: how long it took to get free.
    """

    def __init__(self, owner: "Seats", found: "_Found", waited_s: float) -> None:
        self.upstream = found.upstream
        self.seen = found.seen
        self.load_age_s = found.load_age_s
        self.waited_s = waited_s
        self._owner = owner

    def __enter__(self) -> "Seat":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._owner.give_back(self.upstream)


@dataclasses.dataclass(frozen=True, slots=True)
class _Found:
    upstream: routes.Upstream
    seen: placement.Seen
    load_age_s: float | None


@dataclasses.dataclass(slots=True)
class _Waiter:
    service: str
    rank: int
    number: int
    exclude: frozenset[str]
    found: _Found | None = None
    wake: trio.Event = dataclasses.field(default_factory=trio.Event)


class Seats:
    """Counts requests at upstreams and lets those that find no room wait in order."""

    name = "seats"

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.EdgeSettings, calls: ports.CallFormat
    ) -> None:
        self._fleet = kern.find("fleet", fleet.Fleet)
        self._peers = kern.find("peers", peers.Peers)
        self._cfg = cfg
        self._calls = calls
        self._rng = random.Random(cfg.vm)
        self._own: dict[str, int] = {}
        self._reports: dict[str, _Report] = {}
        self._suspects: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()

    async def run(self, started: Callable[[], None]) -> None:
        """Tell and hear uses until cancelled."""
        heard = self._peers.subscribe(messages.Uses)
        async with trio.open_nursery() as self._nursery:
            nursery = self._nursery
            nursery.start_soon(self._hear, heard)
            nursery.start_soon(self._refresh)
            nursery.start_soon(self._on_change)
            started()

    async def take(
        self, service: str, rank: int, exclude: frozenset[str], longest_wait_s: float
    ) -> Seat:
        """Give a place, at once if there is one.

        :param exclude: upstreams that already failed this request; used if there are no others.
        :raises Refusal: ``OVERLOADED`` if none gets free in time, ``UNAVAILABLE`` if there is no
            upstream at all.
        """
        begun_s = trio.current_time()
        waiter = _Waiter(service, rank, next(self._numbers), exclude)
        if not self._candidates(service, exclude):
            raise self._refusal(errors.Code.UNAVAILABLE, f"no upstream of {service}")
        self._waiting.append(waiter)
        self._waiting.sort(key=lambda w: (w.rank, w.number))
        self._dispatch()
        try:
            with trio.move_on_after(longest_wait_s):
                await waiter.wake.wait()
        except trio.Cancelled:
            self._leave(waiter)
            raise
        if waiter.found is None:
            self._waiting.remove(waiter)
            raise self._refusal(errors.Code.OVERLOADED, f"no room at {service}")
        return Seat(self, waiter.found, trio.current_time() - begun_s)

    def _leave(self, waiter: _Waiter) -> None:
        if waiter.found is None:
            self._waiting.remove(waiter)
        else:
            self.give_back(waiter.found.upstream)

    def give_back(self, upstream: routes.Upstream) -> None:
        """Free a place."""
        self._count(upstream, -1)
        self._dispatch()

    def failed(self, upstream: routes.Upstream, reason: str) -> None:
        """Note that an upstream could not be reached or fell silent: it gets no new requests.

        From then on it is asked for its load until it answers, so that no request has to try it.
        """
        if upstream.name in self._suspects or self._nursery is None:
            return
        self._suspects.add(upstream.name)
        _log.warning("upstream_suspect", upstream=upstream.name, reason=reason)
        self._nursery.start_soon(self._probe, upstream)

    async def _probe(self, upstream: routes.Upstream) -> None:
        since_s = trio.current_time()
        while any(reg.upstream == upstream for reg in self._fleet.upstreams()):
            await trio.sleep(PROBE_S)
            try:
                await upstream_loads.ask(self._calls, upstream)
                break
            except engine.CallError as exc:
                _log.debug("upstream_silent", upstream=upstream.name, error=exc.format_message())
        self._suspects.discard(upstream.name)
        suspect_s = trio.current_time() - since_s
        _log.info("upstream_trusted", upstream=upstream.name, suspect_s=suspect_s)
        self._dispatch()

    def _candidates(self, service: str, exclude: frozenset[str]) -> list[placement.Seen]:
        now_s = trio.current_time()
        known = [reg for reg in self._fleet.upstreams() if reg.upstream.service == service]
        sound = [reg for reg in known if reg.upstream.name not in self._suspects]
        fresh = [reg for reg in sound if reg.upstream.name not in exclude]
        return [
            self._seen(reg.upstream, bool(reg.doubted_until_s), now_s)
            for reg in fresh or sound or known
        ]

    def _seen(self, up: routes.Upstream, doubtful: bool, now_s: float) -> placement.Seen:
        report = self._reports.get(up.name)
        if report is not None and now_s - report.at_s > STALE_S:
            report = None
        return placement.Seen(
            name=up.name,
            slots=up.slots,
            local=up.failure_domain == self._cfg.failure_domain,
            own=self._own.get(up.name, 0),
            others=report.others if report else 0,
            batch=report.batch if report else 0,
            doubtful=doubtful,
        )

    def _dispatch(self) -> None:
        for waiter in tuple(self._waiting):
            candidates = self._candidates(waiter.service, waiter.exclude)
            chosen = placement.choose(tuple(candidates), self._rng)
            if chosen is None:
                continue
            waiter.found = self._found(chosen)
            self._waiting.remove(waiter)
            self._count(waiter.found.upstream, 1)
            waiter.wake.set()

    def _found(self, seen: placement.Seen) -> _Found:
        known = (reg.upstream for reg in self._fleet.upstreams())
        upstream = next(up for up in known if up.name == seen.name)
        report = self._reports.get(seen.name)
        age_s = trio.current_time() - report.at_s if report else None
        return _Found(upstream, seen, age_s)

    def _count(self, upstream: routes.Upstream, change: int) -> None:
        count = self._own.get(upstream.name, 0) + change
        if count:
            self._own[upstream.name] = count
        else:
            self._own.pop(upstream.name, None)
        told = messages.Uses((messages.UpstreamUse(upstream.name, count),))
        for owner in self._peers.batch_owners(upstream.name, upstream.failure_domain):
            self._peers.send(owner, told)

    def _considered(self) -> list[routes.Upstream]:
        """Give the upstreams whose load this gateway wants to know: a bounded number."""
        known = [reg.upstream for reg in self._fleet.upstreams()]
        ranked = sorted(known, key=lambda up: rendezvous.score(up.name, self._cfg.vm))
        near = [up for up in ranked if up.failure_domain == self._cfg.failure_domain]
        far = [up for up in ranked if up.failure_domain != self._cfg.failure_domain]
        return near[:NEAR_UPSTREAMS] + far[:FAR_UPSTREAMS]

    async def _refresh(self) -> None:
        while True:
            silent = set(self._peers.audience(peers.Role.WORKER))
            silent -= set(self._peers.live_vms(peers.Role.WORKER))
            told: dict[str, list[messages.UpstreamUse]] = {vm: [] for vm in silent}
            for up in self._considered():
                use = messages.UpstreamUse(up.name, self._own.get(up.name, 0))
                for owner in self._peers.batch_owners(up.name, up.failure_domain):
                    told.setdefault(owner, []).append(use)
            for vm, uses in told.items():
                self._peers.send(vm, messages.Uses(tuple(uses)))
            await trio.sleep(REFRESH_S)

    async def _hear(self, heard: trio.MemoryReceiveChannel[messages.Uses]) -> None:
        async for got in heard:
            now_s = trio.current_time()
            for use in got.uses:
                self._reports[use.upstream] = _Report(use.online, use.batch, now_s)
            self._dispatch()

    async def _on_change(self) -> None:
        while True:
            await self._fleet.changed.wait()
            self._dispatch()

    @staticmethod
    def _refusal(code: errors.Code, message: str) -> errors.Refusal:
        return errors.Refusal(code, message, step="choose", retry_after_s=RETRY_AFTER_S)
