"""Rendezvous hashing: everyone with the same member list picks the same members for a key.

Source: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Return a member's weight for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def pick_members(key: str, members: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` members with the highest weights, in descending order."""
    ranked = sorted(members, key=lambda member: (score(key, member), member), reverse=True)
    return tuple(ranked[:count])
