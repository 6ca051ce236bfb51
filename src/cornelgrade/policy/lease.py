"""Rules of a lease: who may act, for how long by its own clock, and when a successor may begin.

Times are monotonic seconds of the process that decides; none of them is compared across VMs.
"""

import dataclasses
import enum

import msgspec

from cornelgrade.adapters import platform

SAFE_FRACTION = 0.8
RENEW_PART = 1 / 3


class Record(msgspec.Struct, frozen=True):
    """The platform's object.

    :param holder: a holder's VM and the session of its process.
    :param epoch: grows by one with each new holder; the fencing number.
    :param renewals: grows by one with each write of the same epoch.
    :param released: the holder has stopped, and none of its orders is on its way.
    """

    holder: str
    epoch: int
    lease_s: float
    renewals: int = 0
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """A record as one VM sees it.

    :param first_seen_at: when this VM first saw this version.
    """

    record: Record
    version: int
    first_seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A lease that this process holds.

    :param asked_at: when the write that gave it was sent, so before it took effect.
    """

    record: Record
    version: int
    asked_at: float

    def stops_at(self) -> float:
        """Give the time from which its holder no longer acts."""
        return self.asked_at + self.record.lease_s * SAFE_FRACTION

    def renew_at(self) -> float:
        """Give the time at which it should be renewed."""
        return self.asked_at + self.record.lease_s * RENEW_PART

    def valid(self, now: float) -> bool:
        """Tell whether its holder may act."""
        return now < self.stops_at()


class Kind(enum.Enum):
    """What a VM without the lease does."""

    WAIT = "wait"
    TAKE = "take"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do; ``at`` is when to decide again after WAIT, ``epoch`` the next one's number."""

    kind: Kind
    at: float = 0.0
    epoch: int = 0


def decide(seen: Seen | None, now: float, longest_order_s: float) -> Decision:
    """Decide whether a VM that does not hold the lease may take it.

    A holder that stopped without giving it back is waited out from this VM's own first sight of
    its last renewal, and so is the longest order that it may have had on its way.
    """
    if seen is None:
        return Decision(Kind.TAKE, epoch=1)
    epoch = seen.record.epoch + 1
    if seen.record.released:
        return Decision(Kind.TAKE, epoch=epoch)
    free_at = seen.first_seen_at + seen.record.lease_s + longest_order_s
    if now >= free_at:
        return Decision(Kind.TAKE, epoch=epoch)
    return Decision(Kind.WAIT, at=free_at)


def look(before: Seen | None, stored: platform.Stored | None, now: float) -> Seen | None:
    """Take in what was read; an unchanged version keeps its first sight.

    :raises msgspec.DecodeError: if the object is no lease.
    """
    if stored is None:
        return None
    if before is not None and before.version == stored.version:
        return before
    record = msgspec.json.decode(stored.value, type=Record)
    return Seen(record, stored.version, now)


def renewed(held: Held) -> Record:
    """Make the record of the next renewal."""
    return msgspec.structs.replace(held.record, renewals=held.record.renewals + 1)


def after_read(held: Held, sent: Record, asked_at: float, seen: Seen | None) -> Held | None:
    """Settle a renewal whose answer was lost, by what the platform holds now.

    :param sent: the record that was sent at ``asked_at``.
    """
    if seen is None or seen.record.released:
        return None
    if seen.record == sent:
        return Held(sent, seen.version, asked_at)
    return held if seen.record == held.record else None
