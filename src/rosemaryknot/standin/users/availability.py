"""Availability that servers state, and requests that reach them in spite of it.

A server states that it drains in all its responses. One that turns a request away may
ask the node that sent it for a pause.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

__all__ = [
    "DrainStatement",
    "LateRequest",
    "PauseRequest",
    "SentRequest",
    "late_requests",
    "requests_in_pauses",
]

# From this time after the response on, a server gets at most so many requests of the
# node until the pause is over: those that crossed the response.
PAUSE_NOTICE_S = 0.5
MAX_IN_PAUSE = 2


@dataclass(slots=True, frozen=True)
class DrainStatement:
    """A response in which a server stated that it drains.

    Attributes
    ----------
    server, request : str
        Incarnation of the server, and id of the request.
    timestamp_s : float
        When its head was sent, in trio time.
    """

    server: str
    request: str
    timestamp_s: float


@dataclass(slots=True, frozen=True)
class PauseRequest:
    """A response with which a server turned a request away and asked for a pause.

    Attributes
    ----------
    server, request : str
        Incarnation of the server, and id of the request.
    timestamp_s : float
        When it was sent, in trio time.
    length_s : float
        Length of the pause, in seconds.
    """

    server: str
    request: str
    timestamp_s: float
    length_s: float


@dataclass(slots=True, frozen=True)
class SentRequest:
    """A request of a caller.

    Attributes
    ----------
    node : str
        Node that it was sent to.
    sent_s, ended_s : float
        When it was sent and when its response ended, in trio time.
    is_passed_on : bool
        Whether the caller got a server's complete response.
    """

    node: str
    sent_s: float
    ended_s: float
    is_passed_on: bool


@dataclass(slots=True, frozen=True)
class LateRequest:
    """A request that reached a server after it had stated that it drains.

    Attributes
    ----------
    request, node, server : str
        Id of the request, the node that it was sent to, and the server's incarnation.
    known_s, arrived_s : float
        When that node had passed the statement on, and when the request reached the
        server, in trio time.
    """

    request: str
    node: str
    server: str
    known_s: float
    arrived_s: float


def late_requests(
    statements: Iterable[DrainStatement],
    arrivals: dict[str, list[tuple[float, str]]],
    requests: dict[str, SentRequest],
    allowed_s: float,
) -> list[LateRequest]:
    """Return the requests that reached a server too long after its statement.

    Parameters
    ----------
    statements : iterable of DrainStatement
        What servers stated.
    arrivals : dict of str to list of tuple of (float, str)
        Times and ids of the requests that reached a server, by its incarnation.
    requests : dict of str to SentRequest
        Requests of callers by id.
    allowed_s : float
        A request counts if it was sent later than this after the node that it was sent
        to had passed on a response with the statement.
    """
    known_s: dict[tuple[str, str], float] = {}
    for statement in statements:
        sent = requests.get(statement.request)
        if sent is not None and sent.is_passed_on:
            key = (statement.server, sent.node)
            known_s[key] = min(known_s.get(key, sent.ended_s), sent.ended_s)
    late = []
    for server, times in arrivals.items():
        for arrived_s, request_id in times:
            sent = requests.get(request_id)
            if sent is None or (server, sent.node) not in known_s:
                continue
            since_s = known_s[server, sent.node]
            if sent.sent_s > since_s + allowed_s:
                late.append(
                    LateRequest(request_id, sent.node, server, since_s, arrived_s)
                )
    return late


def requests_in_pauses(
    pauses: Iterable[PauseRequest],
    arrivals: dict[str, list[tuple[float, str]]],
    node_of: Callable[[str], str | None],
) -> list[tuple[PauseRequest, str, int]]:
    """Return the pauses in which a server got too many requests of the node.

    Parameters
    ----------
    pauses : iterable of PauseRequest
        Pauses that servers asked for.
    arrivals : dict of str to list of tuple of (float, str)
        As for `late_requests`.
    node_of : callable
        Returns the node that sent the request with an id; None if it does not count.

    Returns
    -------
    broken : list of tuple of (PauseRequest, str, int)
        Pause, node and number of requests.
    """
    by_sender: defaultdict[tuple[str, str | None], list[float]] = defaultdict(list)
    for server, times in arrivals.items():
        for arrived_s, request_id in times:
            by_sender[server, node_of(request_id)].append(arrived_s)
    broken = []
    for pause in pauses:
        node = node_of(pause.request)
        start_s = pause.timestamp_s + PAUSE_NOTICE_S
        end_s = pause.timestamp_s + pause.length_s
        times = by_sender[pause.server, node]
        count = sum(start_s < time_s < end_s for time_s in times)
        if node is not None and count > MAX_IN_PAUSE:
            broken.append((pause, node, count))
    return broken
