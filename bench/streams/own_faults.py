"""Faults of a fleet that serves the product's own interface, drawn by a seed."""

import collections
import json
import random
import time
from collections.abc import Awaitable, Callable

import httpx
import msgspec
import trio
from tests.process import harness

from bench.streams import own_judge

KIND_SHARE = 0.5
# Within this time of each other, two ends of paths meet the same streams.
TWICE_S = (0.02, 0.2)
DOWN_S = (0.0, 0.6)
# An engine runs before the manifest names its version, or the manifest never does.
REGISTERED_LATE_S = (0.0, 1.5)
REGISTERED_SHARE = 0.7


class Kind(msgspec.Struct, frozen=True):
    """A kind of fault and its mean pause in seconds."""

    name: str
    inject: Callable[["Faults"], Awaitable[None]]
    pause_s: float


class Faults:
    """Injects faults of some kinds beside each other, and undoes them."""

    def __init__(self, fleet: harness.Fleet, seed: int, config: dict) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.log: list[str] = []
        self._fleet = fleet
        self._seed = seed
        self._rng = random.Random(f"own faults {seed}")
        self._config = config
        self._processes = {process.name: process for process in fleet.processes}
        self._busy: set[str] = set()
        self._manifest = fleet.manifest
        self._manifest_lock = trio.Lock()

    async def run(self, kinds: list[Kind], seconds: float) -> None:
        """Inject faults for a time; those that are at work end by themselves."""
        async with trio.open_nursery() as nursery:
            for kind in kinds:
                nursery.start_soon(self._repeat, kind, trio.current_time() + seconds)

    async def _repeat(self, kind: Kind, until_s: float) -> None:
        rng = random.Random(f"own {self._seed} {kind.name}")
        while True:
            await trio.sleep(rng.expovariate(1 / kind.pause_s))
            if trio.current_time() >= until_s:
                return
            self.counts[kind.name] += 1
            await kind.inject(self)

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic():.3f} {text}")

    def _engine(self) -> str:
        engines = sorted(name for name in self._fleet.upstreams if name.startswith("engine"))
        return self._rng.choice(engines)

    async def _switch(self, name: str, **switches: object) -> None:
        try:
            await trio.to_thread.run_sync(lambda: self._fleet.switch(name, **switches))
        except httpx.HTTPError as exc:
            self._note(f"{name} takes no switch: {exc!r}")

    async def end_paths(self) -> None:
        """End all connections to an engine, which goes on running."""
        name = self._engine()
        self._note(f"{name} paths end")
        await self._switch(f"{name}-proxy", end=True)

    async def end_paths_twice(self) -> None:
        """End all connections to an engine, and soon after that those opened meanwhile."""
        name = self._engine()
        self._note(f"{name} paths end twice")
        await self._switch(f"{name}-proxy", end=True)
        await trio.sleep(self._rng.uniform(*TWICE_S))
        await self._switch(f"{name}-proxy", end=True)

    async def crash_engine(self) -> None:
        """Let an engine reset its connections and be back soon, maybe with another version."""
        name, version = self._engine(), self._draw_version()
        down_s = self._rng.uniform(*DOWN_S)
        self._note(f"{name} crashes, back after {down_s:.2f} s as {version}")
        await self._switch(name, crash=True, restart_s=down_s, next_version=version)
        await trio.sleep(down_s)
        await self._register(name, version)

    async def kill_engine(self) -> None:
        """Kill an engine's process, which closes its connections, and start it again."""
        name, version = self._engine(), self._draw_version()
        process = self._processes[name]
        if name in self._busy:
            return
        self._note(f"{name} is killed, back as {version}")
        config = json.dumps(self._config | {"software_version": version})
        process.args = (*process.args[:-1], config)
        await self._kill(process)
        await self._register(name, version)

    async def kill_gateway(self) -> None:
        """Kill a gateway and start it again."""
        await self._kill(self._rng.choice(self._fleet.vms).gateway)

    async def kill_worker(self) -> None:
        """Kill a worker and start it again."""
        worker = self._rng.choice(self._fleet.vms).worker
        assert worker is not None
        await self._kill(worker)

    async def stop_platform(self) -> None:
        """Let the platform refuse every call for a while."""
        await self._switch("platform", down=True)
        await trio.sleep(self._rng.uniform(0.3, 2.0))
        await self._switch("platform")

    async def _kill(self, process: harness.Process) -> None:
        if process.name in self._busy:
            return
        self._busy.add(process.name)
        self._note(f"{process.name} is killed")
        await trio.to_thread.run_sync(process.kill)
        await trio.sleep(self._rng.uniform(*DOWN_S))
        process.restart()
        self._busy.discard(process.name)

    def _draw_version(self) -> str:
        # An engine that doesn't name its version must not change it before the manifest does.
        if not self._config.get("names_itself", True):
            return own_judge.VERSIONS[0]
        return self._rng.choice(own_judge.VERSIONS)

    async def _register(self, name: str, version: str) -> None:
        """Let the manifest name an engine's version, late or never."""
        if self._rng.random() >= REGISTERED_SHARE:
            return
        await trio.sleep(self._rng.uniform(*REGISTERED_LATE_S))
        async with self._manifest_lock:
            ups = self._manifest["upstreams"]
            changed = [
                up | {"software_version": version} if up["name"] == name else up for up in ups
            ]
            self._manifest = self._manifest | {"upstreams": changed}
            await trio.to_thread.run_sync(self._put_manifest)
        self._note(f"{name} registered as {version}")

    def _put_manifest(self) -> None:
        for vm in range(len(self._fleet.vms)):
            try:
                if self._fleet.put_manifest(self._manifest, vm=vm).is_success:
                    return
            except httpx.HTTPError as exc:
                self._note(f"vm-{vm} takes no manifest: {exc!r}")


KINDS = (
    Kind("engine killed", Faults.kill_engine, 2.0),
    Kind("engine crashed", Faults.crash_engine, 1.0),
    Kind("paths ended", Faults.end_paths, 0.8),
    Kind("paths ended twice", Faults.end_paths_twice, 1.5),
    Kind("gateway killed", Faults.kill_gateway, 4.0),
    Kind("worker killed", Faults.kill_worker, 4.0),
    Kind("platform out", Faults.stop_platform, 3.0),
)


def draw_kinds(seed: int) -> list[Kind]:
    """Return the kinds of a seed."""
    return [k for k in KINDS if random.Random(f"own {seed} {k.name}").random() < KIND_SHARE]
