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


class DecisionLog:
    """Decisions about the most recent requests.

    Attributes
    ----------
    by_request : collections.OrderedDict of str to list of Decision
        Decisions by request id, oldest request first; at most `MAX_REQUESTS`.
    """

    def __init__(self) -> None:
        self.by_request: OrderedDict[str, list[Decision]] = OrderedDict()

    def add(self, request_id: str, decision: Decision) -> None:
        """Record a decision; evict the oldest request if there are too many.

        Parameters
        ----------
        request_id : str
            Id of the request.
        decision : Decision
            The decision.
        """
        decisions = self.by_request.setdefault(request_id, [])
        if len(decisions) < MAX_DECISIONS:
            decisions.append(decision)
        if len(self.by_request) > MAX_REQUESTS:
            self.by_request.popitem(last=False)

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
