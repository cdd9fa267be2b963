"""One generation in the stand-in engine, and the events of its tokens."""

import json
from dataclasses import dataclass, field

import trio

from rosemaryknot.standin.answers import token_of
from rosemaryknot.standin.ledger import GenerationEntry

__all__ = ["Generation"]


@dataclass(slots=True, eq=False)
class Generation:
    """One generation in the engine.

    Attributes
    ----------
    id, lineage : str
        Given by whoever asked for it.
    seed : int
        From which its tokens follow.
    blocks : list of str
        Digests of the prompt's blocks.
    first : int
        Length of the prefix that it was resumed from, in tokens.
    length : int
        Length of its whole answer in tokens.
    priority : int
        Lower numbers run earlier.
    entry : GenerationEntry
        Its line in the ledger; its ``outcome`` is the state of the generation.
    repeated : bool
        Whether its prefill is known to be done again.
    imported_tokens : int
        Prompt and answer tokens whose KV cache was imported.
    cached_tokens : int
        Prompt tokens found in the prefix cache when it was admitted.
    prefill_left : int
        Tokens still to be prefilled.
    offset : int
        Answer tokens so far, with the prefix.
    readers : int
        Streams open on it.
    detached_s : float
        When the last of them ended.
    changed : trio.lowlevel.ParkingLot
        Where its streams wait.
    """

    id: str
    lineage: str
    seed: int
    blocks: list[str]
    first: int
    length: int
    priority: int
    entry: GenerationEntry
    repeated: bool = False
    imported_tokens: int = 0
    cached_tokens: int = 0
    prefill_left: int = -1
    offset: int = 0
    readers: int = 0
    detached_s: float = 0.0
    changed: trio.lowlevel.ParkingLot = field(default_factory=trio.lowlevel.ParkingLot)

    @property
    def finished(self) -> bool:
        """Whether no token will follow."""
        return self.entry.outcome in ("done", "cancelled")

    @property
    def kv_need(self) -> int:
        """Tokens of memory that it may fill."""
        return self.entry.prompt_tokens + self.length

    def head(self) -> str:
        """Return the start of each of its events."""
        id, lineage = json.dumps(self.id), json.dumps(self.lineage)
        return f'data: {{"id":{id},"lineage":{lineage}'

    def events(self, start: int, stop: int) -> bytes:
        """Return the events of some of its tokens."""
        head = self.head()
        return "".join(
            f'{head},"offset":{n},"choices":[{{"index":0,'
            f'"delta":{{"content":"{token_of(self.seed, n)}"}}}}]}}\n\n'
            for n in range(start, stop)
        ).encode()

    def last_events(self) -> bytes:
        """Return the events after its last token."""
        head = f'{self.head()},"offset":{self.offset}'
        if self.entry.outcome == "cancelled":
            return f'{head},"cancelled":true}}\n\ndata: [DONE]\n\n'.encode()
        usage = (
            f'"prompt_tokens":{self.entry.prompt_tokens},'
            f'"cached_tokens":{self.cached_tokens},"completion_tokens":{self.offset}'
        )
        text = f'{head},"done":true,"usage":{{{usage}}}}}\n\ndata: [DONE]\n\n'
        return text.encode()
