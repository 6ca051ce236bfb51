"""HTTP/1.1 server on h11 and trio sockets.

Forwarding needs what hypercorn does not expose: the unmodified request target, a way to abort a
response so that the client notices, cancellation of the handler when the client disconnects, and
a shutdown that distinguishes idle connections from busy ones.
"""

import contextlib
import dataclasses
import socket
import struct
import traceback
import urllib.parse
from collections.abc import Awaitable, Callable
from types import TracebackType

import h11
import trio

from cornelgrade import addresses, logs

READ_BYTES = 65_536
# Bytes buffered while a request is handled; beyond them the server stops reading.
MAX_EARLY_BYTES = 262_144
BACKLOG = 1024
# After a restart, connections of the previous process may still occupy the port.
MAX_BIND_ATTEMPTS = 50
BIND_RETRY_DELAY_S = 0.1
# How long a client may take to read the error response to a rejected request.
REJECTION_LINGER_S = 0.5
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_log = logs.Logger("http1_server")
Headers = tuple[tuple[str, str], ...]
RawHeaders = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and duration of a client's requests.

    :param header_timeout_s: from the first byte of a request to the end of its headers.
    :param idle_timeout_s: longest idle time between two requests.
    """

    header_bytes: int = 65_536
    body_bytes: int = 8_000_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Exchange:
    """A request and the methods to respond to it.

    :ivar target: the request target, unmodified.
    :ivar raw_path: the path of the target, still percent-encoded.
    :ivar headers: by lower-case name.
    :ivar raw_headers: lower-case names and values, in the order received.
    :ivar arrived_s: when the headers were complete, on trio's clock.
    :ivar answered: whether any part of a response was sent.
    """

    def __init__(self, conn: "_Connection", head: h11.Request, body: bytes, at_s: float) -> None:
        target = urllib.parse.urlsplit(head.target.decode("latin-1"))
        self.method = head.method.decode()
        self.target = bytes(head.target)
        self.raw_path = target.path
        self.path = urllib.parse.unquote(target.path)
        self.query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
        self.raw_headers: RawHeaders = tuple((bytes(k), bytes(v)) for k, v in head.headers)
        self.headers = {k.decode(): v.decode("latin-1") for k, v in self.raw_headers}
        self.body = body
        self.arrived_s = at_s
        self.answered = False
        self._conn = conn

    async def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Headers = (("content-type", "application/json"),),
    ) -> None:
        """Send a complete response."""
        length = (("content-length", str(len(body))),)
        await self._send(
            [self._response_head(status, headers + length), _data_event(body), h11.EndOfMessage()]
        )

    async def start_response(
        self, status: int, headers: Headers | RawHeaders, first: bytes
    ) -> None:
        """Send the status, headers and first chunk; chunked encoding if no length is given."""
        await self._send([self._response_head(status, headers), _data_event(first)])

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._send([_data_event(data)])

    async def end_response(self, last: bytes = b"") -> None:
        """Send the last chunk and end the response."""
        await self._send([_data_event(last), h11.EndOfMessage()])

    def omit_framing(self) -> None:
        """Give the response neither a length nor chunks, so that it ends with its connection."""
        self._conn.omit_framing()

    async def send_truncated(self, status: int, body: bytes) -> None:
        """Send a body that is shorter than its length; closes when the handler returns."""
        length = (("content-length", str(len(body) + 1)),)
        await self._send([self._response_head(status, length), _data_event(body)])

    def _response_head(self, status: int, headers: Headers | RawHeaders) -> h11.Response:
        closing = [("connection", "close")] if self._conn.closing else []
        return h11.Response(status_code=status, headers=[*headers, *closing])

    async def _send(self, events: list[h11.Event]) -> None:
        self.answered = True
        await self._conn.send(events)


class AbortConnectionError(Exception):
    """Raised by a handler to reset the connection without completing the response."""


class _BodyTooLargeError(Exception):
    """A request body exceeds the limit."""


Handler = Callable[[Exchange], Awaitable[None]]
_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError)


class Server:
    """Listens on one address and calls ``handler`` for each request.

    The handler is cancelled when the client closes the connection.

    :param limits: called before each request, since limits may change while the server runs.
    """

    def __init__(self, handler: Handler, limits: Callable[[], Limits] = Limits) -> None:
        self._handler = handler
        self._limits = limits
        self._scope = trio.CancelScope()
        self._connections: set[_Connection] = set()
        self._draining = False

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the bound ``IP:port``."""
        host, port = addresses.split_host_port(address)
        async with trio.open_nursery() as nursery:
            listeners = await _listen(host, port)
            port = listeners[0].socket.getsockname()[1]
            task_status.started(addresses.join_host_port(host, port))
            with trio.CancelScope() as self._scope:
                await trio.serve_listeners(
                    self._serve_connection, listeners, handler_nursery=nursery
                )

    def drain(self) -> None:
        """Send ``Connection: close`` with each response from now on."""
        self._draining = True
        for conn in self._connections:
            conn.closing = True

    def stop_listening(self) -> None:
        """Accept no new connections and close the idle ones."""
        self.drain()
        self._scope.cancel()
        for conn in self._connections:
            conn.close_if_idle()

    @property
    def active_requests(self) -> int:
        """The number of requests in progress."""
        return sum(conn.handling for conn in self._connections)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        with _Connection(stream) as conn:
            conn.closing = self._draining
            self._connections.add(conn)
            try:
                await self._serve_requests(conn)
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                _log.debug("connection_lost", peer=conn.peer)
            except* h11.LocalProtocolError as group:
                _log.warning("response_framing_invalid", peer=conn.peer, error=repr(group))
                conn.reset_on_close()
            except* AbortConnectionError:
                conn.reset_on_close()
            finally:
                self._connections.discard(conn)

    async def _serve_requests(self, conn: "_Connection") -> None:
        while True:
            exchange = await self._read_request(conn)
            if exchange is None:
                return
            conn.handling = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(conn.watch_for_close, nursery.cancel_scope)
                await self._run_handler(exchange)
                nursery.cancel_scope.cancel()
            conn.handling = False
            if not conn.start_next_cycle():
                return

    async def _run_handler(self, exchange: Exchange) -> None:
        """Run the handler; an unexpected exception aborts only its own connection."""
        try:
            await self._handler(exchange)
        except (*_CONNECTION_ERRORS, AbortConnectionError):
            raise
        except Exception as exc:
            frame = traceback.extract_tb(exc.__traceback__)[-1]
            _log.error(
                "handler_failed",
                target=exchange.target.decode("latin-1"),
                error=repr(exc),
                where=f"{frame.name}:{frame.lineno}",
            )
            raise AbortConnectionError from exc

    async def _read_request(self, conn: "_Connection") -> Exchange | None:
        """Read a request; an invalid one is rejected, which ends the connection."""
        try:
            return await conn.read_request(self._limits())
        except h11.RemoteProtocolError as exc:
            await conn.reject(exc.error_status_hint, str(exc))
        except _BodyTooLargeError:
            await conn.reject(413, "request body exceeds the limit")
        except trio.TooSlowError:
            await conn.reject(408, "request timed out")
        return None


