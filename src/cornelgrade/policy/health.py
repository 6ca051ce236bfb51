"""When to retry a failing upstream: back-off that doubles with each consecutive failure."""

import msgspec

BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0


class Health(msgspec.Struct, frozen=True):
    """Consecutive failures, and the time before which no new work is sent.

    :param retry_at_s: time on the process's clock, 0 while healthy.
    """

    failures: int = 0
    retry_at_s: float = 0.0


HEALTHY = Health()


def record_failure(health: Health, now_s: float) -> Health:
    """Count a failure to reach the upstream, unless it is already in back-off."""
    if now_s < health.retry_at_s:
        return health
    doublings = min(health.failures, 16)
    delay_s = min(BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
    return Health(health.failures + 1, now_s + delay_s)


def is_usable(health: Health, now_s: float) -> bool:
    """Return whether new work may be sent."""
    return now_s >= health.retry_at_s
