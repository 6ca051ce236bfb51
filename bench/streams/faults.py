"""Draws faults that overlap and injects them."""

import contextlib
import datetime
import random
import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Protocol, TypeVar

import msgspec
import trio

from bench import answers
from bench.soak import world
from bench.streams import engine, engines, judge, paths, rig, route_tables
from cornelgrade.standins import fault_proxy

# An engine registers its next start this late at the most.
MAX_REGISTRATION_S = 0.6
# The same while the gateways can't read it from the store.
MAX_UNREAD_REGISTRATION_S = 2.0
GATEWAYS_CUT_OFF_S = 3.0
SWAPPED_ENGINES = 2
RELEASED_ENGINES = 3
HEADS_ONLY_S = 0.6
# From the removal of a registration to the kill of all gateways.
MAX_REMOVAL_S = 1.0
MAX_AWAY_S = 3.0
# Engines that started long ago can't have replaced others.
AGE_S = 600.0
OWN_ANSWERS_S = 1.5
# A gateway that runs answers its readiness check sooner than this.
MAX_READY_S = 2.0
FULL_ENGINES = 4
# Shares of responses that a seed may draw.
SHARES = (0.0, 0.0, 0.15, 0.3)
KIND_SHARE = 0.4
# Version of the list of kinds; raised when kinds are added, so that earlier draws stay.
LIST_VERSION = 5


class Kind(msgspec.Struct, frozen=True):
    """A kind of fault.

    :param inject: called with what draws this one fault.
    :param gap_s: mean time between two of them.
    :param since: version of the list of kinds that has it first.
    """

    name: str
    inject: Callable[["Faults", random.Random], Awaitable[None]]
    gap_s: float
    since: int = 2


