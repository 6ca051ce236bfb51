"""The service ``share_grants``: the owner of an engine divides its slots among the gateways.

It runs in the worker, which receives every gateway's load and sends each gateway its share. A
gateway that receives no share falls back to an equal part.
"""

import dataclasses
from collections.abc import Callable

import trio

from cornelgrade import kernel, settings
from cornelgrade.policy import ownership, shares
from cornelgrade.services import ports

GRANT_INTERVAL_S = 0.1
REFRESH_INTERVAL_S = 1.0
DEMAND_EXPIRY_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedDemand:
    """A gateway's demand, and when it was received."""

    wanted: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _SentShare:
    """The last share sent to a gateway, and when it was sent."""

    slots: int
    at_s: float


class ShareGrants:
    """Sends :class:`ports.Share` datagrams to the gateways that use an engine."""

    name = "share_grants"

    def __init__(self, kern: kernel.Kernel, cfg: settings.Settings) -> None:
        self._kern = kern
        self._cfg = cfg
        self._received: dict[str, dict[str, _ReceivedDemand]] = {}
        self._sent_shares: dict[tuple[str, str], _SentShare] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Divide slots until cancelled."""
        members = self._kern.find("membership", ports.Membership)
        loads = members.subscribe(ports.Load)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_loads, loads)
            started()
            while True:
                await trio.sleep(GRANT_INTERVAL_S)
                self._send_shares(members)

    async def _receive_loads(self, loads: trio.MemoryReceiveChannel[ports.Load]) -> None:
        async for load in loads:
            received = _ReceivedDemand(load.outstanding + load.queued, trio.current_time())
            self._received.setdefault(load.upstream, {})[load.vm] = received

    def _send_shares(self, members: ports.Membership) -> None:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None:
            return
        view = members.view()
        local = frozenset(m.vm for m in view.usable(self._cfg.failure_domain))
        slots = {up.name: up.slots for up in accepted.manifest.upstreams}
        now_s = trio.current_time()
        for upstream in ownership.list_owned(self._cfg.vm, self._received, local):
            demands = self._get_demands(upstream, local, now_s)
            if upstream not in slots or not demands:
                continue
            granted_slots = shares.divide_slots(slots[upstream], demands)
            for vm, share in granted_slots.items():
                self._send_share(members, upstream, vm, share, now_s)

    def _get_demands(
        self, upstream: str, local: frozenset[str], now_s: float
    ) -> tuple[shares.Demand, ...]:
        """Return each gateway's demand; it is 0 for a local gateway without a recent report."""
        recent = {
            vm: received.wanted
            for vm, received in self._received[upstream].items()
            if now_s - received.at_s < DEMAND_EXPIRY_S
        }
        self._received[upstream] = {vm: self._received[upstream][vm] for vm in recent}
        wanted = dict.fromkeys(local, 0) | recent
        return tuple(shares.Demand(vm, count, vm in local) for vm, count in wanted.items())

    def _send_share(
        self, members: ports.Membership, upstream: str, vm: str, share: int, now_s: float
    ) -> None:
        """Send a share when it changes, and repeat it while the gateway uses the engine."""
        sent = self._sent_shares.get((upstream, vm))
        uses = vm in self._received[upstream]
        changed = sent is None or sent.slots != share
        refresh_due = sent is None or now_s - sent.at_s >= REFRESH_INTERVAL_S
        if changed or (uses and refresh_due):
            self._sent_shares[upstream, vm] = _SentShare(share, now_s)
            members.send(vm, ports.Share(upstream, share))
