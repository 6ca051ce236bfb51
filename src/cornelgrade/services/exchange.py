"""A request and its answer as they pass through the online path."""

import dataclasses
from collections.abc import AsyncGenerator

from cornelgrade import tracing


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An online request as it was accepted.

    :param fingerprint: hash of its path and body, the same however often it is sent.
    :param deadline_s: on the process's clock.
    :param span: the span of the whole request, parent of its hops.
    :param max_tokens: how long its answer may become.
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
class Head:
    """Status and headers of an answer; comes before its bytes."""

    status: int
    headers: tuple[tuple[str, str], ...]

    @property
    def content_type(self) -> str:
        """The answer's media type."""
        return dict(self.headers).get("content-type", "application/json")


Part = Head | bytes
Parts = AsyncGenerator[Part, None]
