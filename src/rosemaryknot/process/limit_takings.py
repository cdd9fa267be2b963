"""What several gateways have taken of one customer's limit; no input or output.

Load pattern: a zone is cut off while a customer asks for many times its limit. Neither
side hears the other, and each goes on serving its callers. Until they hear each other
again both live by the shares of the demand that they knew last: a side counts for each
unit of its own what the other side takes by these shares, so that both together stay
within the limit, however much the demand grows meanwhile.
"""

from dataclasses import dataclass, field

__all__ = ["FORGET_S", "UNHEARD_S", "LimitTakings", "Source"]

# Without a report for this long a source is taken to go on unseen. Four reports.
UNHEARD_S = 1.0
# After this long it is taken to be gone.
FORGET_S = 20.0
# Part of the limit that is shared by the number of gateways and not by their demand, so
# that no side is left without any: callers may come to another zone during a cut.
EVEN_SHARE = 0.2


@dataclass(slots=True)
class Source:
    """Gateways that are heard as one: a single gateway, or those of a hub.

    Attributes
    ----------
    incarnation : int
        Its life; totals start anew with it.
    total : float
        Units that it has taken, as told last.
    demand : float
        Units asked for in a second.
    heard_s : float
        When it last told.
    nodes : int
        Gateways that it stands for.
    share : float
        Its part of the limit, by the demand when it last told.
    heard_then : float
        Units that all heard sources had taken when it last told.
    assumed : float
        Units that were counted for it since.
    """

    incarnation: int
    total: float
    demand: float
    heard_s: float
    nodes: int = 1
    share: float = 0.0
    heard_then: float = 0.0
    assumed: float = 0.0

    def is_unheard(self, now_s: float) -> bool:
        """Tell whether it may go on taking without being heard."""
        return UNHEARD_S < now_s - self.heard_s < FORGET_S


@dataclass(slots=True)
class LimitTakings:
    """Takings of one customer by source.

    Attributes
    ----------
    own_nodes : int
        1 where it is kept by a gateway that takes units itself, 0 by a hub.
    own_demand : float
        Units that are asked for at this gateway in a second.
    sources : dict of str to Source
        By name.
    heard : float
        Units that sources have told of since the start, and units of one's own.
    demand : float
        Units that the sources ask for in a second.
    nodes : int
        Gateways that the sources stand for.

    Examples
    --------
    Two hubs of equal demand; one of them falls silent, and for what the other one
    takes as much is counted again.

    >>> takings = LimitTakings()
    >>> takings.note("a", 1, 10.0, 5.0, 0.0), takings.note("b", 1, 10.0, 5.0, 0.0)
    (10.0, 10.0)
    >>> takings.note("a", 1, 30.0, 5.0, 2.0), takings.assume(2.0)
    (20.0, 20.0)
    >>> takings.note("b", 1, 45.0, 5.0, 2.5)
    15.0
    """

    own_nodes: int = 0
    own_demand: float = 0.0
    sources: dict[str, Source] = field(default_factory=dict)
    heard: float = 0.0
    demand: float = 0.0
    nodes: int = 0

    def note(
        self,
        name: str,
        incarnation: int,
        total: float,
        demand: float,
        now_s: float,
        nodes: int = 1,
        seen: float = 0.0,
    ) -> float:
        """Take in what a source tells.

        Parameters
        ----------
        seen : float
            Of a source that is new, or in a new life: units that are counted already.

        Returns
        -------
        units : float
            What is to be counted newly.
        """
        source = self.sources.get(name)
        if source is None or source.incarnation != incarnation:
            self.drop(name)
            source = self.sources[name] = Source(incarnation, seen, 0.0, now_s, 0)
        taken = max(0.0, total - source.total)
        counted = max(0.0, taken - source.assumed)
        self.demand += demand - source.demand
        self.nodes += nodes - source.nodes
        self.heard += taken
        source.total = max(source.total, total)
        source.demand = demand
        source.nodes = nodes
        source.heard_s = now_s
        source.heard_then = self.heard
        source.assumed = 0.0
        source.share = self.share(source)
        return counted

    @property
    def demand_of_all(self) -> float:
        """Units that the callers of all gateways ask for in a second."""
        return self.own_demand + self.demand

    def share(self, source: Source) -> float:
        """Return a source's part of the limit."""
        by_nodes = source.nodes / max(1, self.own_nodes + self.nodes)
        demand = self.demand_of_all
        by_demand = source.demand / demand if demand > 0 else by_nodes
        return EVEN_SHARE * by_nodes + (1 - EVEN_SHARE) * by_demand

    def assume(self, now_s: float, missing: int | None = None) -> float:
        """Return what unheard sources have taken since the last call, by their shares.

        Parameters
        ----------
        missing : int, optional
            Gateways that are not heard. A source most of whose gateways are heard, now
            through another one, is gone and takes nothing. By default all are missing.
        """
        unheard = [
            source
            for source in self.sources.values()
            if source.is_unheard(now_s)
            and (missing is None or source.nodes <= 2 * missing)
        ]
        unheard_share = sum(source.share for source in unheard)
        if unheard_share <= 0:
            return 0.0
        heard_share = max(1 - unheard_share, self.least_share(unheard))
        ratio = (1 - heard_share) / heard_share
        newly = 0.0
        for source in unheard:
            part = ratio * source.share / unheard_share
            units = (self.heard - source.heard_then) * part - source.assumed
            source.assumed += max(0.0, units)
            newly += max(0.0, units)
        return newly

    def least_share(self, unheard: list[Source]) -> float:
        """Return the part of the limit that those who are heard have at least.

        Sources told their demand at different times, and their shares may be more than
        one together.
        """
        nodes = max(1, self.own_nodes + self.nodes)
        heard_nodes = nodes - sum(source.nodes for source in unheard)
        return EVEN_SHARE * max(1, heard_nodes) / nodes

    def drop(self, name: str) -> None:
        """Forget a source."""
        source = self.sources.pop(name, None)
        if source is not None:
            self.demand -= source.demand
            self.nodes -= source.nodes

    def forget(self, now_s: float) -> None:
        """Drop the sources that have not been heard for long."""
        for name, source in list(self.sources.items()):
            if now_s - source.heard_s >= FORGET_S:
                self.drop(name)
