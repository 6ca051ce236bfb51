"""Processor time that a gateway adds to requests and relayed tokens.

Usage:
  gateway_cost [--seconds=S]

Options:
  --seconds=S  Length of each phase [default: 8].

Run ``python -m bench.gateway_cost``. It measures the manifest's relay interval and none (0) side by
side in one run. It starts a platform stand-in, one engine stand-in and a
gateway as processes, and sends the same requests from the same client straight to the engine and
through the gateway. Processor time is read from each process.
"""

import contextlib
import dataclasses
import os
import pathlib
import time

import docopt
import httpx
import trio
from tests.process import harness

from bench import tables
from cornelgrade import manifest

ENGINE = {"slots": 64, "step_s": 0.02, "sequence_step_s": 0.0, "prefill_token_s": 0.0}
NAME = "engine-0"
PATH = "/v1/completions"
RATE_PER_S = 12.0
SHORT_TOKENS = 17
LONG_TOKENS = 217
TARGET_TOKENS_PER_S = 2_600
WHOLE_TOKENS = 1
WHOLE_WORKERS = 8
RELAYS = {"joined": manifest.OnlinePolicy().relay_interval_s, "one by one": 0.0}
END_MARKER = b"data: [DONE]\n\n"
_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
_UTIME_FIELD = 11


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """Processor seconds of the three processes, and what was done with them.

    :param chunks: pieces in which the answers' bodies came.
    """

    client_s: float
    engine_s: float
    gateway_s: float
    elapsed_s: float
    requests: int
    tokens: int
    chunks: int

    def per_request_us(self) -> tuple[float, float, float]:
        """Give microseconds of client, engine and gateway for one request."""
        scale = 1e6 / self.requests
        return self.client_s * scale, self.engine_s * scale, self.gateway_s * scale


@dataclasses.dataclass(slots=True)
class _Tally:
    requests: int = 0
    tokens: int = 0
    chunks: int = 0


def cpu_s(process: harness.Process) -> float:
    """Read the processor time of a process."""
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_UTIME_FIELD]) + int(fields[_UTIME_FIELD + 1])) * _TICK_S


