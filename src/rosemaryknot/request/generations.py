"""Accepted model requests of this process, with the tokens emitted so far."""

import json
import math
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

import trio

from rosemaryknot.connection.direct_write import DirectWriter
from rosemaryknot.request.stream_events import (
    DONE,
    frame_head,
    outcome_event,
    token_frame,
)
from rosemaryknot.values.outcomes import Answered, NotRun, Running, Unknown
from rosemaryknot.values.requests import ModelRequest

__all__ = [
    "DirectFollower",
    "Followed",
    "Generation",
    "StoryLine",
]

MAX_STORY_LINES = 64
MAX_FOLLOW_TOKENS = 512


@dataclass(slots=True)
class StoryLine:
    """One thing that happened to a request.

    Attributes
    ----------
    at_s : float
        When, in trio time.
    text : str
        A short sentence without caller text.
    """

    at_s: float
    text: str


class Followed(Protocol):
    """What a pick-up needs of a request, here or at another node.

    Attributes
    ----------
    request_id : str
        Id of the request.
    """

    request_id: str

    def follow(
        self, offset: int = 0, lineage: str = "", writer: DirectWriter | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the events from an offset to the end; see `Generation.follow`."""


@dataclass(slots=True)
class DirectFollower:
    """A follower who has all tokens and gets the next ones as they are emitted.

    Attributes
    ----------
    writer : DirectWriter
        Its connection.
    offset : int
        The next token that it gets.
    stopped : trio.Event
        Set when its task has to go on: it is behind, or the request has ended.
    """

    writer: DirectWriter
    offset: int
    stopped: trio.Event


class Generation:
    """One accepted model request: its prompt, its emitted tokens and its outcome.

    Several followers may read it at once and from any offset, so a caller whose
    connection broke picks up where it was.

    Parameters
    ----------
    request : ModelRequest
        The request.
    lineage : str
        Id of this line of text. Every token belongs to it; text of another lineage
        is never joined to it.
    tokens : list of bytes, optional
        Tokens emitted before, where the generation is taken over.

    Attributes
    ----------
    tokens : list of bytes
        Emitted tokens, each as the inside of a JSON string.
    outcome : Answered, NotRun, Unknown, Running or None
        None while it runs; `Running` where another entry goes on. The body of an
        `Answered` is empty here; see `text`.
    prompt_tokens, cached_tokens : int
        As the engine reported them at the end; 0 before.
    attempts : int
        Attempts on backend servers so far.
    recomputed_tokens : int
        Prompt and answer tokens that an attempt computed again.
    finished_s : float
        When it ended, in trio time; infinite while it runs.
    story : list of StoryLine
        Where it ran, moved and why; bounded.
    """

    __slots__ = (
        "request",
        "request_id",
        "customer",
        "service",
        "lineage",
        "head",
        "tokens",
        "outcome",
        "prompt_tokens",
        "cached_tokens",
        "attempts",
        "recomputed_tokens",
        "finished_s",
        "story",
        "changed",
        "ended",
        "direct",
    )

    def __init__(
        self,
        request: ModelRequest,
        lineage: str,
        tokens: list[bytes] | None = None,
    ) -> None:
        self.request = request
        self.request_id = request.request_id
        self.customer = request.customer
        self.service = request.service
        self.lineage = lineage
        self.head = frame_head(request.request_id, lineage)
        self.tokens: list[bytes] = list(tokens or ())
        self.outcome: Answered | NotRun | Unknown | Running | None = None
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.attempts = 0
        self.recomputed_tokens = 0
        self.finished_s = math.inf
        self.story: list[StoryLine] = []
        self.changed = trio.lowlevel.ParkingLot()
        self.ended = trio.Event()
        self.direct: list[DirectFollower] = []

    def emit(self, tokens: list[bytes]) -> None:
        """Append tokens and wake the followers.

        Parameters
        ----------
        tokens : list of bytes
            Next tokens of this lineage, each as the inside of a JSON string.
        """
        self.tokens += tokens
        for follower in self.direct:
            self.write_through(follower)
        if self.changed:
            self.changed.unpark_all()

    def write_through(self, follower: DirectFollower) -> None:
        """Write the new tokens to a follower, or let its task do it."""
        known = len(self.tokens)
        if follower.writer.write_now(self.frames(follower.offset, known)):
            follower.offset = known
        if follower.writer.is_behind:
            follower.stopped.set()

    def finish(self, outcome: Answered | NotRun | Unknown | Running) -> None:
        """End the generation; a second outcome is ignored."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.finished_s = trio.current_time()
        for follower in self.direct:
            follower.stopped.set()
        self.changed.unpark_all()
        self.ended.set()

    def tell(self, text: str) -> None:
        """Add a line to the story; the newest are kept."""
        if len(self.story) >= MAX_STORY_LINES:
            del self.story[1]
        self.story.append(StoryLine(trio.current_time(), text))

    def frames(self, start: int, stop: int) -> bytes:
        """Return the events of a range of tokens.

        Parameters
        ----------
        start, stop : int
            Range of offsets.

        Returns
        -------
        events : bytes
            Server-sent events, ready to be written.
        """
        head = self.head
        if stop == start + 1:
            return token_frame(head, start, self.tokens[start])
        return b"".join(
            token_frame(head, offset, token)
            for offset, token in enumerate(self.tokens[start:stop], start)
        )

    async def follow(
        self, offset: int = 0, lineage: str = "", writer: DirectWriter | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the events from an offset to the end.

        Parameters
        ----------
        offset : int
            First token that is wanted.
        lineage : str
            Lineage that the caller holds the first tokens of; empty where it does
            not know.
        writer : DirectWriter, optional
            Connection of the caller. A caller who has all tokens gets the next ones
            written there and not yielded, until it does not take them.

        Yields
        ------
        events : bytes
            One or more server-sent events. Tokens are joined where the caller is
            behind. The last yield holds the outcome and ``[DONE]``.
        """
        # A caller who holds tokens of another lineage would join two texts that
        # differ, and nobody would see it: it gets this lineage from its start.
        if lineage and lineage != self.lineage:
            offset = 0
        offset = max(0, offset)
        while True:
            known = len(self.tokens)
            if offset < known:
                stop = min(known, offset + MAX_FOLLOW_TOKENS)
                yield self.frames(offset, stop)
                offset = stop
            elif self.outcome is not None:
                break
            elif writer is not None:
                offset = await self.follow_directly(offset, writer)
            else:
                await self.changed.park()
        yield outcome_event(self.outcome, len(self.tokens)) + DONE

    async def follow_directly(self, offset: int, writer: DirectWriter) -> int:
        """Have tokens written as they are emitted while the caller takes them.

        Parameters
        ----------
        offset : int
            Number of tokens that the caller has: all there are.
        writer : DirectWriter
            Connection of the caller.

        Returns
        -------
        offset : int
            Number of tokens that it has now.
        """
        follower = DirectFollower(writer, offset, trio.Event())
        self.direct.append(follower)
        try:
            await follower.stopped.wait()
        finally:
            self.direct.remove(follower)
        await writer.flush()
        return follower.offset

    async def wait_beyond(self, offset: int) -> int:
        """Wait until there are more tokens than ``offset``, or an outcome.

        Parameters
        ----------
        offset : int
            Number of tokens that the caller has.

        Returns
        -------
        count : int
            Number of tokens now.
        """
        while len(self.tokens) <= offset and self.outcome is None:
            await self.changed.park()
        return len(self.tokens)

    async def wait_finished(self) -> Answered | NotRun | Unknown | Running:
        """Wait for the outcome and return it."""
        await self.ended.wait()
        return self.outcome

    def token_texts(self) -> list[str]:
        """Return the emitted tokens as text."""
        return (
            json.loads(b'["' + b'","'.join(self.tokens) + b'"]') if self.tokens else []
        )

    def text(self) -> str:
        """Return the emitted text as one string."""
        return json.loads(b'"' + b"".join(self.tokens) + b'"')

    def prompt_bytes(self) -> int:
        """Return the size of the conversation in bytes."""
        return sum(len(str(part.get("content", ""))) for part in self.request.messages)
