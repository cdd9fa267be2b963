"""Fake store and nodes with fault injection, for the tests of claims."""

import random
from collections import defaultdict

import trio

from rosemaryknot.connection.links import CallFailed, Handlers
from rosemaryknot.process.claims.handlers import register_claim_handlers
from rosemaryknot.process.claims.shard_map import shard_of
from rosemaryknot.process.claims.shards import ShardClaims
from rosemaryknot.standin.platform_objects import ObjectKind
from rosemaryknot.values.claims import ClaimRequest, CloseRequest, ResultRecord
from rosemaryknot.values.messages import decode_message, encode_message
from rosemaryknot.values.nodes import BackendServer, Node, ServerState
from rosemaryknot.values.platform import Missing, PlatformFailed


class FakeStore:
    """Object store with lost responses, delayed writes and outages.

    ``lost_responses`` is the number of writes that take effect but whose response is
    lost. ``delayed_writes`` is the number of writes that fail with a time-out and take
    effect ``write_delay_s`` later.
    """

    def __init__(self):
        self.kinds = defaultdict(ObjectKind)
        self.is_down = False
        self.lost_responses = 0
        self.delayed_writes = 0
        self.write_delay_s = 1.0
        self.calls = 0
        self.nursery = None

    async def read(self, kind, name):
        self.calls += 1
        await trio.sleep(0.001)
        if self.is_down:
            return PlatformFailed("unavailable")
        return self.kinds[kind].read(name)

    async def create(self, kind, name, value):
        return await self.put(kind, name, value, 0)

    async def update(self, kind, name, value, version):
        return await self.put(kind, name, value, version)

    async def delete(self, kind, name, version):
        self.calls += 1
        await trio.sleep(0.001)
        if self.is_down:
            return PlatformFailed("unavailable")
        return self.kinds[kind].delete(name, version)

    async def put(self, kind, name, value, version):
        self.calls += 1
        await trio.sleep(0.001)
        if self.is_down:
            return PlatformFailed("unavailable")
        if self.delayed_writes:
            self.delayed_writes -= 1
            self.nursery.start_soon(self.put_late, kind, name, value, version)
            return PlatformFailed("timeout", maybe_done=True)
        written = self.kinds[kind].put(name, value, version)
        if self.lost_responses:
            self.lost_responses -= 1
            return PlatformFailed("timeout", maybe_done=True)
        return written

    async def put_late(self, kind, name, value, version):
        await trio.sleep(self.write_delay_s)
        self.kinds[kind].put(name, value, version)


def claim_of(key, claim, attempt=0, body=b"b", number=0, timeout_s=10.0):
    return ClaimRequest(
        "estimator-1", "dispatch-app", key, claim, attempt, body, number, timeout_s
    )


def close_of(key, attempt):
    return CloseRequest("estimator-1", "dispatch-app", key, attempt)


def result_of(request, result, **fields):
    return ResultRecord(
        request.customer,
        request.service,
        request.key,
        request.claim,
        request.attempt,
        result,
        **fields,
    )


class FakePeers:
    """Peers of one node of a `FakeCluster`."""

    def __init__(self, cluster, node):
        self.cluster = cluster
        self.node = node

    def nodes(self):
        return [
            member.node
            for name, member in self.cluster.members.items()
            if name != self.node.name and self.cluster.reaches(self.node.name, name)
        ]

    def linked(self):
        return self.nodes()

    async def broadcast(self, value):
        for node in self.nodes():
            if self.node.name not in self.cluster.nodes_without_broadcast:
                self.cluster.nursery.start_soon(self.call, node.name, value, 1.0)

    async def call(self, name, value, timeout_s):
        reply = None
        with trio.move_on_after(timeout_s):
            await trio.sleep(self.cluster.delay_s)
            reply = await self.deliver(name, value)
            await trio.sleep(self.cluster.delay_s)
            if not self.cluster.reaches(self.node.name, name):
                await trio.sleep_forever()
            if (self.node.name, name, type(value)) in self.cluster.lost_replies:
                await trio.sleep_forever()
            return reply
        return CallFailed("timeout", maybe_handled=True)

    async def deliver(self, name, value):
        """Run the handler as a task of the called node.

        It continues after the call is cancelled.
        """
        if not self.cluster.reaches(self.node.name, name):
            await trio.sleep_forever()
        member = self.cluster.members[name]
        while name in self.cluster.paused:
            await trio.sleep(0.1)
        done, replies = trio.Event(), []
        value, _, _ = decode_message(encode_message(value))

        async def handle():
            handler = member.handlers.by_type[type(value)]
            reply = await handler(value, None)
            if reply is not None:
                replies.append(decode_message(encode_message(reply))[0])
            done.set()

        member.nursery.start_soon(handle)
        await done.wait()
        return replies[0] if replies else None


