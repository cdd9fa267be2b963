"""What gateways' reports to each other are made from and taken into."""

from collections import defaultdict
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.gateway_configurations import GatewayConfigurations
from rosemaryknot.process.gateway_quota import QuotaBook
from rosemaryknot.process.gateway_state import GatewayState
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.store_follower import StoreFollower
from rosemaryknot.process.true_time import TrueTime
from rosemaryknot.process.usage_book import UsageBook
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.store_changes import ChangeSource

__all__ = ["Demand", "ExchangeParts"]


@dataclass(slots=True)
class Demand:
    """Work that callers bring, by service, smoothed over some seconds.

    Attributes
    ----------
    tokens : dict of str to float
        Prompt tokens that had to be read, in a second.
    """

    smoothing_s: float = 3.0
    tokens: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    at_s: float = 0.0

    def note(self, service: str, tokens: int) -> None:
        """Count a request's work."""
        self.decay()
        self.tokens[service] += tokens / self.smoothing_s

    def decay(self) -> None:
        """Let what was counted fade."""
        now_s = trio.current_time()
        passed_s = now_s - self.at_s
        self.at_s = now_s
        factor = max(0.0, 1 - passed_s / self.smoothing_s)
        for service in self.tokens:
            self.tokens[service] *= factor


@dataclass(slots=True)
class ExchangeParts:
    """What reports are made from and taken into.

    Attributes
    ----------
    node : Node
        This node.
    peers : PeerSet
        The others.
    state : GatewayState
        Configuration and servers.
    quota : QuotaBook
        Customers' limits.
    usage : UsageBook
        Usage by window.
    clock : TrueTime
        The agreed time.
    followers : dict of str to StoreFollower
        By kind; ``configuration`` and ``servers``.
    demand : Demand
        What this node's callers ask for.
    configurations : GatewayConfigurations
        Tells and takes versions of the configuration.
    store : ChangeSource
        The store.
    """

    node: Node
    peers: PeerSet
    state: GatewayState
    quota: QuotaBook
    usage: UsageBook
    clock: TrueTime
    followers: dict[str, StoreFollower]
    demand: Demand
    configurations: GatewayConfigurations
    store: ChangeSource
