"""The world of the mixed-load measurement: VMs, engines and links on a virtual clock."""

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

import msgspec
import trio

from cornelgrade import kernel, manifest, settings
from cornelgrade.adapters import engine
from cornelgrade.services import (
    _subscriptions,
    batch,
    load_reports,
    online,
    ports,
    router,
    share_grants,
)
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, memory_engine, platform_store

SLOTS = 8
ENGINE_LINK_S = 0.0003
LOCAL_LINK_S = 0.0002
SERVICE = "llm"


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A deployment's size; ``link_s`` is the one-way delay between failure domains."""

    name: str
    failure_domains: tuple[str, ...]
    engines: int
    vms: int
    link_s: float

    def domain(self, number: int) -> str:
        """Give the failure domain of the engine or VM with this number."""
        return self.failure_domains[number % len(self.failure_domains)]


SITES = {
    "afya": Site("afya", ("dar-kariakoo", "dar-msasani", "dar-ubungo"), 6, 6, 0.001),
    "andina": Site("andina", ("providencia", "maipu", "nunoa"), 9, 9, 0.0005),
}


class Linked:
    """An engine behind a link with a delay."""

    def __init__(self, inner: memory_engine.MemoryEngine) -> None:
        self.name = inner.name
        self.inner = inner

    @contextlib.asynccontextmanager
    async def call(self, call: engine.Call) -> AsyncIterator[engine.Response]:
        """Send a call after the link's delay."""
        await trio.sleep(ENGINE_LINK_S)
        async with self.inner.call(call) as answer:
            yield answer

    async def cancel(self, stream_id: str) -> engine.Cancelled:
        """Cancel after the link's delay, and answer after it."""
        await trio.sleep(ENGINE_LINK_S)
        kept = await self.inner.cancel(stream_id)
        await trio.sleep(ENGINE_LINK_S)
        return kept

    async def load(self) -> engine.Load:
        """Read the load report."""
        return await self.inner.load()


class _Fixed:
    """A service that only waits."""

    async def run(self, started) -> None:
        """Wait until cancelled."""
        started()
        await trio.sleep_forever()


class FixedConfiguration(_Fixed):
    """The service ``configuration`` with one manifest."""

    name = "configuration"

    def __init__(self, wanted: manifest.Manifest) -> None:
        self._accepted = ports.AcceptedManifest(wanted, 1)

    def current(self) -> ports.AcceptedManifest:
        """Give the manifest."""
        return self._accepted

    async def wait_newer(self, version: int) -> ports.AcceptedManifest:
        """Give the manifest once."""
        if version >= self._accepted.version:
            await trio.sleep_forever()
        return self._accepted


class Pool(_Fixed):
    """The service ``upstreams`` over the engines in memory."""

    name = "upstreams"

    def __init__(self, engines: dict[str, Linked]) -> None:
        self._engines = engines

    def get(self, name: str) -> Linked:
        """Give an engine."""
        return self._engines[name]


class Links:
    """Carries peer messages with the site's delays."""

    def __init__(self, site: Site, nursery: trio.Nursery) -> None:
        self.site = site
        self.vms = {f"vm{number}": site.domain(number) for number in range(site.vms)}
        self.gateways: dict[str, _subscriptions.Subscriptions] = {}
        self.workers: dict[str, _subscriptions.Subscriptions] = {}
        self._nursery = nursery

    def view(self, vm: str) -> ports.View:
        """Give a view in which every VM is alive."""
        state = ports.MemberState.ALIVE
        members = (
            ports.Member(name, domain, "local", 1, state, "", "", "")
            for name, domain in self.vms.items()
        )
        return ports.View(vm, tuple(members))

    def send(self, sender: str, vm: str, message: ports.PeerMessage) -> None:
        """Deliver a message after its link's delay."""
        far = self.vms[sender] != self.vms[vm]
        self._nursery.start_soon(self._deliver, sender, vm, message, far)

    async def _deliver(self, sender: str, vm: str, message: ports.PeerMessage, far: bool) -> None:
        await trio.sleep(self.site.link_s if far else LOCAL_LINK_S)
        table = self.gateways
        if isinstance(message, ports.Load | ports.Yield):
            message = msgspec.structs.replace(message, vm=sender)
            table = self.workers
        if vm in table:
            table[vm].deliver(message)