class FakeInstances:
    """Instance states as reported by the platform."""

    def __init__(self):
        self.states = {}

    async def instance(self, name):
        state = self.states.get(name)
        if state is None:
            return Missing()
        return BackendServer(name, "rosemaryknot", "", "", True, "", state)


class Member:
    """One node of a `FakeCluster`."""

    def __init__(self, cluster, node, safeguards, bounds):
        self.node = node
        self.handlers = Handlers()
        self.claims = ShardClaims(
            node,
            FakePeers(cluster, node),
            cluster.store,
            cluster.instances,
            bounds,
            safeguards,
            lambda: cluster.expected,
            count=12,
            rng=random.Random(1),
        )
        self.claims.register(self.handlers)
        register_claim_handlers(
            self.handlers,
            {"shards": self.claims},
            lambda service: "shards",
            lambda: self.claims.maps.number,
        )

    async def run(self, task_status):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            await self.claims.run()


class FakeCluster:
    """Nodes that can be partitioned, paused and killed, in virtual time."""

    def __init__(self, nursery, safeguards=None, bounds=None):
        self.nursery = nursery
        self.store = FakeStore()
        self.store.nursery = nursery
        self.instances = FakeInstances()
        self.safeguards = safeguards
        self.bounds = bounds
        self.members = {}
        self.stopped = set()
        self.partitions = set()
        self.paused = set()
        self.lost_replies = set()
        self.nodes_without_broadcast = set()
        self.delay_s = 0.001
        self.expected = 0
        self.starts = 0

    def reaches(self, one, other):
        has_stopped = self.stopped & {one, other}
        return not has_stopped and frozenset((one, other)) not in self.partitions

    async def start(self, *names):
        """Start nodes; a name begins with its zone, as in ``a-1``."""
        for name in names:
            self.starts += 1
            node = Node(name, name.split("-")[0], self.starts)
            member = Member(self, node, self.safeguards, self.bounds)
            self.members[name] = member
            self.stopped.discard(name)
            self.instances.states[name] = ServerState.LIVE
            self.expected = max(self.expected, len(self.members))
            await self.nursery.start(member.run)
        await trio.sleep(2)

    def kill(self, name, state=None):
        """Stop a node's process and optionally set its instance state."""
        self.stopped.add(name)
        self.members[name].nursery.cancel_scope.cancel()
        if state:
            self.instances.states[name] = state

    def partition(self, ones, others):
        self.partitions |= {frozenset((one, other)) for one in ones for other in others}

    def claims(self, name):
        return self.members[name].claims

    def key_owned_by(self, name, start=0):
        """Return a key whose shard a node currently owns."""
        maps = self.claims(name).maps
        for number in range(start, start + 10_000):
            key = f"k{number}"
            shard = shard_of(maps.map, claim_of(key, "").id)
            if maps.map.shards[shard].owner == name:
                return key
        raise AssertionError(f"{name} owns nothing")

    def owners(self):
        """Return for each shard the live nodes that currently handle calls for it."""
        live = [m for name, m in self.members.items() if name not in self.stopped]
        return [
            [m.node.name for m in live if m.claims.ownership.active(index)]
            for index in range(12)
        ]
