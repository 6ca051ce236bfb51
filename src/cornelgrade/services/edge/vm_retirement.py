"""The service ``retiring``: drains this VM on operators' request and reports when it is done.

A worker's disk holds no durable data, so a VM is drained once its items have ended or other
workers have taken them over. Another worker reports on behalf of an unresponsive one.
"""

from collections.abc import Callable

import trio

from cornelgrade import kernel, logs
from cornelgrade.adapters import platform
from cornelgrade.policy import ownership
from cornelgrade.services.edge import (
    _object_watch,
    _store_availability,
    peers,
    ports,
    runner,
)

# After a request, another worker reports for one that stays unresponsive for this long.
UNRESPONSIVE_AFTER_S = 3.0
RETRY_PAUSE_S = 0.3
_log = logs.Logger("retiring")


class VmRetirement:
    """Watches the requests to retire workers."""

    name = "retiring"

    def __init__(
        self,
        kern: kernel.Kernel,
        store: platform.Platform,
        availability: _store_availability.StoreAvailability,
        retirements: ports.Retirements,
    ) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._runner = kern.find("runner", runner.Runner)
        self._store = store
        self._availability = availability
        self._retirements = retirements
        self._handled: set[str] = set()
        self._nursery: trio.Nursery | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Watch until cancelled."""
        started()
        async with trio.open_nursery() as self._nursery:
            await _object_watch.watch_objects(
                self._store, self._retirements.kind, self._availability, self._apply_requests
            )

    async def _apply_requests(self, changes: platform.Changes, is_snapshot: bool) -> None:
        assert self._nursery is not None
        for stored in changes.items:
            if stored.name not in self._handled:
                self._handled.add(stored.name)
                _log.info("retire", retired=stored.name, revision=stored.version)
                is_own = stored.name == self._peers.vm
                self._nursery.start_soon(
                    self._drain_vm if is_own else self._report_for_unresponsive, stored.name
                )

    async def _drain_vm(self, vm: str) -> None:
        await self._report_state(vm, ports.RetirementState.RUNNING)
        await self._runner.drain()
        await self._report_state(vm, ports.RetirementState.DONE)

    async def _report_for_unresponsive(self, vm: str) -> None:
        """Report an unresponsive worker as drained, if this VM is the one to do so."""
        while True:
            await trio.sleep(UNRESPONSIVE_AFTER_S)
            workers = self._peers.live_vms(peers.Role.WORKER)
            if vm in workers:
                continue
            if ownership.choose_owner(vm, workers) == self._peers.vm:
                await self._report_state(vm, ports.RetirementState.DONE)
            return

    async def _report_state(self, vm: str, state: ports.RetirementState) -> None:
        while True:
            try:
                await self._retirements.report_state(vm, state)
                _log.info("emptying", retired=vm, state=state.value)
                return
            except platform.UnavailableError as exc:
                _log.warning("emptying_not_reported", retired=vm, error=exc.format_message())
                await trio.sleep(RETRY_PAUSE_S)
