"""The service ``peers``: the other processes of the fleet, and datagrams to them.

Processes find each other through the platform's store, where each leaves its address; who lives is
told by who was heard. Nothing that must hold depends on it.
"""

import dataclasses
import enum
import secrets
from collections.abc import Callable
from typing import TypeVar

import msgspec
import trio

from cornelgrade import logs, settings
from cornelgrade.adapters import datagrams, peer_key, platform
from cornelgrade.policy import rendezvous
from cornelgrade.schema import messages
from cornelgrade.services import _subscriptions
from cornelgrade.services.edge import _object_watch

PEER_KIND = "cornelgrade-vms"
SECRET_KIND = "cornelgrade-secrets"
SECRET_NAME = "peers"
SECRET_BYTES = 32
# A process that was not heard for this long is taken for gone: six beats.
PEER_TIMEOUT_S = 1.5
# A view of who lives is used this long: a thirtieth of the silence that ends it.
VIEW_TTL_S = 0.05
# A process that is not heard is still told something this often, so that a cut heals.
SILENT_RETRY_S = 1.0
# Workers of a failure domain that hear of an upstream's load: its batch owner and those next in
# line, whose view of who lives may differ.
BATCH_OWNER_CANDIDATES = 2
# Processes that start together register within this time; one answer then tells of them all.
REGISTRATION_SETTLE_S = 0.5
RETRY_PAUSE_S = 0.3
T = TypeVar("T")
_log = logs.Logger("peers")


class Role(enum.StrEnum):
    """What a process of the fleet does."""

    GATEWAY = "gateway"
    WORKER = "worker"


class PeerEntry(msgspec.Struct, frozen=True):
    """What a process leaves in the store for the others."""

    address: str
    role: Role
    failure_domain: str


@dataclasses.dataclass(slots=True)
class _Peer:
    entry: PeerEntry
    last_received_s: float = -1e9
    last_retry_s: float = -1e9


