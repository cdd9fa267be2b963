"""Turns in which connections parse bodies that consist of many small chunks.

Parsing a chunk takes some 10 us of processor time, whatever its size: a read of 64 KB
may hold ten thousand chunks and a tenth of a second of work. If each connection parsed
what it has read, a few dozen of them would hold up all other tasks for seconds.
"""

from types import TracebackType

import trio

__all__ = ["ParsingTurn", "ParsingTurns"]

# Chunks that a connection may parse of one read without a turn. A read of 64 KB holds
# that many of 8 KB each.
FREE_CHUNKS = 8
# Chunks that it may parse in one turn: a third of a millisecond, or three on a slow
# core, for which other tasks wait once a pass of the scheduler.
CHUNKS_IN_TURN = 32


class ParsingTurn:
    """The turns of one connection.

    Parameters
    ----------
    lock : trio.StrictFIFOLock
        Held by the connection whose turn it is.

    Attributes
    ----------
    chunks : int
        Chunks that were parsed since the last wait.
    is_held : bool
        Whether it is this connection's turn.
    """

    __slots__ = ("chunks", "is_held", "lock")

    def __init__(self, lock: trio.StrictFIFOLock) -> None:
        self.lock = lock
        self.chunks = 0
        self.is_held = False

    def __enter__(self) -> "ParsingTurn":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.end()

    @property
    def is_due(self) -> bool:
        """Whether the next chunk has to wait for a turn."""
        return self.chunks >= (CHUNKS_IN_TURN if self.is_held else FREE_CHUNKS)

    def end(self) -> None:
        """End the turn, before a wait for more bytes."""
        self.chunks = 0
        if self.is_held:
            self.is_held = False
            self.lock.release()

    async def wait(self) -> None:
        """Wait for the next turn, behind the other connections; let other tasks run."""
        self.end()
        await self.lock.acquire()
        self.is_held = True


class ParsingTurns:
    """The turns of all connections of a listener."""

    __slots__ = ("lock",)

    def __init__(self) -> None:
        self.lock = trio.StrictFIFOLock()

    def begin(self) -> ParsingTurn:
        """Return the turns of a connection; to be used as a context manager."""
        return ParsingTurn(self.lock)
