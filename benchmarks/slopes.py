"""What control state costs a node, for each peer, server, record, customer and token.

Run: ``python benchmarks/slopes.py [--only NAME]``. Timing loops over the functions of
the product and peer sets in virtual time, in one process. Times are processor time,
the least of several rounds; memory is what `tracemalloc` counts. The last line of
standard output is JSON; docs/CAPACITY.md is worked out from it.
"""

import argparse
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import trio
from trio.testing import MockClock

from rosemaryknot.connection.links import Handlers
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process.claims.records import ClaimRecord, decide_claim, grant
from rosemaryknot.process.claims.shard_map import initial_map
from rosemaryknot.process.claims.table import RecordTable, TableBounds, TableUsage
from rosemaryknot.process.claims.table import to_wire as claims_to_wire
from rosemaryknot.process.limits.owner import LimitOwner
from rosemaryknot.process.limits.shares import ZoneMembers
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.process.peer_links import LinkPlan
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.server_distributor import ServerDistributor
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.process.standby_table import StandbyTable
from rosemaryknot.values.claim_peers import ReplicateRecords
from rosemaryknot.values.claims import ClaimId, ClaimRequest
from rosemaryknot.values.configuration import document_digest
from rosemaryknot.values.limits import BudgetRequest
from rosemaryknot.values.messages import decode_message, encode_message
from rosemaryknot.values.nodes import Address, BackendServer, Node
from rosemaryknot.values.peers import PeerRecord, PeerRecords
from rosemaryknot.values.standby import StandbyBatch, StandbyCopy, StandbyUpdate
from rosemaryknot.version.tables import Limit
from rosemaryknot.version.view import ConfigurationView

ROUNDS = 5
SETTLE_S, MEASURED_S = 30.0, 60.0
SMALL_MESH, LARGE_MESH = 7, 21
KNOWN = 350
NO_LINKS = LinkPlan(full_mesh_nodes=0, relays_per_zone=0, neighbours=0)
KEY = b"k" * 32
SERVERS = 1700
RECORDS = 20_000
SHARDS = 1000
CUSTOMERS = 2000
COPIES, TOKENS = 200, 500
TOKEN = b" timber"

PARTS: dict[str, Callable[[], dict[str, float]]] = {}


def part(function: Callable[[], dict[str, float]]) -> Callable[[], dict[str, float]]:
    """Register a measurement under its function's name."""
    PARTS[function.__name__] = function
    return function


def least_us(work: Callable[[], Any], per: int) -> float:
    """Return the least processor time of some rounds, divided, in microseconds."""
    took = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        work()
        took.append(time.process_time() - start_s)
    return round(min(took) / per * 1e6, 3)


def bytes_of(make: Callable[[], Any]) -> tuple[Any, int]:
    """Return what a function makes and the memory that stays taken for it."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        return made, tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


async def in_trio(function: Callable[[], Any]) -> Any:
    """Call a plain function that reads trio's clock."""
    return function()


# Membership.


def new_peers(network: MemoryNetwork, index: int, plan: LinkPlan) -> PeerSet:
    """Return one of the peer sets of a zone."""
    address = Address(f"127.0.2.{1 + index}", 8300)
    return PeerSet(
        network.with_host(address.host),
        Node(f"waco-a-{index}", "waco-a", 1),
        address,
        KEY,
        [] if index == 0 else [Address("127.0.2.1", 8300)],
        Handlers(),
        plan,
        random.Random(index),
    )


async def run_peers(count: int, known: int, plan: LinkPlan) -> dict[str, float]:
    """Run peer sets; return what one of them costs each second."""
    network = MemoryNetwork()
    async with trio.open_nursery() as nursery:
        sets = [new_peers(network, index, plan) for index in range(count)]
        for peers in sets:
            await nursery.start(peers.run)
        for index in range(known):
            name = f"temple-c-{index}"
            record = PeerRecord(name, "temple-c", 1, f"127.9.0.{index % 250}:8300")
            sets[0].table.merge(record, trio.current_time())
        await trio.sleep(SETTLE_S)
        memory = tracemalloc.get_traced_memory()[0]
        sent = sum(t.bytes for p in sets for t in p.traffic.sent.values())
        start_s = time.process_time()
        await trio.sleep(MEASURED_S)
        took_s = time.process_time() - start_s
        sent = sum(t.bytes for p in sets for t in p.traffic.sent.values()) - sent
        nursery.cancel_scope.cancel()
    per_node_s = count * MEASURED_S
    return {
        "bytes_per_s": sent / per_node_s,
        "cpu_us_per_s": took_s / per_node_s * 1e6,
        "memory_bytes": memory / count,
    }


