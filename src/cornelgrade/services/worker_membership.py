"""The service ``membership`` of the worker process: receives the view from its VM's gateway.

It owns the VM's worker socket, which also receives load and yield messages from gateways.
"""

import math
from collections.abc import Callable
from typing import TypeVar

import trio

from cornelgrade import settings
from cornelgrade.adapters import datagrams, peer_key
from cornelgrade.schema import messages
from cornelgrade.services import _subscriptions, membership, ports

T = TypeVar("T")
JOIN_INTERVAL_S = 2.0
_JOIN_RETRY_S = 0.1
_GATEWAY_SILENCE_S = 1.0
_MEMBER_EXPIRY_S = 120.0
_UPDATE_GAP_S = 5.0


class WorkerMembership:
    """Implements :class:`ports.Membership` like the gateway's membership.

    :param cut: returns for an address whether to drop a datagram to it (for tests).
    """

    name = "membership"

    def __init__(
        self,
        cfg: settings.Settings,
        key: peer_key.PeerKey | None = None,
        *,
        cut: datagrams.DropFilter | None = None,
    ) -> None:
        self._cfg = cfg
        self._key = key or peer_key.read(cfg.peer_key_file)
        self._cut = cut
        self._subscriptions = _subscriptions.Subscriptions()
        self._socket: datagrams.Socket | None = None
        self._members: dict[str, ports.Member] = {}
        self._received_at: dict[str, float] = {}
        self._view = ports.View(cfg.vm, ())
        self._updated_at = -math.inf
        self._highest_version = 0
        self._rumor_count = 0

    def view(self) -> ports.View:
        """Return the latest view."""
        return self._view

    def send(self, vm: str, message: ports.PeerMessage) -> None:
        """Send a datagram to a VM's worker (load, yield) or gateway (the rest)."""
        member = self._members.get(vm)
        if member is not None and self._socket is not None:
            self._socket.send(membership.destination_address(member, message), message)

    def broadcast(self, message: ports.PeerMessage) -> None:
        """Send a message to the VM's gateway, which broadcasts it."""
        if self._socket is None:
            return
        self._rumor_count += 1
        origin = f"{self._cfg.vm}{membership.WORKER_SUFFIX}:{self._socket.session}"
        rumor = messages.Rumor(origin, self._rumor_count, message)
        self._socket.send(self._cfg.peer_address, messages.Roster(), rumors=(rumor,))

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Return a channel of the messages of one type; a slow reader loses the oldest."""
        return self._subscriptions.subscribe(kind)

    def set_version(self, version: int) -> None:
        """Record the version in force; the gateway publishes it for the VM."""
        self._highest_version = max(self._highest_version, version)

    def leave(self) -> None:
        """Do nothing: the gateway announces that the VM is leaving."""

    async def run(self, started: Callable[[], None]) -> None:
        """Own the worker socket and apply the gateway's updates until cancelled."""
        sender = self._cfg.vm + membership.WORKER_SUFFIX
        address = self._cfg.worker_address
        with datagrams.Socket(address, self._key, sender, cut=self._cut) as worker_socket:
            self._socket = worker_socket
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._join, worker_socket)
                started()
                while True:
                    for datagram in await worker_socket.receive():
                        self._handle_datagram(datagram)

    async def _join(self, worker_socket: datagrams.Socket) -> None:
        while True:
            worker_socket.send(self._cfg.peer_address, messages.Join())
            silent = trio.current_time() - self._updated_at > _GATEWAY_SILENCE_S
            await trio.sleep(_JOIN_RETRY_S if silent else JOIN_INTERVAL_S)

    def _handle_datagram(self, datagram: messages.Datagram) -> None:
        message = membership.to_peer_message(datagram)
        if message is not None:
            self._subscriptions.deliver(message)
        elif datagram.sender == self._cfg.vm:
            self._update_members(datagram.members)

    def _update_members(self, members: tuple[ports.Member, ...]) -> None:
        now = trio.current_time()
        if now - self._updated_at > _UPDATE_GAP_S:
            self._received_at = dict.fromkeys(self._received_at, now)
        self._updated_at = now
        for member in members:
            self._members[member.vm] = member
            self._received_at[member.vm] = now
            self._announce_version(member)
        for vm in [vm for vm, at in self._received_at.items() if now - at > _MEMBER_EXPIRY_S]:
            del self._members[vm]
            del self._received_at[vm]
        ordered = sorted(self._members.values(), key=lambda m: m.vm)
        self._view = ports.View(self._cfg.vm, tuple(ordered))

    def _announce_version(self, member: ports.Member) -> None:
        if member.manifest_version > self._highest_version:
            self._highest_version = member.manifest_version
            announced = ports.VersionAnnounced(member.vm, member.manifest_version)
            self._subscriptions.deliver(announced)
