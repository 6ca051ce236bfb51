"""Peak memory of a gateway that takes in and gives out one large job, as a real process::

python -m bench.job_memory --items 64000
"""

import argparse
import json
import pathlib
import re
import time
from collections.abc import Iterator

from tests.process import harness

PROMPT = "word " * 60


def resident_kb(pid: int) -> tuple[int, int]:
    """Read a process's resident memory now and at its peak, in KB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    now, peak = (re.search(rf"{name}:\s+(\d+)", text) for name in ("VmRSS", "VmHWM"))
    assert now is not None and peak is not None
    return int(now[1]), int(peak[1])


def lines(items: int) -> Iterator[bytes]:
    """Give the lines of a job of about 430 bytes an item."""
    for number in range(items):
        body = {"model": "lishe", "prompt": f"{PROMPT}{number}", "max_tokens": 64}
        yield json.dumps({"custom_id": f"item-{number}", "body": body}).encode() + b"\n"


def main() -> None:
    """Submit the job, read its results back, and print the gateway's memory."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--items", type=int, default=64_000)
    args = parser.parse_args()
    size = sum(len(line) for line in lines(args.items))
    with harness.Fleet(vms=1, engines=1, workers=False) as fleet, fleet.call() as client:
        client.timeout = 300.0
        pid = fleet.vms[0].gateway._popen.pid
        before, _ = resident_kb(pid)
        began_s = time.monotonic()
        headers = {"Idempotency-Key": "large"}
        answer = client.post("/v1/jobs", content=lines(args.items), headers=headers)
        assert answer.status_code == 201, answer.text
        submitted_s = time.monotonic() - began_s
        _, after_in = resident_kb(pid)
        count = 0
        began_s = time.monotonic()
        with client.stream("GET", f"/v1/jobs/{answer.json()['id']}/results") as results:
            for _ in results.iter_lines():
                count += 1
        read_s = time.monotonic() - began_s
        _, after_out = resident_kb(pid)
    assert count == args.items
    print(
        f"items={args.items} bytes={size} submit_s={submitted_s:.1f} results_s={read_s:.1f} "
        f"before_kb={before} peak_after_submit_kb={after_in} peak_after_results_kb={after_out}"
    )


if __name__ == "__main__":
    main()
