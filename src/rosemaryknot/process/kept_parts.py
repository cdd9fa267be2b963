"""Which parts of prompts servers have read and most likely still keep."""

from collections import OrderedDict

import trio

from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.gateway import ModelInput, PromptPart

__all__ = ["KeptParts"]

# Parts of prompts whose place is remembered, and for how long. Engines drop the least
# recently used parts after some tens of seconds under load.
MAX_PARTS = 20_000
PART_S = 60.0


class KeptParts:
    """Where parts of prompts were read.

    A part is kept by one life of a server, not by its id: a server that has started
    again keeps nothing, and would be sent prompts that it has to read anew.
    """

    def __init__(self) -> None:
        self.places: OrderedDict[str, dict[ServerState, float]] = OrderedDict()

    def note(self, state: ServerState, parts: tuple[PromptPart, ...]) -> None:
        """Remember that a server has read parts of a prompt."""
        now_s = trio.current_time()
        for part in parts:
            self.places.setdefault(part.id, {})[state] = now_s
            self.places.move_to_end(part.id)
        while len(self.places) > MAX_PARTS:
            self.places.popitem(last=False)

    def tokens(self, state: ServerState, size: ModelInput) -> int:
        """Return how many tokens of a prompt a server most likely keeps."""
        now_s = trio.current_time()
        kept = 0
        for part in size.parts[:-1]:
            at_s = self.places.get(part.id, {}).get(state)
            if at_s is None or now_s - at_s > PART_S:
                break
            kept += part.tokens
        return kept
