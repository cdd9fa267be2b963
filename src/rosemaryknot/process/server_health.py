"""Which backend servers fail more than the others, and for how long to avoid them."""

import math
from dataclasses import dataclass

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.nodes import BackendServer

__all__ = ["ServerHealth"]

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
USABLE_FLOOR = 0.5
MAX_TRACKED = 4096

log = logger("health")
ejections = counter("server_ejections_total", "Backend servers ejected as outliers.")


@dataclass(slots=True)
class Record:
    """What is known of one server that failed lately.

    Attributes
    ----------
    failures : int
        Failures in a row.
    ejections : int
        Ejections since the last success.
    until_s : float
        End of the ejection, in trio time.
    """

    failures: int = 0
    ejections: int = 0
    until_s: float = -math.inf


class ServerHealth:
    """Ejects servers that fail several times in a row, each time for longer.

    Attributes
    ----------
    records : dict of str to Record
        Servers that failed since their last success, by instance.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}

    def note_success(self, instance: str) -> None:
        """Count a request that the server answered."""
        self.records.pop(instance, None)

    def note_failure(self, instance: str) -> None:
        """Count a request that the server failed, and eject it if it was the last."""
        while len(self.records) >= MAX_TRACKED:
            del self.records[next(iter(self.records))]
        record = self.records.setdefault(instance, Record())
        record.failures += 1
        if record.failures < FAILURES_TO_EJECT:
            return
        length_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.failures = 0
        record.ejections += 1
        record.until_s = trio.current_time() + length_s
        ejections.add()
        log.warning("ejected a server", instance=instance, seconds=length_s)

    def usable(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers that may get requests.

        Parameters
        ----------
        servers : list of BackendServer
            All candidates of a service.

        Returns
        -------
        usable : list of BackendServer
            Those that are not ejected; at least half of all. When every server
            fails the fault is rather between, or theirs in common, and ejecting all
            would turn slow answers into none.
        """
        if not self.records:
            return servers
        now = trio.current_time()
        ends = {server.instance: self.ejected_until_s(server) for server in servers}
        usable = [server for server in servers if ends[server.instance] <= now]
        missing = math.ceil(USABLE_FLOOR * len(servers)) - len(usable)
        if missing > 0:
            ejected = [server for server in servers if ends[server.instance] > now]
            ejected.sort(key=lambda server: ends[server.instance])
            usable += ejected[:missing]
        return usable

    def ejected_until_s(self, server: BackendServer) -> float:
        """Return when the server's ejection ends, in trio time."""
        record = self.records.get(server.instance)
        return -math.inf if record is None else record.until_s
