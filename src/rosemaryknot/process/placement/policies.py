"""The placement policies: ours, and the baselines that it is measured against.

A policy is a plain function of a `PlacementInput`; the same one runs live and in
measurements. It starts what is missing and drains what is too much.
"""

from collections.abc import Callable, Iterable, Mapping

from rosemaryknot.values.placement import (
    Decision,
    Drain,
    InstanceKind,
    Phase,
    PlacedInstance,
    PlacementInput,
    Release,
    Start,
    ZoneTarget,
)

__all__ = [
    "PLACEMENT_POLICIES",
    "PlacementPolicy",
    "all_on_demand",
    "cheapest_zone",
    "decide",
    "even_spread",
    "placement_policy",
    "spot_mix",
]

DEFAULT_POLICY = "spot_mix"
RECLAIM_COST_HOURS = 0.1
MAX_RECLAIMS_PER_HOUR = 20.0
ROUNDING = 1e-9

PlacementPolicy = Callable[[PlacementInput], list[Decision]]
PLACEMENT_POLICIES: dict[str, PlacementPolicy] = {}

Score = Callable[[InstanceKind], float]


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under a name.

    Parameters
    ----------
    name : str
        Name of the policy.

    Returns
    -------
    decorator : callable
        Returns the function unchanged.
    """

    def register(function: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = function
        return function

    return register


def decide(name: str, given: PlacementInput) -> list[Decision]:
    """Return a policy's decisions, and the release of what has been drained.

    Parameters
    ----------
    name : str
        Of a registered policy; another name gives the default one.
    given : PlacementInput
        What is known.

    Returns
    -------
    decisions : list of Decision
        In the order in which to carry them out.
    """
    policy = PLACEMENT_POLICIES.get(name) or PLACEMENT_POLICIES[DEFAULT_POLICY]
    releases = [
        Release(i.instance, "drained")
        for i in given.instances
        if i.phase == Phase.LEAVING and i.is_drained
    ]
    return [*policy(given), *releases]


# What the policies share.


def present(given: PlacementInput, zone: str | None = None) -> list[PlacedInstance]:
    """Return the instances that stay, of all zones or of one."""
    return [
        i
        for i in given.instances
        if i.phase != Phase.LEAVING and zone in (None, i.kind.zone)
    ]


def startable(
    given: PlacementInput, zone: ZoneTarget, reclaimable: Iterable[bool]
) -> list[InstanceKind]:
    """Return the kinds that may be asked for in a zone now.

    Where the configuration names no classes, those that the service has go first:
    the price list also names classes of other services.
    """
    classes = zone.classes or {i.kind.machine_class for i in given.instances}
    return [
        kind
        for kind, facts in sorted(given.kinds.items())
        if kind.zone == zone.zone
        and kind.reclaimable in reclaimable
        and (not classes or kind.machine_class in classes)
        and facts.price_per_hour <= zone.price_ceiling_per_hour
        and facts.refused_until_s <= given.now_s
    ]


def reclaimable_room(given: PlacementInput, zone: ZoneTarget, count: int) -> int:
    """Return how many more reclaimable instances the zone's share allows."""
    most = int(zone.reclaimable_share * count + ROUNDING)
    return most - sum(i.kind.reclaimable for i in present(given, zone.zone))


def fill(
    given: PlacementInput, zone: ZoneTarget, count: int, missing: int, score: Score
) -> list[Decision]:
    """Start the missing instances of a zone, each of the kind that scores lowest."""
    starts: list[Decision] = []
    room = reclaimable_room(given, zone, count)
    have = len(present(given, zone.zone))
    for number in range(missing):
        forms = (False, True) if room > 0 else (False,)
        kinds = startable(given, zone, forms)
        if not kinds:
            break
        kind = min(kinds, key=lambda kind: (score(kind), kind))
        room -= kind.reclaimable
        starts.append(Start(kind, f"{have + number} of {count} in {zone.zone}"))
    return starts


def thin(
    given: PlacementInput, zone: ZoneTarget, count: int, surplus: int, score: Score
) -> list[Decision]:
    """Drain what is too much in a zone, the dearest live ones first.

    One that is starting may still fail, so nothing is drained on account of it.
    """
    live = [i for i in present(given, zone.zone) if i.phase == Phase.LIVE]
    live.sort(key=lambda i: (score(i.kind), i.instance), reverse=True)
    have = len(present(given, zone.zone))
    reason = f"{have} of {count} in {zone.zone}"
    surplus = min(surplus, len(live) - count)
    return [Drain(i.instance, reason) for i in live[: max(0, surplus)]]


