"""The service ``store_monitor``: notices when the platform's store stops and starts to respond.

A process that only has watches open would not notice a store that falls silent, nor that it has
forgotten the watches. So the store is probed by a cheap read when nothing was heard of it for a
while. The processes of a failure domain tell each other that it responded, so that a probe of one
spares the others theirs, and how far they have followed it, so that a watch that was lost is found.
"""

import random
from collections.abc import Callable

import trio

from cornelgrade import clocks, kernel, logs
from cornelgrade.adapters import platform
from cornelgrade.schema import messages
from cornelgrade.services.edge import _store_availability, peers, ports

# The store is probed if neither this process nor one nearby had a response for this long. With the
# pauses and the timeout below, changes made during an outage arrive within 2 s of its end.
MAX_SILENCE_S = 1.0
# The store may reject or ignore some VMs only, so each process probes it at least this often.
MAX_OWN_SILENCE_S = 3.0
# Spreads the probes of processes, so that one of them probes before the others are due.
MAX_JITTER_S = 0.5
# A response takes milliseconds; a store that is slow takes some hundred.
PROBE_TIMEOUT_S = 1.0
# Pauses between probes while the store is unavailable; each is twice the one before.
MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.4
# A change that another process has received arrives here within this time, unless it was lost.
CATCH_UP_S = 0.3
# The machine or the process was stopped if a pause lasted longer than planned by this.
SUSPENSION_S = 1.0
_log = logs.Logger("store_monitor")


class StoreMonitor:
    """Probes the store, and restarts the watches of this process where one may be lost."""

    name = "store_monitor"

    def __init__(
        self,
        kern: kernel.Kernel,
        store: platform.Platform,
        directory: ports.Directory,
        availability: _store_availability.StoreAvailability,
        vm: str,
    ) -> None:
        self._peers = kern.find("peers", peers.Peers)
        self._store = store
        self._directory = directory
        self._availability = availability
        self._rng = random.Random(vm)
        self._heard_s = 0.0
        self._checked_kinds: set[str] = set()

    async def run(self, started: Callable[[], None]) -> None:
        """Probe and listen until cancelled."""
        received = self._peers.subscribe(messages.StoreProgress)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_progress, received, nursery)
            self._heard_s = trio.current_time()
            started()
            while True:
                await self._wait_until_due()
                await self._probe_until_available(nursery)

    async def _wait_until_due(self) -> None:
        """Wait until the store has to be probed."""
        jitter_s = self._rng.uniform(0.0, MAX_JITTER_S)
        while not self._availability.unavailable:
            now_s = trio.current_time()
            due_s = self._due_s() + jitter_s
            if now_s >= due_s:
                return
            suspended_before_s = clocks.suspended_s()
            with trio.move_on_at(due_s):
                await self._availability.wait_change()
            late_s = trio.current_time() - due_s
            if max(late_s, clocks.suspended_s() - suspended_before_s) > SUSPENSION_S:
                _log.info("was_suspended", late_s=late_s)
                self._availability.restart_watches()
                return

    def _due_s(self) -> float:
        responded_s = self._availability.responded_s
        heard_s = max(responded_s, self._heard_s)
        return min(responded_s + MAX_OWN_SILENCE_S, heard_s + MAX_SILENCE_S)

    async def _probe_until_available(self, nursery: trio.Nursery) -> None:
        pause_s = MIN_RETRY_PAUSE_S
        while True:
            try:
                stored = await self._probe()
                break
            except platform.UnavailableError as exc:
                if self._availability.record_failure():
                    _log.warning("store_lost", error=exc.format_message())
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)
        if self._availability.record_success():
            _log.info("store_regained")
        if stored is not None:
            self._check_followed(self._directory.plan_kind, stored.version, nursery)
        self._send_progress()

    async def _probe(self) -> platform.StoredObject | None:
        """Read the plan, which costs little and shows whether a newer one was missed.

        :raises UnavailableError: if the store does not respond in time.
        """
        directory = self._directory
        with trio.move_on_after(PROBE_TIMEOUT_S):
            return await self._store.get(directory.plan_kind, directory.plan_name, allow_stale=True)
        raise platform.UnavailableError("no answer in time", step="probe")

    def _send_progress(self) -> None:
        """Tell the processes nearby that the store responded, unless one has just said so."""
        if trio.current_time() - self._heard_s < MAX_SILENCE_S:
            return
        self._heard_s = trio.current_time()
        followed = self._availability.followed_revisions()
        message = messages.StoreProgress(tuple(sorted(followed.items())))
        for vm in self._peers.other_vms_nearby():
            self._peers.send(vm, message)

    async def _receive_progress(
        self,
        received: trio.MemoryReceiveChannel[messages.StoreProgress],
        nursery: trio.Nursery,
    ) -> None:
        async for message in received:
            self._heard_s = trio.current_time()
            for kind, revision in message.followed:
                self._check_followed(kind, revision, nursery)

    def _check_followed(self, kind: str, revision: int, nursery: trio.Nursery) -> None:
        """Restart the watches if this process does not receive a change that others have."""
        followed = self._availability.followed_revisions().get(kind)
        if followed is None or revision <= followed or kind in self._checked_kinds:
            return
        self._checked_kinds.add(kind)
        nursery.start_soon(self._restart_if_behind, kind, revision)

    async def _restart_if_behind(self, kind: str, revision: int) -> None:
        await trio.sleep(CATCH_UP_S + self._availability.settle_s(kind))
        self._checked_kinds.discard(kind)
        followed = self._availability.followed_revisions()[kind]
        if followed < revision and not self._availability.unavailable:
            _log.warning("watch_lost", kind=kind, version=followed, newer=revision)
            self._availability.restart_watches()