class Member(_Fixed):
    """The service ``membership`` of one process."""

    name = "membership"

    def __init__(self, links: Links, vm: str, table: dict) -> None:
        self._links = links
        self._vm = vm
        self._subscriptions = _subscriptions.Subscriptions()
        table[vm] = self._subscriptions

    def view(self) -> ports.View:
        """Give the view."""
        return self._links.view(self._vm)

    def send(self, vm: str, message: ports.PeerMessage) -> None:
        """Send a message."""
        self._links.send(self._vm, vm, message)

    def broadcast(self, message: ports.PeerMessage) -> None:
        """Send a message to every VM."""
        for vm in self._links.vms:
            self.send(vm, message)

    def subscribe(self, kind):
        """Receive one type of message."""
        return self._subscriptions.subscribe(kind)


def wanted(site: Site, lean: float, online_slots: int) -> manifest.Manifest:
    """Make the manifest; ``online_slots`` is what gateways may use of each engine."""
    return manifest.Manifest(
        services=(manifest.Service(SERVICE),),
        priorities=(manifest.Priority("urgent", 0, 10.0), manifest.Priority("bulk", 9)),
        teams=(manifest.Team("team", ("0" * 64,), ("urgent", "bulk"), 1e6, 1_000_000),),
        upstreams=tuple(
            manifest.Upstream(
                f"engine-{number}", SERVICE, site.domain(number), "127.0.0.1:1", online_slots
            )
            for number in range(site.engines)
        ),
        batch=manifest.BatchPolicy(lean=lean),
    )


class World:
    """One deployment in one process."""

    def __init__(
        self, site: Site, nursery: trio.Nursery, lean: float, online_slots: int, seed: int
    ) -> None:
        self.site = site
        self.platform = platform_store.MemoryPlatform()
        self.engines: dict[str, Linked] = {}
        self._links = Links(site, nursery)
        self._manifest = wanted(site, lean, online_slots)
        self._nursery = nursery
        self._rng = random.Random(seed)
        self.online: list[online.Online] = []
        for upstream in self._manifest.upstreams:
            cfg = engine_model.Config(slots=SLOTS)
            held = engine_standin.Engine(upstream.name, cfg)
            self.engines[upstream.name] = Linked(memory_engine.MemoryEngine(held))
            nursery.start_soon(held.run)

    async def start_gateways(self) -> None:
        """Start the online path of each VM."""
        for vm, domain in self._links.vms.items():
            kern = self._kernel(vm, self._links.gateways)
            rng = random.Random(self._rng.random())
            served = online.Online(kern)
            kern.add(router.Router(kern, domain, rng))
            kern.add(served)
            kern.add(load_reports.LoadReports(kern, _settings(vm, domain)))
            self.online.append(served)
            await self._nursery.start(kern.run)

    async def start_workers(self, unix_s, *, runs_batch: bool) -> None:
        """Start the worker of each VM; without batch work it only grants shares."""
        for vm, domain in self._links.vms.items():
            kern = self._kernel(vm, self._links.workers)
            kern.add(share_grants.ShareGrants(kern, _settings(vm, domain)))
            if runs_batch:
                kern.add(batch.Batch(kern, vm, domain, self.platform, unix_s))
            await self._nursery.start(kern.run)

    def _kernel(self, vm: str, table: dict) -> kernel.Kernel:
        kern = kernel.Kernel()
        kern.add(Member(self._links, vm, table))
        kern.add(FixedConfiguration(self._manifest))
        kern.add(Pool(self.engines))
        return kern


def _settings(vm: str, domain: str) -> settings.Settings:
    return settings.Settings(
        vm=vm,
        failure_domain=domain,
        gateway_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        worker_address="127.0.0.1:3",
        platform_url="http://127.0.0.1:4",
        peer_key_file="key",
    )
