"""An HTTP/1.1 server on h11 and trio sockets.

hypercorn hides what forwarding needs: targets byte for byte, answers that end visibly broken, a
handler that is cancelled when its caller closes, and a shutdown that tells idle connections from
busy ones.
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
# Bytes that a caller may send ahead of the answer before the server stops reading.
EARLY_BYTES = 262_144
BACKLOG = 1024
# A restarted process may find its port still held by connections of the one before.
BIND_TRIES = 50
BIND_PAUSE_S = 0.1
# How long a refused caller may take to read its refusal before the connection closes.
LINGER_S = 0.5
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_log = logs.Logger("http1_server")
Headers = tuple[tuple[str, str], ...]
RawHeaders = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take.

    :param header_timeout_s: from the first byte of a request to the end of its headers.
    :param idle_timeout_s: longest silence between two requests.
    """

    header_bytes: int = 65_536
    body_bytes: int = 8_000_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Exchange:
    """One request and the means to answer it; ``headers`` have lower-case names.

    :ivar target: the request target as it was sent.
    :ivar raw_path: the target's path, as it was sent.
    :ivar raw_headers: names in lower case and values, in the order in which they were sent.
    :ivar arrived_s: when the headers were complete, on trio's clock.
    :ivar answered: whether any part of an answer was sent.
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

    async def answer(
        self,
        status: int,
        body: bytes = b"",
        headers: Headers = (("content-type", "application/json"),),
    ) -> None:
        """Send a whole answer."""
        length = (("content-length", str(len(body))),)
        await self._send([self._head(status, headers + length), _data(body), h11.EndOfMessage()])

    async def start(self, status: int, headers: Headers | RawHeaders, first: bytes) -> None:
        """Send the head and first part of an answer; it is chunked if no length is given."""
        await self._send([self._head(status, headers), _data(first)])

    async def chunk(self, data: bytes) -> None:
        """Send a part of the answer."""
        await self._send([_data(data)])

    async def end(self, last: bytes = b"") -> None:
        """Send the last part and the end of the answer."""
        await self._send([_data(last), h11.EndOfMessage()])

    async def cut_short(self, status: int, body: bytes) -> None:
        """Send a part of a longer whole answer; the connection closes when the handler returns."""
        length = (("content-length", str(len(body) + 1)),)
        await self._send([self._head(status, length), _data(body)])

    def _head(self, status: int, headers: Headers | RawHeaders) -> h11.Response:
        closing = [("connection", "close")] if self._conn.closing else []
        return h11.Response(status_code=status, headers=[*headers, *closing])

    async def _send(self, events: list[h11.Event]) -> None:
        self.answered = True
        await self._conn.send(events)


class BrokenOffError(Exception):
    """A handler raises it to break the connection without a proper end."""


class _TooLargeError(Exception):
    """A request's body is over the limit."""


Handler = Callable[[Exchange], Awaitable[None]]
_EXPECTED = (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError)


class Server:
    """Listens on one address and hands each request to ``handler``.

    A handler is cancelled when its caller closes the connection.

    :param limits: asked before each request, since they may change while the server runs.
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
                await trio.serve_listeners(self._connection, listeners, handler_nursery=nursery)

    def drain(self) -> None:
        """Ask callers, with each answer from now on, to use another connection."""
        self._draining = True
        for conn in self._connections:
            conn.closing = True

    def stop_listening(self) -> None:
        """Take no new connections and close those on which no request is being answered."""
        self.drain()
        self._scope.cancel()
        for conn in self._connections:
            conn.close_if_idle()

    @property
    def busy(self) -> int:
        """The number of requests that are being answered."""
        return sum(conn.busy for conn in self._connections)

    async def _connection(self, stream: trio.SocketStream) -> None:
        with _Connection(stream) as conn:
            conn.closing = self._draining
            self._connections.add(conn)
            try:
                await self._exchanges(conn)
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                _log.debug("connection_lost", peer=conn.peer)
            except* h11.LocalProtocolError as group:
                _log.warning("answer_misframed", peer=conn.peer, error=repr(group))
                conn.reset_on_close()
            except* BrokenOffError:
                conn.reset_on_close()
            finally:
                self._connections.discard(conn)

    async def _exchanges(self, conn: "_Connection") -> None:
        while True:
            exchange = await self._next(conn)
            if exchange is None:
                return
            conn.busy = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(conn.watch, nursery.cancel_scope)
                await self._guarded(exchange)
                nursery.cancel_scope.cancel()
            conn.busy = False
            if not conn.reusable():
                return

    async def _guarded(self, exchange: Exchange) -> None:
        """Keep a fault in one request's handler from ending the others."""
        try:
            await self._handler(exchange)
        except (*_EXPECTED, BrokenOffError):
            raise
        except Exception as exc:
            place = traceback.extract_tb(exc.__traceback__)[-1]
            _log.error(
                "handler_failed",
                target=exchange.target.decode("latin-1"),
                error=repr(exc),
                where=f"{place.name}:{place.lineno}",
            )
            raise BrokenOffError from exc

    async def _next(self, conn: "_Connection") -> Exchange | None:
        """Read a request; what can't be one is refused here and ends the connection."""
        try:
            return await conn.next_exchange(self._limits())
        except h11.RemoteProtocolError as exc:
            await conn.refuse(exc.error_status_hint, str(exc))
        except _TooLargeError:
            await conn.refuse(413, "the body is over the limit")
        except trio.TooSlowError:
            await conn.refuse(408, "the request took too long")
        return None


