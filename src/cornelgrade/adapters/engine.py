"""Interface to model engines and plain services: Protocols and typed values.

Wire protocol: ``POST /v1/completions`` and ``/v1/chat/completions`` (one JSON body, or
server-sent events that end with ``data: [DONE]``), ``DELETE /v1/streams/ID``, ``GET /v1/load``,
``GET /v1/cache/events?after=N``, ``GET /v1/models``, ``POST /v1/orders``.

Any response may name the start of the process that sent it in the header ``engine-start``: a value
that no other start of the upstream has. The header ``engine-software-version`` names the version
that it runs; an upstream without it runs the one that the manifest names.
"""

import contextlib
import enum
from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from cornelgrade import errors

RESUME_HEADER = "engine-resume-from"
LEAVING_HEADER = "engine-leaving"
START_HEADER = "engine-start"
SOFTWARE_VERSION_HEADER = "engine-software-version"
STREAM_ID_HEADER = "engine-stream-id"
END_MARKER = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"


class Progress(enum.Enum):
    """How far a call got before it failed."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    PART_ANSWERED = "part_answered"
    ANSWERED = "answered"


class CallError(errors.CornelgradeError):
    """A call to an upstream failed.

    :param progress: how far the call got; ``NOT_SENT`` guarantees that the upstream processed
        none of it.
    :param timed_out: the connection was open, but no data arrived before the timeout.
    :param lasted_s: how long the connection had been open when its peer ended it within the call;
        ``None`` if that is not how the call failed.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        progress: Progress,
        timed_out: bool = False,
        lasted_s: float | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.progress = progress
        self.timed_out = timed_out
        self.lasted_s = lasted_s


class Call(msgspec.Struct, frozen=True):
    """One call to an upstream.

    :param stream_id: identifies the running call at the engine, for cancellation.
    :param resume_from: number of tokens that the caller already has.
    :param first_byte_timeout_s: longest wait until the response body starts.
    :param gap_timeout_s: longest wait between two chunks of the response.
    :param new_connection: open a new connection for this call, because a stale pooled connection
        could leave its outcome unknown.
    :param marks_end: whether the caller looks for :data:`END_MARKER`, so that nothing else has to
        confirm the end of the response.
    """

    stream_id: str
    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    resume_from: int = 0
    first_byte_timeout_s: float = 5.0
    gap_timeout_s: float = 3.0
    new_connection: bool = False
    marks_end: bool = False


class Response(Protocol):
    """An upstream's response whose status and headers have arrived."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raises :class:`CallError`."""


def read_software_version(response: Response) -> str:
    """Return the software version that a response names, empty if it names none."""
    return dict(response.headers).get(SOFTWARE_VERSION_HEADER, "")


class Load(msgspec.Struct, frozen=True):
    """An engine's report of its load, which lags behind."""

    running: int
    waiting: int
    slots: int
    age_s: float = 0.0


class Cancelled(msgspec.Struct, frozen=True):
    """Output that an engine retained of a cancelled call.

    Pass ``tokens`` as ``resume_from`` to continue it. ``found`` is false if the engine has no such
    call. ``software_version`` is the one that generated it, empty if the engine doesn't name it.
    """

    found: bool
    tokens: int = 0
    text: str = ""
    software_version: str = ""


class OrderKind(enum.StrEnum):
    """Kind of an order."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True):
    """A control command to an engine; ``fencing`` is the fencing token of its sender."""

    kind: OrderKind
    fencing: int
    model: str = ""
    version: int = 0
    adapter: str = ""
    role: str = ""


class Loaded(msgspec.Struct, frozen=True):
    """A model version that an engine serves."""

    model: str
    version: int
    adapters: tuple[str, ...] = ()


class EngineState(msgspec.Struct, frozen=True):
    """What an engine reports to be running (``GET /v1/models``)."""

    models: tuple[Loaded, ...]
    role: str = "mixed"
    fencing: int = 0
    leaving: bool = False


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix that an engine's cache stored or evicted."""

    sequence: int
    prefix: str
    stored: bool


class _Messages(msgspec.Struct, frozen=True):
    messages: tuple[msgspec.Raw, ...] = ()


def list_shared_messages(body: bytes) -> tuple[bytes, ...]:
    """Return the messages of a chat completion that other requests may share: all but the last."""
    try:
        messages = msgspec.json.decode(body, type=_Messages).messages
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        # Not a chat; the engine judges the body.
        return ()
    return tuple(bytes(message) for message in messages[:-1])


class Upstream(Protocol):
    """One upstream at one address."""

    name: str

    def call(self, call: Call) -> contextlib.AbstractAsyncContextManager[Response]:
        """Send a call; entering waits for the response headers. Raises :class:`CallError`."""

    async def cancel(self, stream_id: str) -> Cancelled:
        """Stop a running call."""

    async def load(self) -> Load:
        """Read the load report."""

    async def state(self) -> EngineState:
        """Read the models and role that the engine runs."""

    async def order(self, order: Order) -> EngineState:
        """Send an order; one that is rejected raises :class:`CallError` with ``ANSWERED``."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Read cache events later than sequence number ``after``; gaps are possible."""
