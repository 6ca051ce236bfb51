"""Starts a daemon of the platform whose links to its peers the soak can cut.

Processes on loopback can't be separated from outside without root. The daemon's code is replaced
at two places, which all that it sends to its peers passes: the datagram socket and the opening of
connections. A file lists the addresses that are cut off::

    python -m bench.soak.cut_links gateway|worker
"""

import os
import pathlib

import msgspec
import trio

from cornelgrade.adapters import datagrams, engine, http1
from cornelgrade.platform import __main__ as program

# Names the file with the links that are cut; without the file none is.
CUTS_VARIABLE = "CORNELGRADE_SOAK_CUTS"


class Cuts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a process can't send.

    :param datagrams: addresses to which datagrams are lost.
    :param connections: addresses to which no connection can be opened, which needs both
        directions of a link; a connection that is open stays.
    """

    datagrams: frozenset[str] = frozenset()
    connections: frozenset[str] = frozenset()

    def write(self, path: pathlib.Path) -> None:
        """Replace the file of a process, which may read it at any moment."""
        written = path.with_suffix(".new")
        written.write_bytes(msgspec.json.encode(self))
        written.replace(path)


class CutFile:
    """The links that are cut now, read again when the file has been replaced."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._read_inode: tuple[int, int] | None = None
        self._cuts = Cuts()

    @property
    def cuts(self) -> Cuts:
        """What the file says now."""
        try:
            found = self._path.stat()
        except FileNotFoundError:
            return self._cuts
        inode = found.st_ino, found.st_mtime_ns
        if inode != self._read_inode:
            self._cuts = msgspec.json.decode(self._path.read_bytes(), type=Cuts)
            self._read_inode = inode
        return self._cuts


def install(file: CutFile) -> None:
    """Let this process send nothing to the addresses that are cut off."""

    class Socket(datagrams.Socket):
        """A datagram socket that drops what a cut link would lose."""

        def __init__(self, *args, **more) -> None:
            super().__init__(*args, cut=lambda to: to in file.cuts.datagrams, **more)

    open_channel = http1.connect

    async def connect(address: str, timeout_s: float) -> http1.Channel:
        if address not in file.cuts.connections:
            return await open_channel(address, timeout_s)
        await trio.sleep(timeout_s)
        raise engine.CallError(
            "connect timed out",
            step="connect",
            peer=address,
            progress=engine.Progress.NOT_SENT,
            timed_out=True,
        )

    datagrams.Socket = Socket
    http1.connect = connect


def main() -> None:
    """Run one daemon until it is stopped."""
    install(CutFile(pathlib.Path(os.environ[CUTS_VARIABLE])))
    program.main()


if __name__ == "__main__":
    main()
