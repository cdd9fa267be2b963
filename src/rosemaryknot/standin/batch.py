"""Continuous batching of the stand-in engine, one step at a time."""

from collections import OrderedDict
from collections.abc import Callable

from rosemaryknot.standin.answers import answer_seed, token_of
from rosemaryknot.standin.engine_settings import EngineSettings
from rosemaryknot.standin.generation import Generation
from rosemaryknot.standin.ledger import GenerationEntry
from rosemaryknot.standin.prefix_cache import PrefixCache

__all__ = ["Batch", "EngineSettings", "Generation"]

FINISHED_KEPT = 10_000


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
        if len(self.generations) > FINISHED_KEPT + len(self.running):
            self.forget_oldest()

    def forget_oldest(self) -> None:
        """Forget the generation that was finished or queued longest ago."""
        id, generation = next(iter(self.generations.items()))
        if generation.finished:
            del self.generations[id]

    def step(self, now_s: float) -> int:
        """Compute one step: prefill what is due, one token for everything else.

        Returns
        -------
        count : int
            New tokens of answers.
        """
        self.drop_detached(now_s)
        self.admit()
        budget = self.settings.prefill_tokens_per_step
        count = 0
        for generation in list(self.running):
            if generation.prefill_left > 0:
                budget -= self.prefill(generation, budget, now_s)
            else:
                count += self.decode(generation)
        return count

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

    def decode(self, generation: Generation) -> int:
        """Compute a token, if one is left, and wake the streams that wait for it."""
        # A resume may bring more tokens than the answer has.
        count = max(0, min(1, generation.length - generation.offset))
        generation.offset += count
        generation.entry.offset = generation.offset
        generation.entry.generated += count
        if generation.offset >= generation.length:
            self.finish(generation, "done")
        generation.changed.unpark_all()
        return count
