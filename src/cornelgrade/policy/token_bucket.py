"""Rate limits and the token buckets that keep to them."""

import math

import msgspec

_ROUNDING = 1e-9


class RateLimit(msgspec.Struct, frozen=True):
    """A limit on a number of requests.

    In any span of time ``t_s``, no more than ``rate_per_s * t_s + capacity`` are allowed.

    :param burst: requests that are allowed at once after a pause.
    """

    rate_per_s: float
    burst: float

    @property
    def capacity(self) -> float:
        """What a bucket holds at most: at least one token, or it would never have a whole one."""
        return max(1.0, self.burst)

    def scale(self, share: float) -> "RateLimit":
        """Return a share of the limit."""
        return RateLimit(self.rate_per_s * share, self.burst * share)


class Bucket(msgspec.Struct, frozen=True):
    """A token bucket; its level may be negative, as a debt that is paid off first.

    :param at_s: time for which ``level`` holds, on the process's clock.
    """

    limit: RateLimit
    at_s: float
    level: float = 0.0

    @classmethod
    def full(cls, limit: RateLimit, now_s: float) -> "Bucket":
        """Return a bucket that has its whole burst."""
        return cls(limit, now_s, limit.capacity)

    def refill(self, now_s: float, limit: RateLimit | None = None) -> "Bucket":
        """Return the bucket at a later time.

        :param limit: the limit that holds from then on, if it has changed.
        """
        level = self.level + max(0.0, now_s - self.at_s) * self.limit.rate_per_s
        limit = limit or self.limit
        return Bucket(limit, now_s, min(level, limit.capacity))

    def drain(self, tokens: float) -> "Bucket":
        """Return the bucket without some tokens."""
        return msgspec.structs.replace(self, level=self.level - tokens)

    @property
    def whole_tokens(self) -> int:
        """Number of tokens that may be taken now."""
        return max(0, math.floor(self.level + _ROUNDING))

    @property
    def wait_s(self) -> float:
        """Time until the next token may be taken, infinite without a rate."""
        missing = max(0.0, 1.0 - self.level)
        return self._refill_s(missing)

    def wait_behind_s(self, waiting: int) -> float:
        """Return the time until a token is left after some others have taken one each."""
        return self.wait_s + self._refill_s(waiting)

    def _refill_s(self, tokens: float) -> float:
        if not tokens:
            return 0.0
        return tokens / self.limit.rate_per_s if self.limit.rate_per_s else math.inf
