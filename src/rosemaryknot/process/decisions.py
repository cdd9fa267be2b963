"""What a process remembers of its decisions about each request, within a bound."""

from collections import OrderedDict
from collections.abc import MutableMapping
from dataclasses import dataclass, field
from typing import Any

__all__ = [
    "DECISIONS",
    "Decision",
    "DecisionMemory",
    "remember_line",
]

MAX_REQUESTS = 2000
MAX_DECISIONS = 60
HIDDEN_FIELDS = frozenset({"event", "level", "part", "request", "timestamp"})


@dataclass(slots=True)
class Decision:
    """One decision about a request.

    Attributes
    ----------
    time : str
        Wall time of the process that decided.
    part : str
        Part of the process.
    text : str
        What was decided and why.
    fields : dict
        Its values, such as the candidates' scores.
    """

    time: str
    part: str
    text: str
    fields: dict[str, str] = field(default_factory=dict)


class DecisionMemory:
    """Decisions of the latest requests.

    Attributes
    ----------
    by_request : collections.OrderedDict of str to list of Decision
        Oldest request first; at most `MAX_REQUESTS` of them.
    """

    def __init__(self) -> None:
        self.by_request: OrderedDict[str, list[Decision]] = OrderedDict()

    def add(self, request_id: str, decision: Decision) -> None:
        """Remember a decision; the oldest request makes room.

        Parameters
        ----------
        request_id : str
            The request.
        decision : Decision
            What was decided.
        """
        decisions = self.by_request.setdefault(request_id, [])
        if len(decisions) < MAX_DECISIONS:
            decisions.append(decision)
        if len(self.by_request) > MAX_REQUESTS:
            self.by_request.popitem(last=False)

    def of(self, request_id: str) -> list[Decision]:
        """Return the decisions about a request, oldest first."""
        return list(self.by_request.get(request_id, ()))


DECISIONS = DecisionMemory()


def remember_line(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Remember a log line that names a request.

    Every decision is logged with its request's id, so the log is the one place
    where all of them pass. A structlog processor; returns the line unchanged.
    """
    request_id = event.get("request")
    if isinstance(request_id, str):
        fields = {k: str(v) for k, v in event.items() if k not in HIDDEN_FIELDS}
        decision = Decision(
            str(event.get("timestamp", "")),
            str(event.get("part", "")),
            str(event.get("event", "")),
            fields,
        )
        DECISIONS.add(request_id, decision)
    return event
