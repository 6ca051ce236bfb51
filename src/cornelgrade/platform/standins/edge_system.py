"""Gateways, workers, engines and a store in one process on loopback, for tests and benchmarks."""

import contextlib
import contextvars
import dataclasses
import sys

import msgspec
import trio

from cornelgrade import edge_daemons, kernel, routes, settings
from cornelgrade.adapters import engine as engine_port
from cornelgrade.adapters import http1, platform
from cornelgrade.platform import calls, jobs
from cornelgrade.platform.standins import formats, stream_engine
from cornelgrade.policy import teams as team_keys
from cornelgrade.services.edge import peers, ports
from cornelgrade.standins import local_ports, platform_store

HOST = "questions.example"
SERVICE = "llm"
DOMAINS = ("north", "south", "east")
ONCE_PREFIX = "/once/"
RESUMABLE_PREFIX = "/resumed/"
NOTES_PREFIX = "/notes/"
REQUEST_TIMEOUT_S = 5.0
RESULTS_WAIT_S = 1.0
# The node whose task is running, for tests that cut single nodes off.
CURRENT_NODE: contextvars.ContextVar[str] = contextvars.ContextVar("node", default="")
# The calls of a store that a VM which is cut off gets no response to, other than watches.
_CALLS = frozenset(("get", "list", "create", "update", "delete"))
UNLIMITED = platform_store.Switches(writes_per_s=0, reads_per_s=0)


class Store(platform_store.MemoryPlatform):
    """Lists all objects for a watch from 0, as :class:`objects.ObjectStore` does."""

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Wait for changes since ``after``; with 0, return all current objects at once."""
        if after:
            return await super().watch(kind, prefix, after, wait_s)
        # Read before listing: a watch from here may repeat a change, but never misses one.
        version = self.version
        return platform.Changes(version, await self.list(kind, prefix, limit=sys.maxsize))


class VmStore:
    """The store as one VM sees it.

    :ivar loses_watches: whether the VM's watches, also those that are open, get no response.
    :ivar silent: whether none of the VM's calls, also those that are open, gets a response.
    """

    def __init__(self, store: Store) -> None:
        self.loses_watches = False
        self.silent = False
        self._store = store

    def __getattr__(self, name: str):
        found = getattr(self._store, name)
        return self._silence(name, found) if name in _CALLS else found

    def _silence(self, name: str, call):
        """Return a call of the store that gets no response while the VM is cut off from it."""

        async def silenced(*args, **kwargs):
            if not self.silent:
                result = await call(*args, **kwargs)
                if not self.silent:
                    return result
            await trio.sleep(self._store.deadline_s)
            raise platform.UnavailableError("no answer in time", step=name)

        return silenced

    async def watch(
        self, kind: str, prefix: str = "", after: int = 0, wait_s: float = 30.0
    ) -> platform.Changes:
        """Watch, unless the VM's watches are lost."""
        lost = self._is_watch_lost
        with trio.move_on_after(wait_s + self._store.deadline_s) as scope:
            changes = await self._store.watch(kind, prefix, after, wait_s)
            lost = lost or self._is_watch_lost
            if not lost:
                return changes
            await trio.sleep_until(scope.deadline)
        raise platform.UnavailableError("no answer in time", step="watch")

    @property
    def _is_watch_lost(self) -> bool:
        return self.loses_watches or self.silent


class Directory:
    """Decodes plans and registrations stored as JSON of the project's own types."""

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
    """Records the drain states reported to operators."""

    kind = "retired-vms"

    def __init__(self) -> None:
        self.reported: list[tuple[str, ports.RetirementState]] = []

    async def report_state(self, vm: str, state: ports.RetirementState) -> None:
        """Record the state."""
        self.reported.append((vm, state))


def make_route(name: str, prefix: str, kind: routes.RouteKind, **overrides) -> routes.Route:
    """Return a route to :data:`SERVICE`."""
    route = routes.Route(name, HOST, prefix, kind, (routes.Target(SERVICE),))
    return dataclasses.replace(route, **{"timeout_s": 5.0, "aim_s": 0.3, **overrides})


def team_key(name: str) -> str:
    """Return the key of a team made by :func:`make_team`."""
    return f"key-of-{name}"


def make_team(name: str, **overrides) -> routes.Team:
    """Return a team with the key :func:`team_key`."""
    return routes.Team(name, (team_keys.digest_key(team_key(name).encode()),), **overrides)


