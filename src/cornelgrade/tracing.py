"""Traces by OpenTelemetry: one span for each hop, W3C ``traceparent`` taken and passed on.

Until :func:`configure` is called spans record nothing and cost little; a caller's trace context
is passed on all the same. Parents are given explicitly, since one task may serve many requests.
"""

import contextlib
import enum
from collections.abc import Mapping

from opentelemetry import trace
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import sampling
from opentelemetry.trace.propagation import tracecontext

from cornelgrade import settings

Span = trace.Span
Attribute = str | int | float | bool
_HEADER = "traceparent"
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class Hop(enum.StrEnum):
    """Names of the spans of one request."""

    REQUEST = "request"
    ADMIT = "admit"
    QUEUE = "queue"
    ROUTE = "route"
    CONNECT = "connect"
    FIRST_TOKEN = "first_token"
    RELAY = "relay"
    COMMIT = "commit"


class _State:
    """The tracer of this process, ``None`` while nothing is recorded."""

    tracer: trace.Tracer | None = None


def configure(cfg: settings.Tracing, processor: sdk.SpanProcessor) -> None:
    """Record spans from now on.

    :param cfg: ``share`` of the traces that begin here are recorded; a caller's own decision
        goes before it.
    :param processor: receives the spans as they end.
    """
    sampler = sampling.ParentBased(sampling.TraceIdRatioBased(cfg.share))
    provider = sdk.TracerProvider(sampler=sampler, shutdown_on_exit=False)
    provider.add_span_processor(processor)
    _State.tracer = provider.get_tracer("cornelgrade")


def disable() -> None:
    """Record nothing from now on."""
    _State.tracer = None


def start_span(
    name: str, parent: Span | None = None, **attributes: Attribute
) -> contextlib.AbstractContextManager[Span]:
    """Start a span that ends with the ``with`` block; an exception marks it as failed.

    :param name: one of :class:`Hop`.
    :param parent: the span, or a caller's context from :func:`extract`, that it belongs to.
    """
    if _State.tracer is None:
        return contextlib.nullcontext(parent or trace.INVALID_SPAN)
    if parent is not None and not parent.get_span_context().trace_flags.sampled:
        return contextlib.nullcontext(parent)
    context = trace.set_span_in_context(parent) if parent is not None else _EMPTY
    return _Ending(_State.tracer.start_span(name, context, attributes=attributes))


_EMPTY = trace.set_span_in_context(trace.INVALID_SPAN)


class _Ending:
    """Ends a span and notes by what exception it failed."""

    def __init__(self, span: Span) -> None:
        self._span = span

    def __enter__(self) -> Span:
        return self._span

    def __exit__(self, kind: type[BaseException] | None, exc: object, trace_back: object) -> None:
        if kind is not None:
            self._span.set_status(trace.StatusCode.ERROR, kind.__name__)
        self._span.end()


def extract(headers: Mapping[str, str]) -> Span | None:
    """Read a caller's trace context; ``None`` if it sent none or a malformed one."""
    if headers.get(_HEADER) is None:
        return None
    context = _PROPAGATOR.extract(headers)
    span = trace.get_current_span(context)
    return span if span.get_span_context().is_valid else None


def inject(span: Span) -> dict[str, str]:
    """Give the headers that pass a span's context on; empty if there is none."""
    headers: dict[str, str] = {}
    if span.get_span_context().is_valid:
        _PROPAGATOR.inject(headers, trace.set_span_in_context(span))
    return headers
