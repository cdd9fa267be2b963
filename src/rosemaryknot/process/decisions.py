"""A bounded log of the decisions that a process made about each request."""

from collections import OrderedDict
from collections.abc import MutableMapping
from dataclasses import dataclass, field
from typing import Any

__all__ = [
    "DECISIONS",
    "Decision",
    "DecisionLog",
    "record_decision",
]

MAX_REQUESTS = 2000
MAX_DECISIONS = 60
# Memory of all decisions: ids and values may be as long as a request's headers.
MAX_BYTES = 8 << 20
# Memory of a text in addition to its characters.
TEXT_BYTES = 64
EXCLUDED_FIELDS = frozenset({"event", "level", "part", "request", "timestamp"})


@dataclass(slots=True)
class Decision:
    """One decision about a request.

    Attributes
    ----------
    time : str
        Wall-clock time of the process that decided.
    part : str
        Component of the process.
    text : str
        The decision and its reason.
    fields : dict
        Values of the decision, such as the scores of the candidates.
    """

    time: str
    part: str
    text: str
    fields: dict[str, str] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """Memory that it takes, in bytes."""
        texts = (self.time, self.part, self.text, *self.fields.values())
        return sum(map(len, texts)) + TEXT_BYTES * len(texts)


class DecisionLog:
    """Decisions about the most recent requests.

    Attributes
    ----------
    by_request : collections.OrderedDict of str to list of Decision
        Decisions by request id, oldest request first; at most `MAX_REQUESTS`.
    size : int
        Memory of all decisions and ids, in bytes; at most `MAX_BYTES` between calls.
    """

    def __init__(self) -> None:
        self.by_request: OrderedDict[str, list[Decision]] = OrderedDict()
        self.size = 0

    def add(self, request_id: str, decision: Decision) -> None:
        """Record a decision; evict the oldest requests if they take too much.

        Parameters
        ----------
        request_id : str
            Id of the request.
        decision : Decision
            The decision.
        """
        decisions = self.by_request.get(request_id)
        if decisions is None:
            decisions = self.by_request[request_id] = []
            self.size += len(request_id) + TEXT_BYTES
        if len(decisions) < MAX_DECISIONS:
            decisions.append(decision)
            self.size += decision.size
        while len(self.by_request) > MAX_REQUESTS or self.size > MAX_BYTES:
            self.evict_oldest()

    def evict_oldest(self) -> None:
        """Remove the decisions about the oldest request."""
        request_id, decisions = self.by_request.popitem(last=False)
        self.size -= len(request_id) + TEXT_BYTES
        self.size -= sum(decision.size for decision in decisions)

    def of(self, request_id: str) -> list[Decision]:
        """Return the decisions about a request, oldest first."""
        return list(self.by_request.get(request_id, ()))


DECISIONS = DecisionLog()


def record_decision(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Record a log line that has a request id.

    This structlog processor returns the line unchanged. All decisions are logged
    with a request id, so the log is the one place that sees all of them.
    """
    request_id = event.get("request")
    if isinstance(request_id, str):
        fields = {k: str(v) for k, v in event.items() if k not in EXCLUDED_FIELDS}
        decision = Decision(
            str(event.get("timestamp", "")),
            str(event.get("part", "")),
            str(event.get("event", "")),
            fields,
        )
        DECISIONS.add(request_id, decision)
    return event
