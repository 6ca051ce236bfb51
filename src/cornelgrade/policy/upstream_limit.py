"""Rate limits that upstreams name: their parsing, and the division of a rate among senders.

One VM, the upstream's batch owner, holds a token bucket with the upstream's rate and leases single
tokens to the VMs that ask for them, so that no part of the rate lies unused at a VM without
callers. Those that can't hear each other each use a fixed part of the rate: the owner keeps the
parts of the VMs that it doesn't hear out of its bucket.
"""

import dataclasses
import math

# Lowest rate that is kept to. A lower one would never let a request find out that it has ended.
MIN_RATE_PER_S = 0.1
MAX_RATE_PER_S = 1e6
# What a bucket holds at most, as a time at its rate; at least one token, or it would never fill.
BURST_S = 0.5
# Share of a limit that load polls may take; the rest is for requests.
POLL_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What one response says about a limit.

    :param per_s: requests a second, ``None`` if it names none that can be read.
    :param rejected: what it says that can't be read.
    """

    per_s: float | None = None
    rejected: tuple[str, ...] = ()

    @property
    def is_readable(self) -> bool:
        """Whether it tells if there is a limit."""
        return self.per_s is not None or not self.rejected


def read_limit(texts: tuple[str, ...]) -> Reading:
    """Return the lowest of the limits that a response names.

    A limit of 0 is raised to :data:`MIN_RATE_PER_S`; what is negative or no finite number is
    rejected.
    """
    rates = {text: _parse_rate(text) for text in texts}
    valid = [rate for rate in rates.values() if rate is not None]
    rejected = tuple(text for text, rate in rates.items() if rate is None)
    if not valid:
        return Reading(None, rejected)
    return Reading(min(max(min(valid), MIN_RATE_PER_S), MAX_RATE_PER_S), rejected)


def _parse_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
