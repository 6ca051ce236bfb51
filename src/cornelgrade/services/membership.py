"""The service ``membership`` of the gateway: owns the peer socket and probes other VMs."""

import contextlib
import random
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
import trio

from cornelgrade import logs, metrics, reports, settings
from cornelgrade.adapters import datagrams, peer_key
from cornelgrade.policy import actions, membership, prober
from cornelgrade.schema import codec, messages
from cornelgrade.services import _subscriptions, ports

T = TypeVar("T")
WORKER_SUFFIX = "/worker"
WORKER_UPDATE_INTERVAL_S = 0.25
WORKER_TIMEOUT_S = 10.0
_REFRESHED_RECORDS = 8
State = ports.MemberState
_WORKER_MESSAGES = (ports.Load, ports.Yield)


def destination_address(member: ports.Member, message: ports.PeerMessage) -> str:
    """Return the address that a message to a VM goes to: its worker's or its gateway's."""
    return member.worker_address if isinstance(message, _WORKER_MESSAGES) else member.peer_address


def to_peer_message(datagram: messages.Datagram) -> ports.PeerMessage | None:
    """Return the message for services in a datagram; loads and yields name the sending VM."""
    vm = datagram.sender.removesuffix(WORKER_SUFFIX)
    if isinstance(datagram.body, ports.Load):
        return msgspec.structs.replace(datagram.body, vm=vm)
    if isinstance(datagram.body, ports.Yield):
        return msgspec.structs.replace(datagram.body, vm=vm)
    return datagram.body if isinstance(datagram.body, ports.PeerMessage) else None


def split_members(members: Iterable[ports.Member]) -> Iterable[tuple[ports.Member, ...]]:
    """Split member records into parts that each fit one datagram."""
    part: list[ports.Member] = []
    room_bytes = codec.MEMBERS_BUDGET_BYTES
    for member in members:
        size = codec.estimate_member_bytes(member)
        if size > room_bytes:
            yield tuple(part)
            part, room_bytes = [], codec.MEMBERS_BUDGET_BYTES
        part.append(member)
        room_bytes -= size
    if part:
        yield tuple(part)


