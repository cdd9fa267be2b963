"""Pick-up of accepted requests that another node holds."""

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
    are_tokens,
)

__all__ = ["RemoteFinder", "RemoteGeneration", "register_pickup_handlers"]

FIND_TIMEOUT_S = 3.0
READ_WAIT_S = 1.0
READ_TIMEOUT_S = 4.0
READ_GAP_S = 0.03
RETRY_S = 0.5
PATIENCE_S = 10.0
MAX_READ_TOKENS = 512

log = logger("pickup")


class RemoteGeneration:
    """A request that another node holds, read in bounded pieces while it is followed.

    Nothing is read ahead of the caller. When the node that holds the request is
    lost, it is looked for again and read on from the offset reached.

    Parameters
    ----------
    finder : RemoteFinder
        Finds and reads.
    customer : str
        Whose request it is.
    request_id : str
        Its id.
    node : str
        Node that holds it.

    Attributes
    ----------
    lineage : str
        Lineage of what has been read; empty before.
    """

    def __init__(
        self, finder: "RemoteFinder", customer: str, request_id: str, node: str
    ) -> None:
        self.finder = finder
        self.customer = customer
        self.request_id = request_id
        self.node = node
        self.lineage = ""

    async def follow(
        self, offset: int = 0, lineage: str = "", writer: DirectWriter | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the events from an offset to the end; see `Generation.follow`."""
        self.lineage = lineage
        patience_until_s = trio.current_time() + PATIENCE_S
        while trio.current_time() < patience_until_s:
            text = await self.finder.read(self, offset)
            if not is_usable(text):
                await self.find_again()
                continue
            patience_until_s = trio.current_time() + PATIENCE_S
            if self.lineage and text.lineage != self.lineage and offset:
                # Text of another lineage is never joined to what the caller has.
                offset, self.lineage = 0, text.lineage
                continue
            self.lineage = text.lineage
            if text.tokens:
                yield self.frames(offset, text.tokens)
                offset += len(text.tokens)
            if text.outcome and offset >= text.total:
                yield outcome_event(outcome_of(text), text.total) + DONE
                return
            await trio.sleep(READ_GAP_S)
        yield outcome_event(Running(RETRY_S), offset) + DONE

    def frames(self, offset: int, tokens: list[bytes]) -> bytes:
        """Return the events of tokens from an offset on."""
        head = frame_head(self.request_id, self.lineage)
        return b"".join(
            token_frame(head, number, token)
            for number, token in enumerate(tokens, offset)
        )

    async def find_again(self) -> None:
        """Look for the node that holds the request now."""
        await trio.sleep(RETRY_S)
        found = await self.finder.locate(self.customer, self.request_id)
        if found.node:
            self.node = found.node


class RemoteFinder:
    """Finds requests at other nodes through the agent.

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
            Who asks. Another one's request is not found.
        request_id : str
            Id of the request.

        Returns
        -------
        found : RemoteGeneration, Unknown or None
            None where no node knows it; `Unknown` where some could not be asked.
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
        """Return where a request is."""
        asked = StandbyFind(customer, request_id)
        answer = await self.link.call(asked, FIND_TIMEOUT_S)
        if isinstance(answer, StandbyFound):
            return answer
        # An agent of an earlier release finds nothing; any other silence says nothing.
        is_unreached = answer != CallFailed("unsupported", maybe_handled=False)
        return StandbyFound(unreached=int(is_unreached))

    async def read(self, remote: RemoteGeneration, offset: int) -> StandbyText | None:
        """Return text from the node that holds a request, or None without answer."""
        asked = StandbyRead(
            remote.node, remote.customer, remote.request_id, offset, READ_WAIT_S
        )
        answer = await self.link.call(asked, READ_TIMEOUT_S)
        return answer if isinstance(answer, StandbyText) else None


def is_usable(text: StandbyText | None) -> bool:
    """Tell whether a node that was asked works on the request or has its end."""
    if text is None or not text.is_found or text.outcome == "running":
        return False
    return are_tokens(text.tokens)


def outcome_of(text: StandbyText) -> Answered | NotRun | Unknown:
    """Return the outcome that a text carries."""
    if text.outcome == "answered":
        return Answered(200, [], b"")
    known = {str(reason) for reason in Reason}
    reason = Reason(text.reason) if text.reason in known else Reason.NOT_PROVEN
    if text.outcome == "notrun":
        return NotRun(reason, RETRY_S, text.detail)
    return Unknown(reason, text.detail)


def register_pickup_handlers(handlers: Handlers, table: GenerationTable) -> None:
    """Let the agent find and read this entry's requests.

    Parameters
    ----------
    handlers : Handlers
        Handlers of the agent's link.
    table : GenerationTable
        Requests of this entry.
    """

    def held(customer: str, request: str) -> Generation | None:
        generation = table.find(customer, request)
        if generation is None or isinstance(generation.outcome, Running):
            return None
        return generation

    @handlers.on(StandbyFind)
    async def find(asked: StandbyFind, link: MessageLink) -> StandbyFound:
        generation = held(asked.customer, asked.request)
        if generation is None:
            return StandbyFound()
        return StandbyFound("here", service=generation.service)

    @handlers.on(StandbyRead)
    async def read(asked: StandbyRead, link: MessageLink) -> StandbyText:
        generation = held(asked.customer, asked.request)
        if generation is None:
            return StandbyText()
        offset = max(0, asked.offset)
        with trio.move_on_after(asked.wait_s):
            await generation.wait_beyond(offset)
        return text_of(generation, offset)


def text_of(generation: Generation, offset: int) -> StandbyText:
    """Return a bounded piece of a generation's text from an offset."""
    tokens = generation.tokens[offset : offset + MAX_READ_TOKENS]
    total = len(generation.tokens)
    text = StandbyText(True, generation.lineage, tokens, total)
    if offset + len(tokens) >= total:
        end = StandbyUpdate(generation.customer, generation.request_id, 0)
        add_outcome(end, generation)
        text.outcome, text.reason, text.detail = end.outcome, end.reason, end.detail
    return text
