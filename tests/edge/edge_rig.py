"""Gateways, workers, engines and a store in one process on loopback."""

import contextlib
import dataclasses
import socket

import msgspec
import trio

from cornelgrade import edge_daemons, kernel, routes, settings
from cornelgrade.adapters import engine as engine_port
from cornelgrade.adapters import http1
from cornelgrade.platform import calls, jobs
from cornelgrade.services.edge import peers, ports
from cornelgrade.standins import platform_store, stream_engine

HOST = "questions.example"
SERVICE = "llm"
DOMAINS = ("north", "south", "east")
ONCE = "/once/"
RESUMED = "/resumed/"
NOTES = "/notes/"


class Directory:
    """Keeps plans and registrations as JSON of the project's own types."""

    plan_kind = "plans"
    plan_name = "current"
    upstream_kind = "upstreams"

    def plan(self, value: bytes) -> routes.Plan | None:
        return msgspec.json.decode(value, type=routes.Plan)

    def upstream(self, name: str, value: bytes) -> routes.Upstream | None:
        return msgspec.json.decode(value, type=routes.Upstream)


class Retirements:
    """Remembers what operators were told."""

    kind = "retired-vms"

    def __init__(self) -> None:
        self.told: list[tuple[str, ports.Emptying]] = []

    async def tell(self, vm: str, emptying: ports.Emptying) -> None:
        self.told.append((vm, emptying))


def a_route(name: str, prefix: str, kind: routes.RouteKind, **more) -> routes.Route:
    made = routes.Route(name, HOST, prefix, kind, (routes.Target(SERVICE),))
    return dataclasses.replace(made, **{"timeout_s": 5.0, "aim_s": 0.3, **more})


def a_plan(version: int = 1, **terms) -> routes.Plan:
    stream, batch = routes.RouteKind.STREAM, routes.RouteKind.BATCH
    return routes.Plan(
        version,
        (
            a_route("once", ONCE, stream, gap_aim_s=0.2),
            a_route("resumed", RESUMED, stream, gap_aim_s=0.2, resumable=True, max_attempts=2),
            a_route("notes", NOTES, batch, max_attempts=3, job_terms=routes.JobTerms(**terms)),
        ),
        (routes.Service(SERVICE),),
    )


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got; ``whole`` tells whether the answer came to its proper end."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@dataclasses.dataclass
class Node:
    """One process of the system, in this process."""

    cfg: settings.EdgeSettings
    kern: kernel.Kernel
    drain: edge_daemons.Drain
    scope: trio.CancelScope


class Rig:
    """A running system; made by :func:`running`."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = platform_store.MemoryPlatform(platform_store.Switches(0, 0, 0, 0, 0, 0))
        self.nursery = nursery
        self.nodes: dict[str, Node] = {}
        self.retirements = Retirements()
        self.engines: dict[str, stream_engine.StreamEngine] = {}

    async def plan(self, plan: routes.Plan) -> None:
        await self._put(Directory.plan_kind, Directory.plan_name, plan)

    async def engine(self, name: str, domain: str = "north", **more) -> stream_engine.StreamEngine:
        made = stream_engine.StreamEngine(name, **more)
        self.engines[name] = made
        await self.nursery.start(made.run)
        await self.register(made.upstream(SERVICE, domain))
        return made

    async def register(self, upstream: routes.Upstream) -> None:
        await self._put(Directory.upstream_kind, upstream.name, upstream)

    async def _put(self, kind: str, name: str, value: object) -> None:
        raw = msgspec.json.encode(value)
        found = await self.store.get(kind, name)
        if found:
            await self.store.update(kind, name, raw, found.version)
        else:
            await self.store.create(kind, name, raw)

    async def gateway(self, name: str, domain: str = "north") -> Node:
        return await self._node(name, domain, edge_daemons.add_gateway)

    async def worker(self, name: str, domain: str = "north") -> Node:
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
        outside = edge_daemons.Outside(
            self.store, Directory(), calls.Calls(), jobs.JobCalls(), self.retirements
        )
        kern = kernel.Kernel()
        drain = assemble(kern, cfg, outside)
        node = Node(cfg, kern, drain, trio.CancelScope())
        self.nodes[name] = node
        await self.nursery.start(self._run, node)
        return node

    @staticmethod
    async def _run(node: Node, task_status: trio.TaskStatus[None]) -> None:
        with node.scope:
            await node.kern.run(task_status)

    async def ready(self, gateway: str) -> int:
        address = self.nodes[gateway].cfg.ready_address
        return (await call(address, "GET", b"/ready", {}, b"")).status

    async def until_ready(self, gateway: str) -> None:
        with trio.fail_after(5):
            while await self.ready(gateway) != 200:
                await trio.sleep(0.02)

    async def until_acquainted(self) -> None:
        """Wait until all processes have heard each other's workers."""
        workers = sorted(name for name in self.nodes if name.startswith("worker"))
        with trio.fail_after(5):
            for node in self.nodes.values():
                known = node.kern.find("peers", peers.Peers)
                while sorted(known.living(peers.Role.WORKER)) != workers:
                    await trio.sleep(0.02)

    async def ask(
        self, gateway: str, path: str, request: str, body: bytes = b"question", **headers: str
    ) -> Answer:
        """Send an online request."""
        sent = {"x-request-id": request, "x-deadline-ms": "5000", **_named(headers)}
        return await self.send(gateway, "POST", path, sent, body)

    async def send(
        self, gateway: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        address = self.nodes[gateway].cfg.caller_address
        return await call(address, method, path.encode(), {"host": HOST, **headers}, body)


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
        try:
            while part := await channel.body():
                parts.append(part)
        except engine_port.CallError:
            return Answer(head.status, found, b"".join(parts), False)
    return Answer(head.status, found, b"".join(parts), True)


@contextlib.asynccontextmanager
async def running(*, gateways: int = 1, workers: int = 0, engines: int = 1, **engine):
    """Run a system whose parts are spread over the failure domains in turn."""
    async with trio.open_nursery() as nursery:
        rig = Rig(nursery)
        await rig.plan(a_plan())
        for number in range(engines):
            await rig.engine(f"engine-{number}", DOMAINS[number % 3], **engine)
        for number in range(workers):
            await rig.worker(f"worker-{number}", DOMAINS[number % 3])
        for number in range(gateways):
            await rig.gateway(f"gateway-{number}", DOMAINS[number % 3])
        for number in range(gateways):
            await rig.until_ready(f"gateway-{number}")
        await rig.until_acquainted()
        yield rig
        nursery.cancel_scope.cancel()


def an_item(name: str, tokens: int = 100) -> ports.Item:
    return ports.Item(name, f"{NOTES}{name}", (("x-model", "m"),), name.encode(), tokens)


def outage(store: platform_store.MemoryPlatform, *, down: bool) -> None:
    store.switch(platform_store.Switches(down, 0, 0, 0, 0, 0))
