"""TCP proxy that resets, ends, delays, freezes and loses the traffic it relays."""

import collections
import socket
import struct
from collections.abc import Callable
from typing import Literal, Protocol

import msgspec
import trio

from cornelgrade import addresses
from cornelgrade.standins import _http_server

READ_BYTES = 65_536
QUEUE_CHUNKS = 64
# Bytes kept of the last request on a connection, and of its response.
KEPT_BYTES = 65_536
# From an own answer to the reset of its connection.
RESET_DELAY_S = 0.05
_HEAD_END = b"\r\n\r\n"
# So near its end, data of a response lies inside an event and inside a chunk.
_CUT_BYTES = 3
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
Direction = Literal["up", "down"]


class Switches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the proxy; ``up`` is from the caller to the target.

    :param cut: connections that are open now are reset; acts once.
    :param end: connections that are open now are closed without a reset, as by a balancer that
        gives them up; acts once.
    :param end_after_head: connections are closed the same way right after the head of a response.
    :param refuse: new connections are reset at once.
    :param delay_s: extra delay of each chunk, in each direction.
    :param freeze: connections that are open now carry nothing more; acts once.
    :param lose: a direction in which bytes are discarded; a connection that has lost bytes
        keeps losing them in this direction.
    """

    cut: bool = False
    end: bool = False
    end_after_head: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    freeze: bool = False
    lose: Literal["", "up", "down"] = ""


class OwnAnswer(Protocol):
    """What a proxy answers in place of its target."""

    def begin(self, request: bytes) -> bytes:
        """Return the first bytes of the answer, empty if the target is to answer.

        :param request: the first bytes of a request.
        """

    def go_on(self) -> bytes:
        """Return further bytes, empty if the connection is to be reset."""


class FaultProxy:
    """Relays TCP connections to one target address.

    :param target: ``IP:port``.
    :param refuses: whether new connections from a port are reset at once.

    :ivar own_answer: what answers requests that begin now, if not the target.
    :ivar own_answers: how many requests it has answered.
    """

    def __init__(self, target: str, refuses: Callable[[int], bool] = lambda port: False) -> None:
        self.target = target
        self._refuses = refuses
        self.switches = Switches()
        self.own_answer: OwnAnswer | None = None
        self.own_answers = 0
        self.counters: collections.Counter[str] = collections.Counter()
        self._connections: set[RelayedConnection] = set()
        self._control = _http_server.Server(self._handle)

    def switch(self, switches: Switches) -> None:
        """Replace the switches."""
        self.switches = msgspec.structs.replace(switches, cut=False, end=False, freeze=False)
        for connection in tuple(self._connections):
            if switches.freeze:
                connection.frozen = True
            if switches.cut:
                connection.reset()
            if switches.end:
                connection.end()

    @property
    def connections(self) -> tuple["RelayedConnection", ...]:
        """The connections that are open now."""
        return tuple(self._connections)

    def reset_refused(self) -> None:
        """Reset the open connections that would be refused if they were new."""
        for connection in tuple(self._connections):
            if self._refuses(connection.caller_port):
                connection.reset()

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay until cancelled; reports the bound ``IP:port``."""
        host, port = addresses.split_host_port(address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound = addresses.join_host_port(host, listeners[0].socket.getsockname()[1])
        task_status.started(bound)
        await trio.serve_listeners(self._relay_connection, listeners)

    async def serve_control(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve ``PUT /v1/switches`` and ``GET /v1/counters`` until cancelled."""
        await self._control.serve(address, task_status)

    async def _relay_connection(self, caller_stream: trio.SocketStream) -> None:
        self.counters["connections"] += 1
        caller_port = caller_stream.socket.getpeername()[1]
        if self.switches.refuse or self._refuses(caller_port):
            _enable_reset_on_close(caller_stream)
            return
        try:
            target_stream = await trio.open_tcp_stream(*addresses.split_host_port(self.target))
        except OSError:
            _enable_reset_on_close(caller_stream)
            return
        async with target_stream:
            connection = RelayedConnection(self, caller_port, caller_stream, target_stream)
            self._connections.add(connection)
            try:
                await connection.run()
            finally:
                self._connections.discard(connection)

    async def _handle(self, req: _http_server.Exchange) -> None:
        if (req.method, req.path) == ("GET", "/v1/counters"):
            await req.respond(200, msgspec.json.encode(dict(self.counters)))
        elif (req.method, req.path) == ("PUT", "/v1/switches"):
            await self._set_switches(req)
        else:
            await req.respond(404, b"{}")

    async def _set_switches(self, req: _http_server.Exchange) -> None:
        try:
            switches = msgspec.json.decode(req.body, type=Switches)
        except msgspec.MsgspecError as exc:
            await req.respond(400, str(exc).encode())
            return
        self.switch(switches)
        await req.respond(200, req.body)


class RelayedConnection:
    """One relayed connection.

    :ivar request: what the caller sent last, up to :data:`KEPT_BYTES`.
    :ivar response: what has been relayed in response to it, up to :data:`KEPT_BYTES`.
    """

    def __init__(
        self,
        proxy: FaultProxy,
        caller_port: int,
        caller_stream: trio.SocketStream,
        target_stream: trio.SocketStream,
    ) -> None:
        self.frozen = False
        self.caller_port = caller_port
        self.request = b""
        self.response = b""
        self._ends_within_next = False
        self._is_answered = False
        self._proxy = proxy
        self._caller_stream = caller_stream
        self._target_stream = target_stream
        self._lost_directions: set[str] = set()
        self._scope = trio.CancelScope()

    def reset(self) -> None:
        """Reset the connections to the caller and the target."""
        _enable_reset_on_close(self._caller_stream)
        _enable_reset_on_close(self._target_stream)
        self._scope.cancel()

    def end(self) -> None:
        """Close the connections to the caller and the target."""
        self._scope.cancel()

    def end_within_next(self) -> None:
        """Close the connections shortly before the end of the next data of a response."""
        self._ends_within_next = True

    async def run(self) -> None:
        """Relay until both directions have ended or one has failed."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._start_direction(nursery, "up", self._caller_stream, self._target_stream)
                self._start_direction(nursery, "down", self._target_stream, self._caller_stream)

    def _start_direction(
        self,
        nursery: trio.Nursery,
        direction: Direction,
        source: trio.SocketStream,
        sink: trio.SocketStream,
    ) -> None:
        sender, receiver = trio.open_memory_channel[tuple[float, bytes]](QUEUE_CHUNKS)
        nursery.start_soon(self._read, direction, source, sender)
        nursery.start_soon(self._write, direction, sink, receiver)

    async def _read(
        self,
        direction: Direction,
        source: trio.SocketStream,
        sender: trio.MemorySendChannel[tuple[float, bytes]],
    ) -> None:
        data = b"-"
        while data:
            try:
                data = await source.receive_some(READ_BYTES)
                if direction == "up" and await self._answer(data):
                    return
            except trio.BrokenResourceError:
                self.reset()
                return
            due_s = trio.current_time() + self._proxy.switches.delay_s
            await sender.send((due_s, data))

    async def _write(
        self,
        direction: Direction,
        sink: trio.SocketStream,
        receiver: trio.MemoryReceiveChannel[tuple[float, bytes]],
    ) -> None:
        async for due_s, data in receiver:
            await trio.sleep_until(due_s)
            if self._discards(direction):
                continue
            try:
                if not data:
                    await sink.send_eof()
                    return
                data, ends = self._shorten(data) if direction == "down" else (data, False)
                self._keep(direction, data)
                await sink.send_all(data)
            except trio.BrokenResourceError:
                self.reset()
                return
            self._proxy.counters[f"bytes_{direction}"] += len(data)
            if ends:
                self.end()

    async def _answer(self, request: bytes) -> bool:
        """Answer a request in place of the target, which reads no more; return whether it does."""
        own = None if self.request else self._proxy.own_answer
        part = own.begin(request) if own is not None else b""
        if own is None or not part:
            return False
        self._proxy.own_answers += 1
        self._is_answered = True
        while part:
            await self._caller_stream.send_all(part)
            part = own.go_on()
        await trio.sleep(RESET_DELAY_S)
        self.reset()
        return True

    def _shorten(self, data: bytes) -> tuple[bytes, bool]:
        """Return what is relayed of data of a response, and whether the connection ends then."""
        if self._ends_within_next:
            return data[:-_CUT_BYTES], True
        if not self._proxy.switches.end_after_head or _HEAD_END in self.response:
            return data, False
        head, end, _ = (self.response + data).partition(_HEAD_END)
        return (head + end)[len(self.response) :], bool(end)

    def _keep(self, direction: Direction, data: bytes) -> None:
        if direction == "down":
            self.response = (self.response + data)[:KEPT_BYTES]
            return
        if self.response:
            self.request = self.response = b""
        self.request = (self.request + data)[:KEPT_BYTES]

    def _discards(self, direction: Direction) -> bool:
        if self._proxy.switches.lose == direction:
            self._lost_directions.add(direction)
        # Nothing of the target follows an own answer.
        return self.frozen or self._is_answered or direction in self._lost_directions


def _enable_reset_on_close(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
