"""The service ``membership`` of the gateway: owns the peer socket and probes the other VMs."""

import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterable
from typing import TypeVar

import trio

from cornelgrade import logs, metrics, reports, settings
from cornelgrade.adapters import datagrams, peer_key
from cornelgrade.policy import actions, membership, prober
from cornelgrade.schema import codec, messages
from cornelgrade.services import _subscriptions, ports

T = TypeVar("T")
WORKER_SUFFIX = "/worker"
FEED_INTERVAL_S = 0.25
WORKER_SILENT_S = 10.0
_FEED_RECORDS = 8
State = ports.MemberState
_TO_WORKER = (ports.Load, ports.Yield)


def address_for(member: ports.Member, message: ports.PeerMessage) -> str:
    """Give the socket of a VM that takes a message: its worker's or its gateway's."""
    return member.worker_address if isinstance(message, _TO_WORKER) else member.peer_address


def received(got: messages.Datagram) -> ports.PeerMessage | None:
    """Give a datagram's message for services, with the VM that sent it where it says so."""
    vm = got.sender.removesuffix(WORKER_SUFFIX)
    if isinstance(got.body, ports.Load):
        return dataclasses.replace(got.body, vm=vm)
    if isinstance(got.body, ports.Yield):
        return dataclasses.replace(got.body, vm=vm)
    return got.body if isinstance(got.body, ports.PeerMessage) else None


def parts(members: Iterable[ports.Member]) -> Iterable[tuple[ports.Member, ...]]:
    """Split records so that each part fits one datagram."""
    part: list[ports.Member] = []
    left = codec.MEMBERS_ROOM_BYTES
    for member in members:
        size = codec.member_bytes(member)
        if size > left:
            yield tuple(part)
            part, left = [], codec.MEMBERS_ROOM_BYTES
        part.append(member)
        left -= size
    if part:
        yield tuple(part)


