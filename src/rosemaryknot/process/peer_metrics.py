"""Metrics of the cluster membership and of link traffic."""

from collections import defaultdict
from typing import TYPE_CHECKING

from rosemaryknot.connection.link_traffic import KindTraffic, Traffic
from rosemaryknot.process.metrics import counter, gauge

if TYPE_CHECKING:
    from rosemaryknot.process.peers import PeerSet

__all__ = ["PeerMetrics", "kind_subsystem", "traffic_by_subsystem"]

SUBSYSTEM_BY_KIND = {
    "beat": "heartbeat",
    "peer": "membership",
    "configuration": "configuration",
    "servers": "servers",
    "leaving": "servers",
    "claim": "claims",
    "shard": "claims",
    "standby": "standby",
    "budget": "limits",
    "decisions": "operators",
    "drain": "operators",
    "duty": "reports",
    "gateway": "reports",
    "gateway_state": "offers",
    "hub": "reports",
    "store": "changes",
    "crash": "notices",
    "notice": "notices",
    "server_drain_notice": "notices",
    "server_limit_notice": "notices",
}
FORWARDED = ("peer_forward", "peer_forwarded")

LIVE = gauge("peers_live", "Other nodes that seem to live.")
LINKED = gauge("peers_linked", "Other nodes with a usable link.")
BYTES = counter("link_bytes_total", "Bytes of message links by duty and direction.")
MESSAGES = counter("link_messages_total", "Messages of links by duty and direction.")
EVENTS = counter("peer_events_total", "Dials, refusals, suspicions and the like.")
QUEUED = gauge("link_queued_bytes", "Bytes that wait to be written to message links.")


def kind_subsystem(kind: str) -> str:
    """Return the ``duty`` label, the subsystem that a message kind belongs to.

    Examples
    --------
    >>> kind_subsystem("configuration_push")
    'configuration'
    >>> kind_subsystem("beat")
    'heartbeat'
    >>> kind_subsystem("gateway_state")
    'offers'
    >>> kind_subsystem("peer_forward")
    'forwarding'
    """
    if kind in FORWARDED:
        return "forwarding"
    prefix = kind.partition("_")[0]
    return SUBSYSTEM_BY_KIND.get(kind) or SUBSYSTEM_BY_KIND.get(
        prefix, prefix or "unknown"
    )


def totals_by_subsystem(kinds: dict[str, KindTraffic]) -> dict[str, KindTraffic]:
    """Return the total traffic of each subsystem."""
    sums: dict[str, KindTraffic] = defaultdict(KindTraffic)
    for kind, traffic in kinds.items():
        total = sums[kind_subsystem(kind)]
        total.messages += traffic.messages
        total.bytes += traffic.bytes
    return sums


def traffic_by_subsystem(traffic: Traffic) -> dict[str, dict[str, dict[str, int]]]:
    """Return messages and bytes by direction and subsystem for the status call."""
    directions = {"sent": traffic.sent, "received": traffic.received}
    return {
        direction: {
            duty: {"messages": total.messages, "bytes": total.bytes}
            for duty, total in sorted(totals_by_subsystem(kinds).items())
        }
        for direction, kinds in directions.items()
    }


class PeerMetrics:
    """Exports the counters of a peer set as metrics.

    Parameters
    ----------
    peers : PeerSet
        Source of the counters.
    """

    def __init__(self, peers: "PeerSet") -> None:
        self.peers = peers
        self.reported: dict[tuple, int] = {}

    def update(self) -> None:
        """Add the increments since the previous update."""
        LIVE.set(len(self.peers.nodes()))
        LINKED.set(len(self.peers.linked()))
        QUEUED.set(self.peers.queued_bytes())
        for direction, duties in traffic_by_subsystem(self.peers.traffic).items():
            for duty, total in duties.items():
                labels = {"direction": direction, "duty": duty}
                self.add(BYTES, total["bytes"], labels)
                self.add(MESSAGES, total["messages"], labels)
        for event, count in self.events().items():
            self.add(EVENTS, count, {"event": event})

    def events(self) -> dict[str, int]:
        """Return the event counters, which cover everything but messages."""
        traffic = self.peers.traffic
        return dict(self.peers.counters) | {
            "unreadable": traffic.unreadable,
            "unsupported": traffic.unsupported,
            "passed_on": self.peers.forwarder.passed_on,
            "forwards_dropped": self.peers.forwarder.dropped,
            "forwards_skipped": self.peers.forwarder.skipped,
            "records_refused": self.peers.table.refused,
        }

    def add(self, metric: object, total: int, labels: dict[str, str]) -> None:
        """Add the difference between a total and its last exported value."""
        key = (id(metric), *labels.values())
        metric.add(total - self.reported.get(key, 0), **labels)
        self.reported[key] = total
