"""Account of the memory that a process holds for its callers.

Each connection, its buffers, bodies of requests and responses that are not complete
take from one account. Bounds for each of them alone would have to add up to less than
the memory of the smallest machine, though they are seldom reached together.
"""

from rosemaryknot.process.metrics import gauge

__all__ = ["CONNECTION_BYTES", "CallerMemory", "HeldBytes"]

# Memory of a process without callers, in a deployment of 200 nodes: some 10 MB more on
# x86-64 than on arm64.
BASE_BYTES = 72 << 20
# Share of the rest that callers may take; allocators hold on to more than is used.
USABLE_SHARE = 0.7
MIN_LIMIT_BYTES = 16 << 20
# Share of the account up to which large bodies and responses are accepted; the rest is
# for connections and small requests.
LARGE_SHARE = 0.75
# Memory of an open connection: its task, stream and parser.
CONNECTION_BYTES = 8 * 1024

CALLER_BYTES = gauge("caller_memory_bytes", "Memory held for callers, as accounted.")


class CallerMemory:
    """Account of the memory held for callers.

    Parameters
    ----------
    memory_bytes : float
        Memory that the process may use.

    Attributes
    ----------
    limit_bytes : float
        Bytes that may be held.
    total : int
        Bytes that are held.

    Examples
    --------
    >>> memory = CallerMemory(160 << 20)
    >>> round(memory.limit_bytes / 2**20)
    62
    """

    __slots__ = ("limit_bytes", "total")

    def __init__(self, memory_bytes: float) -> None:
        usable_bytes = USABLE_SHARE * (memory_bytes - BASE_BYTES)
        self.limit_bytes = max(MIN_LIMIT_BYTES, usable_bytes)
        self.total = 0

    def has_room(self, size: int, is_large: bool = False) -> bool:
        """Return whether further bytes may be held.

        Parameters
        ----------
        size : int
            Number of bytes.
        is_large : bool
            Whether they leave room for connections and small requests.
        """
        share = LARGE_SHARE if is_large else 1.0
        return self.total + size <= share * self.limit_bytes

    def add(self, change: int) -> None:
        """Change the number of bytes that are held."""
        self.total += change
        CALLER_BYTES.set(self.total)


class HeldBytes:
    """What one user of the account holds.

    Parameters
    ----------
    memory : CallerMemory
        The account.

    Attributes
    ----------
    size : int
        Number of bytes.
    """

    __slots__ = ("memory", "size")

    def __init__(self, memory: CallerMemory) -> None:
        self.memory = memory
        self.size = 0

    def resize(self, size: int, is_large: bool = False) -> bool:
        """Hold a number of bytes in all, if there is room; return whether there is.

        Parameters
        ----------
        size : int
            Number of bytes.
        is_large : bool
            Whether they leave room for connections and small requests.
        """
        change = size - self.size
        if change > 0 and not self.memory.has_room(change, is_large):
            return False
        self.size = size
        self.memory.add(change)
        return True

    def release(self) -> None:
        """Hold nothing any more."""
        self.memory.add(-self.size)
        self.size = 0