class Membership:
    """Keeps the view of the fleet and carries peer messages.

    :param cut: tells by address which datagrams get lost on their way out (for tests).
    """

    name = "membership"

    def __init__(
        self,
        cfg: settings.Settings,
        key: peer_key.PeerKey | None = None,
        *,
        rng: random.Random | None = None,
        tuning: membership.Tuning | None = None,
        cut: datagrams.Filter | None = None,
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
        self._stale = False
        self._version = 0
        self._highest = 0
        self._rumors = 0
        self._leaving = False
        self._worker_heard: float | None = None
        self._fed: dict[str, ports.Member] = {}
        self._feed: list[str] = []
        self._gauge = metrics.gauge("cornelgrade_members", "Members of the view, by state.")

    # The Protocol -----------------------------------------------------------------------

    def view(self) -> ports.View:
        """Give the latest view."""
        if self._stale and self._prober is not None:
            members = sorted(self._prober.members.values(), key=lambda m: m.vm)
            self._view = ports.View(self._cfg.vm, tuple(members))
            self._stale = False
        return self._view

    def send(self, vm: str, message: ports.PeerMessage) -> None:
        """Send a datagram to a VM's worker (load, yield) or gateway (the rest)."""
        member = self._prober.members.get(vm) if self._prober is not None else None
        if member is not None and self._socket is not None:
            self._socket.send(address_for(member, message), message)

    def broadcast(self, message: ports.PeerMessage) -> None:
        """Queue a message to every gateway and worker of the region."""
        if self._prober is None or self._socket is None:
            return
        self._rumors += 1
        rumor = messages.Rumor(f"{self._cfg.vm}:{self._socket.session}", self._rumors, message)
        self._prober.hear_rumor(rumor)
        self._to_worker(message)

    def subscribe(self, kind: type[T]) -> trio.MemoryReceiveChannel[T]:
        """Receive the messages of one type; a slow reader loses the oldest."""
        return self._subscriptions.subscribe(kind)

    def set_version(self, version: int) -> None:
        """Tell the others which manifest version is in force at this VM."""
        if version <= self._version:
            return
        self._version = version
        self._highest = max(self._highest, version)
        if self._prober is not None:
            self._carry_out(self._prober.set_version(version))
            self._stale = True

    def leave(self) -> None:
        """Announce that this VM stops; a second call sends it again."""
        self._leaving = True
        if self._prober is not None:
            self._carry_out(self._prober.leave())
            self._stale = True

    def traffic(self) -> datagrams.Traffic:
        """Give the traffic of the peer socket."""
        return self._socket.traffic() if self._socket is not None else datagrams.Traffic()

    def pending_updates(self) -> int:
        """Give the number of updates that still ride along with probes."""
        return self._prober.pending() if self._prober is not None else 0

    def dropped(self) -> dict[datagrams.Dropped, int]:
        """Give the number of datagrams dropped, by reason."""
        return dict(self._socket.dropped) if self._socket is not None else {}

    def report(self) -> reports.Report:
        """Give the members' states and the traffic for the status page."""
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

    # The service ------------------------------------------------------------------------

    async def run(self, started: Callable[[], None]) -> None:
        """Own the sockets and take part in the protocol until cancelled."""
        with contextlib.ExitStack() as stack:
            owned = datagrams.Socket(self._cfg.peer_address, self._key, self._cfg.vm, cut=self._cut)
            self._socket = stack.enter_context(owned)
            self._prober = self._make_prober(self._socket)
            stack.callback(self._stopped)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._tick)
                nursery.start_soon(self._feed_worker)
                self._stale = True
                started()

    def _make_prober(self, owned: datagrams.Socket) -> prober.Prober:
        me = ports.Member(
            vm=self._cfg.vm,
            failure_domain=self._cfg.failure_domain,
            region=self._cfg.region,
            incarnation=owned.session,
            state=State.LEAVING if self._leaving else State.ALIVE,
            peer_address=owned.address,
            worker_address=self._cfg.worker_address,
            gateway_address=self._cfg.gateway_address,
            manifest_version=self._version,
        )
        return prober.Prober(me, self._cfg.seeds, self._rng, self._tuning)

    def _stopped(self) -> None:
        self.leave()
        self.view()
        self._prober = None
        self._socket = None

    async def _receive(self) -> None:
        assert self._socket is not None and self._prober is not None
        while True:
            for got in await self._socket.receive():
                self._take(got, self._prober)

    def _take(self, got: messages.Datagram, state: prober.Prober) -> None:
        now = trio.current_time()
        if got.sender == self._cfg.vm + WORKER_SUFFIX:
            self._take_from_worker(got, now)
        self._carry_out(state.receive(now, got))
        message = received(got)
        if message is not None:
            self._subscriptions.deliver(message)

    def _take_from_worker(self, got: messages.Datagram, now: float) -> None:
        silent = self._worker_heard is None or now - self._worker_heard > WORKER_SILENT_S
        self._worker_heard = now
        if silent:
            self._fed.clear()

    async def _tick(self) -> None:
        assert self._prober is not None
        while True:
            self._carry_out(self._prober.tick(trio.current_time()))
            await trio.sleep_until(max(self._prober.due(), trio.current_time() + 0.001))

    # Actions ----------------------------------------------------------------------------

    def _carry_out(self, chosen: list[actions.Action]) -> None:
        for action in chosen:
            match action:
                case actions.Send(address, body, members, rumors):
                    assert self._socket is not None
                    self._socket.send(address, body, members, rumors)
                case actions.Changed(member, before):
                    self._changed(member, before)
                case actions.Deliver(message):
                    self._subscriptions.deliver(message)
                    self._to_worker(message)

    def _changed(self, member: ports.Member, before: ports.Member | None) -> None:
        self._stale = True
        if member.manifest_version > self._highest:
            self._highest = member.manifest_version
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
        self._count()

    def _count(self) -> None:
        assert self._prober is not None
        states = [m.state for m in self._prober.members.values()]
        for state in State:
            self._gauge.set({"state": state.value}, states.count(state))

    # The worker process -----------------------------------------------------------------

    def _to_worker(self, message: ports.PeerMessage) -> None:
        if self._worker_heard is not None and self._socket is not None:
            self._socket.send(self._cfg.worker_address, message)

    async def _feed_worker(self) -> None:
        while True:
            await trio.sleep(FEED_INTERVAL_S)
            heard = self._worker_heard
            if heard is not None and trio.current_time() - heard < WORKER_SILENT_S:
                self._send_feed()

    def _send_feed(self) -> None:
        assert self._prober is not None and self._socket is not None
        members = self._prober.members
        changed = [m for vm, m in members.items() if self._fed.get(vm) is not m]
        if not self._feed:
            self._feed = list(members)
        again = [self._feed.pop() for _ in range(min(_FEED_RECORDS, len(self._feed)))]
        chosen = {m.vm: m for m in changed}
        chosen.update((vm, members[vm]) for vm in again if vm in members)
        self._fed = dict(members)
        for part in parts(chosen.values()):
            self._socket.send(self._cfg.worker_address, messages.Roster(), part)
