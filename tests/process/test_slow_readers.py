"""A small gateway with many callers that read slowly stays within its memory and serves others."""

import contextlib
import pathlib
import socket
import statistics

import trio
from bench.soak import world
from tests.edge import test_endless_bytes

from cornelgrade import addresses, routes
from cornelgrade.platform import directory
from cornelgrade.platform.standins import edge_system, formats

READERS = 200
MEMORY_BYTES = 200_000_000
RESPONSE_BYTES = 1_000_000
OTHERS = 40
HEAD = b"HTTP/1.1 200 OK\r\nx-response-signature: s\r\ncontent-type: text/plain\r\n"


async def serve_upstream(task_status):
    """Respond with a large body to paths that contain ``large``, else with a small one."""

    async def respond(stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            request = await stream.receive_some(65_536)
            if request.startswith(b"GET"):
                await stream.send_all(test_endless_bytes.REPORT)
            else:
                size = RESPONSE_BYTES if b"large" in request.split(b"\r\n")[0] else 10
                await stream.send_all(HEAD + b"content-length: %d\r\n\r\n" % size + b"x" * size)
        await stream.aclose()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    task_status.started(f"127.0.0.1:{port}")
    await trio.serve_listeners(respond, listeners)


async def read_slowly(address, number, nursery):
    """Send a request for a large response, and read a few bytes of it now and then."""
    fields = {"host": edge_system.HOST, **formats.online_headers(f"slow-{number}", 4.5)}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    await sock.connect(addresses.split_host_port(address))
    await sock.send(f"POST {edge_system.ONCE_PREFIX}large HTTP/1.1\r\n{lines}\r\n".encode())
    with contextlib.suppress(OSError):
        while await sock.recv(1_024):
            await trio.sleep(0.5)


async def time_others(address):
    """Return how long others' requests take, all of which have to succeed."""
    times_s = []
    for number in range(OTHERS):
        started_s = trio.current_time()
        fields = {"host": edge_system.HOST, **formats.online_headers(f"other-{number}", 4.5)}
        target = f"{edge_system.ONCE_PREFIX}small".encode()
        got = await edge_system.call(address, "POST", target, fields, b"")
        assert (got.status, got.complete) == (200, True)
        times_s.append(trio.current_time() - started_s)
    return times_s


def count_resident_bytes(pid):
    """Return the memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(resident.split()[1]) * 1024


def list_unread_bytes(address):
    """Return what the kernel holds for each connection to an address whose client doesn't read."""
    port = f":{addresses.split_host_port(address)[1]:04X}"
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    unread = [int(found[4].split(":")[0], 16) for found in fields if found[1].endswith(port)]
    return [size for size in unread if size]


# Guards against memory that grows with the callers that read slowly, and against others' waits.
async def test_gateway_with_slow_readers_stays_within_its_memory_and_serves_others(tmp_path):
    async with world.running(tmp_path, gateways=1, workers=0, engines=0) as system:
        gateway = system.gateways[0]
        upstream = await system.nursery.start(serve_upstream)
        up = routes.Upstream("big", edge_system.SERVICE, upstream, "north", 2 * READERS)
        await system.store.create(
            directory.Directory.upstream_kind, up.name, formats.encode_entry(up)
        )
        await trio.sleep(1.0)
        before_s = await time_others(gateway.caller_address)
        async with trio.open_nursery() as nursery:
            for number in range(READERS):
                nursery.start_soon(read_slowly, gateway.caller_address, number, nursery)
            await trio.sleep(1.5)
            during_s = await time_others(gateway.caller_address)
            unread_bytes = list_unread_bytes(gateway.caller_address)
            used_bytes = count_resident_bytes(gateway.pid) + sum(unread_bytes)
            nursery.cancel_scope.cancel()
        print(
            f"readers {len(unread_bytes)}, memory {used_bytes / 1e6:.0f} MB, "
            f"kernel {sum(unread_bytes) / 1e6:.0f} MB, "
            f"median {statistics.median(before_s):.4f} s before, "
            f"{statistics.median(during_s):.4f} s and at most {max(during_s):.4f} s beside them"
        )
    assert len(unread_bytes) > 0.9 * READERS
    assert used_bytes < MEMORY_BYTES
    assert max(during_s) < 0.3
