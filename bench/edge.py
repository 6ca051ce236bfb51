"""Online requests beside batch jobs through real sockets; run ``python -m bench.edge``.

Usage:
  edge [--seconds=S] [--rate=R] [--jobs=J] [--seed=N]

Options:
  --seconds=S  Length of the load [default: 10].
  --rate=R     Mean of online requests a second [default: 10].
  --jobs=J     Jobs of ten items, spread over the time [default: 3].
  --seed=N     Seed of all draws [default: 1].

Gateways, workers and engines run in this process on loopback. Online load comes in bursts of 1.84
times its mean, in the pattern of the first deployments.
"""

import dataclasses
import random

import docopt
import trio

from bench import tables
from cornelgrade.platform.standins import edge_system, stream_engine

PERIOD_S = 6.6
BUSY_FROM_S = 3.8
CALM_SHARE, BUSY_SHARE = 0.377, 1.84
ITEMS = 10
EVENTS = 30
EVENT_S = 0.02
BATCH_WAIT_S = 30.0


@dataclasses.dataclass
class Seen:
    """What callers saw.

    :ivar first_s: times to the first byte of whole answers.
    """

    first_s: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0
    items: int = 0
    wrong: int = 0


async def _ask(system: edge_system.System, gateway: str, request: str, seen: Seen) -> None:
    begun_s = trio.current_time()
    got = await system.send_online(gateway, edge_system.ONCE_PREFIX, request)
    if got.complete and got.body == stream_engine.response_body(request, EVENTS):
        seen.first_s.append(got.first_at_s - begun_s)
    else:
        seen.failed += 1


async def _job(system: edge_system.System, gateway: str, job: str, seen: Seen) -> None:
    items = {f"{job}-{n}": b"note" for n in range(ITEMS)}
    await system.submit(gateway, job, items)
    after = 0
    while after < ITEMS:
        for item, text in await system.results(gateway, job, after):
            seen.items += 1
            seen.wrong += text != stream_engine.result_text(item, EVENTS)
            after += 1


async def measure(seconds: float, rate: float, jobs: int, seed: int) -> Seen:
    """Run the load and give what callers saw."""
    rng = random.Random(seed)
    seen = Seen()
    shape = {"events": EVENTS, "event_s": EVENT_S}
    async with edge_system.run_system(gateways=3, workers=3, engines=3, **shape) as system:
        with trio.move_on_after(seconds + BATCH_WAIT_S):
            async with trio.open_nursery() as nursery:
                for number in range(jobs):
                    nursery.start_soon(_job, system, f"gateway-{number % 3}", f"j{number}", seen)
                await _online(system, nursery, (seconds, rate), rng, seen)
    return seen


async def _online(
    system: edge_system.System,
    nursery: trio.Nursery,
    load: tuple[float, float],
    rng: random.Random,
    seen: Seen,
) -> None:
    seconds, rate = load
    begun_s = trio.current_time()
    number = 0
    while (now_s := trio.current_time() - begun_s) < seconds:
        share = BUSY_SHARE if now_s % PERIOD_S > BUSY_FROM_S else CALM_SHARE
        await trio.sleep(rng.expovariate(rate * share))
        number += 1
        gateway = f"gateway-{rng.randrange(3)}"
        nursery.start_soon(_ask, system, gateway, f"r{number}", seen)


def main() -> None:
    """Run the command."""
    args = docopt.docopt(__doc__)
    seconds, rate = float(args["--seconds"]), float(args["--rate"])
    seen = trio.run(measure, seconds, rate, int(args["--jobs"]), int(args["--seed"]))
    times = tables.percentiles_ms(seen.first_s, (50.0, 99.0))
    head = ("answered", "failed", "first byte p50 ms", "p99 ms", "items done", "wrong")
    row = (len(seen.first_s), seen.failed, *times, seen.items, seen.wrong)
    tables.show(f"edge, {seconds} s at {rate} requests/s", head, [row])


if __name__ == "__main__":
    main()
