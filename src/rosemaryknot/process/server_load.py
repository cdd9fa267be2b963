"""What this process knows of each backend server's load.

The servers' own reports lag, and all entry instances read the same ones; so each
corrects them by what it has itself sent and seen ended since.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import httpx
import trio

from rosemaryknot.process.prefix_estimate import PrefixEstimate
from rosemaryknot.values.nodes import BackendServer

__all__ = ["LoadReport", "LoadTable", "ServerLoad"]

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 0.5
REPORT_LAG_S = 0.25
HISTORY = 64


@dataclass(slots=True)
class LoadReport:
    """A server's own report.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in the batch, in the queue, and the batch's size.
    step_time_ms : float
        Time of one step.
    free_kv_tokens : int
        Room for KV cache, in tokens.
    received_s : float
        When it came, in trio time; it is older than that by an unknown lag.
    """

    running: int
    waiting: int
    slots: int
    step_time_ms: float
    free_kv_tokens: int
    received_s: float


@dataclass(slots=True)
class ServerLoad:
    """Load of one server, as this process sees it.

    Attributes
    ----------
    report : LoadReport or None
        The newest report.
    in_flight : int
        Requests that this process has there now.
    in_flight_tokens : int
        Prompt tokens of those that have not emitted a first token.
    history : deque of tuple of (float, int)
        Times and counts of our own requests, by which a report is corrected.
    prefixes : PrefixEstimate
        What it has probably cached.
    """

    report: LoadReport | None = None
    in_flight: int = 0
    in_flight_tokens: int = 0
    history: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=HISTORY)
    )
    prefixes: PrefixEstimate = field(default_factory=PrefixEstimate)

    def began(self, prompt_tokens: int) -> None:
        """Count a request that was sent there."""
        self.in_flight += 1
        self.in_flight_tokens += prompt_tokens
        self.history.append((trio.current_time(), self.in_flight))

    def prefilled(self, prompt_tokens: int) -> None:
        """Count the first token of a request."""
        self.in_flight_tokens -= prompt_tokens

    def ended(self) -> None:
        """Count a request that is no longer there."""
        self.in_flight -= 1
        self.history.append((trio.current_time(), self.in_flight))

    def in_flight_at(self, at_s: float) -> int:
        """Return how many of our requests were there at a time."""
        count = 0
        for changed_s, in_flight in self.history:
            if changed_s > at_s:
                break
            count = in_flight
        return count

    def requests_now(self) -> float:
        """Return the requests there, by the report and by what we know since."""
        if self.report is None:
            return float(self.in_flight)
        seen = self.in_flight_at(self.report.received_s - REPORT_LAG_S)
        reported = self.report.running + self.report.waiting
        return float(max(reported + self.in_flight - seen, self.in_flight, 0))


class LoadTable:
    """Load of all backend servers.

    Attributes
    ----------
    loads : dict of str to ServerLoad
        By the instance's name.
    """

    def __init__(self) -> None:
        self.loads: dict[str, ServerLoad] = {}

    def of(self, server: BackendServer) -> ServerLoad:
        """Return the load of a server; empty where nothing is known."""
        load = self.loads.get(server.instance)
        if load is None:
            load = self.loads[server.instance] = ServerLoad()
        return load

    def keep_only(self, instances: set[str]) -> None:
        """Drop what is known of servers that are gone and have no work of ours."""
        for instance in list(self.loads):
            if instance not in instances and not self.loads[instance].in_flight:
                del self.loads[instance]

    async def poll(
        self,
        client: httpx.AsyncClient,
        servers: Callable[[], Iterable[BackendServer]],
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        """Read the servers' reports until cancelled.

        Parameters
        ----------
        client : httpx.AsyncClient
            Makes the calls.
        servers : callable
            Returns the servers to ask in this round.
        interval_s : float
            Time between two rounds, in seconds.
        """
        while True:
            asked = list(servers())
            self.keep_only({server.instance for server in asked})
            async with trio.open_nursery() as nursery:
                for server in asked:
                    nursery.start_soon(self.read_report, client, server)
            await trio.sleep(interval_s)

    async def read_report(
        self, client: httpx.AsyncClient, server: BackendServer
    ) -> None:
        """Read one report; a server that does not answer keeps its last one."""
        with trio.move_on_after(POLL_TIMEOUT_S):
            try:
                response = await client.get(f"http://{server.address}/load")
                fields = response.json()
                self.of(server).report = LoadReport(
                    int(fields["running"]),
                    int(fields["waiting"]),
                    int(fields["slots"]),
                    float(fields["step_time_ms"]),
                    int(fields["free_kv_tokens"]),
                    trio.current_time(),
                )
            except (httpx.HTTPError, ValueError, TypeError, LookupError):
                return
