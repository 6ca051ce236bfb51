"""The bytes that a process buffers for its clients: of their requests and of unsent responses."""

from typing import Protocol

from cornelgrade import logs, metrics
from cornelgrade.policy import slow_readers

_log = logs.Logger("client_buffers")


class BuffersFullError(Exception):
    """A request does not fit into the process's buffers."""


class Connection(Protocol):
    """A connection for which bytes are buffered."""

    def to_reader(self) -> slow_readers.Reader:
        """Return what decides whether to end it."""

    def abort(self) -> None:
        """End its request and reset it."""


class ClientBuffers:
    """Counts the bytes buffered for all connections, and ends those of clients that don't read.

    :param limit_bytes: a single request may exceed it if nothing else is buffered.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._connections: set[Connection] = set()
        self._ended_counter = metrics.counter(
            "cornelgrade_ended_readers_total", "Connections ended because their clients don't read."
        )

    def add(self, conn: Connection) -> None:
        """Count a connection from now on."""
        self._connections.add(conn)

    def remove(self, conn: Connection) -> None:
        """Forget a connection, which holds nothing any more."""
        self._connections.discard(conn)

    def hold(self, size: int) -> None:
        """Count bytes; beyond the limit, end clients that read nothing."""
        self.held_bytes += size
        excess_bytes = self.held_bytes - self._limit_bytes
        if excess_bytes <= 0:
            return
        listed = tuple(self._connections)
        readers = [conn.to_reader() for conn in listed]
        for position in slow_readers.choose_ended(readers, excess_bytes):
            reader = readers[position]
            _log.info(
                "reader_ended",
                held=reader.held_bytes,
                blocked_s=reader.blocked_s,
                total=self.held_bytes,
            )
            self._ended_counter.inc({})
            listed[position].abort()

    def hold_request(self, size: int, *, held: int) -> None:
        """Count bytes of a request.

        :param held: bytes that its connection holds, these included.
        :raises BuffersFullError: if they don't fit, also without the clients that read nothing.
        """
        self.hold(size)
        if self.held_bytes > held and self.held_bytes > self._limit_bytes:
            raise BuffersFullError

    def release(self, size: int) -> None:
        """Stop counting bytes."""
        self.held_bytes -= size
