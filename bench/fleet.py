"""A small fleet under a virtual clock: real routers and online services over engine stand-ins."""

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

import msgspec
import trio
from tests import fakes

from cornelgrade import errors, kernel, manifest, settings
from cornelgrade.policy import routing
from cornelgrade.services import exchange, load_reports, online, ports, router, share_grants
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, memory_engine

DOMAINS = ("dar-kariakoo", "dar-msasani", "dar-ubungo")
SERVICE = "lishe-llm"
PATH = "/v1/completions"
INBOX_MESSAGES = 10_000


def fix_schedule(seed: int) -> None:
    """Make trio run its tasks in an order that follows from the seed."""
    run = trio._core._run
    run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    run._r.seed(seed)


class Bus:
    """Carries peer messages between the VMs of one run at once and without loss."""

    def __init__(self) -> None:
        self._readers: dict[tuple[str, type], list[trio.MemorySendChannel]] = {}

    def join(self, vm: str, kind: type) -> trio.MemoryReceiveChannel:
        """Receive one type of message that is sent to a VM."""
        send, receive = trio.open_memory_channel(INBOX_MESSAGES)
        self._readers.setdefault((vm, kind), []).append(send)
        return receive

    def deliver(self, vm: str, message: ports.PeerMessage) -> None:
        """Hand a message to a VM."""
        for reader in self._readers.get((vm, type(message)), ()):
            with contextlib.suppress(trio.WouldBlock):
                reader.send_nowait(message)


class FixedMembership:
    """The service ``membership`` of one VM, with a view that never changes."""

    name = "membership"

    def __init__(self, bus: Bus, members: tuple[ports.Member, ...], number: int) -> None:
        self._bus = bus
        self._view = ports.View(members[number].vm, members)

    async def run(self, started) -> None:
        """Do nothing until cancelled."""
        started()
        await trio.sleep_forever()

    def view(self) -> ports.View:
        """Give the view."""
        return self._view

    def send(self, vm: str, message: ports.PeerMessage) -> None:
        """Send a message to one VM."""
        if isinstance(message, ports.Load | ports.Yield):
            message = msgspec.structs.replace(message, vm=self._view.self_vm)
        self._bus.deliver(vm, message)

    def broadcast(self, message: ports.PeerMessage) -> None:
        """Send a message to every VM."""
        for member in self._view.members:
            self._bus.deliver(member.vm, message)

    def subscribe(self, kind: type) -> trio.MemoryReceiveChannel:
        """Receive one type of message."""
        return self._bus.join(self._view.self_vm, kind)


def _member(number: int) -> ports.Member:
    return ports.Member(
        vm=f"vm-{number}",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        region="local",
        incarnation=1,
        state=ports.MemberState.ALIVE,
        peer_address="",
        worker_address="",
        gateway_address="",
    )


def _settings(member: ports.Member) -> settings.Settings:
    return settings.Settings(
        vm=member.vm,
        failure_domain=member.failure_domain,
        gateway_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        worker_address="127.0.0.1:3",
        platform_url="http://127.0.0.1:4",
        peer_key_file="unused",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Engines and the online services of the gateways before them."""

    engines: tuple[memory_engine.MemoryEngine, ...]
    gateways: tuple[online.Online, ...]

    def counters(self) -> tuple[engine_standin.Counters, ...]:
        """Give each engine's counters."""
        return tuple(upstream.engine.counters() for upstream in self.engines)


@contextlib.asynccontextmanager
async def running(
    cfg: engine_model.Config,
    *,
    engines: int,
    gateways: int,
    choice: routing.Choice,
    seed: int,
    queue_limit: int,
) -> AsyncIterator[Fleet]:
    """Run a fleet; gateways and engines go around the failure domains."""
    policy = manifest.OnlinePolicy(queue_limit=queue_limit, first_token_timeout_s=60.0)
    wanted = fakes.make_manifest(upstreams=engines, slots=cfg.slots, online=policy)
    upstreams = tuple(
        memory_engine.MemoryEngine(engine_standin.Engine(up.name, cfg))
        for up in wanted.upstreams
        if up.service == SERVICE
    )
    async with trio.open_nursery() as nursery:
        for upstream in upstreams:
            await nursery.start(upstream.engine.run)
        bus = Bus()
        members = tuple(_member(number) for number in range(gateways))
        services = []
        for number in range(gateways):
            cfg_of_vm = _settings(members[number])
            kern = kernel.Kernel()
            kern.add(fakes.FixedConfiguration(wanted))
            kern.add(FixedMembership(bus, members, number))
            kern.add(fakes.FakeUpstreams(*upstreams))
            rng = random.Random(seed * 1000 + number)
            kern.add(router.Router(kern, cfg_of_vm.failure_domain, rng, choice))
            service = online.Online(kern)
            kern.add(service)
            kern.add(load_reports.LoadReports(kern, cfg_of_vm))
            kern.add(share_grants.ShareGrants(kern, cfg_of_vm))
            await nursery.start(kern.run)
            services.append(service)
        yield Fleet(upstreams, tuple(services))
        nursery.cancel_scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What one request saw; times in seconds on the virtual clock.

    :param first_s: time to its first token, ``None`` if there was none.
    :param total_s: time to its whole answer or refusal.
    :param code: reason of the refusal, empty for a whole answer.
    """

    arrived_s: float
    rank: int
    first_s: float | None
    total_s: float
    code: str = ""


async def ask(service: online.Online, req: exchange.Request) -> Sample:
    """Send one request through a gateway and read its whole answer."""
    began_s = trio.current_time()
    first_s = None
    code = ""
    try:
        async with contextlib.aclosing(service.serve(req)) as parts:
            async for part in parts:
                if first_s is None and isinstance(part, bytes):
                    first_s = trio.current_time() - began_s
    except errors.Refusal as exc:
        code = exc.code.value
    return Sample(began_s, req.rank, first_s, trio.current_time() - began_s, code)
