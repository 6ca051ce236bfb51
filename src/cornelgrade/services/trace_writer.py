"""The service ``trace_writer``: appends ended spans to a file, one JSON object per line."""

import collections
import pathlib
from collections.abc import Callable

import msgspec
import trio
from opentelemetry import trace
from opentelemetry.sdk import trace as sdk

from cornelgrade import logs, settings, tracing

FLUSH_S = 1.0
MAX_BUFFERED_SPANS = 10_000
_NS_PER_S = 1e9
_NS_PER_MS = 1e6


class SpanLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One span as written to the file.

    :param start_s: Unix time in seconds.
    :param failed: the name of the exception that ended it, empty if none did.
    """

    trace_id: str
    span_id: str
    name: str
    start_s: float
    duration_ms: float
    parent_id: str = ""
    failed: str = ""
    attributes: dict[str, str | int | float | bool] = {}


class TraceWriter(sdk.SpanProcessor):
    """Buffers a bounded number of ended spans and writes them in the background.

    The file is renamed to ``FILE.1`` at its size limit, so there are at most two files.

    :param cfg: the file, its size limit and the share of traces to record.
    """

    name = "trace_writer"

    def __init__(self, cfg: settings.Tracing) -> None:
        self._cfg = cfg
        self._path = pathlib.Path(cfg.file)
        self._waiting: collections.deque[sdk.ReadableSpan] = collections.deque()
        self._dropped = 0
        self._log = logs.Logger(self.name)

    def on_end(self, span: sdk.ReadableSpan) -> None:
        """Buffer a span that has ended; called by the SDK."""
        if len(self._waiting) < MAX_BUFFERED_SPANS:
            self._waiting.append(span)
        else:
            self._dropped += 1

    async def run(self, started: Callable[[], None]) -> None:
        """Write spans until cancelled, then write the rest of the buffer."""
        tracing.configure(self._cfg, self)
        started()
        try:
            while True:
                await trio.sleep(FLUSH_S)
                await trio.to_thread.run_sync(self._flush)
        finally:
            tracing.disable()
            self._flush()

    def _flush(self) -> None:
        """Append the buffered spans; if the file can't be written, only spans are lost."""
        lines = [_encode_span(self._waiting.popleft()) for _ in range(len(self._waiting))]
        if self._dropped:
            self._log.warning("spans_dropped", count=self._dropped)
            self._dropped = 0
        if not lines:
            return
        try:
            self._append(b"\n".join(lines) + b"\n")
        except OSError as exc:
            self._log.warning("trace_file_failed", file=self._cfg.file, error=str(exc))

    def _append(self, block: bytes) -> None:
        if self._path.exists() and self._path.stat().st_size > self._cfg.max_file_bytes:
            self._path.rename(f"{self._path}.1")
        with self._path.open("ab") as out:
            out.write(block)


def _encode_span(span: sdk.ReadableSpan) -> bytes:
    context = span.get_span_context()
    assert context is not None
    start_ns, end_ns = span.start_time or 0, span.end_time or 0
    line = SpanLine(
        trace_id=trace.format_trace_id(context.trace_id),
        span_id=trace.format_span_id(context.span_id),
        name=span.name,
        start_s=start_ns / _NS_PER_S,
        duration_ms=(end_ns - start_ns) / _NS_PER_MS,
        parent_id=trace.format_span_id(span.parent.span_id) if span.parent else "",
        failed=span.status.description or "",
        attributes=dict(span.attributes or {}),  # type: ignore[arg-type]
    )
    return msgspec.json.encode(line)
