"""Implementations (forms) of at-most-once execution, registered by name."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from rosemaryknot.values.claims import (
    ClaimRefused,
    ClaimRequest,
    CloseReply,
    CloseRequest,
    RefusedKind,
    ResultRecord,
    ResultStored,
)
from rosemaryknot.values.messages import Message
from rosemaryknot.values.outcomes import Reason

__all__ = ["FORMS", "ClaimForm", "claim_form", "refuse_unconfirmed"]

RETRY_AFTER_S = 1.0


class ClaimForm(Protocol):
    """An implementation that decides which claim may send a request."""

    async def claim(self, request: ClaimRequest) -> Message:
        """Grant or refuse the right to send a request.

        Parameters
        ----------
        request : ClaimRequest
            The claim.

        Returns
        -------
        reply : ClaimGranted or ClaimAnswered or ClaimRefused
            Whether the entry sends the request, and what it returns otherwise.
        """

    async def close(self, request: CloseRequest) -> CloseReply:
        """Close all attempts up to a number.

        Parameters
        ----------
        request : CloseRequest
            The id and the highest attempt to close.

        Returns
        -------
        reply : CloseReply
            Whether it is confirmed that the attempts are closed.
        """

    async def record(self, result: ResultRecord) -> ResultStored:
        """Apply the result of a claim.

        Parameters
        ----------
        result : ResultRecord
            The entry's report.

        Returns
        -------
        reply : ResultStored
            Whether the result is stored, so that the entry may discard it.
        """


FORMS: dict[str, type] = {}

FormType = TypeVar("FormType", bound=type)


def claim_form(name: str) -> Callable[[FormType], FormType]:
    """Register a class under the name that is used in the configuration.

    Parameters
    ----------
    name : str
        Value of ``at_most_once.form`` of a service.

    Returns
    -------
    decorator : callable
        Returns the class unchanged.
    """

    def register(cls: FormType) -> FormType:
        FORMS[name] = cls
        return cls

    return register


def refuse_unconfirmed(
    request: ClaimRequest, reason: Reason, maybe_granted: bool
) -> ClaimRefused:
    """Return the refusal of a claim when the state of its id cannot be confirmed.

    A caller that declares attempt 1 has not sent the request before, and this claim
    will not be used. So the outcome "not run" is correct without confirmation.

    Parameters
    ----------
    request : ClaimRequest
        The claim.
    reason : Reason
        Why the state cannot be confirmed.
    maybe_granted : bool
        Whether the claim may have been granted nevertheless.

    Returns
    -------
    refusal : ClaimRefused
        ``not_run`` for a declared attempt 1, else ``unknown``.
    """
    outcome = RefusedKind.NOT_RUN if request.attempt == 1 else RefusedKind.UNKNOWN
    return ClaimRefused(outcome, reason, RETRY_AFTER_S, maybe_granted=maybe_granted)
