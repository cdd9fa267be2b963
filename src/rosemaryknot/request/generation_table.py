"""The accepted model requests of this process, for pick-up; bounded."""

from dataclasses import dataclass

import trio

from rosemaryknot.request.generations import Generation
from rosemaryknot.values.outcomes import NotRun, Reason

__all__ = ["GenerationTable"]

MAX_GENERATIONS = 4096
MAX_BYTES = 256 * 1024 * 1024
KEEP_FINISHED_S = 600.0
TOKEN_BYTES = 56
"""Memory of one emitted token: a short bytes object and its slot in a list."""


@dataclass(slots=True)
class Entry:
    """A generation in the table and the bytes counted for it."""

    generation: Generation
    size: int


class GenerationTable:
    """The accepted requests of this process, bounded by count and bytes.

    Finished ones are kept for pick-up for a stated time, and fewer where room is
    needed; a running one is never dropped.

    Parameters
    ----------
    max_count : int
        Most generations.
    max_bytes : int
        Most bytes, by estimate.
    keep_s : float
        How long a finished generation can be picked up, in seconds.
    """

    def __init__(
        self,
        max_count: int = MAX_GENERATIONS,
        max_bytes: int = MAX_BYTES,
        keep_s: float = KEEP_FINISHED_S,
    ) -> None:
        self.max_count = max_count
        self.max_bytes = max_bytes
        self.keep_s = keep_s
        self.entries: dict[tuple[str, str], Entry] = {}
        self.finished: dict[tuple[str, str], None] = {}
        self.size = 0

    def add(self, generation: Generation) -> NotRun | None:
        """Add a generation that starts.

        Parameters
        ----------
        generation : Generation
            The generation; its `ModelRequest.max_tokens` are reserved, so that an
            accepted answer has room to its end.

        Returns
        -------
        refusal : NotRun or None
            Why there is no room, or None when it was added.
        """
        key = (generation.customer, generation.request_id)
        if key in self.entries:
            return NotRun(Reason.ALREADY_RUNNING, detail="this id is in use")
        size = generation.prompt_bytes() + TOKEN_BYTES * generation.request.max_tokens
        self.purge()
        while self.finished and not self.has_room(size):
            self.remove(next(iter(self.finished)))
        if not self.has_room(size):
            return NotRun(Reason.OVERLOADED, 1.0, "too many requests are running")
        self.entries[key] = Entry(generation, size)
        self.size += size
        return None

    def note_finished(self, generation: Generation) -> None:
        """Count only what a finished generation really holds."""
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
            Customer that asks. Another one's id is not found.
        request_id : str
            Id of the request.
        """
        self.purge()
        entry = self.entries.get((customer, request_id))
        return None if entry is None else entry.generation

    def running(self) -> list[Generation]:
        """Return the generations that have no outcome yet."""
        return [
            entry.generation
            for entry in self.entries.values()
            if entry.generation.outcome is None
        ]

    def has_room(self, size: int) -> bool:
        """Tell whether one more generation of a size fits."""
        return len(self.entries) < self.max_count and self.size + size <= self.max_bytes

    def purge(self) -> None:
        """Drop the finished generations whose time is over."""
        oldest = trio.current_time() - self.keep_s
        while self.finished:
            key = next(iter(self.finished))
            if self.entries[key].generation.finished_s > oldest:
                return
            self.remove(key)

    def remove(self, key: tuple[str, str]) -> None:
        """Drop a finished generation."""
        del self.finished[key]
        self.size -= self.entries.pop(key).size
