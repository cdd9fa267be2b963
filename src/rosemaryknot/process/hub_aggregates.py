"""Aggregates of gateways' reports, built by the hub of a zone; no input or output."""

from collections import defaultdict
from dataclasses import dataclass, field

from rosemaryknot.process.limit_usage import LimitUsage
from rosemaryknot.values.gateway_peers import HubReport, HubSum

__all__ = ["HubAggregator", "OwnReports", "Totals"]

# Reports and aggregates older than this are ignored, in seconds. Four report intervals.
REPORT_MAX_AGE_S = 1.2
# Number of own reports that are stored, to subtract them from the aggregates received.
MAX_OWN_REPORTS = 40


@dataclass(slots=True)
class Totals:
    """Sums over sources of totals that only increase within a source's incarnation.

    A new source, or a new incarnation of a known one, is counted from its first report
    on: its earlier usage was counted by another hub or lies too far in the past.

    Attributes
    ----------
    aggregates : dict of str to float
        Units by customer.
    limit_usage : dict of str to LimitUsage
        Usage by source that the aggregates are computed from, by customer.
    incarnations : dict of str to int
        Incarnations by source.

    Examples
    --------
    >>> totals = Totals()
    >>> totals.add("n1", 1, {"ada": (5.0, 0.0)}, 0.0)
    >>> totals.add("n1", 1, {"ada": (7.0, 0.0)}, 0.3)
    >>> totals.add("n1", 2, {"ada": (1.0, 0.0)}, 0.6)
    >>> totals.aggregates["ada"]
    2.0
    """

    aggregates: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    limit_usage: dict[str, LimitUsage] = field(
        default_factory=lambda: defaultdict(LimitUsage)
    )
    incarnations: dict[str, int] = field(default_factory=dict)

    def add(
        self,
        source: str,
        incarnation: int,
        spent: dict[str, tuple[float, float]],
        now_s: float,
        nodes: int = 1,
    ) -> None:
        """Count a source's report of units acquired and units requested per second."""
        is_known = self.incarnations.get(source) == incarnation
        self.incarnations[source] = incarnation
        for name, (total, demand) in spent.items():
            seen = 0.0 if is_known else total
            self.aggregates[name] += self.limit_usage[name].record(
                source, incarnation, total, demand, now_s, nodes, seen
            )

    def estimate_silent(self, now_s: float, missing: int) -> None:
        """Count the estimated usage of silent sources."""
        for name, limit_usage in self.limit_usage.items():
            self.aggregates[name] += limit_usage.estimate_silent(now_s, missing)

    def remove_expired(self, now_s: float) -> None:
        """Remove the sources whose last report has expired."""
        for limit_usage in self.limit_usage.values():
            limit_usage.remove_expired(now_s)


class OwnReports:
    """Recent reports of this gateway, by sequence.

    Attributes
    ----------
    counted : HubReport or None
        Last report that the hub has counted.
    sent_s : dict of int to float
        When each report was sent, in trio time.
    """

    def __init__(self) -> None:
        self.by_sequence: dict[int, HubReport] = {}
        self.counted: HubReport | None = None
        self.sent_s: dict[int, float] = {}

    def record(self, report: HubReport, now_s: float) -> None:
        """Record a report."""
        self.by_sequence[report.sequence] = report
        self.sent_s[report.sequence] = now_s
        for by_sequence in (self.by_sequence, self.sent_s):
            by_sequence.pop(report.sequence - MAX_OWN_REPORTS, None)

    def newly_counted(self, sequence: int) -> dict[str, float]:
        """Return this gateway's usage that the hub counted since the last call."""
        report = self.by_sequence.get(sequence)
        before = {} if self.counted is None else self.counted.spent
        if report is None:
            return {}
        self.counted = report
        return {
            name: total - before.get(name, (0.0, 0.0))[0]
            for name, (total, _) in report.spent.items()
        }


