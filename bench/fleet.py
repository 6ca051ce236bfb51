"""A small fleet under a virtual clock: real routers and online services over engine stand-ins."""

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

import trio
from tests import fakes

from cornelgrade import errors, kernel, manifest
from cornelgrade.policy import routing
from cornelgrade.services import exchange, online, ports, router
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, memory_engine

DOMAINS = ("dar-kariakoo", "dar-msasani", "dar-ubungo")
SERVICE = "lishe-llm"
PATH = "/v1/completions"


class FixedMembership:
    """The service ``membership`` with a view that never changes."""

    name = "membership"

    def __init__(self, gateways: int) -> None:
        members = tuple(_member(number) for number in range(gateways))
        self._view = ports.View(members[0].vm, members)

    async def run(self, started) -> None:
        """Do nothing until cancelled."""
        started()
        await trio.sleep_forever()

    def view(self) -> ports.View:
        """Give the view."""
        return self._view

    def send(self, vm: str, message: ports.PeerMessage) -> None:
        """Drop a message; nobody listens here."""

    def spread(self, message: ports.PeerMessage) -> None:
        """Drop a message; nobody listens here."""

    def subscribe(self, kind):
        """Give a channel on which nothing comes."""
        return trio.open_memory_channel(1)[1]


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
    wanted = fakes.a_manifest(upstreams=engines, slots=cfg.slots, online=policy)
    upstreams = tuple(
        memory_engine.MemoryEngine(engine_standin.Engine(up.name, cfg))
        for up in wanted.upstreams
        if up.service == SERVICE
    )
    async with trio.open_nursery() as nursery:
        for upstream in upstreams:
            await nursery.start(upstream.engine.run)
        services = []
        for number in range(gateways):
            kern = kernel.Kernel()
            kern.add(fakes.FixedConfiguration(wanted))
            kern.add(FixedMembership(gateways))
            kern.add(fakes.Pool(*upstreams))
            rng = random.Random(seed * 1000 + number)
            kern.add(router.Router(kern, DOMAINS[number % len(DOMAINS)], rng, choice))
            service = online.Online(kern)
            kern.add(service)
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
