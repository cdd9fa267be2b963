"""Prices, reclaim rates and start refusals by kind of instance."""

import trio

from rosemaryknot.process.placement.inventory import kind_of
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import InstanceKind, KindFacts
from rosemaryknot.values.platform import Price

__all__ = ["KindRates"]

INITIAL_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
HALF_LIFE_S = 1800.0
PRIOR_HOURS = 1.0
PRIOR_RECLAIMS = 0.5
SECONDS_PER_HOUR = 3600.0


class KindRates:
    """Prices, reclaim rates and start refusals by kind of instance.

    A new lease holder starts without history. The prior has the weight of one hour
    of one instance, so a single early reclaim does not exclude a kind.

    Attributes
    ----------
    prices : dict of InstanceKind to float
        Last known price per hour.
    refusals_seen : int
        Total number of refused starts.
    """

    def __init__(self) -> None:
        self.refusals_seen = 0
        self.prices: dict[InstanceKind, float] = {}
        self.instance_hours: dict[InstanceKind, float] = {}
        self.reclaims: dict[InstanceKind, float] = {}
        self.refusals: dict[tuple[str, str], int] = {}
        self.refused_until_s: dict[tuple[str, str], float] = {}
        self.counted_reclaims: set[str] = set()
        self.observed_s = trio.current_time()

    def apply_prices(self, prices: list[Price]) -> None:
        """Apply the current prices."""
        for price in prices:
            kind = InstanceKind(price.zone, price.machine_class, price.reclaimable)
            self.prices[kind] = price.price_per_hour

    def observe(self, servers: list[BackendServer], drained: tuple[str, ...]) -> None:
        """Count instance hours and reclaims since the last call.

        Parameters
        ----------
        servers : list of BackendServer
            Backend servers of the service.
        drained : tuple of str
            Instances being removed by a decision of a lease holder. These are not
            counted as reclaimed.
        """
        now_s = trio.current_time()
        elapsed_s = now_s - self.observed_s
        self.observed_s = now_s
        decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
        for table in (self.instance_hours, self.reclaims):
            for kind in table:
                table[kind] *= decay
        for server in servers:
            if server.reclaimable:
                self.observe_server(server, elapsed_s / SECONDS_PER_HOUR, drained)
        self.counted_reclaims &= {server.instance for server in servers}

    def observe_server(
        self, server: BackendServer, instance_hours: float, drained: tuple[str, ...]
    ) -> None:
        """Count the running time of a live instance, or its reclaim once."""
        kind = kind_of(server)
        name = server.instance
        if server.state == ServerState.LIVE:
            self.instance_hours[kind] = (
                self.instance_hours.get(kind, 0.0) + instance_hours
            )
        elif name not in drained and name not in self.counted_reclaims:
            self.counted_reclaims.add(name)
            self.reclaims[kind] = self.reclaims.get(kind, 0.0) + 1

    def reclaims_per_hour(self, kind: InstanceKind) -> float:
        """Return the measured number of reclaims per instance and hour."""
        if not kind.reclaimable:
            return 0.0
        reclaims = PRIOR_RECLAIMS + self.reclaims.get(kind, 0.0)
        return reclaims / (PRIOR_HOURS + self.instance_hours.get(kind, 0.0))

    def record_start(self, kind: InstanceKind) -> None:
        """Reset the refusals of a machine class in a zone after a successful start."""
        self.refusals.pop((kind.zone, kind.machine_class), None)

    def record_refusal(self, kind: InstanceKind) -> float:
        """Record a refused start and return the backoff in seconds.

        A cloud without capacity refuses each attempt and counts it as a call. The
        backoff grows only for this zone and machine class, because others may have
        capacity.
        """
        self.refusals_seen += 1
        key = (kind.zone, kind.machine_class)
        refusals = self.refusals.get(key, 0)
        self.refusals[key] = refusals + 1
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(refusals, 30))
        self.refused_until_s[key] = trio.current_time() + backoff_s
        return backoff_s

    def facts(self) -> dict[InstanceKind, KindFacts]:
        """Return the facts of all kinds with a price, as input for a policy."""
        return {kind: self.facts_of(kind) for kind in self.prices}

    def facts_of(self, kind: InstanceKind) -> KindFacts:
        """Return the facts of one kind."""
        key = (kind.zone, kind.machine_class)
        return KindFacts(
            self.prices[kind],
            self.reclaims_per_hour(kind),
            self.refused_until_s.get(key, float("-inf")),
            self.refusals.get(key, 0),
        )
