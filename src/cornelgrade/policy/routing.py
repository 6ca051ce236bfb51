"""Choice of an upstream: prefix affinity with bounded load, then the less loaded of two."""

import dataclasses
import random
from typing import Protocol

import xxhash

PREFIX_BYTES = 256
LOAD_BOUND = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream as the gateway sees it now.

    :param local: in the gateway's own failure domain.
    :param slots: requests that it runs at the same time.
    :param cap: requests that this gateway may have outstanding there.
    :param outstanding: requests that this gateway has there now.
    :param usable: not leaving, not down.
    """

    name: str
    local: bool
    slots: int
    cap: int
    outstanding: int = 0
    usable: bool = True

    @property
    def room(self) -> bool:
        """Whether this gateway may send one more request."""
        return self.usable and self.outstanding < self.cap

    @property
    def load(self) -> float:
        """Share of the slots in use by this gateway's own count."""
        return self.outstanding / self.slots


def free_seats(candidates: tuple[Candidate, ...]) -> int:
    """Count the requests that this gateway may send now."""
    return sum(c.cap - c.outstanding for c in candidates if c.room)


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a request asks of the choice.

    :param prefix: hash of the prompt's beginning, 0 if it has none.
    :param exclude: upstreams that already failed this request; used only if all others are out.
    :param alone: the request must run alone; see :func:`for_alone`.
    """

    prefix: int = 0
    exclude: frozenset[str] = frozenset()
    alone: bool = False


class Choice(Protocol):
    """A way to choose an upstream."""

    def choose(
        self, candidates: tuple[Candidate, ...], wish: Wish, rng: random.Random
    ) -> Candidate | None:
        """Give an upstream with room, or ``None``."""


def prefix_hash(prompt: bytes) -> int:
    """Hash the beginning of a prompt."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_BYTES])


def score(prefix: int, name: str) -> int:
    """Rendezvous score of an upstream for a prefix; the highest wins."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=prefix)


def _list_with_room(candidates: tuple[Candidate, ...], wish: Wish) -> list[Candidate]:
    untried = [c for c in candidates if c.usable and c.name not in wish.exclude]
    considered = untried or [c for c in candidates if c.usable]
    return [c for c in considered if c.room]


def for_alone(candidates: tuple[Candidate, ...], fingerprint: str, wish: Wish) -> Candidate | None:
    """Give the upstream to empty for a request that must run alone, room or not."""
    untried = [c for c in candidates if c.usable and c.name not in wish.exclude]
    usable = untried or [c for c in candidates if c.usable]
    if not usable:
        return None
    seed = xxhash.xxh3_64_intdigest(fingerprint.encode())
    return max(prefer_local(usable), key=lambda c: score(seed, c.name))


def prefer_local(candidates: list[Candidate]) -> list[Candidate]:
    """Keep the own failure domain's upstreams if there are any."""
    local = [c for c in candidates if c.local]
    return local or candidates


class RandomChoice:
    """Any upstream with room; a baseline for measurements."""

    def choose(
        self, candidates: tuple[Candidate, ...], wish: Wish, rng: random.Random
    ) -> Candidate | None:
        """Give a random upstream."""
        available = prefer_local(_list_with_room(candidates, wish))
        return rng.choice(available) if available else None


class LeastOutstanding:
    """The upstream with the fewest outstanding requests; a baseline for measurements."""

    def choose(
        self, candidates: tuple[Candidate, ...], wish: Wish, rng: random.Random
    ) -> Candidate | None:
        """Give the least loaded upstream, ties broken at random."""
        available = prefer_local(_list_with_room(candidates, wish))
        if not available:
            return None
        return min(available, key=lambda c: (c.load, rng.random()))


class AffinityChoice:
    """Prefix affinity by rendezvous hash with bounded load, then the less loaded of two."""

    def choose(
        self, candidates: tuple[Candidate, ...], wish: Wish, rng: random.Random
    ) -> Candidate | None:
        """Give the prefix's own upstream while its load is within the bound."""
        available = prefer_local(_list_with_room(candidates, wish))
        if not available:
            return None
        if wish.prefix:
            home = self._choose_preferred(available, wish.prefix)
            if home is not None:
                return home
        pair = rng.sample(available, min(2, len(available)))
        return min(pair, key=lambda c: c.load)

    @staticmethod
    def _choose_preferred(available: list[Candidate], prefix: int) -> Candidate | None:
        mean = sum(c.load for c in available) / len(available)
        ranked = sorted(available, key=lambda c: score(prefix, c.name), reverse=True)
        for candidate in ranked[:2]:
            bound = LOAD_BOUND * mean + 1.0 / candidate.slots
            if candidate.load <= bound:
                return candidate
        return None
