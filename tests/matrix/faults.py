"""The rows of the matrix: faults that are injected when a VM reaches a step."""

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


async def inject_nothing(world: worlds.World, vm: str) -> None:
    """Inject no fault."""


async def lose_vm(world: worlds.World, vm: str) -> None:
    """Lose the VM that reached the step."""
    world.kill(vm)
    await trio.sleep_forever()


async def crash_upstreams(world: worlds.World, vm: str) -> None:
    """Crash every engine with items in flight, and abort the plain service's next response."""
    world.plain.switch(plain_service.Switches(break_after=1))

    def crash() -> None:
        for engine in world.engines.values():
            engine.switch(engine_standin.Switches(crash=True, restart_s=RESTART_S))

    world.nursery.start_soon(_run_later, crash, IN_FLIGHT_S)


async def resend_from_caller(world: worlds.World, vm: str) -> None:
    """Make the caller resend the request at another VM."""
    world.on_resend()
    await trio.sleep(0.01)


async def stop_platform(world: worlds.World, vm: str) -> None:
    """Make the platform unavailable to every VM for `OUTAGE_S`."""
    _switch_platform(world, down=True)


async def slow_platform(world: worlds.World, vm: str) -> None:
    """Delay every platform call past its deadline for `OUTAGE_S`."""
    _switch_platform(world, slow_s=SLOW_S)


async def lose_platform_response(world: worlds.World, vm: str) -> None:
    """Lose the response to the platform's next write after the write took effect."""
    switches = world.platform.switches
    world.platform.switch(type(switches)(writes_per_s=0, reads_per_s=0, lose_answers=1))


async def pause_vm(world: worlds.World, vm: str) -> None:
    """Pause the step for longer than a lease."""
    await trio.sleep(PAUSE_S)


async def race_operators(world: worlds.World, vm: str) -> None:
    """Submit different manifests by two operators, based on the same version."""
    for other, version in (("east-2", 8), ("west-2", 9)):
        world.nursery.start_soon(_submit, world, other, version)
    await trio.sleep(0.01)


async def inject_crashing_request(world: worlds.World, vm: str) -> None:
    """Send a request that crashes each engine that runs it."""
    world.nursery.start_soon(_send_crashing_request, world)
    await trio.sleep(0.01)


async def silence_connections(world: worlds.World, vm: str) -> None:
    """Stall all open connections to engines while new connections work."""
    for engine in world.engines.values():
        engine.switch(engine_standin.Switches(silence=True))


async def isolate_domain(world: worlds.World, vm: str) -> None:
    """Partition the VM's failure domain from the other one and the platform for `OUTAGE_S`."""
    domain = world.vms[vm].failure_domain
    here = frozenset(v.name for v in world.vms.values() if v.failure_domain == domain)
    world.bus.partitions = (here,)
    world.cut_from_platform = {domain}
    world.partitioned_domains = {domain}

    def heal() -> None:
        world.bus.partitions = ()
        world.cut_from_platform = set()
        world.partitioned_domains = set()

    world.nursery.start_soon(_run_later, heal)


ROWS = {
    "nothing": inject_nothing,
    "VM lost": lose_vm,
    "upstreams die": crash_upstreams,
    "caller resends": resend_from_caller,
    "platform down": stop_platform,
    "platform slow": slow_platform,
    "answer lost": lose_platform_response,
    "paused past its lease": pause_vm,
    "operators race": race_operators,
    "crashing request": inject_crashing_request,
    "silent connections": silence_connections,
    "failure domain cut off": isolate_domain,
}


def _switch_platform(world: worlds.World, **changes) -> None:
    kind = type(world.platform.switches)
    world.platform.switch(kind(writes_per_s=0, reads_per_s=0, **changes))
    normal = kind(writes_per_s=0, reads_per_s=0)
    world.nursery.start_soon(_run_later, lambda: world.platform.switch(normal))


async def _run_later(change, after_s: float = OUTAGE_S) -> None:
    await trio.sleep(after_s)
    change()


async def _submit(world: worlds.World, vm: str, version: int) -> None:
    def put(target_vm):
        return worlds.put(target_vm, worlds.make_fleet_manifest(version), world.first_version)

    try:
        await world.call_at(vm, put)
    except (errors.CornelgradeError, worlds.VmLost):
        return


async def _send_crashing_request(world: worlds.World) -> None:
    prompt = f"{engine_model.CRASH_MARKER} {world.rng.random()}"
    await callers.send_stream(world, "poison", prompt, vms=("west-2", "east-2"))
