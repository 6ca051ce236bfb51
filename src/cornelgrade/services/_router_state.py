"""What a gateway has at each upstream, and what waits for each service."""

import bisect
import dataclasses
import math

import trio

from cornelgrade import manifest, reports
from cornelgrade.policy import admission, routing, shares
from cornelgrade.policy import health as health_rules
from cornelgrade.services import ports, router_messages

UNANSWERED_S = 0.5


@dataclasses.dataclass(slots=True)
class Seats:
    """One upstream's state in this gateway."""

    name: str
    service: str
    failure_domain: str
    slots: int
    cap: int
    cap_told_until_s: float = -math.inf
    demand_since_s: float = math.inf
    running: dict[admission.Place, str] = dataclasses.field(default_factory=dict)
    reserved_for: admission.Place | None = None
    health: health_rules.Health = health_rules.HEALTHY
    leaving_until_s: float = -math.inf
    crash_reported: bool = False

    def leaving(self, now_s: float) -> bool:
        """Say whether a sign that it is leaving still holds."""
        return now_s < self.leaving_until_s


@dataclasses.dataclass(slots=True)
class Queue:
    """One service's waiting requests, in order."""

    places: list[admission.Place] = dataclasses.field(default_factory=list)
    asks: dict[admission.Place, router_messages.Ask] = dataclasses.field(default_factory=dict)
    mean_duration_s: float = 0.0
    sent_shares: dict[int, float] = dataclasses.field(default_factory=dict)

    def add(self, ask: router_messages.Ask) -> None:
        bisect.insort(self.places, ask.place)
        self.asks[ask.place] = ask

    def remove(self, place: admission.Place) -> router_messages.Ask | None:
        ask = self.asks.pop(place, None)
        if ask is not None:
            del self.places[bisect.bisect_left(self.places, place)]
        return ask


class SeatTable:
    """The upstreams of the manifest in force, and the queue of each service.

    The router's task owns it.

    :param failure_domain: the VM's own.
    """

    def __init__(self, failure_domain: str) -> None:
        self.seats: dict[str, Seats] = {}
        self.queues: dict[str, Queue] = {}
        self._failure_domain = failure_domain

    def of(self, service: str) -> list[Seats]:
        """Give the upstreams of a service."""
        return [seats for seats in self.seats.values() if seats.service == service]

    def queued(self, service: str) -> int:
        """Count a service's waiting requests."""
        queue = self.queues.get(service)
        return len(queue.places) if queue else 0

    def follow(self, wanted: manifest.Manifest) -> None:
        """Put the upstreams of a manifest in force; requests that run go on."""
        known = self.seats
        self.seats = {}
        for up in wanted.upstreams:
            seats = known.get(up.name)
            if seats is None:
                seats = Seats(up.name, up.service, up.failure_domain, up.slots, up.slots)
            seats.service = up.service
            seats.failure_domain = up.failure_domain
            seats.slots = up.slots
            self.seats[up.name] = seats
            self.queues.setdefault(up.service, Queue())

    def usage(self) -> tuple[router_messages.Usage, ...]:
        """Give what this gateway has at each upstream."""
        local = [s for s in self.seats.values() if s.failure_domain == self._failure_domain]
        sharers = {service: sum(s.service == service for s in local) for service in self.queues}
        return tuple(
            router_messages.Usage(
                upstream=seats.name,
                failure_domain=seats.failure_domain,
                outstanding=len(seats.running),
                queued=self._queued_part(seats, sharers.get(seats.service, 0)),
            )
            for seats in self.seats.values()
        )

    def _queued_part(self, seats: Seats, sharers: int) -> int:
        """Give an upstream's part of the queue; one elsewhere has none until its cap is reached."""
        local = seats.failure_domain == self._failure_domain
        if not local and len(seats.running) < seats.cap:
            return 0
        return math.ceil(self.queued(seats.service) / max(1, sharers))

    def candidates(self, service: str) -> tuple[routing.Candidate, ...]:
        """Give a service's upstreams as the choice sees them."""
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
            for seats in self.of(service)
        )

    def refresh_caps(self, view: ports.View | None) -> None:
        """Take an equal part of each upstream that no share is told of."""
        now_s = trio.current_time()
        for seats in self.seats.values():
            if now_s < seats.cap_told_until_s:
                continue
            local = seats.failure_domain == self._failure_domain
            local_vms = other_vms = 0
            if view is not None:
                local_vms = len(view.usable(seats.failure_domain))
                other_vms = len(view.usable("")) - local_vms
            unanswered = now_s - self._demand_since_s(seats, now_s) >= UNANSWERED_S
            seats.cap = shares.fallback_share(seats.slots, local_vms, other_vms, local, unanswered)

    def _demand_since_s(self, seats: Seats, now_s: float) -> float:
        """Say since when requests wait for or run at an upstream that no share is told of."""
        if not seats.running and not self.queued(seats.service):
            seats.demand_since_s = math.inf
            return now_s
        seats.demand_since_s = min(seats.demand_since_s, now_s)
        return seats.demand_since_s


def report(seats: Seats) -> reports.UpstreamReport:
    """Say how an upstream does, as seen by this gateway's own calls."""
    states = {seats.health.failures > 0: "down", seats.leaving(trio.current_time()): "leaving"}
    return reports.UpstreamReport(
        name=seats.name,
        failure_domain=seats.failure_domain,
        state=states.get(True, reports.UP),
        outstanding=len(seats.running),
    )
