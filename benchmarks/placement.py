"""What placement policies cost on the same seeded trace of prices and reclaims.

The placement duty of one holder runs in virtual time over the platform stand-in, with
its real lease and orders. Cost counts only where enough instances were ready for 95 in
100 of the time.
"""

import json
import random
import sys
from dataclasses import asdict, dataclass, field

import trio
from trio.testing import MockClock

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.order_client import HttpOrderClient
from rosemaryknot.connection.platform import PlatformClient
from rosemaryknot.process.leases import Lease
from rosemaryknot.process.orders import OrderSender
from rosemaryknot.process.placement.policies import PLACEMENT_POLICIES
from rosemaryknot.process.placement.service import PlacementDuty
from rosemaryknot.process.platform_watch import PlatformWatch
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.nodes import Address, BackendServer, ServerState
from rosemaryknot.values.placement import ServiceTarget, ZoneTarget

__all__ = ["PolicyCost", "Trace", "make_trace", "measure_placement", "run_policy"]

SERVICE = "kit-assistant"
ZONES = ("waco-a", "waco-b", "temple-c")
CLASSES = {"g1": 1.0, "g2": 1.3}
ON_DEMAND_PRICE = 3.0
RECLAIMABLE_PRICE = 1.0
PER_ZONE = 2
ENOUGH = PER_ZONE * (len(ZONES) - 1)
IN_TARGET_SHARE = 0.95
WARM_UP_S = 120.0
TRACE_S = 3600.0
PRICE_STEP_S = 60.0
START_S = 45.0
NOTICE_S = 30.0
REFUSED_S = 240.0
RECLAIMS_PER_HOUR = (0.5, 2.0, 6.0)
WAVES = 3
SAMPLE_S = 1.0
TIMEOUT_S = 5.0
SECONDS_PER_HOUR = 3600.0
PLATFORM = Address("10.0.0.9", 7000)
REPORT_SEEDS = range(101, 106)
"""No policy was tuned on these seeds."""


@dataclass(slots=True)
class Trace:
    """What the cloud does, the same for each policy.

    Attributes
    ----------
    prices : list of dict
        Price by (zone, class, reclaimable) for each `PRICE_STEP_S`.
    waves : list of tuple of (float, str)
        When a whole zone is reclaimed, and which.
    rates : dict of str to float
        Reclaims of single instances by zone, for each instance and hour.
    seed : int
        Seed of the single reclaims.
    """

    prices: list[dict[tuple[str, str, bool], float]]
    waves: list[tuple[float, str]]
    rates: dict[str, float]
    seed: int


@dataclass(slots=True)
class PolicyCost:
    """What one policy cost.

    Attributes
    ----------
    cost_per_hour : float
        Price of all instances, leaving and starting ones too.
    ready_share : float
        Share of the time with enough instances ready.
    starts, refused, reclaims : int
        Instances started, starts refused, instances reclaimed.
    """

    cost_per_hour: float = 0.0
    ready_share: float = 0.0
    starts: int = 0
    refused: int = 0
    reclaims: int = 0
    ready: list[int] = field(default_factory=list)

    @property
    def counts(self) -> bool:
        """Whether the run kept the wanted capacity."""
        return self.ready_share >= IN_TARGET_SHARE


def make_trace(seed: int) -> Trace:
    """Make the trace of a seed."""
    rng = random.Random(f"placement {seed}")
    kinds = [(z, c, r) for z in ZONES for c in CLASSES for r in (True, False)]
    level = dict.fromkeys(kinds, 1.0)
    prices = []
    for _ in range(int((WARM_UP_S + TRACE_S) / PRICE_STEP_S) + 2):
        for kind in kinds:
            if kind[2]:
                drift = level[kind] * rng.uniform(0.9, 1.1) * 0.95 + 0.05
                level[kind] = min(2.2, max(0.5, drift))
        prices.append({kind: level[kind] * base_price(kind) for kind in kinds})
    times = sorted(WARM_UP_S + rng.uniform(0, TRACE_S) for _ in range(WAVES))
    waves = [(time_s, rng.choice(ZONES)) for time_s in times]
    rates = dict(zip(rng.sample(ZONES, len(ZONES)), RECLAIMS_PER_HOUR, strict=True))
    return Trace(prices, waves, rates, seed)


def base_price(kind: tuple[str, str, bool]) -> float:
    """Return the price of an hour before it moves."""
    return CLASSES[kind[1]] * (RECLAIMABLE_PRICE if kind[2] else ON_DEMAND_PRICE)


