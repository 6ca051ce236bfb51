"""What the soak of the platform's programs runs: processes, proxies, engines and a store."""

import collections
import contextlib
import dataclasses
import functools
import itertools
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Collection

import msgspec
import trio

from bench.soak import cut_links, sockets, teams
from cornelgrade import addresses, routes
from cornelgrade.adapters import platform
from cornelgrade.platform import directory
from cornelgrade.platform.standins import edge_system, formats, store_server, stream_engine
from cornelgrade.standins import fault_proxy, local_ports, platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1:0"
GATEWAY, WORKER = "gateway", "worker"
# The fault of a gateway that reaches no engine.
STRANDED = "stranded"
# The fault of a store that responds, but late.
SLOW = "store slow"
# The fault of an engine that ends answers between two events and goes on running.
ENDS_EARLY = "ends early"
# Names this process among the parts that faults touch.
OWN = "soak"
# Changes that the store's watches can look back on: few, so that an outage outlasts them.
HISTORY = 200
GRACE_S = 8.0
# A process that has been told to stop may take its grace, and a moment to be waited for.
STOP_LIMIT_S = GRACE_S + 1.0
WRITE_PAUSE_S = 0.05
# A process needs about a second of a busy core to import its libraries.
START_LIMIT_S = 15.0
START_PAUSE_S = 0.05
# All of them start at once on one machine, and a gateway is ready once it knows an engine.
OPEN_LIMIT_S = 20.0
POLL_S = 0.1
# Well under the least silence after which a gateway leaves an engine, 0.6 s.
STALL_S = 0.15
STALL_PAUSE_S = 0.05
READY_PAUSE_S = 0.5
READY_TIMEOUT_S = 0.5
EVENTS = 10
EVENT_S = 0.04
ONCE, RESUMED, NOTES = (
    edge_system.ONCE_PREFIX,
    edge_system.RESUMABLE_PREFIX,
    edge_system.NOTES_PREFIX,
)
# Body of the request that crashes engines, and how long each is down then.
CULPRIT = b"crashes the engine"
CULPRIT_DOWN_S = 1.0
# Parts of prompts: the first one of all requests, and one that crashes engines.
FIRST_PART, CULPRIT_PART = "f125", "bad0"
MAX_ATTEMPTS = 2
ITEM_ATTEMPTS = 5


@dataclasses.dataclass(slots=True)
class Window:
    """A time in which a fault touched one part of the system, on trio's clock."""

    part: str
    fault: str
    begin_s: float
    end_s: float = math.inf

    def touches(self, begin_s: float, end_s: float) -> bool:
        """Whether it overlaps a span of time."""
        return self.begin_s <= end_s and begin_s <= self.end_s

    def overlap_s(self, begin_s: float, end_s: float) -> float:
        """Return for how long it overlaps a span of time."""
        return max(0.0, min(self.end_s, end_s) - max(self.begin_s, begin_s))