class Faults:
    """The faults of one seed.

    :ivar counts: how often each kind was injected.
    :ivar log: one line for each fault, with the time as in the logs of the processes.
    """

    def __init__(self, system: rig.Rig, seed: int) -> None:
        self.system = system
        self.counts: dict[str, int] = {}
        self.log: list[str] = []
        self._seed = seed
        self._plan_version = 1

    async def run(self, kinds: list[Kind], seconds: float) -> None:
        """Inject faults of these kinds beside each other for a time, then wait for their ends."""
        until_s = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for kind in kinds:
                nursery.start_soon(self._repeat, nursery, kind, until_s)

    async def _repeat(self, nursery: trio.Nursery, kind: Kind, until_s: float) -> None:
        # Each kind and each fault draws apart, so that none changes what another one draws.
        rng = random.Random(f"streams {self._seed} {kind.name}")
        while True:
            await trio.sleep(rng.expovariate(1 / kind.gap_s))
            if trio.current_time() > until_s:
                return
            self.counts[kind.name] = self.counts.get(kind.name, 0) + 1
            self._record(f"fault={kind.name!r}")
            nursery.start_soon(kind.inject, self, random.Random(rng.getrandbits(64)))

    def _record(self, text: str) -> None:
        now = datetime.datetime.now(datetime.UTC)
        self.log.append(f"time={now:%Y-%m-%dT%H:%M:%S.%fZ} {text}")

    def _hold_engine(
        self, rng: random.Random, unlike: str = ""
    ) -> contextlib.AbstractContextManager[engines.Engine | None]:
        """Hold an engine on which no other fault is at work; ``None`` if there are too few.

        :param unlike: version that it must not have.
        """
        free = [eng for eng in self.system.engines if not eng.held]
        enough = len(free) > len(self.system.engines) // 2
        return _hold(rng, [eng for eng in free if enough and eng.version != unlike])

    async def restart_engine(self, rng: random.Random) -> None:
        """Kill an engine; it comes back, maybe as the other version, once or more unregistered."""
        with self._hold_engine(rng) as eng:
            if eng is None:
                return
            while True:
                await eng.kill()
                await trio.sleep(rng.uniform(0.0, 0.5))
                await eng.start(self.system.nursery, rng.choice(judge.VERSIONS))
                await trio.sleep(rng.uniform(0.0, MAX_REGISTRATION_S))
                if rng.random() < 0.6:
                    break
            await self.system.register(eng)

    async def leave_engine(self, rng: random.Random) -> None:
        """Let an engine leave, end some seconds later and come back as either version."""
        with self._hold_engine(rng) as eng:
            if eng is not None:
                await self._replace(eng, rng, rng.choice(judge.VERSIONS))

    async def release(self, rng: random.Random) -> None:
        """Replace several engines by another version, one after the other, under their ids."""
        version = rng.choice(judge.VERSIONS)
        for _ in range(RELEASED_ENGINES):
            with self._hold_engine(rng, unlike=version) as eng:
                if eng is not None:
                    await self._replace(eng, rng, version)

    async def _replace(self, eng: engines.Engine, rng: random.Random, version: str) -> None:
        eng.signal(engine.LEAVE_SIGNAL)
        await self.system.register(eng, leaving=True)
        await trio.sleep(rng.uniform(1.0, 3.0))
        await eng.kill()
        await eng.start(self.system.nursery, version)
        await self.system.register(eng)

    async def stop_engine(self, rng: random.Random) -> None:
        """Stop an engine's process for a second or so."""
        with self._hold_engine(rng) as eng:
            if eng is not None:
                await _pause(eng.signal, rng)

    async def end_paths(self, rng: random.Random) -> None:
        """End all connections to an engine while it goes on running."""
        eng = rng.choice(self.system.engines)
        self._record(f"ended={eng.name}")
        eng.proxy.switch(fault_proxy.Switches(end=True))

    async def reset_paths(self, rng: random.Random) -> None:
        """Reset all connections to an engine while it goes on running."""
        self._choose_proxy(rng).switch(fault_proxy.Switches(cut=True))

    async def end_paths_twice(self, rng: random.Random) -> None:
        """End or reset all connections to an engine, and again those made shortly after."""
        proxy = self._choose_proxy(rng)
        for pause_s in (rng.uniform(0.05, 0.4), 0.0):
            ends = rng.random() < 0.5
            proxy.switch(fault_proxy.Switches(end=ends, cut=not ends))
            await trio.sleep(pause_s)

    async def fill_engines(self, rng: random.Random) -> None:
        """Let engines decline all requests for a while, and end the streams of one of them."""
        full = rng.sample(self.system.engines, rng.randint(1, FULL_ENGINES))
        for eng in full:
            eng.send(engine.Command(rng.uniform(0.3, 2.0), full=True))
        await trio.sleep(rng.uniform(0.0, 0.2))
        full[0].proxy.switch(fault_proxy.Switches(end=True))

    async def preempt_runs(self, rng: random.Random) -> None:
        """Pause the newest runs of an engine."""
        eng = rng.choice(self.system.engines)
        eng.send(engine.Command(rng.uniform(0.5, 3.0), preempted=rng.randint(1, 4)))

    async def send_extra_responses(self, rng: random.Random) -> None:
        """Let an engine write late responses to other requests for a while."""
        rng.choice(self.system.engines).send(engine.Command(rng.uniform(0.5, 2.0), extra=True))

    async def upgrade(self, rng: random.Random) -> None:
        """Replace all gateways and workers one after the other, but those at fault already."""
        daemons = list(self.system.daemons.values())
        rng.shuffle(daemons)
        for daemon in daemons:
            stop = rng.choice((rig.Daemon.kill, _stop_gracefully))
            await self._restart(daemon.role, rng, stop, [daemon])

    async def end_single_path(self, rng: random.Random) -> None:
        """End one connection to an engine between two events of a stream."""
        if found := self._choose_stream(rng):
            connection, stream = found
            if not stream.framed:
                end = judge.End(stream.request, stream.last_event, framed=False)
                self.system.ended_paths.append(end)
            connection.end()

    async def end_within_event(self, rng: random.Random) -> None:
        """End one connection to an engine inside an event of a stream."""
        if found := self._choose_stream(rng):
            found[0].end_within_next()

    async def end_after_heads(self, rng: random.Random) -> None:
        """End connections to an engine right after the heads of its responses for a while."""
        proxy = self._choose_proxy(rng)
        proxy.switch(fault_proxy.Switches(end_after_head=True))
        await trio.sleep(HEADS_ONLY_S)
        proxy.switch(fault_proxy.Switches())

    def _choose_proxy(self, rng: random.Random) -> fault_proxy.FaultProxy:
        return rng.choice(self.system.engines).proxy

    def _choose_stream(
        self, rng: random.Random
    ) -> tuple[fault_proxy.RelayedConnection, paths.Stream] | None:
        """Return a connection that is between two events of a stream, if there is any."""
        connections = [c for eng in self.system.engines for c in eng.proxy.connections]
        read = ((connection, paths.read_stream(connection)) for connection in connections)
        found = [(connection, stream) for connection, stream in read if stream is not None]
        found.sort(key=lambda pair: pair[1].request)
        return rng.choice(found) if found else None

    async def kill_gateway(self, rng: random.Random) -> None:
        """Kill a gateway and start it again."""
        await self._restart(world.GATEWAY, rng, rig.Daemon.kill)

    async def kill_gateways(self, rng: random.Random) -> None:
        """Remove the registrations of a version that serves on, then kill all gateways at once."""
        version = rng.choice(judge.VERSIONS)
        leaving = [eng for eng in self.system.engines if eng.version == version]
        held = (*self.system.gateways, *leaving)
        if len(leaving) == len(self.system.engines) or any(thing.held for thing in held):
            return
        with contextlib.ExitStack() as stack:
            for thing in held:
                stack.enter_context(_hold(rng, [thing]))
            for eng in leaving:
                await self.system.unregister(eng)
            await trio.sleep(rng.uniform(0.0, MAX_REMOVAL_S))
            async with trio.open_nursery() as nursery:
                for daemon in self.system.gateways:
                    nursery.start_soon(_restart_at_once, daemon)
            await trio.sleep(rng.uniform(MAX_REGISTRATION_S, MAX_AWAY_S))
            for eng in leaving:
                await self.system.register(eng)

    async def answer_uploads_early(self, rng: random.Random) -> None:
        """Let an engine answer uploads at once in part, and reset them."""
        self.system.uploads += 1
        eng = rng.choice(self.system.engines)
        await self._answer_for(eng, answers.EarlyAnswer(eng.encode_first))
        self.system.uploads -= 1

    async def send_endless_pieces(self, rng: random.Random) -> None:
        """Let an engine send small pieces without end; the gateways answer readiness checks."""
        eng = rng.choice(self.system.engines)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._answer_for, eng, answers.EndlessPieces(eng.encode_first))
            for daemon in self.system.gateways:
                nursery.start_soon(self._check_ready, daemon)

    async def _answer_for(self, eng: engines.Engine, own: fault_proxy.OwnAnswer) -> None:
        """Answer in place of an engine for a while, unless that is done already."""
        if eng.proxy.own_answer is None:
            eng.proxy.own_answer = own
            await trio.sleep(OWN_ANSWERS_S)
            eng.proxy.own_answer = None

    async def _check_ready(self, daemon: rig.Daemon) -> None:
        """Find a gateway that answers no readiness check although nothing else is done to it."""
        until_s = trio.current_time() + OWN_ANSWERS_S + MAX_READY_S
        answered_s = trio.current_time()
        while trio.current_time() < until_s:
            if daemon.held or await world.ask_ready(daemon.ready_address):
                answered_s = trio.current_time()
            if trio.current_time() - answered_s >= MAX_READY_S:
                self._record(f"unready={daemon.name}")
                self.system.problems.append(f"{daemon.name} answered no readiness check")
                return
            await trio.sleep(0.1)

    async def change_routes(self, rng: random.Random) -> None:
        """Add and remove routes that fit calls about jobs or paths of items."""
        self._plan_version += rng.randint(1, 5)
        plan = route_tables.draw_plan(rng, self._plan_version, mild=True)
        self._record(f"plan={plan.version} routes={[r.path_prefix for r in plan.routes]}")
        await self.system.put_plan(plan)

    async def kill_worker(self, rng: random.Random) -> None:
        """Kill a worker and start it again."""
        await self._restart(world.WORKER, rng, rig.Daemon.kill)

    async def restart_gateway(self, rng: random.Random) -> None:
        """Tell a gateway to stop while it has streams, and start it again."""
        await self._restart(world.GATEWAY, rng, _stop_gracefully)

    async def _restart(
        self,
        role: str,
        rng: random.Random,
        stop: Callable[[rig.Daemon], Awaitable[None]],
        among: Sequence[rig.Daemon] | None = None,
    ) -> None:
        with self._hold_daemon(role, rng, among) as daemon:
            if daemon is not None:
                await stop(daemon)
                await daemon.start()

    async def stop_gateway(self, rng: random.Random) -> None:
        """Stop a gateway's process for a second or so."""
        await self._pause_daemon(world.GATEWAY, rng)

    async def stop_worker(self, rng: random.Random) -> None:
        """Stop a worker's process for a second or so."""
        await self._pause_daemon(world.WORKER, rng)

    async def _pause_daemon(self, role: str, rng: random.Random) -> None:
        with self._hold_daemon(role, rng) as daemon:
            if daemon is not None:
                await _pause(daemon.signal, rng)

    def _hold_daemon(
        self, role: str, rng: random.Random, among: Sequence[rig.Daemon] | None = None
    ) -> contextlib.AbstractContextManager[rig.Daemon | None]:
        """Hold a gateway or worker; ``None`` if only one is without another fault.

        :param among: those that may be held, ``None`` for all.
        """
        free = [daemon for daemon in self.system.list_daemons(role) if not daemon.held]
        enough = len(free) > 1
        return _hold(rng, [d for d in free if enough and (among is None or d in among)])

    async def cut_store(self, rng: random.Random) -> None:
        """Let the store reset all connections of a gateway or worker for a while."""
        proxy = rng.choice(list(self.system.store_paths.values()))
        await _refuse([proxy], rng.uniform(0.5, 3.0))

    async def cut_gateways_off(self, rng: random.Random) -> None:
        """Cut all gateways from the store while engines come back at once as the other version."""
        cut = [self.system.store_paths[daemon.name] for daemon in self.system.gateways]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_refuse, cut, GATEWAYS_CUT_OFF_S)
            for _ in range(SWAPPED_ENGINES):
                nursery.start_soon(self._swap_engine, random.Random(rng.getrandbits(64)))

    async def _swap_engine(self, rng: random.Random) -> None:
        with self._hold_engine(rng) as eng:
            if eng is not None:
                await eng.kill()
                other = next(version for version in judge.VERSIONS if version != eng.version)
                await eng.start(self.system.nursery, other)
                await trio.sleep(rng.uniform(0.0, MAX_UNREAD_REGISTRATION_S))
                await self.system.register(eng)

    async def strand_gateway(self, rng: random.Random) -> None:
        """Refuse all connections of a gateway to engines, and reset those that are open."""
        daemon = rng.choice(self.system.gateways)
        self.system.stranded.add(daemon.name)
        for eng in self.system.engines:
            eng.proxy.reset_refused()
        await trio.sleep(rng.uniform(1.0, 3.0))
        self.system.stranded.discard(daemon.name)


