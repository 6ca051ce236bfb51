"""What a worker knows of the load at the upstreams on which it runs batch."""

import collections
from collections.abc import Callable

import trio

from cornelgrade import routes
from cornelgrade.policy import batch_room
from cornelgrade.schema import messages
from cornelgrade.services.edge import _beat, peers, ports, upstream_loads

# A gateway's load holds this long: six of its reports.
LOAD_S = 1.5


class UpstreamUses:
    """Hears gateways and upstreams, and tells each gateway of the others.

    :param items_at: counts the batch items that run at an upstream.
    :param heard: called when a gateway was heard.
    """

    def __init__(
        self,
        known: peers.Peers,
        calls: ports.CallFormat,
        items_at: Callable[[str], int],
        heard: Callable[[], None],
    ) -> None:
        self.loads = upstream_loads.UpstreamLoads(calls, items_at)
        self._peers = known
        self._items_at = items_at
        self._heard = heard
        self._online: dict[str, dict[str, tuple[int, float]]] = {}
        self._asking: dict[str, float] = {}
        self._beat: _beat.Beat[messages.Uses] = _beat.Beat()
        self._seen: dict[str, collections.deque[tuple[float, int]]] = {}

    async def hear(self, got: trio.MemoryReceiveChannel[messages.Uses]) -> None:
        """Take in what gateways tell until cancelled."""
        async for told in got:
            now_s = trio.current_time()
            self._asking[told.vm] = now_s
            for use in told.uses:
                self._online.setdefault(use.upstream, {})[told.vm] = (use.online, now_s)
            self._heard()

    def use(self, up: routes.Upstream, now_s: float) -> batch_room.Use:
        """Give what is known of an upstream's load."""
        fresh = [
            count for count, at_s in self._online.get(up.name, {}).values() if now_s - at_s < LOAD_S
        ]
        online = sum(fresh)
        report = self.loads.latest(up.name, now_s)
        return batch_room.Use(
            slots=up.slots,
            online=online,
            batch=self._items_at(up.name),
            peak=self._peak(up.name, online, now_s),
            heard=bool(fresh),
            reported=report.others if report else None,
            reported_waiting=report.waiting if report else 0,
        )

    def _peak(self, upstream: str, online: int, now_s: float) -> int:
        """Note the online load and give its highest value of late."""
        seen = self._seen.setdefault(upstream, collections.deque())
        seen.append((now_s, online))
        while seen and now_s - seen[0][0] > batch_room.PEAK_S:
            seen.popleft()
        return max(count for _, count in seen)

    def tell_gateways(self, owned: list[routes.Upstream]) -> None:
        """Tell each gateway of the others' requests at the upstreams that it uses.

        One that uses none here gets an empty message: it has to know who lives to choose whom to
        tell. What did not change is told again each :data:`_beat.BEAT_S`.
        """
        now_s = trio.current_time()
        told: dict[str, list[messages.UpstreamUse]] = {
            vm: [] for vm, at_s in self._asking.items() if now_s - at_s < LOAD_S
        }
        for up in owned:
            use = self.use(up, now_s)
            for vm, (count, at_s) in self._online.get(up.name, {}).items():
                if now_s - at_s < LOAD_S:
                    other = messages.UpstreamUse(up.name, use.online - count, use.batch)
                    told.setdefault(vm, []).append(other)
        due, _ = self._beat.due({vm: messages.Uses(tuple(uses)) for vm, uses in told.items()})
        for vm, message in due.items():
            self._peers.send(vm, message)
