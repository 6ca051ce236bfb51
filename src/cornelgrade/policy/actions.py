"""What the membership's state machine tells its service to do, and the state of its probes."""

import dataclasses
import enum

from cornelgrade.schema import messages
from cornelgrade.services import ports


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an address; updates ride along."""

    address: str
    body: messages.Body
    members: tuple[ports.Member, ...] = ()
    rumors: tuple[messages.Rumor, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A member's record changed; ``before`` is ``None`` for a new member."""

    member: ports.Member
    before: ports.Member | None


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Hand a spread message to this VM's services, once."""

    message: ports.PeerMessage


Action = Send | Changed | Deliver


class Stage(enum.Enum):
    """How far the probe of this interval is."""

    DIRECT = "direct"
    INDIRECT = "indirect"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """The probe of this interval."""

    vm: str
    number: int
    sent_at: float
    stage: Stage


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """A ping sent on behalf of another member."""

    address: str
    number: int
