"""Rules of a lease: how long its holder may act, and when another VM may acquire it.

Times are monotonic seconds of the deciding process and are never compared across VMs.
"""

import dataclasses
import enum

import msgspec

from cornelgrade.adapters import platform

SAFE_FRACTION = 0.8
RENEW_FRACTION = 1 / 3


class Record(msgspec.Struct, frozen=True):
    """The lease as stored in the platform.

    :param holder: VM and process session of the holder.
    :param epoch: fencing number, incremented for each new holder.
    :param renewals: incremented by each renewal in the same epoch.
    :param released: the holder has stopped, and none of its orders is still in transit.
    """

    holder: str
    epoch: int
    lease_s: float
    renewals: int = 0
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease record as read by one VM.

    :param first_seen_at: time at which this VM first read this version.
    """

    record: Record
    version: int
    first_seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease held by this process.

    :param requested_at: time at which the write that acquired or renewed it was sent, hence
        before it took effect.
    """

    record: Record
    version: int
    requested_at: float

    def stops_at(self) -> float:
        """Return the time from which the holder may no longer act."""
        return self.requested_at + self.record.lease_s * SAFE_FRACTION

    def renew_at(self) -> float:
        """Return the time at which the lease should be renewed."""
        return self.requested_at + self.record.lease_s * RENEW_FRACTION

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may act."""
        return now < self.stops_at()


class DecisionKind(enum.Enum):
    """What a VM that does not hold the lease does."""

    WAIT = "wait"
    ACQUIRE = "take"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do: wait until ``at`` and decide again, or acquire the lease with ``epoch``."""

    kind: DecisionKind
    at: float = 0.0
    epoch: int = 0


def decide(seen: ObservedLease | None, now: float, longest_order_s: float) -> Decision:
    """Decide whether a VM that does not hold the lease may acquire it.

    If the holder did not release the lease, the VM waits, from the time at which it first saw the
    last renewal, for the length of the lease and of the longest order that may be in transit.
    """
    if seen is None:
        return Decision(DecisionKind.ACQUIRE, epoch=1)
    epoch = seen.record.epoch + 1
    if seen.record.released:
        return Decision(DecisionKind.ACQUIRE, epoch=epoch)
    free_at = seen.first_seen_at + seen.record.lease_s + longest_order_s
    if now >= free_at:
        return Decision(DecisionKind.ACQUIRE, epoch=epoch)
    return Decision(DecisionKind.WAIT, at=free_at)


def observe(
    before: ObservedLease | None, stored: platform.StoredObject | None, now: float
) -> ObservedLease | None:
    """Return the lease that was read; an unchanged version keeps its ``first_seen_at``.

    :raises msgspec.DecodeError: if the object is not a lease.
    """
    if stored is None:
        return None
    if before is not None and before.version == stored.version:
        return before
    record = msgspec.json.decode(stored.value, type=Record)
    return ObservedLease(record, stored.version, now)


def make_renewal(held: HeldLease) -> Record:
    """Return the record to write for the next renewal."""
    return msgspec.structs.replace(held.record, renewals=held.record.renewals + 1)


def resolve_renewal(
    held: HeldLease, sent: Record, requested_at: float, seen: ObservedLease | None
) -> HeldLease | None:
    """Resolve a renewal whose response was lost from the record read back afterwards.

    :param sent: record that was written at ``requested_at``.
    """
    if seen is None or seen.record.released:
        return None
    if seen.record == sent:
        return HeldLease(sent, seen.version, requested_at)
    return held if seen.record == held.record else None
