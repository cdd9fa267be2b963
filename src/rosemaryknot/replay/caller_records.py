"""Records of the requests that simulated callers sent and of the responses."""

from dataclasses import dataclass, field

__all__ = ["BookingRecord", "ModelRecord", "Reply"]


@dataclass(slots=True)
class Reply:
    """Result of one send of a booking.

    Attributes
    ----------
    send : int
        Number of the send, counted from 1.
    attempt : int
        Declared attempt number; 0 for none.
    sent_s : float
        Time at which it was sent, in virtual seconds.
    outcome : str
        ``answered``, ``not_run``, ``unknown``, ``running``, or ``none`` if no
        response was received.
    reason : str
        Reason given with the outcome.
    entry : str
        Address of the entry to which it was sent.
    body : str
        Body of the response.
    """

    send: int
    attempt: int
    sent_s: float
    outcome: str
    reason: str = ""
    entry: str = ""
    body: str = ""


@dataclass(slots=True)
class BookingRecord:
    """Booking or alert, with all sends under its idempotency key.

    Attributes
    ----------
    key : str
        Idempotency key.
    service : str
        Name of the plain service.
    declares : bool
        Whether the caller declares attempt numbers.
    replies : list of Reply
        Results of the sends, in order of completion.
    """

    key: str
    service: str
    declares: bool
    replies: list[Reply] = field(default_factory=list)


@dataclass(slots=True)
class ModelRecord:
    """Model request and the response received so far.

    Attributes
    ----------
    prompt : str
        Text of the prompt.
    max_tokens : int
        Requested maximum number of tokens.
    id : str
        Request id; empty until the request is accepted.
    lineage : str
        Lineage of the received text.
    tokens : list of str
        Tokens received so far.
    outcome : str
        ``answered``, ``not_run``, ``unknown``, or ``none`` if no outcome was
        received.
    reason : str
        Reason given with the outcome.
    entry : str
        Address of the entry that accepted it.
    pickups : int
        Number of times that the caller resumed the stream by the request id.
    stated_tokens : int
        Number of tokens according to the final event.
    accepted_s, first_token_s, ended_s : float
        Times of acceptance, of the first token and of the end, in virtual seconds;
        0 if the event did not occur.
    """

    prompt: str
    max_tokens: int
    id: str = ""
    lineage: str = ""
    tokens: list[str] = field(default_factory=list)
    outcome: str = "none"
    reason: str = ""
    entry: str = ""
    pickups: int = 0
    stated_tokens: int = 0
    accepted_s: float = 0.0
    first_token_s: float = 0.0
    ended_s: float = 0.0
