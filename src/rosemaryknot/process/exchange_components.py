"""Components that gateways' reports to each other are built from and applied to."""

from collections import defaultdict
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.gateway_configurations import GatewayConfigurations
from rosemaryknot.process.gateway_quota import QuotaTracker
from rosemaryknot.process.gateway_state import GatewayState
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.store_watcher import StoreWatcher
from rosemaryknot.process.synchronized_clock import SynchronizedClock
from rosemaryknot.process.usage_tracker import UsageTracker
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.store_changes import ChangeSource

__all__ = ["Demand", "ExchangeComponents"]


@dataclass(slots=True)
class Demand:
    """Callers' demand by service, smoothed over a few seconds.

    Attributes
    ----------
    smoothing_s : float
        Smoothing time, in seconds.
    tokens : dict of str to float
        Prompt tokens per second that required prefill, by service.
    updated_s : float
        Time of the last decay.
    """

    smoothing_s: float = 3.0
    tokens: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    updated_s: float = 0.0

    def record(self, service: str, tokens: int) -> None:
        """Record the prefill tokens of a request."""
        self.decay()
        self.tokens[service] += tokens / self.smoothing_s

    def decay(self) -> None:
        """Decay the recorded demand to the current time."""
        now_s = trio.current_time()
        passed_s = now_s - self.updated_s
        self.updated_s = now_s
        factor = max(0.0, 1 - passed_s / self.smoothing_s)
        for service in self.tokens:
            self.tokens[service] *= factor


@dataclass(slots=True)
class ExchangeComponents:
    """Components that reports are built from and applied to.

    Attributes
    ----------
    node : Node
        This node.
    peers : PeerSet
        The other nodes.
    state : GatewayState
        Configuration and servers.
    quota : QuotaTracker
        Usage of customers' limits.
    usage : UsageTracker
        Requests of each customer by usage window.
    clock : SynchronizedClock
        Synchronized clock.
    watchers : dict of str to StoreWatcher
        Watchers of the store by kind of object: ``configuration`` and ``servers``.
    demand : Demand
        Demand of this node's callers.
    configurations : GatewayConfigurations
        Distributes versions of the configuration.
    store : ChangeSource
        The platform's store.
    """

    node: Node
    peers: PeerSet
    state: GatewayState
    quota: QuotaTracker
    usage: UsageTracker
    clock: SynchronizedClock
    watchers: dict[str, StoreWatcher]
    demand: Demand
    configurations: GatewayConfigurations
    store: ChangeSource
