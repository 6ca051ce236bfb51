"""How an upstream's slots are shared among the VMs that send to it."""

import dataclasses
import math

MIN_SHARE = 1
REMOTE_FRACTION = 0.25


def fallback_share(
    slots: int, local_vms: int, other_vms: int, local: bool, unanswered: bool = False
) -> int:
    """Give a VM's share when nobody has told it one.

    A VM of another failure domain gets none while the upstream's own has live VMs, since one of
    them answers its demand with a share; if none does, it takes a small one.

    :param unanswered: the VM has told its demand for a while and heard nothing.
    :param local_vms: live VMs of the upstream's failure domain.
    :param other_vms: live VMs of all others.
    :param local: whether the VM is in the upstream's failure domain.
    """
    if local:
        return max(MIN_SHARE, math.ceil(slots / max(1, local_vms)))
    if local_vms and not unanswered:
        return 0
    return max(MIN_SHARE, math.ceil(slots * REMOTE_FRACTION / max(1, other_vms)))


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a VM wants of an upstream: requests running there and waiting for it."""

    vm: str
    wanted: int
    local: bool = True


def divide(slots: int, demands: tuple[Demand, ...]) -> dict[str, int]:
    """Divide the slots max-min fairly: small demands in full, the rest in equal parts.

    Local demands go first, and each local VM keeps at least one slot; what is left goes to other
    failure domains, whose VMs may get none. Slots that nobody asked for are spread over the local
    VMs, so that a VM whose load rises has room at once. The shares add up to ``slots``, or to the
    number of local VMs if that is larger.
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
