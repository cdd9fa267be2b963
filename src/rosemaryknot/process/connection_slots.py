"""Bound on open connections, of which the oldest yields to a new one."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

__all__ = ["ConnectionSlots"]


class ConnectionSlots:
    """Slots for connections that are soon served, such as those of probes.

    To refuse a new connection would let clients that open connections and send nothing
    keep all others out. The oldest one has had the most time to be served.

    Parameters
    ----------
    count : int
        Number of slots.

    Attributes
    ----------
    scopes : dict of trio.CancelScope to None
        Scopes of the connections that hold a slot, the oldest first.

    Examples
    --------
    >>> async def main():
    ...     slots = ConnectionSlots(1)
    ...     with slots.hold() as first, slots.hold() as second:
    ...         return first.cancel_called, second.cancel_called
    >>> trio.run(main)
    (True, False)
    """

    __slots__ = ("count", "scopes")

    def __init__(self, count: int) -> None:
        self.count = count
        self.scopes: dict[trio.CancelScope, None] = {}

    @contextmanager
    def hold(self) -> Iterator[trio.CancelScope]:
        """Hold a slot while the block runs; it is cancelled if it has to yield."""
        while len(self.scopes) >= self.count:
            oldest = next(iter(self.scopes))
            self.release(oldest)
            oldest.cancel()
        with trio.CancelScope() as scope:
            self.scopes[scope] = None
            try:
                yield scope
            finally:
                self.release(scope)

    def release(self, scope: trio.CancelScope) -> None:
        """Release a slot before its block ends, so that it does not yield any more."""
        self.scopes.pop(scope, None)
