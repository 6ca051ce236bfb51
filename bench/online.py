"""Online policies side by side on a virtual clock; run ``python -m bench.online``.

Usage:
  online [--seconds=S] [--seed=N]

Options:
  --seconds=S  Virtual seconds of each run [default: 20].
  --seed=N     Seed of all draws [default: 1].

The routers and online services are the product's; engines are stand-ins whose load reports lag.
"""

import dataclasses
import random
import time
from collections.abc import Awaitable, Callable

import docopt
import trio
import trio.testing

from bench import fleet, tables, workload
from cornelgrade.adapters import engine
from cornelgrade.policy import routing
from cornelgrade.standins import engine_model

ENGINES = 9
GATEWAYS = 9
QUEUE_LIMIT = 512
WARM_UP_SHARE = 0.25
CHOICE_RATE_PER_S = 50.0
UNLOADED_RATE_PER_S = 5.0
CAPACITY_PER_S = 75.0
DEADLINE_S = 10.0
FACTORS = (1, 2, 5)
ENGINE = engine_model.Config(
    slots=16,
    step_s=0.020,
    sequence_step_s=0.001,
    prefill_token_s=0.0002,
    cache_tokens=8_192,
    load_lag_s=1.0,
)
CHOICES: dict[str, routing.Choice] = {
    "random": routing.RandomChoice(),
    "least outstanding": routing.LeastOutstanding(),
    "prefix affinity": routing.AffinityChoice(),
}
Ask = Callable[[fleet.Fleet, workload.Arrival, workload.Load], Awaitable[fleet.Sample]]


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What one run gave.

    :param samples: requests that arrived after the warm-up.
    :param good_per_s: whole answers within the deadline that ended after the warm-up and before
        the last arrival, a second.
    :param hit_share: share of prompt tokens that engines found in their caches.
    """

    samples: list[fleet.Sample]
    good_per_s: float
    hit_share: float

    def first_ms(self, rank: int | None, *wanted: float) -> tuple[float | str, ...]:
        """Give percentiles of the first-token time, of one rank if it is named."""
        times_s = [
            s.first_s
            for s in self.samples
            if s.first_s is not None and (rank is None or s.rank == rank)
        ]
        return tables.percentiles_ms(times_s, wanted)


async def through_gateway(
    running: fleet.Fleet, arrival: workload.Arrival, load: workload.Load
) -> fleet.Sample:
    """Send a request as a caller does."""
    req = workload.request(arrival, load, trio.current_time())
    return await fleet.ask(running.gateways[arrival.gateway], req)


async def straight_to_engine(
    running: fleet.Fleet, arrival: workload.Arrival, load: workload.Load
) -> fleet.Sample:
    """Send a request to a random engine, which admits in order of arrival; a baseline."""
    req = workload.request(arrival, load, trio.current_time())
    upstream = random.Random(arrival.number).choice(running.engines)
    call = engine.Call(
        req.request_id, req.method, req.path, req.body, first_byte_timeout_s=load.deadline_s
    )
    began_s = trio.current_time()
    first_s = None
    code = ""
    try:
        async with upstream.call(call) as answer:
            async for _ in answer.chunks():
                if first_s is None:
                    first_s = trio.current_time() - began_s
    except engine.CallError:
        code = "timeout"
    return fleet.Sample(began_s, req.rank, first_s, trio.current_time() - began_s, code)


def measure(
    load: workload.Load, seed: int, choice: routing.Choice, ask: Ask = through_gateway
) -> Run:
    """Run one load on a fresh fleet."""

    async def main() -> Run:
        samples: list[fleet.Sample] = []

        async def one(arrival: workload.Arrival) -> None:
            samples.append(await ask(running, arrival, load))

        async with fleet.running(
            ENGINE,
            engines=ENGINES,
            gateways=GATEWAYS,
            choice=choice,
            seed=seed,
            queue_limit=QUEUE_LIMIT,
        ) as running:
            start_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                for arrival in workload.arrivals(load, GATEWAYS, seed):
                    await trio.sleep_until(start_s + arrival.at_s)
                    nursery.start_soon(one, arrival)
            return _run(running, samples, start_s + load.duration_s * WARM_UP_SHARE, load)

    fleet.fix_schedule(seed)
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _run(
    running: fleet.Fleet, samples: list[fleet.Sample], from_s: float, load: workload.Load
) -> Run:
    counters = running.counters()
    prompt = sum(c.prompt_tokens for c in counters)
    cached = sum(c.cached_tokens for c in counters)
    until_s = from_s + load.duration_s * (1 - WARM_UP_SHARE)
    good = [s for s in samples if _good(s) and from_s <= s.arrived_s + s.total_s < until_s]
    return Run(
        [s for s in samples if s.arrived_s >= from_s],
        len(good) / (until_s - from_s),
        cached / max(prompt, 1),
    )


def _good(sample: fleet.Sample) -> bool:
    return not sample.code and sample.total_s <= DEADLINE_S


def compare_choices(seconds: float, seed: int) -> None:
    """Print how each choice of upstream does under the same load."""
    load = workload.Load(CHOICE_RATE_PER_S, seconds)
    rows: list[tuple[object, ...]] = []
    for name, choice in CHOICES.items():
        run = measure(load, seed, choice)
        p50, p99 = run.first_ms(None, 50, 99)
        whole = sum(not s.code for s in run.samples)
        rows.append((name, f"{run.hit_share:.1%}", p50, p99, whole, len(run.samples)))
    head = ("choice", "cached prompt tokens", "first token p50 ms", "p99 ms", "whole", "of")
    tables.show(f"Choice of upstream at {load.rate_per_s:g} requests/s", head, rows)


def compare_overload(seconds: float, seed: int) -> None:
    """Print what overload does with admission and without."""
    ours = CHOICES["prefix affinity"]
    unloaded = measure(workload.Load(UNLOADED_RATE_PER_S, seconds), seed, ours)
    rows: list[tuple[object, ...]] = [_row("gateway", "unloaded", UNLOADED_RATE_PER_S, unloaded)]
    for factor in FACTORS:
        load = workload.Load(CAPACITY_PER_S * factor, seconds)
        for name, ask in (("gateway", through_gateway), ("straight", straight_to_engine)):
            run = measure(load, seed, ours, ask)
            rows.append(_row(name, f"{factor}x", load.rate_per_s, run))
    head = (
        "path",
        "load",
        "offered/s",
        "goodput/s",
        "top goodput",
        "top first p50 ms",
        "top p99 ms",
        "refused",
        "refusal p50 ms",
        "p99 ms",
    )
    title = f"Overload; 1x is {CAPACITY_PER_S:g} requests/s, good is whole within the deadline"
    tables.show(title, head, rows)


def _row(path: str, name: str, offered: float, run: Run) -> tuple[object, ...]:
    top = [s for s in run.samples if s.rank == workload.TOP_RANK]
    top_good = [s for s in top if _good(s)]
    refused = [s.total_s for s in run.samples if s.code]
    return (
        path,
        name,
        offered,
        run.good_per_s,
        f"{len(top_good) / max(len(top), 1):.1%}",
        *run.first_ms(workload.TOP_RANK, 50, 99),
        f"{len(refused) / max(len(run.samples), 1):.1%}",
        *tables.percentiles_ms(refused, (50, 99)),
    )


def main() -> None:
    """Run both comparisons."""
    args = docopt.docopt(__doc__)
    seconds, seed = float(args["--seconds"]), int(args["--seed"])
    began = time.monotonic()
    compare_choices(seconds, seed)
    compare_overload(seconds, seed)
    print(f"\nseed {seed}, {seconds:g} virtual seconds a run, {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
