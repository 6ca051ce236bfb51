"""Placement of online requests: the upstream with the fewest requests, local ones preferred.

An upstream admits requests in order of arrival, without priorities. It is therefore sent no more
than its slots and one request that waits for the next free slot. Batch items there do not count,
since they are preempted.
"""

import dataclasses
import math
import random

from cornelgrade.policy import outlier

# A request that waits at the upstream saves the round trip after a slot becomes free, for a wait of
# a fraction of a request's duration.
MAX_WAITING_AT_UPSTREAM = 1
# Costs are in outstanding requests. This one: a slot whose batch item must be preempted first.
PREEMPTION_COST = 0.5
# Another failure domain: a round trip takes far less time than a request occupies a slot.
REMOTE_DOMAIN_COST = 1.0
# An upstream whose registration expired but may return.
SUSPECT_COST = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Load of an upstream as known to a gateway.

    :param own: this gateway's requests there.
    :param others: other gateways' requests there, from the batch owner's last report.
    :param batch: batch items there, from the same report.
    :param has_allowance: whether its rate limit, if it named one, allows a request now.
    :param suspect: its registration expired while the platform was unavailable.
    :param standing: whether it is ejected, or due for a trial.
    """

    name: str
    slots: int
    local: bool
    own: int = 0
    others: int = 0
    batch: int = 0
    suspect: bool = False
    has_allowance: bool = True
    standing: outlier.Standing = outlier.Standing.IN_USE

    @property
    def online(self) -> int:
        """All online requests there."""
        return self.own + self.others


def has_room(candidate: Candidate) -> bool:
    """Return whether the upstream may be sent one more online request."""
    return candidate.has_allowance and _has_free_place(candidate)


def _has_free_place(candidate: Candidate) -> bool:
    return candidate.online < candidate.slots + MAX_WAITING_AT_UPSTREAM


def list_offered(candidates: list[Candidate]) -> list[Candidate]:
    """Return the upstreams due for a trial, else those that aren't ejected, if there are any."""
    due = [c for c in candidates if c.standing is outlier.Standing.TRIAL and has_room(c)]
    return due or [c for c in candidates if c.standing is outlier.Standing.IN_USE] or candidates


def placement_cost(candidate: Candidate) -> float:
    """Return the cost of one more request there, in outstanding requests."""
    full = candidate.online + candidate.batch >= candidate.slots
    return (
        candidate.online * 1.0
        + (PREEMPTION_COST if full else 0.0)
        + (0.0 if candidate.local else REMOTE_DOMAIN_COST)
        + (SUSPECT_COST if candidate.suspect else 0.0)
    )


def choose_upstream(candidates: tuple[Candidate, ...], rng: random.Random) -> Candidate | None:
    """Return the cheapest upstream with room; ties are broken at random."""
    available = [s for s in candidates if has_room(s)]
    if not available:
        return None
    return min(available, key=lambda s: (placement_cost(s), rng.random()))


def list_limited(
    candidates: tuple[Candidate, ...], chosen: Candidate | None
) -> tuple[Candidate, ...]:
    """Return the upstreams that only their rate limits keep from being chosen, cheapest first."""
    limited = [c for c in candidates if not c.has_allowance and _has_free_place(c)]
    bound = placement_cost(chosen) if chosen else math.inf
    return tuple(sorted((c for c in limited if placement_cost(c) < bound), key=placement_cost))


def are_all_limited(candidates: tuple[Candidate, ...]) -> bool:
    """Return whether rate limits keep all upstreams from being chosen."""
    return bool(candidates) and not any(c.has_allowance for c in candidates)