class _Connection:
    """Owns one socket and its protocol state."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.closing = False
        self.handling = False
        self.stalled = False
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER)
        self._early_data: list[bytes] = []
        self._idle_scope = trio.CancelScope()
        with contextlib.suppress(OSError):
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def __enter__(self) -> "_Connection":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stream.socket.close()

    @property
    def peer(self) -> str:
        """The client's address, empty once the socket is closed."""
        try:
            return addresses.join_host_port(*self._stream.socket.getpeername()[:2])
        except OSError:
            return ""

    def reset_on_close(self) -> None:
        """Make closing the socket send a connection reset."""
        with contextlib.suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def omit_framing(self) -> None:
        """Frame the next response by the end of the connection, as for an HTTP/1.0 client."""
        self._h11.their_http_version = b"1.0"

    def close_if_idle(self) -> None:
        """Stop waiting if no byte of the next request has arrived."""
        self._idle_scope.cancel()

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return ``False`` if the connection must close."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def read_request(self, limits: Limits) -> Exchange | None:
        """Read a request with its body; return ``None`` at the end of the connection.

        :raises trio.TooSlowError: if its headers take longer than the limit.
        """
        self._h11._max_incomplete_event_size = limits.header_bytes
        if not await self._wait_for_request(limits.idle_timeout_s):
            return None
        with trio.fail_after(limits.header_timeout_s):
            head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        at_s = trio.current_time()
        return Exchange(self, head, await self._read_body(limits.body_bytes), at_s)

    async def _wait_for_request(self, timeout_s: float) -> bool:
        """Wait for the first bytes of a request; return ``False`` if none will come."""
        if self._early_data or self._h11.trailing_data[0]:
            return True
        if self.closing:
            return False
        with trio.CancelScope(deadline=trio.current_time() + timeout_s) as self._idle_scope:
            data = await self._stream.receive_some(READ_BYTES)
            self._early_data.append(data)
            return bool(data)
        return False

    async def _read_body(self, limit_bytes: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
            if size > limit_bytes:
                raise _BodyTooLargeError

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
        await self._stream.send_all(data)

    async def reject(self, status: int, reason: str) -> None:
        """Send an error response to an invalid request if the protocol state still allows one."""
        _log.info("request_rejected", peer=self.peer, status=status, reason=reason)
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("content-length", "0"), ("connection", "close")]
        with trio.move_on_after(REJECTION_LINGER_S):
            response = h11.Response(status_code=status, headers=headers)
            await self.send([response, h11.EndOfMessage()])
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                pass


def _data_event(data: bytes) -> h11.Data:
    return h11.Data(data=data)


async def _listen(host: str, port: int) -> list[trio.SocketListener]:
    for _ in range(MAX_BIND_ATTEMPTS):
        try:
            return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        except OSError as exc:
            _log.debug("bind_failed", address=addresses.join_host_port(host, port), error=repr(exc))
            await trio.sleep(BIND_RETRY_DELAY_S)
    return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
