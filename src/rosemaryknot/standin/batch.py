"""Continuous batching of the stand-in engine, one step at a time."""

import json
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rosemaryknot.standin.answers import answer_seed, token_of
from rosemaryknot.standin.ledger import GenerationEntry
from rosemaryknot.standin.prefix_cache import PrefixCache

__all__ = ["Batch", "EngineSettings", "Generation"]

FINISHED_KEPT = 10_000


@dataclass(slots=True)
class EngineSettings:
    """What a stand-in engine is like.

    Attributes
    ----------
    step_time_s : float
        Time of one step, which gives each running generation one token.
    slots : int
        Generations that run at once.
    max_waiting : int
        Length of the waiting queue; beyond it new work is refused.
    prefill_tokens_per_step : int
        Prompt tokens computed in one step, shared by all.
    kv_tokens : int
        Memory for running generations, in tokens.
    cache_blocks : int
        Memory for cached prompt prefixes, in blocks.
    load_lag_s, event_lag_s : float
        How late the load report and the cache events are.
    event_drop_share : float
        Share of the cache events that are lost.
    kv_bytes_per_token : int
        Size of the KV cache of one token, in bytes.
    kv_bytes_per_s : float
        Rate of exports and of imports, each shared by all transfers.
    load_model_s : float
        Time that the order ``load_model`` takes.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
    models : tuple of str
        Models loaded at start; empty where any model is accepted.
    detached_keep_s : float
        How long a generation goes on after its connection ended.
    seed : int
        Seed of the gaps in the cache events.
    """

    step_time_s: float = 0.003
    slots: int = 32
    max_waiting: int = 256
    prefill_tokens_per_step: int = 64
    kv_tokens: int = 400_000
    cache_blocks: int = 2_000
    load_lag_s: float = 0.25
    event_lag_s: float = 0.5
    event_drop_share: float = 0.05
    kv_bytes_per_token: int = 131_072
    kv_bytes_per_s: float = 1e9
    load_model_s: float = 2.0
    checks_fencing: bool = True
    models: tuple[str, ...] = ()
    detached_keep_s: float = 5.0
    seed: int = 0


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
        return (
            f'data: {{"id":{json.dumps(self.id)},"lineage":{json.dumps(self.lineage)}'
        )

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


