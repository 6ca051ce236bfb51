"""Rate limits that upstreams name: their parsing, and what they allow."""

import math

import msgspec

from cornelgrade.policy import token_bucket

# Lowest rate that is kept to. A lower one would never let a request find out that it has ended.
MIN_RATE_PER_S = 0.1
MAX_RATE_PER_S = 1e6
# What a bucket holds at most, as a time at its rate; at least one token, or it would never fill.
BURST_S = 1.0
# Share of a limit that load polls may take; the rest is for requests.
POLL_SHARE = 0.1


class Reading(msgspec.Struct, frozen=True):
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
    return Reading(clamp_rate(min(valid)), rejected)


def clamp_rate(per_s: float) -> float:
    """Return a rate within the bounds that are kept to."""
    return min(max(per_s, MIN_RATE_PER_S), MAX_RATE_PER_S)


def _parse_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def rate_limit(per_s: float) -> token_bucket.RateLimit:
    """Return the limit of a bucket with a rate."""
    return token_bucket.RateLimit(per_s, BURST_S * per_s)


def poll_interval_s(per_s: float) -> float:
    """Return the time between two load polls of an upstream with a limit."""
    return 1.0 / (POLL_SHARE * per_s)
