"""Selection of a backend server for a request to a plain service."""

import random
from dataclasses import dataclass

from rosemaryknot.values.nodes import BackendServer

__all__ = ["PlainCandidate", "PlainChoice", "choose_plain_server"]

OTHER_ZONE_COST = 2.0
MAX_COMPARED = 4


@dataclass(slots=True)
class PlainCandidate:
    """A server that can serve the request.

    Attributes
    ----------
    server : BackendServer
        The server.
    in_flight : int
        Number of requests that this process has in flight there.
    """

    server: BackendServer
    in_flight: int


@dataclass(slots=True)
class PlainChoice:
    """The chosen server and the scores of the servers compared.

    Attributes
    ----------
    server : BackendServer
        The chosen server.
    scores : dict of str to float
        Score of each server compared, by instance; the lowest wins.
    """

    server: BackendServer
    scores: dict[str, float]


def choose_plain_server(
    candidates: list[PlainCandidate], zone: str, rng: random.Random
) -> PlainChoice | None:
    """Choose the server with the lowest score of a random sample.

    Parameters
    ----------
    candidates : list of PlainCandidate
        Servers that can serve the request.
    zone : str
        Availability zone of this process.
    rng : random.Random
        Draws the sample, so that processes do not all choose the same server.

    Returns
    -------
    choice : PlainChoice or None
        None if there is no candidate.
    """
    if not candidates:
        return None
    compared = rng.sample(candidates, min(MAX_COMPARED, len(candidates)))
    scores = {c.server.instance: score(c, zone) for c in compared}
    best = min(compared, key=lambda c: scores[c.server.instance])
    return PlainChoice(best.server, scores)


def score(candidate: PlainCandidate, zone: str) -> float:
    """Return the score: requests in flight plus the cost of another zone."""
    distance = 0.0 if candidate.server.zone == zone else OTHER_ZONE_COST
    return candidate.in_flight + distance
