"""Typed messages that the system's processes send each other in datagrams."""

import dataclasses

from cornelgrade.services import ports


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks the receiver for an :class:`Ack` with the same number."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a :class:`Ping`, or a :class:`ProbeRequest` whose target answered."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks the receiver to ping ``vm`` and to pass on its ack under ``number``."""

    number: int
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Asks the receiver for all members that it knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """Carries members only: a part of the answer to :class:`Join`, or a refresh."""


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """Announces the manifest version that its sender has in force."""

    version: int


Body = Ping | Ack | ProbeRequest | Join | Roster | Version | ports.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Rumor:
    """A message on its way to every gateway; ``origin`` and ``number`` identify it."""

    origin: str
    number: int
    message: ports.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram.

    :param sender: the sending process: the VM's name, with ``/worker`` behind it for a worker.
    :param session: start of the sending process in Unix microseconds.
    :param sequence: grows by one with each datagram of a session.
    :param sent_s: Unix time in seconds.
    :param members: membership records that ride along, the sender's own first.
    """

    sender: str
    session: int
    sequence: int
    sent_s: float
    body: Body
    members: tuple[ports.Member, ...] = ()
    rumors: tuple[Rumor, ...] = ()
