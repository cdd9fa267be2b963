"""Limits of the current configuration and nodes of each zone, for limit owners."""

from collections.abc import Callable

import trio

from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.limits.shares import LimitKey, ZoneMembers
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.values.peers import PeerRecord, PeerState
from rosemaryknot.version.tables import UNLIMITED, Limit

__all__ = ["LiveLimits"]

CACHE_TTL_S = 0.25


class LiveLimits:
    """Provides the limits and zone members of a running agent to limit owners.

    Parameters
    ----------
    holder : ConfigurationHolder
        Holder of the current configuration.
    peers : PeerSet
        Other nodes known to this node.
    is_confirmed_stopped : callable
        Returns whether the platform has confirmed that the node of a record is
        terminated.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        peers: PeerSet,
        is_confirmed_stopped: Callable[[PeerRecord], bool],
    ) -> None:
        self.holder = holder
        self.peers = peers
        self.is_confirmed_stopped = is_confirmed_stopped
        self.cached_members: dict[str, ZoneMembers] = {}
        self.cache_version = (-1, 0.0)

    def limit(self, key: LimitKey) -> Limit:
        """Return the limit for all zones together from the current configuration."""
        view = self.holder.view
        customer = None if view is None else view.customers.get(key.customer)
        return UNLIMITED if customer is None else customer.limit_for(key.service)

    def zones(self) -> list[str]:
        """Return the zones that share a limit.

        They are taken from the configuration. If a node counted the zones that it can
        reach, a node in a partitioned zone would grant the whole limit.
        """
        view = self.holder.view
        placements = {} if view is None else view.placements
        configured = {zone for zones in placements.values() for zone in zones}
        return sorted(configured or self.known_zones())

    def known_zones(self) -> set[str]:
        """Return the zones of all known nodes."""
        records = self.peers.table.records.values()
        return {self.peers.node.zone} | {record.zone for record in records}

    def members(self, zone: str) -> ZoneMembers:
        """Return the nodes of a zone.

        The result is cached for ``CACHE_TTL_S`` and until a node joins or leaves. With
        many nodes, computing it takes longer than all other work for one request for
        budget.
        """
        changes, cached_s = self.cache_version
        now_s = trio.current_time()
        if changes != self.peers.changes or now_s - cached_s > CACHE_TTL_S:
            self.cached_members.clear()
            self.cache_version = (self.peers.changes, now_s)
        if zone not in self.cached_members:
            self.cached_members[zone] = self.find_members(zone)
        return self.cached_members[zone]

    def find_members(self, zone: str) -> ZoneMembers:
        """Compute the live nodes of a zone and the number that may be running."""
        own = self.peers.node
        live = {node.name: node for node in self.peers.nodes() if node.zone == zone}
        if own.zone == zone:
            live[own.name] = own
        maybe_running = {
            record.name
            for record in self.peers.table.records.values()
            if record.zone == zone and self.may_be_running(record)
        }
        ordered = tuple(live[name] for name in sorted(live))
        return ZoneMembers(ordered, len(maybe_running | set(live)))

    def may_be_running(self, record: PeerRecord) -> bool:
        """Return whether a node may still grant budget, also if it is not reachable."""
        return record.state != PeerState.LEFT and not self.is_confirmed_stopped(record)
