"""Which process a connection on loopback comes from, as Linux lists it."""

import contextlib
import pathlib

_CONNECTIONS = pathlib.Path("/proc/net/tcp")
_LOCAL_ADDRESS, _INODE = 1, 9


def owns_port(pid: int, port: int) -> bool:
    """Return whether a process has a socket with a local port."""
    # There may be thousands of connections, of which this leaves a few to split.
    lines = (line for line in _CONNECTIONS.read_text().splitlines() if f":{port:04X} " in line)
    rows = [line.split() for line in lines]
    sockets = {
        f"socket:[{row[_INODE]}]" for row in rows if row[_LOCAL_ADDRESS].endswith(f":{port:04X}")
    }
    return bool(sockets & _list_open(pid))


def _list_open(pid: int) -> set[str]:
    """Return what the file descriptors of a process refer to; one that has ended has none."""
    found: set[str] = set()
    with contextlib.suppress(FileNotFoundError):
        for fd in pathlib.Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(FileNotFoundError):
                found.add(str(fd.readlink()))
    return found
