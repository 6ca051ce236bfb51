"""The router: one queue for each service, a cap for each upstream, and who goes where next.

The router task owns this state. Requests talk to it by messages: they ask for a seat at an
upstream, wait for the reply, and give the seat back.
"""

import bisect
import math
import random
from collections.abc import Callable

import result
import trio

from cornelgrade import errors, kernel, logs, metrics, reports
from cornelgrade.policy import admission, routing
from cornelgrade.policy import health as health_rules
from cornelgrade.services import _router_state, ports, router_messages

INBOX_MESSAGES = 65_536
TICK_S = 0.25
DURATION_WEIGHT = 0.1
LONGEST_OUTAGE_S = 1.0
SHARE_EXPIRY_S = 3.0
LEAVING_EXPIRY_S = 15.0

_QUEUED = metrics.gauge("cornelgrade_queued_requests", "Requests waiting for an upstream.")
_OUTSTANDING = metrics.gauge("cornelgrade_outstanding_requests", "Requests sent to an upstream.")


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
        self._rng = rng
        self._choice = choice or routing.AffinityChoice()
        self._log = logs.Logger("router")
        self._send, self._inbox = trio.open_memory_channel[router_messages.Message](INBOX_MESSAGES)
        self._table = _router_state.SeatTable(failure_domain)
        self._version = -1
        self._queue_limit = 0
        self._top_rank = 0
        self._number = 0
        self._rose = trio.Event()

    def next_number(self) -> int:
        """Give the next number in order of arrival."""
        self._number += 1
        return self._number

    def post(self, message: router_messages.Message) -> None:
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
            router_messages.Ask: self._on_ask,
            router_messages.Withdraw: self._on_withdraw,
            router_messages.Release: self._on_release,
            router_messages.Crashed: self._on_crashed,
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
        tick_at_s = trio.current_time()
        while True:
            message: router_messages.Message | None = None
            with trio.move_on_at(tick_at_s):
                message = await self._inbox.receive()
            self._reconfigure()
            if message is not None:
                handlers[type(message)](message)
            if trio.current_time() >= tick_at_s:
                tick_at_s = trio.current_time() + TICK_S
                self._table.refresh_caps(self._view())
                self._dispatch_all()

    def outstanding(self, upstream: str) -> int:
        """Count this gateway's requests at an upstream."""
        seats = self._table.seats.get(upstream)
        return len(seats.running) if seats else 0

    def queued(self, service: str) -> int:
        """Count a service's waiting requests."""
        return self._table.queued(service)

    async def wait_rise(self) -> None:
        """Wait until a request was queued or sent since the last call."""
        await self._rose.wait()
        self._rose = trio.Event()

    def usage(self) -> tuple[router_messages.Usage, ...]:
        """Give what this gateway has at each upstream."""
        return self._table.usage()

    def report(self) -> reports.Report:
        """Say how each upstream does, as seen by this gateway's own calls."""
        return reports.Report(
            upstreams=tuple(map(_router_state.report, self._table.seats.values()))
        )

    # Messages

    def _on_ask(self, ask: router_messages.Ask) -> None:
        queue = self._table.queues.setdefault(ask.service, _router_state.Queue())
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

    def _on_withdraw(self, message: router_messages.Withdraw) -> None:
        queue = self._table.queues.get(message.service)
        if queue is not None:
            queue.remove(message.place)
        self._drop_reservation(message.place)

    def _on_release(self, message: router_messages.Release) -> None:
        seats = self._table.seats.get(message.upstream)
        if seats is None:
            return
        if seats.running.pop(message.place, None) is None:
            return
        self._drop_reservation(message.place)
        self._note_outcome(seats, message)
        self._dispatch(seats.service)

    def _on_crashed(self, message: router_messages.Crashed) -> None:
        self._note_crash(message)
        message.noted.set()

    def _note_crash(self, message: router_messages.Crashed) -> None:
        seats = self._table.seats.get(message.upstream)
        if seats is None or seats.crash_reported:
            return
        seats.crash_reported = True
        seats.health = health_rules.failed(seats.health, trio.current_time())
        if self._kern.has("quarantine"):
            quarantine = self._kern.find("quarantine", ports.Quarantine)
            quarantine.report_crash(message.upstream, tuple(seats.running.values()))

    def _on_leaving(self, message: ports.Leaving) -> None:
        seats = self._table.seats.get(message.upstream)
        if seats is None:
            return
        now_s = trio.current_time()
        if not seats.leaving(now_s):
            self._log.info("upstream_leaving", peer=message.upstream)
        seats.leaving_until_s = now_s + LEAVING_EXPIRY_S

    def _on_share(self, message: ports.Share) -> None:
        seats = self._table.seats.get(message.upstream)
        if seats is None:
            return
        seats.cap = message.slots
        seats.cap_told_until_s = trio.current_time() + SHARE_EXPIRY_S
        seats.demand_since_s = math.inf
        self._dispatch(seats.service)

    # Decisions carried out

    def _evict(self, queue: _router_state.Queue, place: admission.Place) -> None:
        ask = queue.remove(place)
        if ask is None:
            return
        refusal = admission.refuse(self._queue_state(ask), "gave way to a higher priority")
        ask.reply.send_nowait(result.Err(refusal))

    def _queue_state(self, ask: router_messages.Ask) -> admission.QueueState:
        queue = self._table.queues[ask.service]
        capacity = sum(s.cap for s in self._table.seats.values() if s.service == ask.service)
        rate = capacity / queue.mean_duration_s if queue.mean_duration_s > 0 else 0.0
        return admission.QueueState(
            length=len(queue.places),
            limit=self._queue_limit,
            ahead=bisect.bisect_left(queue.places, ask.place),
            served_per_s=rate,
            worst=queue.places[-1] if queue.places else None,
            mean_duration_s=queue.mean_duration_s,
            share_above=admission.share_above(queue.sent_shares, ask.place.rank),
        )

    def _note_outcome(self, seats: _router_state.Seats, message: router_messages.Release) -> None:
        queue = self._table.queues[seats.service]
        if message.outcome is router_messages.Outcome.UNREACHABLE:
            seats.health = health_rules.failed(seats.health, trio.current_time())
        if message.outcome is router_messages.Outcome.WELL:
            seats.health = health_rules.HEALTHY
            seats.crash_reported = False
            older = queue.mean_duration_s or message.duration_s
            queue.mean_duration_s = older + DURATION_WEIGHT * (message.duration_s - older)

    def _dispatch_all(self) -> None:
        for service in self._table.queues:
            self._dispatch(service)

    def _dispatch(self, service: str) -> None:
        queue = self._table.queues[service]
        self._drop_late(service, queue)
        self._refuse_in_outage(service, queue)
        for place in tuple(queue.places):
            candidates = self._table.candidates(service)
            ask = queue.asks[place]
            if ask.wish.alone:
                self._dispatch_alone(queue, ask, candidates)
                continue
            if not self._may_take(queue, place.rank, candidates):
                break
            chosen = self._choice.choose(candidates, ask.wish, self._rng)
            if chosen is not None:
                queue.remove(place)
                queue.sent_shares = admission.count_sent(queue.sent_shares, place.rank)
                self._seat(ask, chosen.name)
        _QUEUED.set({"service": service}, len(queue.places))

    def _may_take(
        self, queue: _router_state.Queue, rank: int, candidates: tuple[routing.Candidate, ...]
    ) -> bool:
        seats = sum(c.cap for c in candidates if c.usable)
        kept = 0
        if rank > self._top_rank:
            kept = admission.kept_seats(seats, queue.sent_shares.get(self._top_rank, 0.0))
        return routing.free_seats(candidates) > kept

    def _dispatch_alone(
        self,
        queue: _router_state.Queue,
        ask: router_messages.Ask,
        candidates: tuple[routing.Candidate, ...],
    ) -> None:
        """Reserve an upstream for a request that must run alone, and seat it once that is empty.

        One reservation at a time, so that at most one upstream is kept from other work.
        """
        reserved = [s for s in self._table.seats.values() if s.reserved_for is not None]
        if not reserved:
            chosen = routing.for_alone(candidates, ask.fingerprint, ask.wish)
            if chosen is None:
                return
            self._table.seats[chosen.name].reserved_for = ask.place
            reserved = [self._table.seats[chosen.name]]
        seats = reserved[0]
        if seats.reserved_for == ask.place and not seats.running:
            queue.remove(ask.place)
            self._seat(ask, seats.name)

    def _drop_reservation(self, place: admission.Place) -> None:
        for seats in self._table.seats.values():
            if seats.reserved_for == place:
                seats.reserved_for = None

    def _refuse_in_outage(self, service: str, queue: _router_state.Queue) -> None:
        """Refuse what waits when no upstream will be tried again soon."""
        now_s = trio.current_time()
        pauses_s = [
            seats.health.retry_at_s - now_s
            for seats in self._table.seats.values()
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

    def _drop_late(self, service: str, queue: _router_state.Queue) -> None:
        """Refuse what can no longer finish in time, so that nobody waits for it."""
        now_s = trio.current_time()
        free = routing.free_seats(self._table.candidates(service))
        for place in admission.hopeless(queue.places, free, queue.mean_duration_s, now_s):
            ask = queue.remove(place)
            self._drop_reservation(place)
            if ask is not None:
                refusal = admission.late(place, self._queue_state(ask), now_s)
                ask.reply.send_nowait(result.Err(refusal))

    def _seat(self, ask: router_messages.Ask, upstream: str) -> None:
        seats = self._table.seats[upstream]
        if not seats.running:
            seats.crash_reported = False
        seats.running[ask.place] = ask.fingerprint
        ask.reply.send_nowait(result.Ok(upstream))
        self._rose.set()

    def _reconfigure(self) -> None:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None or accepted.version == self._version:
            return
        self._version = accepted.version
        self._queue_limit = accepted.manifest.online.queue_limit
        self._top_rank = min((p.rank for p in accepted.manifest.priorities), default=0)
        self._table.follow(accepted.manifest)
        self._table.refresh_caps(self._view())
        count = len(self._table.seats)
        self._log.info("upstreams_in_force", version=self._version, upstreams=count)

    def _view(self) -> ports.View | None:
        if not self._kern.has("membership"):
            return None
        return self._kern.find("membership", ports.Membership).view()
