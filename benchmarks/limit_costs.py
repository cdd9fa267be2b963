"""Processor time and memory of the customers' limits, by the process they fall on.

Run: ``python benchmarks/limit_costs.py``. The owner's part is an ask of an entry
without the link that carries it. The last line of standard output is JSON.
"""

import json
import sys
import time
import tracemalloc
from types import SimpleNamespace

import trio

from rosemaryknot.connection.links import Handlers
from rosemaryknot.process.limits.owner import LimitOwner
from rosemaryknot.process.limits.shares import LimitKey, ZoneMembers, owner_of
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.process.server_load import LoadReport, ServerLoad
from rosemaryknot.request.budget import EntryBudgets
from rosemaryknot.request.engine_queue import EngineQueue, engine_capacity
from rosemaryknot.values.limits import BudgetGrant, BudgetRequest
from rosemaryknot.values.nodes import Node
from rosemaryknot.version.tables import Limit

ROUNDS = 5_000
ZONE_SIZES = (2, 22, 88)
ZONES = 24
BUDGETS = 1_000
ENGINES = 16
LARGE = 6e9
TOKENS = 10.0
LATER_S = 1e9


def say(text: str) -> None:
    """Show progress."""
    print(f"limit costs: {text}", file=sys.stderr, flush=True)


def new_owner(nodes: tuple[Node, ...], key: LimitKey) -> LimitOwner:
    """Return the settled owner of a limit in a zone of some nodes."""
    members = ZoneMembers(nodes, len(nodes))
    source = SimpleNamespace(
        limit=lambda key: Limit(tokens_per_minute=LARGE),
        zones=lambda: [f"zone-{number}" for number in range(ZONES)],
        members=lambda zone: members,
    )
    node = owner_of(key, nodes)
    owner = LimitOwner(node, SimpleNamespace(), source, Handlers(), settle_s=0.0)
    owner.memberships.memberships.clear()
    owner.memberships.memberships.append((trio.current_time(), nodes))
    return owner


def new_ask(key: LimitKey, entry: str, sequence: int) -> BudgetRequest:
    """Return the ask of an entry under load."""
    return BudgetRequest(
        key.customer,
        key.service,
        entry,
        1,
        sequence,
        needed_tokens=TOKENS,
        wanted_tokens=TOKENS,
    )


async def measure_asks(size: int) -> float:
    """Return the time of an ask at the owner in a zone of some nodes, in us."""
    nodes = tuple(Node(f"zone-0-{number:03}", "zone-0", 1) for number in range(size))
    key = LimitKey("estimator-1", "kit-assistant")
    owner = new_owner(nodes, key)
    link = SimpleNamespace(hello=SimpleNamespace(role="agent", name="peer"))
    started_s = time.process_time()
    for number in range(ROUNDS):
        ask = new_ask(key, nodes[number % size].name, number + 1)
        grant = await owner.handle_budget_request(ask, link)
    if not grant.is_owner:
        raise RuntimeError("the owner did not grant")
    return (time.process_time() - started_s) / ROUNDS * 1e6


async def measure_budget_bytes(entries: int) -> float:
    """Return the memory of one limit at its owner, with leases of some entries."""
    nodes = (Node("zone-0-0", "zone-0", 1),)
    owner = new_owner(nodes, LimitKey("", ""))
    link = SimpleNamespace(hello=SimpleNamespace(role="agent", name="peer"))
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(BUDGETS):
        key = LimitKey(f"customer-{number}", "kit-assistant")
        for entry in range(entries):
            await owner.handle_budget_request(new_ask(key, f"zone-0-{entry}", 1), link)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(owner.budgets)


async def measure_charges(limit: Limit) -> float:
    """Return the time to charge and settle a request at the entry, in us."""

    async def call(ask: BudgetRequest, timeout_s: float) -> BudgetGrant:
        return BudgetGrant(True, ask.needed_tokens + LARGE, 0, LATER_S)

    entry = EntryBudgets(Node("zone-0-0", "zone-0", 1), SimpleNamespace(call=call))
    started_s = time.process_time()
    for _ in range(ROUNDS):
        charge = await entry.acquire("estimator-1", "kit-assistant", limit, TOKENS)
        charge.settle(TOKENS)
    return (time.process_time() - started_s) / ROUNDS * 1e6


async def measure_turns() -> float:
    """Return the time of one pass through the queue for engines, in us."""
    report = LoadReport(10, 0, 32, 3.0, 0, trio.current_time())
    loads = [ServerLoad(report) for _ in range(ENGINES)]
    queue = EngineQueue(lambda service: engine_capacity(loads))
    for _ in range(4):
        await queue.acquire("estimator-1", "kit-assistant", TOKENS, True, LATER_S)
    started_s = time.process_time()
    for _ in range(ROUNDS):
        permit = await queue.acquire("estimator-1", "kit-assistant", 1.0, True, LATER_S)
        permit.release()
    return (time.process_time() - started_s) / ROUNDS * 1e6


async def measure() -> dict:
    """Return all figures."""
    asks = {}
    for size in ZONE_SIZES:
        asks[size] = round(await measure_asks(size), 1)
        say(f"{asks[size]} us for an ask with {size} nodes in the zone")
    one, many = await measure_budget_bytes(1), await measure_budget_bytes(11)
    return {
        "ask_us_by_zone_nodes": asks,
        "budget_bytes": round(one),
        "lease_bytes": round((many - one) / 10),
        "charge_us": round(await measure_charges(Limit(tokens_per_minute=LARGE)), 2),
        "unlimited_us": round(await measure_charges(Limit()), 2),
        "turn_us": round(await measure_turns(), 1),
    }


if __name__ == "__main__":
    configure_logs(level="error")
    print(json.dumps(trio.run(measure)))
