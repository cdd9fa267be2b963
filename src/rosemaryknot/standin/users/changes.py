"""Changes of the configuration whose effect callers can see."""

import random

from rosemaryknot.standin.users.store import StoreStandIn
from rosemaryknot.standin.users.system import PLAIN, document, route

__all__ = ["added_path", "changed_document", "filler_routes"]

# So many of the added routes stay; with each change the oldest is dropped.
KEPT_ROUTES = 3
VERSION_STEP = 3
ADDED = "added-"


def filler_routes(count: int) -> list[dict]:
    """Return routes that only make a configuration large."""
    return [
        route(f"r-{n:05x}", f"/{n * 2654435761 % 2**32:08x}/", "idempotent", PLAIN)
        for n in range(count)
    ]


def changed_document(store: StoreStandIn, filler: int = 0) -> dict:
    """Return the next version: one route more, and only the newest of those added.

    Parameters
    ----------
    store : StoreStandIn
        Holds the version before.
    filler : int
        How many routes that are not asked for it has at least.
    """
    known = store.objects["config"]["main"]["spec"]
    version = known["version"] + VERSION_STEP
    added = [r for r in known["routes"] if r["name"].startswith(ADDED)]
    added.append(route(f"{ADDED}{version}", f"/{ADDED}{version}/", "idempotent", PLAIN))
    others = [r for r in known["routes"] if not r["name"].startswith(ADDED)]
    if len(others) < filler:
        others = document()["routes"] + filler_routes(filler)
    return document(version, routes=others + added[-KEPT_ROUTES:])


def added_path(store: StoreStandIn, rng: random.Random) -> str:
    """Return a path under one of the last added routes, one of them dropped again."""
    versions = [w.spec for w in store.written if w.kind == "config" and w.spec]
    added = [v["version"] for v in versions[1:]][-KEPT_ROUTES - 1 :]
    return f"/{ADDED}{rng.choice(added)}/x" if added else "/stock/x"
