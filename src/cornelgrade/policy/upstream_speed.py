"""How fast upstreams complete requests, learned from the durations of their responses.

Durations differ by request, so that a mean over few responses is drawn towards that of the whole
service. Old evidence fades: an upstream that was slow is tried again, although few requests that
would show its recovery are sent there.
"""

import math
from collections.abc import Iterable

import msgspec

# Responses of an upstream that count as much as what is known of the others.
PRIOR_RESPONSES = 1.0
# Evidence counts half after this time. A gateway of a large fleet has one response of an upstream
# in about 15 s, while an upstream's speed changes rarely.
HALF_LIFE_S = 20.0
# Bounds of a relative speed, so that a few responses don't leave an upstream alone or overrun it.
MIN_SPEED, MAX_SPEED = 0.25, 4.0
# Duration of a request of which nothing is known.
DEFAULT_DURATION_S = 0.5
# Responses of an upstream as many as which its mean counts in a report of its batch owner, which
# learns from all gateways. With fewer it reports none.
REPORTED_RESPONSES = 4.0
# Upstreams with less evidence than this are forgotten.
MIN_WEIGHT = 0.01


class Durations(msgspec.Struct, frozen=True):
    """Moving geometric mean of an upstream's durations; one that is far longer counts little.

    :param log_sum: sum of the logarithms of the durations in seconds, weighted by age.
    :param weight: number of durations, weighted by age.
    :param at_s: when the weights were computed.
    """

    log_sum: float = 0.0
    weight: float = 0.0
    at_s: float = 0.0

    def add(self, took_s: float, now_s: float) -> "Durations":
        """Return the mean with one more duration."""
        faded = self.fade(now_s)
        return Durations(faded.log_sum + math.log(max(took_s, 1e-3)), faded.weight + 1.0, now_s)

    def fade(self, now_s: float) -> "Durations":
        """Return the mean with the weights that hold now."""
        factor = 0.5 ** ((now_s - self.at_s) / HALF_LIFE_S)
        return Durations(self.log_sum * factor, self.weight * factor, now_s)

    @property
    def mean_s(self) -> float:
        """Geometric mean of the durations."""
        return math.exp(self.log_sum / self.weight)


class Speeds(msgspec.Struct, frozen=True):
    """Speeds of a service's upstreams.

    :param typical_s: typical duration of a request at these upstreams.
    :param relative: how fast each completes requests, 1 for as fast as usual.
    """

    typical_s: float
    relative: dict[str, float]


class SpeedTable:
    """What a process has learned of the durations at upstreams."""

    def __init__(self) -> None:
        self._durations: dict[str, Durations] = {}
        self._reported: dict[str, Durations] = {}

    def record(self, upstream: str, took_s: float, now_s: float) -> None:
        """Record the duration of a complete, successful response."""
        self._durations[upstream] = self._durations.get(upstream, Durations()).add(took_s, now_s)

    def record_report(self, upstream: str, mean_s: float, now_s: float) -> None:
        """Record the mean duration that an upstream's batch owner reported."""
        log_sum = math.log(mean_s) * REPORTED_RESPONSES
        self._reported[upstream] = Durations(log_sum, REPORTED_RESPONSES, now_s)

    def mean_to_report_s(self, upstream: str, now_s: float) -> float | None:
        """Return an upstream's mean duration, ``None`` if too little is known."""
        durations = self._durations.get(upstream, Durations()).fade(now_s)
        return durations.mean_s if durations.weight >= REPORTED_RESPONSES else None

    def assess(self, upstreams: Iterable[str], now_s: float) -> Speeds:
        """Return the speeds of the upstreams of a service."""
        known = {name: self._known(name, now_s) for name in upstreams}
        means_s = [d.mean_s for d in known.values() if d.weight >= MIN_WEIGHT]
        logs = [math.log(mean_s) for mean_s in means_s]
        typical_s = math.exp(sum(logs) / len(logs)) if logs else DEFAULT_DURATION_S
        return Speeds(typical_s, {n: relative_speed(d, typical_s) for n, d in known.items()})

    def forget_old(self, now_s: float) -> None:
        """Forget upstreams of which there is no recent evidence."""
        for table in (self._durations, self._reported):
            for name in [n for n, d in table.items() if d.fade(now_s).weight < MIN_WEIGHT]:
                del table[name]

    def _known(self, upstream: str, now_s: float) -> Durations:
        """Return the durations of which there is more evidence: own ones or the reported ones."""
        tables = (self._durations, self._reported)
        return max(
            (table.get(upstream, Durations()).fade(now_s) for table in tables),
            key=lambda d: d.weight,
        )


def relative_speed(durations: Durations, typical_s: float) -> float:
    """Return how fast an upstream completes requests, 1 for as fast as usual."""
    excess = durations.log_sum - durations.weight * math.log(typical_s)
    speed = math.exp(-excess / (durations.weight + PRIOR_RESPONSES))
    return min(MAX_SPEED, max(MIN_SPEED, speed))
