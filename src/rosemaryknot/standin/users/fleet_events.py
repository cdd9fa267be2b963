"""Events that many nodes of a fleet see at one moment, and the messages they cause."""

import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from rosemaryknot.standin.users.system import MODEL_HEADERS, PlatformSystem

__all__ = ["FLEET_EVENTS", "FleetLoad", "MessageCounts", "count_messages"]

# Of a request of the load: tokens of its prompt, and of its response in events of five.
TOKEN_USAGE = "6610,100"
EVENT_S = 0.08
DEADLINE_MS = "8000"
# Share of the model servers that an event concerns.
SERVER_SHARE = 0.25
RESTART_S = 0.3

FleetEvent = Callable[[PlatformSystem], Awaitable[None]]
FLEET_EVENTS: dict[str, FleetEvent] = {}


def fleet_event(name: str) -> Callable[[FleetEvent], FleetEvent]:
    """Register an event."""

    def register(event: FleetEvent) -> FleetEvent:
        FLEET_EVENTS[name] = event
        return event

    return register


@fleet_event("none")
async def no_event(fleet: PlatformSystem) -> None:
    """Do nothing; for comparisons."""


@fleet_event("crash")
async def crash_servers(fleet: PlatformSystem) -> None:
    """Crash a quarter of the model servers."""
    for name in concerned_servers(fleet):
        fleet.nursery.start_soon(fleet.crash_server, name)


@fleet_event("drain")
async def state_drains(fleet: PlatformSystem) -> None:
    """Let a quarter of the model servers state in responses that they drain."""
    for name in concerned_servers(fleet):
        fleet.servers[name].draining = "1"


@fleet_event("cut")
async def cut_zone(fleet: PlatformSystem) -> None:
    """Cut the nodes of one availability zone off from those of the others."""
    inside, outside = [], []
    for node in fleet.nodes.values():
        is_inside = node.node.zone == "z0"
        (inside if is_inside else outside).append(node.settings.listen.callers.host)
    for pair in itertools.product(inside, outside):
        fleet.network.cut(*pair)


@fleet_event("restart")
async def restart_nodes(fleet: PlatformSystem) -> None:
    """Kill all nodes at once, and start them again."""
    for name in list(fleet.nodes):
        fleet.kill(name)
    await trio.sleep(RESTART_S)
    async with trio.open_nursery() as nursery:
        for number in range(len(fleet.nodes)):
            nursery.start_soon(fleet.add_node, number)


def concerned_servers(fleet: PlatformSystem) -> list[str]:
    """Return the servers that an event concerns."""
    models = [name for name, server in fleet.servers.items() if server.is_model]
    return models[: max(1, round(SERVER_SHARE * len(models)))]


class FleetLoad:
    """Callers that request streams at each node of a fleet.

    Parameters
    ----------
    fleet : PlatformSystem
        The fleet.
    per_s : float
        Requests per second at each node.

    Attributes
    ----------
    statuses : collections.Counter
        Statuses of the responses.
    """

    def __init__(self, fleet: PlatformSystem, per_s: float) -> None:
        self.fleet = fleet
        self.per_s = per_s
        self.statuses: Counter[int] = Counter()
        for server in fleet.servers.values():
            if server.is_model:
                server.work_s = EVENT_S

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in self.fleet.nodes:
                nursery.start_soon(self.run_at, name)

    async def run_at(self, name: str) -> None:
        """Send requests at one node until cancelled."""
        rng = random.Random(name)
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                await trio.sleep(rng.expovariate(self.per_s))
                nursery.start_soon(self.ask, name, number)

    async def ask(self, name: str, number: int) -> None:
        """Send one request."""
        headers = MODEL_HEADERS | {
            "Rosemaryknot-Token-Usage": TOKEN_USAGE,
            "Rosemaryknot-Prefix-Hash": f"{name}x{number}:6610",
            "Rosemaryknot-Deadline-Ms": DEADLINE_MS,
        }
        try:
            answer = await self.fleet.ask(
                "/ask/x",
                name,
                request_id=f"{name}-{number}",
                body=f"prompt {number} of {name}".encode(),
                **headers,
            )
        except OSError:
            # The node has been killed.
            self.statuses[0] += 1
            return
        self.statuses[answer.status] += 1


class MessageCounts:
    """Messages that the nodes of a fleet have sent and received so far.

    Attributes
    ----------
    by_node : dict of str to Counter
        By node: messages by direction and kind.
    links : dict of str to int
        By node: usable links.
    """

    def __init__(self, fleet: PlatformSystem) -> None:
        self.by_node: dict[str, Counter[tuple[str, str]]] = {}
        self.links: dict[str, int] = {}
        for name, node in fleet.nodes.items():
            traffic = node.peers.traffic
            self.links[name] = len(node.peers.linked())
            self.by_node[name] = Counter(
                {
                    (direction, kind): count.messages
                    for direction, kinds in (
                        ("sent", traffic.sent),
                        ("received", traffic.received),
                    )
                    for kind, count in kinds.items()
                }
            )

    def since(self, earlier: "MessageCounts") -> dict[str, Counter[tuple[str, str]]]:
        """Return the messages of each node since an earlier count."""
        return {
            name: counts - earlier.by_node.get(name, Counter())
            for name, counts in self.by_node.items()
        }


async def count_messages(
    fleet: PlatformSystem, event: str, after_s: float, for_s: float
) -> dict[str, Counter[tuple[str, str]]]:
    """Let an event happen, and return the messages of each node in a time after it.

    Parameters
    ----------
    fleet : PlatformSystem
        The fleet.
    event : str
        A name in `FLEET_EVENTS`.
    after_s, for_s : float
        Begin of the time after the event, and its length, in seconds.
    """
    begin_s = trio.current_time() + after_s
    earlier = MessageCounts(fleet)
    await FLEET_EVENTS[event](fleet)
    if after_s:
        await trio.sleep_until(begin_s)
        earlier = MessageCounts(fleet)
    await trio.sleep_until(begin_s + for_s)
    return MessageCounts(fleet).since(earlier)
