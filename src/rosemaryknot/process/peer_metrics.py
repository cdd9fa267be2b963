"""Membership and the traffic of the links as metrics."""

from collections import defaultdict
from typing import TYPE_CHECKING

from rosemaryknot.connection.link_traffic import KindTraffic, Traffic
from rosemaryknot.process.metrics import counter, gauge

if TYPE_CHECKING:
    from rosemaryknot.process.peers import PeerSet

__all__ = ["PeerMetrics", "duty_of", "traffic_by_duty"]

DUTIES = {
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
}
FORWARDED = ("peer_forward", "peer_forwarded")

LIVE = gauge("peers_live", "Other nodes that seem to live.")
LINKED = gauge("peers_linked", "Other nodes with a usable link.")
BYTES = counter("link_bytes_total", "Bytes of message links by duty and direction.")
MESSAGES = counter("link_messages_total", "Messages of links by duty and direction.")
EVENTS = counter("peer_events_total", "Dials, refusals, suspicions and the like.")
QUEUED = gauge("link_queued_bytes", "Bytes that wait to be written to message links.")


def duty_of(kind: str) -> str:
    """Return the duty that a kind of message belongs to.

    Examples
    --------
    >>> duty_of("configuration_push")
    'configuration'
    >>> duty_of("beat")
    'heartbeat'
    >>> duty_of("gateway_state")
    'offers'
    >>> duty_of("peer_forward")
    'forwarding'
    """
    if kind in FORWARDED:
        return "forwarding"
    word = kind.partition("_")[0]
    return DUTIES.get(kind) or DUTIES.get(word, word or "unknown")


def by_duty(kinds: dict[str, KindTraffic]) -> dict[str, KindTraffic]:
    """Return the sums of the kinds of each duty."""
    sums: dict[str, KindTraffic] = defaultdict(KindTraffic)
    for kind, traffic in kinds.items():
        total = sums[duty_of(kind)]
        total.messages += traffic.messages
        total.bytes += traffic.bytes
    return sums


def traffic_by_duty(traffic: Traffic) -> dict[str, dict[str, dict[str, int]]]:
    """Return messages and bytes by direction and duty, as the status shows them."""
    directions = {"sent": traffic.sent, "received": traffic.received}
    return {
        direction: {
            duty: {"messages": total.messages, "bytes": total.bytes}
            for duty, total in sorted(by_duty(kinds).items())
        }
        for direction, kinds in directions.items()
    }


class PeerMetrics:
    """Brings the metrics of a peer set up to date.

    Parameters
    ----------
    peers : PeerSet
        What is counted.
    """

    def __init__(self, peers: "PeerSet") -> None:
        self.peers = peers
        self.reported: dict[tuple, int] = {}

    def update(self) -> None:
        """Add what was counted since the last time."""
        LIVE.set(len(self.peers.nodes()))
        LINKED.set(len(self.peers.linked()))
        QUEUED.set(self.peers.queued_bytes())
        for direction, duties in traffic_by_duty(self.peers.traffic).items():
            for duty, total in duties.items():
                labels = {"direction": direction, "duty": duty}
                self.add(BYTES, total["bytes"], labels)
                self.add(MESSAGES, total["messages"], labels)
        for event, count in self.events().items():
            self.add(EVENTS, count, {"event": event})

    def events(self) -> dict[str, int]:
        """Return the counts of all that is no message."""
        traffic = self.peers.traffic
        return dict(self.peers.counters) | {
            "unreadable": traffic.unreadable,
            "unsupported": traffic.unsupported,
            "passed_on": self.peers.forwarder.passed_on,
            "records_refused": self.peers.table.refused,
        }

    def add(self, metric: object, total: int, labels: dict[str, str]) -> None:
        """Add the difference to what was reported before."""
        key = (id(metric), *labels.values())
        metric.add(total - self.reported.get(key, 0), **labels)
        self.reported[key] = total
