"""Outlier detection: temporary ejection of backend servers that fail repeatedly."""

import math
from dataclasses import dataclass

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.values.nodes import BackendServer

__all__ = ["ServerHealth"]

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
MIN_USABLE_SHARE = 0.5
MAX_TRACKED = 4096

log = logger("health")
ejections = counter("server_ejections_total", "Backend servers ejected as outliers.")


@dataclass(slots=True)
class FailureRecord:
    """Failures and ejections of one server.

    Attributes
    ----------
    failures : int
        Consecutive failures.
    ejections : int
        Ejections since the last success.
    ejection_ends_s : float
        End of the ejection, in trio time.
    """

    failures: int = 0
    ejections: int = 0
    ejection_ends_s: float = -math.inf


class ServerHealth:
    """Ejection of servers after consecutive failures, each time for longer.

    Attributes
    ----------
    records : dict of str to FailureRecord
        Servers that failed since their last success, by instance.
    """

    def __init__(self) -> None:
        self.records: dict[str, FailureRecord] = {}

    def record_success(self, instance: str) -> None:
        """Record a request that the server answered."""
        self.records.pop(instance, None)

    def record_failure(self, instance: str) -> None:
        """Record a failed request, and eject the server at `FAILURES_TO_EJECT`."""
        while len(self.records) >= MAX_TRACKED:
            del self.records[next(iter(self.records))]
        record = self.records.setdefault(instance, FailureRecord())
        record.failures += 1
        if record.failures < FAILURES_TO_EJECT:
            return
        length_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.failures = 0
        record.ejections += 1
        record.ejection_ends_s = trio.current_time() + length_s
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
            Servers that are not ejected, but at least half of all. If every server
            fails, the cause is more likely the network or a fault common to all, and
            ejecting all servers would turn slow responses into none.
        """
        if not self.records:
            return servers
        now_s = trio.current_time()
        ends_s = {server.instance: self.ejected_until_s(server) for server in servers}
        usable = [server for server in servers if ends_s[server.instance] <= now_s]
        missing = math.ceil(MIN_USABLE_SHARE * len(servers)) - len(usable)
        if missing > 0:
            ejected = [server for server in servers if ends_s[server.instance] > now_s]
            ejected.sort(key=lambda server: ends_s[server.instance])
            usable += ejected[:missing]
        return usable

    def ejected_until_s(self, server: BackendServer) -> float:
        """Return when the server's ejection ends, in trio time."""
        record = self.records.get(server.instance)
        return -math.inf if record is None else record.ejection_ends_s
