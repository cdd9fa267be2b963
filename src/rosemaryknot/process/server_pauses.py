"""Pauses that servers of the product's own interface asked this process for."""

from collections.abc import Hashable, Iterable

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.server_pause import ServerPause
from rosemaryknot.values.nodes import BackendServer

__all__ = ["ServerPauses"]

# Pauses kept; those that ended first are dropped. A server that starts again is another
# instance.
MAX_PAUSES = 4096

log = logger("servers")


class ServerPauses:
    """Pauses by instance; see `ServerPause`.

    Attributes
    ----------
    by_instance : dict of str to ServerPause
        Pauses of the servers that asked for one.
    """

    def __init__(self) -> None:
        self.by_instance: dict[str, ServerPause] = {}

    def record(self, instance: str, length_s: float, request: str) -> None:
        """Record that a server wants no requests for a time, in seconds."""
        if length_s <= 0:
            return
        while len(self.by_instance) >= MAX_PAUSES and instance not in self.by_instance:
            first = min(self.by_instance, key=lambda i: self.by_instance[i].until_s)
            del self.by_instance[first]
        pause = self.by_instance.setdefault(instance, ServerPause())
        now_s = trio.current_time()
        was_active = pause.is_active(now_s)
        if pause.extend(now_s + length_s) and not was_active:
            log.info(
                f"{instance} paused",
                instance=instance,
                request=request,
                length_s=round(length_s, 3),
            )

    def usable(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return the servers that may be chosen now."""
        if not self.by_instance:
            return list(servers)
        now_s = trio.current_time()
        return [s for s in servers if self.accepts(s.instance, now_s)]

    def accepts(self, instance: str, now_s: float) -> bool:
        """Return whether a server may be chosen."""
        pause = self.by_instance.get(instance)
        return pause is None or pause.accepts(now_s)

    def delay_s(self, servers: Iterable[BackendServer]) -> float | None:
        """Return how long no server may be chosen, in seconds.

        It is None if one may be chosen now, or there is none.
        """
        servers = list(servers)
        if not servers or self.usable(servers):
            return None
        now_s = trio.current_time()
        return min(self.by_instance[s.instance].next_s(now_s) for s in servers) - now_s

    def begin(self, instance: str, request: Hashable) -> None:
        """Record that a request is about to be sent."""
        pause = self.by_instance.get(instance)
        if pause is not None:
            pause.begin(request, trio.current_time())

    def record_response(self, instance: str, request: Hashable) -> None:
        """Record that a server has responded and did not ask for a pause."""
        pause = self.by_instance.get(instance)
        if pause is not None:
            pause.record_response(request)

    def end(self, instance: str, request: Hashable) -> None:
        """Record the end of a request."""
        pause = self.by_instance.get(instance)
        if pause is not None:
            pause.end(request)
