"""The router: one queue for each service, a cap for each upstream, and who goes where next.

The router task owns this state. Requests talk to it by messages: they ask for a seat at an
upstream, wait for the reply, and give the seat back.
"""

import bisect
import dataclasses
import enum
import math
import random
from collections.abc import Callable

import result
import trio

from cornelgrade import errors, kernel, logs, metrics, reports
from cornelgrade.policy import admission, routing, shares
from cornelgrade.policy import health as health_rules
from cornelgrade.services import ports

INBOX_MESSAGES = 65_536
TICK_S = 0.25
DURATION_WEIGHT = 0.1
LONGEST_OUTAGE_S = 1.0
SHARE_EXPIRY_S = 3.0
LEAVING_EXPIRY_S = 15.0

_QUEUED = metrics.gauge("cornelgrade_queued_requests", "Requests waiting for an upstream.")
_OUTSTANDING = metrics.gauge("cornelgrade_outstanding_requests", "Requests sent to an upstream.")

Reply = result.Result[str, errors.Refusal]


class Outcome(enum.Enum):
    """How the use of a seat ended, as far as the upstream's health goes."""

    WELL = "well"
    UNREACHABLE = "unreachable"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request wants a seat; the reply names the upstream or refuses."""

    place: admission.Place
    service: str
    wish: routing.Wish
    fingerprint: str
    reply: trio.MemorySendChannel[Reply]


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """A request no longer waits."""

    place: admission.Place
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """A seat comes back."""

    upstream: str
    place: admission.Place
    outcome: Outcome
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crashed:
    """An upstream was found to have crashed with requests in flight.

    :param noted: set once the quarantine knows of it.
    """

    upstream: str
    noted: trio.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What this gateway has at an upstream, and its part of what waits for the service."""

    upstream: str
    failure_domain: str
    outstanding: int
    queued: int


Message = Ask | Withdraw | Release | Crashed | ports.Leaving | ports.Share


@dataclasses.dataclass(slots=True)
class _Seats:
    """One upstream's state in this gateway."""

    name: str
    service: str
    failure_domain: str
    slots: int
    cap: int
    cap_told_until_s: float = -math.inf
    running: dict[admission.Place, str] = dataclasses.field(default_factory=dict)
    reserved_for: admission.Place | None = None
    health: health_rules.Health = health_rules.HEALTHY
    leaving_until_s: float = -math.inf
    crash_reported: bool = False

    def leaving(self, now_s: float) -> bool:
        """Say whether a sign that it is leaving still holds."""
        return now_s < self.leaving_until_s


@dataclasses.dataclass(slots=True)
class _Queue:
    """One service's waiting requests, in order."""

    places: list[admission.Place] = dataclasses.field(default_factory=list)
    asks: dict[admission.Place, Ask] = dataclasses.field(default_factory=dict)
    mean_duration_s: float = 0.0

    def add(self, ask: Ask) -> None:
        bisect.insort(self.places, ask.place)
        self.asks[ask.place] = ask

    def remove(self, place: admission.Place) -> Ask | None:
        ask = self.asks.pop(place, None)
        if ask is not None:
            del self.places[bisect.bisect_left(self.places, place)]
        return ask


