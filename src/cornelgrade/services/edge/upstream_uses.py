"""Tracks the load at the upstreams on which a worker runs batch items."""

from collections.abc import Callable

import msgspec
import trio

from cornelgrade import routes
from cornelgrade.policy import batch_capacity, upstream_speed
from cornelgrade.schema import messages
from cornelgrade.services.edge import _broadcast, peers, ports, team_usage, upstream_loads

# A gateway's counts expire after six broadcasts.
USE_TTL_S = 1.5
# How often upstreams of which there is no recent evidence are forgotten.
FORGET_INTERVAL_S = 30.0
_MS_PER_S = 1000.0


class UpstreamUses:
    """Collects gateways' use counts and upstreams' load; sends each gateway the others' counts.

    :param count_items_at: returns the number of batch items that run at an upstream.
    :param on_use: called after use counts were received.
    :param recorder: gets each response to a load poll.
    :ivar speeds: durations of online requests, from all gateways.
    """

    def __init__(
        self,
        peer_service: peers.Peers,
        call_format: ports.CallFormat,
        count_items_at: Callable[[str], int],
        on_use: Callable[[], None],
        recorder: upstream_loads.Recorder,
    ) -> None:
        self.loads = upstream_loads.UpstreamLoads(call_format, count_items_at, recorder)
        self._peers = peer_service
        self._count_items_at = count_items_at
        self._on_use = on_use
        self._online_by_gateway: dict[str, dict[str, tuple[messages.UpstreamUse, float]]] = {}
        self._gateway_seen_s: dict[str, float] = {}
        self._delta: _broadcast.BroadcastDelta[messages.Uses] = _broadcast.BroadcastDelta()
        self._teams = team_usage.TeamUsage()
        self._peaks: dict[str, batch_capacity.RecentPeak] = {}
        self.speeds = upstream_speed.SpeedTable()
        self._forgot_s = 0.0

    async def receive_uses(self, received: trio.MemoryReceiveChannel[messages.Uses]) -> None:
        """Apply use counts from gateways until cancelled."""
        async for message in received:
            now_s = trio.current_time()
            self._gateway_seen_s[message.vm] = now_s
            for use in message.uses:
                self._online_by_gateway.setdefault(use.upstream, {})[message.vm] = (use, now_s)
                if use.took_ms:
                    self.speeds.record(use.upstream, use.took_ms / _MS_PER_S, now_s)
            self._on_use()

    def current_use(self, up: routes.Upstream, now_s: float) -> batch_capacity.UpstreamLoad:
        """Return what is known of an upstream's load."""
        uses = self._list_uses(up.name, now_s)
        online = sum(use.online for use in uses)
        report = self.loads.fresh_report(up.name, now_s)
        return batch_capacity.UpstreamLoad(
            slots=up.slots,
            online=online,
            batch=self._count_items_at(up.name),
            online_peak=self._peaks.setdefault(up.name, batch_capacity.RecentPeak()).update(
                online, now_s
            ),
            heard=bool(uses),
            reported=report.others if report else None,
            reported_waiting=report.waiting if report else 0,
        )

    def _list_uses(self, upstream: str, now_s: float) -> list[messages.UpstreamUse]:
        received = self._online_by_gateway.get(upstream, {}).values()
        return [use for use, at_s in received if now_s - at_s < USE_TTL_S]

    def send_to_gateways(self, owned_upstreams: list[routes.Upstream]) -> int:
        """Send each gateway the requests of the others at the upstreams that it uses.

        A gateway that uses none of them gets an empty message, because it needs to know which
        workers are live to choose a batch owner. Unchanged counts are resent each
        :data:`_broadcast.BROADCAST_INTERVAL_S`.

        :returns: the number of gateways.
        """
        now_s = trio.current_time()
        uses_by_gateway: dict[str, list[messages.UpstreamUse]] = {
            vm: [] for vm, at_s in self._gateway_seen_s.items() if now_s - at_s < USE_TTL_S
        }
        received = {up.name: self._list_uses(up.name, now_s) for up in owned_upstreams}
        self._teams.update(owned_upstreams, received, now_s)
        listed: set[tuple[str, str]] = set()
        for up in owned_upstreams:
            use = self.current_use(up, now_s)
            for vm, (own, at_s) in self._online_by_gateway.get(up.name, {}).items():
                if now_s - at_s < USE_TTL_S:
                    is_first = (vm, up.service) not in listed
                    listed.add((vm, up.service))
                    other = messages.UpstreamUse(
                        up.name,
                        use.online - own.online,
                        use.batch,
                        over_share=self._teams.over_share(up.service) if is_first else (),
                    )
                    uses_by_gateway.setdefault(vm, []).append(other)
        changed, _ = self._delta.select_entries(
            {vm: messages.Uses(tuple(uses)) for vm, uses in uses_by_gateway.items()}
        )
        took_ms = {up.name: self._mean_to_report_ms(up.name, now_s) for up in owned_upstreams}
        for vm, message in changed.items():
            self._peers.send(vm, _add_durations(message, took_ms))
        if now_s - self._forgot_s >= FORGET_INTERVAL_S:
            self._forgot_s = now_s
            self.speeds.forget_old(now_s)
        return len(uses_by_gateway)

    def _mean_to_report_ms(self, upstream: str, now_s: float) -> int:
        return round((self.speeds.mean_to_report_s(upstream, now_s) or 0.0) * _MS_PER_S)


def _add_durations(message: messages.Uses, took_ms: dict[str, int]) -> messages.Uses:
    """Add the mean durations to a message; a change of these alone is no reason to send one."""
    return messages.Uses(
        tuple(
            (
                msgspec.structs.replace(use, took_ms=took_ms[use.upstream])
                if took_ms[use.upstream]
                else use
            )
            for use in message.uses
        )
    )