class Daemon:
    """One gateway or worker as a process, restarted by :meth:`start`.

    :ivar held: a fault is at work on the process, so that no other one may begin.
    :ivar rotation: whether callers are sent to it.
    """

    def __init__(self, name: str, role: str, domain: str, folder: pathlib.Path) -> None:
        self.name = name
        self.role = role
        self.domain = domain
        self.held = False
        self.rotation = False
        self.caller_address = local_ports.free_address() if role == GATEWAY else ""
        self.ready_address = local_ports.free_address() if role == GATEWAY else ""
        self.peer_address = local_ports.free_address()
        self.log = folder / f"{name}.log"
        self.metrics_address = local_ports.free_address()
        self._settings = folder / f"{name}.json"
        self._cuts = folder / f"{name}.cuts"
        self._process: trio.Process | None = None

    def configure(self, store_address: str) -> None:
        """Write its settings."""
        cfg = {
            "vm": self.name,
            "failure_domain": self.domain,
            "peer_address": self.peer_address,
            "metrics_address": self.metrics_address,
            "store_address": store_address,
            "stop_grace_s": GRACE_S,
        }
        if self.role == GATEWAY:
            cfg |= {"caller_address": self.caller_address, "ready_address": self.ready_address}
        self._settings.write_bytes(msgspec.json.encode(cfg))

    async def start(self) -> None:
        """Start the process, also again, and wait until it listens.

        :raises TooSlowError: if it does not in time.
        """
        await self._open()
        with trio.fail_after(START_LIMIT_S):
            while not await self._listens():
                await trio.sleep(START_PAUSE_S)

    async def _listens(self) -> bool:
        return await _accepts(self.caller_address or self.metrics_address)

    async def _open(self) -> None:
        env = program_env(ROOT) | {
            "CORNELGRADE_SETTINGS": str(self._settings),
            cut_links.CUTS_VARIABLE: str(self._cuts),
        }
        command = [sys.executable, "-m", cut_links.__name__, self.role]
        with self.log.open("ab") as out:
            self._process = await trio.lowlevel.open_process(
                command, env=env, stdout=out, stderr=subprocess.STDOUT
            )

    def cut_off(self, cuts: cut_links.Cuts) -> None:
        """Replace what it can't send to its peers, also after a restart."""
        cuts.write(self._cuts)

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal; one that comes after the end is lost."""
        with contextlib.suppress(ProcessLookupError):
            self._alive.send_signal(signum)

    async def wait(self) -> int:
        """Wait for its end and give the exit code."""
        return await self._alive.wait()

    async def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        await self.wait()

    @property
    def pid(self) -> int:
        """The id of the process that runs now, or ran last."""
        return self._alive.pid

    @property
    def _alive(self) -> trio.Process:
        if self._process is None:
            raise RuntimeError(f"{self.name} was never started")
        return self._process


@dataclasses.dataclass(slots=True)
class NamedLimit:
    """A rate limit in requests a second that an engine named for a time."""

    per_s: float
    begin_s: float
    end_s: float = math.inf


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine behind a proxy, and the registration that names the proxy.

    :ivar limits: the rate limits that its answers named.
    :ivar left_s: when its registration said that it leaves.
    :ivar said_leaving_s: when its answers began to say so.
    """

    stand_in: stream_engine.StreamEngine
    proxy: fault_proxy.FaultProxy
    address: str
    domain: str
    held: bool = False
    left_s: float | None = None
    said_leaving_s: float | None = None
    limits: list[NamedLimit] = dataclasses.field(default_factory=list)

    async def wait_until_up(self) -> None:
        """Wait until the engine accepts connections again after a crash."""
        while not await _accepts(self.stand_in.address):
            await trio.sleep(START_PAUSE_S)


