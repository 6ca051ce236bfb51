"""The service ``leaving``: finds upstreams that are leaving and tells every gateway.

It runs in the worker. An engine's owner asks the engine itself; one VM of each failure domain
reads the platform's list, which lags. Gateways add what an engine's answers say. The first sign
counts; signs are repeated while they hold, so that an upstream that stays is used again.
"""

from collections.abc import Callable

import trio

from cornelgrade import kernel, logs, settings
from cornelgrade.adapters import engine, platform
from cornelgrade.policy import ownership
from cornelgrade.services import ports, upstreams

STATE_INTERVAL_S = 0.5
LIST_INTERVAL_S = 1.0
REPEAT_S = 5.0
_LIST = "platform-vm-list"


class LeavingWatch:
    """Watches for the signs that a worker can see.

    :param store: the platform, whose list names leaving VMs.
    """

    name = "leaving"

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.Settings, store: platform.Platform
    ) -> None:
        self._kern = kern
        self._cfg = cfg
        self._store = store
        self._log = logs.Logger(self.name)
        self._told_s: dict[str, float] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_engines)
            nursery.start_soon(self._follow_list)
            started()

    async def _follow_engines(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                for name in self._owned_engines():
                    nursery.start_soon(self._ask, name)
            await trio.sleep(STATE_INTERVAL_S)

    async def _ask(self, name: str) -> None:
        try:
            state = await self._kern.find("upstreams", upstreams.Pool).get(name).state()
        except engine.CallError:
            return
        if state.leaving:
            self._tell(name, "its own answer")

    async def _follow_list(self) -> None:
        while True:
            if self._reads_list():
                await self._read_list()
            await trio.sleep(LIST_INTERVAL_S)

    async def _read_list(self) -> None:
        try:
            listed = await self._store.vms()
        except platform.UnavailableError as exc:
            self._log.debug("list_unavailable", error=exc.message)
            return
        for vm in listed:
            if vm.state is platform.VmState.LEAVING and vm.name in self._known():
                self._tell(vm.name, "the platform's list")

    def _tell(self, upstream: str, sign: str) -> None:
        now_s = trio.current_time()
        if now_s - self._told_s.get(upstream, -REPEAT_S) < REPEAT_S:
            return
        self._told_s[upstream] = now_s
        self._log.info("upstream_leaving", peer=upstream, sign=sign)
        self._kern.find("membership", ports.Membership).broadcast(ports.Leaving(upstream))

    def _owned_engines(self) -> frozenset[str]:
        engines = [name for name, kind in self._known().items() if kind == "model"]
        return ownership.owned(self._cfg.vm, engines, self._local_vms())

    def _reads_list(self) -> bool:
        return ownership.owner(_LIST, self._local_vms()) == self._cfg.vm

    def _local_vms(self) -> tuple[str, ...]:
        view = self._kern.find("membership", ports.Membership).view()
        return tuple(m.vm for m in view.usable(self._cfg.failure_domain))

    def _known(self) -> dict[str, str]:
        """Name this failure domain's upstreams with their services' kinds."""
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None:
            return {}
        kinds = {service.name: service.kind for service in accepted.manifest.services}
        return {
            up.name: kinds[up.service]
            for up in accepted.manifest.upstreams
            if up.failure_domain == self._cfg.failure_domain
        }