class Held(Protocol):
    """What at most one fault at a time is at work on."""

    held: bool


H = TypeVar("H", bound=Held)


@contextlib.contextmanager
def _hold(rng: random.Random, free: Sequence[H]) -> Iterator[H | None]:
    if not free:
        yield None
        return
    held = rng.choice(free)
    held.held = True
    try:
        yield held
    finally:
        held.held = False


async def _pause(send: Callable[[signal.Signals], None], rng: random.Random) -> None:
    send(signal.SIGSTOP)
    try:
        await trio.sleep(rng.uniform(0.3, 1.6))
    finally:
        send(signal.SIGCONT)


async def _stop_gracefully(daemon: rig.Daemon) -> None:
    daemon.signal(signal.SIGTERM)
    with trio.move_on_after(world.STOP_LIMIT_S):
        await daemon.wait()
    await daemon.kill()


async def _restart_at_once(daemon: rig.Daemon) -> None:
    await daemon.kill()
    await daemon.start()


async def _refuse(proxies: list[fault_proxy.FaultProxy], for_s: float) -> None:
    """Reset all connections of proxies for a while, but of those that do so already."""
    proxies = [proxy for proxy in proxies if not proxy.switches.refuse]
    for proxy in proxies:
        proxy.switch(fault_proxy.Switches(cut=True, refuse=True))
    await trio.sleep(for_s)
    for proxy in proxies:
        proxy.switch(fault_proxy.Switches())