class World:
    """Everything that runs; made by :func:`running`.

    :param crashing: whether :data:`CULPRIT` and :data:`CULPRIT_PART` crash engines.
    :param with_teams: whether the plan has teams, so that callers need keys.
    :param engine_age_s: for how long engines say that they have run when they are added.
    :ivar uploads: how many faults want callers to send long requests now.
    :ivar hot_until_s: until when one team sends far more than it may, on trio's clock.
    :ivar plans: when each version of the plan was written, by version.
    :ivar stranded: the processes that reach no engine.
    :ivar engine_faults: the faults of an engine on which no other fault is at work.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        folder: pathlib.Path,
        *,
        crashing: bool = False,
        with_teams: bool = False,
        engine_age_s: float = 0.0,
    ) -> None:
        self.uploads = 0
        self._engine_age_s = engine_age_s
        self.nursery = nursery
        self.keyring = teams.Keyring(teams.TEAMS if with_teams else None)
        self.hot_until_s = -math.inf
        self.engine_faults = stream_engine.Faults(
            crash_on=CULPRIT if crashing else b"",
            crash_on_part=CULPRIT_PART if crashing else "",
            down_s=CULPRIT_DOWN_S,
        )
        self.folder = folder
        switches = edge_system.UNLIMITED
        self.store = platform_store.MemoryPlatform(switches, history_limit=HISTORY)
        self.daemons: dict[str, Daemon] = {}
        self.engines: dict[str, Engine] = {}
        self._engine_numbers = itertools.count()
        self.stranded: set[Daemon] = set()
        self.store_paths: dict[str, fault_proxy.FaultProxy] = {}
        self.windows: list[Window] = []
        self.problems: list[str] = []
        self.plans: dict[int, float] = {}
        # How many faults cut each link between two processes, by sender and receiver.
        self._cut_links: collections.Counter[tuple[str, str]] = collections.Counter()
        self._server = store_server.StoreServer(self.store)
        self._store_address = ""
        self._planning = trio.Lock()

    @contextlib.contextmanager
    def window(self, part: str, fault: str):
        """Remember that a fault is at work on one part of the system."""
        made = Window(part, fault, trio.current_time())
        self.windows.append(made)
        try:
            yield made
        finally:
            made.end_s = trio.current_time()

    def touched(self, parts: set[str], begin_s: float, end_s: float) -> bool:
        """Whether a fault touched one of these parts within a span of time."""
        return any(w.part in parts and w.touches(begin_s, end_s) for w in self.windows)

    @contextlib.contextmanager
    def cutting(self, links: Collection[tuple[str, str]]):
        """Cut links between processes, each from a sender to a receiver, until the block ends.

        No process is at fault, and each still reaches the store.
        """
        with contextlib.ExitStack() as stack:
            for sender, receiver in links:
                stack.enter_context(self.window(f"{sender} to {receiver}", "cut"))
            self._cut_links.update(links)
            self._write_cuts()
            try:
                yield
            finally:
                self._cut_links.subtract(links)
                self._write_cuts()

    def _write_cuts(self) -> None:
        cut = [link for link, faults in self._cut_links.items() if faults]
        for name, daemon in self.daemons.items():
            one_way = {receiver for sender, receiver in cut if sender == name}
            either_way = one_way | {sender for sender, receiver in cut if receiver == name}
            lost, closed = map(self._list_addresses, (one_way, either_way))
            daemon.cut_off(cut_links.Cuts(datagrams=lost, connections=closed))

    def _list_addresses(self, names: set[str]) -> frozenset[str]:
        return frozenset(self.daemons[name].peer_address for name in names)

    def stalled_s(self, begin_s: float = -math.inf, end_s: float = math.inf) -> float:
        """Return for how long of a span of time this process stood still, see :data:`STALL_S`."""
        return sum(w.overlap_s(begin_s, end_s) for w in self.windows if w.part == OWN)

    def attempts(self, request: str) -> list[tuple[Engine, stream_engine.ReceivedRequest]]:
        """Give what reached the engines of one request."""
        return [
            (engine, seen)
            for engine in self.engines.values()
            for seen in engine.stand_in.seen
            if seen.request == request
        ]

    async def open(self, gateways: int, workers: int, engines: int) -> None:
        """Start everything and wait until callers can come."""
        self._store_address = await self.nursery.start(self._server.serve, LOOPBACK)
        await self.change()
        for number in range(engines):
            await self.add_engine(edge_system.DOMAINS[number % 3])
        for role, count in ((WORKER, workers), (GATEWAY, gateways)):
            for number in range(count):
                await self._add_daemon(f"{role}-{number}", role, edge_system.DOMAINS[number % 3])
        self.nursery.start_soon(self._balance)
        self.nursery.start_soon(self._watch_itself)
        with trio.fail_after(OPEN_LIMIT_S):
            while not all(d.rotation for d in self.gateways):
                await trio.sleep(POLL_S)

    @property
    def gateways(self) -> list[Daemon]:
        """All gateways."""
        return [d for d in self.daemons.values() if d.role == GATEWAY]

    async def change(self, keys: random.Random | None = None) -> None:
        """Write the next version of the plan.

        :param keys: draws which team's key is replaced; ``None`` for no change of keys.
        """
        async with self._planning:
            if keys is not None:
                self.keyring.rotate(keys)
            await self._plan(max(self.plans, default=0) + 1)

    async def _plan(self, version: int) -> None:
        """Write a version of the plan; its number is also the path of a route of its own."""
        own = edge_system.make_route("mark", mark(version), routes.RouteKind.STREAM, gap_aim_s=0.2)
        base = edge_system.make_plan(version, teams=self.keyring.teams)
        listed = tuple(
            (
                dataclasses.replace(route, max_attempts=ITEM_ATTEMPTS)
                if route.kind is routes.RouteKind.BATCH
                else route
            )
            for route in base.routes
        )
        plan = dataclasses.replace(base, routes=(*listed, own))
        kinds = directory.Directory
        self.keyring.record_version(version, trio.current_time())
        raw = formats.encode_plan(plan, self.keyring.current)
        await self._put(kinds.plan_kind, kinds.plan_name, raw)
        self.plans[version] = trio.current_time()

    async def add_engine(self, domain: str, version: str = "v1") -> Engine:
        """Start an engine behind its proxy and register it."""
        # Counted before anything is awaited: of two engines of one name, one would go unseen.
        name = f"engine-{next(self._engine_numbers)}"
        made = stream_engine.StreamEngine(name, events=EVENTS, event_s=EVENT_S, version=version)
        made.tells_version = True
        made.faults = self.engine_faults
        made.started_ms = int((time.time() - self._engine_age_s) * 1000)
        made.on_crash = functools.partial(self._record_crash, name)
        proxy = fault_proxy.FaultProxy(await self.nursery.start(made.run), self._is_stranded)
        address = await self.nursery.start(proxy.serve, LOOPBACK)
        engine = Engine(made, proxy, address, domain)
        self.engines[name] = engine
        await self.register(engine)
        return engine

    def _is_stranded(self, port: int) -> bool:
        """Whether a connection comes from a process that reaches no engine."""
        return any(sockets.owns_port(daemon.pid, port) for daemon in self.stranded)

    def _record_crash(self, engine: str, down_s: float) -> None:
        now_s = trio.current_time()
        self.windows.append(Window(engine, "crash", now_s, now_s + down_s))
        self.nursery.start_soon(self._register_next_start, self.engines[engine], down_s)

    async def _register_next_start(self, engine: Engine, down_s: float) -> None:
        await trio.sleep(down_s)
        await engine.wait_until_up()
        if engine.left_s is None and engine.said_leaving_s is None:
            await self.register(engine)

    async def register(self, engine: Engine, *, leaving: bool = False) -> None:
        """Write an engine's entry."""
        up = dataclasses.replace(
            engine.stand_in.upstream(edge_system.SERVICE, engine.domain),
            address=engine.address,
            leaving=leaving,
        )
        await self._put(directory.Directory.upstream_kind, up.name, formats.encode_entry(up))

    async def unregister(self, engine: Engine) -> None:
        """Remove an engine's entry."""
        kind = directory.Directory.upstream_kind

        async def remove() -> None:
            found = await self.store.get(kind, engine.stand_in.name)
            if found is not None:
                await self.store.delete(kind, found.name, found.version)

        await until_done(remove)

    async def _put(self, kind: str, name: str, raw: bytes) -> None:
        async def write() -> None:
            found = await self.store.get(kind, name)
            if found is None:
                await self.store.create(kind, name, raw)
            elif found.value != raw:
                await self.store.update(kind, name, raw, found.version)

        await until_done(write)

    async def _add_daemon(self, name: str, role: str, domain: str) -> None:
        daemon = Daemon(name, role, domain, self.folder)
        proxy = fault_proxy.FaultProxy(self._store_address)
        daemon.configure(await self.nursery.start(proxy.serve, LOOPBACK))
        self.daemons[name] = daemon
        self.store_paths[name] = proxy
        await daemon.start()

    async def _watch_itself(self) -> None:
        """Note when this process stood still: its engines were silent meanwhile."""
        while True:
            before_s = trio.current_time()
            await trio.sleep(STALL_PAUSE_S)
            now_s = trio.current_time()
            if now_s - before_s > STALL_PAUSE_S + STALL_S:
                self.windows.append(Window(OWN, "stall", before_s, now_s))

    async def _balance(self) -> None:
        """Ask each gateway whether it is ready, as a balancer does."""
        while True:
            for daemon in self.gateways:
                self.nursery.start_soon(self._ask_ready, daemon)
            await trio.sleep(READY_PAUSE_S)

    async def _ask_ready(self, daemon: Daemon) -> None:
        daemon.rotation = await ask_ready(daemon.ready_address) == 200

    async def close(self) -> None:
        """End every process that was started here."""
        for daemon in self.daemons.values():
            await daemon.kill()


