"""Usage of one customer's limit by several gateways. This module does no I/O.

Load pattern: a network partition separates a zone while a customer requests many times
its limit. Neither side receives the other's reports, and each continues to serve its
callers. Until the partition heals, each side estimates the usage of the other one from
the shares of demand that were reported last: for each unit that it acquires itself, it
also counts the units that the other side acquires at these shares. Both sides together
therefore stay within the limit, however much the demand grows during the partition.
"""

from dataclasses import dataclass, field

__all__ = ["SOURCE_EXPIRY_S", "SOURCE_SILENT_S", "LimitUsage", "Source"]

# A source without a report for this long is silent and is assumed to continue acquiring
# units. Four report intervals.
SOURCE_SILENT_S = 1.0
# A source without a report for this long is assumed to have stopped.
SOURCE_EXPIRY_S = 20.0
# Part of the limit that is divided by the number of gateways instead of by demand, so
# that each side of a network partition has a share: callers may move to another zone
# during the partition.
EVEN_SHARE = 0.2


@dataclass(slots=True)
class Source:
    """Source of usage reports: a single gateway, or all gateways behind one hub.

    Attributes
    ----------
    incarnation : int
        Incarnation of the source; totals restart from zero with each one.
    total : float
        Units acquired, as last reported.
    demand : float
        Units requested per second.
    last_report_s : float
        Time of the last report.
    nodes : int
        Number of gateways that the source represents.
    share : float
        Share of the limit, computed from the demand at the last report.
    observed_at_report : float
        Units that all reporting sources had acquired at the time of the last report.
    estimated_units : float
        Units counted for the source by estimate since its last report.
    """

    incarnation: int
    total: float
    demand: float
    last_report_s: float
    nodes: int = 1
    share: float = 0.0
    observed_at_report: float = 0.0
    estimated_units: float = 0.0

    def is_silent(self, now_s: float) -> bool:
        """Return whether the source may still acquire units although it is silent."""
        return SOURCE_SILENT_S < now_s - self.last_report_s < SOURCE_EXPIRY_S


@dataclass(slots=True)
class LimitUsage:
    """Usage of one customer's limit, by source.

    Attributes
    ----------
    own_nodes : int
        1 on a gateway that acquires units itself, 0 on a hub.
    own_demand : float
        Units requested per second at this gateway.
    sources : dict of str to Source
        Sources by name.
    observed_units : float
        Units reported by sources since the start, plus units acquired locally.
    demand : float
        Units requested per second at all sources.
    nodes : int
        Number of gateways that the sources represent.

    Examples
    --------
    Two hubs have equal demand. After one of them becomes silent, the units that the
    other one acquires are counted a second time.

    >>> usage = LimitUsage()
    >>> usage.record("a", 1, 10.0, 5.0, 0.0), usage.record("b", 1, 10.0, 5.0, 0.0)
    (10.0, 10.0)
    >>> usage.record("a", 1, 30.0, 5.0, 2.0), usage.estimate_silent(2.0)
    (20.0, 20.0)
    >>> usage.record("b", 1, 45.0, 5.0, 2.5)
    15.0
    """

    own_nodes: int = 0
    own_demand: float = 0.0
    sources: dict[str, Source] = field(default_factory=dict)
    observed_units: float = 0.0
    demand: float = 0.0
    nodes: int = 0

    def record(
        self,
        name: str,
        incarnation: int,
        total: float,
        demand: float,
        now_s: float,
        nodes: int = 1,
        seen: float = 0.0,
    ) -> float:
        """Apply a source's report.

        Parameters
        ----------
        seen : float
            Units of the total that are counted already; used only for a new source or
            a new incarnation of a known one.

        Returns
        -------
        units : float
            Units to count in addition to those counted before.
        """
        source = self.sources.get(name)
        if source is None or source.incarnation != incarnation:
            self.remove(name)
            source = self.sources[name] = Source(incarnation, seen, 0.0, now_s, 0)
        acquired = max(0.0, total - source.total)
        counted = max(0.0, acquired - source.estimated_units)
        self.demand += demand - source.demand
        self.nodes += nodes - source.nodes
        self.observed_units += acquired
        source.total = max(source.total, total)
        source.demand = demand
        source.nodes = nodes
        source.last_report_s = now_s
        source.observed_at_report = self.observed_units
        source.estimated_units = 0.0
        source.share = self.share(source)
        return counted

    @property
    def total_demand(self) -> float:
        """Units requested per second by the callers of all gateways."""
        return self.own_demand + self.demand

    def share(self, source: Source) -> float:
        """Return a source's share of the limit."""
        by_nodes = source.nodes / max(1, self.own_nodes + self.nodes)
        demand = self.total_demand
        by_demand = source.demand / demand if demand > 0 else by_nodes
        return EVEN_SHARE * by_nodes + (1 - EVEN_SHARE) * by_demand

    def estimate_silent(self, now_s: float, missing: int | None = None) -> float:
        """Estimate the units that silent sources acquired since the last call.

        The estimate is computed from the shares of the sources.

        Parameters
        ----------
        missing : int, optional
            Number of gateways whose reports do not arrive; all of them by default. A
            silent source is ignored if most of its gateways report again through
            another source: the silent one has stopped then and acquires nothing.
        """
        silent = [
            source
            for source in self.sources.values()
            if source.is_silent(now_s)
            and (missing is None or source.nodes <= 2 * missing)
        ]
        silent_share = sum(source.share for source in silent)
        if silent_share <= 0:
            return 0.0
        reporting_share = max(1 - silent_share, self.min_reporting_share(silent))
        ratio = (1 - reporting_share) / reporting_share
        estimate = 0.0
        for source in silent:
            source_ratio = ratio * source.share / silent_share
            units = (
                self.observed_units - source.observed_at_report
            ) * source_ratio - source.estimated_units
            source.estimated_units += max(0.0, units)
            estimate += max(0.0, units)
        return estimate

    def min_reporting_share(self, silent: list[Source]) -> float:
        """Return the minimum share of the limit that reporting gateways have.

        The shares of the silent sources alone may add up to more than one, because
        sources report their demand at different times.
        """
        nodes = max(1, self.own_nodes + self.nodes)
        reporting_nodes = nodes - sum(source.nodes for source in silent)
        return EVEN_SHARE * max(1, reporting_nodes) / nodes

    def remove(self, name: str) -> None:
        """Remove a source."""
        source = self.sources.pop(name, None)
        if source is not None:
            self.demand -= source.demand
            self.nodes -= source.nodes

    def remove_expired(self, now_s: float) -> None:
        """Remove the sources whose last report has expired."""
        for name, source in list(self.sources.items()):
            if now_s - source.last_report_s >= SOURCE_EXPIRY_S:
                self.remove(name)
