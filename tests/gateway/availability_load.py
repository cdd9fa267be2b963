"""Load on servers that state drains and pauses, and what reaches them."""

import random
from dataclasses import dataclass, field

import trio

from rosemaryknot.standin.users.availability import (
    SentRequest,
    late_requests,
    requests_in_pauses,
)
from rosemaryknot.standin.users.system import MODEL_HEADERS, Answer

OK = 200
REFUSED = 503
DRAIN_S = 2.0


@dataclass
class Asked:
    """A request of the load and its response."""

    id: str
    node: str
    path: str
    sent_s: float
    ended_s: float = float("inf")
    answer: Answer = field(default_factory=Answer)


class AvailabilityLoad:
    """Requests at random nodes and times.

    Attributes
    ----------
    asked : list of Asked
        The requests, in order.
    """

    def __init__(self, fleet, nodes=None):
        self.fleet = fleet
        self.nodes = nodes or list(fleet.nodes)
        self.rng = random.Random(1)
        self.asked = []

    async def ask(self, path, node, **options):
        """Send one request and record its response."""
        request = Asked(f"a{len(self.asked)}", node, path, trio.current_time())
        self.asked.append(request)
        headers = MODEL_HEADERS if path.startswith(("/ask", "/plan")) else {}
        request.answer = await self.fleet.ask(
            path, node, request_id=request.id, **headers | options
        )
        request.ended_s = trio.current_time()
        return request

    async def run(self, for_s, path="/ask/x", per_s=30.0):
        """Send requests for a time, and wait for their responses."""
        end_s = trio.current_time() + for_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(self.rng.expovariate(per_s))
                node = self.rng.choice(self.nodes)
                nursery.start_soon(self.ask, path, node)

    def sent(self):
        """Return the requests by id."""
        return {
            a.id: SentRequest(
                a.node, a.sent_s, a.ended_s, a.answer.status == OK and a.answer.is_whole
            )
            for a in self.asked
        }

    def arrivals(self):
        """Return times and ids of the requests that reached servers."""
        found = {}
        for arrival in self.fleet.ledger.arrivals:
            times = found.setdefault(arrival.incarnation, [])
            times.append((arrival.timestamp_s, arrival.id))
        return found

    def late(self, allowed_s=DRAIN_S):
        """Return the requests that reached a draining server too late."""
        drains = self.fleet.ledger.drains
        return late_requests(drains, self.arrivals(), self.sent(), allowed_s)

    def in_pauses(self):
        """Return the pauses in which a server got too many requests of a node."""
        node_of = {a.id: a.node for a in self.asked}
        pauses = self.fleet.ledger.pauses
        return requests_in_pauses(pauses, self.arrivals(), node_of.get)

    def reached(self, server, since_s=0.0):
        """Return when requests reached a server, from a time on."""
        return [
            arrival.timestamp_s
            for arrival in self.fleet.ledger.arrivals
            if arrival.server == server and arrival.timestamp_s > since_s
        ]

    def statuses(self, since_s=0.0, until_s=float("inf")):
        """Return the statuses of the requests that were sent in a period."""
        return [a.answer.status for a in self.asked if since_s <= a.sent_s < until_s]
