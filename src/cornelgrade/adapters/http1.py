"""The client half of HTTP/1.1 on h11 and trio sockets: one channel, one request, one answer.

A channel is opened for each call. That costs a handshake and buys three promises that a kept
connection can't give: a failed connect means that nothing was sent, no byte of an earlier answer
can be taken for this one's, and a connection that has silently died is never written to.
"""

import contextlib
import dataclasses
import socket
from types import TracebackType

import h11
import trio

from cornelgrade import addresses
from cornelgrade.adapters import engine

READ_BYTES = 65_536
# Unacknowledged bytes for this long mean that the other side is gone; below the 2 s within which
# callers give up on a silent stream.
USER_TIMEOUT_MS = 1500
# Keep-alive probes find a peer that went away without a word: 1 s of idleness, then a probe each
# second, two of which may be lost.
KEEPALIVE = ((socket.TCP_KEEPIDLE, 1), (socket.TCP_KEEPINTVL, 1), (socket.TCP_KEEPCNT, 2))
Headers = tuple[tuple[bytes, bytes], ...]
# Headers that concern one connection only and are never passed on (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


def end_to_end(headers: Headers) -> Headers:
    """Leave out the headers that concern one connection only, and those that ``Connection`` names.

    :param headers: names in lower case.
    """
    named = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    return tuple((k, v) for k, v in headers if k not in HOP_BY_HOP and k not in named)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Give the first value of a header."""
        return next((v for k, v in self.headers if k == name), None)


class Channel:
    """One connection for one call; a context manager that closes it.

    Failures are raised as :class:`engine.CallError`, whose progress tells how far the call came.
    """

    def __init__(self, stream: trio.SocketStream, peer: str) -> None:
        self.peer = peer
        self.progress = engine.Progress.NOT_SENT
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None

    def __enter__(self) -> "Channel":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stream.socket.close()

    async def send(self, method: str, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a whole request; ``headers`` without length and framing."""
        sized = [*headers, (b"content-length", str(len(body)).encode())]
        try:
            request = h11.Request(method=method, target=target, headers=sized)
        except h11.LocalProtocolError as exc:
            raise self.failure(f"no proper request: {exc}", "send") from exc
        events = [request, h11.Data(data=body), h11.EndOfMessage()]
        raw = b"".join(self._h11.send(event) or b"" for event in events)
        self._request = request
        self.progress = engine.Progress.SENT
        # The other side may answer before it has read everything; what it says decides.
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_all(raw)

    async def head(self) -> Head:
        """Wait for the status and headers of the final answer."""
        while True:
            event = await self._next("head")
            if isinstance(event, h11.Response):
                headers = tuple((bytes(k), bytes(v)) for k, v in event.headers)
                return Head(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise self.failure("the connection ended without an answer", "head")

    async def body(self) -> bytes:
        """Give the next part of the body, ``b""`` at its proper end."""
        self.progress = engine.Progress.PART_ANSWERED
        while True:
            event = await self._next("body")
            if isinstance(event, h11.EndOfMessage):
                self.progress = engine.Progress.ANSWERED
                return b""
            if isinstance(event, h11.Data) and event.data:
                return bytes(event.data)
            if isinstance(event, h11.ConnectionClosed):
                raise self.failure("the connection ended within the answer", "body")

    async def whole(self, limit_bytes: int) -> bytes:
        """Read the rest of the body.

        :raises CallError: if it is over ``limit_bytes``.
        """
        parts: list[bytes] = []
        left = limit_bytes
        while part := await self.body():
            parts.append(part)
            left -= len(part)
            if left < 0:
                raise self.failure("the answer is over the limit", "body")
        return b"".join(parts)

    async def next_answer(self) -> None:
        """Skip the rest of an answer that belongs to another request and expect the next one."""
        while await self.body():
            pass
        trailing, _ = self._h11.trailing_data
        assert self._request is not None
        self._h11 = h11.Connection(h11.CLIENT)
        for event in (self._request, h11.EndOfMessage()):
            with contextlib.suppress(h11.LocalProtocolError):
                self._h11.send(event)
        self.progress = engine.Progress.SENT
        if trailing:
            self._h11.receive_data(trailing)

    async def _next(self, step: str) -> object:
        try:
            while True:
                event = self._h11.next_event()
                if event is h11.PAUSED:
                    raise self.failure("bytes behind the end of the answer", step)
                if event is not h11.NEED_DATA:
                    return event
                self._h11.receive_data(await self._stream.receive_some(READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise self.failure(f"connection lost: {exc!r}", step) from exc
        except h11.RemoteProtocolError as exc:
            raise self.failure(f"no proper answer: {exc}", step) from exc

    def failure(self, message: str, step: str, *, silent: bool = False) -> engine.CallError:
        """Make the error of a call that came as far as this one has."""
        return engine.CallError(
            message, step=step, peer=self.peer, progress=self.progress, silent=silent
        )


async def connect(address: str, timeout_s: float) -> Channel:
    """Open a channel.

    :raises CallError: with progress ``NOT_SENT``; ``silent`` if nothing answered in time.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_options(sock)
        with trio.fail_after(timeout_s):
            await sock.connect(addresses.split_host_port(address))
    except trio.TooSlowError as exc:
        sock.close()
        raise _not_connected("no answer to connect", address, silent=True) from exc
    except OSError as exc:
        sock.close()
        raise _not_connected(repr(exc), address, silent=False) from exc
    except BaseException:
        sock.close()
        raise
    return Channel(trio.SocketStream(sock), address)


def _not_connected(message: str, address: str, *, silent: bool) -> engine.CallError:
    return engine.CallError(
        message,
        step="connect",
        peer=address,
        progress=engine.Progress.NOT_SENT,
        silent=silent,
    )


def _set_options(sock: trio.socket.SocketType) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