def peers_cost(count: int, known: int, plan: LinkPlan) -> dict[str, float]:
    """Return the costs of `run_peers`: time without tracing, memory with it."""
    clock = MockClock(autojump_threshold=0)
    cost = trio.run(run_peers, count, known, plan, clock=clock)
    tracemalloc.start()
    clock = MockClock(autojump_threshold=0)
    traced = trio.run(run_peers, count, known, plan, clock=clock)
    tracemalloc.stop()
    return cost | {"memory_bytes": traced["memory_bytes"]}


@part
def peer_link() -> dict[str, float]:
    """Return the cost of a link to a peer, from full meshes of two sizes.

    In-memory streams stand for sockets; the bytes are those of the frames.
    """
    small = peers_cost(SMALL_MESH, 0, LinkPlan())
    large = peers_cost(LARGE_MESH, 0, LinkPlan())
    links = LARGE_MESH - SMALL_MESH
    return {name: round((large[name] - small[name]) / links, 2) for name in small}


@part
def known_node() -> dict[str, float]:
    """Return the cost of a node that is known and not linked."""
    none, many = peers_cost(1, 0, NO_LINKS), peers_cost(1, KNOWN, NO_LINKS)
    record = PeerRecord("waco-a-1", "waco-a", 1_790_000_000_000, "127.0.2.1:8300")
    one = len(encode_message(PeerRecords([record.to_fields(0.0)])))
    two = len(encode_message(PeerRecords([record.to_fields(0.0)] * 2)))
    return {
        "cpu_us_per_s": round((many["cpu_us_per_s"] - none["cpu_us_per_s"]) / KNOWN, 2),
        "memory_bytes": round((many["memory_bytes"] - none["memory_bytes"]) / KNOWN),
        "record_bytes": two - one,
    }


# Servers and configuration.


def new_servers() -> list[BackendServer]:
    """Return the servers of a region."""
    return [
        BackendServer(
            f"kit-assistant-{number}",
            "kit-assistant",
            "waco-a",
            "g1",
            True,
            f"10.1.{number // 250}.{number % 250}:9000",
            price_per_hour=1.5,
        )
        for number in range(SERVERS)
    ]


def server_costs() -> dict[str, float]:
    """Fill a table and compare it."""
    table = ServerTable()
    _, memory = bytes_of(lambda: table.apply_list(new_servers()))
    peers = SimpleNamespace(on_entry_link=[])
    spread = ServerDistributor(table, peers, Handlers(), random.Random(1))
    listed, push = new_servers(), encode_message(table.to_push())
    return {
        "memory_bytes": round(memory / SERVERS),
        "list_us": least_us(lambda: table.apply_list(listed), SERVERS),
        "digest_us": least_us(spread.digest, SERVERS),
        "push_bytes": round(len(push) / SERVERS, 1),
        "push_us": least_us(lambda: encode_message(table.to_push()), SERVERS),
        "take_push_us": least_us(
            lambda: table.apply_push(decode_message(push)[0]), SERVERS
        ),
    }


@part
def server() -> dict[str, float]:
    """Return the cost of a backend server in an agent's or entry's table."""
    return trio.run(in_trio, server_costs)


def document_of(customers: int) -> dict:
    """Return a configuration with so many customers."""
    limit = {"kit-assistant": {"tokens_per_minute": 600_000, "concurrent_requests": 40}}
    names = [f"estimator-{number}" for number in range(customers)]
    key = {"salt": "00" * 16, "sha256": "00" * 32}
    return {
        "services": {"kit-assistant": {"kind": "model"}},
        "customers": {name: {"limits": limit} for name in names},
        "keys": {f"k{name}": {**key, "customer": name} for name in names},
    }


@part
def configuration_kilobyte() -> dict[str, float]:
    """Return the cost of a kilobyte of the configuration document."""
    size = len(json.dumps(document_of(CUSTOMERS))) / 1000
    text = json.dumps(document_of(CUSTOMERS))

    def view() -> ConfigurationView:
        return ConfigurationView.from_document(1, json.loads(text))

    kept, memory = bytes_of(view)
    document = json.loads(text)
    return {
        "memory_bytes": round(memory / size),
        "view_us": round(least_us(view, 1) / size, 1),
        "digest_us": round(least_us(lambda: document_digest(document), 1) / size, 1),
        "document_kb": round(size, 1) if kept else 0.0,
    }


# At-most-once execution.


def granted_table(count: int) -> RecordTable:
    """Return a table of granted claims."""
    table = RecordTable(TableUsage(TableBounds(max_records=2 * count)))
    for number in range(count):
        claim_id = ClaimId("estimator-1", "dispatch-app", f"booking-{number:08d}")
        request = ClaimRequest(
            *("estimator-1", "dispatch-app", claim_id.key),
            *(f"waco-a-1/{number}", 1, b"d" * 16),
        )
        record = ClaimRecord()
        if decide_claim(record, request, 1.0) is None:
            grant(record, request, 1.0)
        table.put(claim_id, record)
    return table


