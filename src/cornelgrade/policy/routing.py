"""Choice of an upstream: prefix affinity with bounded load, then the less loaded of two."""

import dataclasses
import random
from typing import Protocol

import xxhash

PREFIX_BYTES = 256
LOAD_BOUND = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Current state of an upstream as known to the gateway.

    :param local: it is in the gateway's own failure domain.
    :param slots: requests that it runs concurrently.
    :param cap: maximum number of requests that this gateway may have outstanding there.
    :param outstanding: requests that this gateway has outstanding there.
    :param usable: it is neither leaving nor down.
    :param software_version: its own version, empty if the manifest names none.
    """

    name: str
    local: bool
    slots: int
    cap: int
    outstanding: int = 0
    usable: bool = True
    software_version: str = ""

    @property
    def has_room(self) -> bool:
        """Whether this gateway may send one more request."""
        return self.usable and self.outstanding < self.cap

    @property
    def load(self) -> float:
        """Fraction of the slots that this gateway's requests use."""
        return self.outstanding / self.slots


def count_free_permits(candidates: tuple[Candidate, ...]) -> int:
    """Count the slot permits that this gateway may use now."""
    return sum(c.cap - c.outstanding for c in candidates if c.has_room)


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """Routing requirements of a request.

    :param prefix: hash of the beginning of the prompt, 0 if there is no prompt.
    :param exclude: upstreams that already failed this request, used only if no other is usable.
    :param alone: the request must run alone; see :func:`choose_for_exclusive_run`.
    :param software_version: the only version that may go on with the request's stream; ``None`` if
        the stream has not begun.
    :param version_named: whether the upstream itself named that version. One of unknown version is
        then tried too, as its response can name it.
    """

    prefix: int = 0
    exclude: frozenset[str] = frozenset()
    alone: bool = False
    software_version: str | None = None
    version_named: bool = False

    def allow(self, software_version: str) -> bool:
        """Return whether the request may go to an upstream of a software version."""
        if self.version_named and not software_version:
            return True
        return self.software_version in (None, software_version)


class Choice(Protocol):
    """A strategy that chooses an upstream."""

    def choose(
        self, candidates: tuple[Candidate, ...], requirements: Requirements, rng: random.Random
    ) -> Candidate | None:
        """Return an upstream with room, or ``None``."""


def prefix_hash(prompt: bytes) -> int:
    """Hash the beginning of a prompt."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_BYTES])


def score(prefix: int, name: str) -> int:
    """Return the rendezvous weight of an upstream for a prefix; the highest is preferred."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=prefix)


def _list_usable(candidates: tuple[Candidate, ...], requirements: Requirements) -> list[Candidate]:
    """Return the upstreams that may serve a request, only untried ones if there are any."""
    usable = [c for c in candidates if c.usable and requirements.allow(c.software_version)]
    return [c for c in usable if c.name not in requirements.exclude] or usable


def _list_with_room(
    candidates: tuple[Candidate, ...], requirements: Requirements
) -> list[Candidate]:
    return [c for c in _list_usable(candidates, requirements) if c.has_room]


def choose_for_exclusive_run(
    candidates: tuple[Candidate, ...], fingerprint: str, requirements: Requirements
) -> Candidate | None:
    """Return the upstream to drain for a request that must run alone, even if it has no room."""
    usable = _list_usable(candidates, requirements)
    if not usable:
        return None
    seed = xxhash.xxh3_64_intdigest(fingerprint.encode())
    return max(prefer_local(usable), key=lambda c: score(seed, c.name))


def prefer_local(candidates: list[Candidate]) -> list[Candidate]:
    """Return only the upstreams of the own failure domain if there are any."""
    local = [c for c in candidates if c.local]
    return local or candidates


class RandomChoice:
    """Chooses any upstream with room; a baseline for benchmarks."""

    def choose(
        self, candidates: tuple[Candidate, ...], requirements: Requirements, rng: random.Random
    ) -> Candidate | None:
        """Return a random upstream with room."""
        available = prefer_local(_list_with_room(candidates, requirements))
        return rng.choice(available) if available else None


class LeastOutstanding:
    """Chooses the upstream with the lowest load; a baseline for benchmarks."""

    def choose(
        self, candidates: tuple[Candidate, ...], requirements: Requirements, rng: random.Random
    ) -> Candidate | None:
        """Return the least loaded upstream; ties are broken at random."""
        available = prefer_local(_list_with_room(candidates, requirements))
        if not available:
            return None
        return min(available, key=lambda c: (c.load, rng.random()))


class AffinityChoice:
    """Chooses by prefix affinity with bounded load, else the less loaded of two at random."""

    def choose(
        self, candidates: tuple[Candidate, ...], requirements: Requirements, rng: random.Random
    ) -> Candidate | None:
        """Return an upstream preferred for the prefix if its load is within the bound."""
        available = prefer_local(_list_with_room(candidates, requirements))
        if not available:
            return None
        if requirements.prefix:
            home = self._choose_preferred(available, requirements.prefix)
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
