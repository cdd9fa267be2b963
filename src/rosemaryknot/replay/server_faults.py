"""Faults of backend servers that a run can meet around reclaims."""

import random

import trio

from rosemaryknot.replay.fault_kinds import any_server, fault, live_servers
from rosemaryknot.replay.system import System

__all__ = ["RECLAIM_FAULTS"]

RECLAIM_FAULTS = [
    "another sample",
    "crossed answers",
    "engine",
    "reclaim under load",
    "reclaim under load",
    "reclaim target",
    "reclaim zone",
]

LONG_NOTICE_S = (5.0, 8.0)


@fault("reclaim under load")
async def reclaim_under_load(system: System, rng: random.Random) -> None:
    """Reclaim one server of each service with a long notice, in one zone.

    Until its deadline it would take new work, so that work sent to it shows.
    """
    zone = rng.choice(system.plan.zones)
    gone = [s for s in live_servers(system) if s.listed.zone == zone]
    notice_s = rng.uniform(*LONG_NOTICE_S)
    for server in gone:
        system.platform.reclaim(server.listed.instance, notice_s)
    await trio.sleep(notice_s)
    for server in gone:
        await system.start_server(server.listed.service, zone)


@fault("crossed answers")
async def cross_answers(system: System, rng: random.Random) -> None:
    """Let each engine exchange the streams of two requests, once."""
    for server in live_servers(system, plain=False):
        server.standin.faults.swap = True


@fault("another sample")
async def give_another_sample(system: System, rng: random.Random) -> None:
    """Let an engine go on with another sample of the answers that it is giving."""
    server = any_server(system, rng, plain=False)
    if server is not None:
        for generation in server.standin.batch.running:
            generation.lineage = f"{generation.lineage}-other"
            generation.seed += 1
