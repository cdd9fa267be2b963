"""Which instances there are: the table, and starts that the list does not show yet."""

from dataclasses import dataclass

import trio

from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import InstanceKind, Phase, PlacedInstance

__all__ = ["Starts", "kind_of", "placed_instances"]

UNKNOWN_START_S = 15.0
START_TIMEOUT_S = 120.0


def kind_of(server: BackendServer) -> InstanceKind:
    """Return what kind of instance a server is."""
    return InstanceKind(server.zone, server.machine_class, server.reclaimable)


@dataclass(slots=True)
class StartedInstance:
    """A start that the instance list does not show yet.

    Attributes
    ----------
    kind : InstanceKind
        What was asked for.
    until_s : float
        Until when it counts, in trio time.
    """

    kind: InstanceKind
    until_s: float


class Starts:
    """Starts of this holder that the instance list does not show yet.

    The list lags. Without these, each look at it in that time would start the same
    missing instance once more.

    Attributes
    ----------
    by_name : dict of str to StartedInstance
        Starts whose answer gave a name.
    unknown : list of StartedInstance
        Starts whose answer was lost: they count until an instance of their kind
        shows up, or would have.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, StartedInstance] = {}
        self.unknown: list[StartedInstance] = []
        self.seen: set[str] = set()

    def note(self, name: str, kind: InstanceKind) -> None:
        """Count a start that was answered."""
        until_s = trio.current_time() + START_TIMEOUT_S
        self.by_name[name] = StartedInstance(kind, until_s)
        self.seen.add(name)

    def note_unknown(self, kind: InstanceKind) -> None:
        """Count a start that may have been done."""
        until_s = trio.current_time() + UNKNOWN_START_S
        self.unknown.append(StartedInstance(kind, until_s))

    def reconcile(self, servers: list[BackendServer]) -> None:
        """Drop the starts that the table shows, and those that never showed up."""
        now_s = trio.current_time()
        for server in servers:
            if server.address:
                self.by_name.pop(server.instance, None)
            if server.instance not in self.seen:
                self.drop_unknown(kind_of(server))
                if is_coming_up(server):
                    self.note(server.instance, kind_of(server))
        self.seen |= {server.instance for server in servers}
        for name, start in list(self.by_name.items()):
            if start.until_s <= now_s:
                del self.by_name[name]
        self.unknown = [start for start in self.unknown if start.until_s > now_s]

    def drop_unknown(self, kind: InstanceKind) -> None:
        """Take a new instance for the oldest start of its kind without an answer."""
        for start in self.unknown:
            if start.kind == kind:
                self.unknown.remove(start)
                return

    def failed(self, servers: list[BackendServer]) -> list[str]:
        """Return the instances that have not come up in time."""
        return [
            server.instance
            for server in servers
            if is_coming_up(server) and server.instance not in self.by_name
        ]

    def instances(self) -> list[PlacedInstance]:
        """Return the starts as instances that are starting."""
        named = [
            PlacedInstance(name, start.kind, Phase.STARTING)
            for name, start in self.by_name.items()
        ]
        unknown = [
            PlacedInstance(f"unknown-{number}", start.kind, Phase.STARTING)
            for number, start in enumerate(self.unknown)
        ]
        return named + unknown


def is_coming_up(server: BackendServer) -> bool:
    """Tell whether an instance is there and has no address yet."""
    return server.state == ServerState.LIVE and not server.address


def placed_instances(
    servers: list[BackendServer],
    starts: Starts,
    leaving: tuple[str, ...],
    drained: set[str],
) -> list[PlacedInstance]:
    """Return the instances of a service as placement counts them.

    Parameters
    ----------
    servers : list of BackendServer
        Those of the service in the table.
    starts : Starts
        What the table does not show yet.
    leaving : tuple of str
        Instances that a holder has decided to release.
    drained : set of str
        Those of them whose work has ended.

    Returns
    -------
    instances : list of PlacedInstance
        In order of name.
    """
    instances = starts.instances()
    for server in servers:
        name = server.instance
        if server.state == ServerState.TERMINATED:
            continue
        is_leaving = server.state == ServerState.LEAVING or name in leaving
        # One without an address never came up, or its start is still counted.
        if not is_leaving and not server.address:
            continue
        phase = Phase.LEAVING if is_leaving else Phase.LIVE
        instances.append(PlacedInstance(name, kind_of(server), phase, name in drained))
    return sorted(instances, key=lambda instance: instance.instance)
