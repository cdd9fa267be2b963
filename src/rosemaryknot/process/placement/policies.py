"""Placement policies: the default policy and the baselines for comparison.

A policy is a pure function of a `PlacementInput`. The same function runs in
production and in the benchmarks. It returns decisions that start missing instances
and drain surplus ones.
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
ROUNDING_TOLERANCE = 1e-9

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


def decide(name: str, inputs: PlacementInput) -> list[Decision]:
    """Return a policy's decisions, followed by the releases of drained instances.

    Parameters
    ----------
    name : str
        Name of a registered policy. Unknown names select the default policy.
    inputs : PlacementInput
        Target, instances and kinds of instance known at this time.

    Returns
    -------
    decisions : list of Decision
        Decisions in the order of execution.
    """
    policy = PLACEMENT_POLICIES.get(name) or PLACEMENT_POLICIES[DEFAULT_POLICY]
    releases = [
        Release(i.instance, "drained")
        for i in inputs.instances
        if i.phase == Phase.LEAVING and i.is_drained
    ]
    return [*policy(inputs), *releases]


# Functions shared by the policies.


def staying_instances(
    inputs: PlacementInput, zone: str | None = None
) -> list[PlacedInstance]:
    """Return the instances that are not being removed, in all zones or in one."""
    return [
        i
        for i in inputs.instances
        if i.phase != Phase.LEAVING and zone in (None, i.kind.zone)
    ]


def startable_kinds(
    inputs: PlacementInput, zone: ZoneTarget, reclaimable: Iterable[bool]
) -> list[InstanceKind]:
    """Return the kinds that can be requested in a zone now.

    If the configuration names no machine classes, only the classes that the service
    already uses are allowed, because the price list also contains classes of other
    services. Without any instance, all classes are allowed.
    """
    classes = zone.classes or {i.kind.machine_class for i in inputs.instances}
    return [
        kind
        for kind, facts in sorted(inputs.kinds.items())
        if kind.zone == zone.zone
        and kind.reclaimable in reclaimable
        and (not classes or kind.machine_class in classes)
        and facts.price_per_hour <= zone.price_ceiling_per_hour
        and facts.refused_until_s <= inputs.now_s
    ]


def reclaimable_headroom(inputs: PlacementInput, zone: ZoneTarget, count: int) -> int:
    """Return the number of reclaimable instances that the zone can still add.

    The result is negative if the zone exceeds its configured share.
    """
    max_reclaimable = int(zone.reclaimable_share * count + ROUNDING_TOLERANCE)
    return max_reclaimable - sum(
        i.kind.reclaimable for i in staying_instances(inputs, zone.zone)
    )


def start_missing(
    inputs: PlacementInput, zone: ZoneTarget, count: int, missing: int, score: Score
) -> list[Decision]:
    """Start a zone's missing instances, each of the kind with the lowest score."""
    starts: list[Decision] = []
    headroom = reclaimable_headroom(inputs, zone, count)
    present = len(staying_instances(inputs, zone.zone))
    for number in range(missing):
        reclaimable_options = (False, True) if headroom > 0 else (False,)
        kinds = startable_kinds(inputs, zone, reclaimable_options)
        if not kinds:
            break
        kind = min(kinds, key=lambda kind: (score(kind), kind))
        headroom -= kind.reclaimable
        starts.append(Start(kind, f"{present + number} of {count} in {zone.zone}"))
    return starts


def drain_surplus(
    inputs: PlacementInput, zone: ZoneTarget, count: int, surplus: int, score: Score
) -> list[Decision]:
    """Drain a zone's surplus, starting with the live instances of the highest score.

    Instances that are still starting may fail, so they do not count as surplus that
    allows a live instance to be drained.
    """
    live = [i for i in staying_instances(inputs, zone.zone) if i.phase == Phase.LIVE]
    live.sort(key=lambda i: (score(i.kind), i.instance), reverse=True)
    present = len(staying_instances(inputs, zone.zone))
    reason = f"{present} of {count} in {zone.zone}"
    surplus = min(surplus, len(live) - count)
    return [Drain(i.instance, reason) for i in live[: max(0, surplus)]]


def reach_counts(
    inputs: PlacementInput, counts: Mapping[str, int], score: Score
) -> list[Decision]:
    """Start and drain instances to bring each zone to its count."""
    decisions: list[Decision] = []
    for zone in inputs.target.zones:
        count = counts.get(zone.zone, 0)
        missing = count - len(staying_instances(inputs, zone.zone))
        if missing > 0:
            decisions += start_missing(inputs, zone, count, missing, score)
        else:
            decisions += drain_surplus(inputs, zone, count, -missing, score)
    return decisions


