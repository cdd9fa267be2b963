"""Admitted requests, and the results of sending one to a backend server."""

from dataclasses import dataclass

from rosemaryknot.values.outcomes import Answered, Reason, Unknown

__all__ = ["ModelRequest", "NotSent", "PlainRequest", "SendResult"]


@dataclass(slots=True)
class PlainRequest:
    """A request to a plain service, with its whole body.

    Attributes
    ----------
    request_id : str
        Generated id of this HTTP request, included in its log lines and its response.
    customer : str
        Customer that sent it.
    service : str
        Service that it is for.
    method : str
        HTTP method.
    path : str
        Path at the service, including the query string.
    headers : list of tuple of (str, str)
        Headers that are forwarded.
    body : bytes
        The whole body.
    key : str
        Idempotency key of the customer; empty if the request may be retried.
    attempt : int
        Attempt number declared by the caller, from 1; 0 if it declared none.
    body_digest : bytes
        Digest of method, path and body, which distinguishes a reused key from a retry.
    arrived_s : float
        When it arrived, in trio time.
    deadline_s : float
        When the caller stops waiting, in trio time.
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
    retry_after_s : float or None
        Time after which the caller may retry, in seconds, if it is known.
    """

    reason: Reason
    retry_after_s: float | None = None


SendResult = Answered | NotSent | Unknown


@dataclass(slots=True)
class ModelRequest:
    """A request to a language model.

    Attributes
    ----------
    request_id : str
        Generated id of the request, under which its response can be fetched later.
    customer : str
        Customer that sent it.
    service : str
        Service that it is for.
    messages : list of dict
        The conversation.
    max_tokens : int
        Maximum number of tokens of the response.
    stream : bool
        Whether the caller wants the tokens streamed.
    priority : int
        Engine priority; lower runs first.
    arrived_s : float
        When it arrived, in trio time.
    deadline_s : float
        When the caller stops waiting, in trio time.
    body : dict
        Body of the caller's request.
    is_async : bool
        Whether the caller waits only until the request is accepted.
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
