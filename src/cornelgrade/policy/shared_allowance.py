"""Division of a rate limit among the VMs that send requests under it.

One VM, the owner of a limit, holds its token bucket and leases single tokens to the VMs that ask
for them, so that no part of the rate lies unused at a VM without callers. VMs that don't hear the
owner each use a fixed part of the rate, which the owner keeps out of its bucket.
"""

import collections
import math

import msgspec

from cornelgrade.policy import token_bucket

# A VM leases tokens for so long at an equal part of the rate, so that high rates need few messages.
LEASE_REFILL_S = 0.1
# How long tokens count as recently used. A new owner learns of them from those that used them, so
# that a limit is kept to when its owner changes.
USE_MEMORY_S = 5.0
# How long the owner remembers what it granted: the lease time of a token longer than its use.
GRANT_MEMORY_S = USE_MEMORY_S + 1.0


class LimitKey(msgspec.Struct, frozen=True):
    """What a limit applies to: one start of an upstream, or a team.

    :param name: of the upstream or team.
    :param started_ms: start of the upstream in Unix milliseconds, 0 for a team.
    """

    name: str
    started_ms: int = 0
    is_team: bool = False


class Senders(msgspec.Struct, frozen=True):
    """The VMs that may send under a limit, as one of them sees them.

    :param heard: number of those that it hears, including itself.
    :param expected: number of all that may be running.
    """

    heard: int
    expected: int


def owner_limit(limit: token_bucket.RateLimit, senders: Senders) -> token_bucket.RateLimit:
    """Return what the owner leases out: all but the parts of the VMs that it doesn't hear."""
    return limit.scale(senders.heard / max(1, senders.expected))


def fixed_part(limit: token_bucket.RateLimit, senders: Senders) -> token_bucket.RateLimit:
    """Return the limit that a VM keeps to while no owner responds to it."""
    return limit.scale(1 / max(1, senders.expected))


def lease_size(limit: token_bucket.RateLimit, senders: Senders) -> int:
    """Return how many tokens a VM asks for at once: one, or more where requests are frequent."""
    return max(1, math.floor(LEASE_REFILL_S * fixed_part(limit, senders).rate_per_s))


class RecentTimes:
    """Times at which tokens were used or granted, for a limited time.

    :param memory_s: how long they are remembered.
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._times: collections.deque[float] = collections.deque()

    def add(self, now_s: float, tokens: int = 1) -> None:
        """Add some tokens."""
        self._times.extend([now_s] * tokens)

    def discard_last(self) -> None:
        """Remove the token that was added last, if it is still remembered."""
        if self._times:
            self._times.pop()

    def count(self, now_s: float) -> int:
        """Count the tokens that are remembered."""
        while self._times and now_s - self._times[0] >= self._memory_s:
            self._times.popleft()
        return len(self._times)


class GrantLedger:
    """What the owner of a limit knows of the tokens that other VMs used recently.

    A VM that was granted tokens by an earlier owner, or used its fixed part, tells how many. Those
    count against the bucket, except what ran over while it was full: a team that keeps to its rate
    is not refused when the owner changes.

    :param rate_per_s: rate of the limit.
    """

    def __init__(self, rate_per_s: float) -> None:
        self._max_credit = rate_per_s * USE_MEMORY_S
        self._credit = self._max_credit
        self._granted: dict[str, RecentTimes] = {}

    def add_overflow(self, tokens: float) -> None:
        """Add tokens that the bucket had no room for; others may have granted them."""
        self._credit = min(self._max_credit, self._credit + tokens)

    def record_grant(self, vm: str, tokens: int, now_s: float) -> None:
        """Record tokens that a VM was granted."""
        if tokens:
            self._granted.setdefault(vm, RecentTimes(GRANT_MEMORY_S)).add(now_s, tokens)

    def settle(self, vm: str, used: int, now_s: float) -> float:
        """Return how many tokens to drain for those that a VM used without a grant from here.

        :param used: tokens that it used within :data:`USE_MEMORY_S`.
        """
        times = self._granted.get(vm)
        unknown = max(0, used - (times.count(now_s) if times else 0))
        self.record_grant(vm, unknown, now_s)
        credit = min(float(unknown), self._credit)
        self._credit -= credit
        return unknown - credit
