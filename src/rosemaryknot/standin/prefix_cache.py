"""Prefix cache of the stand-in engine, with events that come late and with gaps."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

import xxhash

__all__ = ["BLOCK_TOKENS", "CacheEvent", "PrefixCache", "prefix_blocks"]

BLOCK_TOKENS = 32
EVENTS_KEPT = 10_000


def prefix_blocks(prompt: str) -> list[str]:
    """Return the chained digests of a prompt's full blocks.

    A block is `BLOCK_TOKENS` words; its digest covers all blocks before it, so that
    equal digests mean equal prefixes.

    Parameters
    ----------
    prompt : str
        Text of the prompt.

    Returns
    -------
    blocks : list of str
        One hex digest for each full block.

    Examples
    --------
    >>> len(prefix_blocks("word " * 70))
    2
    """
    words = prompt.split()
    blocks, seed = [], 0
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = " ".join(words[start : start + BLOCK_TOKENS])
        seed = xxhash.xxh64_intdigest(text.encode(), seed)
        blocks.append(f"{seed:016x}")
    return blocks


@dataclass(slots=True)
class CacheEvent:
    """A change of the cache.

    Attributes
    ----------
    seq : int
        Rises by one with each change, also with those that are never published.
    event : str
        ``stored`` or ``evicted``.
    block : str
        Digest from `prefix_blocks`.
    time_s : float
        When it happened, on the engine's clock.
    """

    seq: int
    event: str
    block: str
    time_s: float


class PrefixCache:
    """Blocks of prompts, the least recently used of which go first.

    Parameters
    ----------
    capacity_blocks : int
        Limit of its memory.
    drop_share : float
        Share of the events that are never published.
    seed : int
        Seed of the choice of dropped events.
    """

    def __init__(self, capacity_blocks: int, drop_share: float, seed: int) -> None:
        self.capacity_blocks = capacity_blocks
        self.drop_share = drop_share
        self.random = random.Random(seed)
        self.blocks: OrderedDict[str, None] = OrderedDict()
        self.events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self.seq = 0

    def match(self, blocks: list[str]) -> int:
        """Return how many tokens of a prompt are cached, and mark them as used."""
        count = 0
        for block in blocks:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, blocks: list[str], now_s: float) -> None:
        """Keep the blocks of a prompt, evicting others."""
        for block in blocks[: self.capacity_blocks]:
            if block not in self.blocks:
                self.record("stored", block, now_s)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            self.record("evicted", evicted, now_s)

    def record(self, event: str, block: str, now_s: float) -> None:
        """Give an event its number and publish it, unless it falls into a gap."""
        self.seq += 1
        if self.random.random() >= self.drop_share:
            self.events.append(CacheEvent(self.seq, event, block, now_s))

    def events_since(self, seq: int, before_s: float) -> list[CacheEvent]:
        """Return the published events after a number, up to a time."""
        return [e for e in self.events if e.seq > seq and e.time_s <= before_s]