def make_plan(
    version: int = 1, *, teams: tuple[routes.Team, ...] | None = None, **terms
) -> routes.Plan:
    """Return a plan with a non-resumable stream route, a resumable one and a batch route.

    :param teams: ``None`` if requests need no keys.
    :param terms: the :class:`routes.JobPolicy` of the batch route.
    """
    stream, batch = routes.RouteKind.STREAM, routes.RouteKind.BATCH
    return routes.Plan(
        version,
        (
            make_route("once", ONCE_PREFIX, stream, gap_aim_s=0.2),
            make_route(
                "resumed", RESUMABLE_PREFIX, stream, gap_aim_s=0.2, resumable=True, max_attempts=2
            ),
            make_route(
                "notes", NOTES_PREFIX, batch, max_attempts=3, job_policy=routes.JobPolicy(**terms)
            ),
        ),
        (routes.Service(SERVICE),),
        teams=teams,
    )


@dataclasses.dataclass(frozen=True)
class ReceivedResponse:
    """A response as its caller received it.

    :param complete: whether the response was complete.
    :param first_at_s: when its first chunk arrived, on trio's clock.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    first_at_s: float


@dataclasses.dataclass
class Node:
    """A gateway or worker, which runs within this process."""

    cfg: settings.EdgeSettings
    kern: kernel.Kernel
    drain: edge_daemons.Drain
    store: VmStore
    scope: trio.CancelScope


class System:
    """A running system, started by :func:`run_system`."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = Store(UNLIMITED)
        self.nursery = nursery
        self.nodes: dict[str, Node] = {}
        self.retirements = Retirements()
        self.engines: dict[str, stream_engine.StreamEngine] = {}

    async def plan(self, plan: routes.Plan) -> None:
        """Write the plan to the store."""
        await self._put_object(Directory.plan_kind, Directory.plan_name, plan)

    async def start_engine(
        self, name: str, domain: str = "north", service: str = SERVICE, **more
    ) -> stream_engine.StreamEngine:
        """Start an engine and register it."""
        made = stream_engine.StreamEngine(name, **more)
        self.engines[name] = made
        await self.nursery.start(made.run)
        await self.register(made.upstream(service, domain))
        return made

    async def register(self, upstream: routes.Upstream) -> None:
        """Write an upstream's registration to the store."""
        await self._put_object(Directory.upstream_kind, upstream.name, upstream)

    async def _put_object(self, kind: str, name: str, value: object) -> None:
        raw = msgspec.json.encode(value)
        found = await self.store.get(kind, name)
        if found:
            await self.store.update(kind, name, raw, found.version)
        else:
            await self.store.create(kind, name, raw)

    async def start_gateway(self, name: str, domain: str = "north") -> Node:
        """Start a gateway."""
        return await self._start_node(name, domain, edge_daemons.add_gateway)

    async def start_worker(self, name: str, domain: str = "north") -> Node:
        """Start a worker."""
        return await self._start_node(name, domain, edge_daemons.add_worker)

    async def _start_node(self, name: str, domain: str, assemble: edge_daemons.AddServices) -> Node:
        cfg = settings.EdgeSettings(
            vm=name,
            failure_domain=domain,
            caller_address=local_ports.free_address(),
            ready_address=local_ports.free_address(),
            peer_address=local_ports.free_address(),
            store_address="127.0.0.1:1",
        )
        store = VmStore(self.store)
        dependencies = edge_daemons.Dependencies(
            store, Directory(), calls.CallFormat(), jobs.JobCallFormat(), self.retirements
        )
        kern = kernel.Kernel()
        drain = assemble(kern, cfg, dependencies)
        node = Node(cfg, kern, drain, store, trio.CancelScope())
        self.nodes[name] = node
        await self.nursery.start(self._run_node, node)
        return node

    @staticmethod
    async def _run_node(node: Node, task_status: trio.TaskStatus[None]) -> None:
        CURRENT_NODE.set(node.cfg.vm)
        with node.scope:
            await node.kern.run(task_status)

    async def ready(self, gateway_name: str) -> int:
        """Return the status of a gateway's readiness check."""
        address = self.nodes[gateway_name].cfg.ready_address
        assert address is not None
        return (await call(address, "GET", b"/ready", {}, b"")).status

    async def wait_until_ready(self, gateway_name: str) -> None:
        """Wait until a gateway is ready."""
        with trio.fail_after(5):
            while await self.ready(gateway_name) != 200:
                await trio.sleep(0.02)

    async def wait_until_peers_known(self) -> None:
        """Wait until every process has discovered all others and hears all workers."""
        workers = sorted(name for name in self.nodes if name.startswith("worker"))
        with trio.fail_after(5):
            for node in self.nodes.values():
                known = node.kern.find("peers", peers.Peers)
                while len(known.other_vms()) < len(self.nodes) - 1:
                    await trio.sleep(0.02)
                while sorted(known.live_vms(peers.Role.WORKER)) != workers:
                    await trio.sleep(0.02)

    async def send_online(
        self, gateway_name: str, path: str, request: str, body: bytes = b"question", **headers: str
    ) -> ReceivedResponse:
        """Send an online request.

        :param headers: more of its headers, such as ``x_key`` with a team's key.
        """
        sent = {**formats.online_headers(request, REQUEST_TIMEOUT_S), **_header_names(headers)}
        return await self.send(gateway_name, "POST", path, sent, body)

    async def send(
        self, gateway_name: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> ReceivedResponse:
        """Make a call to a gateway."""
        address = self.nodes[gateway_name].cfg.caller_address
        assert address is not None
        return await call(address, method, path.encode(), {"host": HOST, **headers}, body)

    async def submit(
        self,
        gateway_name: str,
        job: str,
        items: dict[str, bytes],
        headers: dict[str, str] | None = None,
        *,
        key: str = "",
        tokens: int = 100,
        prefix: str = NOTES_PREFIX,
        items_prefix: str | None = None,
    ) -> ReceivedResponse:
        """Submit a job; ``items`` maps item ids to request bodies, ``headers`` go with each.

        :param key: of the caller's team, empty for none.
        :param tokens: of each item.
        :param prefix: of the path of the job.
        :param items_prefix: of the paths of the items, ``None`` for that of the job.
        """
        items_prefix = prefix if items_prefix is None else items_prefix
        raw = formats.encode_job(items_prefix, items, tokens, headers)
        sent = formats.request_headers(job) | formats.key_headers(key)
        return await self.send(gateway_name, "POST", f"{prefix}{job}", sent, raw)

    async def results(
        self, gateway_name: str, job: str, after: int, *, key: str = ""
    ) -> list[tuple[str, str]]:
        """Wait up to :data:`RESULTS_WAIT_S` for results from position ``after`` on.

        :param key: of the caller's team, empty for none.
        :returns: item ids with their texts.
        """
        target = formats.job_target(job, after)
        headers = formats.wait_headers(RESULTS_WAIT_S) | formats.key_headers(key)
        got = await self.send(gateway_name, "GET", target, headers)
        return [(item, text) for item, _, text in formats.decode_results(got.body)]


def _header_names(headers: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-"): value for name, value in headers.items()}


async def call(
    address: str, method: str, target: bytes, headers: dict[str, str], body: bytes
) -> ReceivedResponse:
    """Make one call and return its response, also if the connection is aborted within it."""
    sent = tuple((k.encode(), v.encode()) for k, v in {"host": address, **headers}.items())
    with await http1.connect(address, 1.0) as channel:
        await channel.send(method, target, sent, body)
        head = await channel.read_head()
        parts: list[bytes] = []
        found = {k.decode(): v.decode() for k, v in head.headers}
        first_at_s = trio.current_time()
        complete = True
        try:
            while part := await channel.read_chunk():
                first_at_s = first_at_s if parts else trio.current_time()
                parts.append(part)
        except engine_port.CallError:
            complete = False
        return ReceivedResponse(head.status, found, b"".join(parts), complete, first_at_s)


@contextlib.asynccontextmanager
async def run_system(*, gateways: int = 1, workers: int = 0, engines: int = 1, **engine_options):
    """Run a system whose processes are assigned to the failure domains in turn."""
    async with trio.open_nursery() as nursery:
        system = System(nursery)
        await system.plan(make_plan())
        for number in range(engines):
            await system.start_engine(f"engine-{number}", DOMAINS[number % 3], **engine_options)
        for number in range(workers):
            await system.start_worker(f"worker-{number}", DOMAINS[number % 3])
        for number in range(gateways):
            await system.start_gateway(f"gateway-{number}", DOMAINS[number % 3])
        for number in range(gateways):
            await system.wait_until_ready(f"gateway-{number}")
        await system.wait_until_peers_known()
        yield system
        nursery.cancel_scope.cancel()


def set_outage(store: platform_store.MemoryPlatform, *, down: bool, silent: bool = False) -> None:
    """Start or end an outage of the store; a silent one responds to nothing."""
    store.switch(msgspec.structs.replace(UNLIMITED, down=down, silent=silent))
