"""Faults of engines' answers, and of what gateways know of software versions."""

import contextlib

import trio

from bench import answers
from bench.soak import faults, world
from cornelgrade.platform.standins import stream_engine
from cornelgrade.standins import fault_proxy

ANSWERS_GAP_S = 3.0
FORGET_GAP_S = 6.0
ANSWERS_S = (0.5, 2.0)
# From the removal of an entry to the kill of all gateways, and until the engine has left.
REMOVED_S = (0.1, 1.0)
AWAY_S = (1.0, 3.0)
# A gateway that runs answers its readiness check sooner than this.
MAX_READY_S = 2.0
# Engines that started long ago can't have replaced others.
ENGINE_AGE_S = 600.0


async def _answer_uploads_early(injection: faults.Injection) -> None:
    """Let an engine answer uploads at once in part, and reset them."""
    injection.system.uploads += 1
    if (engine := injection.free_engine()) is not None:
        await _answer_for(injection, engine, answers.EarlyAnswer(_encoder(engine)))
    injection.system.uploads -= 1


async def _send_endless_pieces(injection: faults.Injection) -> None:
    """Let an engine send small pieces without end; the gateways answer readiness checks."""
    if (engine := injection.free_engine()) is None:
        return
    async with trio.open_nursery() as nursery:
        own = answers.EndlessPieces(_encoder(engine))
        nursery.start_soon(_answer_for, injection, engine, own)
        for daemon in injection.free_daemons(world.GATEWAY):
            nursery.start_soon(_check_ready, injection.system, daemon)


def _encoder(engine: world.Engine) -> answers.EncodeFirst:
    made = engine.stand_in

    def encode_first(request: str) -> bytes:
        # The request has run there for all that callers, gateways and workers can see.
        now_s = trio.current_time()
        run = stream_engine.ReceivedRequest(request, b"", {}, b"", None, now_s, made.version)
        run.ran = True
        made.seen.append(run)
        return stream_engine.encode_event(request, 1, made.version)

    return encode_first


async def _answer_for(
    injection: faults.Injection, engine: world.Engine, own: fault_proxy.OwnAnswer
) -> None:
    """Answer in place of an engine for a while."""
    with injection.on_engine(engine, "answers"):
        engine.proxy.own_answer = own
        await trio.sleep(injection.between(ANSWERS_S))
        engine.proxy.own_answer = None


async def _check_ready(system: world.World, daemon: world.Daemon) -> None:
    """Find a gateway that answers no readiness check although no fault is at work on it."""
    until_s = trio.current_time() + MAX_READY_S + max(ANSWERS_S)
    answered_s = begin_s = trio.current_time()
    while trio.current_time() < until_s:
        if daemon.held or await world.ask_ready(daemon.ready_address):
            answered_s = trio.current_time()
        late_s = trio.current_time() - answered_s - system.stalled_s(begin_s)
        if late_s >= MAX_READY_S:
            system.problems.append(f"{daemon.name} answered no readiness check")
            return
        await trio.sleep(0.1)


async def _forget_versions(injection: faults.Injection) -> None:
    """Remove the entries of a version's engines, and kill all gateways before these leave."""
    gateways = injection.free_daemons(world.GATEWAY)
    first = injection.free_engine()
    if first is None or len(gateways) < len(injection.system.gateways):
        return
    version = first.stand_in.version
    engines = [
        e
        for e in injection.system.engines.values()
        if e.stand_in.version == version and not e.held and e.left_s is None
    ]
    with contextlib.ExitStack() as stack:
        for engine in engines:
            stack.enter_context(injection.on_engine(engine, "entry"))
            await injection.system.unregister(engine)
        await trio.sleep(injection.between(REMOVED_S))
        async with trio.open_nursery() as nursery:
            for daemon in gateways:
                nursery.start_soon(injection.kill, daemon)
        await trio.sleep(injection.between(AWAY_S))
        for engine in engines:
            await injection.system.register(engine)


KINDS: tuple[faults.Kind, ...] = (
    (
        "answers",
        ANSWERS_GAP_S,
        {"early_answers": _answer_uploads_early, "endless_pieces": _send_endless_pieces},
    ),
    ("forgotten", FORGET_GAP_S, {"versions_forgotten": _forget_versions}),
)
