"""Headers and statuses of requests and answers, on both sides of the system."""

import math

import msgspec

from cornelgrade import logs
from cornelgrade.adapters import http1
from cornelgrade.policy import event_stream
from cornelgrade.services.edge import ports

_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_EXPECT = b"x-expect-instance"
_RECEIPT = b"x-response-signature"
_NOT_RUN = b"x-not-executed"
_RESUME = b"last-event-id"
_RETRY_AFTER = "Retry-After"
_WRONG_INSTANCE = 421
_MS_PER_S = 1000.0
_log = logs.Logger("calls")
_SET_HERE = frozenset((_DEADLINE, _EXPECT, b"content-length"))


class _Report(msgspec.Struct):
    running: int
    waiting: int


class Calls:
    """Implements :class:`ports.CallFormat` as the platform's clients and engines speak."""

    load_target = b"/report"

    def parse_load(self, body: bytes) -> ports.UpstreamLoad | None:
        """Read an engine's report of itself."""
        try:
            got = msgspec.json.decode(body, type=_Report)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            _log.warning("report_unreadable", error=repr(exc))
            return None
        return ports.UpstreamLoad(got.running, got.waiting)

    def parse_caller(self, headers: http1.Headers) -> ports.Caller:
        """Read what a caller says of its request."""
        found = dict(headers)
        deadline = found.get(_DEADLINE, b"").decode("latin-1")
        resume = found.get(_RESUME, b"").decode("latin-1")
        return ports.Caller(
            request_id=found.get(_ID, b"").decode("latin-1"),
            host=found.get(b"host", b"").decode("latin-1"),
            timeout_s=_milliseconds(deadline),
            resume_after=int(resume) if is_count(resume) else None,
        )

    def upstream_headers(
        self, headers: http1.Headers, upstream: str, left_s: float, resume_after: int | None
    ) -> http1.Headers:
        """Give the headers of a request as an upstream gets it."""
        kept = tuple((k, v) for k, v in http1.end_to_end(headers) if k not in _SET_HERE)
        if resume_after is not None:
            kept = tuple((k, v) for k, v in kept if k != _RESUME)
            kept += ((_RESUME, str(resume_after).encode()),)
        left_ms = str(max(1, math.floor(left_s * _MS_PER_S))).encode()
        return (*kept, (_DEADLINE, left_ms), (_EXPECT, upstream.encode()))

    def item_headers(
        self, host: str, item_id: str, headers: http1.Headers, upstream: str, after: int | None
    ) -> http1.Headers:
        """Give the headers of a batch item as an upstream gets it."""
        own = ((b"host", host.encode()), (_ID, item_id.encode()), (_EXPECT, upstream.encode()))
        dropped = frozenset((b"host", _ID, _EXPECT, b"content-length", _RESUME))
        kept = tuple((k, v) for k, v in http1.end_to_end(headers) if k not in dropped)
        resume = ((_RESUME, str(after).encode()),) if after is not None else ()
        return own + kept + resume

    def verdict(self, head: http1.Head, request_id: str) -> ports.Verdict:
        """Tell what the head of an upstream's answer says of the request."""
        echoed = head.get(_ID)
        if echoed is not None and echoed.decode("latin-1") != request_id:
            return ports.Verdict.FOREIGN
        if head.get(_NOT_RUN) is not None or head.status == _WRONG_INSTANCE:
            return ports.Verdict.NOT_RUN
        if head.get(_RECEIPT) is None:
            return ports.Verdict.UNSIGNED
        return ports.Verdict.RESPONSE

    def caller_headers(self, head: http1.Head) -> http1.Headers:
        """Give the headers of an answer as the caller gets it."""
        return http1.end_to_end(head.headers)

    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> tuple[tuple[str, str], ...]:
        """Give the headers of an answer of the system's own."""
        echo = (("X-Request-Id", request_id),) if request_id else ()
        after = ((_RETRY_AFTER, f"{retry_after_s:.3f}"),) if retry_after_s is not None else ()
        return echo + after


def is_count(text: str) -> bool:
    """Whether a text is a whole number of a size that makes sense."""
    return text.isascii() and text.isdigit() and len(text) <= event_stream.NUMBER_DIGITS


def _milliseconds(text: str) -> float | None:
    """Read a header that holds milliseconds, in seconds; ``None`` if it is no such number."""
    try:
        value = float(text) / _MS_PER_S
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None
