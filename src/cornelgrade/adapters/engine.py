"""Model engines and plain services as the system calls them: Protocols and typed values.

Wire protocol: ``POST /v1/completions`` and ``/v1/chat/completions`` (whole, or server-sent
events that end with ``data: [DONE]``), ``DELETE /v1/streams/ID``, ``GET /v1/load``,
``GET /v1/cache/events?after=N``, ``GET /v1/models``, ``POST /v1/orders``.
"""

import contextlib
import dataclasses
import enum
from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from cornelgrade import errors

RESUME_HEADER = "engine-resume-from"
LEAVING_HEADER = "engine-leaving"
STREAM_ID_HEADER = "engine-stream-id"
END_MARKER = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"


class Progress(enum.Enum):
    """How far a call came before it failed."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    PART_ANSWERED = "part_answered"
    ANSWERED = "answered"


class CallError(errors.CornelgradeError):
    """A call to an upstream failed.

    :param progress: how far it came; ``NOT_SENT`` promises that no byte of it was processed.
    :param silent: the connection was open but said nothing within its bound.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, progress: Progress, silent: bool = False
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.progress = progress
        self.silent = silent


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call to an upstream.

    :param stream_id: names the running call at the engine, for cancelling.
    :param resume_from: number of tokens that the caller already has.
    :param first_byte_timeout_s: longest silence before the answer's body starts.
    :param gap_timeout_s: longest silence within the answer.
    :param fresh: use a connection of its own, so that no stale one leaves the outcome unknown.
    """

    stream_id: str
    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    resume_from: int = 0
    first_byte_timeout_s: float = 5.0
    gap_timeout_s: float = 3.0
    fresh: bool = False


class Answer(Protocol):
    """An upstream's answer whose head has arrived."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def chunks(self) -> AsyncIterator[bytes]:
        """Give the body as it arrives; raises :class:`CallError`."""


class Load(msgspec.Struct, frozen=True):
    """An engine's lagging report of its load."""

    running: int
    waiting: int
    slots: int
    age_s: float = 0.0


class Cancelled(msgspec.Struct, frozen=True):
    """What an engine kept of a cancelled call; pass ``tokens`` as ``resume_from`` later.

    ``found`` is false when the engine knew no such call.
    """

    found: bool
    tokens: int = 0
    text: str = ""


class OrderKind(enum.StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True):
    """An order to an engine with the fencing number of its sender."""

    kind: OrderKind
    fencing: int
    model: str = ""
    version: int = 0
    adapter: str = ""
    role: str = ""


class Loaded(msgspec.Struct, frozen=True):
    """One model version that an engine serves."""

    model: str
    version: int
    adapters: tuple[str, ...] = ()


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says it runs (``GET /v1/models``)."""

    models: tuple[Loaded, ...]
    role: str = "mixed"
    fencing: int = 0
    leaving: bool = False


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix that came into or left an engine's cache."""

    sequence: int
    prefix: str
    stored: bool


class Upstream(Protocol):
    """One upstream at one address."""

    name: str

    def call(self, call: Call) -> contextlib.AbstractAsyncContextManager[Answer]:
        """Send a call; entering waits for the answer's head. Raises :class:`CallError`."""

    async def cancel(self, stream_id: str) -> Cancelled:
        """Stop a running call."""

    async def load(self) -> Load:
        """Read the load report."""

    async def state(self) -> EngineState:
        """Read what the engine runs."""

    async def order(self, order: Order) -> EngineState:
        """Give an order; a refused one raises :class:`CallError` with ``ANSWERED``."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Read cache events later than sequence number ``after``; gaps are possible."""
