"""How an upstream's slots are shared among the VMs that send to it."""

import dataclasses
import math

MIN_SHARE = 1
FOREIGN_FRACTION = 0.25


def fallback_share(slots: int, vms: int, local: bool) -> int:
    """Give a VM's share when nobody has told it one.

    :param vms: live VMs of the upstream's failure domain, or of all others if not ``local``.
    :param local: whether the VM is in the upstream's failure domain.
    """
    usable = slots if local else slots * FOREIGN_FRACTION
    return max(MIN_SHARE, math.ceil(usable / max(1, vms)))


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a VM wants of an upstream: requests running there and waiting for it."""

    vm: str
    wanted: int
    local: bool = True


def divide(slots: int, demands: tuple[Demand, ...]) -> dict[str, int]:
    """Divide the slots max-min fairly: small demands in full, the rest in equal parts.

    Local demands go first; what is left goes to other failure domains. Slots that nobody asked
    for are spread over the local VMs, so that a VM whose load rises has room at once. The shares
    add up to ``slots`` unless there are more VMs than slots, each of which keeps one.
    """
    local = tuple(d for d in demands if d.local)
    foreign = tuple(d for d in demands if not d.local)
    shares = _max_min(slots, local)
    shares |= _max_min(slots - sum(shares.values()), foreign)
    spare = slots - sum(shares.values())
    _spread(shares, tuple(d.vm for d in local) or tuple(d.vm for d in foreign), spare)
    return {vm: max(MIN_SHARE, share) for vm, share in shares.items()}


def _max_min(slots: int, demands: tuple[Demand, ...]) -> dict[str, int]:
    shares: dict[str, int] = {}
    left = max(0, slots)
    ordered = sorted(demands, key=lambda d: (d.wanted, d.vm))
    for index, demand in enumerate(ordered):
        fair = math.ceil(left / (len(ordered) - index))
        shares[demand.vm] = min(demand.wanted, fair)
        left -= shares[demand.vm]
    return shares


def _spread(shares: dict[str, int], vms: tuple[str, ...], spare: int) -> None:
    for index, vm in enumerate(sorted(vms)):
        part = math.ceil(max(0, spare) / (len(vms) - index))
        shares[vm] += part
        spare -= part
