"""Accepted model requests with their emitted tokens, and streams of these tokens."""

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
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.outcomes import Answered, NotRun, Running, Unknown
from rosemaryknot.values.requests import ModelRequest

__all__ = [
    "DirectSubscriber",
    "EventSource",
    "Generation",
    "TimelineEntry",
]

MAX_TIMELINE_ENTRIES = 64
MAX_EVENT_BATCH_TOKENS = 512


@dataclass(slots=True)
class TimelineEntry:
    """One event in the processing of a request.

    Attributes
    ----------
    recorded_s : float
        Time of the event, in trio time.
    text : str
        Short description; contains no text from the caller.
    """

    recorded_s: float
    text: str


class EventSource(Protocol):
    """Source of the event stream of a request, held by this node or another one.

    Attributes
    ----------
    request_id : str
        Id of the request.
    """

    request_id: str

    def subscribe(
        self, offset: int = 0, lineage: str = "", writer: DirectWriter | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the events from an offset to the end; see `Generation.subscribe`."""


@dataclass(slots=True)
class DirectSubscriber:
    """A subscriber that has all tokens and receives new ones as they are emitted.

    Attributes
    ----------
    writer : DirectWriter
        Connection of the subscriber.
    offset : int
        Offset of the next token to write.
    stopped : trio.Event
        Set when the subscriber's task must continue: the connection has fallen
        behind, or the request has ended.
    """

    writer: DirectWriter
    offset: int
    stopped: trio.Event


class Generation:
    """One accepted model request with its emitted tokens and its outcome.

    Several subscribers may read it concurrently and from any offset, so a caller
    whose connection broke can continue where it was.

    Parameters
    ----------
    request : ModelRequest
        The request.
    lineage : str
        Id of this sample of the response. All tokens belong to it; text of another
        lineage is never appended.
    tokens : list of bytes, optional
        Tokens emitted earlier, if the generation is taken over.

    Attributes
    ----------
    tokens : list of bytes
        Emitted tokens, each as the content of a JSON string without the quotes.
    outcome : Answered, NotRun, Unknown, Running or None
        None while the generation runs; `Running` if another entry has taken over.
        The body of an `Answered` is empty here; see `text`.
    prompt_tokens, cached_tokens : int
        Token counts that the engine reported at the end; 0 until then.
    attempts : int
        Number of attempts on backend servers so far.
    recomputed_tokens : int
        Prompt and response tokens that were computed more than once.
    finished_s : float
        End time, in trio time; infinite while the generation runs.
    timeline : list of TimelineEntry
        Attempts, moves and their reasons; bounded in length.
    software_version : str or None
        Version of the server that emitted the first token; None before. Another version
        would not go on with the same text.
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
        "timeline",
        "software_version",
        "changed",
        "ended",
        "direct_subscribers",
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
        self.timeline: list[TimelineEntry] = []
        self.software_version: str | None = None
        self.changed = trio.lowlevel.ParkingLot()
        self.ended = trio.Event()
        self.direct_subscribers: list[DirectSubscriber] = []

    def may_go_on_at(self, server: BackendServer) -> bool:
        """Return whether a server has the software version of the first token."""
        return self.software_version in (None, server.software_version)

    def eligible(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers at which the generation may go on."""
        if self.software_version is None:
            return servers
        return [server for server in servers if self.may_go_on_at(server)]

    def emit(self, tokens: list[bytes]) -> None:
        """Append tokens and notify the subscribers.

        Parameters
        ----------
        tokens : list of bytes
            Next tokens of this lineage, each as the content of a JSON string without
            the quotes.
        """
        self.tokens += tokens
        for subscriber in self.direct_subscribers:
            self.write_through(subscriber)
        if self.changed:
            self.changed.unpark_all()

    def write_through(self, subscriber: DirectSubscriber) -> None:
        """Write new tokens to a subscriber; wake its task if it is behind."""
        count = len(self.tokens)
        if subscriber.writer.write_now(self.frames(subscriber.offset, count)):
            subscriber.offset = count
        if subscriber.writer.is_behind:
            subscriber.stopped.set()

    def finish(self, outcome: Answered | NotRun | Unknown | Running) -> None:
        """Set the outcome; later outcomes are ignored."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.finished_s = trio.current_time()
        for subscriber in self.direct_subscribers:
            subscriber.stopped.set()
        self.changed.unpark_all()
        self.ended.set()

    def record_event(self, text: str) -> None:
        """Add an entry to the timeline; the first and the newest entries are kept."""
        if len(self.timeline) >= MAX_TIMELINE_ENTRIES:
            del self.timeline[1]
        self.timeline.append(TimelineEntry(trio.current_time(), text))

    def frames(self, start: int, stop: int) -> bytes:
        """Return the server-sent events of a range of tokens.

        Parameters
        ----------
        start, stop : int
            Range of token offsets.

        Returns
        -------
        events : bytes
            Encoded server-sent events.
        """
        head = self.head
        if stop == start + 1:
            return token_frame(head, start, self.tokens[start])
        return b"".join(
            token_frame(head, offset, token)
            for offset, token in enumerate(self.tokens[start:stop], start)
        )

    async def subscribe(
        self, offset: int = 0, lineage: str = "", writer: DirectWriter | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the events from an offset to the end.

        Parameters
        ----------
        offset : int
            Offset of the first token to yield.
        lineage : str
            Lineage of the tokens that the caller already has; empty if not known.
        writer : DirectWriter, optional
            Connection of the caller. While the caller has all tokens and its
            connection accepts data, new tokens are written there instead of being
            yielded.

        Yields
        ------
        events : bytes
            One or more server-sent events; several tokens at a time if the caller is
            behind. The last item contains the outcome and ``[DONE]``.
        """
        # A caller with tokens of another lineage would silently join two different
        # texts, so the stream restarts at offset 0 of this lineage.
        if lineage and lineage != self.lineage:
            offset = 0
        offset = max(0, offset)
        while True:
            count = len(self.tokens)
            if offset < count:
                stop = min(count, offset + MAX_EVENT_BATCH_TOKENS)
                yield self.frames(offset, stop)
                offset = stop
            elif self.outcome is not None:
                break
            elif writer is not None:
                offset = await self.stream_directly(offset, writer)
            else:
                await self.changed.park()
        yield outcome_event(self.outcome, len(self.tokens)) + DONE

    async def stream_directly(self, offset: int, writer: DirectWriter) -> int:
        """Write tokens as they are emitted until the caller falls behind.

        Parameters
        ----------
        offset : int
            Number of tokens that the caller has; must be all emitted tokens.
        writer : DirectWriter
            Connection of the caller.

        Returns
        -------
        offset : int
            Number of tokens that the caller has now.
        """
        subscriber = DirectSubscriber(writer, offset, trio.Event())
        self.direct_subscribers.append(subscriber)
        try:
            await subscriber.stopped.wait()
        finally:
            self.direct_subscribers.remove(subscriber)
        await writer.flush()
        return subscriber.offset

    async def wait_for_tokens(self, offset: int) -> int:
        """Wait until there are more than ``offset`` tokens, or an outcome.

        Parameters
        ----------
        offset : int
            Number of tokens that the caller has.

        Returns
        -------
        count : int
            Current number of tokens.
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
        """Return the approximate size of the conversation, in bytes."""
        return sum(len(str(m.get("content", ""))) for m in self.request.messages)
