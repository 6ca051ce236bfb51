"""A store, gateways, workers and engines for one trial; all but the store are processes."""

import contextlib
import pathlib
import random
import subprocess
import sys
from collections.abc import AsyncIterator

import msgspec
import trio

from bench.soak import sockets, world
from bench.streams import engines, judge
from cornelgrade import routes
from cornelgrade.platform import directory
from cornelgrade.platform.standins import edge_system, formats, store_server
from cornelgrade.standins import fault_proxy, platform_store

GATEWAYS, WORKERS, ENGINES = 3, 3, 6
# Attempts of a stream or item: enough to come through faults that follow each other.
MAX_ATTEMPTS = 3


class Builds(msgspec.Struct, frozen=True):
    """The checkouts whose gateways and workers run.

    :param first: that of the first start of each.
    :param present: that of all later starts.
    """

    first: pathlib.Path
    present: pathlib.Path


class Daemon(world.Daemon):
    """A gateway or worker whose later starts may be of another build than its first.

    :ivar build: name of the checkout of its present start.
    """

    def __init__(
        self, name: str, role: str, domain: str, folder: pathlib.Path, builds: Builds
    ) -> None:
        super().__init__(name, role, domain, folder)
        self.build = ""
        self._builds = builds

    async def _open(self) -> None:
        programs = self._builds.present if self.build else self._builds.first
        self.build = programs.name
        env = world.program_env(programs)
        env["CORNELGRADE_SETTINGS"] = str(self._settings)
        command = [sys.executable, "-m", "cornelgrade.platform", self.role]
        with self.log.open("ab") as out:
            out.write(f"build={self.build}\n".encode())
            out.flush()
            self._process = await trio.lowlevel.open_process(
                command, env=env, stdout=out, stderr=subprocess.STDOUT
            )


class Rig:
    """Everything that runs in a trial; made by :func:`running`.

    :ivar stranded: names of the gateways that reach no engine.
    :ivar ended_paths: streams without framing whose single connection was ended between two events.
    :ivar uploads: how many faults want callers to send long requests now.
    :ivar routes_change: whether the routes around those that callers use change.
    :ivar problems: what faults and callers found themselves.
    """

    def __init__(self, nursery: trio.Nursery, folder: pathlib.Path, builds: Builds) -> None:
        self.nursery = nursery
        self.engines: list[engines.Engine] = []
        self.daemons: dict[str, Daemon] = {}
        self.store_paths: dict[str, fault_proxy.FaultProxy] = {}
        self.stranded: set[str] = set()
        self.ended_paths: list[judge.End] = []
        self.uploads = 0
        self.routes_change = False
        self.problems: list[str] = []
        self._store = platform_store.MemoryPlatform(edge_system.UNLIMITED)
        self._folder = folder
        self._builds = builds

    @property
    def gateways(self) -> list[Daemon]:
        """All gateways."""
        return self.list_daemons(world.GATEWAY)

    @property
    def early_ends(self) -> list[judge.End]:
        """The responses that engines, or single connections to them, ended early."""
        told = (notice for eng in self.engines for notice in eng.ended_early)
        by_engines = (judge.End(n.ended_early, n.after, framed=n.framed) for n in told)
        return [*by_engines, *self.ended_paths]

    def list_daemons(self, role: str) -> list[Daemon]:
        """Return all gateways, or all workers."""
        return [d for d in self.daemons.values() if d.role == role]

    async def open(
        self, seed: int, engine_settings: dict[str, float], versions: random.Random
    ) -> None:
        """Start everything and wait until callers can come.

        :param engine_settings: see :class:`bench.streams.engine.EngineSettings`.
        :param versions: draws which engines begin as the second version.
        """
        server = store_server.StoreServer(self._store)
        store_address = await self.nursery.start(server.serve, world.LOOPBACK)
        await self.put_plan(edge_system.make_plan(1))
        # A process takes most of a second to start, so all start beside each other.
        async with trio.open_nursery() as starts:
            for number in range(ENGINES):
                version = versions.choice(("v1", "v1", "v2"))
                cfg = engines.settings_of(f"engine-{number}", str(seed), version, **engine_settings)
                eng = engines.Engine(cfg, edge_system.DOMAINS[number % 3], self._is_stranded)
                self.engines.append(eng)
                starts.start_soon(self._open_engine, eng)
            for role, count in ((world.WORKER, WORKERS), (world.GATEWAY, GATEWAYS)):
                for number in range(count):
                    daemon = await self._add_daemon(f"{role}-{number}", role, number, store_address)
                    starts.start_soon(daemon.start)
        with trio.fail_after(world.OPEN_LIMIT_S):
            for daemon in self.gateways:
                while await world.ask_ready(daemon.ready_address) != 200:
                    await trio.sleep(world.POLL_S)

    async def put_plan(self, plan: routes.Plan) -> None:
        """Write a configuration as the operator does."""
        kind, name = directory.Directory.plan_kind, directory.Directory.plan_name
        raw = formats.encode_plan(plan)
        await world.until_done(lambda: self._put(kind, name, raw))

    async def _open_engine(self, eng: engines.Engine) -> None:
        await eng.open(self.nursery)
        await self.register(eng)

    async def _add_daemon(self, name: str, role: str, number: int, store_address: str) -> Daemon:
        domain = edge_system.DOMAINS[number % 3]
        daemon = Daemon(name, role, domain, self._folder, self._builds)
        proxy = fault_proxy.FaultProxy(store_address)
        daemon.configure(await self.nursery.start(proxy.serve, world.LOOPBACK))
        self.daemons[name], self.store_paths[name] = daemon, proxy
        return daemon

    def _is_stranded(self, port: int) -> bool:
        return any(sockets.owns_port(self.daemons[name].pid, port) for name in self.stranded)

    async def register(self, eng: engines.Engine, *, leaving: bool = False) -> None:
        """Write the registration of an engine's present start."""
        up = eng.registration(leaving=leaving)
        raw = formats.encode_entry(up)
        await world.until_done(lambda: self._put(directory.Directory.upstream_kind, up.name, raw))

    async def unregister(self, eng: engines.Engine) -> None:
        """Remove an engine's registration."""
        await world.until_done(lambda: self._remove(directory.Directory.upstream_kind, eng.name))

    async def _remove(self, kind: str, name: str) -> None:
        found = await self._store.get(kind, name)
        if found is not None:
            await self._store.delete(kind, name, found.version)

    async def _put(self, kind: str, name: str, raw: bytes) -> None:
        found = await self._store.get(kind, name)
        if found is None:
            await self._store.create(kind, name, raw)
        else:
            await self._store.update(kind, name, raw, found.version)

    async def close(self) -> None:
        """End every process that was started here."""
        for process in (*self.daemons.values(), *self.engines):
            await process.kill()


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, builds: Builds, seed: int, engine_settings: dict[str, float]
) -> AsyncIterator[Rig]:
    """Run a system until the block ends.

    :param folder: for the logs of its processes.
    """
    async with trio.open_nursery() as nursery:
        system = Rig(nursery, folder, builds)
        try:
            await system.open(seed, engine_settings, random.Random(f"versions {seed}"))
            yield system
        finally:
            with trio.CancelScope(shield=True):
                await system.close()
            nursery.cancel_scope.cancel()
