"""Retrieval of accepted requests that another node holds."""

from collections.abc import AsyncIterator

import trio

from rosemaryknot.connection.direct_write import DirectWriter
from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.process.logs import logger
from rosemaryknot.request.generation_table import GenerationTable
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.standby import add_outcome
from rosemaryknot.request.stream_events import (
    DONE,
    frame_head,
    outcome_event,
    token_frame,
)
from rosemaryknot.values.outcomes import Answered, NotRun, Reason, Running, Unknown
from rosemaryknot.values.standby import (
    StandbyFind,
    StandbyFound,
    StandbyRead,
    StandbyText,
    StandbyUpdate,
    is_token_list,
)

__all__ = ["RemoteFinder", "RemoteGeneration", "register_retrieval_handlers"]

FIND_TIMEOUT_S = 3.0
READ_WAIT_S = 1.0
READ_TIMEOUT_S = 4.0
READ_INTERVAL_S = 0.03
RETRY_DELAY_S = 0.5
FAILURE_TIMEOUT_S = 10.0
MAX_READ_TOKENS = 512

log = logger("pickup")


class RemoteGeneration:
    """A request that another node holds, read in bounded pieces.

    Text is read only as fast as the caller receives it. If the node that holds the
    request fails, the new holder is located and read from the offset reached.

    Parameters
    ----------
    finder : RemoteFinder
        Locates and reads requests.
    customer : str
        Customer of the request.
    request_id : str
        Id of the request.
    node : str
        Node that holds the request.

    Attributes
    ----------
    lineage : str
        Lineage of the text read so far; empty before the first read.
    """

    def __init__(
        self, finder: "RemoteFinder", customer: str, request_id: str, node: str
    ) -> None:
        self.finder = finder
        self.customer = customer
        self.request_id = request_id
        self.node = node
        self.lineage = ""

    async def subscribe(
        self, offset: int = 0, lineage: str = "", writer: DirectWriter | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the events from an offset to the end; see `Generation.subscribe`."""
        self.lineage = lineage
        failure_deadline_s = trio.current_time() + FAILURE_TIMEOUT_S
        while trio.current_time() < failure_deadline_s:
            text = await self.finder.read(self, offset)
            if not is_usable(text):
                await self.find_again()
                continue
            failure_deadline_s = trio.current_time() + FAILURE_TIMEOUT_S
            if self.lineage and text.lineage != self.lineage and offset:
                # Text of another lineage must not be appended to the caller's text.
                offset, self.lineage = 0, text.lineage
                continue
            self.lineage = text.lineage
            if text.tokens:
                yield self.frames(offset, text.tokens)
                offset += len(text.tokens)
            if text.outcome and offset >= text.total:
                yield outcome_event(outcome_of(text), text.total) + DONE
                return
            await trio.sleep(READ_INTERVAL_S)
        yield outcome_event(Running(RETRY_DELAY_S), offset) + DONE

    def frames(self, offset: int, tokens: list[bytes]) -> bytes:
        """Return the server-sent events of tokens that start at an offset."""
        head = frame_head(self.request_id, self.lineage)
        return b"".join(
            token_frame(head, number, token)
            for number, token in enumerate(tokens, offset)
        )

    async def find_again(self) -> None:
        """Locate the node that holds the request now."""
        await trio.sleep(RETRY_DELAY_S)
        found = await self.finder.locate(self.customer, self.request_id)
        if found.node:
            self.node = found.node


class RemoteFinder:
    """Client that locates and reads requests at other nodes through the agent.

    Parameters
    ----------
    link : AgentLink
        Link to the agent.
    """

    def __init__(self, link: AgentLink) -> None:
        self.link = link

    async def find(
        self, customer: str, request_id: str
    ) -> RemoteGeneration | Unknown | None:
        """Find a customer's request.

        Parameters
        ----------
        customer : str
            Customer that requests it. Other customers' requests are not found.
        request_id : str
            Id of the request.

        Returns
        -------
        found : RemoteGeneration, Unknown or None
            None if no node has the request; `Unknown` if some nodes were unreachable.
        """
        found = await self.locate(customer, request_id)
        if found.node:
            log.info(f"found at {found.node}", request=request_id)
            return RemoteGeneration(self, customer, request_id, found.node)
        if found.unreached:
            detail = "some instances cannot be asked now; ask again"
            return Unknown(Reason.OWNER_UNREACHABLE, detail)
        return None

    async def locate(self, customer: str, request_id: str) -> StandbyFound:
        """Return the node that holds a request."""
        message = StandbyFind(customer, request_id)
        response = await self.link.call(message, FIND_TIMEOUT_S)
        if isinstance(response, StandbyFound):
            return response
        # An agent of an earlier release does not support the call and cannot find
        # the request; after any other failure it is not known whether there is one.
        is_unreached = response != CallFailed("unsupported", maybe_handled=False)
        return StandbyFound(unreached=int(is_unreached))

    async def read(self, remote: RemoteGeneration, offset: int) -> StandbyText | None:
        """Return text from the node that holds a request; None without a response."""
        message = StandbyRead(
            remote.node, remote.customer, remote.request_id, offset, READ_WAIT_S
        )
        response = await self.link.call(message, READ_TIMEOUT_S)
        return response if isinstance(response, StandbyText) else None


def is_usable(text: StandbyText | None) -> bool:
    """Return whether a text is from a node that runs or has finished the request."""
    if text is None or not text.is_found or text.outcome == "running":
        return False
    return is_token_list(text.tokens)


def outcome_of(text: StandbyText) -> Answered | NotRun | Unknown:
    """Return the outcome in a text."""
    if text.outcome == "answered":
        return Answered(200, [], b"")
    reasons = {str(reason) for reason in Reason}
    reason = Reason(text.reason) if text.reason in reasons else Reason.NOT_PROVEN
    if text.outcome == "notrun":
        return NotRun(reason, RETRY_DELAY_S, text.detail)
    return Unknown(reason, text.detail)


def register_retrieval_handlers(handlers: Handlers, table: GenerationTable) -> None:
    """Register handlers with which the agent finds and reads this entry's requests.

    Parameters
    ----------
    handlers : Handlers
        Handlers of the link to the agent.
    table : GenerationTable
        Requests of this entry.
    """

    def find_held(customer: str, request: str) -> Generation | None:
        generation = table.find(customer, request)
        if generation is None or isinstance(generation.outcome, Running):
            return None
        return generation

    @handlers.on(StandbyFind)
    async def find(message: StandbyFind, link: MessageLink) -> StandbyFound:
        generation = find_held(message.customer, message.request)
        if generation is None:
            return StandbyFound()
        return StandbyFound("here", service=generation.service)

    @handlers.on(StandbyRead)
    async def read(message: StandbyRead, link: MessageLink) -> StandbyText:
        generation = find_held(message.customer, message.request)
        if generation is None:
            return StandbyText()
        offset = max(0, message.offset)
        with trio.move_on_after(message.wait_s):
            await generation.wait_for_tokens(offset)
        return text_of(generation, offset)


def text_of(generation: Generation, offset: int) -> StandbyText:
    """Return a bounded part of a generation's text from an offset."""
    tokens = generation.tokens[offset : offset + MAX_READ_TOKENS]
    total = len(generation.tokens)
    text = StandbyText(True, generation.lineage, tokens, total)
    if offset + len(tokens) >= total:
        end = StandbyUpdate(generation.customer, generation.request_id, 0)
        add_outcome(end, generation)
        text.outcome, text.reason, text.detail = end.outcome, end.reason, end.detail
    return text