def configured_counts(inputs: PlacementInput) -> dict[str, int]:
    """Return the configured instance counts by zone."""
    return {zone.zone: zone.count for zone in inputs.target.zones}


def price_score(inputs: PlacementInput) -> Score:
    """Return a function that scores a kind by its price."""
    unknown_price = float("inf")

    def price(kind: InstanceKind) -> float:
        facts = inputs.kinds.get(kind)
        return unknown_price if facts is None else facts.price_per_hour

    return price


# Baselines.


@placement_policy("all_on_demand")
def all_on_demand(inputs: PlacementInput) -> list[Decision]:
    """Meet each zone's count with on-demand instances only (baseline)."""
    price = price_score(inputs)
    decisions = reach_counts(
        inputs,
        configured_counts(inputs),
        lambda kind: price(kind) + 1e9 * kind.reclaimable,
    )
    return [d for d in decisions if not isinstance(d, Start) or not d.kind.reclaimable]


@placement_policy("cheapest_zone")
def cheapest_zone(inputs: PlacementInput) -> list[Decision]:
    """Place all instances in the zone with the lowest price (baseline)."""
    price = price_score(inputs)
    cheapest: dict[str, float] = {}
    for zone in inputs.target.zones:
        kinds = startable_kinds(inputs, zone, (False, True))
        cheapest[zone.zone] = min(map(price, kinds), default=float("inf"))
    if not cheapest:
        return []
    best = min(cheapest, key=lambda zone: (cheapest[zone], zone))
    return reach_counts(inputs, {best: sum(configured_counts(inputs).values())}, price)


@placement_policy("even_spread")
def even_spread(inputs: PlacementInput) -> list[Decision]:
    """Distribute all instances evenly over the zones, by price (baseline)."""
    zones = [zone.zone for zone in inputs.target.zones]
    if not zones:
        return []
    share, remainder = divmod(sum(configured_counts(inputs).values()), len(zones))
    counts = {zone: share + (index < remainder) for index, zone in enumerate(zones)}
    return reach_counts(inputs, counts, price_score(inputs))


# Default policy.


def expected_cost(inputs: PlacementInput) -> Score:
    """Return a function that scores a kind by its price and the cost of reclaims.

    Each reclaim costs a replacement that runs in parallel with the old instance, and
    the repetition of lost work. Kinds with more than ``MAX_RECLAIMS_PER_HOUR`` get an
    infinite cost.
    """
    price = price_score(inputs)

    def cost(kind: InstanceKind) -> float:
        facts = inputs.kinds.get(kind)
        if facts is None or facts.reclaims_per_hour > MAX_RECLAIMS_PER_HOUR:
            return float("inf")
        reclaim_overhead = facts.reclaims_per_hour * RECLAIM_COST_HOURS
        return price(kind) * (1 + reclaim_overhead)

    return cost


def redistributed_counts(inputs: PlacementInput, cost: Score) -> dict[str, int]:
    """Return the counts by zone, with the deficit of blocked zones moved to others.

    A zone is blocked while none of its kinds can be requested, for example because
    the whole zone was reclaimed or its starts are refused. Its load moves to the
    other zones and would overload them, so its missing instances are distributed
    round-robin over the other zones, starting with the cheapest.
    """
    counts = configured_counts(inputs)
    missing = 0
    available_zones: list[tuple[float, str]] = []
    for zone in inputs.target.zones:
        kinds = startable_kinds(inputs, zone, (False, True))
        present = len(staying_instances(inputs, zone.zone))
        if kinds:
            available_zones.append((min(map(cost, kinds)), zone.zone))
        elif present < zone.count:
            missing += zone.count - present
    available_zones.sort()
    for number in range(missing if available_zones else 0):
        counts[available_zones[number % len(available_zones)][1]] += 1
    return counts


@placement_policy("spot_mix")
def spot_mix(inputs: PlacementInput) -> list[Decision]:
    """Choose the cheapest mix of instances by price and measured reclaim rate.

    The configured share limits the reclaimable instances of each zone, so the other
    instances remain if all reclaimable ones are reclaimed together. The instances
    of a blocked zone run in the other zones until the zone accepts starts again.
    """
    cost = expected_cost(inputs)
    decisions = reach_counts(inputs, redistributed_counts(inputs, cost), cost)
    starts = [d for d in decisions if isinstance(d, Start)]
    if starts:
        # Start missing instances before draining: surplus ones may still be needed.
        return list(starts)
    return decisions
