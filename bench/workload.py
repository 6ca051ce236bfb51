"""Seeded requests: Poisson arrivals over prompt families that share long prefixes."""

import bisect
import dataclasses
import itertools
import random

import msgspec

from bench import fleet
from cornelgrade.policy import routing
from cornelgrade.services import exchange

TOP_RANK = 0
USUAL_RANK = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What callers send.

    :param families: number of shared prefixes; the k-th is asked for in proportion to 1/k.
    :param prefix_words: length of a shared prefix.
    :param own_words: words of each prompt that no other has.
    :param top_share: share of requests with the top priority.
    """

    rate_per_s: float
    duration_s: float
    families: int = 60
    prefix_words: int = 480
    own_words: int = 24
    least_tokens: int = 8
    most_tokens: int = 56
    top_share: float = 0.1
    deadline_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request to come."""

    at_s: float
    number: int
    gateway: int
    rank: int
    prompt: str
    max_tokens: int


def arrivals(load: Load, gateways: int, seed: int) -> list[Arrival]:
    """Draw the requests of one run."""
    rng = random.Random(seed)
    prefixes = [_words(rng, load.prefix_words) for _ in range(load.families)]
    weights = list(itertools.accumulate(1 / (k + 1) for k in range(load.families)))
    made: list[Arrival] = []
    at_s = rng.expovariate(load.rate_per_s)
    while at_s < load.duration_s:
        family = bisect.bisect(weights, rng.random() * weights[-1])
        prompt = f"{prefixes[min(family, load.families - 1)]} {_words(rng, load.own_words)}"
        rank = TOP_RANK if rng.random() < load.top_share else USUAL_RANK
        tokens = rng.randint(load.least_tokens, load.most_tokens)
        made.append(Arrival(at_s, len(made), rng.randrange(gateways), rank, prompt, tokens))
        at_s += rng.expovariate(load.rate_per_s)
    return made


def request(arrival: Arrival, load: Load, now_s: float) -> exchange.Request:
    """Write an arrival as the gateway's HTTP surface would."""
    body = {"model": "lishe", "prompt": arrival.prompt, "stream": True}
    return exchange.Request(
        request_id=f"r{arrival.number}",
        team="clinics",
        service=fleet.SERVICE,
        method="POST",
        path=fleet.PATH,
        body=msgspec.json.encode({**body, "max_tokens": arrival.max_tokens}),
        headers=(),
        rank=arrival.rank,
        deadline_s=now_s + load.deadline_s,
        stream=True,
        idempotent=True,
        fingerprint=f"f{arrival.number}",
        prefix=routing.prefix_hash(arrival.prompt.encode()),
        max_tokens=arrival.max_tokens,
    )


def _words(rng: random.Random, count: int) -> str:
    return " ".join(f"{rng.getrandbits(20):05x}" for _ in range(count))
