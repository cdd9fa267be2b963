"""Configuration changes whose effect callers can observe."""

import random

from rosemaryknot.standin.users.store import StoreStandIn
from rosemaryknot.standin.users.system import PLAIN, document, route

__all__ = ["added_path", "changed_document", "filler_routes"]

# Each change adds a route and drops the oldest added ones beyond this number.
MAX_ADDED_ROUTES = 3
VERSION_STEP = 3
ADDED_PREFIX = "added-"


def filler_routes(count: int) -> list[dict]:
    """Return routes that are never requested, to make a configuration large."""
    return [
        route(f"r-{n:05x}", f"/{n * 2654435761 % 2**32:08x}/", "idempotent", PLAIN)
        for n in range(count)
    ]


def changed_document(store: StoreStandIn, filler: int = 0) -> dict:
    """Return the next version, with one more route and only the newest added routes.

    The operator knows also the versions that a restored store has lost.

    Parameters
    ----------
    store : StoreStandIn
        Store that holds the current version.
    filler : int
        Minimum number of routes besides the added ones; if there are fewer, so many
        routes that are never requested are appended to the standard ones.
    """
    versions = [w.spec for w in store.object_changes if w.kind == "config" and w.spec]
    known = max(versions, key=lambda spec: spec["version"])
    version = known["version"] + VERSION_STEP
    added = [r for r in known["routes"] if r["name"].startswith(ADDED_PREFIX)]
    added.append(
        route(
            f"{ADDED_PREFIX}{version}",
            f"/{ADDED_PREFIX}{version}/",
            "idempotent",
            PLAIN,
        )
    )
    others = [r for r in known["routes"] if not r["name"].startswith(ADDED_PREFIX)]
    if len(others) < filler:
        others = document()["routes"] + filler_routes(filler)
    return document(version, routes=others + added[-MAX_ADDED_ROUTES:])


def added_path(store: StoreStandIn, rng: random.Random) -> str:
    """Return a path under one of the newest added routes, including a dropped one."""
    versions = [w.spec for w in store.object_changes if w.kind == "config" and w.spec]
    added = [v["version"] for v in versions[1:]][-MAX_ADDED_ROUTES - 1 :]
    return f"/{ADDED_PREFIX}{rng.choice(added)}/x" if added else "/stock/x"