KINDS = (
    Kind("engine restarted", Faults.restart_engine, 0.8, since=1),
    Kind("engine stopped", Faults.stop_engine, 1.5, since=1),
    Kind("paths ended", Faults.end_paths, 1.0, since=1),
    Kind("paths reset", Faults.reset_paths, 2.0, since=1),
    Kind("gateway killed", Faults.kill_gateway, 3.0, since=1),
    Kind("gateway stopped", Faults.stop_gateway, 3.0, since=1),
    Kind("store cut", Faults.cut_store, 2.0, since=1),
    Kind("gateway stranded", Faults.strand_gateway, 3.0, since=1),
    Kind("single path ended", Faults.end_single_path, 0.5),
    Kind("path ended within event", Faults.end_within_event, 1.0),
    Kind("paths ended after heads", Faults.end_after_heads, 2.0),
    Kind("worker killed", Faults.kill_worker, 2.0),
    Kind("worker stopped", Faults.stop_worker, 2.0),
    Kind("gateway restarted", Faults.restart_gateway, 4.0),
    Kind("engine leaves", Faults.leave_engine, 2.0),
    Kind("gateways cut off", Faults.cut_gateways_off, 4.0),
    Kind("release", Faults.release, 5.0),
    Kind("paths ended twice", Faults.end_paths_twice, 1.0, since=3),
    Kind("engines full", Faults.fill_engines, 1.5, since=3),
    Kind("runs preempted", Faults.preempt_runs, 0.8, since=3),
    Kind("extra responses", Faults.send_extra_responses, 0.8, since=3),
    Kind("upgrade", Faults.upgrade, 3.0, since=3),
    Kind("gateways killed", Faults.kill_gateways, 4.0, since=4),
    Kind("early answers", Faults.answer_uploads_early, 1.5, since=4),
    Kind("endless pieces", Faults.send_endless_pieces, 3.0, since=4),
    Kind("routes change", Faults.change_routes, 0.7, since=5),
)


def draw_kinds(seed: int, listed: int) -> list[Kind]:
    """Return the kinds of a seed.

    :param listed: version of the list of kinds that it draws from.
    """
    return [
        kind
        for kind in KINDS
        if kind.since <= listed and random.Random(f"kinds {seed} {kind.name}").random() < KIND_SHARE
    ]


def changes_routes(kinds: list[Kind]) -> bool:
    """Return whether routes change in a trial."""
    return any(kind.inject is Faults.change_routes for kind in kinds)


def choose_age_s(kinds: list[Kind]) -> float:
    """Return for how long engines say that they have run when they start."""
    return AGE_S if any(kind.inject is Faults.kill_gateways for kind in kinds) else 0.0


def draw_shares(rng: random.Random) -> dict[str, float]:
    """Draw how often the engines of a seed fail single responses."""
    return {
        "unframed": rng.choice((0.0, 0.5, 1.0, 1.0)),
        "ends_early": rng.choice(SHARES),
        "second_answers": rng.choice(SHARES),
        "empty_replies": rng.choice(SHARES),
    }
