"""A small HTTP/1.1 server on h11 and trio sockets, for stand-ins that stream many small chunks.

Unlike hypercorn it can break connections, leave them silent, and go down and come back.
"""

import socket
import struct
import urllib.parse
from collections.abc import Awaitable, Callable
from types import TracebackType

import h11
import trio

from cornelgrade.standins import _address

READ_BYTES = 65_536
BODY_LIMIT_BYTES = 8_000_000
BACKLOG = 1024
BIND_TRIES = 50
BIND_PAUSE_S = 0.1
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
Headers = tuple[tuple[str, str], ...]


class Exchange:
    """One request and the means to answer it; ``headers`` have lower-case names."""

    def __init__(self, conn: "_Connection", head: h11.Request, body: bytes) -> None:
        target = urllib.parse.urlsplit(head.target.decode("latin-1"))
        self.method = head.method.decode()
        self.path = urllib.parse.unquote(target.path)
        self.query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
        self.headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        self.body = body
        self._conn = conn

    async def answer(
        self,
        status: int,
        body: bytes = b"",
        headers: Headers = (("content-type", "application/json"),),
    ) -> None:
        """Send a whole answer."""
        length = (("content-length", str(len(body))),)
        events = [_head(status, headers + length), h11.Data(data=body), h11.EndOfMessage()]
        await self._conn.send(events)

    async def start(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and first chunk of a chunked answer."""
        await self._conn.send([_head(status, headers), h11.Data(data=first)])

    async def chunk(self, data: bytes) -> None:
        """Send a chunk."""
        await self._conn.send([h11.Data(data=data)])

    async def end(self, last: bytes = b"") -> None:
        """Send the last chunk and the end of a chunked answer."""
        await self._conn.send([h11.Data(data=last), h11.EndOfMessage()])

    async def cut_short(self, status: int, body: bytes) -> None:
        """Send a part of a longer whole answer; the connection closes when the handler returns."""
        length = (("content-length", str(len(body) + 1)),)
        await self._conn.send([_head(status, length), h11.Data(data=body)])


class BrokenOffError(Exception):
    """A handler raises it to break the connection without a proper end."""


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Listens on one address and hands each request to ``handler``.

    A handler is cancelled when its caller closes the connection.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._scope = trio.CancelScope()
        self._connections: set[_Connection] = set()
        self._down_s = 0.0

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the bound ``IP:port``."""
        host, port = _address.split(address)
        listeners = await _listen(host, port)
        port = listeners[0].socket.getsockname()[1]
        task_status.started(_address.join(host, port))
        while True:
            with trio.CancelScope() as self._scope:
                await trio.serve_listeners(self._connection, listeners)
            await trio.sleep(self._down_s)
            listeners = await _listen(host, port)

    def crash(self, down_s: float) -> None:
        """Reset every connection and refuse new ones for a while."""
        self._down_s = down_s
        for conn in self._connections:
            conn.reset_on_close()
        self._scope.cancel()

    def silence(self) -> None:
        """Let the connections that are open now say nothing more."""
        for conn in self._connections:
            conn.silent = True

    async def _connection(self, stream: trio.SocketStream) -> None:
        with _Connection(stream) as conn:
            self._connections.add(conn)
            try:
                await self._exchanges(conn)
            except* (trio.BrokenResourceError, h11.RemoteProtocolError):
                pass
            except* BrokenOffError:
                conn.reset_on_close()
            finally:
                self._connections.discard(conn)

    async def _exchanges(self, conn: "_Connection") -> None:
        while True:
            exchange = await conn.next_exchange()
            if exchange is None:
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(conn.watch, nursery.cancel_scope)
                await self._handler(exchange)
                nursery.cancel_scope.cancel()
            if not conn.reusable():
                return


class _Connection:
    """Owns one socket and its protocol state."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.silent = False
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER)
        self._early: list[bytes] = []

    def __enter__(self) -> "_Connection":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stream.socket.close()

    def reset_on_close(self) -> None:
        """Make closing show as a connection reset at the other end."""
        self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def reusable(self) -> bool:
        """Prepare for the next request; false if there can be none."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def next_exchange(self) -> Exchange | None:
        """Read a whole request, ``None`` at the end of the connection."""
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.ConnectionClosed):
                return None
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > BODY_LIMIT_BYTES:
                    return None
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return Exchange(self, head, b"".join(parts))

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
        while True:
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


def _head(status: int, headers: Headers) -> h11.Response:
    return h11.Response(status_code=status, headers=list(headers))


async def _listen(host: str, port: int) -> list[trio.SocketListener]:
    for _ in range(BIND_TRIES):
        try:
            return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        except OSError:
            await trio.sleep(BIND_PAUSE_S)
    return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
