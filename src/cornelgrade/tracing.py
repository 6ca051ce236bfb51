"""OpenTelemetry tracing: one span per hop, with W3C ``traceparent`` propagation.

Until :func:`configure` is called, spans are not recorded and cost little, but a caller's trace
context is still propagated. Parents are explicit, since one task may serve many requests.
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


class _TracerState:
    """The tracer of this process, ``None`` while recording is disabled."""

    tracer: trace.Tracer | None = None


def configure(cfg: settings.Tracing, processor: sdk.SpanProcessor) -> None:
    """Start recording spans.

    :param cfg: ``share`` is the fraction of traces begun here that are recorded; a caller's
        sampling decision takes precedence.
    :param processor: receives each span when it ends.
    """
    sampler = sampling.ParentBased(sampling.TraceIdRatioBased(cfg.share))
    provider = sdk.TracerProvider(sampler=sampler, shutdown_on_exit=False)
    provider.add_span_processor(processor)
    _TracerState.tracer = provider.get_tracer("cornelgrade")


def disable() -> None:
    """Stop recording spans."""
    _TracerState.tracer = None


def start_span(
    name: str, parent: Span | None = None, **attributes: Attribute
) -> contextlib.AbstractContextManager[Span]:
    """Start a span that ends with the ``with`` block; an exception marks it as failed.

    :param name: one of :class:`Hop`.
    :param parent: the parent span, or a caller's context from :func:`extract`.
    """
    if _TracerState.tracer is None:
        return contextlib.nullcontext(parent or trace.INVALID_SPAN)
    if parent is not None and not parent.get_span_context().trace_flags.sampled:
        return contextlib.nullcontext(parent)
    context = trace.set_span_in_context(parent) if parent is not None else _EMPTY_CONTEXT
    return _EndSpanOnExit(_TracerState.tracer.start_span(name, context, attributes=attributes))


_EMPTY_CONTEXT = trace.set_span_in_context(trace.INVALID_SPAN)


class _EndSpanOnExit:
    """Context manager that ends a span and records the type of an exception."""

    def __init__(self, span: Span) -> None:
        self._span = span

    def __enter__(self) -> Span:
        return self._span

    def __exit__(self, kind: type[BaseException] | None, exc: object, trace_back: object) -> None:
        if kind is not None:
            self._span.set_status(trace.StatusCode.ERROR, kind.__name__)
        self._span.end()


def extract(headers: Mapping[str, str]) -> Span | None:
    """Return a caller's trace context, ``None`` if it is missing or malformed."""
    if headers.get(_HEADER) is None:
        return None
    context = _PROPAGATOR.extract(headers)
    span = trace.get_current_span(context)
    return span if span.get_span_context().is_valid else None


def inject(span: Span) -> dict[str, str]:
    """Return the headers that propagate a span's context, empty if it has none."""
    headers: dict[str, str] = {}
    if span.get_span_context().is_valid:
        _PROPAGATOR.inject(headers, trace.set_span_in_context(span))
    return headers
