"""Revisions of the store in the reports that gateways send each other."""

from rosemaryknot.process.store_watcher import StoreWatcher
from rosemaryknot.values.store_revisions import era_of, qualified, revision_of

__all__ = ["known_eras", "known_revisions", "reported", "seen_revisions"]

Watchers = dict[str, StoreWatcher]


def known_revisions(watchers: Watchers) -> dict[str, int]:
    """Return the revisions up to which all changes are known, by kind of object."""
    return {kind: revision_of(watcher.revision) for kind, watcher in watchers.items()}


def seen_revisions(watchers: Watchers) -> dict[str, int]:
    """Return the revisions of the newest changes that were applied, by kind."""
    return {kind: revision_of(watcher.seen) for kind, watcher in watchers.items()}


def known_eras(watchers: Watchers) -> dict[str, int]:
    """Return the eras of the store to which these revisions belong, by kind."""
    return {kind: era_of(watcher.revision) for kind, watcher in watchers.items()}


def reported(
    revisions: dict[str, int], eras: dict[str, int], kind: str, own: StoreWatcher
) -> int:
    """Return the revision of a kind in a report of another node, with its era.

    Nodes of earlier software state no era; theirs is taken for the own one.
    """
    era = eras.get(kind) or era_of(own.revision)
    return qualified(era, revisions.get(kind, -1))
