"""How many batch items an upstream runs beside its online requests, and which go next."""

import dataclasses

from cornelgrade.policy import rendezvous

# Slots left free for the next online request, so that it starts without waiting for an item to
# give way.
SPARE_SLOTS = 1
# Share of the slots that batch uses while no gateway's load was heard.
UNHEARD_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What is known of an upstream.

    :param online: online requests of all gateways.
    :param batch: batch items that this VM runs there.
    :param heard: whether any gateway's load was heard lately.
    """

    slots: int
    online: int
    batch: int
    heard: bool = True


def change(use: Use) -> int:
    """Say how many items to start (positive) or to cancel (negative)."""
    if not use.heard:
        return int(use.slots * UNHEARD_SHARE) - use.batch
    free = use.slots - use.online - use.batch
    if free < 0:
        return max(free, -use.batch)
    return max(0, free - SPARE_SLOTS)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """An item that waits for a slot.

    :param due_s: Unix time at which its job is due.
    """

    job: str
    index: int
    due_s: float


def order(waiting: list[Waiting], vm: str, now_s: float) -> list[Waiting]:
    """Put items in the order in which this VM starts them.

    Earliest due first; jobs past their due time come last, since their worth is mostly gone. VMs
    begin with different items of a job, so that two seldom start the same one.
    """
    return sorted(
        waiting,
        key=lambda w: (
            w.due_s < now_s,
            w.due_s,
            w.job,
            -rendezvous.score(f"{w.job}/{w.index}", vm),
        ),
    )
