"""Target form: ids hash to shards, and each shard's owner admits from memory.

A claim costs a call to the owner and a copy to a peer, and no call of the store.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.claims.copies import Copier, CopyHolder, PeerCaller
from rosemaryknot.process.claims.duties import ShardDuties
from rosemaryknot.process.claims.forms import claim_form, refuse_unproven
from rosemaryknot.process.claims.map_keeper import MapKeeper
from rosemaryknot.process.claims.ownership import ShardOwnership
from rosemaryknot.process.claims.shard_map import SHARDS, shard_of
from rosemaryknot.process.claims.table import TableBounds
from rosemaryknot.process.logs import logger
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.claim_peers import (
    HandoverRecords,
    MapAsk,
    MapPush,
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
MOVED_PAUSE_S = 0.05

log = logger("shards")

REPLIES = (ClaimGranted, ClaimAnswered, ClaimRefused, CloseReply, ResultStored)


@claim_form("shards")
class ShardClaims:
    """Pass claims on to the owners of their shards, and own some.

    Parameters
    ----------
    node : Node
        This node, with the incarnation of this start.
    peers : PeerCaller
        The other nodes.
    store : ObjectStore
        Holds the shard map.
    platform : InstanceSource
        Tells whether an instance is terminated.
    bounds : TableBounds, optional
        Bounds on owned records, and again on copies held for others.
    safeguards : Safeguards, optional
        Tests may turn safeguards off.
    expected_nodes : callable, optional
        See `ShardDuties`.
    count : int
        Number of shards of a new map.
    rng : random.Random, optional
        Picks peers to ask.

    Attributes
    ----------
    maps : MapKeeper
        The shard map.
    ownership : ShardOwnership
        The shards in this node's hands.
    duties : ShardDuties
        Background tasks; `ShardDuties.run` must be started.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerCaller,
        store: ObjectStore,
        platform: InstanceSource,
        bounds: TableBounds | None = None,
        safeguards: Safeguards | None = None,
        expected_nodes: Callable[[], int] = lambda: 1,
        count: int = SHARDS,
        rng: random.Random | None = None,
    ) -> None:
        bounds = bounds or TableBounds()
        self.node = node
        self.peers = peers
        self.maps = MapKeeper(node, store, peers, count)
        self.copier = Copier(node, peers, safeguards or Safeguards())
        self.holder = CopyHolder(bounds)
        self.ownership = ShardOwnership(
            node, self.maps, self.copier, self.holder, bounds
        )
        self.duties = ShardDuties(
            node, self.maps, self.ownership, platform, expected_nodes, rng
        )

    async def run(self) -> None:
        """Look after this node's shards until cancelled; see `ShardDuties.run`."""
        await self.duties.run()

    async def hand_over(self) -> None:
        """Hand this node's shards to others, for a planned stop."""
        left = await self.duties.hand_over_all()
        if left:
            log.error("shards are left without an owner", shards=left)

    async def claim(self, request: ClaimRequest) -> Message:
        """Grant or refuse the right to send; see `ClaimForm.claim`."""
        reply = await self.route(request, request.id)
        if isinstance(reply, CallFailed):
            return refuse_unproven(
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
        """Take in what came of a claim; see `ClaimForm.record`."""
        reply = await self.route(result, result.id)
        return reply if isinstance(reply, ResultStored) else ResultStored(False)

    async def route(self, value: Message, claim_id: ClaimId) -> Message | CallFailed:
        """Have the owner of an id handle a message.

        A node that does not admit for the shard says so, and has done nothing; the
        message then goes to whom its map names. A call without an answer is not
        sent again, since it may have been handled.

        Returns
        -------
        reply : Message or CallFailed
            The owner's reply, or why there is none.
        """
        failed = CallFailed("no owner", maybe_handled=False)
        with trio.move_on_after(ROUTE_TIMEOUT_S):
            while True:
                failed = CallFailed("timeout", maybe_handled=True)
                reply = await self.ask_owner(value, claim_id)
                if not isinstance(reply, NotOwner):
                    return reply
                failed = CallFailed("no owner", maybe_handled=False)
                self.maps.adopt_push(MapPush(reply.shard_map))
                await trio.sleep(MOVED_PAUSE_S)
        return failed

    async def ask_owner(
        self, value: Message, claim_id: ClaimId
    ) -> Message | CallFailed:
        """Handle a message here or at the node that the map names."""
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
        """Handle a message for a shard of our own, or say that it is not ours."""
        if self.maps.map is None:
            return NotOwner()
        owned = self.ownership.active(shard_of(self.maps.map, claim_id))
        if owned is None:
            return NotOwner(self.maps.map.to_value())
        return await owned.handle(value)

    def status(self) -> dict[str, Any]:
        """Return what operators see of the shards at this node.

        Returns
        -------
        status : dict
            The map's number, what this node owns and remembers, and the owners that
            do not answer with the number of their shards.
        """
        shards = [] if self.maps.map is None else self.maps.map.shards
        absent = self.duties.absent_since_s
        return {
            "map_number": self.maps.number,
            "shards": len(shards),
            "owned": sorted(self.ownership.owned),
            "ids": self.ownership.use.records,
            "bytes": self.ownership.use.bytes,
            "copies_held": self.holder.use.records,
            "copies": dict(self.copier.counters),
            "mute_owners": dict(
                Counter(shard.owner for shard in shards if shard.owner in absent)
            ),
            "store_calls": self.maps.store_calls,
        }

    def register(self, handlers: Handlers) -> None:
        """Answer the other nodes.

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
        async def handover(part: HandoverRecords, link: MessageLink) -> Message:
            return self.ownership.take_in(part)

        @handlers.on(MapAsk)
        async def map_ask(asked: MapAsk, link: MessageLink) -> Message:
            if asked.number >= self.maps.number:
                return MapPush()
            return self.maps.push()

        @handlers.on(MapPush)
        async def map_push(push: MapPush, link: MessageLink) -> None:
            self.maps.adopt_push(push)
