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

KIND = "cornelgrade-vms"
SECRET_KIND = "cornelgrade-secrets"
SECRET_NAME = "peers"
SECRET_BYTES = 32
# A process that was not heard for this long is taken for gone: six beats.
SILENT_S = 1.5
# A view of who lives is used this long: a thirtieth of the silence that ends it.
VIEW_S = 0.05
# A process that is not heard is still told something this often, so that a cut heals.
RECALL_S = 1.0
# Workers of a failure domain that hear of an upstream's load: its batch owner and those next in
# line, whose view of who lives may differ.
OWNERS = 2
# Processes that start together register within this time; one answer then tells of them all.
SETTLE_S = 0.5
RETRY_S = 0.3
T = TypeVar("T")
_log = logs.Logger("peers")


class Role(enum.StrEnum):
    """What a process of the fleet does."""

    GATEWAY = "gateway"
    WORKER = "worker"


class Entry(msgspec.Struct, frozen=True):
    """What a process leaves in the store for the others."""

    address: str
    role: Role
    failure_domain: str


@dataclasses.dataclass(slots=True)
class _Known:
    entry: Entry
    heard_s: float = -1e9
    recalled_s: float = -1e9


class Peers:
    """Owns the process's datagram socket."""

    name = "peers"

    def __init__(
        self,
        cfg: settings.EdgeSettings,
        role: Role,
        store: platform.Platform,
        contact: _object_watch.StoreAvailability,
    ) -> None:
        self.vm = cfg.vm
        self._own = Entry(cfg.peer_address, role, cfg.failure_domain)
        self._store = store
        self._contact = contact
        self._known: dict[str, _Known] = {}
        self._views: dict[tuple, tuple[str, ...]] = {}
        self._views_s = 0.0
        self._subscribers = _subscriptions.Subscriptions()
        self._socket: datagrams.Socket | None = None

    async def run(self, started: Callable[[], None]) -> None:
        """Register, then follow the others and hear them until cancelled."""
        started()
        key = await self._key()
        with datagrams.Socket(self._own.address, key, self.vm) as self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, self._socket)
                await self._register()
                await _object_watch.follow(
                    self._store, KIND, self._contact, self._listed, settle_s=SETTLE_S
                )

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Receive one type of message; its ``vm`` names the sender."""
        return self._subscribers.subscribe(kind)

    def send(self, vm: str, body: messages.Body) -> None:
        """Send a datagram, or lose it."""
        known = self._known.get(vm)
        if known is not None and self._socket is not None:
            self._socket.send(known.entry.address, body)

    def live_vms(self, role: Role, failure_domain: str | None = None) -> tuple[str, ...]:
        """Name the processes of a role that were heard lately, this one included."""
        return self._view(
            (role, failure_domain),
            lambda: tuple(sorted(vm for vm in self._of(role, failure_domain) if self._heard(vm))),
        )

    def audience(self, role: Role) -> tuple[str, ...]:
        """Name the processes to tell something now: those that live and, seldom, the silent."""
        return tuple(vm for vm in self._of(role, None) if self._heard(vm) or self._recall(vm))

    def batch_owner(self, upstream: str, failure_domain: str) -> str | None:
        """Name the worker that runs batch items on an upstream, a near one if any lives."""
        return next(iter(self.batch_owners(upstream, failure_domain)), None)

    def batch_owners(self, upstream: str, failure_domain: str) -> tuple[str, ...]:
        """Name an upstream's batch owner and those that are next in line."""
        workers = self.live_vms(Role.WORKER, failure_domain) or self.live_vms(Role.WORKER)
        return self._view((upstream, workers), lambda: rendezvous.pick(upstream, workers, OWNERS))

    def _view(self, key: tuple, make: Callable[[], tuple[str, ...]]) -> tuple[str, ...]:
        """Give a view of who lives, made anew after :data:`VIEW_S` or when someone appears."""
        now_s = trio.current_time()
        if now_s - self._views_s >= VIEW_S:
            self._views.clear()
            self._views_s = now_s
        if key not in self._views:
            self._views[key] = make()
        return self._views[key]

    def _of(self, role: Role, failure_domain: str | None) -> tuple[str, ...]:
        entries = {vm: known.entry for vm, known in self._known.items()} | {self.vm: self._own}
        return tuple(
            vm
            for vm, entry in entries.items()
            if entry.role is role and failure_domain in (None, entry.failure_domain)
        )

    def _heard(self, vm: str) -> bool:
        return vm == self.vm or trio.current_time() - self._known[vm].heard_s < SILENT_S

    def _recall(self, vm: str) -> bool:
        """Whether a silent process is due to be told something."""
        known = self._known[vm]
        due = trio.current_time() - known.recalled_s >= RECALL_S
        if due:
            known.recalled_s = trio.current_time()
        return due

    async def _key(self) -> peer_key.PeerKey:
        """Read the fleet's key, or make it; the first that is stored holds."""
        while True:
            try:
                return peer_key.derive(await self._secret())
            except platform.UnavailableError as exc:
                _log.warning("peer_key_missing", error=exc.format_message())
                await trio.sleep(RETRY_S)

    async def _secret(self) -> bytes:
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
                await self._write_entry()
                return
            except (platform.UnavailableError, platform.ConflictError) as exc:
                _log.warning("register_failed", error=exc.format_message())
                await trio.sleep(RETRY_S)

    async def _write_entry(self) -> None:
        value = msgspec.json.encode(self._own)
        found = await self._store.get(KIND, self.vm)
        if found is None:
            await self._store.create(KIND, self.vm, value)
        elif found.value != value:
            await self._store.update(KIND, self.vm, value, found.version)

    async def _listed(self, changes: platform.Changes, whole: bool) -> None:
        for stored in changes.items:
            self._list(stored)
        for name in changes.deleted:
            self._known.pop(name, None)
        self._views.clear()

    def _hear(self, known: _Known) -> None:
        now_s = trio.current_time()
        if now_s - known.heard_s >= SILENT_S:
            self._views.clear()
        known.heard_s = now_s

    def _list(self, stored: platform.Stored) -> None:
        try:
            entry = msgspec.json.decode(stored.value, type=Entry)
        except msgspec.DecodeError as exc:
            _log.warning("peer_unreadable", peer=stored.name, error=repr(exc))
            return
        known = self._known.get(stored.name)
        if stored.name == self.vm or (known and known.entry == entry):
            return
        self._known[stored.name] = _Known(entry)
        _log.info("peer", peer=stored.name, role=entry.role, address=entry.address)

    async def _receive(self, sock: datagrams.Socket) -> None:
        while True:
            for got in await sock.receive():
                known = self._known.get(got.sender)
                if known is not None:
                    self._hear(known)
                self._subscribers.deliver(_from(got))


def _from(got: messages.Datagram) -> messages.Body:
    """Write the sender into a message that has a place for it."""
    if isinstance(got.body, messages.Uses | messages.JobClaims):
        return dataclasses.replace(got.body, vm=got.sender)
    return got.body
