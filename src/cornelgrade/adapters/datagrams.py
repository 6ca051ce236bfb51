"""The owner of a UDP socket: one authenticated message a datagram, guarded against replay.

A datagram is a 16-byte BLAKE2b tag and a packed Cap'n Proto message. The tag also covers the
receiver's address, so that a datagram recorded on its way to one VM is worthless at another.
"""

import collections
import dataclasses
import enum
import ipaddress
import socket
import time
from collections.abc import Callable

import trio

from cornelgrade import addresses, metrics
from cornelgrade.adapters import peer_key
from cornelgrade.schema import codec, messages
from cornelgrade.services import ports

MAX_AGE_S = 60.0
WINDOW = 1024
_BATCH = 64
_NS_PER_US = 1000
_RECEIVE_BUFFER_BYTES = 1 << 20

Filter = Callable[[str], bool]


class Dropped(enum.StrEnum):
    """Why a datagram was dropped."""

    OVERSIZE = "oversize"
    WRONG_KEY = "wrong_key"
    MALFORMED = "malformed"
    TOO_OLD = "too_old"
    REPLAY = "replay"
    NOT_SENT = "not_sent"


@dataclasses.dataclass(slots=True)
class _Sender:
    session: int
    highest: int
    seen: int
    heard_s: float


class ReplayGuard:
    """Remembers which datagrams of each sender have been taken.

    Datagrams older than :data:`MAX_AGE_S` are refused, so a sender that has been silent for
    longer may be forgotten without opening a gap.
    """

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}
        self._swept_s = 0.0

    def check(self, got: messages.Datagram, now_s: float) -> Dropped | None:
        """Take a datagram, or say why not.

        :param now_s: Unix time in seconds.
        """
        if abs(now_s - got.sent_s) > MAX_AGE_S:
            return Dropped.TOO_OLD
        self._sweep(now_s)
        known = self._senders.get(got.sender)
        if known is None or got.session > known.session:
            self._senders[got.sender] = _Sender(got.session, got.sequence, 1, now_s)
            return None
        if got.session < known.session or not _take(known, got.sequence):
            return Dropped.REPLAY
        known.heard_s = now_s
        return None

    def _sweep(self, now_s: float) -> None:
        if now_s - self._swept_s < MAX_AGE_S:
            return
        self._swept_s = now_s
        oldest = now_s - 2 * MAX_AGE_S
        self._senders = {k: v for k, v in self._senders.items() if v.heard_s >= oldest}


def _take(known: _Sender, sequence: int) -> bool:
    ahead = sequence - known.highest
    if ahead > 0:
        known.seen = ((known.seen << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
        known.highest = sequence
        return True
    bit = 1 << -ahead
    if -ahead >= WINDOW or known.seen & bit:
        return False
    known.seen |= bit
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes and datagrams since the socket was opened."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent: int = 0
    received: int = 0


class Socket:
    """A bound UDP socket; a context manager that closes it.

    :param sender: the name of this process as peers see it.
    :param cut: tells by address which datagrams get lost on their way out (for tests).
    :param clock: Unix time in seconds.
    """

    def __init__(
        self,
        address: str,
        key: peer_key.PeerKey,
        sender: str,
        *,
        cut: Filter | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.address = address
        self._key = key
        self._sender = sender
        self._cut = cut
        self._clock = clock
        self.session = time.time_ns() // _NS_PER_US
        self._sequence = 0
        self._guard = ReplayGuard()
        self.dropped: collections.Counter[Dropped] = collections.Counter()
        self._counts = [0, 0, 0, 0]
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
        """Give what was sent and received so far."""
        return Traffic(*self._counts)

    def send(
        self,
        address: str,
        body: messages.Body,
        members: tuple[ports.Member, ...] = (),
        rumors: tuple[messages.Rumor, ...] = (),
    ) -> None:
        """Send at once or lose it; what rides along is cut down to the datagram's size."""
        self._sequence += 1
        payload = self._fit(body, members, rumors)
        if payload is None:
            self._drop(Dropped.OVERSIZE)
            return
        if self._cut is not None and self._cut(address):
            return
        raw = self._key.tag(address.encode(), payload) + payload
        try:
            self._sock.sendto(raw, addresses.split_host_port(address))
        except OSError:
            self._drop(Dropped.NOT_SENT)
            return
        self._counts[0] += len(raw)
        self._counts[2] += 1

    def _fit(
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
                )
            )
            if len(payload) + peer_key.TAG_BYTES <= codec.MAX_BYTES:
                return payload
            if not members and not rumors:
                return None
            members = members[: len(members) // 2]
            rumors = rumors[: len(rumors) // 2]

    async def receive(self) -> list[messages.Datagram]:
        """Wait for datagrams and give those that pass every check, a bounded number at once."""
        await trio.lowlevel.wait_readable(self._sock)
        good = []
        for _ in range(_BATCH):
            try:
                raw = self._sock.recv(codec.MAX_BYTES + 1)
            except OSError:
                break
            got = self._open(raw)
            if got is not None:
                good.append(got)
        return good

    def _open(self, raw: bytes) -> messages.Datagram | None:
        self._counts[1] += len(raw)
        self._counts[3] += 1
        got = self._checked(raw)
        if isinstance(got, Dropped):
            self._drop(got)
            return None
        return got

    def _checked(self, raw: bytes) -> messages.Datagram | Dropped:
        if len(raw) > codec.MAX_BYTES:
            return Dropped.OVERSIZE
        tag, payload = raw[: peer_key.TAG_BYTES], raw[peer_key.TAG_BYTES :]
        if not self._key.matches(tag, self.address.encode(), payload):
            return Dropped.WRONG_KEY
        try:
            got = codec.decode(payload)
        except codec.MalformedError:
            return Dropped.MALFORMED
        return self._guard.check(got, self._clock()) or got

    def _drop(self, reason: Dropped) -> None:
        self.dropped[reason] += 1
        self._dropped_metric.inc({"reason": reason.value})
