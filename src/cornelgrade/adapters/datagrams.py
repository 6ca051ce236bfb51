"""Authenticated UDP transport for peer messages, with replay protection.

A datagram is a 16-byte BLAKE2b tag followed by one packed Cap'n Proto message. The tag also covers
the receiver's address, so a datagram captured on its way to one VM is rejected by any other.
"""

import collections
import enum
import ipaddress
import socket
import time
from collections.abc import Callable

import msgspec
import trio

from cornelgrade import addresses, metrics
from cornelgrade.adapters import peer_key
from cornelgrade.schema import codec, messages
from cornelgrade.services import ports

MAX_DATAGRAM_AGE_S = 60.0
REPLAY_WINDOW_DATAGRAMS = 1024
_MAX_DATAGRAMS_PER_RECEIVE = 64
_NS_PER_US = 1000
_RECEIVE_BUFFER_BYTES = 1 << 20

DropFilter = Callable[[str], bool]


class DropReason(enum.StrEnum):
    """Why a datagram was dropped."""

    OVERSIZE = "oversize"
    WRONG_KEY = "wrong_key"
    MALFORMED = "malformed"
    TOO_OLD = "too_old"
    REPLAY = "replay"
    NOT_SENT = "not_sent"


class _SenderState(msgspec.Struct):
    session: int
    highest_sequence: int
    received_bits: int
    last_received_s: float


class ReplayGuard:
    """Sliding window of accepted sequence numbers for each sender.

    Datagrams older than :data:`MAX_DATAGRAM_AGE_S` are rejected, so the state of a sender that has
    been idle for longer can be discarded without allowing a replay.
    """

    def __init__(self) -> None:
        self._senders: dict[str, _SenderState] = {}
        self._last_sweep_s = 0.0

    def check(self, datagram: messages.Datagram, now_s: float) -> DropReason | None:
        """Record a datagram; return the reason to drop it, ``None`` if it is accepted.

        :param now_s: Unix time in seconds.
        """
        if abs(now_s - datagram.sent_s) > MAX_DATAGRAM_AGE_S:
            return DropReason.TOO_OLD
        self._forget_idle_senders(now_s)
        state = self._senders.get(datagram.sender)
        if state is None or datagram.session > state.session:
            self._senders[datagram.sender] = _SenderState(
                datagram.session, datagram.sequence, 1, now_s
            )
            return None
        if datagram.session < state.session or not _mark_received(state, datagram.sequence):
            return DropReason.REPLAY
        state.last_received_s = now_s
        return None

    def _forget_idle_senders(self, now_s: float) -> None:
        if now_s - self._last_sweep_s < MAX_DATAGRAM_AGE_S:
            return
        self._last_sweep_s = now_s
        oldest = now_s - 2 * MAX_DATAGRAM_AGE_S
        self._senders = {k: v for k, v in self._senders.items() if v.last_received_s >= oldest}


def _mark_received(state: _SenderState, sequence: int) -> bool:
    ahead = sequence - state.highest_sequence
    if ahead > 0:
        state.received_bits = (
            ((state.received_bits << ahead) | 1) & ((1 << REPLAY_WINDOW_DATAGRAMS) - 1)
            if ahead < REPLAY_WINDOW_DATAGRAMS
            else 1
        )
        state.highest_sequence = sequence
        return True
    bit = 1 << -ahead
    if -ahead >= REPLAY_WINDOW_DATAGRAMS or state.received_bits & bit:
        return False
    state.received_bits |= bit
    return True


