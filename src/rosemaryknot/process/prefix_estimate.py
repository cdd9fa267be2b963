"""Estimate of the prompt prefixes that a backend server has cached.

The estimate is computed from the prompts that this process has sent to the server. It
does not depend on cache events, which arrive late and with gaps. It is a hint: it is
bounded, decays with time, and is corrected by the cached tokens that the engine reports
at the end of each response.
"""

import json
import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import xxhash

__all__ = ["PrefixEstimate", "prompt_blocks", "prompt_segments"]

BLOCK_CHARS = 256
MAX_PROMPT_BLOCKS = 512
MAX_ENTRIES = 4096
HALF_LIFE_S = 120.0
ACCURACY_SMOOTHING = 0.2


def prompt_blocks(texts: Iterable[str]) -> list[int]:
    """Return the chained digests of the blocks of a conversation.

    Parameters
    ----------
    texts : iterable of str
        The contents of the messages, in order.

    Returns
    -------
    blocks : list of int
        One for each full block; equal digests mean equal prefixes.

    Examples
    --------
    >>> long, longer = prompt_blocks(["a" * 600]), prompt_blocks(["a" * 900])
    >>> len(long), len(longer), long == longer[:2]
    (2, 3, True)
    """
    text = "\n".join(texts)
    blocks: list[int] = []
    digest = 0
    stop = min(len(text) - BLOCK_CHARS + 1, MAX_PROMPT_BLOCKS * BLOCK_CHARS)
    for start in range(0, stop, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS].encode("utf-8", "replace")
        digest = xxhash.xxh64_intdigest(block, digest)
        blocks.append(digest)
    return blocks


def prompt_segments(messages: Iterable[dict[str, Any]]) -> list[str]:
    """Return the ids of the parts of a conversation that others may have in common.

    These are its messages but for the last one, wherever they stand, and its beginnings
    of one, two, four and so on blocks, since prompts in one message may begin alike.

    Parameters
    ----------
    messages : iterable of dict
        The conversation, with ``role`` and ``content`` of each message.

    Examples
    --------
    >>> first, second = (
    ...     [{"role": "system", "content": "a"}, {"role": "user", "content": text}]
    ...     for text in ("b", "c")
    ... )
    >>> prompt_segments(first) == prompt_segments(second)
    True
    >>> len(prompt_segments([{"role": "user", "content": "a" * 600}]))
    2
    """
    messages = list(messages)
    segments = [
        f"message-{xxhash.xxh3_128_hexdigest(canonical_json(message))}"
        for message in messages[:-1]
    ]
    texts = [str(message.get("content")) for message in messages]
    length = len("\n".join(texts))
    for count, digest in enumerate(prompt_blocks(texts), 1):
        # A beginning that is the whole prompt is specific to the request.
        if count & (count - 1) == 0 and count * BLOCK_CHARS < length:
            segments.append(f"beginning-{count}-{digest:x}")
    return segments


def canonical_json(message: dict[str, Any]) -> bytes:
    """Return the same text for equal messages."""
    return json.dumps(message, sort_keys=True, default=str).encode()


@dataclass(slots=True, frozen=True)
class Guess:
    """Expected cached part of a prompt.

    Attributes
    ----------
    share : float
        Share of the prompt's blocks, 0 to 1, weighted by age and accuracy.
    blocks : int
        Number of leading blocks that were sent to the server.
    """

    share: float
    blocks: int


NO_GUESS = Guess(0.0, 0)


class PrefixEstimate:
    """Blocks that one server has probably cached.

    Parameters
    ----------
    max_entries : int
        Maximum number of blocks remembered; the least recently used are evicted first.

    Attributes
    ----------
    accuracy : float
        Moving average of the confirmed share of the guesses, 0 to 1.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.used_s: OrderedDict[int, float] = OrderedDict()
        self.accuracy = 1.0

    def record_sent(self, blocks: list[int], now_s: float) -> None:
        """Record that a prompt was sent to the server."""
        for block in blocks:
            self.used_s[block] = now_s
            self.used_s.move_to_end(block)
        while len(self.used_s) > self.max_entries:
            self.used_s.popitem(last=False)

    def guess(self, blocks: list[int], now_s: float) -> Guess:
        """Return the part of a prompt that is probably cached.

        Parameters
        ----------
        blocks : list of int
            From `prompt_blocks`.
        now_s : float
            Current trio time.
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
        decay = math.pow(0.5, (now_s - oldest_s) / HALF_LIFE_S)
        return Guess(count / len(blocks) * decay * self.accuracy, count)

    def confirm(self, blocks: list[int], guess: Guess, cached_share: float) -> None:
        """Update the accuracy with the cached share that the engine reported.

        Parameters
        ----------
        blocks : list of int
            Blocks of the prompt.
        guess : Guess
            The guess when the prompt was sent.
        cached_share : float
            Share of the prompt that was cached according to the engine.
        """
        if not guess.blocks:
            return
        expected = guess.blocks / len(blocks)
        confirmed = min(1.0, cached_share / expected)
        self.accuracy += ACCURACY_SMOOTHING * (confirmed - self.accuracy)

    def forget(self) -> None:
        """Reset the estimate, for an engine that has restarted."""
        self.used_s.clear()
        self.accuracy = 1.0
