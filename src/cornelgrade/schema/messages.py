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


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUse:
    """Requests at one upstream.

    :param online: online requests; the sender's own from a gateway, those of all other gateways
        from the upstream's batch owner.
    :param batch: batch items, from its batch owner.
    """

    upstream: str
    online: int
    batch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Uses:
    """Uses of upstreams: a gateway tells their batch owner, and the owner answers.

    :param vm: the sender, set on receipt.
    """

    uses: tuple[UpstreamUse, ...]
    vm: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobClaim:
    """Items of a job, one bit each: those that a worker runs and those that it knows are done."""

    job: str
    running: int
    done: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobClaims:
    """A worker tells the other workers what it runs.

    :param vm: the sender, set on receipt.
    """

    claims: tuple[JobClaim, ...]
    vm: str = ""


Body = Ping | Ack | ProbeRequest | Join | Roster | Version | Uses | JobClaims | ports.PeerMessage


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
