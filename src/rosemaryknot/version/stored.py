"""The stored object of the configuration: the document, its number and its history."""

import json
from dataclasses import asdict, dataclass, field, fields
from typing import Any

from rosemaryknot.values.configuration import ConfigurationPush, document_digest
from rosemaryknot.version.kept_ids import still_held
from rosemaryknot.version.patch import Patch, apply_operations, operations_between
from rosemaryknot.version.view import ConfigurationView

__all__ = ["Change", "StoredConfiguration", "read_stored"]

MAX_CHANGES = 100
MAX_HISTORY_BYTES = 400_000
MAX_PATCH_IDS = 500
MAX_LINEAGE = 200
DIGEST_START = 16


@dataclass(slots=True)
class Change:
    """One accepted patch.

    Attributes
    ----------
    number : int
        Number that it made.
    base : int
        Number that it was made against.
    patch_id : str
        Id that the operator's program gave it.
    author : str
        Name of the operator.
    unix_s : float
        When it was accepted, seconds of the epoch.
    effect : list of str
        What it changed, in words.
    operations : list of dict or None
        JSON Patch; None where it was dropped to keep the object small.
    undo : list of dict or None
        JSON Patch back to the base.
    """

    number: int
    base: int
    patch_id: str
    author: str
    unix_s: float
    effect: list[str]
    operations: list[dict] | None = None
    undo: list[dict] | None = None


@dataclass(slots=True)
class StoredConfiguration:
    """The configuration as the store holds it.

    Attributes
    ----------
    number : int
        Version; 0 before the first patch.
    document : dict
        Configuration document.
    history : list of Change
        Recent changes, newest last.
    patches : dict of str to int
        Numbers of recent patches by patch id.
    lineage : list of [int, str]
        Recent numbers with the start of their digests, newest last.
    removed : dict of str to dict
        Removed plain services whose ids may still be repeated, with the fields of
        `rosemaryknot.version.kept_ids.RemovedService`.
    settles : int
        See `rosemaryknot.values.configuration.ConfigurationPush`.
    version : int
        Version of the store's object, for the next conditional write; 0 where there
        is no object.
    """

    number: int = 0
    document: dict = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    patches: dict[str, int] = field(default_factory=dict)
    lineage: list[list] = field(default_factory=list)
    removed: dict[str, dict] = field(default_factory=dict)
    settles: int = 0
    version: int = 0

    @property
    def digest(self) -> str:
        """Digest of the document."""
        return document_digest(self.document)

    @property
    def push(self) -> ConfigurationPush:
        """The version as a message."""
        return ConfigurationPush(
            self.number, self.digest, self.document, self.settles, self.lineage
        )

    def changed_by(
        self, patch: Patch, document: dict, effect: list[str], unix_s: float
    ) -> "StoredConfiguration":
        """Return the next version, with its version of the store's object.

        Parameters
        ----------
        patch : Patch
            The change.
        document : dict
            Document after it.
        effect : list of str
            What it changes, in words.
        unix_s : float
            Time, seconds of the epoch.

        Returns
        -------
        changed : StoredConfiguration
            To be written on the condition of this version.
        """
        change = Change(
            number=self.number + 1,
            base=self.number,
            patch_id=patch.patch_id,
            author=patch.author,
            unix_s=unix_s,
            effect=effect,
            operations=patch.operations,
            undo=operations_between(document, self.document),
        )
        patches = {**self.patches, patch.patch_id: change.number}
        lineage = [*self.lineage, [change.number, digest_start(document)]]
        return StoredConfiguration(
            number=change.number,
            document=document,
            history=bounded_history([*self.history, change]),
            patches=dict(list(patches.items())[-MAX_PATCH_IDS:]),
            lineage=lineage[-MAX_LINEAGE:],
            removed=self.removed_after(document, unix_s),
            settles=self.settles,
            version=self.version,
        )

    def view_of(self, document: dict) -> ConfigurationView:
        """Return the tables of this document, or of the one to come after it."""
        return ConfigurationView.from_document(self.number, document)

    def removed_after(self, document: dict, unix_s: float) -> dict[str, dict]:
        """Return the names of removed services that are held after a change."""
        old, new = self.view_of(self.document), self.view_of(document)
        return still_held(self.removed, old, new, unix_s)

    def change(self, number: int) -> Change | None:
        """Return the change that made a number, while it is remembered."""
        return next((c for c in self.history if c.number == number), None)

    def changes_since(self, number: int) -> list[Change]:
        """Return the remembered changes after a number, oldest first."""
        return [change for change in self.history if change.number > number]

    def document_at(self, number: int) -> dict | None:
        """Return the document of an earlier number.

        Parameters
        ----------
        number : int
            Version.

        Returns
        -------
        document : dict or None
            None where the history does not reach back that far.
        """
        document, current = self.document, self.number
        while current > number:
            change = self.change(current)
            if change is None or change.undo is None:
                return None
            if change.undo:
                document = apply_operations(document, change.undo)
            current = change.base
        return document if current == number else None

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value to be stored."""
        value = {
            "number": self.number,
            "digest": self.digest,
            "document": self.document,
            "history": [asdict(change) for change in self.history],
            "patches": self.patches,
            "lineage": self.lineage,
            "removed": self.removed,
        }
        if self.settles:
            value["settles"] = self.settles
        return value


def digest_start(document: dict) -> str:
    """Return the part of a digest that a lineage keeps."""
    return document_digest(document)[:DIGEST_START]


def bounded_history(changes: list[Change]) -> list[Change]:
    """Keep the newest changes within the bounds.

    The object must stay under the store's megabyte, or no patch can be written any
    more; the oldest changes lose their operations first.
    """
    kept = []
    size = 0
    for change in reversed(changes[-MAX_CHANGES:]):
        size += len(json.dumps(asdict(change)))
        if size > MAX_HISTORY_BYTES:
            change = Change(**{**asdict(change), "operations": None, "undo": None})
            change.effect = change.effect[:5]
        kept.append(change)
    return kept[::-1]


def known(cls: type, raw: dict) -> dict[str, Any]:
    """Return the entries of a JSON object that are fields of a class."""
    return {f.name: raw[f.name] for f in fields(cls) if f.name in raw}


def read_stored(value: Any, version: int) -> StoredConfiguration | None:
    """Read the store's object.

    Parameters
    ----------
    value : object
        JSON value of the object.
    version : int
        Its version in the store.

    Returns
    -------
    stored : StoredConfiguration or None
        None where the value is damaged: wrong form, or a digest that does not fit.
    """
    try:
        stored = StoredConfiguration(**known(StoredConfiguration, value))
        stored.history = [Change(**known(Change, raw)) for raw in stored.history]
        stored.version = version
        is_whole = stored.number >= 1 and value.get("digest") == stored.digest
    except (TypeError, KeyError, ValueError, AttributeError):
        return None
    return stored if is_whole else None
