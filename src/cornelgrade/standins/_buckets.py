"""A token bucket on trio's clock."""

import trio


class TokenBucket:
    """Lets ``rate_per_s`` calls a second pass and saves up to one second's worth.

    :param rate_per_s: calls a second; 0 lets everything pass.
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._at_s: float | None = None

    def take(self) -> float:
        """Take a token: 0.0 if there was one, else the seconds until there will be."""
        if not self.rate_per_s:
            return 0.0
        now_s = trio.current_time()
        elapsed_s = now_s - self._at_s if self._at_s is not None else 0.0
        self._at_s = now_s
        self._tokens = min(self.rate_per_s, self._tokens + elapsed_s * self.rate_per_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s
