"""The service ``share_grants``: the owner of an engine divides its slots among the gateways.

It runs in the worker, which hears every gateway's load, and answers with each gateway's share.
A gateway that hears nothing falls back to an equal part.
"""

import dataclasses
from collections.abc import Callable

import trio

from cornelgrade import kernel, settings
from cornelgrade.policy import ownership, shares
from cornelgrade.services import ports

INTERVAL_S = 0.1
REFRESH_S = 1.0
FORGET_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """A gateway's demand, and when it was heard."""

    wanted: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Granted:
    """A share that was told, and when."""

    slots: int
    at_s: float


class ShareGrants:
    """Sends :class:`ports.Share` datagrams to the gateways that use an engine."""

    name = "share_grants"

    def __init__(self, kern: kernel.Kernel, cfg: settings.Settings) -> None:
        self._kern = kern
        self._cfg = cfg
        self._heard: dict[str, dict[str, _Heard]] = {}
        self._granted: dict[tuple[str, str], _Granted] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Divide slots until cancelled."""
        members = self._kern.find("membership", ports.Membership)
        loads = members.subscribe(ports.Load)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen, loads)
            started()
            while True:
                await trio.sleep(INTERVAL_S)
                self._grant(members)

    async def _listen(self, loads: trio.MemoryReceiveChannel[ports.Load]) -> None:
        async for load in loads:
            heard = _Heard(load.outstanding + load.queued, trio.current_time())
            self._heard.setdefault(load.upstream, {})[load.vm] = heard

    def _grant(self, members: ports.Membership) -> None:
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None:
            return
        view = members.view()
        local = frozenset(m.vm for m in view.usable(self._cfg.failure_domain))
        slots = {up.name: up.slots for up in accepted.manifest.upstreams}
        now_s = trio.current_time()
        for upstream in ownership.owned(self._cfg.vm, self._heard, local):
            demands = self._demands(upstream, local, now_s)
            if upstream not in slots or not demands:
                continue
            told = shares.divide(slots[upstream], demands)
            for vm, share in told.items():
                self._tell(members, upstream, vm, share, now_s)

    def _demands(
        self, upstream: str, local: frozenset[str], now_s: float
    ) -> tuple[shares.Demand, ...]:
        """Give what each gateway wants; a local one that said nothing wants nothing."""
        fresh = {
            vm: heard.wanted
            for vm, heard in self._heard[upstream].items()
            if now_s - heard.at_s < FORGET_S
        }
        self._heard[upstream] = {vm: self._heard[upstream][vm] for vm in fresh}
        wanted = dict.fromkeys(local, 0) | fresh
        return tuple(shares.Demand(vm, count, vm in local) for vm, count in wanted.items())

    def _tell(
        self, members: ports.Membership, upstream: str, vm: str, share: int, now_s: float
    ) -> None:
        """Send a share when it changed, and again while the gateway uses the engine."""
        granted = self._granted.get((upstream, vm))
        uses = vm in self._heard[upstream]
        changed = granted is None or granted.slots != share
        due = granted is None or now_s - granted.at_s >= REFRESH_S
        if changed or (uses and due):
            self._granted[upstream, vm] = _Granted(share, now_s)
            members.send(vm, ports.Share(upstream, share))