class _Connection:
    """Owns one socket and its protocol state."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.closing = False
        self.busy = False
        self.silent = False
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER)
        self._early: list[bytes] = []
        self._idle = trio.CancelScope()
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
        """The caller's address, empty once the socket is gone."""
        try:
            return addresses.join_host_port(*self._stream.socket.getpeername()[:2])
        except OSError:
            return ""

    def reset_on_close(self) -> None:
        """Make closing show as a connection reset at the other end."""
        with contextlib.suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def close_if_idle(self) -> None:
        """End the wait for a request of which no byte has arrived."""
        self._idle.cancel()

    def reusable(self) -> bool:
        """Prepare for the next request; false if there can be none."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def next_exchange(self, limits: Limits) -> Exchange | None:
        """Read a whole request, ``None`` at the end of the connection.

        :raises trio.TooSlowError: if its headers take too long.
        """
        self._h11._max_incomplete_event_size = limits.header_bytes
        if not await self._first_bytes(limits.idle_timeout_s):
            return None
        with trio.fail_after(limits.header_timeout_s):
            head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        at_s = trio.current_time()
        return Exchange(self, head, await self._body(limits.body_bytes), at_s)

    async def _first_bytes(self, timeout_s: float) -> bool:
        """Wait for the beginning of a request; ``False`` if there will be none."""
        if self._early or self._h11.trailing_data[0]:
            return True
        if self.closing:
            return False
        with trio.CancelScope(deadline=trio.current_time() + timeout_s) as self._idle:
            data = await self._stream.receive_some(READ_BYTES)
            self._early.append(data)
            return bool(data)
        return False

    async def _body(self, limit_bytes: int) -> bytes:
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
                raise _TooLargeError

    async def _next_event(self) -> object:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self.send([go_on])
            if self._early:
                data = self._early.pop(0)
            else:
                data = await self._stream.receive_some(READ_BYTES)
            if self.silent:
                await trio.sleep_forever()
            self._h11.receive_data(data)

    async def watch(self, scope: trio.CancelScope) -> None:
        """Cancel the handler once the caller closes; keeps what comes early."""
        while sum(map(len, self._early)) < EARLY_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except trio.BrokenResourceError:
                data = b""
            if not data and not self.silent:
                scope.cancel()
                return
            if not data:
                return
            self._early.append(data)

    async def send(self, events: list[h11.Event]) -> None:
        """Send protocol events in one write; a silent connection never returns."""
        if self.silent:
            await trio.sleep_forever()
        data = b"".join(self._h11.send(event) or b"" for event in events)
        await self._stream.send_all(data)

    async def refuse(self, status: int, reason: str) -> None:
        """Answer what is no acceptable request, as far as the connection still allows it."""
        _log.info("request_refused", peer=self.peer, status=status, reason=reason)
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("content-length", "0"), ("connection", "close")]
        with trio.move_on_after(LINGER_S):
            answer = h11.Response(status_code=status, headers=headers)
            await self.send([answer, h11.EndOfMessage()])
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                pass


def _data(data: bytes) -> h11.Data:
    return h11.Data(data=data)


async def _listen(host: str, port: int) -> list[trio.SocketListener]:
    for _ in range(BIND_TRIES):
        try:
            return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        except OSError as exc:
            _log.debug("bind_failed", address=addresses.join_host_port(host, port), error=repr(exc))
            await trio.sleep(BIND_PAUSE_S)
    return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
