"""One seeded trial of the order of streams and items."""

import pathlib
import random

import msgspec
import trio

from bench.soak import world
from bench.streams import callers, engine, faults, judge, rig

EVENTS = engine.EngineSettings.__struct_defaults__[0]


class Options(msgspec.Struct, frozen=True):
    """What is the same for all seeds.

    :param programs: checkout whose gateways and workers run.
    :param first: checkout of the first start of each, ``None`` for the same.
    :param kinds: names of kinds of faults, ``None`` for those that the seed draws.
    :param listed: version of the list of kinds that the seed draws from.
    :param shares: of failed responses, ``None`` for those that the seed draws.
    """

    seconds: float = 10.0
    programs: pathlib.Path = world.ROOT
    first: pathlib.Path | None = None
    kinds: tuple[str, ...] | None = None
    listed: int = faults.LIST_VERSION
    shares: dict[str, float] | None = None


class Report(msgspec.Struct, frozen=True):
    """What a trial played and found; no problems are found if everything was in order."""

    streams: int
    items: int
    shares: dict[str, float]
    faults: dict[str, int]
    found: judge.Findings


async def run(seed: int, folder: pathlib.Path, options: Options) -> Report:
    """Run one seed; logs of the processes go to ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    shares = options.shares
    if shares is None:
        shares = faults.draw_shares(random.Random(f"shares {seed}"))
    builds = rig.Builds(options.first or options.programs, options.programs)
    kinds = faults.draw_kinds(seed, options.listed)
    if options.kinds is not None:
        kinds = [kind for kind in faults.KINDS if kind.name in options.kinds]
    engine_settings = {**shares, "age_s": faults.choose_age_s(kinds)}
    async with rig.running(folder, builds, seed, engine_settings) as system:
        injected = faults.Faults(system, seed)
        system.routes_change = faults.changes_routes(kinds)
        seen = callers.Callers(system, seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(seen.run, options.seconds)
            nursery.start_soon(injected.run, kinds, options.seconds)
        found = judge.find_problems(seen.streams, seen.results, system.early_ends, EVENTS)
        found.problems.extend(system.problems)
        ends = [f"{end}" for end in system.early_ends]
        (folder / "faults.log").write_text("\n".join([*injected.log, *ends, ""]))
        counts = {kind.name: injected.counts.get(kind.name, 0) for kind in kinds}
        return Report(len(seen.streams), len(seen.results), shares, counts, found)
