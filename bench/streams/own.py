"""One seeded trial of the product's own interface, with every program as a process."""

import pathlib
import random
import shutil

import msgspec
import trio
from tests.process import harness

from bench.streams import own_callers, own_faults, own_judge

VMS, ENGINES = 2, 4
ENGINE = {"step_s": 0.02, "sequence_step_s": 0.0005, "slots": 4}
BATCH = {"chunk_items": 8, "lease_s": 1.0, "lean": 1.0, "max_attempts": 4}


class Report(msgspec.Struct, frozen=True):
    """What a trial played and found.

    :param whole: requests that brought a whole answer.
    """

    requests: int
    whole: int
    items: int
    accepted_items: int
    engine: dict
    faults: dict[str, int]
    problems: list[str]


def run(
    seed: int, folder: pathlib.Path, seconds: float, kinds: tuple[str, ...] | None = None
) -> Report:
    """Run one seed; logs of the processes go to ``folder``.

    :param kinds: names of kinds of faults, ``None`` for those that the seed draws.
    """
    folder.mkdir(parents=True, exist_ok=True)
    rng = random.Random(f"own engines {seed}")
    config = ENGINE | {"unframed": rng.random() < 0.5, "names_itself": rng.random() < 0.8}
    versions = tuple(rng.choice(own_judge.VERSIONS) for _ in range(ENGINES))
    if not config["names_itself"]:
        versions = own_judge.VERSIONS[:1]
    chosen = own_faults.draw_kinds(seed)
    if kinds is not None:
        chosen = [kind for kind in own_faults.KINDS if kind.name in kinds]
    with harness.Fleet(
        vms=VMS,
        engines=ENGINES,
        engine=config,
        versions=versions,
        proxied=True,
        manifest={"batch": BATCH},
    ) as fleet:
        try:
            callers = own_callers.Callers(fleet, seed)
            faults = own_faults.Faults(fleet, seed, config)
            trio.run(_play, callers, faults, chosen, seconds)
        finally:
            for log in fleet.folder.glob("*.log"):
                shutil.copy(log, folder)
    (folder / "faults.log").write_text("\n".join([*faults.log, ""]))
    counts = {kind.name: faults.counts[kind.name] for kind in chosen}
    return Report(
        callers.requests,
        callers.whole,
        callers.items,
        callers.accepted_items,
        config,
        counts,
        callers.problems,
    )


async def _play(
    callers: own_callers.Callers,
    faults: own_faults.Faults,
    kinds: list[own_faults.Kind],
    seconds: float,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, seconds)
        nursery.start_soon(faults.run, kinds, seconds)
