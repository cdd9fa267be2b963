"""What a node remembers for a short time of the nodes that it could not reach."""

import trio

from rosemaryknot.values.nodes import Node

__all__ = ["ReachMemory"]

# How long a failure counts. Each call to a node out of reach costs several messages,
# and a node that is reached again is used by the next call after this time.
FAILURE_TTL_S = 0.5
# Failures that are remembered, of nodes, zones and routes each.
MAX_FAILURES = 4096


class Failures:
    """Subjects of recent failures, and until when these count."""

    def __init__(self) -> None:
        self.until_s: dict[object, float] = {}

    def record(self, subject: object) -> None:
        """Record a failure."""
        now_s = trio.current_time()
        if len(self.until_s) >= MAX_FAILURES:
            self.until_s = {s: at for s, at in self.until_s.items() if at > now_s}
        if len(self.until_s) < MAX_FAILURES:
            self.until_s[subject] = now_s + FAILURE_TTL_S

    def has(self, subject: object) -> bool:
        """Return whether a subject has failed recently."""
        return self.until_s.get(subject, 0.0) > trio.current_time()


class ReachMemory:
    """Nodes, zones and routes that failed recently; hints only.

    Attributes
    ----------
    nodes : Failures
        Names of nodes that could not be reached, or did not respond in time.
    zones : Failures
        Availability zones of which no node could be reached.
    routes : Failures
        Relays that could not reach a zone, each with the zone.
    """

    def __init__(self) -> None:
        self.nodes = Failures()
        self.zones = Failures()
        self.routes = Failures()

    def is_out_of_reach(self, node: Node) -> bool:
        """Return whether a node is believed to be out of reach."""
        return self.nodes.has(node.name) or self.zones.has(node.zone)
