"""The engine stand-in's prefix cache: blocks of prompt tokens, least recently used out first."""

import collections

import xxhash

from cornelgrade.adapters import engine

BLOCK_TOKENS = 16


def prefix_ids(tokens: list[str]) -> list[int]:
    """Name each whole block by a hash of everything up to its end."""
    ids: list[int] = []
    chained = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS])
        chained = xxhash.xxh64_intdigest(block.encode(), chained)
        ids.append(chained)
    return ids


class PrefixCache:
    """Counts which prompt prefixes an engine holds.

    :param capacity_tokens: tokens that fit in.
    :param gap_every: each so many-th event is never published; 0 publishes all.
    """

    def __init__(self, capacity_tokens: int, *, gap_every: int = 0, event_limit: int = 1000):
        self._capacity = capacity_tokens // BLOCK_TOKENS
        self._gap_every = gap_every
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, engine.CacheEvent]] = collections.deque(
            maxlen=event_limit
        )
        self._sequence = 0

    def use(self, tokens: list[str], now_s: float) -> int:
        """Store a prompt and give the number of its tokens that were there already."""
        ids = prefix_ids(tokens)
        hits = 0
        for block in ids:
            if block not in self._blocks:
                break
            hits += 1
        for block in ids:
            self._touch(block, now_s)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, False, now_s)
        return hits * BLOCK_TOKENS

    def events(self, after: int, until_s: float) -> tuple[engine.CacheEvent, ...]:
        """Give events later than ``after`` that happened by ``until_s``."""
        return tuple(
            event for at_s, event in self._events if event.sequence > after and at_s <= until_s
        )

    def _touch(self, block: int, now_s: float) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._publish(block, True, now_s)

    def _publish(self, block: int, stored: bool, now_s: float) -> None:
        self._sequence += 1
        if self._gap_every and self._sequence % self._gap_every == 0:
            return
        event = engine.CacheEvent(self._sequence, f"{block:016x}", stored)
        self._events.append((now_s, event))
