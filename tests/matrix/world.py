"""A fleet of real services and stand-ins in one process, with fault hooks at each step."""

import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable

import trio
from tests import fakes

from cornelgrade import errors, kernel, manifest, settings
from cornelgrade.adapters import engine, platform
from cornelgrade.policy import manifest_rules
from cornelgrade.services import (
    batch,
    configuration,
    histories,
    load_reports,
    online,
    ports,
    quarantine,
    reconciler,
    records,
    router,
    share_grants,
)
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, memory_engine, plain_service, platform_store

UNIX_EPOCH_S = 1_800_000_000.0
PLATFORM_DEADLINE_S = 2.0
LEASE_S = 4.0
VMS = {"east-1": "east", "east-2": "east", "west-1": "west", "west-2": "west"}
SLOTS = 4
PLAIN = "refills-0"

Fault = Callable[["World", str], Awaitable[None]]


def unix_s() -> float:
    """Return Unix time on the virtual clock."""
    return UNIX_EPOCH_S + trio.current_time()


class VmLost(Exception):
    """The VM that handled a call was lost."""


def make_fleet_manifest(version: int = 1) -> manifest.Manifest:
    """Return the fleet's manifest; ``version`` is the model's version."""
    engines = tuple(
        manifest.Upstream(f"{d}-engine", "lishe-llm", d, f"127.0.0.1:{9000 + i}", slots=SLOTS)
        for i, d in enumerate(("east", "west"))
    )
    plain = manifest.Upstream(PLAIN, "refills", "east", "127.0.0.1:9100", slots=8)
    defaults = fakes.make_manifest()
    return manifest.Manifest(
        services=(
            manifest.Service("lishe-llm", models=("lishe",), non_idempotent_routes=("/v1/once",)),
            manifest.Service("refills", kind="plain", non_idempotent_routes=("/confirm",)),
        ),
        models=(manifest.Model("lishe", version=version),),
        priorities=defaults.priorities,
        teams=defaults.teams,
        upstreams=(*engines, plain),
        batch=manifest.BatchPolicy(chunk_items=10, lease_s=LEASE_S, lean=1.0),
        online=manifest.OnlinePolicy(first_token_timeout_s=2.0, token_gap_timeout_s=1.0),
    )


@dataclasses.dataclass(slots=True)
class FaultInjection:
    """Injects a fault when a step is reached, up to ``left`` times."""

    step: str
    fault: Fault
    left: int = 1


@dataclasses.dataclass(slots=True)
class Vm:
    """A VM whose gateway and worker services share one kernel."""

    name: str
    failure_domain: str
    kern: kernel.Kernel
    member: fakes.BusMember
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    nursery: trio.Nursery | None = None
    versions: list[int] = dataclasses.field(default_factory=list)


