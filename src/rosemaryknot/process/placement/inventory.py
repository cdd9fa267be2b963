"""Inventory of a service's instances: listed ones and starts not listed yet."""

from dataclasses import dataclass

import trio

from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import InstanceKind, Phase, PlacedInstance

__all__ = ["UnlistedStarts", "kind_of", "placed_instances"]

UNCONFIRMED_START_TIMEOUT_S = 15.0
START_TIMEOUT_S = 120.0


def kind_of(server: BackendServer) -> InstanceKind:
    """Return the kind of instance that a server runs on."""
    return InstanceKind(server.zone, server.machine_class, server.reclaimable)


@dataclass(slots=True)
class UnlistedStart:
    """A requested start that does not appear in the instance list yet.

    Attributes
    ----------
    kind : InstanceKind
        Requested kind.
    deadline_s : float
        Time at which the start is no longer counted, in trio time.
    """

    kind: InstanceKind
    deadline_s: float


class UnlistedStarts:
    """Starts by this lease holder that do not appear in the instance list yet.

    The instance list lags. Without this record, each evaluation during the lag would
    start the same missing instance again.

    Attributes
    ----------
    by_name : dict of str to UnlistedStart
        Starts whose instance name is known.
    unconfirmed : list of UnlistedStart
        Starts whose response was lost. Each one is counted until a new instance of
        its kind is listed or its deadline passes.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, UnlistedStart] = {}
        self.unconfirmed: list[UnlistedStart] = []
        self.seen_instances: set[str] = set()

    def record(self, name: str, kind: InstanceKind) -> None:
        """Record a start whose instance name is known."""
        deadline_s = trio.current_time() + START_TIMEOUT_S
        self.by_name[name] = UnlistedStart(kind, deadline_s)
        self.seen_instances.add(name)

    def record_unconfirmed(self, kind: InstanceKind) -> None:
        """Record a start that may have taken effect."""
        deadline_s = trio.current_time() + UNCONFIRMED_START_TIMEOUT_S
        self.unconfirmed.append(UnlistedStart(kind, deadline_s))

    def reconcile(self, servers: list[BackendServer]) -> None:
        """Remove starts that are now listed with an address, and expired ones."""
        now_s = trio.current_time()
        for server in servers:
            if server.address:
                self.by_name.pop(server.instance, None)
            if server.instance not in self.seen_instances:
                self.match_unconfirmed(kind_of(server))
                if is_starting(server):
                    self.record(server.instance, kind_of(server))
        self.seen_instances |= {server.instance for server in servers}
        for name, start in list(self.by_name.items()):
            if start.deadline_s <= now_s:
                del self.by_name[name]
        self.unconfirmed = [
            start for start in self.unconfirmed if start.deadline_s > now_s
        ]

    def match_unconfirmed(self, kind: InstanceKind) -> None:
        """Attribute a new instance to the oldest unconfirmed start of its kind."""
        for start in self.unconfirmed:
            if start.kind == kind:
                self.unconfirmed.remove(start)
                return

    def timed_out_instances(self, servers: list[BackendServer]) -> list[str]:
        """Return the instances that did not become ready before their deadline."""
        return [
            server.instance
            for server in servers
            if is_starting(server) and server.instance not in self.by_name
        ]

    def instances(self) -> list[PlacedInstance]:
        """Return the unlisted starts as instances in the starting phase."""
        named = [
            PlacedInstance(name, start.kind, Phase.STARTING)
            for name, start in self.by_name.items()
        ]
        unconfirmed = [
            PlacedInstance(f"unknown-{number}", start.kind, Phase.STARTING)
            for number, start in enumerate(self.unconfirmed)
        ]
        return named + unconfirmed


def is_starting(server: BackendServer) -> bool:
    """Return whether an instance is live but has no address yet."""
    return server.state == ServerState.LIVE and not server.address


def placed_instances(
    servers: list[BackendServer],
    starts: UnlistedStarts,
    leaving: tuple[str, ...],
    drained: set[str],
) -> list[PlacedInstance]:
    """Return the instances of a service for a placement decision.

    Parameters
    ----------
    servers : list of BackendServer
        Backend servers of the service in the server table.
    starts : UnlistedStarts
        Starts that are not listed yet.
    leaving : tuple of str
        Instances that a lease holder has decided to release.
    drained : set of str
        Subset of ``leaving`` that has no requests left.

    Returns
    -------
    instances : list of PlacedInstance
        Instances sorted by name.
    """
    instances = starts.instances()
    for server in servers:
        name = server.instance
        if server.state == ServerState.TERMINATED:
            continue
        is_leaving = server.state == ServerState.LEAVING or name in leaving
        # A server without an address is either counted in `starts` or has timed out.
        if not is_leaving and not server.address:
            continue
        phase = Phase.LEAVING if is_leaving else Phase.LIVE
        instances.append(PlacedInstance(name, kind_of(server), phase, name in drained))
    return sorted(instances, key=lambda instance: instance.instance)
