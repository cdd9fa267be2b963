"""Six nodes in three zones that stop in turn, their balancer and their servers."""

from dataclasses import dataclass, replace

import trio

from rosemaryknot.process.node import GatewayNode
from rosemaryknot.process.node_settings import NodeSettings
from rosemaryknot.request.shutdown_admission import SHUTDOWN_ADMISSION_RULES
from rosemaryknot.standin.users.servers import ServerStandIn
from rosemaryknot.standin.users.system import (
    MODEL,
    PLAIN,
    PlatformSystem,
    document,
    route,
)
from rosemaryknot.values.nodes import Address

__all__ = ["KINDS", "STOPS", "ZONES", "Deployment", "Kind", "start_deployment"]

ZONES = ("z0", "z0", "z0", "z1", "z2", "z2")
STOP_ORDER = (3, 1, 2, 4, 5, 0)
STOPS = len(STOP_ORDER)
STOP_GAP_S, BACK_S, ASK_S, MISSES = 2.0, 1.0, 1.0, 2
# Requests at a server up to which it is as fast as alone, and how fast that is.
KNEE = 8
EVENT_S, PLAIN_S = 0.12, 0.03


@dataclass(frozen=True)
class Kind:
    """A kind of request: path, share, time limit, target, and output tokens."""

    path: str
    share: float
    limit_s: float
    target_s: float
    tokens: tuple[int, int] = (0, 0)


KINDS = (
    Kind("/long/x", 0.30, 15.0, 0.6, (30, 130)),
    Kind("/short/x", 0.25, 3.0, 0.5, (10, 25)),
    Kind("/stock/x", 0.45, 1.0, 0.2),
)


def configuration() -> dict:
    """Return the routes and services of the replay."""
    routes = [
        route("long", "/long/", "streaming", MODEL, maxAttempts=1, timeoutMs=15000),
        route("short", "/short/", "streaming", MODEL, maxAttempts=1, priority=1),
        route("stock", "/stock/", "idempotent", PLAIN, timeoutMs=1000),
    ]
    for entry, kind in zip(routes, KINDS, strict=True):
        entry["targetLatencyMs"] = 1000 * kind.target_s
    return document(routes=routes)


def slow_with_load(server: ServerStandIn) -> None:
    """Let a server take longer for each request beyond a few."""
    calm_s, serve = server.work_s, server.serve
    running = 0

    def step(change: int) -> None:
        nonlocal running
        running += change
        server.work_s = calm_s * max(1.0, running / KNEE)

    async def crowded(*args: object) -> None:
        step(1)
        try:
            await serve(*args)
        finally:
            step(-1)

    server.serve = crowded


class Deployment(PlatformSystem):
    """Six nodes in three zones, with their balancer."""

    def __init__(self, nursery: trio.Nursery, seed: int, way: str) -> None:
        super().__init__(nursery, seed)
        self.way = way
        self.missed: dict[str, int] = {}
        self.ends: dict[str, trio.Event] = {}
        self.signalled_s: dict[str, float] = {}
        self.down_s = 0.0

    def settings(self, number: int, **options: object) -> NodeSettings:
        """Return a node's settings, in its zone."""
        return replace(super().settings(number, **options), zone=ZONES[number])

    async def add_node(self, number: int, **options: object) -> GatewayNode:
        """Start a node with the way that is measured."""
        node = await super().add_node(number, **options)
        node.gateway.entry.decide_during_shutdown = SHUTDOWN_ADMISSION_RULES[self.way]
        name, shut_down = node.settings.node, node.shut_down
        self.ends[name] = ended = trio.Event()

        async def noted_end() -> None:
            await shut_down()
            ended.set()

        node.shut_down = noted_end
        self.missed.setdefault(name, 0)
        return node

    async def ask_nodes(self) -> None:
        """Ask each node each second, for ever."""
        while True:
            for name, node in self.nodes.items():
                is_well = name not in self.down and node.is_ready()
                self.missed[name] = 0 if is_well else self.missed[name] + 1
            await trio.sleep(ASK_S)

    async def stop_in_turn(self) -> None:
        """Stop the nodes one after the other."""
        for number in STOP_ORDER:
            self.nursery.start_soon(self.stop_one, number)
            await trio.sleep(STOP_GAP_S)

    async def stop_one(self, number: int) -> None:
        """Stop a node, and start it again when it is back."""
        name = f"n{number}"
        began_s = trio.current_time()
        self.signalled_s[name] = began_s
        self.stops[name].set()
        with trio.move_on_after(self.nodes[name].settings.bounds.grace_s):
            await self.ends[name].wait()
        self.down.add(name)
        self.kill(name)
        await trio.sleep(BACK_S)
        del self.signalled_s[name]
        await self.add_node(number, is_first_start=False)
        self.down.discard(name)
        self.down_s += trio.current_time() - began_s

    def name_of(self, address: Address) -> str:
        """Return which node listens at an address for callers."""
        nodes = self.nodes.items()
        return next(n for n, node in nodes if node.settings.listen.callers == address)

    def nodes_for(self, zone: str) -> list[str]:
        """Return to which nodes the balancer sends callers of a zone."""
        own = [name for name, z in zip(self.nodes, ZONES, strict=True) if z == zone]
        well = [name for name in own if self.missed[name] < MISSES]
        if 2 * len(well) >= len(own):
            return well
        return own if well else [name for name in self.nodes if name not in own]


async def start_deployment(nursery: trio.Nursery, seed: int, way: str) -> Deployment:
    """Start everything and return it."""
    system = Deployment(nursery, seed, way)
    await system.start(len(ZONES), 3, 4, configuration())
    for server in system.servers.values():
        server.work_s = EVENT_S if server.is_model else PLAIN_S
        slow_with_load(server)
    nursery.start_soon(system.ask_nodes)
    return system
