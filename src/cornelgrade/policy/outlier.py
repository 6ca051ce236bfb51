"""Which upstreams fail far more often than others, judged by the failures that all VMs report.

An upstream that fails at once seems idle and so draws most requests. Each VM sends few of them, so
the failures that all VMs saw within a short window are judged together. A healthy upstream that is
ejected by mistake costs a small part of the capacity for the seconds until its trials have
succeeded, while each request that fails costs its caller the response.
"""

import collections
import enum
import math
from collections.abc import Iterable, Mapping

import msgspec
import xxhash

WINDOW_S = 2.0
# Failures within the window that eject. With 7 requests a second at each of 30 healthy upstreams, 1
# in 100 of which fails, one is ejected by mistake every 40 minutes.
MIN_FAILURES = 4
# The same for an upstream that was readmitted lately.
PROBATION_FAILURES = 2
# Failures needed beyond those of the average upstream, so that failures that many show at once
# eject none.
COMMON_FACTOR = 4.0
# Share of the other upstreams, the least faulty ones, that show which failures are common.
COMMON_SHARE = 2 / 3
# Lowest share of an upstream's requests that must fail.
MIN_FAILURE_SHARE = 0.2
# Share of a service's upstreams that may be ejected at a time.
MAX_EJECTED_SHARE = 1 / 3
# How much faultier an upstream must be to take the place of one that is ejected.
REPLACEMENT_MARGIN = 0.2
# Connections that break together have one cause, such as a link that was reset.
BREAK_SPAN_S = 0.1


class Standing(enum.Enum):
    """Whether an upstream gets requests: all that fit, one as a trial, or none."""

    IN_USE = "in_use"
    TRIAL = "trial"
    EJECTED = "ejected"


class Start(msgspec.Struct, frozen=True):
    """One start of an upstream; the next one has a clean record."""

    upstream: str
    started_ms: int


class Failure(msgspec.Struct, frozen=True):
    """A response that failed at an upstream.

    :param request: hash of what the request shares with its repeats.
    :param sender: the VM that sent the request.
    :param successes: the sender's successes at the upstream within the window.
    :param served: whether the sender saw the same request succeed lately, at any upstream.
    :param broken: the connection broke, rather than that a response reported the failure.
    """

    at_s: float
    start: Start
    request: int
    sender: str
    successes: int = 0
    served: bool = False
    broken: bool = False


class Tally(msgspec.Struct, frozen=True):
    """What counts against an upstream.

    :param successes: average of the senders that reported failures.
    """

    failures: int
    successes: float

    def failure_share(self, senders: int) -> float:
        """Estimate the share of requests that fail.

        :param senders: VMs that send to the upstream. Only those that saw a failure report their
            successes; the others are taken to have as many.
        """
        return self.failures / (self.failures + self.successes * senders)


def hash_request(text: str) -> int:
    """Return the hash by which VMs compare requests."""
    return xxhash.xxh3_64_intdigest(text.encode())


def is_recent(failure: Failure, now_s: float) -> bool:
    """Return whether a failure still counts."""
    return now_s - failure.at_s < WINDOW_S


def tally_failures(failures: Iterable[Failure]) -> dict[Start, Tally]:
    """Count the failures, in order of time, that are evidence against upstreams.

    A request that failed at two upstreams, and isn't known to succeed anywhere, is faulty itself.
    If it failed at one only, it counts once.
    """
    listed = list(failures)
    served = {failure.request for failure in listed if failure.served}
    starts_by_request: dict[int, set[Start]] = collections.defaultdict(set)
    for failure in listed:
        starts_by_request[failure.request].add(failure.start)
    counts: collections.Counter[Start] = collections.Counter()
    successes: dict[Start, dict[str, int]] = collections.defaultdict(dict)
    counted: set[tuple[Start, int]] = set()
    broken_s: dict[Start, float] = {}
    for failure in listed:
        start, request = failure.start, failure.request
        if request not in served:
            if len(starts_by_request[request]) > 1 or (start, request) in counted:
                continue
            counted.add((start, request))
        if failure.broken:
            if failure.at_s - broken_s.get(start, -math.inf) < BREAK_SPAN_S:
                continue
            broken_s[start] = failure.at_s
        counts[start] += 1
        successes[start][failure.sender] = failure.successes
    return {
        start: Tally(count, sum(successes[start].values()) / len(successes[start]))
        for start, count in counts.items()
    }


def find_outliers(
    tallies: Mapping[Start, Tally],
    upstreams: int,
    senders: int,
    on_probation: frozenset[Start] = frozenset(),
) -> dict[Start, float]:
    """Return the upstreams to eject, with the share of their requests that fail.

    :param upstreams: number of upstreams of the service.
    :param senders: VMs whose failures were counted, or would have been.
    """
    found = {}
    for start, tally in tallies.items():
        least = PROBATION_FAILURES if start in on_probation else MIN_FAILURES
        needed = least + COMMON_FACTOR * _common_failures(tallies, start, upstreams)
        share = tally.failure_share(senders)
        if tally.failures >= needed and share >= MIN_FAILURE_SHARE:
            found[start] = share
    return found


def _common_failures(tallies: Mapping[Start, Tally], start: Start, upstreams: int) -> float:
    """Return the average failures of the least faulty other upstreams."""
    others = sorted(tally.failures for other, tally in tallies.items() if other != start)
    kept = math.ceil(COMMON_SHARE * (upstreams - 1))
    missing = max(0, upstreams - 1 - len(others))
    return sum(others[: max(0, kept - missing)]) / kept if kept else 0.0


def max_ejected(upstreams: int) -> int:
    """Return how many of a service's upstreams may be ejected: never the only one."""
    return max(1, math.floor(upstreams * MAX_EJECTED_SHARE)) if upstreams > 1 else 0


def limit_ejected(shares: Mapping[Start, float], upstreams: int) -> frozenset[Start]:
    """Return those to eject of a service's outliers: the faultiest, as many as may be.

    :param shares: the share of requests that fail, by upstream.
    """
    ranked = sorted(shares, key=lambda start: (-shares[start], start.upstream))
    return frozenset(ranked[: max_ejected(upstreams)])


def may_eject(share: float, ejected: Iterable[float], upstreams: int) -> bool:
    """Return whether an outlier may be ejected: there is room, or it replaces a less faulty one."""
    shares = list(ejected)
    limit = max_ejected(upstreams)
    return len(shares) < limit or (limit > 0 and share > min(shares) + REPLACEMENT_MARGIN)