def program_env(checkout: pathlib.Path) -> dict[str, str]:
    """Return the environment of a process that runs the programs of a checkout."""
    path = os.pathsep.join((str(checkout / "src"), str(checkout)))
    return {**os.environ, "PYTHONPATH": path}


async def until_done(write: Callable[[], Awaitable[None]]) -> None:
    """Try a write of an operator or an engine until the store has taken it."""
    while True:
        try:
            return await write()
        except (platform.UnavailableError, platform.ConflictError):
            await trio.sleep(WRITE_PAUSE_S)


async def _accepts(address: str) -> bool:
    """Whether something listens at an address."""
    host, port = addresses.split_host_port(address)
    try:
        await (await trio.open_tcp_stream(host, port)).aclose()
    except OSError:
        return False
    return True


def mark(version: int) -> str:
    """Give the path that only this version of the plan serves."""
    return f"/plan-{version}/"


async def ask_ready(address: str) -> int:
    """Return the status of a readiness check, 0 if none came in time."""
    with trio.move_on_after(READY_TIMEOUT_S), contextlib.suppress(Exception):
        return (await edge_system.call(address, "GET", b"/ready", {}, b"")).status
    return 0


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, gateways: int, workers: int, engines: int, **kinds: bool
) -> AsyncIterator[World]:
    """Run a system until the block ends.

    :param kinds: of faults and callers, see :class:`World`.
    """
    async with trio.open_nursery() as nursery:
        world = World(nursery, folder, **kinds)
        try:
            await world.open(gateways, workers, engines)
            yield world
        finally:
            with trio.CancelScope(shield=True):
                await world.close()
            nursery.cancel_scope.cancel()
