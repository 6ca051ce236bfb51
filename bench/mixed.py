"""Mixed load: online bursts with batch work always waiting, on the engine stand-ins' model.

Runs on a virtual clock, so that figures follow from the policy and the seed alone::

    python -m bench.mixed --seed 5 --seconds 60 --write docs/BENCH.md --plot docs/mixed.svg
"""

import argparse
import dataclasses
import datetime
import json
import pathlib
import random

import trio
import trio.testing

from bench import mixed_load, mixed_world
from cornelgrade import manifest
from cornelgrade.services import job_store, job_submission

HEADING = "## Mixed load"
BACKLOG_S = 1.5
JOB_ITEMS = 16_000
UNIX_S = 1_800_000_000.0
LEANS = (0.0, 0.25, 0.5, 0.75, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """A way to run batch beside online.

    :param outstanding: items kept at each engine without any policy, 0 for none.
    :param online_slots: slots of each engine that gateways use.
    :param lean: the policy's setting, ``None`` where it does not run.
    """

    name: str
    outstanding: int = 0
    online_slots: int = mixed_world.SLOTS
    lean: float | None = None


WAYS = (
    Way("online alone"),
    Way("batch straight to the engines", outstanding=2 * mixed_world.SLOTS),
    Way("fixed split, half the slots", mixed_world.SLOTS // 2, mixed_world.SLOTS // 2),
    *(Way(f"cornelgrade, lean {lean:g}", lean=lean) for lean in LEANS),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one way gave; times in milliseconds."""

    way: Way
    first_p50_ms: float
    first_p99_ms: float
    first_p999_ms: float
    between_p99_ms: float
    items_per_s: float
    idle_used: float
    wasted: float
    writes_per_1000: float
    calls_per_1000: float
    failed: int


def unix_s() -> float:
    """Give Unix time on the virtual clock."""
    return UNIX_S + trio.current_time()


async def measure(site: mixed_world.Site, way: Way, seconds: float, seed: int) -> Row:
    """Run one way over the seeded schedule."""
    schedule = mixed_load.arrivals(site, seconds, seed)
    async with trio.open_nursery() as nursery:
        world = mixed_world.World(site, nursery, way.lean or 0.0, way.online_slots, seed)
        await world.start_gateways()
        if way.lean is not None:
            await _submit_jobs(world, seconds, seed)
        await world.start_workers(unix_s, runs_batch=way.lean is not None)
        if way.outstanding:
            nursery.start_soon(mixed_load.straight, world, seed, way.outstanding)
        await trio.sleep(3.0)
        slot_time = mixed_load.SlotTime(world)
        nursery.start_soon(slot_time.run)
        before, calls = _done(world), world.platform.calls.copy()
        began_s = trio.current_time()
        load = mixed_load.Online(world, seed)
        await load.run(schedule)
        elapsed_s = trio.current_time() - began_s
        row = _row(world, way, load, slot_time, _done(world) - before, elapsed_s, calls)
        nursery.cancel_scope.cancel()
    return row


async def _submit_jobs(world: mixed_world.World, seconds: float, seed: int) -> None:
    """Submit more items than can be done in the time."""
    rng = random.Random(seed + 3)
    mean_s = sum(mixed_load.BATCH_TOKENS) / 2 * mixed_load.STEP_S
    needed = (seconds + 30) * BACKLOG_S * world.site.engines * mixed_world.SLOTS / mean_s
    store = job_store.JobStore(world.platform, unix_s)

    async def lines(first: int):
        for number in range(first, first + JOB_ITEMS):
            body = mixed_load.batch_body(number, rng)
            yield json.dumps({"custom_id": str(number), "body": body}).encode() + b"\n"

    for first in range(0, int(needed) + JOB_ITEMS, JOB_ITEMS):
        order = job_submission.JobRequest(
            team="team",
            key=f"night-{first}",
            service=manifest.Service(mixed_world.SERVICE),
            priority=manifest.Priority("bulk", 9),
            due_s=36_000.0,
            chunk_items=250,
        )
        await job_submission.submit(store, order, lines(first))


def _counters(world: mixed_world.World) -> list:
    return [linked.inner.engine.counters() for linked in world.engines.values()]


def _done(world: mixed_world.World) -> int:
    return sum(
        runs.completions
        for counters in _counters(world)
        for user, runs in counters.by_key.items()
        if user.startswith(mixed_load.BATCH_USER)
    )


def _row(world, way, load, slot_time, done, elapsed_s, calls_before) -> Row:
    counters = _counters(world)
    generated = sum(one.generated_tokens for one in counters)
    calls = world.platform.calls - calls_before
    writes = calls["create"] + calls["update"] + calls["delete"]
    total = writes + calls["get"] + calls["list"] + calls["watch"]
    thousands = max(done, 1) / 1000

    def ms(histogram, percentile: float) -> float:
        return histogram.get_value_at_percentile(percentile) / 1000

    return Row(
        way=way,
        first_p50_ms=ms(load.first, 50),
        first_p99_ms=ms(load.first, 99),
        first_p999_ms=ms(load.first, 99.9),
        between_p99_ms=ms(load.between, 99),
        items_per_s=done / elapsed_s,
        idle_used=slot_time.idle_used,
        wasted=sum(one.wasted_tokens for one in counters) / max(generated, 1),
        writes_per_1000=writes / thousands if done else 0.0,
        calls_per_1000=total / thousands if done else 0.0,
        failed=load.failed,
    )


def run(site: mixed_world.Site, way: Way, seconds: float, seed: int) -> Row:
    """Measure one way on a clock of its own."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(measure, site, way, seconds, seed, clock=clock)


def table(site: mixed_world.Site, rows: list[Row]) -> str:
    """Write one deployment's rows as Markdown."""
    alone = rows[0].first_p99_ms
    lines = [
        f"### {site.name}: {site.engines} engines, {site.vms} VMs",
        "",
        "| way | first token p50 ms | p99 ms | p99 to alone | p99.9 ms | between tokens p99 ms "
        "| batch items/s | idle slot-time used | wasted tokens | platform writes / calls "
        "a 1,000 items | failed |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.way.name} | {row.first_p50_ms:.1f} | {row.first_p99_ms:.1f} "
            f"| {row.first_p99_ms / alone:.2f}x | {row.first_p999_ms:.1f} "
            f"| {row.between_p99_ms:.1f} | {row.items_per_s:.1f} | {row.idle_used:.1%} "
            f"| {row.wasted:.1%} | {row.writes_per_1000:.1f} / {row.calls_per_1000:.0f} "
            f"| {row.failed} |"
        )
    return "\n".join(lines) + "\n"


def write(path: pathlib.Path, text: str) -> None:
    """Put ``text`` under the heading, in place of what stood there."""
    old = path.read_text() if path.exists() else "# Measurements\n"
    before, _, rest = old.partition(HEADING + "\n")
    following = rest.find("\n## ")
    after = rest[following:] if following >= 0 else ""
    path.write_text(f"{before.rstrip()}\n\n{HEADING}\n\n{text.strip()}\n{after}")


def plot(path: pathlib.Path, results: dict[str, list[Row]]) -> None:
    """Draw harm to online against batch throughput over the setting ``lean``."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "cornelgrade"
    figure, axes = pyplot.subplots(1, len(results), figsize=(5 * len(results), 4))
    for axis, (name, rows) in zip(axes, results.items(), strict=True):
        alone = rows[0].first_p99_ms
        ours = [row for row in rows if row.way.lean is not None]
        xs = [row.items_per_s for row in ours]
        ys = [row.first_p99_ms / alone for row in ours]
        axis.plot(xs, ys, marker="o")
        for x, y, row in zip(xs, ys, ours, strict=True):
            axis.annotate(f"lean {row.way.lean:g}", (x, y))
        axis.set(title=name, xlabel="batch items/s", ylabel="online first token p99 to alone")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    """Measure both deployments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--site", choices=sorted(mixed_world.SITES), default=None)
    parser.add_argument("--write", type=pathlib.Path, default=None)
    parser.add_argument("--plot", type=pathlib.Path, default=None)
    args = parser.parse_args()
    results: dict[str, list[Row]] = {}
    for name, site in mixed_world.SITES.items():
        if args.site in (None, name):
            results[name] = [run(site, way, args.seconds, args.seed) for way in WAYS]
            print(table(site, results[name]))
    command = f"`python -m bench.mixed --seed {args.seed} --seconds {args.seconds:g}`"
    today = datetime.datetime.now(datetime.UTC).date()
    text = f"{command}, {today}, virtual clock, engine stand-in's model.\n\n"
    text += "\n".join(table(mixed_world.SITES[name], rows) for name, rows in results.items())
    if args.write:
        write(args.write, text)
    if args.plot:
        plot(args.plot, results)


if __name__ == "__main__":
    main()
