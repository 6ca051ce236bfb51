"""Metrics by aioprometheus, named by the Prometheus conventions; the gateway serves them."""

import aioprometheus

_made: dict[str, aioprometheus.Counter | aioprometheus.Gauge | aioprometheus.Histogram] = {}
REGISTRY = aioprometheus.Registry()
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


def counter(name: str, doc: str) -> aioprometheus.Counter:
    """Give the counter called ``name``, made at the first call."""
    if name not in _made:
        _made[name] = aioprometheus.Counter(name, doc, registry=REGISTRY)
    return _made[name]  # type: ignore[return-value]


def gauge(name: str, doc: str) -> aioprometheus.Gauge:
    """Give the gauge called ``name``, made at the first call."""
    if name not in _made:
        _made[name] = aioprometheus.Gauge(name, doc, registry=REGISTRY)
    return _made[name]  # type: ignore[return-value]


def histogram(name: str, doc: str) -> aioprometheus.Histogram:
    """Give the latency histogram (seconds) called ``name``, made at the first call."""
    if name not in _made:
        buckets = list(LATENCY_BUCKETS_S)
        _made[name] = aioprometheus.Histogram(name, doc, buckets=buckets, registry=REGISTRY)
    return _made[name]  # type: ignore[return-value]
