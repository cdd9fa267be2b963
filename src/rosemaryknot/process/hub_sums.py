"""Sums of what many gateways report, kept by the hub of a zone; no input or output."""

from collections import defaultdict
from dataclasses import dataclass, field

from rosemaryknot.process.limit_takings import LimitTakings
from rosemaryknot.values.gateway_peers import HubReport, HubSum

__all__ = ["HubBook", "OwnReports", "Totals"]

# A report or sum that is older than this counts no more, in seconds; four reports.
FRESH_S = 1.2
# Own reports that are remembered, to leave them out of the sums that come back.
MAX_OWN = 40


@dataclass(slots=True)
class Totals:
    """Totals that only rise in one life of their source, added up over sources.

    A source that is met later, or in a new life, counts from then on: what it took
    before was counted by another hub, or is long over.

    Attributes
    ----------
    sums : dict of str to float
        Units by customer.
    takings : dict of str to LimitTakings
        What the sums are made of, by customer.
    lives : dict of str to int
        By source.

    Examples
    --------
    >>> totals = Totals()
    >>> totals.add("n1", 1, {"ada": (5.0, 0.0)}, 0.0)
    >>> totals.add("n1", 1, {"ada": (7.0, 0.0)}, 0.3)
    >>> totals.add("n1", 2, {"ada": (1.0, 0.0)}, 0.6)
    >>> totals.sums["ada"]
    2.0
    """

    sums: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    takings: dict[str, LimitTakings] = field(
        default_factory=lambda: defaultdict(LimitTakings)
    )
    lives: dict[str, int] = field(default_factory=dict)

    def add(
        self,
        source: str,
        incarnation: int,
        spent: dict[str, tuple[float, float]],
        now_s: float,
        nodes: int = 1,
    ) -> None:
        """Count what a source tells: units taken, and asked for in a second."""
        is_known = self.lives.get(source) == incarnation
        self.lives[source] = incarnation
        for name, (total, demand) in spent.items():
            seen = 0.0 if is_known else total
            self.sums[name] += self.takings[name].note(
                source, incarnation, total, demand, now_s, nodes, seen
            )

    def assume(self, now_s: float, missing: int) -> None:
        """Count what sources may take that are not heard."""
        for name, takings in self.takings.items():
            self.sums[name] += takings.assume(now_s, missing)

    def forget(self, now_s: float) -> None:
        """Drop the sources that have not been heard for long."""
        for takings in self.takings.values():
            takings.forget(now_s)


class OwnReports:
    """What this gateway has reported lately, by sequence."""

    def __init__(self) -> None:
        self.by_sequence: dict[int, HubReport] = {}
        self.counted: HubReport | None = None

    def note(self, report: HubReport) -> None:
        """Remember a report."""
        self.by_sequence[report.sequence] = report
        self.by_sequence.pop(report.sequence - MAX_OWN, None)

    def taken_between(self, sequence: int) -> dict[str, float]:
        """Return what the hub has newly counted of this gateway's takings."""
        report = self.by_sequence.get(sequence)
        before = {} if self.counted is None else self.counted.spent
        if report is None:
            return {}
        self.counted = report
        return {
            name: total - before.get(name, (0.0, 0.0))[0]
            for name, (total, _) in report.spent.items()
        }


