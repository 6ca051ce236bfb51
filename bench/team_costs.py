"""What teams cost a process: ``python -m bench.team_costs [--teams=N] [--keys=N]``.

Measures the look-up of a key, the decision of a limit's owner, and the memory of a plan's teams.
"""

import gc
import sys
import time
import tracemalloc

import docopt
import msgspec

from cornelgrade.platform import plans
from cornelgrade.policy import route_table, shared_allowance, teams, token_bucket

USAGE = """Measure what teams cost a process.

Usage:
  team_costs [--teams=N] [--keys=N]

Options:
  --teams=N  Number of teams [default: 2000].
  --keys=N   Keys of each [default: 10].
"""
CALLS = 20_000
_US_PER_S = 1e6


def encode_plan(count: int, keys: int) -> bytes:
    """Return a desired state with some teams."""
    tenants = [
        {
            "name": f"team-{n}",
            "apiKeys": [f"key-{n}-{k}-0123456789" for k in range(keys)],
            "priority": n % 3,
            "ratePerS": 20,
            "burst": 20,
        }
        for n in range(count)
    ]
    return msgspec.json.encode({"version": 1, "tenants": tenants})


def measure_lookup_us(table: route_table.RouteTable, count: int) -> float:
    """Return the time to hash a key and find its team, in microseconds."""
    keys = [f"key-{n % count}-0-0123456789".encode() for n in range(CALLS)]
    started_s = time.perf_counter()
    for key in keys:
        table.authenticate((teams.digest_key(key),), key_required=True)
    return (time.perf_counter() - started_s) / CALLS * _US_PER_S


def measure_decision_us() -> float:
    """Return the time in which the owner of a limit decides on a request, in microseconds."""
    limit = token_bucket.RateLimit(20.0, 20.0)
    bucket = token_bucket.Bucket.full(limit, 0.0)
    ledger = shared_allowance.GrantLedger(limit.rate_per_s)
    started_s = time.perf_counter()
    for n in range(CALLS):
        now_s, vm = n / 40, f"vm-{n % 70}"
        bucket = bucket.refill(now_s).drain(ledger.settle(vm, 1, now_s))
        tokens = min(1, bucket.whole_tokens)
        bucket = bucket.drain(tokens)
        ledger.record_grant(vm, tokens, now_s)
    return (time.perf_counter() - started_s) / CALLS * _US_PER_S


def measure_team_bytes(raw: bytes, count: int) -> float:
    """Return the memory that a team takes in the table in force, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    plan = plans.decode(raw)
    assert plan is not None
    table = route_table.RouteTable(plan)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert table.team("team-0") is not None
    return (after - before) / count


def main(argv: list[str] | None = None) -> None:
    """Print the figures."""
    args = docopt.docopt(USAGE, argv=argv)
    count, keys = int(args["--teams"]), int(args["--keys"])
    raw = encode_plan(count, keys)
    team_bytes = measure_team_bytes(raw, count)
    started_s = time.perf_counter()
    plan = plans.decode(raw)
    assert plan is not None
    table = route_table.RouteTable(plan)
    apply_ms = (time.perf_counter() - started_s) * 1e3
    print(f"{count} teams with {keys} keys on {sys.platform}")
    print(f"key look-up       {measure_lookup_us(table, count):8.2f} us")
    print(f"limit decision    {measure_decision_us():8.2f} us")
    print(f"memory of a team  {team_bytes:8.0f} bytes")
    print(f"applying the plan {apply_ms:8.1f} ms")


if __name__ == "__main__":
    main()