class Batch:
    """Running and waiting generations.

    Parameters
    ----------
    settings : EngineSettings
        What the engine is like.
    clock : callable
        Seconds of the epoch, for the ledger.

    Attributes
    ----------
    running, waiting : list of Generation
        In the order of their arrival.
    generations : OrderedDict of str to Generation
        The newest by request id, some finished ones too.
    ledger : list of GenerationEntry
        One line for each generation.
    cache : PrefixCache
        Cached prompt prefixes.
    """

    def __init__(self, settings: EngineSettings, clock: Callable[[], float]) -> None:
        self.settings = settings
        self.clock = clock
        self.running: list[Generation] = []
        self.waiting: list[Generation] = []
        self.generations: OrderedDict[str, Generation] = OrderedDict()
        self.ledger: list[GenerationEntry] = []
        self.cache = PrefixCache(
            settings.cache_blocks, settings.event_drop_share, settings.seed
        )

    @property
    def kv_used(self) -> int:
        """Tokens of memory in use by running generations."""
        return sum(g.entry.prompt_tokens + g.offset for g in self.running)

    @property
    def kv_reserved(self) -> int:
        """Tokens of memory that running generations may come to use."""
        return sum(generation.kv_need for generation in self.running)

    def add(
        self,
        entry: GenerationEntry,
        prompt: str,
        blocks: list[str],
        prefix: list[str],
        length: int,
        priority: int,
    ) -> Generation:
        """Queue a generation; one of another lineage under its id is cancelled.

        Parameters
        ----------
        entry : GenerationEntry
            A new line for the ledger.
        prompt : str
            Text of the prompt.
        blocks : list of str
            Digests of its blocks.
        prefix : list of str
            Answer tokens to go on from.
        length : int
            Length of the whole answer in tokens.
        priority : int
            Lower numbers run earlier.

        Returns
        -------
        generation : Generation
            Waiting for its slot.
        """
        seed = answer_seed(prompt, entry.lineage)
        entry.offset = len(prefix)
        entry.foreign_prefix = any(t != token_of(seed, n) for n, t in enumerate(prefix))
        generation = Generation(
            entry.id,
            entry.lineage,
            seed,
            blocks,
            len(prefix),
            length,
            priority,
            entry,
            repeated=bool(prefix) or entry.id in self.generations,
            offset=len(prefix),
        )
        self.cancel(entry.id)
        self.generations[entry.id] = generation
        self.waiting.append(generation)
        self.ledger.append(entry)
        return generation

    def cancel(self, id: str) -> bool:
        """Stop a generation; tells whether there was one to stop."""
        generation = self.generations.get(id)
        if generation is None or generation.finished:
            return False
        self.finish(generation, "cancelled")
        return True

    def finish(self, generation: Generation, outcome: str) -> None:
        """Take a generation out, done or cancelled."""
        generation.entry.outcome = outcome
        for queue in (self.running, self.waiting):
            if generation in queue:
                queue.remove(generation)
        generation.changed.unpark_all()
        self.generations.move_to_end(generation.id)
        excess = len(self.generations) - FINISHED_KEPT
        for id in list(self.generations)[: max(0, excess)]:
            if self.generations[id].finished:
                del self.generations[id]

    def step(self, now_s: float) -> None:
        """Compute one step: prefill what is due, one token for everything else."""
        self.drop_detached(now_s)
        self.admit()
        budget = self.settings.prefill_tokens_per_step
        for generation in list(self.running):
            if generation.prefill_left > 0:
                budget -= self.prefill(generation, budget, now_s)
            else:
                self.decode(generation)

    def drop_detached(self, now_s: float) -> None:
        """Cancel what nobody has read for long, as engines do after a disconnect."""
        limit = now_s - self.settings.detached_keep_s
        for generation in self.running + self.waiting:
            if not generation.readers and generation.detached_s < limit:
                self.finish(generation, "cancelled")

    def admit(self) -> None:
        """Fill free slots by priority; pause lower priorities where none is free."""
        self.waiting.sort(key=lambda generation: generation.priority)
        while self.waiting:
            candidate = self.waiting[0]
            full = len(self.running) >= self.settings.slots
            if full and not self.pause_for(candidate):
                return
            if self.kv_reserved + candidate.kv_need > self.settings.kv_tokens:
                return
            self.start(self.waiting.pop(0))

    def pause_for(self, candidate: Generation) -> bool:
        """Pause the running generation of the lowest priority, if lower than this."""
        last = max(self.running, key=lambda generation: generation.priority)
        if last.priority <= candidate.priority:
            return False
        self.running.remove(last)
        last.entry.outcome = "waiting"
        self.waiting.append(last)
        return True

    def start(self, generation: Generation) -> None:
        """Give a generation a slot; its prefill begins where the cache ends."""
        generation.entry.outcome = "running"
        self.running.append(generation)
        if generation.prefill_left >= 0:
            return  # paused before: its KV cache was kept
        generation.entry.started_unix_s = self.clock()
        generation.cached_tokens = self.cache.match(generation.blocks)
        known = max(generation.cached_tokens, generation.imported_tokens)
        total = generation.entry.prompt_tokens + generation.first
        generation.prefill_left = max(0, total - known)

    def prefill(self, generation: Generation, budget: int, now_s: float) -> int:
        """Compute some of the prompt and prefix; returns how many tokens."""
        count = min(budget, generation.prefill_left)
        entry = generation.entry
        prompt_left = max(0, generation.prefill_left - generation.first)
        of_prompt = min(count, prompt_left)
        entry.prompt_prefilled += of_prompt
        entry.prefix_prefilled += count - of_prompt
        if generation.repeated:
            entry.recomputed += count
        generation.prefill_left -= count
        if generation.prefill_left == 0:
            self.cache.store(generation.blocks, now_s)
        return count

    def decode(self, generation: Generation) -> None:
        """Compute one token and wake the streams that wait for it."""
        if generation.offset < generation.length:
            generation.offset += 1
            generation.entry.offset = generation.offset
            generation.entry.generated += 1
        if generation.offset >= generation.length:
            self.finish(generation, "done")
        generation.changed.unpark_all()