class HubBook:
    """What a hub has heard.

    Parameters
    ----------
    name : str
        Name of this node.
    incarnation : int
        Its life.

    Attributes
    ----------
    reports : dict of str to tuple of (float, HubReport)
        By gateway that reports here: when it came, and it.
    sums : dict of str to tuple of (float, HubSum)
        By other hub, the same.
    for_duties : dict of str to list
        By gateway: what it told for duties and was not passed on yet.
    here, everywhere : Totals
        Units taken at the gateways that report here, and at all.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.reports: dict[str, tuple[float, HubReport]] = {}
        self.sums: dict[str, tuple[float, HubSum]] = {}
        self.for_duties: dict[str, list] = {}
        self.here = Totals()
        self.everywhere = Totals()

    def take_report(self, report: HubReport, now_s: float) -> None:
        """Count a gateway's report; late ones are left out."""
        known = self.reports.get(report.node)
        if known is not None:
            last = known[1]
            is_late = report.sequence <= last.sequence
            if report.incarnation == last.incarnation and is_late:
                return
        self.reports[report.node] = (now_s, report)
        if report.duties:
            told = [report.node, report.incarnation, *report.duties]
            self.for_duties[report.node] = told
        for totals in (self.here, self.everywhere):
            totals.add(report.node, report.incarnation, report.spent, now_s)

    def take_sum(self, told: HubSum, now_s: float) -> None:
        """Count another hub's sum."""
        self.sums[told.hub] = (now_s, told)
        self.everywhere.add(
            f"hub {told.hub}", told.incarnation, told.spent, now_s, told.nodes
        )

    def take_for_duties(self) -> list[list]:
        """Return what is to be passed on for duties, once."""
        told, self.for_duties = self.for_duties, {}
        return list(told.values())

    def fresh_reports(self, now_s: float) -> list[HubReport]:
        """Return the reports that count."""
        return [report for _, report in self.fresh(now_s)]

    def fresh(self, now_s: float) -> list[tuple[float, HubReport]]:
        """Return the reports that count, each with its age in seconds."""
        reports = [(now_s - at_s, report) for at_s, report in self.reports.values()]
        return [(age_s, report) for age_s, report in reports if age_s < FRESH_S]

    def is_hub(self, now_s: float) -> bool:
        """Tell whether other gateways report to this one."""
        return any(r.node != self.name for r in self.fresh_reports(now_s))

    def fresh_sums(self, now_s: float) -> list[tuple[float, HubSum]]:
        """Return the other hubs' sums that count, each with its age in seconds."""
        sums = [(now_s - at_s, told) for at_s, told in self.sums.values()]
        return [(age_s, told) for age_s, told in sums if age_s < FRESH_S]

    def assume_unheard(self, now_s: float, members: int) -> None:
        """Count what gateways may take that are not heard, as in a cut of a zone.

        Parameters
        ----------
        members : int
            Gateways that there are, those that are not heard included.
        """
        counted = len(self.fresh(now_s))
        counted += sum(told.nodes for _, told in self.fresh_sums(now_s))
        missing = max(0, members - counted)
        self.here.assume(now_s, missing)
        self.everywhere.assume(now_s, missing)

    def here_sum(self, now_s: float, clock_s: float) -> HubSum:
        """Return the sum of the gateways that report here."""
        reports = self.fresh(now_s)
        total = HubSum(
            self.name, self.incarnation, False, clock_s, len(reports), version=-1
        )
        for age_s, report in reports:
            add_report(total, report, age_s)
        set_spent(total, self.here, [r.spent for _, r in reports])
        return total

    def region_sum(self, now_s: float, here: HubSum) -> HubSum:
        """Return the sum of all gateways, for those that report here."""
        others = self.fresh_sums(now_s)
        total = HubSum(
            self.name,
            self.incarnation,
            True,
            here.clock_s,
            sum([here.nodes, *[told.nodes for _, told in others]]),
            version=-1,
            counted=here.counted,
        )
        for age_s, told in [(0.0, here), *others]:
            add_sum(total, told, age_s)
        spent = [here.spent, *[told.spent for _, told in others]]
        set_spent(total, self.everywhere, spent)
        return total

    def forget(self, now_s: float) -> None:
        """Drop what is old."""
        self.reports = {
            name: entry
            for name, entry in self.reports.items()
            if now_s - entry[0] < FRESH_S
        }
        self.here.forget(now_s)
        self.everywhere.forget(now_s)


def set_spent(total: HubSum, totals: Totals, spent: list[dict]) -> None:
    """Put what customers have taken and ask for into a sum."""
    demand: dict[str, float] = defaultdict(float)
    for by_customer in spent:
        for name, (_, asked) in by_customer.items():
            demand[name] += asked
    total.spent = {
        name: [round(totals.sums.get(name, 0.0), 1), round(asked, 1)]
        for name, asked in demand.items()
    }


def add_report(total: HubSum, report: HubReport, age_s: float) -> None:
    """Add one gateway to a sum; its report came ``age_s`` ago."""
    total.counted[report.node] = report.sequence
    add_newest(total, report, age_s)
    add_loads(total, report.loads)
    if report.holds:
        total.holders.append(report.node)
    if report.watches:
        for kind in report.seen:
            if kind not in report.lost:
                total.watching.setdefault(kind, []).append(report.node)


def add_sum(total: HubSum, told: HubSum, age_s: float) -> None:
    """Add one hub's sum to another; it came ``age_s`` ago."""
    add_newest(total, told, age_s)
    add_loads(total, told.loads)
    total.holders += told.holders
    for kind, names in told.watching.items():
        total.watching[kind] = [*total.watching.get(kind, []), *names]


def add_newest(total: HubSum, told: HubReport | HubSum, age_s: float) -> None:
    """Take over what is newer."""
    total.version = max(total.version, told.version)
    ago_s = told.returned_ago_s + age_s
    total.returned_ago_s = min(total.returned_ago_s, ago_s)
    for kind, revision in told.seen.items():
        total.seen[kind] = max(total.seen.get(kind, -1), revision)


def add_loads(total: HubSum, loads: dict) -> None:
    """Add requests and tokens by server."""
    for server, (requests, tokens) in loads.items():
        known = total.loads.get(server, [0, 0])
        total.loads[server] = [known[0] + requests, known[1] + tokens]
