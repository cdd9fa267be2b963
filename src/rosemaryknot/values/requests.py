"""Requests as admission passes them on, and what sending one to a server gave."""

from dataclasses import dataclass

from rosemaryknot.values.outcomes import Answered, Reason, Unknown

__all__ = ["ModelRequest", "NotSent", "PlainRequest", "SendResult"]


@dataclass(slots=True)
class PlainRequest:
    """A request to a plain service, read whole.

    Attributes
    ----------
    request_id : str
        Our id of this HTTP request; stands on its log lines and its answer.
    customer : str
        Customer that sent it.
    service : str
        Service that it is for.
    method : str
        HTTP method.
    path : str
        Path at the service, with the query string.
    headers : list of tuple of (str, str)
        Headers that are passed on.
    body : bytes
        The whole body.
    key : str
        Idempotency key of the customer; empty where the request may be repeated.
    attempt : int
        Attempt that the caller declared, from 1; 0 where none was declared.
    body_digest : bytes
        Digest of method, path and body, which tells a reused key from a repeat.
    arrived_s : float
        When it arrived, in trio time.
    deadline_s : float
        When the caller gives it up, in trio time.
    """

    request_id: str
    customer: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str
    attempt: int
    body_digest: bytes
    arrived_s: float
    deadline_s: float


@dataclass(slots=True)
class NotSent:
    """No byte of the request left this process.

    Attributes
    ----------
    reason : Reason
        Why it was not sent.
    """

    reason: Reason


SendResult = Answered | NotSent | Unknown


@dataclass(slots=True)
class ModelRequest:
    """A request to a language model.

    Attributes
    ----------
    request_id : str
        Our id of the request, under which it can be picked up.
    customer : str
        Customer that sent it.
    service : str
        Service that it is for.
    messages : list of dict
        The conversation.
    max_tokens : int
        Bound on the answer's tokens.
    stream : bool
        Whether the caller wants tokens as they come.
    priority : int
        Engine priority; lower runs first.
    arrived_s : float
        When it arrived, in trio time.
    deadline_s : float
        When the caller gives it up, in trio time.
    body : dict
        The caller's body.
    is_async : bool
        Whether the caller only waits until it is accepted.
    """

    request_id: str
    customer: str
    service: str
    messages: list[dict]
    max_tokens: int
    stream: bool
    priority: int
    arrived_s: float
    deadline_s: float
    body: dict
    is_async: bool = False
