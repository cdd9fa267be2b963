"""What the callers of a run note down of what they sent and were told."""

from dataclasses import dataclass, field

__all__ = ["BookingNote", "ModelNote", "Reply"]


@dataclass(slots=True)
class Reply:
    """What one send of a booking came to.

    Attributes
    ----------
    send : int
        Which of the caller's sends, from 1.
    attempt : int
        Attempt number that was declared; 0 for none.
    sent_s : float
        When it was sent, in virtual seconds.
    outcome : str
        ``answered``, ``not_run``, ``unknown``, ``running`` or, where nothing came
        back, ``none``.
    reason : str
        Reason given with the outcome.
    entry : str
        Entry that it was sent to.
    body : str
        Body of an answer.
    """

    send: int
    attempt: int
    sent_s: float
    outcome: str
    reason: str = ""
    entry: str = ""
    body: str = ""


@dataclass(slots=True)
class BookingNote:
    """One booking or alert: a key, and all its sends.

    Attributes
    ----------
    key : str
        Idempotency key.
    service : str
        Plain service.
    declares : bool
        Whether the caller declares attempt numbers.
    replies : list of Reply
        In the order in which they ended.
    """

    key: str
    service: str
    declares: bool
    replies: list[Reply] = field(default_factory=list)


@dataclass(slots=True)
class ModelNote:
    """One model request.

    Attributes
    ----------
    prompt : str
        Text of the prompt.
    max_tokens : int
        Limit that was asked for.
    id : str
        Request id, once it was accepted.
    lineage : str
        Lineage of the text.
    tokens : list of str
        Text so far.
    outcome : str
        ``answered``, ``not_run``, ``unknown``, or ``none`` where nobody said.
    reason : str
        Reason given with the outcome.
    entry : str
        Entry that accepted it.
    pickups : int
        How often the caller asked again by the id.
    stated_tokens : int
        Number of tokens that the last event stated.
    accepted_s, first_token_s, ended_s : float
        Times, in virtual seconds; 0 where it did not come to that.
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
