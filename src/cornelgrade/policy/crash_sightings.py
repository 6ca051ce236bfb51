"""Crashes as several processes saw them, identified so that each counts once."""

import functools
import hashlib
from collections.abc import Iterable

import msgspec

# Crashes of upstreams whose starts can't be told apart are one crash within this time.
SAME_CRASH_S = 2.0


class Sighting(msgspec.Struct, frozen=True):
    """A crash with a request in flight, as one process saw it.

    :param crash: id of the upstream's start, or of the upstream if its start is unknown.
    :param at_s: when it was detected, on this process's monotonic clock.
    :param exact: whether the id tells the starts of the upstream apart.
    :param attributed: whether the evidence attributes the crash to the request.
    :param weak: whether the request had several copies in flight beside other requests.
    """

    crash: int
    at_s: float
    exact: bool = False
    attributed: bool = False
    weak: bool = False

    def is_same_crash(self, other: "Sighting") -> bool:
        """Return whether two processes saw the same crash."""
        near = abs(self.at_s - other.at_s) <= SAME_CRASH_S
        return self.crash == other.crash and (self.exact or near)


@functools.lru_cache(maxsize=1_024)
def identify_crash(upstream: str, started_ms: int) -> int:
    """Return a 64-bit id of a crash.

    :param started_ms: Unix time of the upstream's start; 0 if unknown.
    """
    text = f"{upstream}\0{started_ms}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def merge_sightings(own: tuple[Sighting, ...], others: Iterable[Sighting]) -> tuple[Sighting, ...]:
    """Return each crash once.

    A crash is attributed if any process attributes it, and weak only if all of them say so.

    :param own: crashes that are known to differ.
    """
    merged = list(own)
    for sighting in others:
        index = next((i for i, known in enumerate(merged) if known.is_same_crash(sighting)), None)
        if index is None:
            merged.append(sighting)
            continue
        known = merged[index]
        merged[index] = msgspec.structs.replace(
            known,
            attributed=known.attributed or sighting.attributed,
            weak=known.weak and sighting.weak,
        )
    return tuple(merged)
