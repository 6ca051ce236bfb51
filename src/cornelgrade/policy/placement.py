"""Placement of online requests: the upstream with the lowest expected load, local ones preferred.

An upstream admits requests in order of arrival, without priorities. It is therefore sent no more
than its slots and one request that waits for the next free slot. Batch items there do not count,
since they are preempted.

A gateway knows its own requests exactly, and those of other gateways from a report of some age. As
it ages, the report counts less and the mean over all upstreams counts more (as in M. Dahlin,
"Interpreting stale load information", 1999). The more may have changed since, the more a gateway
spreads its own requests, in its own order of preference, instead of following the reports: gateways
that know the same reports would otherwise all choose the same upstream.
"""

import math
import random
import statistics

import msgspec

from cornelgrade.policy import outlier

# A request that waits at the upstream saves the round trip after a slot becomes free, for a wait of
# a fraction of a request's duration.
MAX_WAITING_AT_UPSTREAM = 1
# Costs are in outstanding requests. This one: a slot whose batch item must be preempted first.
PREEMPTION_COST = 0.5
# An upstream whose registration expired but may return.
SUSPECT_COST = 4.0
# Another failure domain: a round trip takes far less time than a request occupies a slot.
REMOTE_COST = 1.0
# What one more own request weighs, in standard deviations of what may have changed since a report.
SPREAD = 16.0
# A request sent to an upstream without a free slot waits there. In own requests, and more than
# REMOTE_COST, so that another failure domain takes what the own one has no slots for.
FULL_COST = 2.0
# Upstreams whose costs differ by less are equally good. Learned speeds always differ a little: an
# idle fleet would otherwise send each request to the same upstream, where suspects of a crash meet.
TIE_MARGIN = 0.3
# Age, in durations of a request, from which a report says nothing.
MAX_REPORT_AGE = 3.0


class Candidate(msgspec.Struct, frozen=True):
    """Load of an upstream as known to a gateway.

    :param own: this gateway's requests there.
    :param others: other gateways' requests there, from the batch owner's last report.
    :param batch: batch items there, from the same report.
    :param report_age: age of the report in durations of a request, ``None`` without a report.
    :param speed: how fast it completes requests, relative to the other upstreams.
    :param preference: position in the gateway's order of preference, from 0 to below 1.
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
    report_age: float | None = 0.0
    speed: float = 1.0
    preference: float = 0.0

    @property
    def online(self) -> int:
        """All online requests there that the gateway knows of."""
        return self.own + self.others

    @property
    def capacity(self) -> float:
        """Requests that it completes in the time in which the others complete one in a slot."""
        return self.slots * self.speed

    @property
    def report_weight(self) -> float:
        """Share of the reported requests that are expected to be there still."""
        return 0.0 if self.report_age is None else math.exp(-self.report_age)


class Circumstances(msgspec.Struct, frozen=True):
    """What a choice between upstreams has in common.

    :param capacity: mean capacity of an upstream.
    :param utilization: other gateways' requests by capacity, from the reports.
    :param own_cost: cost of one more own request, 1 if nothing has changed since the reports.
    :param remote_cost: cost of another failure domain, in own requests.
    """

    capacity: float
    utilization: float
    own_cost: float
    remote_cost: float


def assess(candidates: tuple[Candidate, ...], remote_cost: float = REMOTE_COST) -> Circumstances:
    """Return the circumstances of a choice; loads are means over candidates with a report."""
    reported = [c for c in candidates if c.report_age is not None]
    reported_capacity = sum(c.capacity for c in reported)
    capacity = sum(c.capacity for c in candidates) / max(1, len(candidates))
    utilization = sum(c.others for c in reported) / reported_capacity if reported else 0.0
    ages = [min(c.report_age, MAX_REPORT_AGE) for c in reported if c.report_age is not None]
    age = sum(ages) / max(1, len(ages))
    return Circumstances(
        capacity=capacity,
        utilization=utilization,
        own_cost=1.0 + SPREAD * math.sqrt(utilization * capacity * age),
        remote_cost=remote_cost,
    )


def has_room(candidate: Candidate) -> bool:
    """Return whether the upstream may be sent one more online request."""
    return candidate.has_allowance and _has_free_place(candidate)


def _has_free_place(candidate: Candidate) -> bool:
    return candidate.online < candidate.slots + MAX_WAITING_AT_UPSTREAM


def list_offered(candidates: list[Candidate]) -> list[Candidate]:
    """Return the upstreams due for a trial, else those that aren't ejected, if there are any."""
    due = [c for c in candidates if c.standing is outlier.Standing.TRIAL and has_room(c)]
    return due or [c for c in candidates if c.standing is outlier.Standing.IN_USE] or candidates


