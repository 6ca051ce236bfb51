"""The service ``peers``: the other processes of the fleet, and datagrams to them.

Each process registers its address in the platform's store. A process counts as live while its
datagrams arrive. This view is best effort: correctness never depends on it.
"""

import enum
import functools
import secrets
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import trio

from cornelgrade import addresses, logs, settings
from cornelgrade.adapters import datagrams, peer_key, platform
from cornelgrade.policy import rendezvous, shared_allowance
from cornelgrade.schema import messages
from cornelgrade.services import _subscriptions
from cornelgrade.services.edge import _object_watch, _store_availability

PEER_KIND = "cornelgrade-vms"
SECRET_KIND = "cornelgrade-secrets"
SECRET_NAME = "peers"
SECRET_BYTES = 32
# A peer is considered gone after six broadcast intervals without a datagram.
PEER_TIMEOUT_S = 1.5
# A worker that is silent for three broadcast intervals owns no rate limit: requests wait only half
# a second for its reply, and a new owner learns what was used.
LIMIT_OWNER_TIMEOUT_S = 0.75
# How long a computed list of live peers is cached, which is short beside the peer timeout. A peer
# that is heard again is listed at once.
VM_CACHE_TTL_S = 0.2
# Unresponsive peers are still sent something this often, so that a network partition heals.
UNRESPONSIVE_RETRY_S = 1.0
# Workers in a failure domain that receive an upstream's load: its batch owner and the next
# candidate, because workers may disagree on which peers are live.
BATCH_OWNER_CANDIDATES = 2
# Processes that start together register within this time, so that one response lists them all.
REGISTRATION_SETTLE_S = 0.5
RETRY_PAUSE_S = 0.3
# A VM that was not heard for this long is taken as gone; a longer network partition looks the same.
GONE_AFTER_S = 60.0
T = TypeVar("T")
_WITH_SENDER = (
    messages.Uses,
    messages.JobClaims,
    messages.StreamOriginQuery,
    messages.UpstreamLimits,
    messages.AllowanceRequest,
    messages.ReachQuery,
    messages.ReachReport,
    messages.UpstreamQuery,
    messages.Version,
    messages.UpstreamOutcome,
    messages.Ejections,
)
_log = logs.Logger("peers")


class Role(enum.StrEnum):
    """Role of a process in the fleet."""

    GATEWAY = "gateway"
    WORKER = "worker"


class PeerEntry(msgspec.Struct, frozen=True):
    """Registration of a process in the store.

    :param reads_groups: whether it can read objects with several results; older builds can't.
    """

    address: str
    role: Role
    failure_domain: str
    reads_groups: bool = False


class _Peer(msgspec.Struct):
    entry: PeerEntry
    registered_s: float
    last_received_s: float = -1e9
    last_retry_s: float = -1e9


