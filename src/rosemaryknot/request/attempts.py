"""One attempt of a generation on one server, with silence detection."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from rosemaryknot.connection.engine_client import EngineClient
from rosemaryknot.connection.engine_frames import EngineCall, StreamEnd
from rosemaryknot.process.server_load import ServerLoad
from rosemaryknot.request.generations import Generation
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.server_limits import InvalidLimit

__all__ = ["Attempt", "AttemptEnd", "Leave", "Moved", "Silent"]

MAX_SILENT_STEPS = 50
MIN_SILENCE_S = 0.2
MIN_FIRST_SILENCE_S = 0.5
PREFILL_TOKENS_PER_STEP = 64
IN_TRANSIT_GRACE_S = 0.05
MAX_STALLED_CHECKS = 30


@dataclass(slots=True)
class Silent:
    """The stream's connection stopped delivering data.

    Attributes
    ----------
    resume_at_server : bool
        Whether the server answered on a new connection, so that the attempt can be
        resumed there.
    detail : str
        Result of the check, for logs.
    """

    resume_at_server: bool
    detail: str


@dataclass(slots=True)
class Moved:
    """The KV cache was moved to another server.

    Attributes
    ----------
    target : BackendServer
        Server that holds the KV cache.
    emitted : int
        Response tokens that it covers, in addition to the prompt.
    """

    target: BackendServer
    emitted: int


@dataclass(slots=True)
class Leave:
    """The stream must continue on another server, since its server is draining.

    Attributes
    ----------
    restart : bool
        Whether to recompute the response from its start; a baseline for benchmarks.
    """

    restart: bool = False


AttemptEnd = StreamEnd | Silent | Moved | Leave


class Attempt:
    """One attempt of a generation on one server.

    Parameters
    ----------
    generation : Generation
        Generation that receives the tokens.
    server : BackendServer
        Server of the attempt.
    load : ServerLoad
        Load of the server, including this attempt.
    engines : EngineClient
        Client for the engines.
    step_time_s : float
        Duration of one engine step, in seconds.
    prompt_tokens : float
        Estimated number of prompt tokens.
    priority : int
        Engine priority; lower runs first.
    restart : bool
        Whether to recompute the response from its start; see `Leave`.

    Attributes
    ----------
    first_offset : int
        Number of tokens emitted before this attempt.
    pending : int
        Tokens of the prompt and the emitted prefix that wait for prefill; 0 after the
        first token.
    received_reads : int
        Number of reads from the connection that returned data.
    stalled_checks : int
        Consecutive status checks without progress.
    started_s : float
        Start time, in trio time.
    first_token_s : float
        Time from the start to the first token, in seconds; 0 until then.
    end : AttemptEnd or None
        Result; None while the attempt runs.
    ended : trio.Event
        Set together with `end`.
    planned_deadline_s : float or None
        Deadline of the draining server for which a move plan was made, as Unix time
        in seconds.
    stated_limit : float or InvalidLimit or None
        Rate limit of the server that the response states, in requests per second.
    on_limit : callable
        Called with a stated limit as soon as the head of the response arrives, and with
        None at the first token of a response that states none.
    on_drain : callable
        Called if the head of the response states that the server drains.
    on_tokens : callable
        Called when tokens have arrived.
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
        self.received_reads = 0
        self.stalled_checks = 0
        self.pending = 1
        self.first_offset = len(generation.tokens)
        self.started_s = trio.current_time()
        self.first_token_s = 0.0
        self.end: AttemptEnd | None = None
        self.ended = trio.Event()
        self.planned_deadline_s: float | None = None
        self.stated_limit: float | InvalidLimit | None = None
        self.on_limit: Callable[[float | InvalidLimit | None], None] = lambda limit: (
            None
        )
        self.on_drain: Callable[[], None] = lambda: None
        self.on_tokens: Callable[[], None] = lambda: None
        self.scope = trio.CancelScope()

    async def run(self) -> AttemptEnd:
        """Stream until the response ends, it is silent, or `stop` is called."""
        build_call = self.build_call()
        self.pending = max(1, round(self.prompt_tokens) + len(build_call.prefix))
        self.load.began(self.pending)
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.watch_silence)
                    end = await self.engines.generate(
                        self.server,
                        build_call,
                        self.receive_tokens,
                        self.receive_limit,
                        self.on_drain,
                    )
                    self.stop(end)
        finally:
            self.load.prefilled(self.pending)
            self.load.ended()
        return self.end

    def build_call(self) -> EngineCall:
        """Return the engine call that continues the generation."""
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
            skip_tokens=len(generation.tokens) if self.restart else 0,
        )

    def receive_tokens(self, tokens: list[bytes]) -> None:
        """Append received tokens to the generation."""
        self.received_reads += 1
        if not tokens:
            return
        if self.pending:
            self.load.prefilled(self.pending)
            self.pending = 0
            self.first_token_s = trio.current_time() - self.started_s
            if self.stated_limit is None:
                self.on_limit(None)
        if self.generation.software_version is None:
            self.generation.software_version = self.server.software_version
        self.on_tokens()
        self.generation.emit(tokens)

    def receive_limit(self, limit: float | InvalidLimit | None) -> None:
        """Record the rate limit in the head of the response."""
        self.stated_limit = limit
        if limit is not None:
            self.on_limit(limit)

    def stop(self, end: AttemptEnd) -> None:
        """End the attempt; later calls are ignored."""
        if self.end is None:
            self.end = end
            self.ended.set()
            self.scope.cancel()

    @property
    def has_token(self) -> bool:
        """Whether a token was received, so that there is KV cache to export."""
        return not self.pending

    def ready_in_s(self) -> float:
        """Return the estimated time until the prefill is done, in seconds."""
        return self.pending / PREFILL_TOKENS_PER_STEP * self.step_time_s

    def observed_step_s(self) -> float:
        """Return the step time, or the mean time between tokens here if it is longer.

        Both are in seconds.
        """
        received = len(self.generation.tokens) - self.first_offset
        running_s = trio.current_time() - self.started_s - self.first_token_s
        return max(self.step_time_s, running_s / received if received > 1 else 0.0)

    def silence_timeout_s(self) -> float:
        """Return the silence after which the server is checked, in seconds."""
        if self.has_token:
            return max(MIN_SILENCE_S, MAX_SILENT_STEPS * self.step_time_s)
        steps = MAX_SILENT_STEPS + self.pending / PREFILL_TOKENS_PER_STEP
        return max(MIN_FIRST_SILENCE_S, steps * self.step_time_s)

    async def watch_silence(self) -> None:
        """Check the server over a new connection whenever the stream is silent.

        An open connection can stop delivering data while new connections work; the
        caller would then wait until the deadline for a response that is already
        complete. A status request over a new connection distinguishes a slow response
        from a lost connection.
        """
        while True:
            last_reads = self.received_reads
            await trio.sleep(self.silence_timeout_s())
            if self.received_reads != last_reads:
                self.stalled_checks = 0
                continue
            end = await self.check_server(last_reads)
            if end is not None:
                self.stop(end)
                return

    async def check_server(self, last_reads: int) -> Silent | None:
        """Query the server; return how the attempt ends, or None to keep waiting."""
        generation = self.generation
        status = await self.engines.status(self.server, generation.request_id)
        if self.received_reads != last_reads:
            return None
        if status is None:
            return Silent(False, "no response on a new connection either")
        if status.status == "unknown":
            return Silent(True, "the server does not know the request")
        if status.status == "done" or status.offset > len(generation.tokens):
            # Tokens that were just sent may still be in transit.
            await trio.sleep(IN_TRANSIT_GRACE_S)
            if self.received_reads != last_reads:
                return None
            return Silent(True, f"the server is at token {status.offset}")
        if status.status == "waiting":
            return None
        self.stalled_checks += 1
        if self.stalled_checks >= MAX_STALLED_CHECKS:
            return Silent(False, "the server makes no progress")
        return None
