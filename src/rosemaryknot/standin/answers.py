"""Answers of the stand-in engine: pure functions of prompt, lineage and position.

A test that knows the prompt and the lineage can tell whether an answer is whole, its
own and not mixed with another, without asking the engine that made it.
"""

import struct
from collections.abc import Iterable, Sequence
from typing import Any

import xxhash

__all__ = [
    "answer_length",
    "answer_seed",
    "answer_token",
    "count_tokens",
    "prompt_text",
    "token_of",
    "whole_answer",
    "wrong_token",
]

SYLLABLES = [c + v for c in "bdfghklmnprstvwz" for v in "aeiou"]
SYLLABLES_PER_TOKEN = 3
SHORTEST_SHARE = 8


def prompt_text(messages: Iterable[dict[str, Any]]) -> str:
    """Return the text that an engine makes of a request's messages.

    Parameters
    ----------
    messages : iterable of dict
        Messages of a chat/completions body.

    Returns
    -------
    text : str
        One line a message, each with its role.

    Examples
    --------
    >>> prompt_text([{"role": "user", "content": "span of a beam"}])
    'user: span of a beam'
    """
    return "\n".join(f"{m.get('role')}: {m.get('content')}" for m in messages)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a prompt: its words.

    Examples
    --------
    >>> count_tokens("user: span of a beam")
    5
    """
    return len(text.split())


def answer_seed(prompt: str, lineage: str) -> int:
    """Return the seed from which all tokens of one generation follow.

    Parameters
    ----------
    prompt : str
        Text of the prompt.
    lineage : str
        Lineage of the generation; two lineages differ as two samples do.

    Returns
    -------
    seed : int
        64 bits.
    """
    return xxhash.xxh64_intdigest(f"{lineage}\0{prompt}".encode())


def token_of(seed: int, n: int) -> str:
    """Return one token of the answer with a seed.

    Parameters
    ----------
    seed : int
        From `answer_seed`.
    n : int
        Position in the answer, from 0.

    Returns
    -------
    token : str
        A short word with a space in front.
    """
    digest = xxhash.xxh64_intdigest(struct.pack("<Q", n), seed)
    word = ""
    for _ in range(SYLLABLES_PER_TOKEN):
        digest, index = divmod(digest, len(SYLLABLES))
        word += SYLLABLES[index]
    return f" {word}"


def answer_token(prompt: str, lineage: str, n: int) -> str:
    """Return one token of an answer.

    Parameters
    ----------
    prompt : str
        Text of the prompt, from `prompt_text`.
    lineage : str
        Lineage of the generation.
    n : int
        Position in the answer, from 0.

    Returns
    -------
    token : str
        A short word with a space in front.

    Examples
    --------
    >>> answer_token("user: one", "a", 0) == answer_token("user: one", "a", 0)
    True
    >>> answer_token("user: one", "a", 0) == answer_token("user: one", "b", 0)
    False
    """
    return token_of(answer_seed(prompt, lineage), n)


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return the length of the whole answer in tokens.

    It is a little below ``max_tokens``, so that a relay which counts up to the limit
    instead of reading the engine's last event is found out. It does not depend on the
    lineage.

    Parameters
    ----------
    prompt : str
        Text of the prompt.
    max_tokens : int
        Limit that the caller gave.

    Returns
    -------
    length : int
        At least 1 and at most ``max_tokens``.

    Examples
    --------
    >>> 70 <= answer_length("user: one", 80) <= 80
    True
    >>> answer_length("user: one", 1)
    1
    """
    slack = max_tokens // SHORTEST_SHARE + 1
    return max(1, max_tokens - xxhash.xxh64_intdigest(prompt.encode()) % slack)


def whole_answer(prompt: str, lineage: str, max_tokens: int) -> list[str]:
    """Return all tokens of an answer.

    Parameters
    ----------
    prompt : str
        Text of the prompt.
    lineage : str
        Lineage of the generation.
    max_tokens : int
        Limit that the caller gave.

    Returns
    -------
    tokens : list of str
        Its tokens in order.
    """
    seed = answer_seed(prompt, lineage)
    return [token_of(seed, n) for n in range(answer_length(prompt, max_tokens))]


def wrong_token(
    prompt: str, lineage: str, tokens: Sequence[str], offset: int = 0
) -> int | None:
    """Return the position of the first token that is not of this generation.

    Parameters
    ----------
    prompt : str
        Text of the prompt.
    lineage : str
        Lineage of the generation.
    tokens : sequence of str
        Tokens to check.
    offset : int
        Position of the first of them in the answer.

    Returns
    -------
    position : int or None
        Position in the answer, or None where all are right.
    """
    seed = answer_seed(prompt, lineage)
    for n, token in enumerate(tokens, offset):
        if token != token_of(seed, n):
            return n
    return None
