"""Operator API for the shards of at-most-once execution."""

from dataclasses import asdict, dataclass, field
from typing import Any

import trio
from quart import Blueprint, Response, g, jsonify, request

from rosemaryknot.process.claims.shard_map import Shard
from rosemaryknot.process.claims.shards import ShardClaims
from rosemaryknot.values.nodes import BackendServer, ServerState

__all__ = ["OwnerStatus", "ShardsApi", "owners_of"]

PLATFORM_TIMEOUT_S = 2.0

CONFIRM_WARNING = (
    "If a process of {node} still runs, paused or cut off, requests of its {count} "
    "shards can run twice. Confirm only when its machine is gone."
)


@dataclass(slots=True)
class OwnerStatus:
    """An owner and its shards.

    Attributes
    ----------
    owner : str
        Name of the node.
    incarnation : int
        Incarnation of the node.
    state : str
        ``live``; ``mute`` if the owner is silent and its shards cannot be taken over
        before it is confirmed to have stopped; ``confirmed`` if an operator confirmed
        that.
    mute_s : float
        Seconds since this node found that the owner is not live; 0 while it is live.
    shards : list of int
        Indexes of the owner's shards.
    """

    owner: str
    incarnation: int
    state: str
    mute_s: float = 0.0
    shards: list[int] = field(default_factory=list)


def owners_of(claims: ShardClaims) -> list[OwnerStatus]:
    """Return the owners of the shards in this node's copy of the shard map.

    Parameters
    ----------
    claims : ShardClaims
        Local state of the shards.

    Returns
    -------
    owners : list of OwnerStatus
        Owners sorted by name, those that are not live first.
    """
    statuses: dict[tuple[str, int], OwnerStatus] = {}
    for index, shard in enumerate(known_shards(claims)):
        owner_key = (shard.owner, shard.incarnation)
        if owner_key not in statuses:
            statuses[owner_key] = owner_status(claims, shard)
        statuses[owner_key].shards.append(index)
    return sorted(
        statuses.values(), key=lambda owner: (owner.state == "live", owner.owner)
    )


def known_shards(claims: ShardClaims) -> list[Shard]:
    """Return the shards of the shard map; empty if this node has no map yet."""
    return [] if claims.maps.map is None else claims.maps.map.shards


def owner_status(claims: ShardClaims, shard: Shard) -> OwnerStatus:
    """Return the status of a shard's owner as known to this node."""
    status = OwnerStatus(shard.owner, shard.incarnation, "live")
    since_s = claims.maintenance.absent_since_s.get(shard.owner)
    if since_s is not None:
        status.mute_s = round(trio.current_time() - since_s, 1)
        status.state = "mute"
        if claims.maintenance.stopped_owners.is_confirmed(shard):
            status.state = "confirmed"
    return status


class ShardsApi:
    """Operator API for the shards.

    Parameters
    ----------
    claims : ShardClaims
        Local state of the shards.
    """

    def __init__(self, claims: ShardClaims) -> None:
        self.claims = claims

    def blueprint(self) -> Blueprint:
        """Return the blueprint with the routes."""
        routes = Blueprint("shards", __name__, url_prefix="/v1/shards")
        routes.get("")(self.show)
        routes.post("/confirm-ended")(self.confirm_ended)
        return routes

    async def show(self) -> Response:
        """Handle the request for the owners and their shards."""
        owners = [asdict(owner) for owner in owners_of(self.claims)]
        return json_response(200, map_number=self.claims.maps.number, owners=owners)

    async def confirm_ended(self) -> Response:
        """Handle an operator's confirmation that a node has stopped.

        After the confirmation, other nodes take over the node's shards. A request whose
        ``confirm`` differs from ``node`` changes nothing and returns a warning.
        """
        body = await request.get_json(force=True, silent=True)
        body = body if isinstance(body, dict) else {}
        node, confirmed = body.get("node"), body.get("confirm")
        if not isinstance(node, str) or not node:
            detail = 'the body must be {"node": "<name>", "confirm": "<name>"}'
            return json_response(400, outcome="bad_request", detail=detail)
        shards = [shard for shard in known_shards(self.claims) if shard.owner == node]
        refusal = self.refusal(node, shards) or await self.platform_refusal(node)
        if refusal is not None:
            return refusal
        if confirmed != node:
            detail = CONFIRM_WARNING.format(node=node, count=len(shards))
            return json_response(409, outcome="needs_confirm", detail=detail, word=node)
        # The node may be live again after the call to the platform.
        refusal = self.refusal(node, shards)
        if refusal is not None:
            return refusal
        for shard in shards:
            self.claims.maintenance.stopped_owners.confirm(shard, g.operator.name)
        return json_response(202, outcome="confirmed", node=node, shards=len(shards))

    def refusal(self, node: str, shards: list[Shard]) -> Response | None:
        """Return a refusal if local state rules out a confirmation, otherwise None."""
        if not shards:
            detail = f"{node} owns no shards"
            return json_response(404, outcome="unknown_owner", detail=detail)
        if node not in self.claims.maintenance.absent_since_s:
            detail = f"{node} answers, so it has not ended"
            return json_response(409, outcome="live", detail=detail)
        return None

    async def platform_refusal(self, node: str) -> Response | None:
        """Return a refusal if the platform can terminate the node, otherwise None.

        An instance that the platform knows can be terminated, and then no confirmation
        by an operator is needed.
        """
        found: Any = None
        with trio.move_on_after(PLATFORM_TIMEOUT_S):
            found = await self.claims.maintenance.platform.instance(node)
        if isinstance(found, BackendServer) and found.state != ServerState.TERMINATED:
            detail = (
                f"the platform says that {node} is {found.state}: have it terminated, "
                "then its shards pass on by themselves"
            )
            return json_response(409, outcome="not_terminated", detail=detail)
        return None


def json_response(status: int, **body: Any) -> Response:
    """Return a JSON response."""
    response = jsonify(body)
    response.status_code = status
    return response