class World:
    """The fleet, which :func:`running` creates.

    :param injections: faults to inject at steps.
    """

    def __init__(
        self, nursery: trio.Nursery, seed: int, injections: tuple[FaultInjection, ...]
    ) -> None:
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.injections = list(injections)
        self.reached_steps: list[str] = []
        self.platform = platform_store.MemoryPlatform(
            platform_store.Switches(writes_per_s=0, reads_per_s=0)
        )
        self.bus = fakes.Bus()
        self.vms: dict[str, Vm] = {}
        self.cut_from_platform: set[str] = set()
        self.partitioned_domains: set[str] = set()
        self.service_replacements: dict[str, Callable] = {}
        self.store_kind: type[Store] = Store
        self.cell_faults: frozenset[str] = frozenset()
        self.first_version = 0
        self._number = 0
        self.on_resend: Callable[[], None] = lambda: None
        self.plain = plain_service.PlainService(PLAIN)
        self.upstreams: dict[str, engine.Upstream] = {PLAIN: plain_service.MemoryPlain(self.plain)}
        self.engines: dict[str, engine_standin.Engine] = {}

    # Steps and faults

    async def reach_step(self, step: str, vm: str) -> None:
        """Record that a VM reached a step, and inject the faults set for it."""
        self.reached_steps.append(step)
        for injection in self.injections:
            if injection.step == step and injection.left:
                injection.left -= 1
                await injection.fault(self, vm)

    def kill(self, vm: str) -> None:
        """Kill a VM and cancel all its tasks."""
        self.bus.unreachable.add(vm)
        self.vms[vm].scope.cancel()

    def get_live_vms(self) -> list[Vm]:
        """Return the VMs that were not killed."""
        return [vm for vm in self.vms.values() if not vm.scope.cancel_called]

    async def call_at(self, vm: str, call: Callable[[Vm], Awaitable]):
        """Run a call at a VM.

        :raises VmLost: if the VM is not running or is killed during the call.
        """
        target = self.vms[vm]
        if target.scope.cancel_called or target.nursery is None:
            raise VmLost
        send, receive = trio.open_memory_channel(1)
        target.nursery.start_soon(_send_outcome, target, call, send)
        async with receive:
            async for outcome in receive:
                if isinstance(outcome, Exception):
                    raise outcome
                return outcome
        raise VmLost

    def next_number(self) -> int:
        """Return the next number of a caller's attempt."""
        self._number += 1
        return self._number

    # Start

    async def start(self) -> None:
        """Start the engines and the VMs, then submit the manifest and wait until it is in force."""
        for domain in ("east", "west"):
            name = f"{domain}-engine"
            cfg = engine_model.Config(slots=SLOTS, order_s=0.5)
            self.engines[name] = engine_standin.Engine(name, cfg)
            self.upstreams[name] = memory_engine.MemoryEngine(self.engines[name])
            self.nursery.start_soon(self.engines[name].run)
        for vm, domain in VMS.items():
            await self._start_vm(vm, domain)
        accepted = await self.call_at("east-1", lambda vm: put(vm, make_fleet_manifest(), None))
        self.first_version = accepted.version
        await self.wait_in_force(accepted.version)

    async def wait_in_force(self, version: int) -> None:
        """Wait until every live VM has at least this version."""
        for vm in self.get_live_vms():
            await vm.kern.find("configuration", ports.Configuration).wait_newer(version - 1)

    async def _start_vm(self, name: str, domain: str) -> None:
        kern = kernel.Kernel()
        member = self.bus.join(name, domain)
        vm = Vm(name, domain, kern, member)
        store = self.store_kind(self, vm)
        cfg = settings.Settings(
            vm=name,
            failure_domain=domain,
            gateway_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            worker_address="127.0.0.1:3",
            platform_url="http://127.0.0.1:4",
            peer_key_file="",
        )
        services = (
            histories.Histories(),
            member,
            configuration.Configuration(cfg, store, member, Peers(self, vm), rng=self.rng),
            Links(self, vm),
            quarantine.Quarantine(kern),
            records.Records(store, name, dead=self._is_dead, clock=unix_s),
            router.Router(kern, domain, self.rng),
            online.Online(kern),
            load_reports.LoadReports(kern, cfg),
            share_grants.ShareGrants(kern, cfg),
            batch.Batch(kern, name, domain, store, unix_s),
            reconciler.Reconciler(kern, cfg, store),
        )
        for service in services:
            replace = self.service_replacements.get(service.name, lambda inner: inner)
            kern.add(replace(service))
        self.vms[name] = vm
        await self.nursery.start(self._run_vm, vm)

    async def _run_vm(self, vm: Vm, task_status=trio.TASK_STATUS_IGNORED) -> None:
        try:
            with vm.scope:
                async with trio.open_nursery() as vm.nursery:
                    await vm.nursery.start(vm.kern.run)
                    vm.nursery.start_soon(_follow_versions, vm)
                    task_status.started()
                    await trio.sleep_forever()
        except* Exception:
            if not vm.scope.cancel_called:
                raise

    def _is_dead(self, vm: str) -> bool:
        return vm in self.bus.unreachable


async def _send_outcome(vm: Vm, call, send: trio.MemorySendChannel) -> None:
    with send:
        try:
            outcome = await call(vm)
        except (errors.CornelgradeError, platform.UnavailableError) as exc:
            outcome = exc
        send.send_nowait(outcome)


async def _follow_versions(vm: Vm) -> None:
    config = vm.kern.find("configuration", ports.Configuration)
    while True:
        accepted = await config.wait_newer(vm.versions[-1] if vm.versions else 0)
        vm.versions.append(accepted.version)


async def put(vm: Vm, submitted: manifest.Manifest, if_match: int | None) -> ports.AcceptedManifest:
    """Submit a manifest at a VM."""

    raw = manifest_rules.encode(submitted)
    return await vm.kern.find("configuration", ports.Configuration).put(raw, if_match)


class Peers:
    """Fetches a manifest from another VM's configuration."""

    def __init__(self, world: World, vm: Vm) -> None:
        self._world = world
        self._vm = vm

    async def fetch(self, member: ports.Member) -> ports.AcceptedManifest:
        await self._world.reach_step("manifest fetch", self._vm.name)
        other = self._world.vms.get(member.vm)
        cut = {member.vm, self._vm.name} & self._world.bus.unreachable
        if other is None or cut or self._world.bus.is_partitioned(self._vm.name, member.vm):
            raise errors.NotReachableError("cut off", step="fetch", peer=member.vm)
        accepted = other.kern.find("configuration", ports.Configuration).current()
        if accepted is None:
            raise errors.CornelgradeError("none yet", step="fetch", peer=member.vm)
        return dataclasses.replace(accepted, confirmed=False)


