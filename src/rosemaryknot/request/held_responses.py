"""Bound on the responses that a node holds before it passes them on.

A plain response is held until it is complete: one that breaks off can then be replaced
by that of another server. A server may also send bytes without end, though, which would
fill the memory of the node.
"""

import math
from collections import defaultdict
from collections.abc import Callable
from types import TracebackType
from typing import Self

from rosemaryknot.process.caller_memory import CallerMemory
from rosemaryknot.process.metrics import gauge

__all__ = ["MAX_RESPONSE_BYTES", "HeldEvent", "HeldResponse", "HeldResponses"]

# A response of this size is held whatever the others of its service are like.
MIN_LIMIT_BYTES = 1 << 20
MAX_LIMIT_BYTES = 8 << 20
# Ratio of the limit to the largest complete response of the service.
LIMIT_FACTOR = 2
# All responses of a node together.
MAX_TOTAL_BYTES = 32 << 20
# Bytes of a response that are read at a time, and once callers hold half of the memory
# for them: one that does not read holds up as many at each buffer on the way.
READ_BYTES = 65536
SMALL_READ_BYTES = 8192
MODERATE_SHARE = 0.5
# A larger response never ends, even one that is passed on as it arrives.
MAX_RESPONSE_BYTES = 64 << 20

# Incomplete events up to this size are held even if there is no room: nearly all are
# smaller, and a stream that is broken off is begun again.
SMALL_EVENT_BYTES = 16384

HELD_BYTES = gauge("held_response_bytes", "Bytes of responses that are not complete.")


class HeldBytes:
    """Bytes that are accounted for while they are held.

    Parameters
    ----------
    change_total : callable
        Takes the change of the bytes of all responses; returns whether they are within
        the bound of the node.

    Attributes
    ----------
    size : int
        Bytes that are accounted for.
    """

    __slots__ = ("change_total", "size")

    def __init__(self, change_total: Callable[[int], bool]) -> None:
        self.change_total = change_total
        self.size = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def resize(self, size: int) -> bool:
        """Change the size; return whether all bytes are within the bound."""
        change, self.size = size - self.size, size
        return self.change_total(change)

    def release(self) -> None:
        """Hold the bytes no longer."""
        self.resize(0)


class HeldResponse(HeldBytes):
    """One response that is held.

    Parameters
    ----------
    limit : int
        Bytes that it may have.
    change_total : callable
        See `HeldBytes`.

    Attributes
    ----------
    body : bytearray
        Bytes received so far.
    """

    __slots__ = ("body", "limit")

    def __init__(self, limit: int, change_total: Callable[[int], bool]) -> None:
        super().__init__(change_total)
        self.limit = limit
        self.body = bytearray()

    @property
    def is_too_large(self) -> bool:
        """Whether it is larger than any response of its service is expected to be."""
        return len(self.body) > self.limit

    def add(self, data: bytes) -> bool:
        """Add received bytes; return whether the response may still be held."""
        self.body += data
        return self.resize(self.size + len(data)) and not self.is_too_large

    def take(self) -> bytes:
        """Return the bytes, which stay accounted for until they are delivered."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def release(self) -> None:
        """Hold the bytes no longer."""
        self.body = bytearray()
        super().release()


class HeldEvent(HeldBytes):
    """The part of a stream's event that has arrived before its end."""

    __slots__ = ()

    def resize(self, size: int) -> bool:
        """Change the size; return whether the event may still be held."""
        if size == self.size:
            return True
        return super().resize(size) or size <= SMALL_EVENT_BYTES


class HeldResponses:
    """The responses that a node holds, and the sizes of the complete ones by service.

    Parameters
    ----------
    memory : CallerMemory, optional
        Account that the responses take from, beside connections and bodies.

    Examples
    --------
    >>> held = HeldResponses()
    >>> held.limit("s") == MIN_LIMIT_BYTES
    True
    >>> held.record_complete("s", 3 << 20)
    >>> held.limit("s") == 6 << 20
    True
    """

    def __init__(self, memory: CallerMemory | None = None) -> None:
        self.memory = CallerMemory(math.inf) if memory is None else memory
        self.total = 0
        self.largest: defaultdict[str, int] = defaultdict(int)

    @property
    def has_room(self) -> bool:
        """Whether the bytes held are within the bound of the node."""
        is_within = self.total <= MAX_TOTAL_BYTES
        return is_within and self.memory.has_room(0, is_large=True)

    @property
    def read_bytes(self) -> int:
        """Bytes of a response to read at a time."""
        is_moderate = self.memory.total <= MODERATE_SHARE * self.memory.limit_bytes
        return READ_BYTES if is_moderate and self.has_room else SMALL_READ_BYTES

    def begin(self, service: str) -> HeldResponse:
        """Return a new response of a service, without bytes."""
        return HeldResponse(self.limit(service), self.change_total)

    def begin_event(self) -> HeldEvent:
        """Return the account of a stream's incomplete events."""
        return HeldEvent(self.change_total)

    def limit(self, service: str) -> int:
        """Return how large a response of a service may be, in bytes."""
        limit = LIMIT_FACTOR * self.largest[service]
        return max(MIN_LIMIT_BYTES, min(MAX_LIMIT_BYTES, limit))

    def change_total(self, change: int) -> bool:
        """Change the number of bytes held; return whether it is within the bound."""
        self.total += change
        self.memory.add(change)
        HELD_BYTES.set(self.total)
        return self.has_room

    def record_complete(self, service: str, size: int) -> None:
        """Record the size of a complete response."""
        self.largest[service] = max(self.largest[service], size)
