"""Draws faults that overlap and injects them."""

import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

import msgspec
import trio

from bench.streams import engines, rig
from cornelgrade.standins import fault_proxy

VERSIONS = ("v1", "v2")
# An engine registers its next start this late at the most.
MAX_REGISTRATION_S = 0.6
# Shares of responses that a seed may draw.
SHARES = (0.0, 0.0, 0.15, 0.3)
MIN_KINDS = 2


class Kind(msgspec.Struct, frozen=True):
    """A kind of fault.

    :param gap_s: mean time between two of them.
    """

    name: str
    inject: Callable[["Faults"], Awaitable[None]]
    gap_s: float


class Faults:
    """The faults of one seed.

    :ivar counts: how often each kind was injected.
    """

    def __init__(self, system: rig.Rig, seed: int) -> None:
        self.system = system
        self.rng = random.Random(f"streams {seed}")
        self.counts: dict[str, int] = {}

    def draw_kinds(self) -> list[Kind]:
        """Return the kinds of this seed."""
        return self.rng.sample(KINDS, self.rng.randint(MIN_KINDS, len(KINDS) - 1))

    async def run(self, kinds: list[Kind], seconds: float) -> None:
        """Inject faults of these kinds beside each other for a time, then wait for their ends."""
        until_s = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for kind in kinds:
                nursery.start_soon(self._repeat, nursery, kind, until_s)

    async def _repeat(self, nursery: trio.Nursery, kind: Kind, until_s: float) -> None:
        while True:
            await trio.sleep(self.rng.expovariate(1 / kind.gap_s))
            if trio.current_time() > until_s:
                return
            self.counts[kind.name] = self.counts.get(kind.name, 0) + 1
            nursery.start_soon(kind.inject, self)

    @contextlib.contextmanager
    def _hold_engine(self):
        """Hold an engine on which no other fault is at work; ``None`` if there are too few."""
        free = [eng for eng in self.system.engines if not eng.held]
        if len(free) <= len(self.system.engines) // 2:
            yield None
            return
        eng = self.rng.choice(free)
        eng.held = True
        try:
            yield eng
        finally:
            eng.held = False

    async def restart_engine(self) -> None:
        """Kill an engine; it comes back, maybe as the other version, once or more unregistered."""
        with self._hold_engine() as eng:
            if eng is None:
                return
            while True:
                await eng.kill()
                await trio.sleep(self.rng.uniform(0.0, 0.5))
                await eng.start(self.system.nursery, self.rng.choice(VERSIONS))
                await trio.sleep(self.rng.uniform(0.0, MAX_REGISTRATION_S))
                if self.rng.random() < 0.6:
                    break
            await self.system.register(eng)

    async def stop_engine(self) -> None:
        """Stop an engine's process for a second or so."""
        with self._hold_engine() as eng:
            if eng is not None:
                await self._pause(eng.signal)

    async def _pause(self, send: Callable[[signal.Signals], None]) -> None:
        send(signal.SIGSTOP)
        try:
            await trio.sleep(self.rng.uniform(0.3, 1.6))
        finally:
            send(signal.SIGCONT)

    async def end_paths(self) -> None:
        """End all connections to an engine while it goes on running."""
        self._choose_engine().proxy.switch(fault_proxy.Switches(end=True))

    async def reset_paths(self) -> None:
        """Reset all connections to an engine while it goes on running."""
        self._choose_engine().proxy.switch(fault_proxy.Switches(cut=True))

    def _choose_engine(self) -> engines.Engine:
        return self.rng.choice(self.system.engines)

    async def kill_gateway(self) -> None:
        """Kill a gateway and start it again."""
        daemon = self.rng.choice(self.system.gateways)
        if not daemon.held:
            daemon.held = True
            await daemon.kill()
            await daemon.start()
            daemon.held = False

    async def stop_gateway(self) -> None:
        """Stop a gateway's process for a second or so."""
        daemon = self.rng.choice(self.system.gateways)
        if not daemon.held:
            daemon.held = True
            await self._pause(daemon.signal)
            daemon.held = False

    async def cut_store(self) -> None:
        """Let the store reset all connections of a gateway or worker for a while."""
        proxy = self.rng.choice(list(self.system.store_paths.values()))
        proxy.switch(fault_proxy.Switches(cut=True, refuse=True))
        await trio.sleep(self.rng.uniform(0.5, 3.0))
        proxy.switch(fault_proxy.Switches())

    async def strand_gateway(self) -> None:
        """Refuse all connections of a gateway to engines, and reset those that are open."""
        daemon = self.rng.choice(self.system.gateways)
        self.system.stranded.add(daemon.name)
        for eng in self.system.engines:
            eng.proxy.reset_refused()
        await trio.sleep(self.rng.uniform(1.0, 3.0))
        self.system.stranded.discard(daemon.name)


KINDS = (
    Kind("engine restarted", Faults.restart_engine, 0.8),
    Kind("engine stopped", Faults.stop_engine, 1.5),
    Kind("paths ended", Faults.end_paths, 1.0),
    Kind("paths reset", Faults.reset_paths, 2.0),
    Kind("gateway killed", Faults.kill_gateway, 3.0),
    Kind("gateway stopped", Faults.stop_gateway, 3.0),
    Kind("store cut", Faults.cut_store, 2.0),
    Kind("gateway stranded", Faults.strand_gateway, 3.0),
)


def draw_shares(rng: random.Random) -> dict[str, float]:
    """Draw how often the engines of a seed fail single responses."""
    return {
        "unframed": rng.choice((0.0, 0.5, 1.0, 1.0)),
        "ends_early": rng.choice(SHARES),
        "second_answers": rng.choice(SHARES),
        "empty_replies": rng.choice(SHARES),
    }
