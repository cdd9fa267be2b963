"""Bounded table of the accepted model requests of this process."""

from dataclasses import dataclass

import trio

from rosemaryknot.request.generations import Generation
from rosemaryknot.values.outcomes import NotRun, Reason

__all__ = ["GenerationTable"]

MAX_GENERATIONS = 4096
MAX_BYTES = 256 * 1024 * 1024
FINISHED_TTL_S = 600.0
TOKEN_BYTES = 56
"""Memory of one emitted token: a short bytes object and its slot in a list."""


@dataclass(slots=True)
class Entry:
    """A generation in the table and its accounted size in bytes."""

    generation: Generation
    size: int


class GenerationTable:
    """Table of the accepted requests of this process, bounded by count and bytes.

    Finished generations remain available to callers for a fixed time, or until their
    memory is needed. Running generations are never evicted.

    Parameters
    ----------
    max_count : int
        Maximum number of generations.
    max_bytes : int
        Maximum estimated memory, in bytes.
    ttl_s : float
        How long a finished generation remains available, in seconds.
    """

    def __init__(
        self,
        max_count: int = MAX_GENERATIONS,
        max_bytes: int = MAX_BYTES,
        ttl_s: float = FINISHED_TTL_S,
    ) -> None:
        self.max_count = max_count
        self.max_bytes = max_bytes
        self.ttl_s = ttl_s
        self.entries: dict[tuple[str, str], Entry] = {}
        self.finished: dict[tuple[str, str], None] = {}
        self.size = 0

    def add(self, generation: Generation) -> NotRun | None:
        """Add a new generation, evicting finished ones if needed.

        Parameters
        ----------
        generation : Generation
            The generation. Memory for its `ModelRequest.max_tokens` is reserved, so
            that an accepted response always fits.

        Returns
        -------
        refusal : NotRun or None
            The reason for the refusal, or None if the generation was added.
        """
        key = (generation.customer, generation.request_id)
        if key in self.entries:
            return NotRun(Reason.ALREADY_RUNNING, detail="this id is in use")
        size = generation.prompt_bytes() + TOKEN_BYTES * generation.request.max_tokens
        self.remove_expired()
        while self.finished and not self.has_capacity(size):
            self.remove(next(iter(self.finished)))
        if not self.has_capacity(size):
            return NotRun(Reason.OVERLOADED, 1.0, "too many requests are running")
        self.entries[key] = Entry(generation, size)
        self.size += size
        return None

    def record_finished(self, generation: Generation) -> None:
        """Replace the reservation of a finished generation by its actual size."""
        key = (generation.customer, generation.request_id)
        entry = self.entries.get(key)
        if entry is None or entry.generation is not generation:
            return
        size = generation.prompt_bytes() + TOKEN_BYTES * len(generation.tokens)
        self.size += size - entry.size
        entry.size = size
        self.finished[key] = None

    def find(self, customer: str, request_id: str) -> Generation | None:
        """Return a customer's own generation, or None.

        Parameters
        ----------
        customer : str
            Customer that requests it. Other customers' requests are not found.
        request_id : str
            Id of the request.
        """
        self.remove_expired()
        entry = self.entries.get((customer, request_id))
        return None if entry is None else entry.generation

    def running(self) -> list[Generation]:
        """Return the generations without an outcome."""
        return [
            entry.generation
            for entry in self.entries.values()
            if entry.generation.outcome is None
        ]

    def has_capacity(self, size: int) -> bool:
        """Return whether one more generation of the given size fits."""
        return len(self.entries) < self.max_count and self.size + size <= self.max_bytes

    def remove_expired(self) -> None:
        """Remove the finished generations that are older than the TTL."""
        oldest = trio.current_time() - self.ttl_s
        while self.finished:
            key = next(iter(self.finished))
            if self.entries[key].generation.finished_s > oldest:
                return
            self.remove(key)

    def remove(self, key: tuple[str, str]) -> None:
        """Remove a finished generation."""
        del self.finished[key]
        self.size -= self.entries.pop(key).size