class Bench:
    """Runs phases against one fleet and reads what they cost.

    :param seconds: length of a phase.
    """

    def __init__(self, fleet: harness.Fleet, seconds: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._version = 1
        self._engine = next(p for p in fleet.processes if p.name == NAME)
        self._gateway = fleet.vms[0].gateway
        self._urls = {
            "straight": f"http://{fleet.upstreams[NAME]}",
            "gateway": fleet.vms[0].url,
        }

    def relay_interval(self, interval_s: float) -> None:
        """Have a relay interval in force."""
        wanted = {**self._fleet.manifest, "online": {"relay_interval_s": interval_s}}
        accepted = self._fleet.put_manifest(wanted, self._version)
        assert accepted.is_success, accepted.text
        self._version = int(accepted.headers["etag"].strip('"'))
        self._fleet.wait_in_force(self._version)

    def idle(self) -> float:
        """Give the share of a core that the gateway takes with no requests."""
        begun_s = cpu_s(self._gateway)
        time.sleep(self._seconds / 2)
        return (cpu_s(self._gateway) - begun_s) / (self._seconds / 2)

    def whole(self, path: str) -> Spent:
        """Send whole requests as fast as a few workers can."""
        return trio.run(self._measure, path, self._send_whole)

    def streams(self, path: str, tokens: int) -> Spent:
        """Send streamed requests at the target rate."""

        async def send(client: httpx.AsyncClient, tally: _Tally) -> None:
            await self._send_streams(client, tally, tokens)

        return trio.run(self._measure, path, send)

    async def _measure(self, path: str, send) -> Spent:
        headers = {"Authorization": f"Bearer {harness.KEY}"}
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
        async with httpx.AsyncClient(
            base_url=self._urls[path],
            headers=headers,
            limits=limits,
            timeout=30.0,
            trust_env=False,
        ) as client:
            await _stream(client, _Tally(), 2)
            tally = _Tally()
            before = self._read()
            began_s = time.monotonic()
            await send(client, tally)
            elapsed_s = time.monotonic() - began_s
            spent = [now - then for now, then in zip(self._read(), before, strict=True)]
        return Spent(*spent, elapsed_s, tally.requests, tally.tokens, tally.chunks)

    def _read(self) -> tuple[float, float, float]:
        return time.process_time(), cpu_s(self._engine), cpu_s(self._gateway)

    async def _send_whole(self, client: httpx.AsyncClient, tally: _Tally) -> None:
        body = _body(WHOLE_TOKENS, stream=False)

        async def work() -> None:
            while True:
                res = await client.post(PATH, json=body)
                res.raise_for_status()
                tally.requests += 1

        with trio.move_on_after(self._seconds):
            async with trio.open_nursery() as nursery:
                for _ in range(WHOLE_WORKERS):
                    nursery.start_soon(work)

    async def _send_streams(self, client: httpx.AsyncClient, tally: _Tally, tokens: int) -> None:
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(round(self._seconds * RATE_PER_S)):
                await trio.sleep_until(start_s + number / RATE_PER_S)
                nursery.start_soon(_stream, client, tally, tokens)


async def _stream(client: httpx.AsyncClient, tally: _Tally, tokens: int) -> None:
    request = client.stream("POST", PATH, json=_body(tokens, stream=True))
    async with request as res, contextlib.aclosing(res.aiter_raw()) as chunks:
        parts = [chunk async for chunk in chunks]
    body = b"".join(parts)
    if not body.endswith(END_MARKER) or body.count(b"\n\n") != tokens + 1:
        raise AssertionError(f"not whole: {body[-200:]!r}")
    tally.requests += 1
    tally.tokens += tokens
    tally.chunks += len(parts)


def _body(tokens: int, *, stream: bool) -> dict[str, object]:
    return {"model": "lishe", "prompt": "how much iron", "max_tokens": tokens, "stream": stream}


def _row(name: str, path: str, spent: Spent) -> tuple[object, ...]:
    per_chunk = spent.tokens / spent.chunks if spent.chunks else "-"
    costs = spent.per_request_us()
    return (name, path, spent.requests, spent.tokens, per_chunk, *costs, sum(costs))


def report(bench: Bench) -> None:
    """Run all phases and print tables."""
    idle = bench.idle()
    spent = {("whole", path): bench.whole(path) for path in ("straight", "gateway")}
    for tokens in (SHORT_TOKENS, LONG_TOKENS):
        name = f"stream of {tokens}"
        spent[name, "straight"] = bench.streams("straight", tokens)
        for relay, interval_s in RELAYS.items():
            bench.relay_interval(interval_s)
            spent[name, relay] = bench.streams("gateway", tokens)
    head = (
        "requests",
        "path",
        "count",
        "tokens",
        "tokens/chunk",
        "client us",
        "engine us",
        "gateway us",
        "all us",
    )
    rows = [_row(name, path, one) for (name, path), one in spent.items()]
    tables.show("Processor time of one request", head, rows)
    print(f"\ngateway, idle: {idle:.1%} of a core")
    per_token_us = {relay: _show_relay(relay, spent) for relay in RELAYS}
    joined, alone = per_token_us.values()
    print(f"joined to one by one: {joined / alone:.2f}")


def _show_relay(relay: str, spent: dict[tuple[str, str], Spent]) -> float:
    """Print what a relayed token costs and give it in microseconds."""
    short, long = (spent[f"stream of {tokens}", relay] for tokens in (SHORT_TOKENS, LONG_TOKENS))
    per_token_us = (long.gateway_s - short.gateway_s) / (long.tokens - short.tokens) * 1e6
    core = long.gateway_s / long.elapsed_s
    rate = long.tokens / long.elapsed_s
    at_target = per_token_us * TARGET_TOKENS_PER_S / 1e6
    print(f"{relay}, each further token of a stream: {per_token_us:.1f} us")
    print(f"{relay}, {rate:.0f} tokens/s over the phase: {core:.1%} of a core")
    print(f"{relay}, relaying {TARGET_TOKENS_PER_S} tokens/s: {at_target:.1%}")
    return per_token_us


def main() -> None:
    """Start the processes and measure."""
    args = docopt.docopt(__doc__)
    with harness.Fleet(vms=1, engines=1, workers=False, engine=ENGINE) as fleet:
        report(Bench(fleet, float(args["--seconds"])))


if __name__ == "__main__":
    main()