class Store:
    """A VM's platform store, with deadlines, partitions and a step before and after each write."""

    def __init__(self, world: World, vm: Vm) -> None:
        self._world = world
        self._vm = vm

    async def get(self, kind, name):
        return await self._read(lambda p: p.get(kind, name))

    async def list(self, kind, prefix="", after="", limit=100):
        return await self._read(lambda p: p.list(kind, prefix, after, limit))

    async def watch(self, kind, prefix="", after=0, wait_s=30.0):
        return await self._read(lambda p: p.watch(kind, prefix, after, wait_s), wait_s)

    async def vms(self):
        return await self._read(lambda p: p.vms())

    async def create(self, kind, name, value, nonce=""):
        return await self._write(kind, lambda p: p.create(kind, name, value, nonce))

    async def update(self, kind, name, value, version, nonce=""):
        return await self._write(kind, lambda p: p.update(kind, name, value, version, nonce))

    async def delete(self, kind, name, version):
        return await self._write(kind, lambda p: p.delete(kind, name, version))

    async def _read(self, call, wait_s: float = 0.0):
        return await self._call_with_deadline(call, wait_s, outcome_unknown=False)

    async def _write(self, kind: str, call):
        await self._world.reach_step(f"before write of {kind}", self._vm.name)
        stored = await self._call_with_deadline(call, 0.0, outcome_unknown=True)
        await self._world.reach_step(f"after write of {kind}", self._vm.name)
        return stored

    async def _call_with_deadline(self, call, wait_s: float, *, outcome_unknown: bool):
        if self._vm.failure_domain in self._world.cut_from_platform:
            await trio.sleep(PLATFORM_DEADLINE_S)
            raise platform.UnavailableError("cut off", step="platform")
        with trio.move_on_after(PLATFORM_DEADLINE_S + wait_s):
            return await call(self._world.platform)
        raise platform.UnavailableError(
            "too slow", step="platform", outcome_unknown=outcome_unknown
        )


class Links:
    """The service ``upstreams`` of one VM."""

    name = "upstreams"

    def __init__(self, world: World, vm: Vm) -> None:
        self._links = {name: Link(world, vm, up) for name, up in world.upstreams.items()}

    async def run(self, started) -> None:
        started()
        await trio.sleep_forever()

    def get(self, name: str) -> engine.Upstream:
        return self._links[name]


def _get_call_kind(call: engine.Call) -> str:
    if "/" not in call.stream_id:
        return "request"
    return "once item" if b'"once-' in call.body else "item"


class Link:
    """A VM's link to an upstream, with steps at each call and partitions of failure domains."""

    def __init__(self, world: World, vm: Vm, upstream: engine.Upstream) -> None:
        self.name = upstream.name
        self._world = world
        self._vm = vm
        self._upstream = upstream

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call):
        kind = _get_call_kind(call)
        await self._world.reach_step(f"before sending {kind}", self._vm.name)
        self._check_partition()
        async with self._upstream.call(call) as answer:
            await self._world.reach_step(f"after answer to {kind}", self._vm.name)
            yield answer

    async def order(self, order: engine.Order) -> engine.EngineState:
        await self._world.reach_step("before order", self._vm.name)
        self._check_partition()
        state = await self._upstream.order(order)
        await self._world.reach_step("after order", self._vm.name)
        return state

    async def cancel(self, stream_id: str) -> engine.Cancelled:
        return await self._upstream.cancel(stream_id)

    async def load(self) -> engine.Load:
        self._check_partition()
        return await self._upstream.load()

    async def state(self) -> engine.EngineState:
        self._check_partition()
        return await self._upstream.state()

    async def cache_events(self, after: int):
        return await self._upstream.cache_events(after)

    def _check_partition(self) -> None:
        domain = "east" if self.name == PLAIN else self.name.split("-")[0]
        if domain != self._vm.failure_domain and self._world.partitioned_domains:
            raise engine.CallError(
                "cut off", step="connect", peer=self.name, progress=engine.Progress.NOT_SENT
            )


@contextlib.asynccontextmanager
async def running(
    seed: int = 1, injections: tuple[FaultInjection, ...] = (), change=lambda world: None
):
    """Run a fleet whose manifest is in force; injections apply only after that.

    :param change: called with the world before it starts, to replace a service by a broken one.
    """
    async with trio.open_nursery() as nursery:
        world = World(nursery, seed, ())
        change(world)
        await world.start()
        world.injections = list(injections)
        yield world
        nursery.cancel_scope.cancel()
