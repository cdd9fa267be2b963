"""Handlers of the messages that entries send about claims."""

from collections.abc import Callable, Mapping

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.claims.forms import ClaimForm, refuse_unconfirmed
from rosemaryknot.values.claims import (
    ClaimRequest,
    CloseReply,
    CloseRequest,
    MapNumber,
    RefusedKind,
    ResultRecord,
    ResultStored,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.outcomes import Reason

__all__ = ["register_claim_handlers"]


def register_claim_handlers(
    handlers: Handlers,
    forms: Mapping[str, ClaimForm],
    claim_form: Callable[[str], str],
    map_number: Callable[[], int] = lambda: 0,
) -> None:
    """Register the handlers for claims, close requests and results of entries.

    Parameters
    ----------
    handlers : Handlers
        Handlers of the agent's links.
    forms : mapping of str to ClaimForm
        The forms that this agent runs, by name.
    claim_form : callable
        Returns the form of a service in the current configuration. It must never change
        for a service that has ids in use, since the other form has no records of them.
    map_number : callable
        Returns the number of the newest shard map; 0 if there is none.
    """

    @handlers.on(ClaimRequest)
    async def claim(request: ClaimRequest, link: MessageLink) -> Message:
        form = forms.get(claim_form(request.service))
        if form is None:
            return refuse_unconfirmed(request, Reason.NO_CONFIGURATION, False)
        return await form.claim(request)

    @handlers.on(CloseRequest)
    async def close(request: CloseRequest, link: MessageLink) -> Message:
        form = forms.get(claim_form(request.service))
        if form is None:
            return CloseReply(False, RefusedKind.UNKNOWN, Reason.NO_CONFIGURATION)
        return await form.close(request)

    @handlers.on(ResultRecord)
    async def record(result: ResultRecord, link: MessageLink) -> Message:
        form = forms.get(claim_form(result.service))
        if form is None:
            return ResultStored(False)
        return await form.record(result)

    @handlers.on(MapNumber)
    async def number(asked: MapNumber, link: MessageLink) -> Message:
        return MapNumber(map_number())
