"""Load and measures of the mixed-load measurement: online bursts, batch items, slot-time."""

import contextlib
import dataclasses
import json
import random

import msgspec
import trio
from hdrh import histogram

from bench import mixed_world
from cornelgrade import errors
from cornelgrade.adapters import engine
from cornelgrade.services import exchange

ONLINE_TOKENS = (24, 56)
BATCH_TOKENS = (32, 96)
BURST_S = (1.0, 4.0)
GAP_S = (1.0, 5.0)
BURST_LOAD = (0.3, 0.8)
STEP_S = 0.019
SAMPLE_S = 0.01
BATCH_USER = "batch"
_TOP_US = 120_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """An online request to come.

    :param at_s: seconds since the start.
    """

    at_s: float
    number: int
    tokens: int


def arrivals(site: mixed_world.Site, seconds: float, seed: int) -> list[Arrival]:
    """Draw bursts of online requests with idle gaps between them."""
    rng = random.Random(seed)
    mean_tokens = sum(ONLINE_TOKENS) / 2
    capacity = site.engines * mixed_world.SLOTS / (mean_tokens * STEP_S)
    found: list[Arrival] = []
    now_s = rng.uniform(*GAP_S)
    while now_s < seconds:
        end_s = now_s + rng.uniform(*BURST_S)
        rate = capacity * rng.uniform(*BURST_LOAD)
        while (now_s := now_s + rng.expovariate(rate)) < min(end_s, seconds):
            found.append(Arrival(now_s, len(found), rng.randint(*ONLINE_TOKENS)))
        now_s = end_s + rng.uniform(*GAP_S)
    return found


def words(label: str, count: int, rng: random.Random) -> str:
    """Make a prompt of ``count`` words, the first half the same for a label."""
    same = [f"{label}{index}" for index in range(count // 2)]
    return " ".join([*same, *(f"w{rng.randrange(10**6)}" for _ in range(count - len(same)))])


def batch_body(number: int, rng: random.Random) -> dict:
    """Make the body of one batch item."""
    return {
        "prompt": words("note", 48, rng),
        "max_tokens": rng.randint(*BATCH_TOKENS),
        "user": f"{BATCH_USER}{number}",
    }


class Online:
    """Sends online requests at their times and measures what callers see."""

    def __init__(self, world: mixed_world.World, seed: int) -> None:
        self.first = histogram.HdrHistogram(1, _TOP_US, 4)
        self.between = histogram.HdrHistogram(1, _TOP_US, 4)
        self.failed = 0
        self._world = world
        self._rng = random.Random(seed + 1)

    async def run(self, schedule: list[Arrival]) -> None:
        """Send every request and wait for the last answer."""
        began_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for arrival in schedule:
                await trio.sleep_until(began_s + arrival.at_s)
                nursery.start_soon(self._one, arrival)

    async def _one(self, arrival: Arrival) -> None:
        server = self._rng.choice(self._world.online)
        sent_s = trio.current_time()
        last_s = None
        try:
            async with contextlib.aclosing(server.serve(self._request(arrival))) as parts:
                async for part in parts:
                    if isinstance(part, bytes) and part != engine.END_MARKER:
                        last_s = self._token(sent_s, last_s)
        except errors.Refusal:
            self.failed += 1

    def _token(self, sent_s: float, last_s: float | None) -> float:
        now_s = trio.current_time()
        into, since_s = (self.first, sent_s) if last_s is None else (self.between, last_s)
        into.record_value(max(1, round((now_s - since_s) * 1e6)))
        return now_s

    def _request(self, arrival: Arrival) -> exchange.Request:
        body = {
            "prompt": words("ask", 48, self._rng),
            "max_tokens": arrival.tokens,
            "user": f"online{arrival.number}",
            "stream": True,
        }
        return exchange.Request(
            request_id=f"r{arrival.number}",
            team="team",
            service=mixed_world.SERVICE,
            method="POST",
            path="/v1/completions",
            body=json.dumps(body).encode(),
            headers=(),
            rank=0,
            deadline_s=trio.current_time() + 60.0,
            stream=True,
            idempotent=True,
            fingerprint=f"f{arrival.number}",
            max_tokens=arrival.tokens,
        )


class SlotTime:
    """Samples what runs in the engines' slots."""

    def __init__(self, world: mixed_world.World) -> None:
        self.online = 0
        self.batch = 0
        self.total = 0
        self._world = world

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await trio.sleep(SAMPLE_S)
            for linked in self._world.engines.values():
                running = linked.inner.engine._model.running
                mine = sum(seq.completion.user.startswith(BATCH_USER) for seq in running)
                self.batch += mine
                self.online += len(running) - mine
                self.total += mixed_world.SLOTS

    @property
    def idle_used(self) -> float:
        """The share of the slot-time that online left free in which batch ran."""
        idle = self.total - self.online
        return self.batch / idle if idle else 0.0


async def straight(world: mixed_world.World, seed: int, outstanding: int) -> None:
    """Keep ``outstanding`` batch items at each engine, whatever else runs there."""
    rng = random.Random(seed + 2)
    numbers = iter(range(10**9))

    async def feed(linked: mixed_world.Linked) -> None:
        while True:
            number = next(numbers)
            body = json.dumps(batch_body(number, rng)).encode()
            call = engine.Call(f"b{number}", "POST", "/v1/completions", body)
            call = msgspec.structs.replace(call, first_byte_timeout_s=600.0)
            async with linked.call(call):
                pass

    async with trio.open_nursery() as nursery:
        for linked in world.engines.values():
            for _ in range(outstanding):
                nursery.start_soon(feed, linked)
