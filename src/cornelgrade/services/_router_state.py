"""The router's state: outstanding requests of each upstream, waiting requests of each service."""

import bisect
import dataclasses
import math

import trio

from cornelgrade import manifest, reports
from cornelgrade.policy import admission, routing, shares
from cornelgrade.policy import health as health_rules
from cornelgrade.services import ports, router_messages

DEMAND_UNANSWERED_S = 0.5


@dataclasses.dataclass(slots=True)
class UpstreamState:
    """One upstream's state in this gateway.

    :param software_version: its own version as its last response or else the manifest names it,
        empty if neither does.
    :param registered_version: the version that the manifest names.
    :param cap: number of requests that this gateway may have outstanding there.
    :param cap_granted_until_s: end of the share that the upstream's owner granted.
    :param demand_since_s: when this gateway first had demand that no grant answered.
    :param running: fingerprints of the outstanding requests.
    :param reserved_for: the request that must run alone and for which the upstream is emptied.
    """

    name: str
    service: str
    failure_domain: str
    slots: int
    cap: int
    cap_granted_until_s: float = -math.inf
    demand_since_s: float = math.inf
    running: dict[admission.Place, str] = dataclasses.field(default_factory=dict)
    reserved_for: admission.Place | None = None
    health: health_rules.Health = health_rules.HEALTHY
    leaving_until_s: float = -math.inf
    crash_reported: bool = False
    software_version: str = ""
    registered_version: str = ""

    def is_leaving(self, now_s: float) -> bool:
        """Return whether the last notice that the upstream is leaving is still valid."""
        return now_s < self.leaving_until_s


@dataclasses.dataclass(slots=True)
class Queue:
    """One service's waiting requests, ordered by place.

    :param sent_shares: share of recently sent requests by rank.
    """

    places: list[admission.Place] = dataclasses.field(default_factory=list)
    requests: dict[admission.Place, router_messages.Acquire] = dataclasses.field(
        default_factory=dict
    )
    mean_duration_s: float = 0.0
    sent_shares: dict[int, float] = dataclasses.field(default_factory=dict)

    def add(self, request: router_messages.Acquire) -> None:
        bisect.insort(self.places, request.place)
        self.requests[request.place] = request

    def remove(self, place: admission.Place) -> router_messages.Acquire | None:
        request = self.requests.pop(place, None)
        if request is not None:
            del self.places[bisect.bisect_left(self.places, place)]
        return request


class UpstreamTable:
    """The upstreams of the manifest in force, and the queue of each service.

    Only the router's task may change it.

    :param failure_domain: the gateway's own failure domain.
    """

    def __init__(self, failure_domain: str) -> None:
        self.upstreams: dict[str, UpstreamState] = {}
        self.queues: dict[str, Queue] = {}
        self._failure_domain = failure_domain

    def upstreams_of(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service."""
        return [state for state in self.upstreams.values() if state.service == service]

    def queue_length(self, service: str) -> int:
        """Return the number of a service's waiting requests."""
        queue = self.queues.get(service)
        return len(queue.places) if queue else 0

    def apply_manifest(self, accepted: manifest.Manifest) -> None:
        """Replace the upstreams by those of a manifest; running requests continue."""
        previous = self.upstreams
        self.upstreams = {}
        for up in accepted.upstreams:
            state = previous.get(up.name)
            if state is None:
                state = UpstreamState(up.name, up.service, up.failure_domain, up.slots, up.slots)
            state.service = up.service
            state.failure_domain = up.failure_domain
            state.slots = up.slots
            registered_version = up.software_version or ""
            if registered_version != state.registered_version:
                state.software_version = state.registered_version = registered_version
            self.upstreams[up.name] = state
            self.queues.setdefault(up.service, Queue())

    def usage(self) -> tuple[router_messages.Usage, ...]:
        """Return this gateway's outstanding and queued requests of each upstream."""
        local = [s for s in self.upstreams.values() if s.failure_domain == self._failure_domain]
        local_counts = {
            service: sum(s.service == service for s in local) for service in self.queues
        }
        return tuple(
            router_messages.Usage(
                upstream=state.name,
                failure_domain=state.failure_domain,
                outstanding=len(state.running),
                queued=self._queued_share(state, local_counts.get(state.service, 0)),
            )
            for state in self.upstreams.values()
        )

    def _queued_share(self, state: UpstreamState, local_upstreams: int) -> int:
        """Return the part of a service's queue that counts as demand for one upstream.

        An upstream in another failure domain gets none until its cap is reached.
        """
        local = state.failure_domain == self._failure_domain
        if not local and len(state.running) < state.cap:
            return 0
        return math.ceil(self.queue_length(state.service) / max(1, local_upstreams))

    def candidates(self, service: str) -> tuple[routing.Candidate, ...]:
        """Return a service's upstreams as candidates for routing."""
        now_s = trio.current_time()
        return tuple(
            routing.Candidate(
                name=state.name,
                local=state.failure_domain == self._failure_domain,
                slots=state.slots,
                cap=state.cap,
                outstanding=len(state.running),
                usable=not state.is_leaving(now_s)
                and state.reserved_for is None
                and health_rules.is_usable(state.health, now_s),
                software_version=state.software_version,
            )
            for state in self.upstreams_of(service)
        )

    def refresh_caps(self, view: ports.View | None) -> None:
        """Set the cap of each upstream without a granted share to an equal share."""
        now_s = trio.current_time()
        for state in self.upstreams.values():
            if now_s < state.cap_granted_until_s:
                continue
            local = state.failure_domain == self._failure_domain
            local_vms = other_vms = 0
            if view is not None:
                local_vms = len(view.usable(state.failure_domain))
                other_vms = len(view.usable("")) - local_vms
            unanswered = now_s - self._update_demand_since(state, now_s) >= DEMAND_UNANSWERED_S
            state.cap = shares.fallback_share(state.slots, local_vms, other_vms, local, unanswered)

    def _update_demand_since(self, state: UpstreamState, now_s: float) -> float:
        """Return when the current demand at an upstream without a granted share began."""
        if not state.running and not self.queue_length(state.service):
            state.demand_since_s = math.inf
            return now_s
        state.demand_since_s = min(state.demand_since_s, now_s)
        return state.demand_since_s


def report_upstream(state: UpstreamState) -> reports.UpstreamReport:
    """Return the status of an upstream as seen by this gateway's own calls."""
    states = {state.health.failures > 0: "down", state.is_leaving(trio.current_time()): "leaving"}
    return reports.UpstreamReport(
        name=state.name,
        failure_domain=state.failure_domain,
        state=states.get(True, reports.UP),
        outstanding=len(state.running),
    )
