"""The service ``retiring``: empties this VM when operators ask for it, and says when it is empty.

A worker's disk holds nothing that must last, so a VM is empty once its items have ended or were
handed to others. A worker that can't speak for itself any more is spoken for by another.
"""

from collections.abc import Callable

import trio

from cornelgrade import kernel, logs
from cornelgrade.adapters import platform
from cornelgrade.policy import ownership
from cornelgrade.services.edge import _object_watch, peers, ports, runner

# A worker that was not heard for this long after the request is spoken for by another one.
SILENT_S = 3.0
RETRY_S = 0.3
_log = logs.Logger("retiring")


class VmRetirement:
    """Follows the requests to empty workers."""

    name = "retiring"

    def __init__(
        self,
        kern: kernel.Kernel,
        store: platform.Platform,
        contact: _object_watch.StoreAvailability,
        retirements: ports.Retirements,
    ) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._runner = kern.find("runner", runner.Runner)
        self._store = store
        self._contact = contact
        self._retirements = retirements
        self._handled: set[str] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Follow until cancelled."""
        started()
        async with trio.open_nursery() as self._nursery:
            await _object_watch.follow(
                self._store, self._retirements.kind, self._contact, self._requested
            )

    async def _requested(self, changes: platform.Changes, whole: bool) -> None:
        assert self._nursery is not None
        for stored in changes.items:
            if stored.name not in self._handled:
                self._handled.add(stored.name)
                _log.info("retire", retired=stored.name, revision=stored.version)
                own = stored.name == self._peers.vm
                self._nursery.start_soon(self._empty if own else self._stand_in, stored.name)

    async def _empty(self, vm: str) -> None:
        await self._tell(vm, ports.RetirementState.RUNNING)
        await self._runner.drain()
        await self._tell(vm, ports.RetirementState.DONE)

    async def _stand_in(self, vm: str) -> None:
        """Speak for a worker that has gone silent, if this VM is the one to do so."""
        while True:
            await trio.sleep(SILENT_S)
            workers = self._peers.live_vms(peers.Role.WORKER)
            if vm in workers:
                continue
            if ownership.owner(vm, workers) == self._peers.vm:
                await self._tell(vm, ports.RetirementState.DONE)
            return

    async def _tell(self, vm: str, state: ports.RetirementState) -> None:
        while True:
            try:
                await self._retirements.report_state(vm, state)
                _log.info("emptying", retired=vm, state=state.value)
                return
            except platform.UnavailableError as exc:
                _log.warning("emptying_not_told", retired=vm, error=exc.format_message())
                await trio.sleep(RETRY_S)
