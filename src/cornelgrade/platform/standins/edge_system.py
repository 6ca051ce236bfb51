"""Gateways, workers, engines and a store in one process on loopback, for tests and measurements."""

import contextlib
import dataclasses
import socket
import sys

import msgspec
import trio

from cornelgrade import edge_daemons, kernel, routes, settings
from cornelgrade.adapters import engine as engine_port
from cornelgrade.adapters import http1, platform
from cornelgrade.platform import calls, jobs
from cornelgrade.platform.standins import formats, stream_engine
from cornelgrade.services.edge import peers, ports
from cornelgrade.standins import platform_store

HOST = "questions.example"
SERVICE = "llm"
DOMAINS = ("north", "south", "east")
ONCE = "/once/"
RESUMED = "/resumed/"
NOTES = "/notes/"
PATIENCE_S = 5.0
READ_WAIT_S = 1.0
UNLIMITED = platform_store.Switches(writes_per_s=0, reads_per_s=0)


class Store(platform_store.MemoryPlatform):
    """Lists all objects for a watch that begins, as :class:`objects.Objects` does."""

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Wait for changes behind ``after``; with 0, give all objects that there are now."""
        if after:
            return await super().watch(kind, prefix, after, wait_s)
        # Taken first: a watch from here may show a change again, but never misses one.
        version = self.version
        return platform.Changes(version, await self.list(kind, prefix, limit=sys.maxsize))


class Directory:
    """Keeps plans and registrations as JSON of the project's own types."""

    plan_kind = "plans"
    plan_name = "current"
    upstream_kind = "upstreams"

    def plan(self, value: bytes) -> routes.Plan | None:
        """Decode a plan."""
        return msgspec.json.decode(value, type=routes.Plan)

    def upstream(self, name: str, value: bytes) -> routes.Upstream | None:
        """Decode a registration."""
        return msgspec.json.decode(value, type=routes.Upstream)


class Retirements:
    """Remembers what operators were told."""

    kind = "retired-vms"

    def __init__(self) -> None:
        self.told: list[tuple[str, ports.RetirementState]] = []

    async def report_state(self, vm: str, state: ports.RetirementState) -> None:
        """Remember what was told."""
        self.told.append((vm, state))


def a_route(name: str, prefix: str, kind: routes.RouteKind, **more) -> routes.Route:
    """Make a route to :data:`SERVICE`."""
    made = routes.Route(name, HOST, prefix, kind, (routes.Target(SERVICE),))
    return dataclasses.replace(made, **{"timeout_s": 5.0, "aim_s": 0.3, **more})


def a_plan(version: int = 1, **terms) -> routes.Plan:
    """Make a plan with a route of each kind; ``terms`` are those of its jobs."""
    stream, batch = routes.RouteKind.STREAM, routes.RouteKind.BATCH
    return routes.Plan(
        version,
        (
            a_route("once", ONCE, stream, gap_aim_s=0.2),
            a_route("resumed", RESUMED, stream, gap_aim_s=0.2, resumable=True, max_attempts=2),
            a_route("notes", NOTES, batch, max_attempts=3, job_policy=routes.JobPolicy(**terms)),
        ),
        (routes.Service(SERVICE),),
    )


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Find a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got.

    :param whole: whether the answer came to its proper end.
    :param first_at_s: when its first part came, on trio's clock.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    first_at_s: float


@dataclasses.dataclass
class Node:
    """One process of the system, in this process."""

    cfg: settings.EdgeSettings
    kern: kernel.Kernel
    drain: edge_daemons.Drain
    scope: trio.CancelScope


