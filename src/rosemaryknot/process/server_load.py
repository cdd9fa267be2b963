"""Load of each backend server, from its reports and from our own requests.

The reports of the servers lag, and all entry instances read the same ones. Each
process therefore corrects them by the requests that it has started and ended since.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import httpx
import trio

from rosemaryknot.process.prefix_estimate import PrefixEstimate
from rosemaryknot.values.json_text import JSON_ERRORS, parse_json
from rosemaryknot.values.nodes import BackendServer

__all__ = ["LoadReport", "LoadTable", "ServerLoad"]

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 0.5
REPORT_LAG_S = 0.25
MAX_HISTORY = 64


@dataclass(slots=True)
class LoadReport:
    """Load report of a server.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in the batch, requests in the queue, and the batch size.
    step_time_ms : float
        Duration of one engine step.
    free_kv_tokens : int
        Free capacity of the KV cache, in tokens.
    received_s : float
        When the report was received, in trio time; it was made earlier by an unknown
        lag.
    """

    running: int
    waiting: int
    slots: int
    step_time_ms: float
    free_kv_tokens: int
    received_s: float


@dataclass(slots=True)
class ServerLoad:
    """Load of one server as seen by this process.

    Attributes
    ----------
    report : LoadReport or None
        The latest report.
    in_flight : int
        Requests of this process in flight at the server.
    in_flight_tokens : int
        Prompt tokens of those requests that have not emitted a first token.
    history : deque of tuple of (float, int)
        Times and numbers of our own requests in flight, used to correct a report.
    prefixes : PrefixEstimate
        Prefixes that the server has probably cached.
    """

    report: LoadReport | None = None
    in_flight: int = 0
    in_flight_tokens: int = 0
    history: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY)
    )
    prefixes: PrefixEstimate = field(default_factory=PrefixEstimate)

    def began(self, prompt_tokens: int) -> None:
        """Record that a request was sent."""
        self.in_flight += 1
        self.in_flight_tokens += prompt_tokens
        self.history.append((trio.current_time(), self.in_flight))

    def prefilled(self, prompt_tokens: int) -> None:
        """Record the first token of a request."""
        self.in_flight_tokens -= prompt_tokens

    def ended(self) -> None:
        """Record that a request ended."""
        self.in_flight -= 1
        self.history.append((trio.current_time(), self.in_flight))

    def in_flight_at(self, time_s: float) -> int:
        """Return how many of our requests were in flight at a time."""
        count = 0
        for changed_s, in_flight in self.history:
            if changed_s > time_s:
                break
            count = in_flight
        return count

    def current_requests(self) -> float:
        """Return the estimated requests at the server: the report plus our changes."""
        if self.report is None:
            return float(self.in_flight)
        own_reported = self.in_flight_at(self.report.received_s - REPORT_LAG_S)
        reported = self.report.running + self.report.waiting
        return float(max(reported + self.in_flight - own_reported, self.in_flight, 0))


class LoadTable:
    """Load of all backend servers.

    Attributes
    ----------
    loads : dict of str to ServerLoad
        Load by name of the instance.
    """

    def __init__(self) -> None:
        self.loads: dict[str, ServerLoad] = {}

    def of(self, server: BackendServer) -> ServerLoad:
        """Return the load of a server; an empty one if nothing is known."""
        load = self.loads.get(server.instance)
        if load is None:
            load = self.loads[server.instance] = ServerLoad()
        return load

    def keep_only(self, instances: set[str]) -> None:
        """Drop removed servers that have none of our requests in flight."""
        for instance in list(self.loads):
            if instance not in instances and not self.loads[instance].in_flight:
                del self.loads[instance]

    async def poll(
        self,
        client: httpx.AsyncClient,
        servers: Callable[[], Iterable[BackendServer]],
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        """Poll the servers' reports until cancelled.

        Parameters
        ----------
        client : httpx.AsyncClient
            Client for the requests.
        servers : callable
            Returns the servers to poll in each round.
        interval_s : float
            Time between two rounds, in seconds.
        """
        while True:
            polled = list(servers())
            self.keep_only({server.instance for server in polled})
            async with trio.open_nursery() as nursery:
                for server in polled:
                    nursery.start_soon(self.fetch_report, client, server)
            await trio.sleep(interval_s)

    async def fetch_report(
        self, client: httpx.AsyncClient, server: BackendServer
    ) -> None:
        """Fetch one report; keep the previous one if the server does not respond."""
        with trio.move_on_after(POLL_TIMEOUT_S):
            try:
                response = await client.get(f"http://{server.address}/load")
                fields = parse_json(response.content)
                self.of(server).report = LoadReport(
                    int(fields["running"]),
                    int(fields["waiting"]),
                    int(fields["slots"]),
                    float(fields["step_time_ms"]),
                    int(fields["free_kv_tokens"]),
                    trio.current_time(),
                )
            except (httpx.HTTPError, *JSON_ERRORS):
                return
