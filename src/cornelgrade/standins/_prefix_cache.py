"""Prefix cache of the engine stand-in: an LRU cache of prompt token blocks."""

import collections

import xxhash

from cornelgrade.adapters import engine

BLOCK_TOKENS = 16


def hash_prefixes(tokens: list[str]) -> list[int]:
    """Return one id for each full block: a hash of the prompt up to the block's end."""
    ids: list[int] = []
    prefix_hash = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS])
        prefix_hash = xxhash.xxh64_intdigest(block.encode(), prefix_hash)
        ids.append(prefix_hash)
    return ids


class PrefixCache:
    """LRU cache of the prompt prefixes that an engine has computed.

    :param capacity_tokens: size of the cache; only full blocks count.
    :param gap_every: drop every ``gap_every``-th event; 0 drops none.
    :param event_limit: number of latest events that are kept.
    """

    def __init__(self, capacity_tokens: int, *, gap_every: int = 0, event_limit: int = 1000):
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._gap_every = gap_every
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, engine.CacheEvent]] = collections.deque(
            maxlen=event_limit
        )
        self._sequence = 0

    def store_prompt(self, tokens: list[str], now_s: float) -> int:
        """Store a prompt and return the number of its tokens that were already cached."""
        ids = hash_prefixes(tokens)
        cached_blocks = 0
        for block in ids:
            if block not in self._blocks:
                break
            cached_blocks += 1
        for block in ids:
            self._store_block(block, now_s)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(evicted, False, now_s)
        return cached_blocks * BLOCK_TOKENS

    def get_events(self, after: int, until_s: float) -> tuple[engine.CacheEvent, ...]:
        """Return the events after sequence number ``after`` that happened by ``until_s``."""
        return tuple(
            event for at_s, event in self._events if event.sequence > after and at_s <= until_s
        )

    def _store_block(self, block: int, now_s: float) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._record_event(block, True, now_s)

    def _record_event(self, block: int, stored: bool, now_s: float) -> None:
        self._sequence += 1
        if self._gap_every and self._sequence % self._gap_every == 0:
            return
        event = engine.CacheEvent(self._sequence, f"{block:016x}", stored)
        self._events.append((now_s, event))
