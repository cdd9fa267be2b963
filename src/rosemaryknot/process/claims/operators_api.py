"""Operators' calls on the shards of at-most-once execution."""

from dataclasses import asdict, dataclass, field
from typing import Any

import trio
from quart import Blueprint, Response, g, jsonify, request

from rosemaryknot.process.claims.shard_map import Shard
from rosemaryknot.process.claims.shards import ShardClaims
from rosemaryknot.values.nodes import BackendServer, ServerState

__all__ = ["OwnerStatus", "ShardsApi", "owners_of"]

ASK_TIMEOUT_S = 2.0

WARNING = (
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
        Which process of it.
    state : str
        ``live``; ``mute`` where it does not answer and its shards wait for the proof
        of its end; ``confirmed`` where an operator gave that proof.
    mute_s : float
        For how long it has not answered this node.
    shards : list of int
        Indexes of its shards.
    """

    owner: str
    incarnation: int
    state: str
    mute_s: float = 0.0
    shards: list[int] = field(default_factory=list)


def owners_of(claims: ShardClaims) -> list[OwnerStatus]:
    """Return who owns which shards, by the map that this node knows.

    Parameters
    ----------
    claims : ShardClaims
        The shards as this node sees them.

    Returns
    -------
    owners : list of OwnerStatus
        Those that do not answer first, then by name.
    """
    found: dict[tuple[str, int], OwnerStatus] = {}
    for index, shard in enumerate(known_shards(claims)):
        process = (shard.owner, shard.incarnation)
        if process not in found:
            found[process] = owner_status(claims, shard)
        found[process].shards.append(index)
    return sorted(
        found.values(), key=lambda owner: (owner.state == "live", owner.owner)
    )


def known_shards(claims: ShardClaims) -> list[Shard]:
    """Return the shards of the known map."""
    return [] if claims.maps.map is None else claims.maps.map.shards


def owner_status(claims: ShardClaims, shard: Shard) -> OwnerStatus:
    """Return what this node knows of a shard's owner."""
    status = OwnerStatus(shard.owner, shard.incarnation, "live")
    since_s = claims.duties.absent_since_s.get(shard.owner)
    if since_s is not None:
        status.mute_s = round(trio.current_time() - since_s, 1)
        status.state = "mute"
        if claims.duties.ended.is_confirmed(shard):
            status.state = "confirmed"
    return status


class ShardsApi:
    """Calls on the shards.

    Parameters
    ----------
    claims : ShardClaims
        The shards as this node sees them.
    """

    def __init__(self, claims: ShardClaims) -> None:
        self.claims = claims

    def blueprint(self) -> Blueprint:
        """Return the routes."""
        routes = Blueprint("shards", __name__, url_prefix="/v1/shards")
        routes.get("")(self.show)
        routes.post("/confirm-ended")(self.confirm_ended)
        return routes

    async def show(self) -> Response:
        """Answer with who owns which shards."""
        owners = [asdict(owner) for owner in owners_of(self.claims)]
        return answered(200, map_number=self.claims.maps.number, owners=owners)

    async def confirm_ended(self) -> Response:
        """Take an operator's word that a node has ended, so that its shards pass on."""
        body = await request.get_json(force=True, silent=True)
        body = body if isinstance(body, dict) else {}
        node, confirmed = body.get("node"), body.get("confirm")
        if not isinstance(node, str) or not node:
            detail = 'the body must be {"node": "<name>", "confirm": "<name>"}'
            return answered(400, outcome="bad_request", detail=detail)
        shards = [shard for shard in known_shards(self.claims) if shard.owner == node]
        refusal = self.refusal(node, shards) or await self.platform_refusal(node)
        if refusal is not None:
            return refusal
        if confirmed != node:
            detail = WARNING.format(node=node, count=len(shards))
            return answered(409, outcome="needs_confirm", detail=detail, word=node)
        # It may have come back while the platform was asked.
        refusal = self.refusal(node, shards)
        if refusal is not None:
            return refusal
        for shard in shards:
            self.claims.duties.ended.confirm(shard, g.operator.name)
        return answered(202, outcome="confirmed", node=node, shards=len(shards))

    def refusal(self, node: str, shards: list[Shard]) -> Response | None:
        """Return why the word on a node is not taken by what is known here."""
        if not shards:
            detail = f"{node} owns no shards"
            return answered(404, outcome="unknown_owner", detail=detail)
        if node not in self.claims.duties.absent_since_s:
            detail = f"{node} answers, so it has not ended"
            return answered(409, outcome="live", detail=detail)
        return None

    async def platform_refusal(self, node: str) -> Response | None:
        """Return why the word on a node is not taken by what the platform says.

        An instance that the platform knows can be terminated, and then nobody's word
        is needed.
        """
        found: Any = None
        with trio.move_on_after(ASK_TIMEOUT_S):
            found = await self.claims.duties.platform.instance(node)
        if isinstance(found, BackendServer) and found.state != ServerState.TERMINATED:
            detail = (
                f"the platform says that {node} is {found.state}: have it terminated, "
                "then its shards pass on by themselves"
            )
            return answered(409, outcome="not_terminated", detail=detail)
        return None


def answered(status: int, **body: Any) -> Response:
    """Return a JSON answer."""
    response = jsonify(body)
    response.status_code = status
    return response