class HubAggregator:
    """Aggregator of the reports that a hub receives.

    Parameters
    ----------
    name : str
        Name of this node.
    incarnation : int
        Incarnation of this node.

    Attributes
    ----------
    reports : dict of str to tuple of (float, HubReport)
        Last report of each gateway that reports to this hub, with the time at which it
        was received.
    aggregates : dict of str to tuple of (float, HubSum)
        The same for the aggregates of the other hubs.
    for_duties : dict of str to list
        Values for duties that are not forwarded yet, by gateway. A duty is a task that
        only the holder of a lease performs.
    local, region : Totals
        Units acquired at the gateways that report to this hub, and at all gateways.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.reports: dict[str, tuple[float, HubReport]] = {}
        self.aggregates: dict[str, tuple[float, HubSum]] = {}
        self.for_duties: dict[str, list] = {}
        self.local = Totals()
        self.region = Totals()

    def apply_report(self, report: HubReport, now_s: float) -> None:
        """Apply a gateway's report; late ones are ignored."""
        known = self.reports.get(report.node)
        if known is not None:
            last = known[1]
            is_late = report.sequence <= last.sequence
            if report.incarnation == last.incarnation and is_late:
                return
        self.reports[report.node] = (now_s, report)
        if report.duties:
            entry = [report.node, report.incarnation, *report.duties]
            self.for_duties[report.node] = entry
        for totals in (self.local, self.region):
            totals.add(report.node, report.incarnation, report.spent, now_s)

    def apply_aggregate(self, aggregate: HubSum, now_s: float) -> None:
        """Apply another hub's aggregate."""
        self.aggregates[aggregate.hub] = (now_s, aggregate)
        self.region.add(
            f"hub {aggregate.hub}",
            aggregate.incarnation,
            aggregate.spent,
            now_s,
            aggregate.nodes,
        )

    def pop_duty_reports(self) -> list[list]:
        """Remove and return the values for duties that are to be forwarded."""
        pending, self.for_duties = self.for_duties, {}
        return list(pending.values())

    def current_reports(self, now_s: float) -> list[HubReport]:
        """Return the current reports."""
        return [report for _, report in self.current(now_s)]

    def current(self, now_s: float) -> list[tuple[float, HubReport]]:
        """Return the current reports, each with its age in seconds."""
        reports = [(now_s - at_s, report) for at_s, report in self.reports.values()]
        return [
            (age_s, report) for age_s, report in reports if age_s < REPORT_MAX_AGE_S
        ]

    def is_hub(self, now_s: float) -> bool:
        """Return whether other gateways report to this one."""
        return any(r.node != self.name for r in self.current_reports(now_s))

    def current_aggregates(self, now_s: float) -> list[tuple[float, HubSum]]:
        """Return the other hubs' current aggregates, each with its age in seconds."""
        aggregates = [
            (now_s - at_s, aggregate) for at_s, aggregate in self.aggregates.values()
        ]
        return [
            (age_s, aggregate)
            for age_s, aggregate in aggregates
            if age_s < REPORT_MAX_AGE_S
        ]

    def estimate_silent_nodes(self, now_s: float, members: int) -> None:
        """Count the estimated usage of silent gateways, as in a network partition.

        Parameters
        ----------
        members : int
            Number of gateways in the deployment, silent ones included.
        """
        counted = len(self.current(now_s))
        counted += sum(
            aggregate.nodes for _, aggregate in self.current_aggregates(now_s)
        )
        missing = max(0, members - counted)
        self.local.estimate_silent(now_s, missing)
        self.region.estimate_silent(now_s, missing)

    def local_aggregate(self, now_s: float, clock_s: float) -> HubSum:
        """Return the aggregate of the gateways that report to this hub."""
        reports = self.current(now_s)
        total = HubSum(
            self.name, self.incarnation, False, clock_s, len(reports), version=-1
        )
        for age_s, report in reports:
            add_report(total, report, age_s)
        set_spent(total, self.local, [r.spent for _, r in reports])
        return total

    def region_aggregate(self, now_s: float, local: HubSum) -> HubSum:
        """Return the aggregate of all gateways, for those that report to this hub."""
        others = self.current_aggregates(now_s)
        total = HubSum(
            self.name,
            self.incarnation,
            True,
            local.clock_s,
            sum([local.nodes, *[aggregate.nodes for _, aggregate in others]]),
            version=-1,
            counted=local.counted,
        )
        for age_s, aggregate in [(0.0, local), *others]:
            add_aggregate(total, aggregate, age_s)
        spent = [local.spent, *[aggregate.spent for _, aggregate in others]]
        set_spent(total, self.region, spent)
        return total

    def remove_expired(self, now_s: float) -> None:
        """Remove reports and sources that have expired."""
        self.reports = {
            name: entry
            for name, entry in self.reports.items()
            if now_s - entry[0] < REPORT_MAX_AGE_S
        }
        self.local.remove_expired(now_s)
        self.region.remove_expired(now_s)


def set_spent(total: HubSum, totals: Totals, spent: list[dict]) -> None:
    """Set customers' usage and demand in an aggregate."""
    demand: dict[str, float] = defaultdict(float)
    for by_customer in spent:
        for name, (_, requested) in by_customer.items():
            demand[name] += requested
    total.spent = {
        name: [round(totals.aggregates.get(name, 0.0), 1), round(requested, 1)]
        for name, requested in demand.items()
    }


def add_report(total: HubSum, report: HubReport, age_s: float) -> None:
    """Add one gateway to an aggregate; its report was received ``age_s`` ago."""
    total.counted[report.node] = report.sequence
    add_newest(total, report, age_s)
    add_loads(total, report.loads)
    if report.holds:
        total.holders.append(report.node)
    if report.watches:
        for kind in report.seen:
            if kind not in report.lost:
                total.watching.setdefault(kind, []).append(report.node)


def add_aggregate(total: HubSum, aggregate: HubSum, age_s: float) -> None:
    """Add one hub's aggregate to another; it was received ``age_s`` ago."""
    add_newest(total, aggregate, age_s)
    add_loads(total, aggregate.loads)
    total.holders += aggregate.holders
    for kind, names in aggregate.watching.items():
        total.watching[kind] = [*total.watching.get(kind, []), *names]


def add_newest(total: HubSum, aggregate: HubReport | HubSum, age_s: float) -> None:
    """Update the aggregate's version and revisions to the newest ones."""
    if aggregate.version > total.version:
        total.version = aggregate.version
        is_report = isinstance(aggregate, HubReport)
        total.version_at = aggregate.node if is_report else aggregate.version_at
    ago_s = aggregate.returned_ago_s + age_s
    total.returned_ago_s = min(total.returned_ago_s, ago_s)
    for kind, revision in aggregate.seen.items():
        known = (total.eras.get(kind, 0), total.seen.get(kind, -1))
        newest = max(known, (aggregate.eras.get(kind, 0), revision))
        total.eras[kind], total.seen[kind] = newest


def add_loads(total: HubSum, loads: dict) -> None:
    """Add requests and tokens by server."""
    for server, (requests, tokens) in loads.items():
        known = total.loads.get(server, [0, 0])
        total.loads[server] = [known[0] + requests, known[1] + tokens]
