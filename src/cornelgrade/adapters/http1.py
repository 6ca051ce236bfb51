"""HTTP/1.1 client on h11 and trio sockets; each channel carries one request and its response.

Opening a connection for each call costs a handshake. In return it gives three guarantees that
connection reuse can't give: if connecting fails, nothing was sent; bytes of an earlier response
are never read as part of this one; and no request is written to a half-open connection.
"""

import contextlib
import enum
import fcntl
import socket
import termios
from collections.abc import Awaitable, Callable
from types import TracebackType

import h11
import msgspec
import trio

from cornelgrade import addresses
from cornelgrade.adapters import engine
from cornelgrade.policy import response_end, response_head

READ_BYTES = 65_536
# What is parsed between two steps of other tasks, as neither chunks nor events end with what the
# socket returns at once: bytes of a stream of events, which are split further, and chunks.
MAX_EVENTS_PART_BYTES = 4_096
MAX_JOINED_CHUNKS = 128
# What is skipped before a response: interim ones (1xx), and those to other requests with the bytes
# of their bodies. An upstream that sends more may never come to an end.
MAX_INTERIM_RESPONSES = 16
MAX_SKIPPED_RESPONSES = 16
MAX_SKIPPED_BYTES = 1_000_000
# Probes detect a host that disappeared without closing: the first after 1 s of idleness, then one
# each second.
KEEPALIVE_OPTIONS = ((socket.TCP_KEEPIDLE, 1), (socket.TCP_KEEPINTVL, 1))
# The connection fails once sent data stays unacknowledged for this long, or once probes do and
# nothing arrived for this long. TCP_KEEPCNT has no effect beside it. Three probes have to be lost,
# so that a link that is silent for a second costs no call.
USER_TIMEOUT_MS = 3500
# The kernel doubles it. Without a limit, it buffers up to 6 MB of each response that is read slowly
# because its recipient reads slowly.
RECEIVE_BUFFER_BYTES = 65_536
# A deadline that is noticed this late shows that the process was paused.
PAUSED_S = 0.25
Headers = tuple[tuple[bytes, bytes], ...]
# The state of an open connection in the first byte of Linux's TCP_INFO.
_ESTABLISHED = 1
_MIN_NOT_SUCCESS_STATUS = 300
_NO_BODY_STATUSES = frozenset((204, 304))
# Headers that must not be forwarded (RFC 9110, section 7.6.1).
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


