"""The forms of at-most-once execution, by name."""

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

__all__ = ["FORMS", "ClaimForm", "claim_form", "refuse_unproven"]

RETRY_AFTER_S = 1.0


class ClaimForm(Protocol):
    """One way to keep who may send a request."""

    async def claim(self, request: ClaimRequest) -> Message:
        """Grant or refuse the right to send.

        Parameters
        ----------
        request : ClaimRequest
            The claim.

        Returns
        -------
        reply : ClaimGranted or ClaimAnswered or ClaimRefused
            What the entry does with the request.
        """

    async def close(self, request: CloseRequest) -> CloseReply:
        """Close all attempts up to a number.

        Parameters
        ----------
        request : CloseRequest
            What to close.

        Returns
        -------
        reply : CloseReply
            Whether that is proven.
        """

    async def record(self, result: ResultRecord) -> ResultStored:
        """Take in what came of a claim.

        Parameters
        ----------
        result : ResultRecord
            The entry's report.

        Returns
        -------
        reply : ResultStored
            Whether the entry may forget it.
        """


FORMS: dict[str, type] = {}

FormType = TypeVar("FormType", bound=type)


def claim_form(name: str) -> Callable[[FormType], FormType]:
    """Register a class under the name that the configuration gives.

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


def refuse_unproven(
    request: ClaimRequest, reason: Reason, maybe_granted: bool
) -> ClaimRefused:
    """Return the refusal of a claim about which nothing can be proven.

    A caller that declares attempt 1 has sent nothing before, and this claim is not
    going to be used, so "not run" is true of it without any proof.

    Parameters
    ----------
    request : ClaimRequest
        The claim.
    reason : Reason
        What is in the way.
    maybe_granted : bool
        Whether it may have been granted all the same.

    Returns
    -------
    refusal : ClaimRefused
        ``not_run`` for a declared attempt 1, else ``unknown``.
    """
    outcome = RefusedKind.NOT_RUN if request.attempt == 1 else RefusedKind.UNKNOWN
    return ClaimRefused(outcome, reason, RETRY_AFTER_S, maybe_granted=maybe_granted)
