"""The service ``peer_reach``: which other gateways reach upstreams that this one has lost.

Nothing is sent while a gateway reaches its upstreams. One that has lost them asks some others,
drawn anew each time, so that it finds one that reaches them also in a large fleet.
"""

import collections
import random
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import kernel, settings
from cornelgrade.policy import stranding
from cornelgrade.schema import messages
from cornelgrade.services.edge import _notifier, peers, slot_permits, upstream_reach

QUERY_INTERVAL_S = 0.25
# Gateways asked at a time.
QUERIED_PEERS = 8
# A peer that lost its upstreams meanwhile refuses a forwarded request, so reports may be this old.
REPORT_TTL_S = 1.0
# How long a request waits for the first reports; a round trip takes a few milliseconds.
FIRST_REPORT_WAIT_S = 0.05


class PeerReach:
    """Asks other gateways what they reach, and replies to their questions."""

    name = "peer_reach"

    def __init__(self, kern: kernel.Kernel, cfg: settings.EdgeSettings) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._reach = kern.find("upstream_reach", upstream_reach.UpstreamReach)
        self._permits = kern.find("seats", slot_permits.SlotPermits)
        self._rng = random.Random(cfg.vm)
        self._reports: dict[str, tuple[stranding.Peer, float]] = {}
        self._sent_since_report: collections.Counter[str] = collections.Counter()
        self._reported = _notifier.Notifier()
        self._queried_s = -QUERY_INTERVAL_S
        self._stopping = False

    async def run(self, started: Callable[[], None]) -> None:
        """Reply to questions and receive reports until cancelled."""
        queries = self._peers.subscribe(messages.ReachQuery)
        reports = self._peers.subscribe(messages.ReachReport)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_queries, queries)
            nursery.start_soon(self._receive_reports, reports)
            started()

    def stop(self) -> None:
        """Tell the others from now on that this gateway takes no requests of theirs."""
        self._stopping = True

    async def find_peer(self, service: str, tried: frozenset[str]) -> stranding.Peer | None:
        """Return a gateway that reaches upstreams of a service, ``None`` if none reports so.

        The caller forwards a request there, which counts as load until the next report.
        """
        self._query()
        peer = self._choose(service, tried)
        with trio.move_on_after(FIRST_REPORT_WAIT_S):
            while peer is None:
                await self._reported.wait()
                peer = self._choose(service, tried)
        if peer is not None:
            self._sent_since_report[peer.vm] += 1
        return peer

    def drop(self, vm: str) -> None:
        """Forget what a gateway reported, because it failed to serve a request."""
        self._reports.pop(vm, None)
        del self._sent_since_report[vm]

    def _choose(self, service: str, tried: frozenset[str]) -> stranding.Peer | None:
        now_s = trio.current_time()
        fresh = tuple(
            msgspec.structs.replace(peer, sent=self._sent_since_report[peer.vm])
            for peer, at_s in self._reports.values()
            if now_s - at_s < REPORT_TTL_S
        )
        return stranding.choose_peer(fresh, service, tried, self._rng)

    def _query(self) -> None:
        now_s = trio.current_time()
        if now_s - self._queried_s < QUERY_INTERVAL_S:
            return
        self._queried_s = now_s
        others = [
            vm for vm in self._peers.registered_vms(peers.Role.GATEWAY) if vm != self._peers.vm
        ]
        for vm in self._rng.sample(others, min(QUERIED_PEERS, len(others))):
            self._peers.send(vm, messages.ReachQuery())

    async def _receive_queries(
        self, received: trio.MemoryReceiveChannel[messages.ReachQuery]
    ) -> None:
        async for query in received:
            services = () if self._stopping else self._reach.reached_services()
            report = messages.ReachReport(services, self._permits.count_outstanding())
            self._peers.send(query.vm, report)

    async def _receive_reports(
        self, received: trio.MemoryReceiveChannel[messages.ReachReport]
    ) -> None:
        async for report in received:
            peer = stranding.Peer(report.vm, frozenset(report.services), report.active)
            self._reports[report.vm] = (peer, trio.current_time())
            del self._sent_since_report[report.vm]
            self._reported.notify_all()
