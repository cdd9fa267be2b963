"""Restores of the stand-in of the store from an older copy, as in a drill."""

import random
from collections.abc import Container
from typing import Any

import trio

from rosemaryknot.standin.users.disturbances import ALL_SUBJECTS, Disturbances
from rosemaryknot.standin.users.store import StoreStandIn

__all__ = ["apply_restore", "draw_restores", "restore_store"]

# When operator and servers write again what a restored store has lost.
REWRITE_DELAY_S = 0.2
# When the entry of a server that has left disappears again: after three heartbeats.
LAPSE_S = 3.6
WRITTEN_KINDS = ("config", "servers")


async def restore_store(
    store: StoreStandIn,
    servers: Container[str],
    age_s: float,
    away_s: float = 0.0,
    mode: str = "busy",
) -> None:
    """Restore the store; operator and servers write again what it lost.

    Parameters
    ----------
    store : StoreStandIn
        The store.
    servers : container of str
        Ids of the servers, which changes as they come and leave.
    age_s : float
        Age of the copy when the store fails, in seconds.
    away_s : float
        How long the store does not serve calls before its return, in seconds.
    mode : str
        How it does not serve them; see `StoreFaults`.
    """
    if away_s:
        store.faults.begin(mode)
        await trio.sleep(away_s)
    lost = {kind: dict(store.objects.get(kind, {})) for kind in WRITTEN_KINDS}
    store.restore(age_s + away_s)
    if away_s:
        store.faults.end()
    await trio.sleep(REWRITE_DELAY_S)
    for name, item in lost["config"].items():
        write_configuration(store, name, item["spec"])
    for name, item in lost["servers"].items():
        if name in servers:
            store.put("servers", name, item["spec"])
    await trio.sleep(LAPSE_S)
    for name in list(store.objects["servers"]):
        if name not in servers:
            store.remove("servers", name)


async def apply_restore(
    store: StoreStandIn,
    servers: Container[str],
    disturbances: Disturbances,
    fault: dict[str, Any],
) -> None:
    """Restore the store as a drawn fault says; its absence disturbs all nodes."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            restore_store,
            store,
            servers,
            fault["age_s"],
            fault["away_s"],
            fault["mode"],
        )
        with disturbances.disturb(ALL_SUBJECTS):
            await trio.sleep(fault["away_s"])


def write_configuration(store: StoreStandIn, name: str, spec: dict) -> None:
    """Write a configuration unless the operator has written a later one since."""
    known = store.objects["config"].get(name)
    if known is None or known["spec"]["version"] < spec["version"]:
        store.put("config", name, spec)


def draw_restores(rng: random.Random) -> list[dict[str, Any]]:
    """Draw one or two restores, the second one perhaps within seconds."""
    at_s = rng.uniform(4.0, 10.0)
    faults = []
    for _ in range(rng.choice((1, 1, 2))):
        faults.append(
            {
                "at": round(at_s, 2),
                "kind": "restore",
                "age_s": round(rng.uniform(0.5, 5.0), 2),
                "away_s": rng.choice((0.0, 0.3, 1.0, 2.5)),
                "mode": rng.choice(("busy", "reset", "silent")),
            }
        )
        at_s += rng.uniform(3.0, 6.0)
    return faults
