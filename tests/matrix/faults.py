"""The matrix's rows: what goes wrong when a VM reaches a step."""

import trio
from tests.matrix import callers
from tests.matrix import world as worlds

from cornelgrade import errors
from cornelgrade.standins import engine as engine_standin
from cornelgrade.standins import engine_model, plain_service

OUTAGE_S = 6.0
PAUSE_S = 2.5 * worlds.LEASE_S
SLOW_S = 3.0
RESTART_S = 1.0
IN_FLIGHT_S = 0.05


async def none(world: worlds.World, vm: str) -> None:
    """Let nothing go wrong."""


async def vm_lost(world: worlds.World, vm: str) -> None:
    """Lose the VM that reached the step."""
    world.kill(vm)
    await trio.sleep_forever()


async def upstreams_die(world: worlds.World, vm: str) -> None:
    """Kill every engine with its items in flight, and break the plain service's next answer."""
    world.plain.switch(plain_service.Switches(break_after=1))

    def crash() -> None:
        for engine in world.engines.values():
            engine.switch(engine_standin.Switches(crash=True, restart_s=RESTART_S))

    world.nursery.start_soon(_later, crash, IN_FLIGHT_S)


async def caller_resends(world: worlds.World, vm: str) -> None:
    """Let the caller send the same again at another VM."""
    world.on_resend()
    await trio.sleep(0.01)


async def platform_down(world: worlds.World, vm: str) -> None:
    """Take the platform down for a while, for everybody."""
    _switch_platform(world, down=True)


async def platform_slow(world: worlds.World, vm: str) -> None:
    """Make each call of the platform take longer than its deadline, for a while."""
    _switch_platform(world, slow_s=SLOW_S)


async def answer_lost(world: worlds.World, vm: str) -> None:
    """Lose the platform's answers to the next writes after their effect."""
    switches = world.platform.switches
    world.platform.switch(type(switches)(writes_per_s=0, reads_per_s=0, lose_answers=1))


async def paused(world: worlds.World, vm: str) -> None:
    """Hold the step up for longer than a lease lasts."""
    await trio.sleep(PAUSE_S)


async def operators_race(world: worlds.World, vm: str) -> None:
    """Let two operators submit different manifests from the same version."""
    for other, version in (("east-2", 8), ("west-2", 9)):
        world.nursery.start_soon(_submit, world, other, version)
    await trio.sleep(0.01)


async def crashing_request(world: worlds.World, vm: str) -> None:
    """Let a caller send a request that crashes each engine that runs it."""
    world.nursery.start_soon(_poison, world)
    await trio.sleep(0.01)


async def silence(world: worlds.World, vm: str) -> None:
    """Let all open connections to engines fall silent while new ones work."""
    for engine in world.engines.values():
        engine.switch(engine_standin.Switches(silence=True))


async def domain_cut_off(world: worlds.World, vm: str) -> None:
    """Cut the VM's failure domain from the other one and from the platform, for a while."""
    domain = world.vms[vm].failure_domain
    here = frozenset(v.name for v in world.vms.values() if v.failure_domain == domain)
    world.bus.partitions = (here,)
    world.cut_from_platform = {domain}
    world.cut_domains = {domain}

    def heal() -> None:
        world.bus.partitions = ()
        world.cut_from_platform = set()
        world.cut_domains = set()

    world.nursery.start_soon(_later, heal)


ROWS = {
    "nothing": none,
    "VM lost": vm_lost,
    "upstreams die": upstreams_die,
    "caller resends": caller_resends,
    "platform down": platform_down,
    "platform slow": platform_slow,
    "answer lost": answer_lost,
    "paused past its lease": paused,
    "operators race": operators_race,
    "crashing request": crashing_request,
    "silent connections": silence,
    "failure domain cut off": domain_cut_off,
}


def _switch_platform(world: worlds.World, **changes) -> None:
    kind = type(world.platform.switches)
    world.platform.switch(kind(writes_per_s=0, reads_per_s=0, **changes))
    normal = kind(writes_per_s=0, reads_per_s=0)
    world.nursery.start_soon(_later, lambda: world.platform.switch(normal))


async def _later(change, after_s: float = OUTAGE_S) -> None:
    await trio.sleep(after_s)
    change()


async def _submit(world: worlds.World, vm: str, version: int) -> None:
    def put(held):
        return worlds.put(held, worlds.wanted(version), world.first_version)

    try:
        await world.on(vm, put)
    except (errors.CornelgradeError, worlds.VmLost):
        return


async def _poison(world: worlds.World) -> None:
    prompt = f"{engine_model.CRASH_MARKER} {world.rng.random()}"
    await callers.stream(world, "poison", prompt, vms=("west-2", "east-2"))
