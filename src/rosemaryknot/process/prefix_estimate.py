"""An estimate of which prompt prefixes a backend server has cached.

It is made of what we sent there ourselves, so it needs no cache events; those come
late and with gaps. It is a hint: bounded, fading, and corrected by what the engine
reports at the end of each answer.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

__all__ = ["PrefixEstimate", "prompt_blocks"]

BLOCK_CHARS = 256
MAX_BLOCKS = 512
MAX_ENTRIES = 4096
HALF_LIFE_S = 120.0
TRUST_STEP = 0.2


def prompt_blocks(texts: Iterable[str]) -> list[int]:
    """Return the chained digests of a conversation's blocks.

    Parameters
    ----------
    texts : iterable of str
        The contents of the messages, in order.

    Returns
    -------
    blocks : list of int
        One for each full block; equal digests mean equal beginnings.

    Examples
    --------
    >>> long, longer = prompt_blocks(["a" * 600]), prompt_blocks(["a" * 900])
    >>> len(long), len(longer), long == longer[:2]
    (2, 3, True)
    """
    text = "\n".join(texts)
    blocks: list[int] = []
    digest = 0
    stop = min(len(text) - BLOCK_CHARS + 1, MAX_BLOCKS * BLOCK_CHARS)
    for start in range(0, stop, BLOCK_CHARS):
        part = text[start : start + BLOCK_CHARS].encode("utf-8", "replace")
        digest = xxhash.xxh64_intdigest(part, digest)
        blocks.append(digest)
    return blocks


@dataclass(slots=True, frozen=True)
class Guess:
    """How much of a prompt is expected to be cached.

    Attributes
    ----------
    share : float
        Share of the prompt's blocks, 0 to 1, already weighed by age and trust.
    blocks : int
        Number of leading blocks that we remember having sent.
    """

    share: float
    blocks: int


NO_GUESS = Guess(0.0, 0)


class PrefixEstimate:
    """Blocks that one server has probably cached.

    Parameters
    ----------
    max_entries : int
        Most blocks remembered; the least recently used go first.

    Attributes
    ----------
    trust : float
        Moving average of the part of our guesses that came true, 0 to 1.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.used_s: OrderedDict[int, float] = OrderedDict()
        self.trust = 1.0

    def note_sent(self, blocks: list[int], now_s: float) -> None:
        """Remember that a prompt was computed there."""
        for block in blocks:
            self.used_s[block] = now_s
            self.used_s.move_to_end(block)
        while len(self.used_s) > self.max_entries:
            self.used_s.popitem(last=False)

    def guess(self, blocks: list[int], now_s: float) -> Guess:
        """Return how much of a prompt is probably cached.

        Parameters
        ----------
        blocks : list of int
            From `prompt_blocks`.
        now_s : float
            Now, in trio time.
        """
        used = self.used_s
        if not blocks or blocks[0] not in used:
            return NO_GUESS
        count = 0
        oldest_s = now_s
        for block in blocks:
            if block not in used:
                break
            count += 1
            if used[block] < oldest_s:
                oldest_s = used[block]
        fading = math.pow(0.5, (now_s - oldest_s) / HALF_LIFE_S)
        return Guess(count / len(blocks) * fading * self.trust, count)

    def confirm(self, blocks: list[int], guess: Guess, cached_share: float) -> None:
        """Compare a guess with what the engine reported.

        Parameters
        ----------
        blocks : list of int
            Blocks of the prompt.
        guess : Guess
            What was guessed when it was sent.
        cached_share : float
            Share of the prompt that was cached, by the engine's report.
        """
        if not guess.blocks:
            return
        expected = guess.blocks / len(blocks)
        came_true = min(1.0, cached_share / expected)
        self.trust += TRUST_STEP * (came_true - self.trust)

    def forget(self) -> None:
        """Forget all, as a restarted engine does."""
        self.used_s.clear()
        self.trust = 1.0
