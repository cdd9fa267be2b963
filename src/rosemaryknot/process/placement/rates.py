"""What a holder measures of the kinds of instance: prices, reclaims, refusals."""

import trio

from rosemaryknot.process.placement.survey import kind_of
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.placement import InstanceKind, KindFacts
from rosemaryknot.values.platform import Price

__all__ = ["KindRates"]

FIRST_BACKOFF_S = 5.0
LONGEST_BACKOFF_S = 300.0
HALF_LIFE_S = 1800.0
PRIOR_HOURS = 1.0
PRIOR_RECLAIMS = 0.5
SECONDS_PER_HOUR = 3600.0


class KindRates:
    """Prices, reclaim rates and refusals by kind.

    A new holder starts without a memory; the prior counts like one hour of one
    instance, so that a single early reclaim does not condemn a kind.

    Attributes
    ----------
    prices : dict of InstanceKind to float
        Last known prices of an hour.
    refusals_seen : int
        Refused starts of all kinds so far.
    """

    def __init__(self) -> None:
        self.refusals_seen = 0
        self.prices: dict[InstanceKind, float] = {}
        self.hours: dict[InstanceKind, float] = {}
        self.reclaims: dict[InstanceKind, float] = {}
        self.refusals: dict[tuple[str, str], int] = {}
        self.refused_until_s: dict[tuple[str, str], float] = {}
        self.counted: set[str] = set()
        self.counted_s = trio.current_time()

    def take_prices(self, prices: list[Price]) -> None:
        """Take over the current prices."""
        for price in prices:
            kind = InstanceKind(price.zone, price.machine_class, price.reclaimable)
            self.prices[kind] = price.price_per_hour

    def observe(self, servers: list[BackendServer], drained: tuple[str, ...]) -> None:
        """Count instance hours and reclaims since the last call.

        Parameters
        ----------
        servers : list of BackendServer
            Those of the service.
        drained : tuple of str
            Instances that leave because a holder wants it.
        """
        now_s = trio.current_time()
        past_s = now_s - self.counted_s
        self.counted_s = now_s
        fade = 0.5 ** (past_s / HALF_LIFE_S)
        for table in (self.hours, self.reclaims):
            for kind in table:
                table[kind] *= fade
        for server in servers:
            if server.reclaimable:
                self.count(server, past_s / SECONDS_PER_HOUR, drained)
        self.counted &= {server.instance for server in servers}

    def count(
        self, server: BackendServer, hours: float, drained: tuple[str, ...]
    ) -> None:
        """Count one instance's time, or its reclaim once."""
        kind = kind_of(server)
        name = server.instance
        if server.state == ServerState.LIVE:
            self.hours[kind] = self.hours.get(kind, 0.0) + hours
        elif name not in drained and name not in self.counted:
            self.counted.add(name)
            self.reclaims[kind] = self.reclaims.get(kind, 0.0) + 1

    def reclaims_per_hour(self, kind: InstanceKind) -> float:
        """Return the measured rate for each instance and hour."""
        if not kind.reclaimable:
            return 0.0
        reclaims = PRIOR_RECLAIMS + self.reclaims.get(kind, 0.0)
        return reclaims / (PRIOR_HOURS + self.hours.get(kind, 0.0))

    def note_start(self, kind: InstanceKind) -> None:
        """Forget the refusals of a machine class in a zone that gives instances."""
        self.refusals.pop((kind.zone, kind.machine_class), None)

    def note_refusal(self, kind: InstanceKind) -> float:
        """Ask for a machine class in a zone later; return how much later, in seconds.

        A cloud without capacity refuses each try, and counts it as a call. The
        pause grows for that zone and class alone: the others may have capacity.
        """
        self.refusals_seen += 1
        key = (kind.zone, kind.machine_class)
        refusals = self.refusals.get(key, 0)
        self.refusals[key] = refusals + 1
        pause_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(refusals, 30))
        self.refused_until_s[key] = trio.current_time() + pause_s
        return pause_s

    def facts(self) -> dict[InstanceKind, KindFacts]:
        """Return all that is known, as a policy takes it."""
        return {kind: self.facts_of(kind) for kind in self.prices}

    def facts_of(self, kind: InstanceKind) -> KindFacts:
        """Return what is known of one kind."""
        key = (kind.zone, kind.machine_class)
        return KindFacts(
            self.prices[kind],
            self.reclaims_per_hour(kind),
            self.refused_until_s.get(key, float("-inf")),
            self.refusals.get(key, 0),
        )
