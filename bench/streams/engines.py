"""Engines as processes behind proxies, which end, start again and register late."""

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Callable

import msgspec
import trio

from bench.soak import world
from bench.streams import engine
from cornelgrade import routes
from cornelgrade.platform.standins import edge_system, stream_engine
from cornelgrade.standins import fault_proxy, local_ports

READ_BYTES = 65_536


class Engine:
    """An engine that may start again under its id.

    :param refuses: whether its proxy refuses connections from a port.

    :ivar held: a fault is at work on it.
    :ivar started_ms: Unix time of its present start in milliseconds.
    :ivar ended_early: the responses that it ended early.
    """

    def __init__(
        self, cfg: engine.EngineSettings, domain: str, refuses: Callable[[int], bool]
    ) -> None:
        self.name = cfg.name
        self.held = False
        self.started_ms = 0
        self.ended_early: list[engine.Notice] = []
        self.proxy = fault_proxy.FaultProxy(cfg.address, refuses)
        self._cfg = cfg
        self._domain = domain
        self._proxy_address = ""
        self._process: trio.Process | None = None
        self._starts = 0

    @property
    def version(self) -> str:
        """The version of its present start, or of its last one."""
        return self._cfg.version

    def encode_first(self, request: str) -> bytes:
        """Encode the first event of its response to a request."""
        return stream_engine.encode_event(f"{request}@{self.version}", 1)

    async def open(self, nursery: trio.Nursery) -> None:
        """Start its proxy and the engine."""
        self._proxy_address = await nursery.start(self.proxy.serve, world.LOOPBACK)
        await self.start(nursery, self.version)

    async def start(self, nursery: trio.Nursery, version: str) -> None:
        """Start it, also again, and wait until it listens.

        :raises TooSlowError: if it does not in time.
        """
        self._starts += 1
        seed = f"{self.name} {self._cfg.seed} {self._starts}"
        self._cfg = msgspec.structs.replace(self._cfg, version=version)
        sent = msgspec.json.encode(msgspec.structs.replace(self._cfg, seed=seed)).decode()
        self._process = await trio.lowlevel.open_process(
            [sys.executable, "-m", engine.__name__, sent],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=world.program_env(world.ROOT),
            cwd=world.ROOT,
        )
        listening = trio.Event()
        nursery.start_soon(self._read_notices, self._process, listening)
        with trio.fail_after(world.START_LIMIT_S):
            await listening.wait()

    async def _read_notices(self, process: trio.Process, listening: trio.Event) -> None:
        rest = b""
        assert process.stdout is not None
        while part := await process.stdout.receive_some(READ_BYTES):
            *lines, rest = (rest + part).split(b"\n")
            for line in lines:
                notice = msgspec.json.decode(line, type=engine.Notice)
                if notice.started_ms:
                    self.started_ms = notice.started_ms
                    listening.set()
                else:
                    self.ended_early.append(notice)

    async def kill(self) -> None:
        """End it at once; its kernel closes its connections."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to its present process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    def send(self, command: engine.Command) -> None:
        """Send a command to its present process; one that comes after the end is lost."""
        if self._process is not None and self._process.stdin is not None:
            # One write is whole in the pipe, also beside that of another fault.
            with contextlib.suppress(OSError):
                os.write(self._process.stdin.fileno(), msgspec.json.encode(command) + b"\n")

    def registration(self, *, leaving: bool = False) -> routes.Upstream:
        """Return what its present start registers."""
        return routes.Upstream(
            self.name,
            edge_system.SERVICE,
            self._proxy_address,
            self._domain,
            slots=16,
            leaving=leaving,
            started_ms=self.started_ms,
            version=self.version,
        )


def settings_of(name: str, seed: str, version: str, **faults: float) -> engine.EngineSettings:
    """Return the settings of an engine on a free port."""
    return engine.EngineSettings(name, local_ports.free_address(), version, seed, **faults)
