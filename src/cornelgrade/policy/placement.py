"""Where an online request goes: the upstream with the fewest requests, near ones first.

An upstream admits in order of arrival and knows no priorities. So no more than its slots, and one
to take over at once, are sent to it; batch items beside them give way and do not count.
"""

import dataclasses
import random

# One request more than the slots: it waits at the upstream for the next slot, a fraction of a
# request's time, in place of a round trip after that slot is free.
WAITING_AT_UPSTREAM = 1
# What a place that a batch item has to leave first costs, in requests.
PREEMPTION_COST = 0.5
# What leaving the own failure domain costs, in requests: a round trip is far below a slot's time.
REMOTE_DOMAIN_COST = 1.0
# What an upstream costs whose registration has lapsed but may come back.
SUSPECT_COST = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """An upstream as a gateway sees it.

    :param own: this gateway's requests there.
    :param others: other gateways' requests there, by the last report of the batch owner.
    :param batch: batch items there by the same report.
    :param doubtful: its registration lapsed while the platform was away.
    """

    name: str
    slots: int
    local: bool
    own: int = 0
    others: int = 0
    batch: int = 0
    doubtful: bool = False

    @property
    def online(self) -> int:
        """Online requests there."""
        return self.own + self.others


def has_room(candidate: Seen) -> bool:
    """Whether one more online request is sent there."""
    return candidate.online < candidate.slots + WAITING_AT_UPSTREAM


def placement_cost(candidate: Seen) -> float:
    """Weigh one more request there, in requests."""
    full = candidate.online + candidate.batch >= candidate.slots
    return (
        candidate.online * 1.0
        + (PREEMPTION_COST if full else 0.0)
        + (0.0 if candidate.local else REMOTE_DOMAIN_COST)
        + (SUSPECT_COST if candidate.doubtful else 0.0)
    )


def choose(candidate: tuple[Seen, ...], rng: random.Random) -> Seen | None:
    """Give the cheapest upstream with room, ties broken at random."""
    available = [s for s in candidate if has_room(s)]
    if not available:
        return None
    return min(available, key=lambda s: (placement_cost(s), rng.random()))
