"""Prompt segments that are probably in the prefix caches of backend servers."""

from collections import OrderedDict

import trio

from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.gateway import ModelInput, PromptSegment

__all__ = ["PrefixLocations"]

# Maximum number of prompt segments whose locations are remembered, and for how long.
# Engines evict the least recently used segments after some tens of seconds under load.
MAX_SEGMENTS = 20_000
SEGMENT_TTL_S = 60.0


class PrefixLocations:
    """Servers whose prefix caches probably hold given prompt segments.

    Locations are recorded by incarnation of a server and not by its id: a restarted
    server has an empty cache, and prompts routed to it for their prefixes would be
    recomputed.
    """

    def __init__(self) -> None:
        self.locations: OrderedDict[str, dict[ServerState, float]] = OrderedDict()

    def record(self, state: ServerState, segments: tuple[PromptSegment, ...]) -> None:
        """Record that a server has computed segments of a prompt."""
        now_s = trio.current_time()
        for segment in segments:
            self.locations.setdefault(segment.id, {})[state] = now_s
            self.locations.move_to_end(segment.id)
        while len(self.locations) > MAX_SEGMENTS:
            self.locations.popitem(last=False)

    def tokens(self, state: ServerState, size: ModelInput) -> int:
        """Return how many tokens of a prompt a server has probably cached."""
        now_s = trio.current_time()
        cached = 0
        for segment in size.segments[:-1]:
            sent_s = self.locations.get(segment.id, {}).get(state)
            if sent_s is None or now_s - sent_s > SEGMENT_TTL_S:
                break
            cached += segment.tokens
        return cached
