"""Faults that kill the owner of a shard right after it granted a later attempt."""

import random

import trio

from rosemaryknot.process.claims.records import CLOSED_ALL, ClaimRecord
from rosemaryknot.replay.fault_kinds import fault
from rosemaryknot.replay.system import CALLERS_HOST, NodeProcesses, System
from rosemaryknot.values.claims import ClaimId
from rosemaryknot.values.nodes import ServerState

__all__ = ["KILL_OWNER", "OWNER_FAULTS"]

KILL_OWNER = "end owner"
OWNER_FAULTS = [KILL_OWNER, "service away", "service away"]

# Longer than the other nodes need to confirm that the owner has stopped and to take
# over its shards.
DELAY_RANGE_S = (10.0, 15.0)
OBSERVATION_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.01
MIN_NODES = 3


def is_later_attempt(record: ClaimRecord) -> bool:
    """Return whether an attempt after the first was granted or closed."""
    return record.attempt >= 2 or 2 <= record.closed < CLOSED_ALL


def has_new_later_attempt(node: NodeProcesses, seen: set[ClaimId]) -> bool:
    """Return whether an owner's first record of a claim is of a later attempt.

    The first attempt may then still be in transit. Claim ids that are examined are
    added to ``seen``.
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


def caller_entry_hosts(system: System, name: str) -> frozenset[str]:
    """Return the pair of hosts of the callers and of a node's entry."""
    return frozenset((CALLERS_HOST, system.nodes[name].entry.network.host))


@fault(KILL_OWNER)
async def kill_owner(system: System, rng: random.Random) -> None:
    """Kill a shard owner right after it granted or closed a second attempt.

    Requests to half of the entries are delayed, so that they arrive only after the
    owner's successor has taken over the shard. The platform reports the owner's
    instance as terminated.
    """
    names = sorted(system.nodes)
    delayed = rng.sample(names, max(1, len(names) // 2))
    delay_s = rng.uniform(*DELAY_RANGE_S)
    for name in delayed:
        system.network.delays_s[caller_entry_hosts(system, name)] = delay_s
    servers = system.platform.cloud.servers
    seen: dict[str, set[ClaimId]] = {name: set() for name in system.nodes}
    for name, node in system.nodes.items():
        has_new_later_attempt(node, seen[name])
    with trio.move_on_after(OBSERVATION_TIMEOUT_S):
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            live = [n for n in servers if servers[n].state == ServerState.LIVE]
            nodes = [n for n in sorted(system.nodes) if n in live]
            found = [
                n for n in nodes if has_new_later_attempt(system.nodes[n], seen[n])
            ]
            found = [n for n in found if n not in delayed]
            if found and len(nodes) >= MIN_NODES:
                system.kill_node(found[0])
                break
    await trio.sleep(DELAY_RANGE_S[1])
    for name in delayed:
        system.network.delays_s.pop(caller_entry_hosts(system, name), None)
