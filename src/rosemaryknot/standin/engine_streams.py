"""Open streams of the stand-in engine, and their faults."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import trio

from rosemaryknot.standin.generation import Generation

__all__ = ["EngineFaults", "EngineStreams", "Reader"]


@dataclass(slots=True)
class EngineFaults:
    """Faults of an engine; see also `EngineStandIn.host` for those of its process.

    Attributes
    ----------
    late_s : float
        Wait before the first byte of each answer.
    step_time_factor : float
        How much slower the steps are.
    swap : bool
        Exchange the streams of two requests as soon as two are open, once.
    die_after_tokens : int
        Die after so many more tokens; 0 for never.
    """

    late_s: float = 0.0
    step_time_factor: float = 1.0
    swap: bool = False
    die_after_tokens: int = 0


@dataclass(slots=True, eq=False)
class Reader:
    """One open stream.

    Attributes
    ----------
    generation : Generation
        Whose events it sends.
    cursor : int
        Position of the next token to send.
    """

    generation: Generation
    cursor: int


class EngineStreams:
    """The open streams of one engine.

    Parameters
    ----------
    faults : EngineFaults
        Says whether the next two streams are exchanged.

    Attributes
    ----------
    readers : list of Reader
        In the order of their opening.
    """

    def __init__(self, faults: EngineFaults) -> None:
        self.faults = faults
        self.readers: list[Reader] = []

    def swap_if_due(self) -> None:
        """Give two open streams each other's events, as a crossed proxy does."""
        if not self.faults.swap or len(self.readers) < 2:
            return
        self.faults.swap = False
        one, other = self.readers[-2:]
        one.generation, other.generation = other.generation, one.generation
        one.cursor, other.cursor = other.cursor, one.cursor
        one.generation.changed.unpark_all()
        other.generation.changed.unpark_all()

    async def follow(self, generation: Generation, offset: int) -> AsyncIterator[bytes]:
        """Yield the events of a generation, all that are there at once.

        Parameters
        ----------
        generation : Generation
            Whose events.
        offset : int
            Position of the first token that is wanted.

        Yields
        ------
        events : bytes
            One or more events; the last yield ends the stream.
        """
        reader = Reader(generation, offset)
        generation.readers += 1
        self.readers.append(reader)
        self.swap_if_due()
        try:
            while True:
                # Looked up each time: a swap may have changed it.
                generation = reader.generation
                if reader.cursor < generation.offset:
                    start, reader.cursor = reader.cursor, generation.offset
                    yield generation.events(start, reader.cursor)
                elif generation.finished:
                    yield generation.last_events()
                    return
                else:
                    await generation.changed.park()
        finally:
            self.readers.remove(reader)
            reader.generation.readers -= 1
            reader.generation.detached_s = trio.current_time()
