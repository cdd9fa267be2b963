"""The requests of the demo, and the check of every answer."""

import random
from dataclasses import dataclass, field
from typing import Any

from rosemaryknot.standin.answers import answer_length, prompt_text, wrong_token

__all__ = ["KINDS", "Kind", "Request", "make_requests"]

LONG_SHARE = 0.3
WORDS = ("post", "beam", "rafter", "brace", "sill", "girt", "plate", "visit", "cat")


@dataclass(slots=True, frozen=True)
class Kind:
    """One kind of request.

    Attributes
    ----------
    name : str
        For the table.
    service, customer : str
        Which service it asks, and as whom.
    count : int
        How many are sent.
    form : str
        ``accepted`` for a model call that is accepted first and then picked up,
        ``stream`` for one that is read at once, ``once`` for a call that must not
        run twice, ``get`` for one that may be repeated.
    path : str
        Path below the plain service.
    prompt_words, max_tokens : int
        Size of a model call.
    """

    name: str
    service: str
    customer: str
    count: int
    form: str
    path: str = ""
    prompt_words: int = 0
    max_tokens: int = 0


KINDS = (
    Kind("plan set", "kit-assistant", "estimator-1", 10, "accepted", "", 600, 1600),
    Kind("quick question", "kit-assistant", "estimator-2", 24, "stream", "", 30, 48),
    Kind("booking", "dispatch-app", "dispatcher", 24, "once", "/bookings"),
    Kind("stock check", "dispatch-app", "dispatcher", 24, "get", "/stock"),
    Kind("care brief", "brief-writer", "sitter-match", 10, "accepted", "", 200, 1200),
    Kind("chat draft", "brief-writer", "sitter-app", 24, "stream", "", 20, 40),
    Kind("check-in alert", "visit-notify", "sitter-app", 24, "once", "/alerts"),
    Kind("availability ping", "visit-notify", "sitter-app", 24, "get", "/ping"),
)


@dataclass(slots=True)
class Request:
    """One request and what became of it.

    Attributes
    ----------
    kind : Kind
        What it is.
    number : int
        Its number among all.
    send_at_s : float
        When it is sent, from the start of the load.
    id : str
        Request id, once it has been accepted.
    outcome : str
        ``answered``, ``not_run``, ``unknown`` or ``lost``.
    reason : str
        Why it was not answered.
    crossed : bool
        Whether anything of another request arrived.
    took_s : float
        From sending it to its outcome, with all repeats.
    picked_up : int
        How often it was picked up, at whichever entry.
    tokens : list of str
        Tokens that arrived.
    lineage : str
        Lineage of the tokens.
    """

    kind: Kind
    number: int
    send_at_s: float
    id: str = ""
    outcome: str = "lost"
    reason: str = ""
    crossed: bool = False
    took_s: float = 0.0
    picked_up: int = 0
    tokens: list[str] = field(default_factory=list)
    lineage: str = ""

    @property
    def key(self) -> str:
        """Idempotency key, also where none is sent."""
        return f"demo-{self.number}"

    @property
    def messages(self) -> list[dict[str, str]]:
        """Messages of a model call, different for each."""
        rng = random.Random(self.number)
        words = rng.choices(WORDS, k=self.kind.prompt_words)
        content = f"request {self.number} " + " ".join(words)
        return [{"role": "user", "content": content}]

    def finish(self, outcome: str, reason: str = "") -> None:
        """Note the outcome."""
        self.outcome, self.reason = outcome, reason

    def take(self, event: dict[str, Any]) -> bool:
        """Take one event of a stream; tells whether it was the last."""
        if "choices" in event:
            self.take_token(event)
            return False
        outcome = event.get("outcome")
        if outcome == "answered" and not self.is_whole(event.get("tokens")):
            self.finish("lost", "the answer is not whole")
        elif outcome in ("answered", "not_run"):
            self.finish(outcome, event.get("reason", ""))
        elif outcome is not None:
            # It had been accepted: an answer that nobody can give is lost.
            self.finish("lost", f"{outcome} {event.get('reason', '')}")
        return outcome is not None

    def take_token(self, event: dict[str, Any]) -> None:
        """Take one token, which must be the next one of this request."""
        if event["id"] != self.id:
            self.crossed = True
        if event["lineage"] != self.lineage:
            self.lineage = event["lineage"]
            self.tokens.clear()
        if event["offset"] == len(self.tokens):
            self.tokens.append(event["choices"][0]["delta"]["content"])

    def is_whole(self, count: int | None) -> bool:
        """Tell whether all tokens arrived, each of this request's own answer."""
        prompt = prompt_text(self.messages)
        if wrong_token(prompt, self.lineage, self.tokens) is not None:
            self.crossed = True
            return False
        length = answer_length(prompt, self.kind.max_tokens)
        return len(self.tokens) == length == count


def make_requests(duration_s: float, seed: int) -> list[Request]:
    """Make the mix of both users' requests, the long ones at its start."""
    rng = random.Random(seed)
    kinds = [kind for kind in KINDS for _ in range(kind.count)]
    rng.shuffle(kinds)
    requests = []
    for number, kind in enumerate(kinds, 1):
        until_s = duration_s * LONG_SHARE if kind.form == "accepted" else duration_s
        requests.append(Request(kind, number, rng.uniform(0, until_s)))
    return requests
