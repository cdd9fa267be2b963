"""Faults of backend servers that are injected together with reclaims."""

import random

import trio

from rosemaryknot.replay.fault_kinds import fault, live_servers, random_server
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

LONG_NOTICE_RANGE_S = (5.0, 8.0)


@fault("reclaim under load")
async def reclaim_under_load(system: System, rng: random.Random) -> None:
    """Reclaim the backend servers of one zone with a long notice.

    A reclaimed server accepts new work until its deadline, so that the audit finds
    work that was sent to it after the notice.
    """
    zone = rng.choice(system.plan.zones)
    reclaimed = [s for s in live_servers(system) if s.listed.zone == zone]
    notice_s = rng.uniform(*LONG_NOTICE_RANGE_S)
    for server in reclaimed:
        system.platform.reclaim(server.listed.instance, notice_s)
    await trio.sleep(notice_s)
    for server in reclaimed:
        await system.start_server(server.listed.service, zone)


@fault("crossed answers")
async def swap_responses(system: System, rng: random.Random) -> None:
    """Make each engine swap the response streams of two requests, once."""
    for server in live_servers(system, plain=False):
        server.standin.faults.swap = True


@fault("another sample")
async def change_samples(system: System, rng: random.Random) -> None:
    """Make an engine continue its running generations with other samples."""
    server = random_server(system, rng, plain=False)
    if server is not None:
        for generation in server.standin.batch.running:
            generation.lineage = f"{generation.lineage}-other"
            generation.seed += 1
