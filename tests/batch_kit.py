"""Fakes for tests of batch work: a fixed membership and manifest, and engines in memory."""

import contextlib
import dataclasses
import json

import msgspec
import trio

from cornelgrade import kernel, manifest
from cornelgrade.services import batch, job_submission, ports
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, memory_engine, platform_store

UNIX_EPOCH_S = 1_800_000_000.0


def unix_s() -> float:
    return UNIX_EPOCH_S + trio.current_time()


def member(vm: str, state: ports.MemberState = ports.MemberState.ALIVE) -> ports.Member:
    return ports.Member(vm, "fd1", "local", 1, state, "", "", "")


class FakeMembership:
    name = "membership"

    def __init__(self, vm: str, vms: tuple[str, ...]) -> None:
        self.vm = vm
        self.members = tuple(member(name) for name in vms)
        self.idle_upstreams: tuple[str, ...] = ()
        self._channels: dict[type, trio.MemorySendChannel] = {}

    def view(self) -> ports.View:
        return ports.View(self.vm, self.members)

    def subscribe(self, kind):
        send, receive = trio.open_memory_channel(100)
        self._channels[kind] = send
        return receive

    def deliver(self, message) -> None:
        if type(message) in self._channels:
            self._channels[type(message)].send_nowait(message)

    async def run(self, started) -> None:
        """Send load reports like an idle gateway, unless a test has cleared ``idle_upstreams``."""
        started()
        while True:
            for upstream in self.idle_upstreams:
                self.deliver(ports.Load(upstream, 0, 0, "idle-vm"))
            await trio.sleep(0.5)


class FakeConfiguration:
    name = "configuration"

    def __init__(self, accepted_manifest: manifest.Manifest) -> None:
        self.accepted = ports.AcceptedManifest(accepted_manifest, 1)

    def current(self) -> ports.AcceptedManifest:
        return self.accepted

    async def wait_newer(self, version: int) -> ports.AcceptedManifest:
        if version >= self.accepted.version:
            await trio.sleep_forever()
        return self.accepted

    async def run(self, started) -> None:
        started()
        await trio.sleep_forever()


class FakeUpstreamPool:
    name = "upstreams"

    def __init__(self, engines: dict[str, memory_engine.MemoryEngine]) -> None:
        self.engines = engines

    def get(self, name: str) -> memory_engine.MemoryEngine:
        return self.engines[name]

    async def run(self, started) -> None:
        started()
        await trio.sleep_forever()


def make_manifest(
    engines: int = 2,
    slots: int = 8,
    policy: manifest.BatchPolicy | None = None,
    versions: tuple[str, ...] = ("",),
) -> manifest.Manifest:
    return manifest.Manifest(
        services=(manifest.Service("llm", non_idempotent_routes=("/v1/once",)),),
        priorities=(manifest.Priority("bulk", 10, price=1.0),),
        teams=(manifest.Team("afya", ("0" * 64,), ("bulk",)),),
        upstreams=tuple(
            manifest.Upstream(
                f"e{number}",
                "llm",
                "fd1",
                "127.0.0.1:1",
                slots=slots,
                software_version=versions[number % len(versions)],
            )
            for number in range(engines)
        ),
        batch=policy or manifest.BatchPolicy(chunk_items=50, lease_s=5.0, lean=1.0),
    )


class BatchHarness:
    """A platform, engines, and workers that can be started and killed."""

    def __init__(self, nursery: trio.Nursery, fleet_manifest: manifest.Manifest, cfg=None) -> None:
        self.nursery = nursery
        self.manifest = fleet_manifest
        self.platform = platform_store.MemoryPlatform(
            platform_store.Switches(writes_per_s=0, reads_per_s=0)
        )
        self.engines = {}
        for upstream in fleet_manifest.upstreams:
            engine_config = msgspec.structs.replace(
                cfg or engine_model.Config(slots=upstream.slots),
                software_version=upstream.software_version,
            )
            standin = engine_standin.Engine(upstream.name, engine_config)
            self.engines[upstream.name] = memory_engine.MemoryEngine(standin)
            nursery.start_soon(standin.run)
        self.workers: dict[str, batch.Batch] = {}
        self.members: dict[str, FakeMembership] = {}
        self.configurations: dict[str, FakeConfiguration] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def start_worker(
        self, vm: str, vms: tuple[str, ...] = (), plat=None, extra_services: tuple = ()
    ) -> batch.Batch:
        kern = kernel.Kernel()
        members = FakeMembership(vm, vms or (vm,))
        members.idle_upstreams = tuple(self.engines)
        worker = batch.Batch(kern, vm, "fd1", plat or self.platform, unix_s)
        self.configurations[vm] = FakeConfiguration(self.manifest)
        for service in (
            members,
            self.configurations[vm],
            FakeUpstreamPool(self.engines),
            *extra_services,
            worker,
        ):
            kern.add(service)
        self.workers[vm], self.members[vm] = worker, members
        await self.nursery.start(self._run, vm, kern)
        return worker

    async def _run(self, vm, kern, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as self.scopes[vm]:
            await kern.run(task_status)

    def kill(self, vm: str) -> None:
        self.scopes[vm].cancel()

    @property
    def store(self):
        return next(iter(self.workers.values())).store

    def completions(self) -> dict[str, int]:
        """Return how often each item was generated to its end, by its body's ``user`` field."""
        total: dict[str, int] = {}
        for upstream in self.engines.values():
            for key, runs in upstream.engine.counters().by_key.items():
                total[key] = total.get(key, 0) + runs.completions
        return total


@contextlib.asynccontextmanager
async def rig(fleet_manifest: manifest.Manifest | None = None, cfg=None):
    async with trio.open_nursery() as nursery:
        yield BatchHarness(nursery, fleet_manifest or make_manifest(), cfg)
        nursery.cancel_scope.cancel()


def item_line(
    number: int, *, tokens: int = 8, prompt: str = "", at_most_once: bool = False
) -> bytes:
    body = {"prompt": prompt or f"note {number}", "max_tokens": tokens, "user": f"i{number}"}
    item = {"custom_id": f"i{number}", "body": body, "idempotent": not at_most_once}
    return json.dumps(item).encode() + b"\n"


async def iterate_lines(lines):
    for line in lines:
        yield line


def job_request(key: str = "job1", **changes) -> job_submission.JobRequest:
    request = job_submission.JobRequest(
        team="afya",
        key=key,
        service=manifest.Service("llm", non_idempotent_routes=("/v1/once",)),
        priority=manifest.Priority("bulk", 10),
        due_s=3600.0,
        chunk_items=50,
    )
    return dataclasses.replace(request, **changes)


async def read_outcomes(store, job: str, team: str = "afya"):
    found = await store.header(team, job)
    header = found.header
    return [
        outcome for chunk in range(header.chunks) async for outcome in store.outcomes(header, chunk)
    ]


async def wait_until_ended(store, job: str, team: str = "afya", within_s: float = 600.0):
    """Wait until a job has ended and return its header."""
    with trio.fail_after(within_s):
        while True:
            found = await store.header(team, job)
            if found.header.ended_at_s:
                return found.header
            await trio.sleep(0.2)