def placement_cost(candidate: Candidate, given: Circumstances) -> float:
    """Return the cost of one more request there, in outstanding requests."""
    weight = candidate.report_weight
    usual = given.utilization * candidate.capacity
    others = weight * candidate.others + (1.0 - weight) * usual
    own = given.own_cost * candidate.own + (given.own_cost - 1.0) * candidate.preference
    taken = candidate.online + candidate.batch
    return (
        (own + others + 1.0) * given.capacity / candidate.capacity
        + (PREEMPTION_COST if taken >= candidate.slots else 0.0)
        + (FULL_COST * weight * given.own_cost if candidate.online >= candidate.slots else 0.0)
        + (0.0 if candidate.local else given.remote_cost * given.own_cost)
        + (SUSPECT_COST * given.own_cost if candidate.suspect else 0.0)
    )


def choose_upstream(
    candidates: tuple[Candidate, ...], rng: random.Random, remote_cost: float = REMOTE_COST
) -> Candidate | None:
    """Return one of the cheapest upstreams with room, at random within :data:`TIE_MARGIN`.

    :param remote_cost: cost of another failure domain, in own requests.
    """
    given = assess(candidates, remote_cost)
    costs = [(placement_cost(c, given), c) for c in candidates if has_room(c)]
    if not costs:
        return None
    lowest = min(cost for cost, _ in costs)
    return rng.choice([c for cost, c in costs if cost < lowest + TIE_MARGIN])


def load_variation(candidates: tuple[Candidate, ...]) -> float:
    """Return the coefficient of variation of load by capacity, over candidates with a report."""
    loads = [c.online / c.capacity for c in candidates if c.report_age is not None]
    mean = statistics.fmean(loads) if loads else 0.0
    return statistics.pstdev(loads) / mean if mean else 0.0


def count_needless_waits(candidates: tuple[Candidate, ...], queued: int = 0) -> int:
    """Return how many of this gateway's requests wait although an upstream has a free slot.

    :param queued: requests that wait for a permit at the gateway.
    """
    reported = [c for c in candidates if c.report_age is not None]
    if not any(c.online < c.slots for c in reported):
        return 0
    return queued + sum(max(0, min(c.own, c.online - c.slots)) for c in reported)


def list_limited(
    candidates: tuple[Candidate, ...],
    chosen: Candidate | None,
    remote_cost: float = REMOTE_COST,
) -> tuple[Candidate, ...]:
    """Return the upstreams that only their rate limits keep from being chosen, cheapest first."""
    limited = [c for c in candidates if not c.has_allowance and _has_free_place(c)]
    given = assess(candidates, remote_cost)
    bound = placement_cost(chosen, given) if chosen else math.inf
    cheaper = [c for c in limited if placement_cost(c, given) < bound]
    return tuple(sorted(cheaper, key=lambda c: placement_cost(c, given)))


def are_all_limited(candidates: tuple[Candidate, ...]) -> bool:
    """Return whether rate limits keep all upstreams from being chosen."""
    return bool(candidates) and not any(c.has_allowance for c in candidates)
