"""Metrics of how evenly a gateway's requests are placed."""

from cornelgrade import metrics
from cornelgrade.policy import placement


class PlacementMetrics:
    """Records each choice of an upstream and, from time to time, the loads of a service."""

    def __init__(self) -> None:
        self._age_histogram = metrics.histogram(
            "cornelgrade_edge_load_age_seconds",
            "Age of the load report of the chosen upstream at placement.",
        )
        self._variation_gauge = metrics.gauge(
            "cornelgrade_edge_load_variation",
            "Coefficient of variation of load by capacity over reported upstreams, by service.",
        )
        self._needless_gauge = metrics.gauge(
            "cornelgrade_edge_needless_waits",
            "Requests that wait while a reported upstream of the service has a free slot.",
        )

    def record_choice(self, load_age_s: float | None) -> None:
        """Record the age of the report by which an upstream was chosen, if there was one."""
        if load_age_s is not None:
            self._age_histogram.observe({}, load_age_s)

    def record_loads(
        self, service: str, candidates: tuple[placement.Candidate, ...], queued: int
    ) -> None:
        """Record the loads of a service's upstreams.

        :param queued: requests that wait for a permit at this gateway.
        """
        self._variation_gauge.set({"service": service}, placement.load_variation(candidates))
        needless = placement.count_needless_waits(candidates, queued)
        self._needless_gauge.set({"service": service}, needless)