class Market:
    """Plays a trace on a platform stand-in, and adds up what it costs."""

    def __init__(self, trace: Trace, platform: PlatformStandIn) -> None:
        self.trace = trace
        self.platform = platform
        self.cloud = platform.cloud
        self.cloud.launcher = self.launch
        self.cloud.faults.start_delay_s = START_S
        self.ready_s: dict[str, float] = {}
        self.result = PolicyCost()

    async def launch(self, server: BackendServer) -> str:
        """Let an instance be ready some time after its start."""
        self.ready_s[server.instance] = trio.current_time() + START_S
        self.result.starts += 1
        return "10.0.1.1:9000"

    def present(self) -> list[BackendServer]:
        """Return the instances that cost something."""
        servers = self.cloud.servers.values()
        return [s for s in servers if s.state != ServerState.TERMINATED]

    async def play(self) -> PolicyCost:
        """Play the trace to its end."""
        rng = random.Random(f"reclaims {self.trace.seed}")
        waves = list(self.trace.waves)
        while trio.current_time() < WARM_UP_S + TRACE_S:
            now_s = trio.current_time()
            step = int(now_s / PRICE_STEP_S)
            self.cloud.prices.update(self.trace.prices[step])
            if waves and waves[0][0] <= now_s:
                self.reclaim_zone(waves.pop(0)[1])
            self.reclaim_some(rng)
            if now_s >= WARM_UP_S:
                self.sample()
            await trio.sleep(SAMPLE_S)
        enough = sum(ready >= ENOUGH for ready in self.result.ready)
        self.result.ready_share = enough / len(self.result.ready)
        self.result.cost_per_hour /= len(self.result.ready)
        return self.result

    def reclaim_zone(self, zone: str) -> None:
        """Reclaim a zone, which then refuses starts for some time."""
        self.result.reclaims += len(self.cloud.reclaim_zone(zone, NOTICE_S))
        refused = {(zone, name) for name in CLASSES}
        self.cloud.faults.refused_starts |= refused
        self.platform.nursery.start_soon(self.allow, refused)

    async def allow(self, refused: set[tuple[str, str]]) -> None:
        """End the refusals of a zone."""
        await trio.sleep(REFUSED_S)
        self.cloud.faults.refused_starts -= refused

    def reclaim_some(self, rng: random.Random) -> None:
        """Reclaim single instances at the rate of their zone."""
        for server in self.present():
            chance = self.trace.rates[server.zone] * SAMPLE_S / SECONDS_PER_HOUR
            is_reclaimed = rng.random() < chance
            if is_reclaimed and server.reclaimable and server.state == ServerState.LIVE:
                self.cloud.reclaim(server.instance, NOTICE_S)
                self.result.reclaims += 1

    def sample(self) -> None:
        """Note the price and the ready instances of this moment."""
        now_s = trio.current_time()
        present = self.present()
        self.result.cost_per_hour += sum(
            self.cloud.price(s.zone, s.machine_class, s.reclaimable) for s in present
        )
        ready = [
            s
            for s in present
            if s.state == ServerState.LIVE and self.ready_s[s.instance] <= now_s
        ]
        self.result.ready.append(len(ready))


async def run_policy(policy: str, trace: Trace) -> PolicyCost:
    """Let a holder place by a policy while a trace is played."""
    network = MemoryNetwork()
    platform = PlatformStandIn(trio.current_time)
    client = PlatformClient(network.with_host("10.0.0.1"), PLATFORM)
    orders = HttpOrderClient(network)
    market = Market(trace, platform)
    zones = tuple(ZoneTarget(z, PER_ZONE, tuple(CLASSES), 1.0) for z in ZONES)
    target = ServiceTarget(SERVICE, False, True, TIMEOUT_S, zones)
    rng = random.Random(trace.seed)
    table = ServerTable()
    lease = Lease(client, f"placement-{SERVICE}", "n1/1", lambda: True, rng)
    sender = OrderSender(lease, client, orders)
    duty = PlacementDuty(lambda: target, lease, sender, client, orders, table, policy)
    async with trio.open_nursery() as nursery:
        platform_network = network.with_host(PLATFORM.host)
        await nursery.start(platform.serve, platform_network, PLATFORM)
        nursery.start_soon(lease.run)
        nursery.start_soon(duty.run)
        nursery.start_soon(PlatformWatch(client, table, rng).run)
        result = await market.play()
        result.refused = platform.calls["start"] - result.starts
        nursery.cancel_scope.cancel()
    return result


def measure_placement(seed: int) -> dict:
    """Run all policies on the trace of a seed.

    Parameters
    ----------
    seed : int
        Seed of prices, reclaims and the holder's jitter.

    Returns
    -------
    measured : dict
        Costs by policy, and the ratios of ours to the baselines; a ratio is None
        where one of the two did not keep the wanted capacity.
    """
    trace = make_trace(seed)
    costs = {}
    for policy in sorted(PLACEMENT_POLICIES):
        clock = MockClock(autojump_threshold=0)
        costs[policy] = trio.run(run_policy, policy, trace, clock=clock)
        print(f"placement: seed {seed}: {policy} done", file=sys.stderr)
    ours = costs["spot_mix"]
    baselines = [costs[name] for name in costs if name != "spot_mix"]
    kept = [cost.cost_per_hour for cost in baselines if cost.counts]
    on_demand = costs["all_on_demand"]
    return {
        "seed": seed,
        "policies": {name: shown(cost) for name, cost in costs.items()},
        "cost_ratio_vs_on_demand": ratio(
            ours, on_demand.cost_per_hour if on_demand.counts else None
        ),
        "cost_ratio_vs_best_baseline": ratio(ours, min(kept, default=None)),
    }


def shown(cost: PolicyCost) -> dict:
    """Return a policy's figures without the samples."""
    fields = asdict(cost)
    least = min(fields.pop("ready"))
    return {k: round(v, 4) for k, v in fields.items()} | {"least_ready": least}


def ratio(ours: PolicyCost, other: float | None) -> float | None:
    """Return our cost as a share of another, where both count."""
    if other is None or not ours.counts:
        return None
    return round(ours.cost_per_hour / other, 4)


def print_table(measured: list[dict]) -> None:
    """Print one line for each run."""
    print(f"{'seed':>6} {'policy':<15} {'cost/h':>8} {'ready':>7} starts reclaims")
    for one in measured:
        for name, cost in one["policies"].items():
            print(
                f"{one['seed']:>6} {name:<15} {cost['cost_per_hour']:>8.2f} "
                f"{cost['ready_share']:>7.3f} {cost['starts']:>6} {cost['reclaims']:>8}"
            )


def main() -> int:
    """Measure the seeds of the command line, or those of the report."""
    seeds = [int(text) for text in sys.argv[1:]] or list(REPORT_SEEDS)
    measured = [measure_placement(seed) for seed in seeds]
    print_table(measured)
    print(json.dumps(measured))
    return 0


if __name__ == "__main__":
    sys.exit(main())
