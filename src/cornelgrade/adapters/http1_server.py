"""HTTP/1.1 server on h11 and trio sockets.

Forwarding needs what hypercorn does not expose: the unmodified request target, a way to abort a
response so that the client notices, cancellation of the handler when the client disconnects, and
a shutdown that distinguishes idle connections from busy ones.
"""

import contextlib
import socket
import sys
import traceback
import urllib.parse
from collections.abc import Awaitable, Callable

import h11
import trio

from cornelgrade import addresses, logs
from cornelgrade.adapters import client_buffers, http1_connection

BACKLOG = 1024
# After a restart, connections of the previous process may still occupy the port.
MAX_BIND_ATTEMPTS = 50
BIND_RETRY_DELAY_S = 0.1
# Retry-After of a request that does not fit into the process's buffers.
RETRY_AFTER_S = 1
# When the server stops, connections that are still being opened are accepted until none came for
# this long, and for LAST_ACCEPT_S at most.
ACCEPT_GAP_S = 0.01
LAST_ACCEPT_S = 0.3
_log = logs.Logger("http1_server")
Headers = tuple[tuple[str, str], ...]
RawHeaders = tuple[tuple[bytes, bytes], ...]


Limits = http1_connection.Limits


class Exchange:
    """A request and the methods to respond to it.

    :ivar target: the request target, unmodified.
    :ivar raw_path: the path of the target, still percent-encoded.
    :ivar headers: by lower-case name.
    :ivar raw_headers: lower-case names and values, in the order received.
    :ivar arrived_s: when the headers were complete, on trio's clock.
    :ivar answered: whether any part of a response was sent.
    """

    def __init__(
        self, conn: http1_connection.Connection, received: http1_connection.ReceivedRequest
    ) -> None:
        head = received.head
        target = urllib.parse.urlsplit(head.target.decode("latin-1"))
        self.method = head.method.decode()
        self.target = bytes(head.target)
        self.raw_path = target.path
        self.path = urllib.parse.unquote(target.path)
        self.query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
        self.raw_headers: RawHeaders = tuple((bytes(k), bytes(v)) for k, v in head.headers)
        self.headers = {k.decode(): v.decode("latin-1") for k, v in self.raw_headers}
        self.body = received.body
        self.arrived_s = received.at_s
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

    async def send_raw(self, data: bytes) -> None:
        """Send bytes that belong to no response, for stand-ins."""
        await self._conn.send_raw(data)

    def _response_head(self, status: int, headers: Headers | RawHeaders) -> h11.Response:
        closing = [("connection", "close")] if self._conn.closing else []
        return h11.Response(status_code=status, headers=[*headers, *closing])

    async def _send(self, events: list[h11.Event]) -> None:
        self.answered = True
        await self._conn.send(events)


class AbortConnectionError(Exception):
    """Raised by a handler to reset the connection without completing the response."""


Handler = Callable[[Exchange], Awaitable[None]]
_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError)


class Server:
    """Listens on one address and calls ``handler`` for each request.

    The handler is cancelled when the client closes the connection.

    :param limits: called before each request, since limits may change while the server runs.
    :param buffers: counts what is buffered for clients, of all servers of the process.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        buffers: client_buffers.ClientBuffers | None = None,
    ) -> None:
        self._buffers = buffers or client_buffers.ClientBuffers(sys.maxsize)
        self._handler = handler
        self._limits = limits
        self._scope = trio.CancelScope()
        self._connections: set[http1_connection.Connection] = set()
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
                    self._serve_connection,
                    [self._wrap(found, nursery) for found in listeners],
                    handler_nursery=nursery,
                )

    def _wrap(self, listener: trio.SocketListener, nursery: trio.Nursery) -> "_Listener":
        handler = self._serve_connection
        return _Listener(listener, handler, nursery, lambda: self._draining)

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
        """The number of requests in progress, those that are being received included."""
        return sum(conn.active for conn in self._connections)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        with http1_connection.Connection(stream, self._buffers) as conn:
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

    async def _serve_requests(self, conn: http1_connection.Connection) -> None:
        while True:
            exchange = await self._read_request(conn)
            if exchange is None:
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(conn.watch_for_close, nursery.cancel_scope)
                await self._run_handler(exchange)
                nursery.cancel_scope.cancel()
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

    async def _read_request(self, conn: http1_connection.Connection) -> Exchange | None:
        """Read a request; an invalid one is rejected, which ends the connection."""
        try:
            received = await conn.read_request(self._limits())
            return Exchange(conn, received) if received is not None else None
        except h11.RemoteProtocolError as exc:
            await conn.reject(exc.error_status_hint, str(exc))
        except http1_connection.BodyTooLargeError:
            await conn.reject(413, "request body exceeds the limit")
        except client_buffers.BuffersFullError:
            await conn.reject(503, "too much is buffered for clients", retry_after_s=RETRY_AFTER_S)
        except trio.TooSlowError:
            await conn.reject(408, "request timed out")
        return None


class _Listener(trio.abc.Listener[trio.SocketStream]):
    """A listener that may accept the connections that wait for it before it closes.

    Closing it at once resets connections whose clients have sent their requests already.

    :param accepts_last: whether it does so, at the time of closing.
    """

    def __init__(
        self,
        listener: trio.SocketListener,
        handler: Callable[[trio.SocketStream], Awaitable[None]],
        nursery: trio.Nursery,
        accepts_last: Callable[[], bool],
    ) -> None:
        self._listener = listener
        self._handler = handler
        self._nursery = nursery
        self._accepts_last = accepts_last

    async def accept(self) -> trio.SocketStream:
        """Accept a connection."""
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Accept what waits, if that is wanted, and close."""
        if self._accepts_last():
            with contextlib.suppress(OSError):
                await self._accept_waiting()
            self._accept_queued()
        self._listener.socket.close()

    async def _accept_waiting(self) -> None:
        deadline_s = trio.current_time() + LAST_ACCEPT_S
        with trio.CancelScope(shield=True, deadline=deadline_s):
            while True:
                with trio.move_on_after(ACCEPT_GAP_S) as gap:
                    self._nursery.start_soon(self._handler, await self._listener.accept())
                if gap.cancelled_caught:
                    return

    def _accept_queued(self) -> None:
        """Accept what is queued now, without giving clients the time to connect again."""
        with socket.fromfd(
            self._listener.socket.fileno(), socket.AF_INET, socket.SOCK_STREAM
        ) as queue:
            queue.setblocking(False)
            with contextlib.suppress(OSError):
                while True:
                    accepted = trio.socket.from_stdlib_socket(queue.accept()[0])
                    self._nursery.start_soon(self._handler, trio.SocketStream(accepted))


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