class Traffic(msgspec.Struct, frozen=True):
    """Counts of bytes and datagrams since the socket was opened."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent: int = 0
    received: int = 0


class Socket:
    """A bound UDP socket; a context manager that closes it.

    :param sender: the name of this process as peers see it.
    :param cut: returns whether to drop a datagram to this address instead of sending it (for
        tests).
    :param clock: Unix time in seconds.
    :ivar plan_version: the version of the plan in force, which each datagram tells.
    """

    def __init__(
        self,
        address: str,
        key: peer_key.PeerKey,
        sender: str,
        *,
        cut: DropFilter | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.address = address
        self._key = key
        self._sender = sender
        self._cut = cut
        self._clock = clock
        self.session = time.time_ns() // _NS_PER_US
        self.plan_version = 0
        self._sequence = 0
        self._guard = ReplayGuard()
        self.dropped: collections.Counter[DropReason] = collections.Counter()
        self._traffic_counts = [0, 0, 0, 0]
        self._dropped_metric = metrics.counter(
            "cornelgrade_peer_datagrams_dropped_total", "Datagrams dropped, by reason."
        )
        host, port = addresses.split_host_port(address)
        ip = ipaddress.ip_address(host)
        family = socket.AF_INET6 if ip.version == 6 else socket.AF_INET
        self._sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._sock.setblocking(False)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
            self._sock.bind((host, port))
        except OSError:
            self._sock.close()
            raise
        if port == 0:
            self.address = f"{address.rpartition(':')[0]}:{self._sock.getsockname()[1]}"

    def __enter__(self) -> "Socket":
        return self

    def __exit__(self, *exc_info: object) -> None:
        trio.lowlevel.notify_closing(self._sock)
        self._sock.close()

    def traffic(self) -> Traffic:
        """Return what was sent and received so far."""
        return Traffic(*self._traffic_counts)

    def send(
        self,
        address: str,
        body: messages.Body,
        members: tuple[ports.Member, ...] = (),
        rumors: tuple[messages.Rumor, ...] = (),
    ) -> None:
        """Send without waiting; members and rumors that do not fit the datagram are left out."""
        self._sequence += 1
        payload = self._encode_to_fit(body, members, rumors)
        if payload is None:
            self._count_drop(DropReason.OVERSIZE)
            return
        if self._cut is not None and self._cut(address):
            return
        raw = self._key.tag(address.encode(), payload) + payload
        try:
            self._sock.sendto(raw, addresses.split_host_port(address))
        except (OSError, ValueError, OverflowError):
            self._count_drop(DropReason.NOT_SENT)
            return
        self._traffic_counts[0] += len(raw)
        self._traffic_counts[2] += 1

    def _encode_to_fit(
        self,
        body: messages.Body,
        members: tuple[ports.Member, ...],
        rumors: tuple[messages.Rumor, ...],
    ) -> bytes | None:
        while True:
            payload = codec.encode(
                messages.Datagram(
                    sender=self._sender,
                    session=self.session,
                    sequence=self._sequence,
                    sent_s=self._clock(),
                    body=body,
                    members=members,
                    rumors=rumors,
                    plan_version=self.plan_version,
                )
            )
            if len(payload) + peer_key.TAG_BYTES <= codec.MAX_DATAGRAM_BYTES:
                return payload
            if not members and not rumors:
                return None
            members = members[: len(members) // 2]
            rumors = rumors[: len(rumors) // 2]

    async def receive(self) -> list[messages.Datagram]:
        """Wait for datagrams and return the valid ones, a bounded number at a time."""
        await trio.lowlevel.wait_readable(self._sock)
        accepted = []
        for _ in range(_MAX_DATAGRAMS_PER_RECEIVE):
            try:
                raw = self._sock.recv(codec.MAX_DATAGRAM_BYTES + 1)
            except OSError:
                break
            datagram = self._accept(raw)
            if datagram is not None:
                accepted.append(datagram)
        return accepted

    def _accept(self, raw: bytes) -> messages.Datagram | None:
        self._traffic_counts[1] += len(raw)
        self._traffic_counts[3] += 1
        result = self._verify(raw)
        if isinstance(result, DropReason):
            self._count_drop(result)
            return None
        return result

    def _verify(self, raw: bytes) -> messages.Datagram | DropReason:
        if len(raw) > codec.MAX_DATAGRAM_BYTES:
            return DropReason.OVERSIZE
        tag, payload = raw[: peer_key.TAG_BYTES], raw[peer_key.TAG_BYTES :]
        if not self._key.matches(tag, self.address.encode(), payload):
            return DropReason.WRONG_KEY
        try:
            datagram = codec.decode(payload)
        except codec.MalformedError:
            return DropReason.MALFORMED
        return self._guard.check(datagram, self._clock()) or datagram

    def _count_drop(self, reason: DropReason) -> None:
        self.dropped[reason] += 1
        self._dropped_metric.inc({"reason": reason.value})
