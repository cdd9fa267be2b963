"""Bound on the memory of responses that an entry reads and sends.

A response is held until its caller has read it. Callers that do not read would together
fill the memory of the process with responses that are each within their limit.
"""

from collections.abc import MutableMapping
from typing import Any

import trio

from rosemaryknot.process.caller_memory import CallerMemory, HeldBytes

__all__ = ["ResponseMemory", "ResponseMemoryMiddleware"]

# Responses of this size do not wait behind larger ones.
SMALL_BYTES = 16 * 1024
# Copies of a response while it is read or sent: with and without its framing.
COPIES = 2
# Share of the account that one response takes at most: any response has room while
# nothing else is held.
MAX_SHARE = 0.5
ROOM_CHECK_INTERVAL_S = 0.02


class ResponseMemory:
    """Memory for responses, which they take before they are read.

    A response that finds no room waits, with its server, for at most the time of its
    request: the server has run the request, so that a refusal would be too late.

    Parameters
    ----------
    memory : CallerMemory
        Account of the memory held for callers.

    Attributes
    ----------
    turns : trio.StrictFIFOLock
        Held by the large response that is next to find room.

    Examples
    --------
    >>> async def main():
    ...     memory = CallerMemory(160 << 20)
    ...     held = HeldBytes(memory)
    ...     await ResponseMemory(memory).wait(held, 1 << 20)
    ...     return memory.total >> 20
    >>> trio.run(main)
    2
    """

    def __init__(self, memory: CallerMemory) -> None:
        self.memory = memory
        self.turns = trio.StrictFIFOLock()

    def size_of(self, size: int) -> float:
        """Return the memory of a response of a size, as it is accounted for."""
        return min(COPIES * size, MAX_SHARE * self.memory.limit_bytes)

    async def wait(self, held: HeldBytes, size: int) -> None:
        """Wait until a response may have a size in all.

        Parameters
        ----------
        held : HeldBytes
            What the response holds.
        size : int
            Bytes of its body.
        """
        is_large = size > SMALL_BYTES
        needed = int(self.size_of(size))
        if needed <= held.size or held.resize(needed, is_large):
            return
        if not is_large:
            while not held.resize(needed):
                await trio.sleep(ROOM_CHECK_INTERVAL_S)
            return
        async with self.turns:
            while not held.resize(needed, is_large):
                await trio.sleep(ROOM_CHECK_INTERVAL_S)


class ResponseMemoryMiddleware:
    """ASGI middleware that accounts for responses while they are sent.

    Parameters
    ----------
    app : callable
        The ASGI application.
    memory : CallerMemory
        Account of the memory held for callers.
    """

    def __init__(self, app: Any, memory: CallerMemory) -> None:
        self.app = app
        self.memory = memory

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one request."""

        async def send_counted(message: MutableMapping[str, Any]) -> None:
            size = COPIES * len(message.get("body", b""))
            self.memory.add(size)
            try:
                await send(message)
            finally:
                self.memory.add(-size)

        await self.app(scope, receive, send_counted)