def drop_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return ``headers`` without the hop-by-hop ones, which ``Connection`` may extend.

    :param headers: names in lower case.
    """
    connection_headers = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    return tuple((k, v) for k, v in headers if k not in HOP_BY_HOP and k not in connection_headers)


class Framing(enum.Enum):
    """What marks the end of a response's body.

    ``CONNECTION``: only the end of the connection, which an upstream that fails closes too.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, ``None`` if it is missing."""
        return next((v for k, v in self.headers if k == name), None)

    @property
    def framing(self) -> Framing:
        """What marks the end of the body."""
        if self.get(b"transfer-encoding") is not None:
            return Framing.CHUNKS
        if self.get(b"content-length") is not None or self.status in _NO_BODY_STATUSES:
            return Framing.LENGTH
        return Framing.CONNECTION


class Channel:
    """A connection that carries one call; a context manager that closes it.

    Failures are raised as :class:`engine.CallError`, whose ``progress`` is that of the call.

    :ivar opened_s: when the peer was connected to, on trio's clock.
    :ivar last_received_s: when the peer last sent something or was connected to, on trio's clock.
    """

    def __init__(self, stream: trio.SocketStream, peer: str) -> None:
        self.peer = peer
        self.progress = engine.Progress.NOT_SENT
        self.opened_s = self.last_received_s = trio.current_time()
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body_end: response_end.BodyEnd = response_end.AnyEnd()
        self._max_part_bytes = READ_BYTES
        self._unread = memoryview(b"")
        self._next_event_or_error: object = None
        self._has_waited = True
        self._confirm_end: Callable[[], Awaitable[bool]] | None = None
        self._needs_confirmation = False
        self._is_written = False
        self._may_be_empty = False
        self._skipped_responses = 0

    def __enter__(self) -> "Channel":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stream.socket.close()

    def confirm_end_with(self, confirm: Callable[[], Awaitable[bool]]) -> None:
        """Complete a body that only the end of the connection marks once this is confirmed.

        A peer that crashes closes its connections as one that has sent the whole body does.

        :param confirm: returns whether the peer has run until the connection ended; called after
            that.
        """
        self._confirm_end = confirm

    def allow_no_event(self) -> None:
        """Take a stream without framing and without an event for complete.

        A stream that goes on after its last event has none left.
        """
        self._may_be_empty = True

    def is_open(self) -> bool:
        """Return whether the peer has not closed the connection, also behind unread bytes."""
        info = self._stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] == _ESTABLISHED

    async def wait_closed(self) -> bool:
        """Wait until the peer closes the connection; bytes that it sends are discarded.

        :returns: whether it was reset.
        """
        try:
            while await self._stream.receive_some(READ_BYTES):
                pass
        except trio.BrokenResourceError:
            return True
        return False

    async def send(self, method: str, target: bytes, headers: Headers, content: bytes) -> None:
        """Send a request with its body.

        :param headers: without ``Content-Length`` and ``Transfer-Encoding``.
        """
        framed_headers = [*headers, (b"content-length", str(len(content)).encode())]
        try:
            request = h11.Request(method=method, target=target, headers=framed_headers)
        except h11.LocalProtocolError as exc:
            raise self.call_error(f"invalid request: {exc}", "send") from exc
        events = [request, h11.Data(data=content), h11.EndOfMessage()]
        raw = b"".join(self._h11.send(event) or b"" for event in events)
        self._request = request
        self.progress = engine.Progress.SENT
        # The peer may respond before it has read the whole body; the outcome is decided by its
        # response, not by the failed write. That write may have taken the reset from the socket, so
        # that the response seems to end with a close.
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_all(raw)
            self._is_written = True

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the final response."""
        for _ in range(MAX_INTERIM_RESPONSES):
            event = await self._next_event("head", begins_response=True)
            if isinstance(event, h11.Response):
                headers = tuple((bytes(k), bytes(v)) for k, v in event.headers)
                head = ResponseHead(event.status_code, headers)
                version = event.http_version.decode()
                if fault := response_head.find_fault(version, head.status, headers):
                    raise self._end_error(f"invalid response: {fault}", "head")
                self._body_end = self._follow_body(head)
                self._needs_confirmation = self._ends_with_connection(head)
                is_stream = response_end.is_event_stream(_content_type(head))
                self._max_part_bytes = MAX_EVENTS_PART_BYTES if is_stream else READ_BYTES
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._end_error("connection closed before a response", "head")
        raise self.call_error("too many interim responses", "head")

    def _is_head_request(self) -> bool:
        return self._request is not None and self._request.method == b"HEAD"

    def _ends_with_connection(self, head: ResponseHead) -> bool:
        return head.framing is Framing.CONNECTION and not self._is_head_request()

    def _follow_body(self, head: ResponseHead) -> response_end.BodyEnd:
        """Return what judges the end of a body; a failure has no events to wait for."""
        if self._is_head_request():
            return response_end.AnyEnd()
        framed = head.framing is not Framing.CONNECTION or head.status >= _MIN_NOT_SUCCESS_STATUS
        return response_end.follow_body(
            _content_type(head), framed=framed, may_be_empty=self._may_be_empty
        )

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, ``b""`` once it is complete.

        :raises CallError: with ``PART_ANSWERED`` if it was broken off, also if its framing ended.
        """
        part = await self._read_part()
        if not part:
            await self._end_body()
        return part

    async def _read_part(self) -> bytes:
        """Return the next chunk of the body, ``b""`` where its framing ends."""
        self.progress = engine.Progress.PART_ANSWERED
        if not self._has_waited:
            # A peer that sends faster than this process reads would keep all other tasks waiting.
            await trio.lowlevel.checkpoint()
        self._has_waited = False
        if not self._unread:
            self._unread = memoryview(await self._read_data())
        part = bytes(self._unread[: self._max_part_bytes])
        self._unread = self._unread[len(part) :]
        self._body_end.feed(part)
        return part

    async def _read_data(self) -> bytes:
        """Return what has arrived of the body, ``b""`` where its framing ends."""
        while True:
            event = await self._next_event("body")
            if isinstance(event, h11.EndOfMessage):
                if reason := self._body_end.find_break():
                    raise self._end_error(reason, "body")
                return b""
            if isinstance(event, h11.Data) and event.data:
                return self._join_chunks(event)
            if isinstance(event, h11.ConnectionClosed):
                raise self._end_error("connection closed within the response", "body")

    def _join_chunks(self, first: h11.Data) -> bytes:
        """Return a chunk with those behind it that have arrived, since they may be small."""
        data = bytearray(first.data)
        for _ in range(MAX_JOINED_CHUNKS):
            if len(data) >= self._max_part_bytes:
                break
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._next_event_or_error = exc
                break
            if not isinstance(event, h11.Data):
                self._next_event_or_error = event if event is not h11.NEED_DATA else None
                break
            data += event.data
        return bytes(data)

    async def _end_body(self) -> None:
        """Complete the body, once that is confirmed if only its connection marks the end."""
        if self._needs_confirmation and not self._is_request_received():
            raise self.call_error("connection ended before the whole request was received", "body")
        confirm = self._confirm_end if self._needs_confirmation else None
        if confirm is not None and not await confirm():
            raise self.call_error("connection ended, and the peer may be down", "body")
        self.progress = engine.Progress.ANSWERED

    def _is_request_received(self) -> bool:
        """Return whether the peer's kernel has acknowledged the whole request."""
        unsent = bytearray(4)
        fcntl.ioctl(self._stream.socket.fileno(), termios.TIOCOUTQ, unsent)
        return self._is_written and not any(unsent)

    async def read_chunk_by(self, deadline_s: float, step: str) -> bytes:
        """Return the next chunk of the body as :meth:`read_chunk`, at a deadline at the latest.

        A process that was paused beyond the deadline first reads what arrived meanwhile.

        :param deadline_s: until when the next event has to be complete, on trio's clock.
        :raises CallError: ``timed_out``.
        """
        part: bytes | None = None
        while True:
            with trio.move_on_at(deadline_s):
                part = await self._read_part()
            if part is not None:
                break
            now_s = trio.current_time()
            if now_s - deadline_s < PAUSED_S:
                raise self.call_error("no event within the timeout", step, timed_out=True)
            deadline_s = now_s + PAUSED_S
        if not part:
            await self._end_body()
        return part

    async def read_body(self, limit_bytes: int) -> bytes:
        """Read the rest of the body.

        :raises CallError: if it exceeds ``limit_bytes``.
        """
        parts: list[bytes] = []
        remaining_bytes = limit_bytes
        while part := await self.read_chunk():
            parts.append(part)
            remaining_bytes -= len(part)
            if remaining_bytes < 0:
                raise self.call_error("response body exceeds the size limit", "body")
        return b"".join(parts)

    async def skip_response(self) -> None:
        """Skip a response that belongs to another request, so that the next one can be read.

        :raises CallError: if it is too long or there were too many of them.
        """
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise self.call_error("too many responses to other requests", "head")
        self._body_end = response_end.AnyEnd()
        self._needs_confirmation = False
        await self.read_body(MAX_SKIPPED_BYTES)
        trailing, _ = self._h11.trailing_data
        assert self._request is not None
        self._h11 = h11.Connection(h11.CLIENT)
        for event in (self._request, h11.EndOfMessage()):
            with contextlib.suppress(h11.LocalProtocolError):
                self._h11.send(event)
        self.progress = engine.Progress.SENT
        if trailing:
            self._h11.receive_data(trailing)

    async def _next_event(self, step: str, *, begins_response: bool = False) -> object:
        try:
            while True:
                received, _ = self._h11.trailing_data if begins_response else (b"", False)
                if fault := response_head.find_syntax_fault(received):
                    raise self._end_error(f"invalid response: {fault}", step)
                event = self._take_event()
                if event is h11.PAUSED:
                    raise self.call_error("unexpected data after the response", step)
                if event is not h11.NEED_DATA:
                    return event
                self._h11.receive_data(await self._stream.receive_some(READ_BYTES))
                self.last_received_s = trio.current_time()
                self._has_waited = True
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise self._end_error(f"connection lost: {exc!r}", step) from exc
        except h11.RemoteProtocolError as exc:
            raise self._end_error(f"invalid response: {exc}", step) from exc

    def _take_event(self) -> object:
        """Return the next event of the protocol.

        :raises RemoteProtocolError: if the peer breaks it.
        """
        event, self._next_event_or_error = self._next_event_or_error, None
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        return event if event is not None else self._h11.next_event()

    def _end_error(self, message: str, step: str) -> engine.CallError:
        """Return an error of a call that can't go on, also of one whose peer is still connected."""
        exc = self.call_error(message, step)
        if not self.is_open():
            exc.lasted_s = trio.current_time() - self.opened_s
        return exc

    def call_error(self, message: str, step: str, *, timed_out: bool = False) -> engine.CallError:
        """Return an error that carries the call's current progress."""
        return engine.CallError(
            message, step=step, peer=self.peer, progress=self.progress, timed_out=timed_out
        )


def _content_type(head: ResponseHead) -> str:
    return (head.get(b"content-type") or b"").decode("latin-1")


async def connect(address: str, timeout_s: float) -> Channel:
    """Open a channel.

    :raises CallError: with progress ``NOT_SENT``; ``timed_out`` if connecting timed out.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_socket_options(sock)
        with trio.fail_after(timeout_s):
            await sock.connect(addresses.split_host_port(address))
    except trio.TooSlowError as exc:
        sock.close()
        raise _connect_error("connect timed out", address, timed_out=True) from exc
    except (OSError, ValueError, OverflowError) as exc:
        # The latter two mean that the address can't be parsed, or its port is out of range.
        sock.close()
        raise _connect_error(repr(exc), address, timed_out=False) from exc
    except BaseException:
        sock.close()
        raise
    return Channel(trio.SocketStream(sock), address)


def _connect_error(message: str, address: str, *, timed_out: bool) -> engine.CallError:
    return engine.CallError(
        message,
        step="connect",
        peer=address,
        progress=engine.Progress.NOT_SENT,
        timed_out=timed_out,
    )


def _set_socket_options(sock: trio.socket.SocketType) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
