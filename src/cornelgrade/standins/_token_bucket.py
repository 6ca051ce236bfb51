"""Rate limiting by a token bucket on trio's clock."""

import trio


class TokenBucket:
    """Token bucket that holds at most one second's worth of tokens.

    :param rate_per_s: calls a second; 0 disables the limit.
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._updated_at_s: float | None = None

    def take_token(self) -> float:
        """Return 0.0 if a token was available, else the seconds until the next one."""
        if not self.rate_per_s:
            return 0.0
        now_s = trio.current_time()
        elapsed_s = now_s - self._updated_at_s if self._updated_at_s is not None else 0.0
        self._updated_at_s = now_s
        self._tokens = min(self.rate_per_s, self._tokens + elapsed_s * self.rate_per_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s
