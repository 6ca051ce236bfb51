"""Gateway and worker as one process and as two: what batch work does to online's first token.

Real processes on loopback, so the figures depend on the machine and on what else runs there::

    python -m bench.split --seconds 30
"""

import argparse
import functools
import json
import random
import time

import httpx
import trio
from tests.process import harness

from bench import mixed_load, mixed_world
from cornelgrade import daemons, validation

ENGINES = 1
JOB_ITEMS = 8_000
SITE = mixed_world.Site("split", ("dar-kariakoo",), ENGINES, 1, 0.0)
MODES = ("online alone", "one process", "two processes")


async def serve(path: str) -> None:
    """Run a gateway and a worker in this process until it is killed."""
    cfg = validation.load_settings(path)
    never = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(daemons.serve_gateway, cfg, never)
        await nursery.start(daemons.serve_worker, cfg, never)
        print("event=both_started", flush=True)


def submit(fleet: harness.Fleet, rng: random.Random) -> None:
    """Submit a job that lasts longer than the measurement."""
    lines = []
    for number in range(JOB_ITEMS):
        body = {"model": "lishe", "prompt": mixed_load.words("note", 48, rng), "max_tokens": 16}
        lines.append(json.dumps({"custom_id": str(number), "body": body}))
    headers = {"Idempotency-Key": "night", "Cornelgrade-Priority": "batch"}
    with fleet.call() as client:
        answer = client.post("/v1/jobs", content="\n".join(lines), headers=headers)
        assert answer.status_code == 201, answer.text


async def drive(url: str, seconds: float, seed: int) -> list[float]:
    """Send the online bursts; give the times to the first token in seconds."""
    found: list[float] = []
    rng = random.Random(seed)
    headers = {"Authorization": f"Bearer {harness.KEY}"}
    limits = httpx.Limits(max_connections=200)
    async with httpx.AsyncClient(
        base_url=url, headers=headers, timeout=30.0, limits=limits, trust_env=False
    ) as client:

        async def one(arrival: mixed_load.Arrival) -> None:
            body = {"model": "lishe", "prompt": mixed_load.words("ask", 48, rng)}
            body |= {"max_tokens": arrival.tokens, "stream": True}
            sent_s = trio.current_time()
            async with client.stream("POST", "/v1/completions", json=body) as answer:
                first = True
                async for _ in answer.aiter_bytes():
                    if first:
                        found.append(trio.current_time() - sent_s)
                    first = False

        async with trio.open_nursery() as nursery:
            began_s = trio.current_time()
            for arrival in mixed_load.arrivals(SITE, seconds, seed):
                await trio.sleep_until(began_s + arrival.at_s)
                nursery.start_soon(one, arrival)
    return sorted(found)


def measure(mode: str, seconds: float, seed: int) -> str:
    """Run one way and give its table row."""
    two = mode != "one process"
    with harness.Fleet(vms=1, engines=ENGINES, workers=two) as fleet:
        vm = fleet.vms[0]
        if mode == "one process":
            vm.gateway.kill()
            both = fleet.process("both", "bench.split", "--serve", str(vm.settings))
            both.wait_for("event=both_started")
            fleet.wait_in_force(1)
        if mode != "online alone":
            submit(fleet, random.Random(seed))
        time.sleep(3.0)
        before = _completions(fleet)
        began_s = time.monotonic()
        times = trio.run(functools.partial(drive, vm.url, seconds, seed))
        elapsed_s = time.monotonic() - began_s
        items = (_completions(fleet) - before - len(times)) / elapsed_s

    def ms(share: float) -> float:
        return times[min(len(times) - 1, int(len(times) * share))] * 1000

    return f"| {mode} | {len(times)} | {ms(0.5):.1f} | {ms(0.99):.1f} | {max(0.0, items):.1f} |"


def _completions(fleet: harness.Fleet) -> int:
    return sum(fleet.counters(f"engine-{number}")["completions"] for number in range(ENGINES))


def main() -> None:
    """Measure the three ways one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=5)
    parser.add_argument("--serve", default=None)
    args = parser.parse_args()
    if args.serve:
        trio.run(serve, args.serve)
        return
    print("| way | online requests | first token p50 ms | p99 ms | batch items/s |")
    print("| --- | --- | --- | --- | --- |")
    for mode in MODES:
        print(measure(mode, args.seconds, args.seed), flush=True)


if __name__ == "__main__":
    main()
