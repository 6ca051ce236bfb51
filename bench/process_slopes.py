"""Slopes of real processes: gateway and worker on loopback, with stand-ins as processes.

Memory and processor time are read from ``/proc``; the load is small and seedless.
"""

import concurrent.futures
import json
import os
import pathlib
import time
from collections.abc import Callable

from tests.process import harness

from bench import slopes

ENGINE = {"slots": 64, "step_s": 0.001, "sequence_step_s": 0.0, "prefill_token_s": 0.0}
IDLE_S = 8.0
REQUESTS = 400
KEYED = 1_000
THREADS = 8
STREAMS = 8
STREAM_TOKENS = 2_000
ITEMS = 4_000
JOB_TIMEOUT_S = 120.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
US_PER_S = 1_000_000
KB_PER_MB = 1_000
_KIB = 1.024

Slope = slopes.Slope

CALLS = {"writes": ("create", "update", "delete"), "reads": ("get", "list", "watch", "vms")}


def cpu_s(process: harness.Process) -> float:
    """Give the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(process: harness.Process) -> float:
    """Give the resident memory of a process in MB."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _KIB / KB_PER_MB
    raise ValueError("no VmRSS")


def used_us(process: harness.Process, act: Callable[[], int]) -> float:
    """Give a process's processor time for each of what ``act`` counts, in microseconds."""
    before_s = cpu_s(process)
    count = act()
    return (cpu_s(process) - before_s) / count * US_PER_S


def idle(name: str, process: harness.Process) -> list[Slope]:
    """Measure a process that has nothing to do."""
    before_s = cpu_s(process)
    time.sleep(IDLE_S)
    share = (cpu_s(process) - before_s) / IDLE_S
    return [
        Slope(f"{name}_idle_mb", f"MB resident, idle {name}", rss_mb(process)),
        Slope(f"{name}_idle_core", f"% of a core, idle {name}", share * 100),
    ]


def ask(fleet: harness.Fleet, count: int, *, keyed: bool) -> int:
    """Send whole requests of one token."""
    body = {"model": "lishe", "prompt": "iron for a child", "max_tokens": 1}
    with fleet.call() as client, concurrent.futures.ThreadPoolExecutor(THREADS) as pool:

        def one(index: int) -> None:
            headers = {"Idempotency-Key": f"bench-{index}"} if keyed else {}
            client.post("/v1/completions", json=body, headers=headers).raise_for_status()

        list(pool.map(one, range(count)))
    return count


def relay(fleet: harness.Fleet) -> int:
    """Read long streams; gives the number of tokens."""
    body = {"model": "lishe", "prompt": "long", "max_tokens": STREAM_TOKENS, "stream": True}

    def one(_: int) -> None:
        with fleet.call() as client, client.stream("POST", "/v1/completions", json=body) as answer:
            for _part in answer.iter_raw():
                pass

    with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
        list(pool.map(one, range(STREAMS)))
    return STREAMS * STREAM_TOKENS


def job(fleet: harness.Fleet) -> int:
    """Run a job to its end; gives the number of items."""
    body = {"model": "lishe", "prompt": "note", "max_tokens": 2}
    lines = "\n".join(json.dumps({"custom_id": f"n{i}", "body": body}) for i in range(ITEMS))
    with fleet.call() as client:
        answer = client.post("/v1/jobs", content=lines, headers={"Idempotency-Key": "bench"})
        path = f"/v1/jobs/{answer.json()['id']}"
        end_s = time.monotonic() + JOB_TIMEOUT_S
        while client.get(path).json()["state"] != "done":
            if time.monotonic() > end_s:
                raise TimeoutError("the job did not end")
            time.sleep(0.5)
    return ITEMS


def platform_calls(fleet: harness.Fleet) -> dict[str, int]:
    """Read the platform stand-in's counters."""
    return {name: int(value) for name, value in fleet.counters("platform").items()}


def measure() -> list[Slope]:
    """Measure one VM's gateway and worker."""
    with harness.Fleet(vms=1, engines=2, engine=ENGINE) as fleet:
        gateway, worker = fleet.vms[0].gateway, fleet.vms[0].worker
        assert worker is not None
        ask(fleet, THREADS, keyed=False)
        found = [*idle("gateway", gateway), *idle("worker", worker)]
        whole = used_us(gateway, lambda: ask(fleet, REQUESTS, keyed=False))
        found.append(Slope("request_us", "us of the gateway a whole request", whole))
        token = used_us(gateway, lambda: relay(fleet))
        found.append(Slope("token_us", "us of the gateway a relayed token", token))
        before_mb = rss_mb(gateway)
        keyed = used_us(gateway, lambda: ask(fleet, KEYED, keyed=True))
        found.append(Slope("keyed_us", "us of the gateway a keyed request", keyed))
        held_kb = (rss_mb(gateway) - before_mb) * KB_PER_MB / KEYED
        found.append(Slope("record_kb", "KB of the gateway a keyed request held", held_kb))
        before = platform_calls(fleet)
        item = used_us(worker, lambda: job(fleet))
        found.append(Slope("item_us", "us of the worker a batch item", item))
        after = platform_calls(fleet)
        for kind, names in CALLS.items():
            calls = sum(after.get(name, 0) - before.get(name, 0) for name in names)
            what = f"platform {kind} in 1,000 items"
            found.append(Slope(f"item_{kind}", what, calls / ITEMS * 1_000))
    return found
