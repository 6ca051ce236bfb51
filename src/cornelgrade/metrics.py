"""Prometheus metrics, created on first use and served by the gateway."""

import aioprometheus

_metrics: dict[str, aioprometheus.Counter | aioprometheus.Gauge | aioprometheus.Histogram] = {}
REGISTRY = aioprometheus.Registry()
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


def counter(name: str, doc: str) -> aioprometheus.Counter:
    """Return the counter called ``name``, creating it on the first call."""
    if name not in _metrics:
        _metrics[name] = aioprometheus.Counter(name, doc, registry=REGISTRY)
    return _metrics[name]  # type: ignore[return-value]


def gauge(name: str, doc: str) -> aioprometheus.Gauge:
    """Return the gauge called ``name``, creating it on the first call."""
    if name not in _metrics:
        _metrics[name] = aioprometheus.Gauge(name, doc, registry=REGISTRY)
    return _metrics[name]  # type: ignore[return-value]


def histogram(name: str, doc: str) -> aioprometheus.Histogram:
    """Return the latency histogram (seconds) called ``name``, creating it on the first call."""
    if name not in _metrics:
        buckets = list(LATENCY_BUCKETS_S)
        _metrics[name] = aioprometheus.Histogram(name, doc, buckets=buckets, registry=REGISTRY)
    return _metrics[name]  # type: ignore[return-value]
