"""Faults that hit the owner of a shard at the worst moment for its claims."""

import random

import trio

from rosemaryknot.process.claims.records import CLOSED_ALL, ClaimRecord
from rosemaryknot.replay.fault_kinds import fault
from rosemaryknot.replay.system import CALLERS_HOST, NodeProcesses, System
from rosemaryknot.values.claims import ClaimId
from rosemaryknot.values.nodes import ServerState

__all__ = ["OWNER_END", "OWNER_FAULTS"]

OWNER_END = "end owner"
OWNER_FAULTS = [OWNER_END, "service away", "service away"]

# Longer than others take to find the owner's end proven and to take its shards.
DELAY_S = (10.0, 15.0)
WATCH_S = 8.0
POLL_S = 0.01
LEAST_NODES = 3


def is_later_attempt(record: ClaimRecord) -> bool:
    """Tell whether a later attempt than the first was granted or closed."""
    return record.attempt >= 2 or 2 <= record.closed < CLOSED_ALL


def has_ruled_out(node: NodeProcesses, seen: set[ClaimId]) -> bool:
    """Tell whether the first that an owner hears of an id is a later attempt.

    Its first attempt may then be on the way still.
    """
    if node.agent_process is None:
        return False
    found = {
        claim_id: record
        for owned in node.agent_process.shards.ownership.owned.values()
        for claim_id, record in owned.table.records.items()
        if claim_id not in seen
    }
    seen.update(found)
    return any(is_later_attempt(record) for record in found.values())


def callers_pair(system: System, name: str) -> frozenset[str]:
    """Return the hosts of the callers and of a node's entry."""
    return frozenset((CALLERS_HOST, system.nodes[name].entry.network.host))


@fault(OWNER_END)
async def end_owner(system: System, rng: random.Random) -> None:
    """End an owner right after it granted or closed a second attempt.

    What is sent to half of the entries lies before them meanwhile, and is read only
    when the owner's successor has taken the shard. The platform confirms the end.
    """
    names = sorted(system.nodes)
    held = rng.sample(names, max(1, len(names) // 2))
    delay_s = rng.uniform(*DELAY_S)
    for name in held:
        system.network.delays_s[callers_pair(system, name)] = delay_s
    servers = system.platform.cloud.servers
    seen: dict[str, set[ClaimId]] = {name: set() for name in system.nodes}
    for name, node in system.nodes.items():
        has_ruled_out(node, seen[name])
    with trio.move_on_after(WATCH_S):
        while True:
            await trio.sleep(POLL_S)
            live = [n for n in servers if servers[n].state == ServerState.LIVE]
            nodes = [n for n in sorted(system.nodes) if n in live]
            found = [n for n in nodes if has_ruled_out(system.nodes[n], seen[n])]
            found = [n for n in found if n not in held]
            if found and len(nodes) >= LEAST_NODES:
                system.kill_node(found[0])
                break
    await trio.sleep(DELAY_S[1])
    for name in held:
        system.network.delays_s.pop(callers_pair(system, name), None)
