"""Ledgers of the stand-in engines, and what they say together."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["GenerationEntry", "recomputed_by_request", "recomputed_tokens"]


@dataclass(slots=True)
class GenerationEntry:
    """What one engine spent on one generation.

    Attributes
    ----------
    id, lineage : str
        Of the generation.
    prompt_tokens : int
        Length of the prompt.
    prompt_prefilled : int
        Prompt tokens computed here; those from the cache or an import are not.
    prefix_prefilled : int
        Tokens of the resumed prefix computed again here.
    generated : int
        New tokens of the answer.
    recomputed : int
        Tokens which this engine itself can tell to be computed again: all prefill of
        a resume, and of a request that it has had before.
    offset : int
        Answer tokens at its end here, with the prefix.
    started_unix_s : float
        When it was given a slot, in seconds of the epoch; -1 before.
    outcome : str
        ``waiting``, ``running``, ``done`` or ``cancelled``.
    foreign_prefix : bool
        Whether the prefix it was resumed from is not of its lineage.
    """

    id: str
    lineage: str
    prompt_tokens: int
    prompt_prefilled: int = 0
    prefix_prefilled: int = 0
    generated: int = 0
    recomputed: int = 0
    offset: int = 0
    started_unix_s: float = -1.0
    outcome: str = "waiting"
    foreign_prefix: bool = False


def recomputed_of(entries: list[GenerationEntry]) -> int:
    """Return the tokens that one request cost beyond a single undisturbed run."""
    started = [e for e in entries if e.started_unix_s >= 0]
    if not started:
        return 0
    first = min(started, key=lambda entry: entry.started_unix_s)
    spent = sum(e.prompt_prefilled + e.prefix_prefilled + e.generated for e in started)
    needed = first.prompt_prefilled + max(e.offset for e in started)
    return max(0, spent - needed)


def recomputed_by_request(entries: Iterable[GenerationEntry]) -> dict[str, int]:
    """Return the recomputed tokens of each request over all engines.

    Parameters
    ----------
    entries : iterable of GenerationEntry
        Ledgers of all engines, in any order.

    Returns
    -------
    tokens : dict of str to int
        By request id: what was computed beyond the first prefill of the prompt and
        one generation of the answer.
    """
    by_request = defaultdict(list)
    for entry in entries:
        by_request[entry.id].append(entry)
    return {id: recomputed_of(entries) for id, entries in by_request.items()}


def recomputed_tokens(entries: Iterable[GenerationEntry]) -> int:
    """Return the recomputed tokens of all requests together."""
    return sum(recomputed_by_request(entries).values())
