"""Which backend server of a plain service gets a request."""

import random
from dataclasses import dataclass

from rosemaryknot.values.nodes import BackendServer

__all__ = ["PlainCandidate", "PlainChoice", "choose_plain_server"]

OTHER_ZONE_COST = 2.0
MAX_COMPARED = 4


@dataclass(slots=True)
class PlainCandidate:
    """A server that may get the request.

    Attributes
    ----------
    server : BackendServer
        The server.
    in_flight : int
        Requests that this process has in flight there.
    """

    server: BackendServer
    in_flight: int


@dataclass(slots=True)
class PlainChoice:
    """The server chosen, and what it was compared with.

    Attributes
    ----------
    server : BackendServer
        Where the request goes.
    scores : dict of str to float
        Score of each server compared, by instance; the lowest wins.
    """

    server: BackendServer
    scores: dict[str, float]


def choose_plain_server(
    candidates: list[PlainCandidate], zone: str, rng: random.Random
) -> PlainChoice | None:
    """Choose a server.

    Parameters
    ----------
    candidates : list of PlainCandidate
        Servers that may get the request.
    zone : str
        Availability zone of this process.
    rng : random.Random
        Picks those compared, so that not all processes take the same server.

    Returns
    -------
    choice : PlainChoice or None
        None where there is no candidate.
    """
    if not candidates:
        return None
    compared = rng.sample(candidates, min(MAX_COMPARED, len(candidates)))
    scores = {c.server.instance: score(c, zone) for c in compared}
    best = min(compared, key=lambda c: scores[c.server.instance])
    return PlainChoice(best.server, scores)


def score(candidate: PlainCandidate, zone: str) -> float:
    """Return the cost of a server: its queue, and the way to another zone."""
    distance = 0.0 if candidate.server.zone == zone else OTHER_ZONE_COST
    return candidate.in_flight + distance
