"""Limit owners and entries, with lost calls, network partitions and frozen nodes."""

from types import SimpleNamespace

import trio

from rosemaryknot.connection.links import CallFailed, Handlers
from rosemaryknot.process.limits.owner import SETTLE_S as SETTLE_S
from rosemaryknot.process.limits.owner import LimitOwner
from rosemaryknot.process.limits.shares import LimitKey, ZoneMembers, owner_of
from rosemaryknot.request.accounts import Charge
from rosemaryknot.request.budget import EntryBudgets
from rosemaryknot.values.limits import BudgetRequest, BudgetTransfer
from rosemaryknot.values.messages import decode_message, encode_message
from rosemaryknot.values.nodes import Node
from rosemaryknot.version.tables import Limit

CUSTOMER, SERVICE = "estimator-1", "kit-assistant"
KEY = LimitKey(CUSTOMER, SERVICE)


class LimitNode:
    """Limit owner of an agent, and the entry of its node.

    ``visible_nodes`` holds the names of the nodes that it considers live.
    """

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.node = Node(name, zone, 1)
        self.visible_nodes = set()
        self.is_frozen = False
        self.is_agent_stopped = False
        self.handlers = Handlers()
        self.owner = LimitOwner(self.node, self, self, self.handlers, fleet.settle_s)
        self.entry = EntryBudgets(self.node, SimpleNamespace(call=self.call_agent))

    # Interface `LimitSource` of the owner.

    def limit(self, key):
        return self.fleet.limit

    def zones(self):
        return sorted({node.node.zone for node in self.fleet.nodes.values()})

    def members(self, zone):
        nodes = [n.node for n in self.fleet.nodes.values() if n.node.zone == zone]
        live = [
            node for node in nodes if node.name in self.visible_nodes | {self.node.name}
        ]
        known = [node for node in nodes if node.name not in self.fleet.terminated]
        return ZoneMembers(tuple(live), len(known))

    # Calls.

    async def call(self, name, value, timeout_s):
        return await self.fleet.call(self, name, value, "agent", timeout_s)

    async def call_agent(self, value, timeout_s):
        if self.is_agent_stopped:
            return CallFailed("closed", maybe_handled=False)
        return await self.fleet.call(self, self.node.name, value, "entry", timeout_s)

    async def acquire(self, tokens, customer=CUSTOMER, max_wait_s=0.0):
        limit = self.fleet.limit
        return await self.entry.acquire(customer, SERVICE, limit, tokens, max_wait_s)


class LimitFleet:
    """Nodes in several zones.

    ``loses_response`` is called with caller, callee and message, and returns whether
    the response is lost. ``partitions`` holds pairs of zones that cannot reach each
    other.
    """

    def __init__(self, limit, zones, per_zone=2, settle_s=SETTLE_S):
        self.limit = limit
        self.settle_s = settle_s
        self.nodes = {}
        self.terminated = set()
        self.partitions = set()
        self.loses_response = lambda source, target, value: False
        self.asks = self.transfers = 0
        for zone in zones:
            for number in range(1, per_zone + 1):
                name = f"{zone}-{number}"
                self.nodes[name] = LimitNode(self, name, zone)
        for node in self.nodes.values():
            node.visible_nodes = set(self.nodes)

    async def run(self, nursery, settled=True):
        for node in self.nodes.values():
            nursery.start_soon(self.run_owner, node)
            nursery.start_soon(node.entry.run)
        if settled:
            await trio.sleep(self.settle_s + 1)

    async def run_owner(self, node):
        while True:
            if not node.is_frozen:
                node.owner.refresh_members()
                node.owner.evict_idle()
                await node.owner.transfers.renew()
            await trio.sleep(0.5)

    async def call(self, source, target, value, role, timeout_s):
        self.asks += isinstance(value, BudgetRequest)
        self.transfers += isinstance(value, BudgetTransfer)
        node = self.nodes[target]
        zones = frozenset((source.node.zone, node.node.zone))
        if node.is_frozen or zones in self.partitions or target in self.terminated:
            await trio.sleep(timeout_s)
            return CallFailed("timeout", maybe_handled=True)
        await trio.sleep(0.0005)
        sent, _, _ = decode_message(encode_message(value))
        hello = SimpleNamespace(role=role, name=source.node.name)
        handler = node.handlers.by_type[type(sent)]
        response = await handler(sent, SimpleNamespace(hello=hello))
        if self.loses_response(source, node, sent):
            await trio.sleep(timeout_s)
            return CallFailed("timeout", maybe_handled=True)
        return decode_message(encode_message(response))[0]

    def owner(self, zone):
        nodes = [n.node for n in self.nodes.values() if n.node.zone == zone]
        return self.nodes[owner_of(KEY, nodes).name]

    def non_owners(self, zone):
        owner = self.owner(zone)
        nodes = [n for n in self.nodes.values() if n.node.zone == zone]
        return [node for node in nodes if node is not owner]

    def partition_zone(self, zone):
        for other in {n.node.zone for n in self.nodes.values()} - {zone}:
            self.partitions.add(frozenset((zone, other)))


async def flood(nodes, seconds, tokens, gap_s, max_wait_s=0.0):
    """Send requests of ``tokens`` to the nodes round-robin; return admitted tokens."""
    admitted = 0.0
    end_s = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:

        async def send(node):
            nonlocal admitted
            charge = await node.acquire(tokens, max_wait_s=max_wait_s)
            if isinstance(charge, Charge):
                admitted += tokens
                charge.settle(tokens)

        number = 0
        while trio.current_time() < end_s:
            nursery.start_soon(send, nodes[number % len(nodes)])
            number += 1
            await trio.sleep(gap_s)
    return admitted


async def hold_slots(nodes, seconds, gap_s, held_s):
    """Send requests that hold slots; return the maximum held at the same time."""
    running = max_running = 0
    end_s = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:

        async def send(node):
            nonlocal running, max_running
            charge = await node.acquire(0)
            if isinstance(charge, Charge):
                running += 1
                max_running = max(max_running, running)
                await trio.sleep(held_s)
                charge.settle()
                running -= 1

        number = 0
        while trio.current_time() < end_s:
            nursery.start_soon(send, nodes[number % len(nodes)])
            number += 1
            await trio.sleep(gap_s)
    return max_running


def tokens_per_minute(tokens):
    return Limit(tokens_per_minute=tokens)


def concurrent(requests):
    return Limit(concurrent_requests=requests)
