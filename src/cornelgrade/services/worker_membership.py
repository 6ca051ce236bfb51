"""The service ``membership`` of the worker process: takes the view from its VM's gateway.

It owns the VM's worker socket, on which it also gets load and yield messages from gateways.
"""

from collections.abc import Callable
from typing import TypeVar

import trio

from cornelgrade import settings
from cornelgrade.adapters import datagrams, peer_key
from cornelgrade.schema import messages
from cornelgrade.services import _subscriptions, membership, ports

T = TypeVar("T")
JOIN_INTERVAL_S = 2.0
_FORGET_S = 120.0
_FEED_GAP_S = 5.0


class WorkerMembership:
    """Implements the same Protocol as the gateway's membership.

    :param cut: tells by address which datagrams get lost on their way out (for tests).
    """

    name = "membership"

    def __init__(
        self,
        cfg: settings.Settings,
        key: peer_key.PeerKey | None = None,
        *,
        cut: datagrams.Filter | None = None,
    ) -> None:
        self._cfg = cfg
        self._key = key or peer_key.read(cfg.peer_key_file)
        self._cut = cut
        self._subscriptions = _subscriptions.Subscriptions()
        self._socket: datagrams.Socket | None = None
        self._members: dict[str, ports.Member] = {}
        self._heard: dict[str, float] = {}
        self._view = ports.View(cfg.vm, ())
        self._fed_at = 0.0
        self._highest = 0
        self._rumors = 0

    def view(self) -> ports.View:
        """Give the latest view."""
        return self._view

    def send(self, vm: str, message: ports.PeerMessage) -> None:
        """Send a datagram to a VM's worker (load, yield) or gateway (the rest)."""
        member = self._members.get(vm)
        if member is not None and self._socket is not None:
            self._socket.send(membership.address_for(member, message), message)

    def broadcast(self, message: ports.PeerMessage) -> None:
        """Let the VM's gateway spread a message."""
        if self._socket is None:
            return
        self._rumors += 1
        origin = f"{self._cfg.vm}{membership.WORKER_SUFFIX}:{self._socket.session}"
        rumor = messages.Rumor(origin, self._rumors, message)
        self._socket.send(self._cfg.peer_address, messages.Roster(), rumors=(rumor,))

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Receive the messages of one type; a slow reader loses the oldest."""
        return self._subscriptions.subscribe(kind)

    def set_version(self, version: int) -> None:
        """Note the version in force; the gateway speaks for the VM."""
        self._highest = max(self._highest, version)

    def leave(self) -> None:
        """Do nothing: the gateway announces the VM's leaving."""

    async def run(self, started: Callable[[], None]) -> None:
        """Own the worker socket and follow the gateway's view until cancelled."""
        sender = self._cfg.vm + membership.WORKER_SUFFIX
        address = self._cfg.worker_address
        with datagrams.Socket(address, self._key, sender, cut=self._cut) as owned:
            self._socket = owned
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._join, owned)
                started()
                while True:
                    for got in await owned.receive():
                        self._take(got)

    async def _join(self, owned: datagrams.Socket) -> None:
        while True:
            owned.send(self._cfg.peer_address, messages.Join())
            await trio.sleep(JOIN_INTERVAL_S)

    def _take(self, got: messages.Datagram) -> None:
        message = membership.received(got)
        if message is not None:
            self._subscriptions.deliver(message)
        elif got.sender == self._cfg.vm:
            self._follow(got.members)

    def _follow(self, members: tuple[ports.Member, ...]) -> None:
        now = trio.current_time()
        if now - self._fed_at > _FEED_GAP_S:
            self._heard = dict.fromkeys(self._heard, now)
        self._fed_at = now
        for member in members:
            self._members[member.vm] = member
            self._heard[member.vm] = now
            self._note_version(member)
        for vm in [vm for vm, at in self._heard.items() if now - at > _FORGET_S]:
            del self._members[vm]
            del self._heard[vm]
        ordered = sorted(self._members.values(), key=lambda m: m.vm)
        self._view = ports.View(self._cfg.vm, tuple(ordered))

    def _note_version(self, member: ports.Member) -> None:
        if member.manifest_version > self._highest:
            self._highest = member.manifest_version
            heard = ports.VersionAnnounced(member.vm, member.manifest_version)
            self._subscriptions.deliver(heard)
