"""Actions returned by the membership state machine, and the state of its probes."""

import dataclasses
import enum

from cornelgrade.schema import messages
from cornelgrade.services import ports


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an address with member records and rumors piggybacked on it."""

    address: str
    body: messages.Body
    members: tuple[ports.Member, ...] = ()
    rumors: tuple[messages.Rumor, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's record changed; ``before`` is ``None`` for a new member."""

    member: ports.Member
    before: ports.Member | None


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver a broadcast message to the services of this VM, once."""

    message: ports.PeerMessage


Action = Send | MemberChanged | Deliver


class Stage(enum.Enum):
    """Progress of the current interval's probe."""

    DIRECT = "direct"
    INDIRECT = "indirect"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """The probe sent in the current interval."""

    vm: str
    number: int
    sent_at: float
    stage: Stage


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent on behalf of another member, which is at ``address``."""

    address: str
    number: int