class Peers:
    """Owns the process's datagram socket and tracks which peers are live.

    :ivar key: the fleet's key, ``None`` until it was read from the store.
    :ivar knows_others: whether the registrations of the other processes were read.
    """

    name = "peers"

    def __init__(
        self,
        cfg: settings.EdgeSettings,
        role: Role,
        store: platform.Platform,
        availability: _store_availability.StoreAvailability,
    ) -> None:
        self.vm = cfg.vm
        self.is_worker = role is Role.WORKER
        self._own_entry = PeerEntry(cfg.peer_address, role, cfg.failure_domain, reads_groups=True)
        self._store = store
        self._availability = availability
        self._peers: dict[str, _Peer] = {}
        self._vm_cache: dict[tuple, Any] = {}
        self._vm_cache_filled_s = 0.0
        self._subscribers = _subscriptions.Subscriptions()
        self._socket: datagrams.Socket | None = None
        self._plan_version = 0
        self.key: peer_key.PeerKey | None = None
        self.knows_others = False

    async def run(self, started: Callable[[], None]) -> None:
        """Register, then watch registrations and receive datagrams until cancelled."""
        started()
        self.key = await self._load_key()
        with datagrams.Socket(self._own_entry.address, self.key, self.vm) as self._socket:
            self._socket.plan_version = self._plan_version
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_datagrams, self._socket)
                await self._register()
                await _object_watch.watch_objects(
                    self._store,
                    PEER_KIND,
                    self._availability,
                    self._apply_entries,
                    settle_s=REGISTRATION_SETTLE_S,
                )

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Subscribe to one type of message; its ``vm`` names the sender."""
        return self._subscribers.subscribe(kind)

    def send(self, vm: str, body: messages.Body) -> None:
        """Send a datagram; it is dropped if the peer or the socket is missing, and may be lost."""
        peer = self._peers.get(vm)
        if peer is not None and self._socket is not None:
            self._socket.send(peer.entry.address, body)

    def announce_plan(self, version: int) -> None:
        """Tell the version of the plan in force with each datagram from now on.

        Datagrams of peers that tell a higher one are delivered as :class:`messages.Version` too.
        """
        self._plan_version = version
        if self._socket is not None:
            self._socket.plan_version = version

    def address_of(self, vm: str) -> str | None:
        """Return the address of a peer, for datagrams and for forwarded requests."""
        peer = self._peers.get(vm)
        return peer.entry.address if peer else None

    def live_vms(self, role: Role, failure_domain: str | None = None) -> tuple[str, ...]:
        """Return the live processes of a role, including this one."""
        return self._get_cached(
            (role, failure_domain),
            lambda: tuple(
                sorted(vm for vm in self._vms_of(role, failure_domain) if self._is_live(vm))
            ),
        )

    def last_received_s(self) -> dict[str, float]:
        """Return when each peer was last heard, on trio's clock."""
        return {vm: peer.last_received_s for vm, peer in self._peers.items()}

    def broadcast_targets(self, role: Role) -> tuple[str, ...]:
        """Return the VMs to broadcast to: live ones and, less often, unresponsive ones."""
        return tuple(
            vm for vm in self._vms_of(role, None) if self._is_live(vm) or self._is_retry_due(vm)
        )

    def registered_vms(self, role: Role, failure_domain: str | None = None) -> tuple[str, ...]:
        """Return all registered processes of a role, including this one, sorted."""
        return self._get_cached(
            ("registered", role, failure_domain),
            lambda: tuple(sorted(self._vms_of(role, failure_domain))),
        )

    def other_vms(self) -> tuple[str, ...]:
        """Return all registered processes but this one, also unresponsive ones."""
        return tuple(self._peers)

    def other_vms_nearby(self) -> tuple[str, ...]:
        """Return all registered processes of this failure domain but this one."""
        return self.other_vms_in(self._own_entry.failure_domain)

    def other_vms_in(self, failure_domain: str) -> tuple[str, ...]:
        """Return all registered processes of a failure domain but this one."""
        return tuple(
            vm for vm, peer in self._peers.items() if peer.entry.failure_domain == failure_domain
        )

    def all_read_groups(self) -> bool:
        """Return whether all registered processes can read objects with several results."""
        return self.knows_others and all(p.entry.reads_groups for p in self._peers.values())

    def count_senders(self) -> shared_allowance.Senders:
        """Count the processes that may send to upstreams, which are all but those that are gone."""
        return self._get_cached(("senders",), self._count_senders)

    def _count_senders(self) -> shared_allowance.Senders:
        now_s = trio.current_time()
        present = [
            vm
            for vm, peer in self._peers.items()
            if now_s - max(peer.last_received_s, peer.registered_s) < GONE_AFTER_S
        ]
        return shared_allowance.Senders(1 + sum(map(self._is_live, present)), 1 + len(present))

    def batch_owner(self, upstream: str, failure_domain: str) -> str | None:
        """Return the worker that runs batch items on an upstream; local ones are preferred."""
        return next(iter(self.batch_owners(upstream, failure_domain)), None)

    def batch_owners(self, upstream: str, failure_domain: str) -> tuple[str, ...]:
        """Return an upstream's batch owner, followed by the next candidates."""
        workers = self.live_vms(Role.WORKER, failure_domain) or self.live_vms(Role.WORKER)
        return _pick_owners(upstream, workers)

    def limit_owner(self, team: str) -> str | None:
        """Return the worker that owns a team's rate limit, ``None`` if no worker is known."""
        return next(iter(self.owners_of(team)), None)

    def owners_of(self, name: str) -> tuple[str, ...]:
        """Return the worker that owns what has a name, followed by the next candidate.

        Before any worker was heard, as after a start, one of those registered is asked.
        """
        workers = self._get_cached(("limit owners",), self._list_limit_owners)
        return _pick_owners(name, workers)

    def _list_limit_owners(self) -> tuple[str, ...]:
        registered = sorted(self._vms_of(Role.WORKER, None))
        heard = (vm for vm in registered if self._is_live(vm, LIMIT_OWNER_TIMEOUT_S))
        return tuple(heard) or tuple(registered)

    def _get_cached(self, key: tuple, compute: Callable[[], T]) -> T:
        """Return a value from the cache, which is cleared every :data:`VM_CACHE_TTL_S`."""
        now_s = trio.current_time()
        if now_s - self._vm_cache_filled_s >= VM_CACHE_TTL_S:
            self._vm_cache.clear()
            self._vm_cache_filled_s = now_s
        if key not in self._vm_cache:
            self._vm_cache[key] = compute()
        return self._vm_cache[key]

    def _vms_of(self, role: Role, failure_domain: str | None) -> tuple[str, ...]:
        entries = {vm: peer.entry for vm, peer in self._peers.items()} | {self.vm: self._own_entry}
        return tuple(
            vm
            for vm, entry in entries.items()
            if entry.role is role and failure_domain in (None, entry.failure_domain)
        )

    def _is_live(self, vm: str, timeout_s: float = PEER_TIMEOUT_S) -> bool:
        return vm == self.vm or trio.current_time() - self._peers[vm].last_received_s < timeout_s

    def _is_retry_due(self, vm: str) -> bool:
        """Whether to send something to an unresponsive peer now; if so, restart its interval."""
        peer = self._peers[vm]
        due = trio.current_time() - peer.last_retry_s >= UNRESPONSIVE_RETRY_S
        if due:
            peer.last_retry_s = trio.current_time()
        return due

    async def _load_key(self) -> peer_key.PeerKey:
        """Read the fleet's key, or create it; the first one stored is used by all."""
        while True:
            try:
                return peer_key.derive(await self._load_or_create_secret())
            except platform.UnavailableError as exc:
                _log.warning("peer_key_missing", error=exc.format_message())
                await trio.sleep(RETRY_PAUSE_S)

    async def _load_or_create_secret(self) -> bytes:
        stored = await self._store.get(SECRET_KIND, SECRET_NAME)
        if stored is not None:
            return stored.value
        secret = msgspec.json.encode(secrets.token_hex(SECRET_BYTES))
        try:
            return (await self._store.create(SECRET_KIND, SECRET_NAME, secret)).value
        except platform.ConflictError as exc:
            if exc.current is None:
                raise platform.UnavailableError(
                    "key was deleted during creation", step="key"
                ) from exc
            return exc.current.value

    async def _register(self) -> None:
        while True:
            try:
                await self._store_entry()
                return
            except (platform.UnavailableError, platform.ConflictError) as exc:
                _log.warning("register_failed", error=exc.format_message())
                await trio.sleep(RETRY_PAUSE_S)

    async def _store_entry(self) -> None:
        value = msgspec.json.encode(self._own_entry)
        stored = await self._store.get(PEER_KIND, self.vm)
        if stored is None:
            await self._store.create(PEER_KIND, self.vm, value)
        elif stored.value != value:
            await self._store.update(PEER_KIND, self.vm, value, stored.version)

    async def _apply_entries(self, changes: platform.Changes, is_snapshot: bool) -> None:
        for stored in changes.items:
            self._apply_entry(stored)
        for name in changes.deleted:
            self._peers.pop(name, None)
        self._vm_cache.clear()
        self.knows_others = self.knows_others or is_snapshot

    def _record_receipt(self, peer: _Peer) -> None:
        now_s = trio.current_time()
        if now_s - peer.last_received_s >= PEER_TIMEOUT_S:
            self._vm_cache.clear()
        peer.last_received_s = now_s

    def _apply_entry(self, stored: platform.StoredObject) -> None:
        try:
            entry = msgspec.json.decode(stored.value, type=PeerEntry)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            _log.warning("peer_unreadable", peer=stored.name, error=repr(exc))
            return
        if not addresses.is_ip_and_port(entry.address):
            _log.warning("peer_unreadable", peer=stored.name, error="its address is invalid")
            return
        peer = self._peers.get(stored.name)
        if stored.name == self.vm or (peer and peer.entry == entry):
            return
        self._peers[stored.name] = _Peer(entry, trio.current_time())
        _log.info("peer", peer=stored.name, role=entry.role, address=entry.address)

    async def _receive_datagrams(self, sock: datagrams.Socket) -> None:
        while True:
            for datagram in await sock.receive():
                peer = self._peers.get(datagram.sender)
                if peer is not None:
                    self._record_receipt(peer)
                if datagram.plan_version > self._plan_version:
                    version = messages.Version(datagram.plan_version, datagram.sender)
                    self._subscribers.deliver(version)
                self._subscribers.deliver(_with_sender(datagram))


@functools.lru_cache(maxsize=4096)
def _pick_owners(upstream: str, workers: tuple[str, ...]) -> tuple[str, ...]:
    return rendezvous.pick_members(upstream, workers, BATCH_OWNER_CANDIDATES)


def _with_sender(datagram: messages.Datagram) -> messages.Body:
    """Set the sender in messages that have a field for it."""
    if isinstance(datagram.body, _WITH_SENDER):
        return msgspec.structs.replace(datagram.body, vm=datagram.sender)
    return datagram.body
