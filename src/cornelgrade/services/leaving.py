"""The service ``leaving``: detects upstreams that are leaving and announces them to all gateways.

It runs in the worker. The owner of an engine polls the engine itself. One VM of each failure domain
reads the platform's list of VMs, which lags. Gateways also announce an engine whose responses say
that it is leaving. The first announcement takes the upstream out of use. Announcements are repeated
while the upstream is leaving, for gateways that started later, and expire, so that an upstream that
stays after all is used again.
"""

import math
from collections.abc import Callable

import trio

from cornelgrade import kernel, logs, settings
from cornelgrade.adapters import engine, platform
from cornelgrade.policy import ownership
from cornelgrade.services import ports, upstreams

STATE_INTERVAL_S = 0.5
LIST_INTERVAL_S = 1.0
REPEAT_INTERVAL_S = 1.0
_LOG_AGAIN_AFTER_S = 10.0
_LIST_READER_KEY = "platform-vm-list"


class LeavingWatch:
    """Detects leaving upstreams by polling engines and the platform's list of VMs.

    :param store: the platform, whose list contains leaving VMs.
    """

    name = "leaving"

    def __init__(
        self, kern: kernel.Kernel, cfg: settings.Settings, store: platform.Platform
    ) -> None:
        self._kern = kern
        self._cfg = cfg
        self._store = store
        self._log = logs.Logger(self.name)
        self._announced_at_s: dict[str, float] = {}

    async def run(self, started: Callable[[], None]) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_engines)
            nursery.start_soon(self._poll_list)
            started()

    async def _poll_engines(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                for name in self._owned_engines():
                    nursery.start_soon(self._poll_engine, name)
            await trio.sleep(STATE_INTERVAL_S)

    async def _poll_engine(self, name: str) -> None:
        try:
            state = await self._kern.find("upstreams", upstreams.Pool).get(name).state()
        except engine.CallError:
            return
        if state.leaving:
            self._announce(name, "its own answer")

    async def _poll_list(self) -> None:
        while True:
            if self._is_list_reader():
                await self._read_list()
            await trio.sleep(LIST_INTERVAL_S)

    async def _read_list(self) -> None:
        try:
            listed = await self._store.vms()
        except platform.UnavailableError as exc:
            self._log.debug("vm_list_unavailable", error=exc.message)
            return
        for vm in listed:
            if vm.state is platform.VmState.LEAVING and vm.name in self._local_upstream_kinds():
                self._announce(vm.name, "the platform's list")

    def _announce(self, upstream: str, sign: str) -> None:
        now_s = trio.current_time()
        since_announced_s = now_s - self._announced_at_s.get(upstream, -math.inf)
        if since_announced_s < REPEAT_INTERVAL_S:
            return
        if since_announced_s > _LOG_AGAIN_AFTER_S:
            self._log.info("upstream_leaving", peer=upstream, sign=sign)
        self._announced_at_s[upstream] = now_s
        self._kern.find("membership", ports.Membership).broadcast(ports.Leaving(upstream))

    def _owned_engines(self) -> frozenset[str]:
        engines = [name for name, kind in self._local_upstream_kinds().items() if kind == "model"]
        return ownership.list_owned(self._cfg.vm, engines, self._local_vms())

    def _is_list_reader(self) -> bool:
        return ownership.choose_owner(_LIST_READER_KEY, self._local_vms()) == self._cfg.vm

    def _local_vms(self) -> tuple[str, ...]:
        view = self._kern.find("membership", ports.Membership).view()
        return tuple(m.vm for m in view.usable(self._cfg.failure_domain))

    def _local_upstream_kinds(self) -> dict[str, str]:
        """Return the kind of service of each upstream in this failure domain."""
        accepted = self._kern.find("configuration", ports.Configuration).current()
        if accepted is None:
            return {}
        kinds = {service.name: service.kind for service in accepted.manifest.services}
        return {
            up.name: kinds[up.service]
            for up in accepted.manifest.upstreams
            if up.failure_domain == self._cfg.failure_domain
        }
