"""Engines of the worst load, without network."""

from collections import deque
from dataclasses import dataclass, field

import trio

from rosemaryknot.standin.peak_load import Deployment, Steps, Tally
from rosemaryknot.values.gateway import ModelInput

__all__ = ["Engine", "Prompt"]

KEPT_S = 20.0


@dataclass(slots=True, eq=False)
class Prompt:
    """A prompt that waits at a server, and its answer.

    Attributes
    ----------
    pause_s : float
        The longest pause between events of the answer, in seconds.
    """

    size: ModelInput
    pause_s: float = 0.0
    is_left: bool = False
    is_read: trio.Event = field(default_factory=trio.Event)


class Engine:
    """A model server that reads one prompt after the other while places are free.

    Parameters
    ----------
    tally : Tally
        Counts what it reads.
    deployment : Deployment
        How fast it reads.
    speed : float
        How much longer its steps take.
    """

    def __init__(
        self, tally: Tally, deployment: Deployment, speed: float = 1.0
    ) -> None:
        self.tally = tally
        self.rate = deployment.read_rate / speed
        self.places = trio.CapacityLimiter(deployment.places)
        self.kept: dict[str, float] = {}
        self.waiting: deque[Prompt] = deque()
        self.has_work = trio.Event()
        self.pace: StepPace | None = None
        if deployment.steps is not None:
            self.pace = StepPace(deployment.steps, speed)

    def unread(self, size: ModelInput) -> int:
        """Return the tokens that it does not keep."""
        now_s = trio.current_time()
        unread = size.prompt_tokens
        for part in size.segments[:-1]:
            if now_s - self.kept.get(part.id, -KEPT_S) >= KEPT_S:
                break
            unread -= part.tokens
        return unread

    def put(self, prompt: Prompt) -> None:
        """Take a prompt in."""
        self.waiting.append(prompt)
        self.has_work.set()

    async def run(self) -> None:
        """Read prompts."""
        while True:
            while not self.waiting:
                self.has_work = trio.Event()
                await self.has_work.wait()
            prompt = self.waiting.popleft()
            if prompt.is_left:
                continue
            await self.places.acquire_on_behalf_of(prompt)
            await self.read(prompt)
            for part in prompt.size.segments[:-1]:
                self.kept[part.id] = trio.current_time()
            prompt.is_read.set()
            if prompt.is_left:
                self.end(prompt)

    async def read(self, prompt: Prompt) -> None:
        """Read one prompt."""
        unread = self.unread(prompt.size)
        self.tally.tokens_read += unread
        if self.pace is None:
            await trio.sleep(unread / self.rate)
        else:
            await self.pace.read(prompt.size.prompt_tokens, unread, self.rate)

    async def answer(self, prompt: Prompt, event_s: float) -> None:
        """Return when the answer of a prompt that was read has ended."""
        if self.pace is None:
            await trio.sleep(prompt.size.max_output_tokens * event_s)
        else:
            await self.pace.answer(prompt)

    def end(self, prompt: Prompt) -> None:
        """Free a prompt's place."""
        if prompt.is_read.is_set():
            self.places.release_on_behalf_of(prompt)


class StepPace:
    """The steps of one engine, which reads a chunk of a prompt in each of them.

    Parameters
    ----------
    steps : Steps
        How long they take.
    speed : float
        How much longer they take here.
    """

    def __init__(self, steps: Steps, speed: float) -> None:
        self.steps = steps
        self.step_s = steps.step_s * speed
        self.late: deque[float] = deque(maxlen=steps.event_steps)
        self.made = 0.0
        self.until_s = 0.0
        self.answers: list[Prompt] = []
        self.is_reading = False

    def catch_up(self) -> None:
        """Count the steps that were made since without reading."""
        if self.is_reading:
            return
        now_s = trio.current_time()
        idle = (now_s - self.until_s) / self.step_s
        self.until_s = now_s
        self.made += idle
        self.late.extend([self.step_s] * min(int(idle), self.steps.event_steps))

    async def read(self, prompt_tokens: int, unread: int, rate: float) -> None:
        """Read the end of a prompt, chunk by chunk."""
        self.catch_up()
        self.is_reading = True
        while unread > 0:
            tokens = min(unread, self.steps.chunk)
            first = prompt_tokens - unread
            took_s = self.steps.read_s(first, tokens, rate)
            await trio.sleep(took_s)
            self.until_s = trio.current_time()
            self.made += 1
            self.late.append(took_s)
            pause_s = sum(self.late)
            for answer in self.answers:
                answer.pause_s = max(answer.pause_s, pause_s)
            unread -= tokens
        self.is_reading = False

    async def answer(self, prompt: Prompt) -> None:
        """Return when a step has been made for each token of an answer."""
        self.catch_up()
        last = self.made + prompt.size.max_output_tokens
        self.answers.append(prompt)
        while self.made < last - 1e-6:
            await trio.sleep((last - self.made) * self.step_s)
            self.catch_up()
        self.answers.remove(prompt)
