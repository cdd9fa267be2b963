"""Pauses that servers ask this node for, and the slow start after them."""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field

__all__ = ["ServerPause"]

# Responses after which a server gets requests as before the pause. Each of them allows
# one request more to await its response, which doubles them with each round trip.
SLOW_START_RESPONSES = 16
# A request that has awaited its response for this long no longer holds others back.
RESPONSE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class ServerPause:
    """Pause that a server has asked this node for.

    All requests that waited for its end, and those of callers who come back then, would
    reach the server in one moment and overload it again. It gets one request first, and
    more of them as it responds.

    Attributes
    ----------
    until_s : float
        End of the pause, in trio time.
    room : float
        Requests that may await a response; infinite before the first pause and after
        the slow start.
    awaited : dict of hashable to float
        Requests sent in the slow start that await a response, with the time at which
        they were sent, in trio time.

    Examples
    --------
    >>> pause = ServerPause()
    >>> pause.accepts(0.0)
    True
    >>> pause.extend(3.0), pause.extend(0.2)
    (True, False)
    >>> pause.accepts(2.9), pause.accepts(3.0)
    (False, True)
    >>> pause.begin("r1", 3.0)
    >>> pause.accepts(3.1)
    False
    >>> pause.record_response("r1")
    True
    >>> pause.accepts(3.1)
    True
    """

    until_s: float = -math.inf
    room: float = math.inf
    awaited: dict[Hashable, float] = field(default_factory=dict)

    def extend(self, until_s: float) -> bool:
        """Extend the pause; return whether it lasts longer than before.

        A response to a request that was sent before its end does not shorten it.
        """
        if until_s <= self.until_s:
            return False
        self.until_s = until_s
        self.room = 1
        self.awaited.clear()
        return True

    def is_active(self, now_s: float) -> bool:
        """Return whether the server wants no requests."""
        return now_s < self.until_s

    def accepts(self, now_s: float) -> bool:
        """Return whether the server may be chosen for another request."""
        if self.is_active(now_s):
            return False
        return math.isinf(self.room) or self.count_awaited(now_s) < self.room

    def next_s(self, now_s: float) -> float:
        """Return when another request may be sent at the latest, in trio time."""
        if self.is_active(now_s):
            return self.until_s
        if self.accepts(now_s):
            return now_s
        return min(self.awaited.values()) + RESPONSE_TIMEOUT_S

    def count_awaited(self, now_s: float) -> int:
        """Return how many requests hold others back."""
        return sum(
            now_s - sent_s < RESPONSE_TIMEOUT_S for sent_s in self.awaited.values()
        )

    def begin(self, request: Hashable, now_s: float) -> None:
        """Record that a request is about to be sent."""
        if not math.isinf(self.room):
            self.awaited[request] = now_s

    def record_response(self, request: Hashable) -> bool:
        """Record a response to a request; return whether it was one of the slow start.

        A response to a request that was sent before the pause shows nothing.
        """
        if self.awaited.pop(request, None) is None:
            return False
        self.room += 1
        if self.room > SLOW_START_RESPONSES:
            self.room = math.inf
            self.awaited.clear()
        return True

    def end(self, request: Hashable) -> bool:
        """Record the end of a request; return whether it had no response."""
        return self.awaited.pop(request, None) is not None
