"""The router: queues the requests of each service and assigns them to upstreams.

The router's task owns the queues and the cap of each upstream. Requests communicate with it by
messages: they acquire a slot permit at an upstream, wait for the reply, and release the permit.
"""

import bisect
import contextlib
import math
import random
from collections.abc import Callable

import result
import trio

from cornelgrade import errors, kernel, logs, metrics, reports
from cornelgrade.policy import admission, routing
from cornelgrade.policy import health as health_rules
from cornelgrade.services import _router_state, ports, router_messages

INBOX_CAPACITY = 65_536
DISPATCH_INTERVAL_S = 0.25
DURATION_WEIGHT = 0.1
MAX_OUTAGE_WAIT_S = 1.0
SHARE_EXPIRY_S = 3.0
LEAVING_EXPIRY_S = 15.0

_QUEUED = metrics.gauge("cornelgrade_queued_requests", "Requests waiting for an upstream.")
_OUTSTANDING = metrics.gauge("cornelgrade_outstanding_requests", "Requests sent to an upstream.")


class Router:
    """The service ``router``.

    :param kern: provides ``configuration`` and, if present, ``membership`` and ``quarantine``.
    :param failure_domain: the gateway's own failure domain.
    :param choice: the strategy that chooses an upstream.
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
        self._send, self._inbox = trio.open_memory_channel[router_messages.Message](INBOX_CAPACITY)
        self._table = _router_state.UpstreamTable(failure_domain)
        self._version = -1
        self._queue_limit = 0
        self._top_rank = 0
        self._last_arrival_number = 0
        self._usage_increased = trio.Event()

    def next_arrival_number(self) -> int:
        """Return the next number in order of arrival."""
        self._last_arrival_number += 1
        return self._last_arrival_number

    def post(self, message: router_messages.Message) -> None:
        """Send the router a message.

        :raises Refusal: ``OVERLOADED`` if the inbox is full.
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
            router_messages.Acquire: self._on_acquire,
            router_messages.CancelAcquire: self._on_cancel_acquire,
            router_messages.Release: self._on_release,
            router_messages.Crashed: self._on_crashed,
            router_messages.VersionSeen: self._on_version_seen,
            ports.Leaving: self._on_leaving,
            ports.Share: self._on_share,
        }
        async with trio.open_nursery() as nursery:
            if self._kern.has("membership"):
                members = self._kern.find("membership", ports.Membership)
                nursery.start_soon(self._forward_messages, members.subscribe(ports.Share))
                nursery.start_soon(self._forward_messages, members.subscribe(ports.Leaving))
            started()
            await self._handle_messages(handlers)

    async def _forward_messages(self, messages: trio.MemoryReceiveChannel) -> None:
        """Forward messages from peers to the inbox."""
        async for message in messages:
            await self._send.send(message)

    async def _handle_messages(self, handlers: dict[type, Callable]) -> None:
        dispatch_at_s = trio.current_time()
        while True:
            message: router_messages.Message | None = None
            with trio.move_on_at(dispatch_at_s):
                message = await self._inbox.receive()
            self._apply_manifest()
            if message is not None:
                handlers[type(message)](message)
            if trio.current_time() >= dispatch_at_s:
                dispatch_at_s = trio.current_time() + DISPATCH_INTERVAL_S
                self._table.refresh_caps(self._view())
                self._dispatch_all()

    def outstanding(self, upstream: str) -> int:
        """Return the number of this gateway's outstanding requests at an upstream."""
        state = self._table.upstreams.get(upstream)
        return len(state.running) if state else 0

    def learn_version(self, upstream: str, named: str) -> str:
        """Return the software version of a response, for all requests from now on.

        :param named: the version that the response names; without one, the manifest's holds.
        """
        state = self._table.upstreams.get(upstream)
        if state is None:
            return named
        version = named or state.registered_version
        if version != state.software_version:
            # If the inbox is full, the next response tells.
            with contextlib.suppress(errors.Refusal):
                self.post(router_messages.VersionSeen(upstream, version))
        return version

    def queued(self, service: str) -> int:
        """Return the number of a service's waiting requests."""
        return self._table.queue_length(service)

    async def wait_increase(self) -> None:
        """Wait until a request has been queued or sent since the last call."""
        await self._usage_increased.wait()
        self._usage_increased = trio.Event()

    def usage(self) -> tuple[router_messages.Usage, ...]:
        """Return this gateway's outstanding and queued requests of each upstream."""
        return self._table.usage()

    def report(self) -> reports.Report:
        """Return the status of each upstream as seen by this gateway's own calls."""
        return reports.Report(
            upstreams=tuple(map(_router_state.report_upstream, self._table.upstreams.values()))
        )

    # Message handlers

    def _on_acquire(self, request: router_messages.Acquire) -> None:
        queue = self._table.queues.setdefault(request.service, _router_state.Queue())
        decision = admission.decide(request.place, self._queue_state(request), trio.current_time())
        if isinstance(decision, result.Err):
            request.reply.send_nowait(decision)
            return
        evicted = decision.ok_value.evict
        if evicted is not None:
            self._evict(queue, evicted)
        queue.add(request)
        self._usage_increased.set()
        self._dispatch(request.service)

    def _on_cancel_acquire(self, message: router_messages.CancelAcquire) -> None:
        queue = self._table.queues.get(message.service)
        if queue is not None:
            queue.remove(message.place)
        self._release_reservation(message.place)

    def _on_release(self, message: router_messages.Release) -> None:
        state = self._table.upstreams.get(message.upstream)
        if state is None:
            return
        if state.running.pop(message.place, None) is None:
            return
        self._release_reservation(message.place)
        self._record_outcome(state, message)
        self._dispatch(state.service)

    def _on_crashed(self, message: router_messages.Crashed) -> None:
        self._record_crash(message)
        message.recorded.set()

    def _record_crash(self, message: router_messages.Crashed) -> None:
        state = self._table.upstreams.get(message.upstream)
        if state is None or state.crash_reported:
            return
        state.crash_reported = True
        state.health = health_rules.record_failure(state.health, trio.current_time())
        if self._kern.has("quarantine"):
            quarantine = self._kern.find("quarantine", ports.Quarantine)
            quarantine.report_crash(message.upstream, tuple(state.running.values()))

    def _on_version_seen(self, message: router_messages.VersionSeen) -> None:
        state = self._table.upstreams.get(message.upstream)
        if state is not None:
            state.software_version = message.software_version

    def _on_leaving(self, message: ports.Leaving) -> None:
        state = self._table.upstreams.get(message.upstream)
        if state is None:
            return
        now_s = trio.current_time()
        if not state.is_leaving(now_s):
            self._log.info("upstream_leaving", peer=message.upstream)
        state.leaving_until_s = now_s + LEAVING_EXPIRY_S

    def _on_share(self, message: ports.Share) -> None:
        state = self._table.upstreams.get(message.upstream)
        if state is None:
            return
        state.cap = message.slots
        state.cap_granted_until_s = trio.current_time() + SHARE_EXPIRY_S
        state.demand_since_s = math.inf
        self._dispatch(state.service)

    # Dispatch

    def _evict(self, queue: _router_state.Queue, place: admission.Place) -> None:
        request = queue.remove(place)
        if request is None:
            return
        refusal = admission.make_overload_refusal(
            self._queue_state(request), "gave way to a higher priority"
        )
        request.reply.send_nowait(result.Err(refusal))

    def _queue_state(self, request: router_messages.Acquire) -> admission.QueueState:
        queue = self._table.queues[request.service]
        capacity = sum(
            s.cap for s in self._table.upstreams.values() if s.service == request.service
        )
        rate = capacity / queue.mean_duration_s if queue.mean_duration_s > 0 else 0.0
        return admission.QueueState(
            length=len(queue.places),
            limit=self._queue_limit,
            ahead=bisect.bisect_left(queue.places, request.place),
            served_per_s=rate,
            last_place=queue.places[-1] if queue.places else None,
            mean_duration_s=queue.mean_duration_s,
            higher_rank_share=admission.higher_rank_share(queue.sent_shares, request.place.rank),
        )

    def _record_outcome(
        self, state: _router_state.UpstreamState, message: router_messages.Release
    ) -> None:
        queue = self._table.queues[state.service]
        if message.outcome is router_messages.Outcome.UNREACHABLE:
            state.health = health_rules.record_failure(state.health, trio.current_time())
        if message.outcome is router_messages.Outcome.SUCCEEDED:
            state.health = health_rules.HEALTHY
            state.crash_reported = False
            previous_s = queue.mean_duration_s or message.duration_s
            queue.mean_duration_s = previous_s + DURATION_WEIGHT * (message.duration_s - previous_s)

    def _dispatch_all(self) -> None:
        for service in self._table.queues:
            self._dispatch(service)

    def _dispatch(self, service: str) -> None:
        queue = self._table.queues[service]
        self._refuse_late(service, queue)
        self._refuse_during_outage(service, queue)
        for place in tuple(queue.places):
            candidates = self._table.candidates(service)
            request = queue.requests[place]
            if request.requirements.alone:
                self._dispatch_exclusive(queue, request, candidates)
                continue
            if not self._has_free_permit(queue, place.rank, candidates):
                break
            chosen = self._choice.choose(candidates, request.requirements, self._rng)
            if chosen is not None:
                queue.remove(place)
                queue.sent_shares = admission.record_sent(queue.sent_shares, place.rank)
                self._grant_permit(request, chosen.name)
        _QUEUED.set({"service": service}, len(queue.places))

    def _has_free_permit(
        self, queue: _router_state.Queue, rank: int, candidates: tuple[routing.Candidate, ...]
    ) -> bool:
        total_cap = sum(c.cap for c in candidates if c.usable)
        reserved_permits = 0
        if rank > self._top_rank:
            reserved_permits = admission.reserved_permits(
                total_cap, queue.sent_shares.get(self._top_rank, 0.0)
            )
        return routing.count_free_permits(candidates) > reserved_permits

    def _dispatch_exclusive(
        self,
        queue: _router_state.Queue,
        request: router_messages.Acquire,
        candidates: tuple[routing.Candidate, ...],
    ) -> None:
        """Reserve an upstream for a request that must run alone, and send it once that is idle.

        At most one upstream is reserved at a time, so that the others keep taking work.
        """
        reserved = [s for s in self._table.upstreams.values() if s.reserved_for is not None]
        if not reserved:
            chosen = routing.choose_for_exclusive_run(
                candidates, request.fingerprint, request.requirements
            )
            if chosen is None:
                return
            self._table.upstreams[chosen.name].reserved_for = request.place
            reserved = [self._table.upstreams[chosen.name]]
        state = reserved[0]
        if state.reserved_for == request.place and not state.running:
            queue.remove(request.place)
            self._grant_permit(request, state.name)

    def _release_reservation(self, place: admission.Place) -> None:
        for state in self._table.upstreams.values():
            if state.reserved_for == place:
                state.reserved_for = None

    def _refuse_during_outage(self, service: str, queue: _router_state.Queue) -> None:
        """Refuse the waiting requests whose upstreams are all down for longer than they wait."""
        outages_s: dict[tuple[str | None, bool], float] = {}
        for place, request in tuple(queue.requests.items()):
            requirements = request.requirements
            version = requirements.software_version, requirements.version_named
            if version not in outages_s:
                outages_s[version] = self._measure_outage(service, requirements)
            outage_s = outages_s[version]
            if outage_s <= MAX_OUTAGE_WAIT_S:
                continue
            queue.remove(place)
            refusal = errors.Refusal(
                errors.Code.UNAVAILABLE,
                _describe_outage(service, request.requirements),
                step="route",
                retry_after_s=1.0 if outage_s == math.inf else round(outage_s, 3),
            )
            request.reply.send_nowait(result.Err(refusal))

    def _measure_outage(self, service: str, requirements: routing.Requirements) -> float:
        """Return in how many seconds the first upstream for a request is tried again."""
        now_s = trio.current_time()
        backoffs_s = (
            state.health.retry_at_s - now_s
            for state in self._table.upstreams_of(service)
            if not state.is_leaving(now_s) and requirements.allow(state.software_version)
        )
        return min(backoffs_s, default=math.inf)

    def _refuse_late(self, service: str, queue: _router_state.Queue) -> None:
        """Refuse requests that can no longer finish in time, so that their callers don't wait."""
        now_s = trio.current_time()
        free = routing.count_free_permits(self._table.candidates(service))
        for place in admission.find_unservable(queue.places, free, queue.mean_duration_s, now_s):
            request = queue.remove(place)
            self._release_reservation(place)
            if request is not None:
                refusal = admission.make_timeout_refusal(place, self._queue_state(request), now_s)
                request.reply.send_nowait(result.Err(refusal))

    def _grant_permit(self, request: router_messages.Acquire, upstream: str) -> None:
        state = self._table.upstreams[upstream]
        if not state.running:
            state.crash_reported = False
        state.running[request.place] = request.fingerprint
        request.reply.send_nowait(result.Ok(upstream))
        self._usage_increased.set()

    def _apply_manifest(self) -> None:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None or accepted.version == self._version:
            return
        self._version = accepted.version
        self._queue_limit = accepted.manifest.online.queue_limit
        self._top_rank = min((p.rank for p in accepted.manifest.priorities), default=0)
        self._table.apply_manifest(accepted.manifest)
        self._table.refresh_caps(self._view())
        count = len(self._table.upstreams)
        self._log.info("upstreams_updated", version=self._version, upstreams=count)

    def _view(self) -> ports.View | None:
        if not self._kern.has("membership"):
            return None
        return self._kern.find("membership", ports.Membership).view()


def _describe_outage(service: str, requirements: routing.Requirements) -> str:
    if requirements.software_version is None:
        return f"no upstream of {service} is up"
    return f"no upstream of {service} is up that has the software version which began the stream"