class Peers:
    """Owns the process's datagram socket."""

    name = "peers"

    def __init__(
        self,
        cfg: settings.EdgeSettings,
        role: Role,
        store: platform.Platform,
        availability: _object_watch.StoreAvailability,
    ) -> None:
        self.vm = cfg.vm
        self._own_entry = PeerEntry(cfg.peer_address, role, cfg.failure_domain)
        self._store = store
        self._availability = availability
        self._peers: dict[str, _Peer] = {}
        self._view_cache: dict[tuple, tuple[str, ...]] = {}
        self._view_cache_s = 0.0
        self._subscribers = _subscriptions.Subscriptions()
        self._socket: datagrams.Socket | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Register, then follow the others and hear them until cancelled."""
        started()
        key = await self._load_key()
        with datagrams.Socket(self._own_entry.address, key, self.vm) as self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, self._socket)
                await self._register()
                await _object_watch.watch_objects(
                    self._store,
                    PEER_KIND,
                    self._availability,
                    self._apply_entries,
                    settle_s=REGISTRATION_SETTLE_S,
                )

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Receive one type of message; its ``vm`` names the sender."""
        return self._subscribers.subscribe(kind)

    def send(self, vm: str, body: messages.Body) -> None:
        """Send a datagram, or lose it."""
        peer = self._peers.get(vm)
        if peer is not None and self._socket is not None:
            self._socket.send(peer.entry.address, body)

    def live_vms(self, role: Role, failure_domain: str | None = None) -> tuple[str, ...]:
        """Name the processes of a role that were heard lately, this one included."""
        return self._cached_view(
            (role, failure_domain),
            lambda: tuple(
                sorted(vm for vm in self._vms_of(role, failure_domain) if self._is_live(vm))
            ),
        )

    def broadcast_targets(self, role: Role) -> tuple[str, ...]:
        """Name the processes to tell something now: those that live and, seldom, the silent."""
        return tuple(
            vm for vm in self._vms_of(role, None) if self._is_live(vm) or self._is_retry_due(vm)
        )

    def batch_owner(self, upstream: str, failure_domain: str) -> str | None:
        """Name the worker that runs batch items on an upstream, a near one if any lives."""
        return next(iter(self.batch_owners(upstream, failure_domain)), None)

    def batch_owners(self, upstream: str, failure_domain: str) -> tuple[str, ...]:
        """Name an upstream's batch owner and those that are next in line."""
        workers = self.live_vms(Role.WORKER, failure_domain) or self.live_vms(Role.WORKER)
        return self._cached_view(
            (upstream, workers), lambda: rendezvous.pick(upstream, workers, BATCH_OWNER_CANDIDATES)
        )

    def _cached_view(self, key: tuple, compute: Callable[[], tuple[str, ...]]) -> tuple[str, ...]:
        """Give a view of who lives, made anew after :data:`VIEW_TTL_S` or when someone appears."""
        now_s = trio.current_time()
        if now_s - self._view_cache_s >= VIEW_TTL_S:
            self._view_cache.clear()
            self._view_cache_s = now_s
        if key not in self._view_cache:
            self._view_cache[key] = compute()
        return self._view_cache[key]

    def _vms_of(self, role: Role, failure_domain: str | None) -> tuple[str, ...]:
        entries = {vm: peer.entry for vm, peer in self._peers.items()} | {self.vm: self._own_entry}
        return tuple(
            vm
            for vm, entry in entries.items()
            if entry.role is role and failure_domain in (None, entry.failure_domain)
        )

    def _is_live(self, vm: str) -> bool:
        return (
            vm == self.vm or trio.current_time() - self._peers[vm].last_received_s < PEER_TIMEOUT_S
        )

    def _is_retry_due(self, vm: str) -> bool:
        """Whether a silent process is due to be told something."""
        peer = self._peers[vm]
        due = trio.current_time() - peer.last_retry_s >= SILENT_RETRY_S
        if due:
            peer.last_retry_s = trio.current_time()
        return due

    async def _load_key(self) -> peer_key.PeerKey:
        """Read the fleet's key, or make it; the first that is stored holds."""
        while True:
            try:
                return peer_key.derive(await self._load_or_create_secret())
            except platform.UnavailableError as exc:
                _log.warning("peer_key_missing", error=exc.show())
                await trio.sleep(RETRY_PAUSE_S)

    async def _load_or_create_secret(self) -> bytes:
        found = await self._store.get(SECRET_KIND, SECRET_NAME)
        if found is not None:
            return found.value
        made = msgspec.json.encode(secrets.token_hex(SECRET_BYTES))
        try:
            return (await self._store.create(SECRET_KIND, SECRET_NAME, made)).value
        except platform.ConflictError as exc:
            if exc.current is None:
                raise platform.UnavailableError("the key was taken back", step="key") from exc
            return exc.current.value

    async def _register(self) -> None:
        while True:
            try:
                await self._store_entry()
                return
            except (platform.UnavailableError, platform.ConflictError) as exc:
                _log.warning("register_failed", error=exc.show())
                await trio.sleep(RETRY_PAUSE_S)

    async def _store_entry(self) -> None:
        value = msgspec.json.encode(self._own_entry)
        found = await self._store.get(PEER_KIND, self.vm)
        if found is None:
            await self._store.create(PEER_KIND, self.vm, value)
        elif found.value != value:
            await self._store.update(PEER_KIND, self.vm, value, found.version)

    async def _apply_entries(self, changes: platform.Changes, is_snapshot: bool) -> None:
        for stored in changes.items:
            self._apply_entry(stored)
        for name in changes.deleted:
            self._peers.pop(name, None)
        self._view_cache.clear()

    def _record_receipt(self, peer: _Peer) -> None:
        now_s = trio.current_time()
        if now_s - peer.last_received_s >= PEER_TIMEOUT_S:
            self._view_cache.clear()
        peer.last_received_s = now_s

    def _apply_entry(self, stored: platform.Stored) -> None:
        try:
            entry = msgspec.json.decode(stored.value, type=PeerEntry)
        except msgspec.DecodeError as exc:
            _log.warning("peer_unreadable", peer=stored.name, error=repr(exc))
            return
        peer = self._peers.get(stored.name)
        if stored.name == self.vm or (peer and peer.entry == entry):
            return
        self._peers[stored.name] = _Peer(entry)
        _log.info("peer", peer=stored.name, role=entry.role, address=entry.address)

    async def _receive(self, sock: datagrams.Socket) -> None:
        while True:
            for datagram in await sock.receive():
                peer = self._peers.get(datagram.sender)
                if peer is not None:
                    self._record_receipt(peer)
                self._subscribers.deliver(_with_sender(datagram))


def _with_sender(datagram: messages.Datagram) -> messages.Body:
    """Write the sender into a message that has a place for it."""
    if isinstance(datagram.body, messages.Uses | messages.JobClaims):
        return dataclasses.replace(datagram.body, vm=datagram.sender)
    return datagram.body
