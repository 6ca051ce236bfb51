"""Rendezvous hashing: every holder of the same member list picks the same members for a key.

Source: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Give a member's weight for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def pick(key: str, members: Iterable[str], count: int) -> tuple[str, ...]:
    """Give the ``count`` members with the highest weights, best first."""
    ranked = sorted(members, key=lambda member: (score(key, member), member), reverse=True)
    return tuple(ranked[:count])