class Membership:
    """Keeps the view of the fleet and transports peer messages.

    :param cut: returns for an address whether to drop a datagram to it (for tests).
    """

    name = "membership"

    def __init__(
        self,
        cfg: settings.Settings,
        key: peer_key.PeerKey | None = None,
        *,
        rng: random.Random | None = None,
        tuning: membership.Tuning | None = None,
        cut: datagrams.DropFilter | None = None,
    ) -> None:
        self._cfg = cfg
        self._key = key or peer_key.read(cfg.peer_key_file)
        self._rng = rng or random.Random()
        self._tuning = tuning
        self._cut = cut
        self._log = logs.Logger("membership")
        self._subscriptions = _subscriptions.Subscriptions()
        self._prober: prober.Prober | None = None
        self._socket: datagrams.Socket | None = None
        self._view = ports.View(cfg.vm, ())
        self._view_stale = False
        self._version = 0
        self._highest_version = 0
        self._rumor_count = 0
        self._leaving = False
        self._worker_received_at: float | None = None
        self._sent_to_worker: dict[str, ports.Member] = {}
        self._refresh_queue: list[str] = []
        self._gauge = metrics.gauge("cornelgrade_members", "Members of the view, by state.")

    # Protocol

    def view(self) -> ports.View:
        """Return the latest view."""
        if self._view_stale and self._prober is not None:
            members = sorted(self._prober.members.values(), key=lambda m: m.vm)
            self._view = ports.View(self._cfg.vm, tuple(members))
            self._view_stale = False
        return self._view

    def send(self, vm: str, message: ports.PeerMessage) -> None:
        """Send a datagram to a VM's worker (load, yield) or gateway (the rest)."""
        member = self._prober.members.get(vm) if self._prober is not None else None
        if member is not None and self._socket is not None:
            self._socket.send(destination_address(member, message), message)

    def broadcast(self, message: ports.PeerMessage) -> None:
        """Queue a message for every gateway and worker of the region."""
        if self._prober is None or self._socket is None:
            return
        self._rumor_count += 1
        rumor = messages.Rumor(f"{self._cfg.vm}:{self._socket.session}", self._rumor_count, message)
        self._prober.receive_rumor(rumor)
        self._forward_to_worker(message)

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Return a channel of the messages of one type; a slow reader loses the oldest."""
        return self._subscriptions.subscribe(kind)

    def set_version(self, version: int) -> None:
        """Publish the manifest version that is in force at this VM."""
        if version <= self._version:
            return
        self._version = version
        self._highest_version = max(self._highest_version, version)
        if self._prober is not None:
            self._run_actions(self._prober.set_version(version))
            self._view_stale = True

    def leave(self) -> None:
        """Announce that this VM is stopping; a second call repeats the announcement."""
        self._leaving = True
        if self._prober is not None:
            self._run_actions(self._prober.leave())
            self._view_stale = True

    def traffic(self) -> datagrams.Traffic:
        """Return the traffic of the peer socket."""
        return self._socket.traffic() if self._socket is not None else datagrams.Traffic()

    def pending_updates(self) -> int:
        """Return the number of updates that are still piggybacked on probes."""
        return self._prober.pending_updates() if self._prober is not None else 0

    def dropped(self) -> dict[datagrams.DropReason, int]:
        """Return the number of dropped datagrams by reason."""
        return dict(self._socket.dropped) if self._socket is not None else {}

    def report(self) -> reports.Report:
        """Return the members' states and the traffic for the status page."""
        members = self.view().members
        states = [m.state for m in members]
        traffic = self.traffic()
        facts = [reports.Fact(f"members_{s.value}", str(states.count(s))) for s in State]
        facts.append(reports.Fact("datagrams_sent", str(traffic.sent)))
        facts.append(reports.Fact("datagrams_received", str(traffic.received)))
        facts += [
            reports.Fact(f"datagrams_dropped_{reason.value}", str(count))
            for reason, count in self.dropped().items()
        ]
        usable = {m.failure_domain for m in self.view().usable()}
        lost = sorted({m.failure_domain for m in members} - usable)
        degraded = [reports.Degraded(f"no VM of {domain} answers") for domain in lost]
        return reports.Report(degraded=tuple(degraded), facts=tuple(facts))

    # Service

    async def run(self, started: Callable[[], None]) -> None:
        """Own the peer socket and run the membership protocol until cancelled."""
        with contextlib.ExitStack() as stack:
            peer_socket = datagrams.Socket(
                self._cfg.peer_address, self._key, self._cfg.vm, cut=self._cut
            )
            self._socket = stack.enter_context(peer_socket)
            self._prober = self._make_prober(self._socket)
            stack.callback(self._on_stop)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._tick)
                nursery.start_soon(self._update_worker)
                self._view_stale = True
                started()

    def _make_prober(self, peer_socket: datagrams.Socket) -> prober.Prober:
        own_member = ports.Member(
            vm=self._cfg.vm,
            failure_domain=self._cfg.failure_domain,
            region=self._cfg.region,
            incarnation=peer_socket.session,
            state=State.LEAVING if self._leaving else State.ALIVE,
            peer_address=peer_socket.address,
            worker_address=self._cfg.worker_address,
            gateway_address=self._cfg.gateway_address,
            manifest_version=self._version,
        )
        return prober.Prober(own_member, self._cfg.seeds, self._rng, self._tuning)

    def _on_stop(self) -> None:
        self.leave()
        self.view()
        self._prober = None
        self._socket = None

    async def _receive(self) -> None:
        assert self._socket is not None and self._prober is not None
        while True:
            for datagram in await self._socket.receive():
                self._handle_datagram(datagram, self._prober)

    def _handle_datagram(self, datagram: messages.Datagram, state: prober.Prober) -> None:
        now = trio.current_time()
        if datagram.sender == self._cfg.vm + WORKER_SUFFIX:
            self._handle_worker_datagram(datagram, now)
        self._run_actions(state.receive(now, datagram))
        message = to_peer_message(datagram)
        if message is not None:
            self._subscriptions.deliver(message)

    def _handle_worker_datagram(self, datagram: messages.Datagram, now: float) -> None:
        stale = (
            self._worker_received_at is None or now - self._worker_received_at > WORKER_TIMEOUT_S
        )
        self._worker_received_at = now
        if stale:
            self._sent_to_worker.clear()

    async def _tick(self) -> None:
        assert self._prober is not None
        while True:
            self._run_actions(self._prober.tick(trio.current_time()))
            await trio.sleep_until(max(self._prober.next_tick_at(), trio.current_time() + 0.001))

    # Actions

    def _run_actions(self, pending: list[actions.Action]) -> None:
        for action in pending:
            match action:
                case actions.Send(address, body, members, rumors):
                    assert self._socket is not None
                    self._socket.send(address, body, members, rumors)
                case actions.MemberChanged(member, before):
                    self._on_member_changed(member, before)
                case actions.Deliver(message):
                    self._subscriptions.deliver(message)
                    self._forward_to_worker(message)

    def _on_member_changed(self, member: ports.Member, before: ports.Member | None) -> None:
        self._view_stale = True
        if member.manifest_version > self._highest_version:
            self._highest_version = member.manifest_version
            self._subscriptions.deliver(ports.VersionAnnounced(member.vm, member.manifest_version))
        if before is not None and before.state is member.state:
            return
        self._log.info(
            "member_changed",
            member=member.vm,
            state=member.state.value,
            before=before.state.value if before is not None else "unknown",
            incarnation=member.incarnation,
        )
        self._update_gauge()

    def _update_gauge(self) -> None:
        assert self._prober is not None
        states = [m.state for m in self._prober.members.values()]
        for state in State:
            self._gauge.set({"state": state.value}, states.count(state))

    # Worker process

    def _forward_to_worker(self, message: ports.PeerMessage) -> None:
        if self._worker_received_at is not None and self._socket is not None:
            self._socket.send(self._cfg.worker_address, message)

    async def _update_worker(self) -> None:
        while True:
            await trio.sleep(WORKER_UPDATE_INTERVAL_S)
            received_at = self._worker_received_at
            if received_at is not None and trio.current_time() - received_at < WORKER_TIMEOUT_S:
                self._send_worker_update()

    def _send_worker_update(self) -> None:
        assert self._prober is not None and self._socket is not None
        members = self._prober.members
        changed = [m for vm, m in members.items() if self._sent_to_worker.get(vm) is not m]
        if not self._refresh_queue:
            self._refresh_queue = list(members)
        refreshed = [
            self._refresh_queue.pop()
            for _ in range(min(_REFRESHED_RECORDS, len(self._refresh_queue)))
        ]
        records = {m.vm: m for m in changed}
        records.update((vm, members[vm]) for vm in refreshed if vm in members)
        self._sent_to_worker = dict(members)
        for part in split_members(records.values()):
            self._socket.send(self._cfg.worker_address, messages.Roster(), part)