class System:
    """A running system; made by :func:`running`."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = Store(UNLIMITED)
        self.nursery = nursery
        self.nodes: dict[str, Node] = {}
        self.retirements = Retirements()
        self.engines: dict[str, stream_engine.StreamEngine] = {}

    async def plan(self, plan: routes.Plan) -> None:
        """Put a plan in force."""
        await self._put(Directory.plan_kind, Directory.plan_name, plan)

    async def engine(self, name: str, domain: str = "north", **more) -> stream_engine.StreamEngine:
        """Start an engine and register it."""
        made = stream_engine.StreamEngine(name, **more)
        self.engines[name] = made
        await self.nursery.start(made.run)
        await self.register(made.upstream(SERVICE, domain))
        return made

    async def register(self, upstream: routes.Upstream) -> None:
        """Write a registration."""
        await self._put(Directory.upstream_kind, upstream.name, upstream)

    async def _put(self, kind: str, name: str, value: object) -> None:
        raw = msgspec.json.encode(value)
        found = await self.store.get(kind, name)
        if found:
            await self.store.update(kind, name, raw, found.version)
        else:
            await self.store.create(kind, name, raw)

    async def gateway(self, name: str, domain: str = "north") -> Node:
        """Start a gateway."""
        return await self._node(name, domain, edge_daemons.add_gateway)

    async def worker(self, name: str, domain: str = "north") -> Node:
        """Start a worker."""
        return await self._node(name, domain, edge_daemons.add_worker)

    async def _node(self, name: str, domain: str, assemble: edge_daemons.Assemble) -> Node:
        cfg = settings.EdgeSettings(
            vm=name,
            failure_domain=domain,
            caller_address=f"127.0.0.1:{free_port()}",
            ready_address=f"127.0.0.1:{free_port()}",
            peer_address=f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}",
            store_address="127.0.0.1:1",
        )
        dependencies = edge_daemons.Dependencies(
            self.store, Directory(), calls.Calls(), jobs.JobCalls(), self.retirements
        )
        kern = kernel.Kernel()
        drain = assemble(kern, cfg, dependencies)
        node = Node(cfg, kern, drain, trio.CancelScope())
        self.nodes[name] = node
        await self.nursery.start(self._run, node)
        return node

    @staticmethod
    async def _run(node: Node, task_status: trio.TaskStatus[None]) -> None:
        with node.scope:
            await node.kern.run(task_status)

    async def ready(self, gateway: str) -> int:
        """Ask whether a gateway is ready, as a status."""
        address = self.nodes[gateway].cfg.ready_address
        assert address is not None
        return (await call(address, "GET", b"/ready", {}, b"")).status

    async def until_ready(self, gateway: str) -> None:
        """Wait until a gateway is ready."""
        with trio.fail_after(5):
            while await self.ready(gateway) != 200:
                await trio.sleep(0.02)

    async def until_acquainted(self) -> None:
        """Wait until all processes have heard each other's workers."""
        workers = sorted(name for name in self.nodes if name.startswith("worker"))
        with trio.fail_after(5):
            for node in self.nodes.values():
                known = node.kern.find("peers", peers.Peers)
                while sorted(known.live_vms(peers.Role.WORKER)) != workers:
                    await trio.sleep(0.02)

    async def ask(
        self, gateway: str, path: str, request: str, body: bytes = b"question", **headers: str
    ) -> Answer:
        """Send an online request."""
        sent = {**formats.online_headers(request, PATIENCE_S), **_named(headers)}
        return await self.send(gateway, "POST", path, sent, body)

    async def send(
        self, gateway: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Make a call at a gateway."""
        address = self.nodes[gateway].cfg.caller_address
        assert address is not None
        return await call(address, method, path.encode(), {"host": HOST, **headers}, body)

    async def submit(self, gateway: str, job: str, items: dict[str, bytes]) -> Answer:
        """Send a job of items with their bodies."""
        raw = formats.job_body(NOTES, items)
        return await self.send(gateway, "POST", f"{NOTES}{job}", formats.request_headers(job), raw)

    async def results(self, gateway: str, job: str, after: int) -> list[tuple[str, str]]:
        """Wait a second for results from a position on; gives items and their texts."""
        target = formats.job_target(job, after)
        got = await self.send(gateway, "GET", target, formats.wait_headers(READ_WAIT_S))
        return [(item, text) for item, _, text in formats.results(got.body)]


def _named(headers: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-"): value for name, value in headers.items()}


async def call(
    address: str, method: str, target: bytes, headers: dict[str, str], body: bytes
) -> Answer:
    """Make one call and take what comes, also where it breaks off."""
    sent = tuple((k.encode(), v.encode()) for k, v in {"host": address, **headers}.items())
    with await http1.connect(address, 1.0) as channel:
        await channel.send(method, target, sent, body)
        head = await channel.head()
        parts: list[bytes] = []
        found = {k.decode(): v.decode() for k, v in head.headers}
        first_at_s = trio.current_time()
        whole = True
        try:
            while part := await channel.body():
                first_at_s = first_at_s if parts else trio.current_time()
                parts.append(part)
        except engine_port.CallError:
            whole = False
        return Answer(head.status, found, b"".join(parts), whole, first_at_s)


@contextlib.asynccontextmanager
async def running(*, gateways: int = 1, workers: int = 0, engines: int = 1, **engine):
    """Run a system whose parts are spread over the failure domains in turn."""
    async with trio.open_nursery() as nursery:
        system = System(nursery)
        await system.plan(a_plan())
        for number in range(engines):
            await system.engine(f"engine-{number}", DOMAINS[number % 3], **engine)
        for number in range(workers):
            await system.worker(f"worker-{number}", DOMAINS[number % 3])
        for number in range(gateways):
            await system.gateway(f"gateway-{number}", DOMAINS[number % 3])
        for number in range(gateways):
            await system.until_ready(f"gateway-{number}")
        await system.until_acquainted()
        yield system
        nursery.cancel_scope.cancel()


def outage(store: platform_store.MemoryPlatform, *, down: bool) -> None:
    """Begin or end an outage of the store."""
    store.switch(msgspec.structs.replace(UNLIMITED, down=down))
