"""Stored configuration object: the document, its number and its history."""

import json
from dataclasses import asdict, dataclass, field, fields
from typing import Any

from rosemaryknot.values.configuration import ConfigurationPush, document_digest
from rosemaryknot.version.patch import Patch, apply_operations, operations_between
from rosemaryknot.version.request_id_retention import reserved_after
from rosemaryknot.version.view import ConfigurationView

__all__ = ["Change", "StoredConfiguration", "parse_stored"]

MAX_CHANGES = 100
MAX_HISTORY_BYTES = 400_000
MAX_PATCH_IDS = 500
MAX_LINEAGE = 200
DIGEST_PREFIX_LENGTH = 16


@dataclass(slots=True)
class Change:
    """Accepted patch in the history.

    Attributes
    ----------
    number : int
        Version number that the patch created.
    base : int
        Version number that the patch was applied to.
    patch_id : str
        Id chosen by the operator's client.
    author : str
        Name of the operator.
    unix_s : float
        Unix time at which it was accepted, in seconds.
    effect : list of str
        Descriptions of what it changed.
    operations : list of dict or None
        JSON Patch; None if it was dropped to limit the size of the object.
    undo : list of dict or None
        JSON Patch that restores the base; None if it was dropped.
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
    """Configuration with its history, as held in the store.

    Attributes
    ----------
    number : int
        Version number; 0 before the first patch.
    document : dict
        Configuration document.
    history : list of Change
        Recent changes, newest last.
    patches : dict of str to int
        Version numbers of recent patches by patch id.
    lineage : list of [int, str]
        Recent version numbers with their digest prefixes, newest last.
    removed : dict of str to dict
        Removed plain services whose request ids have not all expired, with the
        fields of `rosemaryknot.version.request_id_retention.RemovedService`.
    settles : int
        See `rosemaryknot.values.configuration.ConfigurationPush`.
    version : int
        Version of the stored object, for the next conditional write; 0 if there is
        no object.
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
        """Message that distributes this version."""
        return ConfigurationPush(
            self.number, self.digest, self.document, self.settles, self.lineage
        )

    def with_change(
        self, patch: Patch, document: dict, effect: list[str], unix_s: float
    ) -> "StoredConfiguration":
        """Return the next version, which keeps the object version of this one.

        Parameters
        ----------
        patch : Patch
            Patch that is applied.
        document : dict
            Document after the change.
        effect : list of str
            Descriptions of what it changes.
        unix_s : float
            Unix time in seconds.

        Returns
        -------
        changed : StoredConfiguration
            Configuration to be written if the object still has this version.
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
        lineage = [*self.lineage, [change.number, digest_prefix(document)]]
        return StoredConfiguration(
            number=change.number,
            document=document,
            history=truncate_history([*self.history, change]),
            patches=dict(list(patches.items())[-MAX_PATCH_IDS:]),
            lineage=lineage[-MAX_LINEAGE:],
            removed=self.reserved_names_after(document, unix_s),
            settles=self.settles,
            version=self.version,
        )

    def view_for_document(self, document: dict) -> ConfigurationView:
        """Return the view of a document: this one or its successor."""
        return ConfigurationView.from_document(self.number, document)

    def reserved_names_after(self, document: dict, unix_s: float) -> dict[str, dict]:
        """Return the names of removed services that are reserved after a change."""
        old, new = (
            self.view_for_document(self.document),
            self.view_for_document(document),
        )
        return reserved_after(self.removed, old, new, unix_s)

    def change(self, number: int) -> Change | None:
        """Return the change that created a version, or None if it is not stored."""
        return next((c for c in self.history if c.number == number), None)

    def changes_since(self, number: int) -> list[Change]:
        """Return the changes in the history after a version number, oldest first."""
        return [change for change in self.history if change.number > number]

    def document_at(self, number: int) -> dict | None:
        """Return the document of an earlier version.

        Parameters
        ----------
        number : int
            Version number.

        Returns
        -------
        document : dict or None
            None if the history does not reach back to this version.
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


def digest_prefix(document: dict) -> str:
    """Return the prefix of a document's digest that the lineage stores."""
    return document_digest(document)[:DIGEST_PREFIX_LENGTH]


def truncate_history(changes: list[Change]) -> list[Change]:
    """Return the newest changes within the limits on count and size.

    An object above the store's limit of one megabyte could not be written, and every
    patch would fail. The oldest changes lose their operations first.
    """
    bounded = []
    size = 0
    for change in reversed(changes[-MAX_CHANGES:]):
        size += len(json.dumps(asdict(change)))
        if size > MAX_HISTORY_BYTES:
            change = Change(**{**asdict(change), "operations": None, "undo": None})
            change.effect = change.effect[:5]
        bounded.append(change)
    return bounded[::-1]


def known_fields(cls: type, raw: dict) -> dict[str, Any]:
    """Return the entries of a JSON object that are fields of a class."""
    return {f.name: raw[f.name] for f in fields(cls) if f.name in raw}


def parse_stored(value: Any, version: int) -> StoredConfiguration | None:
    """Parse the stored object.

    Parameters
    ----------
    value : object
        JSON value of the object.
    version : int
        Version of the object in the store.

    Returns
    -------
    stored : StoredConfiguration or None
        None if the value is damaged: it has the wrong form or a wrong digest.
    """
    try:
        stored = StoredConfiguration(**known_fields(StoredConfiguration, value))
        stored.history = [Change(**known_fields(Change, raw)) for raw in stored.history]
        stored.version = version
        is_valid = stored.number >= 1 and value.get("digest") == stored.digest
    except (TypeError, KeyError, ValueError, AttributeError):
        return None
    return stored if is_valid else None
