"""An online request and the parts of its response."""

import dataclasses
from collections.abc import AsyncGenerator

from cornelgrade import tracing


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An accepted online request.

    :param fingerprint: hash of the path and body; equal for every resend of the request.
    :param deadline_s: deadline on the process's monotonic clock.
    :param span: the span of the whole request, parent of the spans of its hops.
    :param max_tokens: maximum length of the response.
    """

    request_id: str
    team: str
    service: str
    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...]
    rank: int
    deadline_s: float
    stream: bool
    idempotent: bool
    fingerprint: str
    prefix: int = 0
    max_tokens: int = 16
    key: str = ""
    span: tracing.Span | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response, sent before its body."""

    status: int
    headers: tuple[tuple[str, str], ...]

    @property
    def content_type(self) -> str:
        """Media type of the response."""
        return dict(self.headers).get("content-type", "application/json")


ResponsePart = ResponseHead | bytes
ResponseParts = AsyncGenerator[ResponsePart, None]