@part
def claim_record() -> dict[str, float]:
    """Return the cost of an id that its shard's owner remembers, and of its copy."""
    table, memory = bytes_of(lambda: granted_table(RECORDS))
    items = list(table.records.items())

    def copies() -> list[bytes]:
        return [
            encode_message(ReplicateRecords(0, claims_to_wire([item], 1.0)))
            for item in items
        ]

    return {
        "memory_bytes": round(memory / RECORDS),
        "grant_us": least_us(lambda: granted_table(RECORDS), RECORDS),
        "copy_bytes": round(sum(map(len, copies())) / RECORDS),
        "copy_encode_us": least_us(copies, RECORDS),
    }


@part
def shard() -> dict[str, float]:
    """Return the cost of a shard in the map that each node holds."""
    nodes = [Node(f"waco-a-{number}", "waco-a", 1) for number in range(88)]
    made, memory = bytes_of(lambda: initial_map(nodes, SHARDS))
    return {
        "memory_bytes": round(memory / SHARDS),
        "stored_bytes": round(len(json.dumps(made.to_value())) / SHARDS, 1),
    }


# Limits.


class LimitSource:
    """Configuration and membership as a `LimitOwner` asks them."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def limit(self, key: Any) -> Limit:
        """Return a limit that is not reached."""
        return Limit(tokens_per_minute=6e8, concurrent_requests=100_000)

    def zones(self) -> list[str]:
        """Return one zone."""
        return [self.node.zone]

    def members(self, zone: str) -> ZoneMembers:
        """Return this node alone."""
        return ZoneMembers((self.node,), 1)


async def limit_costs() -> dict[str, float]:
    """Let an owner answer one ask of each customer."""
    node = Node("waco-a-1", "waco-a", 1)
    owner = LimitOwner(node, None, LimitSource(node), Handlers(), settle_s=0.0)
    link = SimpleNamespace(hello=SimpleNamespace(role="agent"))
    sizes, took = [], []
    tracemalloc.start()
    for sequence in range(1, ROUNDS + 1):
        if sequence == 2:
            memory = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
        start_s = time.process_time()
        for number in range(CUSTOMERS):
            name = f"estimator-{number}"
            ask = BudgetRequest(name, "kit-assistant", "waco-a-1", 1, sequence)
            ask.needed_tokens, ask.needed_slots = 100.0, 1
            answer = await owner.handle_budget_request(ask, link)
            sizes.append(len(encode_message(ask)) + len(encode_message(answer)))
        took.append((time.process_time() - start_s) / CUSTOMERS * 1e6)
    return {
        "memory_bytes": round(memory / CUSTOMERS),
        "ask_us": round(min(took[1:]), 1),
        "ask_and_grant_bytes": round(sum(sizes) / len(sizes)),
        "granted": float(answer.is_owner and answer.slots > 0),
    }


@part
def limit_customer() -> dict[str, float]:
    """Return the cost of a customer to the owner of its limit; one entry asks."""
    return trio.run(limit_costs)


# Standby copies.


def standby_costs() -> dict[str, float]:
    """Keep copies and bring them up to date by batches."""
    table = StandbyTable()
    names = [f"r{number:024d}" for number in range(COPIES)]
    for name in names:
        table.add(
            StandbyCopy(name, "estimator-1", "kit-assistant", "l", b"{}", 600, 1, 600.0)
        )

    def payload(offset: int) -> bytes:
        updates = [
            StandbyUpdate("estimator-1", name, offset, [TOKEN] * 10) for name in names
        ]
        inner = [encode_message(update) for update in updates]
        return encode_message(StandbyBatch("waco-b-1", "waco-a-1", 1, inner))

    def read(data: bytes) -> None:
        for inner in decode_message(data)[0].updates:
            table.apply(decode_message(inner)[0])

    batches = [payload(offset) for offset in range(0, TOKENS, 10)]
    tokens = COPIES * TOKENS
    _, memory = bytes_of(lambda: [read(data) for data in batches])
    return {
        "wire_bytes": round(sum(map(len, batches)) / tokens, 1),
        "memory_bytes": round(memory / tokens, 1),
        "encode_us": least_us(lambda: payload(0), COPIES * 10),
        "take_us": least_us(lambda: [read(data) for data in batches], tokens),
    }


@part
def standby_token() -> dict[str, float]:
    """Return the cost of a token of a standby copy, ten of a stream in a batch."""
    return trio.run(in_trio, standby_costs)


def main() -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", choices=sorted(PARTS))
    options = parser.parse_args()
    configure_logs(level="error")
    figures = {}
    for name, measure in PARTS.items():
        if options.only in (None, name):
            print(f"slopes: {name}", file=sys.stderr, flush=True)
            figures[name] = measure()
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
