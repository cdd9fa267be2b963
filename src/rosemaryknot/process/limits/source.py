"""Limits of the configuration in force, and members by the peers."""

from collections.abc import Callable

import trio

from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.limits.shares import LimitKey, ZoneMembers
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.peers import PeerRecord, PeerState
from rosemaryknot.version.tables import UNLIMITED, Limit

__all__ = ["LiveLimits"]

KEPT_S = 0.25


class LiveLimits:
    """What the owners of limits need of a running agent.

    Parameters
    ----------
    holder : ConfigurationHolder
        Configuration in force.
    peers : PeerSet
        The other nodes.
    has_ended : callable
        Tells of a node's record whether the platform has confirmed its end.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        peers: PeerSet,
        has_ended: Callable[[PeerRecord], bool],
    ) -> None:
        self.holder = holder
        self.peers = peers
        self.has_ended = has_ended
        self.kept: dict[str, ZoneMembers] = {}
        self.kept_as_of = (-1, 0.0)

    def limit(self, key: LimitKey) -> Limit:
        """Return the whole limit by the configuration in force."""
        view = self.holder.view
        customer = None if view is None else view.customers.get(key.customer)
        return UNLIMITED if customer is None else customer.limit_for(key.service)

    def zones(self) -> list[str]:
        """Return the zones among which a limit is shared.

        They come from the configuration, since a node in a zone that is cut off
        would take the whole limit for its own if it counted the zones it sees.
        """
        view = self.holder.view
        placements = {} if view is None else view.placements
        placed = {zone for zones in placements.values() for zone in zones}
        return sorted(placed or self.known_zones())

    def known_zones(self) -> set[str]:
        """Return the zones of all nodes that are known."""
        records = self.peers.table.records.values()
        return {self.peers.node.zone} | {record.zone for record in records}

    def members(self, zone: str) -> ZoneMembers:
        """Return our nodes of a zone.

        They are worked out anew a few times a second, and when a node comes or goes:
        with many nodes it would take longer than all the rest of an ask.
        """
        changes, kept_s = self.kept_as_of
        now_s = trio.current_time()
        if changes != self.peers.changes or now_s - kept_s > KEPT_S:
            self.kept.clear()
            self.kept_as_of = (self.peers.changes, now_s)
        if zone not in self.kept:
            self.kept[zone] = self.find_members(zone)
        return self.kept[zone]

    def find_members(self, zone: str) -> ZoneMembers:
        """Work out our nodes of a zone."""
        own = self.peers.node
        live = {node.name: node for node in self.peers.nodes() if node.zone == zone}
        if own.zone == zone:
            live[own.name] = own
        known = {
            record.name
            for record in self.peers.table.records.values()
            if record.zone == zone and self.may_live(record)
        }
        ordered = tuple(live[name] for name in sorted(live))
        return ZoneMembers(ordered, len(known | set(live)))

    def may_live(self, record: PeerRecord) -> bool:
        """Tell whether a node that is not seen may still grant."""
        return record.state != PeerState.LEFT and not self.has_ended(record)