class Router:
    """The service ``router``.

    :param kern: where ``configuration`` and ``membership`` are found.
    :param failure_domain: the VM's own.
    :param choice: how an upstream is chosen.
    """

    name = "router"

    def __init__(
        self,
        kern: kernel.Kernel,
        failure_domain: str,
        rng: random.Random,
        choice: routing.Choice | None = None,
    ) -> None:
        self._kern = kern
        self._failure_domain = failure_domain
        self._rng = rng
        self._choice = choice or routing.AffinityChoice()
        self._log = logs.Logger("router")
        self._send, self._inbox = trio.open_memory_channel[Message](INBOX_MESSAGES)
        self._seats: dict[str, _Seats] = {}
        self._queues: dict[str, _Queue] = {}
        self._version = -1
        self._queue_limit = 0
        self._number = 0
        self._rose = trio.Event()

    def next_number(self) -> int:
        """Give the next number in order of arrival."""
        self._number += 1
        return self._number

    def post(self, message: Message) -> None:
        """Send the router a message.

        :raises Refusal: ``OVERLOADED`` when its inbox is full.
        """
        try:
            self._send.send_nowait(message)
        except trio.WouldBlock as exc:
            raise errors.Refusal(
                errors.Code.OVERLOADED, "the router is behind", step="queue", retry_after_s=1.0
            ) from exc

    async def run(self, started: Callable[[], None]) -> None:
        """Handle messages until cancelled."""
        handlers: dict[type, Callable] = {
            Ask: self._on_ask,
            Withdraw: self._on_withdraw,
            Release: self._on_release,
            Crashed: self._on_crashed,
            ports.Leaving: self._on_leaving,
            ports.Share: self._on_share,
        }
        async with trio.open_nursery() as nursery:
            if self._kern.has("membership"):
                members = self._kern.find("membership", ports.Membership)
                nursery.start_soon(self._pass_on, members.subscribe(ports.Share))
                nursery.start_soon(self._pass_on, members.subscribe(ports.Leaving))
            started()
            await self._handle_forever(handlers)

    async def _pass_on(self, messages: trio.MemoryReceiveChannel) -> None:
        """Put what peers say into the inbox."""
        async for message in messages:
            await self._send.send(message)

    async def _handle_forever(self, handlers: dict[type, Callable]) -> None:
        while True:
            message: Message | None = None
            with trio.move_on_after(TICK_S):
                message = await self._inbox.receive()
            self._reconfigure()
            if message is None:
                self._refresh_caps()
                self._dispatch_all()
                continue
            handlers[type(message)](message)

    def outstanding(self, upstream: str) -> int:
        """Count this gateway's requests at an upstream."""
        seats = self._seats.get(upstream)
        return len(seats.running) if seats else 0

    def queued(self, service: str) -> int:
        """Count a service's waiting requests."""
        queue = self._queues.get(service)
        return len(queue.places) if queue else 0

    async def wait_rise(self) -> None:
        """Wait until a request was queued or sent since the last call."""
        await self._rose.wait()
        self._rose = trio.Event()

    def usage(self) -> tuple[Usage, ...]:
        """Give what this gateway has at each upstream."""
        local = [s for s in self._seats.values() if s.failure_domain == self._failure_domain]
        sharers = {service: sum(s.service == service for s in local) for service in self._queues}
        return tuple(
            Usage(
                upstream=seats.name,
                failure_domain=seats.failure_domain,
                outstanding=len(seats.running),
                queued=self._queued_part(seats, sharers.get(seats.service, 0)),
            )
            for seats in self._seats.values()
        )

    def _queued_part(self, seats: _Seats, sharers: int) -> int:
        """Give an upstream's part of the queue; one elsewhere has none until its cap is reached."""
        local = seats.failure_domain == self._failure_domain
        if not local and len(seats.running) < seats.cap:
            return 0
        return math.ceil(self.queued(seats.service) / max(1, sharers))

    def report(self) -> reports.Report:
        """Say how each upstream does, as seen by this gateway's own calls."""
        return reports.Report(upstreams=tuple(map(_report, self._seats.values())))

    # Messages

    def _on_ask(self, ask: Ask) -> None:
        queue = self._queues.setdefault(ask.service, _Queue())
        decision = admission.decide(ask.place, self._queue_state(ask), trio.current_time())
        if isinstance(decision, result.Err):
            ask.reply.send_nowait(decision)
            return
        evicted = decision.ok_value.evict
        if evicted is not None:
            self._evict(queue, evicted)
        queue.add(ask)
        self._rose.set()
        self._dispatch(ask.service)

    def _on_withdraw(self, message: Withdraw) -> None:
        queue = self._queues.get(message.service)
        if queue is not None:
            queue.remove(message.place)
        self._drop_reservation(message.place)

    def _on_release(self, message: Release) -> None:
        seats = self._seats.get(message.upstream)
        if seats is None:
            return
        if seats.running.pop(message.place, None) is None:
            return
        self._drop_reservation(message.place)
        self._note_outcome(seats, message)
        self._dispatch(seats.service)

    def _on_crashed(self, message: Crashed) -> None:
        self._note_crash(message)
        message.noted.set()

    def _note_crash(self, message: Crashed) -> None:
        seats = self._seats.get(message.upstream)
        if seats is None or seats.crash_reported:
            return
        seats.crash_reported = True
        seats.health = health_rules.failed(seats.health, trio.current_time())
        if self._kern.has("quarantine"):
            quarantine = self._kern.find("quarantine", ports.Quarantine)
            quarantine.crashed(message.upstream, tuple(seats.running.values()))

    def _on_leaving(self, message: ports.Leaving) -> None:
        seats = self._seats.get(message.upstream)
        if seats is None:
            return
        now_s = trio.current_time()
        if not seats.leaving(now_s):
            self._log.info("upstream_leaving", peer=message.upstream)
        seats.leaving_until_s = now_s + LEAVING_EXPIRY_S

    def _on_share(self, message: ports.Share) -> None:
        seats = self._seats.get(message.upstream)
        if seats is None:
            return
        seats.cap = message.slots
        seats.cap_told_until_s = trio.current_time() + SHARE_EXPIRY_S
        self._dispatch(seats.service)

    # Decisions carried out

    def _evict(self, queue: _Queue, place: admission.Place) -> None:
        ask = queue.remove(place)
        if ask is None:
            return
        refusal = admission.refuse(self._queue_state(ask), "gave way to a higher priority")
        ask.reply.send_nowait(result.Err(refusal))

    def _queue_state(self, ask: Ask) -> admission.QueueState:
        queue = self._queues[ask.service]
        capacity = sum(s.cap for s in self._seats.values() if s.service == ask.service)
        rate = capacity / queue.mean_duration_s if queue.mean_duration_s > 0 else 0.0
        return admission.QueueState(
            length=len(queue.places),
            limit=self._queue_limit,
            ahead=bisect.bisect_left(queue.places, ask.place),
            served_per_s=rate,
            worst=queue.places[-1] if queue.places else None,
        )

    def _note_outcome(self, seats: _Seats, message: Release) -> None:
        queue = self._queues[seats.service]
        if message.outcome is Outcome.UNREACHABLE:
            seats.health = health_rules.failed(seats.health, trio.current_time())
        if message.outcome is Outcome.WELL:
            seats.health = health_rules.HEALTHY
            seats.crash_reported = False
            older = queue.mean_duration_s or message.duration_s
            queue.mean_duration_s = older + DURATION_WEIGHT * (message.duration_s - older)

    def _dispatch_all(self) -> None:
        for service in self._queues:
            self._dispatch(service)

    def _dispatch(self, service: str) -> None:
        queue = self._queues[service]
        self._drop_late(queue)
        self._refuse_in_outage(service, queue)
        for place in tuple(queue.places):
            candidates = self._candidates(service)
            ask = queue.asks[place]
            if ask.wish.alone:
                self._dispatch_alone(queue, ask, candidates)
                continue
            if not any(c.room for c in candidates):
                break
            chosen = self._choice.choose(candidates, ask.wish, self._rng)
            if chosen is not None:
                queue.remove(place)
                self._seat(ask, chosen.name)
        _QUEUED.set({"service": service}, len(queue.places))

    def _dispatch_alone(
        self, queue: _Queue, ask: Ask, candidates: tuple[routing.Candidate, ...]
    ) -> None:
        """Reserve an upstream for a request that must run alone, and seat it once that is empty.

        One reservation at a time, so that at most one upstream is kept from other work.
        """
        reserved = [s for s in self._seats.values() if s.reserved_for is not None]
        if not reserved:
            chosen = routing.for_alone(candidates, ask.fingerprint, ask.wish)
            if chosen is None:
                return
            self._seats[chosen.name].reserved_for = ask.place
            reserved = [self._seats[chosen.name]]
        seats = reserved[0]
        if seats.reserved_for == ask.place and not seats.running:
            queue.remove(ask.place)
            self._seat(ask, seats.name)

    def _drop_reservation(self, place: admission.Place) -> None:
        for seats in self._seats.values():
            if seats.reserved_for == place:
                seats.reserved_for = None

    def _refuse_in_outage(self, service: str, queue: _Queue) -> None:
        """Refuse what waits when no upstream will be tried again soon."""
        now_s = trio.current_time()
        pauses_s = [
            seats.health.retry_at_s - now_s
            for seats in self._seats.values()
            if seats.service == service and not seats.leaving(now_s)
        ]
        outage_s = min(pauses_s, default=math.inf)
        if outage_s <= LONGEST_OUTAGE_S:
            return
        retry_after_s = 1.0 if outage_s == math.inf else round(outage_s, 3)
        for place in tuple(queue.places):
            ask = queue.remove(place)
            refusal = errors.Refusal(
                errors.Code.UNAVAILABLE,
                f"no upstream of {service} is up",
                step="route",
                retry_after_s=retry_after_s,
            )
            if ask is not None:
                ask.reply.send_nowait(result.Err(refusal))

    def _drop_late(self, queue: _Queue) -> None:
        now_s = trio.current_time()
        for place in [p for p in queue.places if p.deadline_s <= now_s]:
            ask = queue.remove(place)
            self._drop_reservation(place)
            if ask is not None:
                refusal = errors.Refusal(
                    errors.Code.DEADLINE, "no upstream was free in time", step="queue"
                )
                ask.reply.send_nowait(result.Err(refusal))

    def _seat(self, ask: Ask, upstream: str) -> None:
        seats = self._seats[upstream]
        if not seats.running:
            seats.crash_reported = False
        seats.running[ask.place] = ask.fingerprint
        ask.reply.send_nowait(result.Ok(upstream))
        self._rose.set()

    def _candidates(self, service: str) -> tuple[routing.Candidate, ...]:
        now_s = trio.current_time()
        return tuple(
            routing.Candidate(
                name=seats.name,
                local=seats.failure_domain == self._failure_domain,
                slots=seats.slots,
                cap=seats.cap,
                outstanding=len(seats.running),
                usable=not seats.leaving(now_s)
                and seats.reserved_for is None
                and health_rules.usable(seats.health, now_s),
            )
            for seats in self._seats.values()
            if seats.service == service
        )

    # Configuration and membership

    def _reconfigure(self) -> None:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None or accepted.version == self._version:
            return
        self._version = accepted.version
        self._queue_limit = accepted.manifest.online.queue_limit
        known = self._seats
        self._seats = {}
        for up in accepted.manifest.upstreams:
            seats = known.get(up.name)
            if seats is None:
                seats = _Seats(up.name, up.service, up.failure_domain, up.slots, up.slots)
            seats.service = up.service
            seats.failure_domain = up.failure_domain
            seats.slots = up.slots
            self._seats[up.name] = seats
            self._queues.setdefault(up.service, _Queue())
        self._refresh_caps()
        self._log.info("upstreams_in_force", version=self._version, upstreams=len(self._seats))

    def _refresh_caps(self) -> None:
        view = None
        if self._kern.has("membership"):
            view = self._kern.find("membership", ports.Membership).view()
        now_s = trio.current_time()
        for seats in self._seats.values():
            if now_s < seats.cap_told_until_s:
                continue
            local = seats.failure_domain == self._failure_domain
            local_vms = other_vms = 0
            if view is not None:
                local_vms = len(view.usable(seats.failure_domain))
                other_vms = len(view.usable("")) - local_vms
            seats.cap = shares.fallback_share(seats.slots, local_vms, other_vms, local)


def _report(seats: _Seats) -> reports.UpstreamReport:
    states = {seats.health.failures > 0: "down", seats.leaving(trio.current_time()): "leaving"}
    return reports.UpstreamReport(
        name=seats.name,
        failure_domain=seats.failure_domain,
        state=states.get(True, reports.UP),
        outstanding=len(seats.running),
    )
