"""Writes a keyed request costs the platform, and what it waits: ``python -m bench.records``.

Callers in a closed loop, each request with a key of its own that may not be repeated, against the
platform stand-in in memory; the upstream's answer takes 20 ms.
"""

import dataclasses
import itertools
import time

import trio

from cornelgrade.services import ports, records
from cornelgrade.standins import platform_store

PLATFORM_S = 0.005
UPSTREAM_S = 0.02
RUN_S = 4.0
IN_FLIGHT = (1, 10, 100)
VMS = (1, 9)
BODY = b"x" * 500


@dataclasses.dataclass
class Figures:
    """What one run gave; waits in seconds."""

    requests: int = 0
    begin_s: list[float] = dataclasses.field(default_factory=list)
    finish_s: list[float] = dataclasses.field(default_factory=list)


def percentile_ms(waits_s: list[float], share: float) -> float:
    """Give a percentile in milliseconds."""
    return sorted(waits_s)[int(share * (len(waits_s) - 1))] * 1000


async def call_on(
    service: records.Records, numbers: itertools.count, until: float, figures: Figures
) -> None:
    """Send one request after the other."""
    while time.monotonic() < until:
        claim = ports.Claim("team", f"k{next(numbers)}", "r", "digest", False, 5.0)
        begun = time.monotonic()
        run = await service.begin(claim)
        assert isinstance(run, ports.ClaimedRun)
        figures.begin_s.append(time.monotonic() - begun)
        await trio.sleep(UPSTREAM_S)
        begun = time.monotonic()
        assert await service.finish(run, ports.StoredResponse(200, "text/plain", BODY))
        figures.finish_s.append(time.monotonic() - begun)
        figures.requests += 1


async def run(vms: int, in_flight: int) -> None:
    """Measure one case and print its line."""
    switches = platform_store.Switches(slow_s=PLATFORM_S, writes_per_s=0, reads_per_s=0)
    store = platform_store.MemoryPlatform(switches)
    figures, numbers = Figures(), itertools.count()
    async with trio.open_nursery() as nursery:
        services = [records.Records(store, f"vm-{index}") for index in range(vms)]
        for service in services:
            await nursery.start(lambda task_status, s=service: s.run(task_status.started))
        until = time.monotonic() + RUN_S
        async with trio.open_nursery() as callers:
            for index in range(in_flight):
                service = services[index % vms]
                callers.start_soon(call_on, service, numbers, until, figures)
        nursery.cancel_scope.cancel()
    print_line(vms, in_flight, store, figures)


def print_line(
    vms: int, in_flight: int, store: platform_store.MemoryPlatform, figures: Figures
) -> None:
    """Print one row of the table."""
    writes = store.calls["create"] + store.calls["update"]
    cells = (
        str(vms),
        str(in_flight),
        f"{figures.requests / RUN_S:.0f}",
        f"{writes / RUN_S:.0f}",
        f"{writes / figures.requests:.2f}",
        f"{store.calls['get'] / figures.requests:.2f}",
        f"{percentile_ms(figures.begin_s, 0.5):.1f}",
        f"{percentile_ms(figures.begin_s, 0.99):.1f}",
        f"{percentile_ms(figures.finish_s, 0.5):.1f}",
        f"{percentile_ms(figures.finish_s, 0.99):.1f}",
    )
    print("| " + " | ".join(cells) + " |", flush=True)


def main() -> None:
    """Print the table."""
    heads = (
        "VMs",
        "in flight",
        "requests/s",
        "writes/s",
        "writes per request",
        "reads per request",
        "begin p50 ms",
        "begin p99 ms",
        "finish p50 ms",
        "finish p99 ms",
    )
    print("| " + " | ".join(heads) + " |")
    print("|" + " --- |" * len(heads))
    for vms in VMS:
        for in_flight in IN_FLIGHT:
            trio.run(run, vms, in_flight)


if __name__ == "__main__":
    main()
