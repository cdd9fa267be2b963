"""One try of a generation on one server, with the watch over its silence."""

from dataclasses import dataclass

import trio

from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.engine_frames import EngineCall, StreamEnd
from rosemaryknot.process.server_load import ServerLoad
from rosemaryknot.request.generations import Generation
from rosemaryknot.values.nodes import BackendServer

__all__ = ["Attempt", "AttemptEnd", "Leave", "Moved", "Silent"]

SILENT_STEPS = 50
MIN_SILENCE_S = 0.2
MIN_FIRST_SILENCE_S = 0.5
PREFILL_TOKENS_PER_STEP = 64
GRACE_S = 0.05
MAX_STALLED_ASKS = 30


@dataclass(slots=True)
class Silent:
    """The connection fell silent.

    Attributes
    ----------
    resume_at_server : bool
        Whether the server answered a new connection and can go on with it.
    detail : str
        What it said.
    """

    resume_at_server: bool
    detail: str


@dataclass(slots=True)
class Moved:
    """The KV cache is at another server.

    Attributes
    ----------
    target : BackendServer
        Where it is.
    emitted : int
        Answer tokens that it covers, besides the prompt.
    """

    target: BackendServer
    emitted: int


@dataclass(slots=True)
class Leave:
    """The stream is to go on elsewhere, since its server is leaving.

    Attributes
    ----------
    restart : bool
        Whether it is to be computed from its start; a baseline for measurements.
    """

    restart: bool = False


AttemptEnd = StreamEnd | Silent | Moved | Leave


class Attempt:
    """One try of a generation on one server.

    Parameters
    ----------
    generation : Generation
        What is generated; tokens go to it as they come.
    server : BackendServer
        Where.
    load : ServerLoad
        Load of the server, which counts this attempt.
    engines : EngineClient
        Makes the calls.
    step_time_s : float
        Time of one engine step, in seconds.
    prompt_tokens : float
        Tokens of the prompt, by estimate.
    priority : int
        Engine priority; lower runs first.
    restart : bool
        Whether to compute the answer from its start; see `Leave`.

    Attributes
    ----------
    first_offset : int
        Number of tokens that it began with.
    pending : int
        Prompt and prefix tokens until the first token comes; 0 from then on.
    heard : int
        Reads of the connection that brought bytes.
    started_s : float
        When it began, in trio time.
    first_token_s : float
        Time to its first token, in seconds; 0 before.
    end : AttemptEnd or None
        How it ended.
    ended : trio.Event
        Set with `end`.
    planned_deadline_s : float or None
        Deadline of its leaving server that a move plan has dealt with, as seconds
        of the epoch.
    """

    def __init__(
        self,
        generation: Generation,
        server: BackendServer,
        load: ServerLoad,
        engines: EngineClient,
        step_time_s: float,
        prompt_tokens: float,
        priority: int,
        restart: bool = False,
    ) -> None:
        self.generation = generation
        self.server = server
        self.load = load
        self.engines = engines
        self.step_time_s = step_time_s
        self.prompt_tokens = prompt_tokens
        self.priority = priority
        self.restart = restart
        self.heard = 0
        self.stalled = 0
        self.pending = 1
        self.first_offset = len(generation.tokens)
        self.started_s = trio.current_time()
        self.first_token_s = 0.0
        self.end: AttemptEnd | None = None
        self.ended = trio.Event()
        self.planned_deadline_s: float | None = None
        self.scope = trio.CancelScope()

    async def run(self) -> AttemptEnd:
        """Stream until the end, a silence, or a call of `stop`."""
        call = self.call()
        self.pending = max(1, round(self.prompt_tokens) + len(call.prefix))
        self.load.began(self.pending)
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.watch)
                    end = await self.engines.generate(self.server, call, self.take)
                    self.stop(end)
        finally:
            self.load.prefilled(self.pending)
            self.load.ended()
        return self.end

    def call(self) -> EngineCall:
        """Return the call that goes on where the generation stands."""
        generation = self.generation
        request = generation.request
        limits = {"messages": request.messages, "max_tokens": request.max_tokens}
        return EngineCall(
            generation.request_id,
            generation.lineage,
            generation.head,
            {**request.body, **limits},
            [] if self.restart else generation.token_texts(),
            self.priority,
            skip=len(generation.tokens) if self.restart else 0,
        )

    def take(self, tokens: list[bytes]) -> None:
        """Pass tokens on to the generation."""
        self.heard += 1
        if not tokens:
            return
        if self.pending:
            self.load.prefilled(self.pending)
            self.pending = 0
            self.first_token_s = trio.current_time() - self.started_s
        self.generation.emit(tokens)

    def stop(self, end: AttemptEnd) -> None:
        """End the attempt; a second end is ignored."""
        if self.end is None:
            self.end = end
            self.ended.set()
            self.scope.cancel()

    @property
    def has_token(self) -> bool:
        """Whether a token has come, so that there is KV cache to export."""
        return not self.pending

    def ready_in_s(self) -> float:
        """Return the time until its prefill is done, in seconds."""
        return self.pending / PREFILL_TOKENS_PER_STEP * self.step_time_s

    def observed_step_s(self) -> float:
        """Return the time between two tokens as it was here so far, in seconds."""
        made = len(self.generation.tokens) - self.first_offset
        running_s = trio.current_time() - self.started_s - self.first_token_s
        return max(self.step_time_s, running_s / made if made > 1 else 0.0)

    def silence_bound_s(self) -> float:
        """Return how long nothing may come before we ask, in seconds."""
        if self.has_token:
            return max(MIN_SILENCE_S, SILENT_STEPS * self.step_time_s)
        steps = SILENT_STEPS + self.pending / PREFILL_TOKENS_PER_STEP
        return max(MIN_FIRST_SILENCE_S, steps * self.step_time_s)

    async def watch(self) -> None:
        """Ask over a new connection whenever the stream has been silent.

        An open connection can go silent for good while new ones work: its caller
        would wait until the deadline for an answer that is long done. The server
        itself, asked anew, tells a slow answer from a lost one.
        """
        while True:
            heard = self.heard
            await trio.sleep(self.silence_bound_s())
            if self.heard != heard:
                self.stalled = 0
                continue
            end = await self.judge(heard)
            if end is not None:
                self.stop(end)
                return

    async def judge(self, heard: int) -> Silent | None:
        """Return how the attempt ends by what the server says, or None to wait on."""
        generation = self.generation
        status = await self.engines.status(self.server, generation.request_id)
        if self.heard != heard:
            return None
        if status is None:
            return Silent(False, "no answer on a new connection either")
        if status.status == "unknown":
            return Silent(True, "the server does not know the request")
        if status.status == "done" or status.offset > len(generation.tokens):
            # What has just been sent may still be on its way.
            await trio.sleep(GRACE_S)
            if self.heard != heard:
                return None
            return Silent(True, f"the server is at token {status.offset}")
        if status.status == "waiting":
            return None
        self.stalled += 1
        if self.stalled >= MAX_STALLED_ASKS:
            return Silent(False, "the server does not go on")
        return None
