"""At-most-once execution with shards, the form ``shards``.

Ids are hashed to shards, and the owner of each shard admits claims from memory. A claim
costs a call to the owner and a replica at a peer, but no call to the store.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.claims.forms import claim_form, refuse_unconfirmed
from rosemaryknot.process.claims.maintenance import ShardMaintenance
from rosemaryknot.process.claims.ownership import ShardOwnership
from rosemaryknot.process.claims.replication import PeerClient, ReplicaStore, Replicator
from rosemaryknot.process.claims.shard_map import DEFAULT_SHARD_COUNT, shard_of
from rosemaryknot.process.claims.shard_map_manager import ShardMapManager
from rosemaryknot.process.claims.table import TableBounds
from rosemaryknot.process.logs import logger
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.claim_peers import (
    HandoverRecords,
    MapPush,
    MapRequest,
    NotOwner,
    OwnerCall,
)
from rosemaryknot.values.claims import (
    ClaimAnswered,
    ClaimGranted,
    ClaimId,
    ClaimRefused,
    ClaimRequest,
    CloseReply,
    CloseRequest,
    RefusedKind,
    ResultRecord,
    ResultStored,
)
from rosemaryknot.values.messages import Message, decode_message, encode_message
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.outcomes import Reason
from rosemaryknot.values.platform import InstanceSource, ObjectStore

__all__ = ["ShardClaims"]

ROUTE_TIMEOUT_S = 2.6
OWNER_TIMEOUT_S = 1.8
NOT_OWNER_RETRY_S = 0.05

log = logger("shards")

REPLIES = (ClaimGranted, ClaimAnswered, ClaimRefused, CloseReply, ResultStored)


@claim_form("shards")
class ShardClaims:
    """Claim form that forwards claims to the owners of their shards.

    Parameters
    ----------
    node : Node
        This node, with the incarnation of this process.
    peers : PeerClient
        The other nodes.
    store : ObjectStore
        Stores the shard map.
    platform : InstanceSource
        Source of instance states; a terminated instance has no owner process.
    bounds : TableBounds, optional
        Bounds on owned records, and separately on replicas held for other owners.
    safeguards : Safeguards, optional
        Safeguards that tests may turn off.
    expected_nodes : callable, optional
        See `ShardMaintenance`.
    count : int
        Number of shards of a new map.
    rng : random.Random, optional
        Selects the peers that are asked for newer maps.

    Attributes
    ----------
    maps : ShardMapManager
        Manages the shard map.
    ownership : ShardOwnership
        Shards that this node owns.
    maintenance : ShardMaintenance
        Background tasks; `ShardMaintenance.run` must be started.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerClient,
        store: ObjectStore,
        platform: InstanceSource,
        bounds: TableBounds | None = None,
        safeguards: Safeguards | None = None,
        expected_nodes: Callable[[], int] = lambda: 1,
        count: int = DEFAULT_SHARD_COUNT,
        rng: random.Random | None = None,
    ) -> None:
        bounds = bounds or TableBounds()
        self.node = node
        self.peers = peers
        self.maps = ShardMapManager(node, store, peers, count)
        self.replicator = Replicator(node, peers, safeguards or Safeguards())
        self.holder = ReplicaStore(bounds)
        self.ownership = ShardOwnership(
            node, self.maps, self.replicator, self.holder, bounds
        )
        self.maintenance = ShardMaintenance(
            node, self.maps, self.ownership, platform, expected_nodes, rng
        )

    async def run(self) -> None:
        """Maintain this node's shards until cancelled; see `ShardMaintenance.run`."""
        await self.maintenance.run()

    async def hand_over(self) -> None:
        """Hand over this node's shards to other nodes, for a graceful shutdown."""
        remaining = await self.maintenance.hand_over_all()
        if remaining:
            log.error("could not hand over all shards", shards=remaining)

    async def claim(self, request: ClaimRequest) -> Message:
        """Grant or refuse the right to send a request; see `ClaimForm.claim`."""
        reply = await self.route(request, request.id)
        if isinstance(reply, CallFailed):
            return refuse_unconfirmed(
                request, Reason.OWNER_UNREACHABLE, reply.maybe_handled
            )
        return reply

    async def close(self, request: CloseRequest) -> CloseReply:
        """Close all attempts up to a number; see `ClaimForm.close`."""
        reply = await self.route(request, request.id)
        if isinstance(reply, CloseReply):
            return reply
        return CloseReply(False, RefusedKind.UNKNOWN, Reason.OWNER_UNREACHABLE)

    async def record(self, result: ResultRecord) -> ResultStored:
        """Apply the result of a claim; see `ClaimForm.record`."""
        reply = await self.route(result, result.id)
        return reply if isinstance(reply, ResultStored) else ResultStored(False)

    async def route(self, value: Message, claim_id: ClaimId) -> Message | CallFailed:
        """Send a message to the owner of an id and return the reply.

        A node that does not handle calls for the shard replies `NotOwner`, without
        having changed anything; the message is then sent to the owner named in that
        node's map. A call without a reply is not repeated, since it may have been
        handled.

        Returns
        -------
        reply : Message or CallFailed
            The owner's reply, or the reason for the failure.
        """
        failed = CallFailed("no owner", maybe_handled=False)
        with trio.move_on_after(ROUTE_TIMEOUT_S):
            while True:
                failed = CallFailed("timeout", maybe_handled=True)
                reply = await self.call_owner(value, claim_id)
                if not isinstance(reply, NotOwner):
                    return reply
                failed = CallFailed("no owner", maybe_handled=False)
                self.maps.adopt_push(MapPush(reply.shard_map))
                await trio.sleep(NOT_OWNER_RETRY_S)
        return failed

    async def call_owner(
        self, value: Message, claim_id: ClaimId
    ) -> Message | CallFailed:
        """Handle a message locally or at the owner that the map names."""
        if self.maps.map is None:
            return NotOwner()
        index = shard_of(self.maps.map, claim_id)
        shard = self.maps.map.shards[index]
        if shard.owner == self.node.name:
            return await self.handle(value, claim_id)
        call = OwnerCall(encode_message(value))
        reply = await self.peers.call(shard.owner, call, OWNER_TIMEOUT_S)
        if isinstance(reply, (CallFailed, NotOwner, *REPLIES)):
            return reply
        return CallFailed("unexpected reply", maybe_handled=True)

    async def handle(self, value: Message, claim_id: ClaimId) -> Message:
        """Handle a message if this node owns the shard, else reply `NotOwner`."""
        if self.maps.map is None:
            return NotOwner()
        owned = self.ownership.active(shard_of(self.maps.map, claim_id))
        if owned is None:
            return NotOwner(self.maps.map.to_value())
        return await owned.handle(value)

    def status(self) -> dict[str, Any]:
        """Return the state of the shards at this node for the status API.

        Returns
        -------
        status : dict
            The map's number, the shards, ids and replicas of this node, and the silent
            owners with the number of their shards.
        """
        shards = [] if self.maps.map is None else self.maps.map.shards
        absent = self.maintenance.absent_since_s
        return {
            "map_number": self.maps.number,
            "shards": len(shards),
            "owned": sorted(self.ownership.owned),
            "ids": self.ownership.usage.records,
            "bytes": self.ownership.usage.bytes,
            "copies_held": self.holder.usage.records,
            "copies": dict(self.replicator.counters),
            "mute_owners": dict(
                Counter(shard.owner for shard in shards if shard.owner in absent)
            ),
            "store_calls": self.maps.store_calls,
        }

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of other nodes.

        Parameters
        ----------
        handlers : Handlers
            Handlers of the agent's links.
        """
        self.holder.register(handlers)

        @handlers.on(OwnerCall)
        async def owner_call(call: OwnerCall, link: MessageLink) -> Message:
            value, _, _ = decode_message(call.payload)
            if not isinstance(value, (ClaimRequest, CloseRequest, ResultRecord)):
                return NotOwner()
            return await self.handle(value, value.id)

        @handlers.on(HandoverRecords)
        async def handover(page: HandoverRecords, link: MessageLink) -> Message:
            return self.ownership.receive_table_page(page)

        @handlers.on(MapRequest)
        async def map_ask(asked: MapRequest, link: MessageLink) -> Message:
            if asked.number >= self.maps.number:
                return MapPush()
            return self.maps.push()

        @handlers.on(MapPush)
        async def map_push(push: MapPush, link: MessageLink) -> None:
            self.maps.adopt_push(push)
