"""One connection of the HTTP/1.1 server: its socket, its protocol state and its timeouts."""

import contextlib
import fcntl
import itertools
import socket
import struct
import sys
import termios
from types import TracebackType

import h11
import msgspec
import trio

from cornelgrade import addresses, logs
from cornelgrade.adapters import client_buffers
from cornelgrade.policy import slow_readers

READ_BYTES = 65_536
# Chunks of a body that are read between two steps of other tasks, as many may arrive at once.
MAX_CHUNKS_AT_ONCE = 128
# Bytes buffered while a request is handled; beyond them the server stops reading.
MAX_EARLY_BYTES = 262_144
# How long a client may take to read the error response to a rejected request.
REJECTION_LINGER_S = 0.5
# How long a client that connected while the server stops may take to send its request.
FIRST_REQUEST_WAIT_S = 1.0
# A request may have reached the socket although its connection was about to be closed.
ARRIVED_WAIT_S = 0.01
# The kernel doubles it. Without a limit, it buffers up to 4 MB for each client that reads slowly.
SEND_BUFFER_BYTES = 65_536
# A client that reads nothing for this long has its request ended. Clients give up after 5 s.
SEND_STALL_TIMEOUT_S = 4.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_log = logs.Logger("http1_server")


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of a client's requests.

    :param header_timeout_s: from the first byte of a request to the end of its headers.
    :param idle_timeout_s: longest idle time between two requests.
    """

    header_bytes: int = 65_536
    body_bytes: int = 8_000_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class ReceivedRequest(msgspec.Struct, frozen=True):
    """A request with its body.

    :param at_s: when the headers were complete, on trio's clock.
    """

    head: h11.Request
    body: bytes
    at_s: float


class BodyTooLargeError(Exception):
    """A request body exceeds the limit."""


class StalledClientError(trio.BrokenResourceError):
    """The client reads nothing, so that the connection is given up."""


class Connection:
    """Owns one socket and its protocol state.

    :ivar closing: whether it closes after the next response.
    :ivar stalled: whether it sends and receives nothing more, for stand-ins.
    """

    def __init__(self, stream: trio.SocketStream, buffers: client_buffers.ClientBuffers) -> None:
        self.closing = False
        self.stalled = False
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER)
        self._early_data: list[bytes] = []
        self._waiting = False
        self._served = False
        self._idle_scope = trio.CancelScope()
        self._handler_scope = trio.CancelScope()
        self._buffers = buffers
        self._held_bytes = 0
        self._blocked_since_s: float | None = None
        self._aborted = False
        with contextlib.suppress(OSError):
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    def __enter__(self) -> "Connection":
        self._buffers.add(self)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._buffers.remove(self)
        self._release(self._held_bytes)
        self._stream.socket.close()

    @property
    def peer(self) -> str:
        """The client's address, empty once the socket is closed."""
        try:
            return addresses.join_host_port(*self._stream.socket.getpeername()[:2])
        except OSError:
            return ""

    @property
    def active(self) -> bool:
        """Whether a request is received or handled, or may be on its way while the server stops."""
        return not self._waiting or (self.closing and not self._served)

    def to_reader(self) -> slow_readers.Reader:
        """Return what decides whether to end the connection."""
        since_s = self._blocked_since_s
        blocked_s = trio.current_time() - since_s if since_s is not None else 0.0
        return slow_readers.Reader(self._held_bytes, blocked_s)

    def abort(self) -> None:
        """Reset the connection and cancel the handler of its request."""
        self._aborted = True
        self.reset_on_close()
        self._release(self._held_bytes)
        self._handler_scope.cancel()

    def _release(self, size: int) -> None:
        size = min(size, self._held_bytes)
        self._held_bytes -= size
        self._buffers.release(size)

    def reset_on_close(self) -> None:
        """Make closing the socket send a connection reset."""
        with contextlib.suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def omit_framing(self) -> None:
        """Frame the next response by the end of the connection, as for an HTTP/1.0 client."""
        self._h11.their_http_version = b"1.0"

    def close_if_idle(self) -> None:
        """Stop waiting if no byte of the next request has arrived."""
        self._idle_scope.deadline = min(self._idle_scope.deadline, self._closing_deadline_s())

    def _closing_deadline_s(self) -> float:
        """Return until when to wait for a request on a connection that closes."""
        return trio.current_time() + (0.0 if self._served else FIRST_REQUEST_WAIT_S)

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return ``False`` if the connection must close."""
        states = (self._h11.our_state, self._h11.their_state)
        if self._aborted or states != (h11.DONE, h11.DONE):
            return False
        self._h11.start_next_cycle()
        self._release(self._held_bytes)
        return True

    async def read_request(self, limits: Limits) -> ReceivedRequest | None:
        """Read a request with its body; return ``None`` at the end of the connection.

        :raises trio.TooSlowError: if its headers take longer than the limit.
        :raises BuffersFullError: if the process buffers too much already.
        """
        self._h11._max_incomplete_event_size = limits.header_bytes
        if not await self._wait_for_request(limits.idle_timeout_s):
            return None
        with trio.fail_after(limits.header_timeout_s):
            head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        at_s = trio.current_time()
        self._served = True
        return ReceivedRequest(head, await self._read_body(limits.body_bytes), at_s)

    async def _wait_for_request(self, timeout_s: float) -> bool:
        """Wait for the first bytes of a request; return ``False`` if none will come."""
        if self._early_data or self._h11.trailing_data[0]:
            return True
        deadline_s = trio.current_time() + timeout_s
        if self.closing:
            deadline_s = min(deadline_s, self._closing_deadline_s())
        self._waiting = True
        try:
            with trio.CancelScope(deadline=deadline_s) as self._idle_scope:
                return await self._receive_early()
            with trio.move_on_after(ARRIVED_WAIT_S):
                return await self._receive_early()
        finally:
            self._waiting = False
        return False

    async def _receive_early(self) -> bool:
        """Buffer the next bytes; return ``False`` at the end of the connection."""
        data = await self._stream.receive_some(READ_BYTES)
        self._early_data.append(data)
        return bool(data)

    async def _read_body(self, limit_bytes: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        for number in itertools.count(1):
            if number % MAX_CHUNKS_AT_ONCE == 0:
                await trio.lowlevel.checkpoint()
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                self._held_bytes += len(event.data)
                self._buffers.hold_request(len(event.data), held=self._held_bytes)
            if size > limit_bytes:
                raise BodyTooLargeError
        return b"".join(parts)

    async def _next_event(self) -> object:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await self.send([continue_response])
            if self._early_data:
                data = self._early_data.pop(0)
            else:
                data = await self._stream.receive_some(READ_BYTES)
            if self.stalled:
                await trio.sleep_forever()
            self._h11.receive_data(data)

    async def watch_for_close(self, scope: trio.CancelScope) -> None:
        """Cancel the handler once the client disconnects; buffers data of later requests."""
        self._handler_scope = scope
        while sum(map(len, self._early_data)) < MAX_EARLY_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                data = b""
            if not data and not self.stalled:
                scope.cancel()
                return
            if not data:
                return
            self._early_data.append(data)

    async def send(self, events: list[h11.Event]) -> None:
        """Send protocol events in one write; on a stalled connection this never returns."""
        if self.stalled:
            await trio.sleep_forever()
        data = b"".join(self._h11.send(event) or b"" for event in events)
        await self._send_bytes(data)

    async def send_raw(self, data: bytes) -> None:
        """Send bytes that belong to no response, for stand-ins."""
        await self._send_bytes(data)

    async def _send_bytes(self, data: bytes) -> None:
        """Send bytes as fast as the client reads them.

        :raises StalledClientError: if it reads nothing for :data:`SEND_STALL_TIMEOUT_S`.
        """
        rest = memoryview(data)
        self._held_bytes += len(data)
        self._buffers.hold(len(data))
        try:
            while rest:
                self._blocked_since_s = trio.current_time()
                sent_bytes = await self._send_some(rest)
                self._release(sent_bytes)
                rest = rest[sent_bytes:]
        except OSError as exc:
            raise trio.BrokenResourceError from exc
        finally:
            self._blocked_since_s = None
            self._release(len(rest))

    async def _send_some(self, data: memoryview) -> int:
        """Send what the socket takes; a client that reads anything is waited for."""
        while True:
            unread_bytes = self._count_unread_bytes()
            with trio.move_on_after(SEND_STALL_TIMEOUT_S):
                return await self._stream.socket.send(data)
            if self._count_unread_bytes() < unread_bytes:
                self._blocked_since_s = trio.current_time()
            else:
                _log.info("client_stalled", peer=self.peer, unread=unread_bytes)
                self.reset_on_close()
                raise StalledClientError

    def _count_unread_bytes(self) -> int:
        """Return the bytes that the kernel holds because the client has not taken them."""
        counted = bytearray(4)
        fcntl.ioctl(self._stream.socket.fileno(), termios.TIOCOUTQ, counted)
        return int.from_bytes(counted, sys.byteorder)

    async def reject(self, status: int, reason: str, retry_after_s: int | None = None) -> None:
        """Send an error response to an invalid request if the protocol state still allows one."""
        _log.info("request_rejected", peer=self.peer, status=status, reason=reason)
        self._release(self._held_bytes)
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("content-length", "0"), ("connection", "close")]
        headers += [("retry-after", str(retry_after_s))] if retry_after_s is not None else []
        with trio.move_on_after(REJECTION_LINGER_S):
            response = h11.Response(status_code=status, headers=headers)
            await self.send([response, h11.EndOfMessage()])
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                pass