def match_counts(
    given: PlacementInput, counts: Mapping[str, int], score: Score
) -> list[Decision]:
    """Start and drain until each zone has its count."""
    decisions: list[Decision] = []
    for zone in given.target.zones:
        count = counts.get(zone.zone, 0)
        missing = count - len(present(given, zone.zone))
        if missing > 0:
            decisions += fill(given, zone, count, missing, score)
        else:
            decisions += thin(given, zone, count, -missing, score)
    return decisions


def wanted(given: PlacementInput) -> dict[str, int]:
    """Return the counts of the configuration by zone."""
    return {zone.zone: zone.count for zone in given.target.zones}


def price_of(given: PlacementInput) -> Score:
    """Return a score of kinds: their price."""
    dear = float("inf")

    def price(kind: InstanceKind) -> float:
        facts = given.kinds.get(kind)
        return dear if facts is None else facts.price_per_hour

    return price


# The baselines.


@placement_policy("all_on_demand")
def all_on_demand(given: PlacementInput) -> list[Decision]:
    """Keep each zone's count with instances that are never reclaimed; a baseline."""
    price = price_of(given)
    decisions = match_counts(
        given, wanted(given), lambda kind: price(kind) + 1e9 * kind.reclaimable
    )
    return [d for d in decisions if not isinstance(d, Start) or not d.kind.reclaimable]


@placement_policy("cheapest_zone")
def cheapest_zone(given: PlacementInput) -> list[Decision]:
    """Keep all instances in the zone with the lowest price; a baseline."""
    price = price_of(given)
    cheapest: dict[str, float] = {}
    for zone in given.target.zones:
        kinds = startable(given, zone, (False, True))
        cheapest[zone.zone] = min(map(price, kinds), default=float("inf"))
    if not cheapest:
        return []
    best = min(cheapest, key=lambda zone: (cheapest[zone], zone))
    return match_counts(given, {best: sum(wanted(given).values())}, price)


@placement_policy("even_spread")
def even_spread(given: PlacementInput) -> list[Decision]:
    """Spread the whole count evenly over the zones, cheapest kinds; a baseline."""
    zones = [zone.zone for zone in given.target.zones]
    if not zones:
        return []
    share, rest = divmod(sum(wanted(given).values()), len(zones))
    counts = {zone: share + (index < rest) for index, zone in enumerate(zones)}
    return match_counts(given, counts, price_of(given))


# Ours.


def expected_cost(given: PlacementInput) -> Score:
    """Return a score of kinds: price with what its reclaims cost.

    Each reclaim pays for a replacement while the old instance still runs, and for
    work done again; a kind that is reclaimed all the time is worth nothing.
    """
    price = price_of(given)

    def cost(kind: InstanceKind) -> float:
        facts = given.kinds.get(kind)
        if facts is None or facts.reclaims_per_hour > MAX_RECLAIMS_PER_HOUR:
            return float("inf")
        lost = facts.reclaims_per_hour * RECLAIM_COST_HOURS
        return price(kind) * (1 + lost)

    return cost


def spilled_counts(given: PlacementInput, cost: Score) -> dict[str, int]:
    """Return the counts by zone with what blocked zones lack put elsewhere.

    A zone is blocked while none of its kinds may be asked for: the whole zone was
    reclaimed, or its starts are refused. Its work would overload the others, so
    they get the difference, cheapest first and evenly.
    """
    counts = wanted(given)
    missing = 0
    open_zones: list[tuple[float, str]] = []
    for zone in given.target.zones:
        kinds = startable(given, zone, (False, True))
        have = len(present(given, zone.zone))
        if kinds:
            open_zones.append((min(map(cost, kinds)), zone.zone))
        elif have < zone.count:
            missing += zone.count - have
    open_zones.sort()
    for number in range(missing if open_zones else 0):
        counts[open_zones[number % len(open_zones)][1]] += 1
    return counts


@placement_policy("spot_mix")
def spot_mix(given: PlacementInput) -> list[Decision]:
    """Keep the counts with the cheapest mix by price and measured reclaims.

    The configured share bounds the reclaimable instances of each zone, so that the
    rest stays when all of them are taken at once; a blocked zone's part runs in the
    others until the zone gives instances again.
    """
    cost = expected_cost(given)
    decisions = match_counts(given, spilled_counts(given, cost), cost)
    starts = [d for d in decisions if isinstance(d, Start)]
    if starts:
        # What is missing comes first; what is too much may still be needed.
        return list(starts)
    return decisions
