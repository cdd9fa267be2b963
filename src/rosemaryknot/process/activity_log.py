"""What a node exchanges with others, and how late it is, in logs and metrics.

Tells a relay that is too busy from one that is cut off: the first receives many
messages and is late, the second receives none.
"""

from typing import Any

import trio

from rosemaryknot.process.hub_exchange import HubExchange
from rosemaryknot.process.logs import logger
from rosemaryknot.process.loop_delay import LoopDelay
from rosemaryknot.process.metrics import gauge
from rosemaryknot.process.peer_metrics import traffic_by_subsystem
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.store_watcher import StoreWatcher

__all__ = ["ActivityLog"]

INTERVAL_S = 1.0
# A node that receives more messages per second, or whose tasks are delayed longer, logs
# its activity.
BUSY_MESSAGES_PER_S = 400.0
BUSY_DELAY_S = 0.1
# Time between two lines, which bounds their volume.
MIN_LOG_INTERVAL_S = 2.0
# Subsystems with the most messages that a line names.
MAX_NAMED = 4

DELAY = gauge("task_delay_seconds", "Delay that most of the last timers exceeded.")
KNOWN_AGE = gauge("store_known_age_seconds", "Time since the last answer or change.")
HUB_AGE = gauge("hub_report_age_seconds", "Age of the own report in the aggregates.")

log = logger("activity")

Totals = dict[str, dict[str, int]]


class ActivityLog:
    """Logs what a busy node receives and sends.

    Parameters
    ----------
    peers : PeerSet
        The other nodes.
    hubs : HubExchange
        The hub of this node.
    watchers : dict of str to StoreWatcher
        Watchers of the store by kind of object.
    loop_delay : LoopDelay
        Delay of this node's tasks.

    Attributes
    ----------
    last_totals : dict
        Messages by direction and subsystem at the last sample.
    last_logged_s : float
        When the last line was logged, in trio time.
    was_late : bool
        Whether the hub was late at the last sample.
    """

    def __init__(
        self,
        peers: PeerSet,
        hubs: HubExchange,
        watchers: dict[str, StoreWatcher],
        loop_delay: LoopDelay,
    ) -> None:
        self.peers = peers
        self.hubs = hubs
        self.watchers = watchers
        self.loop_delay = loop_delay
        self.last_totals = self.totals()
        self.last_logged_s = float("-inf")
        self.was_late = False

    async def run(self) -> None:
        """Sample the activity until cancelled."""
        started_s = trio.current_time()
        while True:
            await trio.sleep(INTERVAL_S)
            now_s = trio.current_time()
            self.sample(now_s - started_s, now_s)
            started_s = now_s

    def sample(self, elapsed_s: float, now_s: float) -> None:
        """Update the metrics, and log the activity of a busy node."""
        totals = self.totals()
        rates = {
            direction: rates_since(self.last_totals[direction], totals[direction])
            for direction in totals
        }
        self.last_totals = totals
        self.update_metrics(now_s)
        self.log_late_hub()
        received = sum(rates["received"].values()) / elapsed_s
        delay_s = self.loop_delay.delay_s
        is_busy = received > BUSY_MESSAGES_PER_S or delay_s > BUSY_DELAY_S
        if is_busy and now_s - self.last_logged_s >= MIN_LOG_INTERVAL_S:
            self.last_logged_s = now_s
            log.warning(
                "busy node",
                delay_s=round(delay_s, 3),
                elapsed_s=round(elapsed_s, 3),
                received=most_of(rates["received"]),
                sent=most_of(rates["sent"]),
                forwards_dropped=self.peers.forwarder.dropped,
                forwards_skipped=self.peers.forwarder.skipped,
                queued_bytes=self.peers.queued_bytes(),
                is_relay=self.peers.forwarder.is_relay(),
                **self.knowledge(now_s),
            )

    def totals(self) -> Totals:
        """Return the messages so far by direction and subsystem."""
        return {
            direction: {name: total["messages"] for name, total in by_name.items()}
            for direction, by_name in traffic_by_subsystem(self.peers.traffic).items()
        }

    def knowledge(self, now_s: float) -> dict[str, Any]:
        """Return how old this node's knowledge is, in seconds."""
        ages = {
            f"{kind}_known_ago_s": round(now_s - watcher.known_at_s, 3)
            for kind, watcher in self.watchers.items()
            if watcher.known_at_s > float("-inf")
        }
        if self.hubs.is_enabled:
            ages["hub"] = self.hubs.target()
            ages["hub_age_s"] = round(self.hubs.age_s(), 3)
        return ages

    def update_metrics(self, now_s: float) -> None:
        """Set the gauges."""
        DELAY.set(self.loop_delay.delay_s)
        for kind, watcher in self.watchers.items():
            if watcher.known_at_s > float("-inf"):
                KNOWN_AGE.set(now_s - watcher.known_at_s, kind=kind)
        if self.hubs.is_enabled:
            HUB_AGE.set(self.hubs.age_s())

    def log_late_hub(self) -> None:
        """Log when the hub becomes late, and when it no longer is."""
        is_late = self.hubs.is_enabled and self.hubs.is_late()
        if is_late != self.was_late:
            self.was_late = is_late
            text = "hub late; watching the store" if is_late else "hub in time again"
            log.info(text, hub=self.hubs.target(), age_s=round(self.hubs.age_s(), 3))


def rates_since(before: dict[str, int], now: dict[str, int]) -> dict[str, int]:
    """Return how much each total has increased."""
    return {name: count - before.get(name, 0) for name, count in now.items()}


def most_of(counts: dict[str, int]) -> dict[str, int]:
    """Return the largest counts.

    Examples
    --------
    >>> most_of({"a": 1, "b": 5, "c": 0})
    {'b': 5, 'a': 1}
    """
    ranked = sorted(counts.items(), key=lambda item: -item[1])
    return {name: count for name, count in ranked[:MAX_NAMED] if count}
