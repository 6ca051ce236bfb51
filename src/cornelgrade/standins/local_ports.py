"""Ports of the loopback address for servers that are configured before they listen.

A port that is free when it is chosen can be taken by the time its server listens on it: by another
server of this process, by a server of another process, or by an outgoing connection. So ports lie
below the range of outgoing connections, a process draws them from a block that no other process
draws from, and draws none a second time until all others of the block were drawn.
"""

import itertools
import os
import random
import socket
from collections.abc import Iterator

HOST = "127.0.0.1"
# Above the ports of well-known servers, below those of outgoing connections (Linux: 32768 on).
_PORTS = range(5_000, 32_000)
# More than a test has servers; blocks enough for some suites and soaks beside each other.
_BLOCK_SIZE = 1_000


def free_port() -> int:
    """Return a port that is free for both TCP and UDP, since a worker listens on both.

    :raises OSError: all blocks belong to other processes.
    """
    return _block.draw()


def free_address() -> str:
    """Return ``host:port`` with a port of :func:`free_port`."""
    return f"{HOST}:{free_port()}"


def is_free(port: int, *, reuses_address: bool = False) -> bool:
    """Return whether a port is free for both TCP and UDP.

    :param reuses_address: whether a port whose earlier connections are in TIME_WAIT is free.
    """
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            if reuses_address and kind is socket.SOCK_STREAM:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True


class _Block:
    """The ports that this process draws from, from the first draw until it exits.

    The process holds a block by a socket that is bound to the block's first port.
    """

    def __init__(self) -> None:
        self._held: socket.socket | None = None
        self._ports: Iterator[int] = iter(())

    def draw(self) -> int:
        if self._held is None:
            self._hold()
        return next(port for port in self._ports if is_free(port))

    def release(self) -> None:
        """Let a forked process hold a block of its own."""
        if self._held is not None:
            self._held.close()
        self._held = None

    def _hold(self) -> None:
        for first in random.sample(_PORTS[::_BLOCK_SIZE], len(_PORTS) // _BLOCK_SIZE):
            held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                held.bind((HOST, first))
            except OSError:
                held.close()
                continue
            self._held = held
            self._ports = itertools.cycle(range(first + 1, first + _BLOCK_SIZE))
            return
        raise OSError(f"other processes hold all blocks of ports in {_PORTS}")


_block = _Block()
os.register_at_fork(after_in_child=_block.release)
