"""The service ``quarantine_sync``: shares the quarantine with all processes, also later ones.

Reports go to every process by datagram and again to a few random ones, since datagrams may be lost.
Decisions, and crashes that may lead to one, are also stored in the platform's store, where a
process reads them when it starts and after it has lost the store.
"""

import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

from cornelgrade import kernel, logs
from cornelgrade.adapters import platform
from cornelgrade.services import ports, quarantine
from cornelgrade.services.edge import _store_availability, peers, suspect_records
from cornelgrade.services.edge import ports as edge_ports

KIND = "cornelgrade-quarantine"
RESEND_INTERVAL_S = 1.0
# Processes that get each report again. News so spreads to all in a few rounds, at any fleet size.
RESEND_PEERS = 3
# Reports in one round, newest first, so that a round stays small after a mass crash.
MAX_RESENT = 16
RETRY_PAUSE_S = 0.5
_MS_PER_S = 1000
T = TypeVar("T")
R = TypeVar("R", ports.QuarantineDecision, ports.SuspectRecord)
_log = logs.Logger("quarantine_sync")


class StoredDecision(msgspec.Struct, frozen=True):
    """A quarantined request in the store, named by its fingerprint."""

    expires_ms: edge_ports.UnixMilliseconds


class PeerReports:
    """Implements :class:`ports.CrashReports` by datagrams to all registered processes."""

    def __init__(self, peer_service: peers.Peers) -> None:
        self._peers = peer_service

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Subscribe to one type of report."""
        return self._peers.subscribe(kind)

    def publish(self, report: ports.Quarantined | ports.UpstreamCrashed) -> None:
        """Send a report to every process, also to those that seem unresponsive."""
        for vm in self._peers.other_vms():
            self._peers.send(vm, report)


class QuarantineSync:
    """Resends reports, stores this process's decisions and restores those of earlier processes."""

    name = "quarantine_sync"

    def __init__(
        self,
        kern: kernel.Kernel,
        store: platform.Platform,
        availability: _store_availability.StoreAvailability,
        vm: str,
    ) -> None:
        self._quarantine = kern.find("quarantine", quarantine.Quarantine)
        self._peers = kern.find("peers", peers.Peers)
        self._store = store
        self._availability = availability
        self._rng = random.Random(vm)
        self._suspects = suspect_records.SuspectRecords(store, self._quarantine)

    async def run(self, started: Callable[[], None]) -> None:
        """Share until cancelled."""
        decisions = self._quarantine.subscribe_decisions()
        suspects = self._quarantine.subscribe_suspects()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restore_decisions)
            nursery.start_soon(self._store_decisions, decisions)
            nursery.start_soon(self._store_suspects, suspects)
            nursery.start_soon(self._resend_reports)
            started()

    async def _resend_reports(self) -> None:
        while True:
            await trio.sleep(RESEND_INTERVAL_S)
            vms = self._peers.other_vms()
            for report in self._quarantine.recent_reports()[:MAX_RESENT]:
                for vm in self._rng.sample(vms, min(RESEND_PEERS, len(vms))):
                    self._peers.send(vm, report)

    async def _store_decisions(
        self, decisions: trio.MemoryReceiveChannel[ports.QuarantineDecision]
    ) -> None:
        async for decision in decisions:
            write = self._create_decision if decision.expires_s > 0.0 else self._delete_decision
            await self._retry_write(write, decision)

    async def _store_suspects(
        self, suspects: trio.MemoryReceiveChannel[ports.SuspectRecord]
    ) -> None:
        async for record in suspects:
            await self._retry_write(self._suspects.write, record)

    @staticmethod
    async def _retry_write(write: Callable[[R], Awaitable[None]], written: R) -> None:
        """Write until the store is available."""
        while True:
            try:
                await write(written)
                return
            except platform.UnavailableError as exc:
                _log.info(
                    "decision_not_stored",
                    fingerprint=written.fingerprint,
                    error=exc.format_message(),
                )
                await trio.sleep(RETRY_PAUSE_S)

    async def _create_decision(self, decision: ports.QuarantineDecision) -> None:
        expires_ms = int((time.time() + decision.expires_s) * _MS_PER_S)
        value = msgspec.json.encode(StoredDecision(expires_ms))
        # On a conflict, another process has stored the same decision.
        with contextlib.suppress(platform.ConflictError):
            await self._store.create(KIND, decision.fingerprint, value)

    async def _delete_decision(self, decision: ports.QuarantineDecision) -> None:
        stored = await self._store.get(KIND, decision.fingerprint)
        if stored is not None:
            # On a conflict, the request was quarantined again.
            with contextlib.suppress(platform.ConflictError):
                await self._store.delete(KIND, stored.name, stored.version)

    async def _restore_decisions(self) -> None:
        """Read the stored decisions now and each time that the store was regained."""
        while True:
            recovered_s = self._availability.recovered_s
            while not await self._try_restore():
                await trio.sleep(RETRY_PAUSE_S)
            while self._availability.recovered_s == recovered_s:
                await trio.sleep(RETRY_PAUSE_S)

    async def _try_restore(self) -> bool:
        """Read the stored decisions; return ``False`` if the store is unavailable."""
        try:
            stored = await self._store.list(KIND, limit=quarantine.MAX_ENTRIES)
            for found in stored:
                await self._restore_decision(found)
            await self._suspects.restore()
        except platform.UnavailableError as exc:
            _log.info("decisions_not_read", error=exc.format_message())
            return False
        if stored:
            _log.info("decisions_read", count=len(stored))
        return True

    async def _restore_decision(self, stored: platform.StoredObject) -> None:
        """Apply a stored decision, or delete it once it has expired."""
        try:
            expires_ms = msgspec.json.decode(stored.value, type=StoredDecision).expires_ms
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            _log.warning("decision_unreadable", fingerprint=stored.name, error=repr(exc))
            return
        remaining_s = expires_ms / _MS_PER_S - time.time()
        if remaining_s > 0:
            self._quarantine.restore(ports.QuarantineDecision(stored.name, remaining_s))
            return
        try:
            await self._store.delete(KIND, stored.name, stored.version)
        except platform.ConflictError as exc:
            _log.info("decision_changed", fingerprint=stored.name, error=exc.format_message())
