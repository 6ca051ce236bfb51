"""How an upstream's slots are divided among the VMs that send requests to it."""

import dataclasses
import math

MIN_SHARE = 1
REMOTE_FRACTION = 0.25


def fallback_share(
    slots: int, local_vms: int, other_vms: int, local: bool, unanswered: bool = False
) -> int:
    """Return a VM's share of the slots until it is granted one.

    A VM in another failure domain has no share while the upstream's own domain has live VMs, since
    one of these grants it a share on demand. If none does, it uses a small share.

    :param local_vms: live VMs in the upstream's failure domain.
    :param other_vms: live VMs in all other failure domains.
    :param local: whether the VM is in the upstream's failure domain.
    :param unanswered: the VM has published its demand for a while without receiving a grant.
    """
    if local:
        return max(MIN_SHARE, math.ceil(slots / max(1, local_vms)))
    if local_vms and not unanswered:
        return 0
    return max(MIN_SHARE, math.ceil(slots * REMOTE_FRACTION / max(1, other_vms)))


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of a VM for an upstream: its requests running there and waiting for it."""

    vm: str
    wanted: int
    local: bool = True


def divide_slots(slots: int, demands: tuple[Demand, ...]) -> dict[str, int]:
    """Divide the slots by max-min fairness: small demands in full, the rest in equal parts.

    Local demands come first, and each local VM gets at least one slot. The remaining slots go to
    other failure domains, whose VMs may get none. Slots beyond all demands are spread over the
    local VMs, so that a VM whose load rises has free slots immediately. The shares add up to
    ``slots``, or to the number of local VMs if that is larger.
    """
    local = tuple(
        dataclasses.replace(d, wanted=max(MIN_SHARE, d.wanted)) for d in demands if d.local
    )
    remote = tuple(d for d in demands if not d.local)
    shares = {vm: max(MIN_SHARE, share) for vm, share in _allocate_max_min(slots, local).items()}
    shares |= _allocate_max_min(slots - sum(shares.values()), remote)
    spare = slots - sum(shares.values())
    _spread_evenly(shares, tuple(d.vm for d in local) or tuple(d.vm for d in remote), spare)
    return shares


def _allocate_max_min(slots: int, demands: tuple[Demand, ...]) -> dict[str, int]:
    shares: dict[str, int] = {}
    left = max(0, slots)
    ordered = sorted(demands, key=lambda d: (d.wanted, d.vm))
    for index, demand in enumerate(ordered):
        fair = math.ceil(left / (len(ordered) - index))
        shares[demand.vm] = min(demand.wanted, fair)
        left -= shares[demand.vm]
    return shares


def _spread_evenly(shares: dict[str, int], vms: tuple[str, ...], spare: int) -> None:
    for index, vm in enumerate(sorted(vms)):
        part = math.ceil(max(0, spare) / (len(vms) - index))
        shares[vm] += part
        spare -= part
