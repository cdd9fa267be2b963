"""The active configuration of this process."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.values.configuration import (
    ConfigurationOffer,
    ConfigurationPush,
    document_digest,
)

__all__ = ["ApplyResult", "ConfigurationHolder", "View"]

ACTIVE_NUMBER = gauge("configuration_number", "Number of the configuration in force.")
IN_CONFLICT = gauge(
    "configuration_conflict",
    "1 while two documents are known under one number; changes are not taken.",
)
RESULTS = counter("configuration_applied_total", "Versions handed in, by result.")

log = logger("configuration")


class View(Protocol):
    """The attributes of a version's derived tables that the holder uses."""

    number: int
    digest: str
    document: Any


class ApplyResult(StrEnum):
    """Result of applying a version."""

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    BAD_DIGEST = "bad_digest"
    UNUSABLE = "unusable"
    CONFLICT = "conflict"
    STOPPED = "stopped"


@dataclass(slots=True)
class Conflict:
    """Two documents under one version number.

    Attributes
    ----------
    number : int
        The version number.
    ours, theirs : str
        Digests of the two documents.
    source : str
        Sender of the other document.
    """

    number: int
    ours: str
    theirs: str
    source: str


class ConfigurationHolder:
    """Holds the active version, which only a version with a higher number replaces.

    Parameters
    ----------
    derive : callable
        Derives the view of a version from its number and document, see
        `rosemaryknot.version.view.ConfigurationView.from_document`.

    Attributes
    ----------
    view : ConfigurationView or None
        The active version; None until the first is known. Read it once at the start
        of a request.
    conflict : Conflict or None
        Set when a second document was found under the active number. No change is
        applied until an operator settles the conflict.
    settled : int
        Highest number up to which an operator has settled a conflict.
    lineage : list of [int, str]
        Earlier numbers and the prefixes of their digests, as received with the view.
    applied_at_s : float
        When the view became active, in trio time.
    """

    def __init__(self, derive: Callable[[int, dict], Any]) -> None:
        self.derive = derive
        self.view: Any | None = None
        self.conflict: Conflict | None = None
        self.settled = 0
        self.lineage: list[list] = []
        self.applied_at_s = 0.0
        self.changed = trio.Event()

    @property
    def number(self) -> int:
        """Number of the active version, or 0."""
        return 0 if self.view is None else self.view.number

    @property
    def offer(self) -> ConfigurationOffer:
        """Number and digest of the active version, as sent to other nodes."""
        return ConfigurationOffer(self.number, self.view.digest if self.view else "")

    @property
    def push(self) -> ConfigurationPush:
        """The active version as a message; number 0 if there is none."""
        if self.view is None:
            return ConfigurationPush(0, "", {})
        return ConfigurationPush(
            self.view.number,
            self.view.digest,
            dict(self.view.document),
            self.settled,
            self.lineage,
        )

    def apply(
        self,
        number: int,
        digest: str,
        document: dict,
        source: str,
        settles: int = 0,
        lineage: Sequence[Sequence] = (),
    ) -> ApplyResult:
        """Activate a version if its number is higher, completely or not at all.

        Parameters
        ----------
        number : int
            Version number.
        digest : str
            Digest that the source sent for the document.
        document : dict
            Configuration document.
        source : str
            Origin of the version, for the log.
        settles : int
            Number up to which an operator has settled a conflict by this version.
        lineage : sequence of (int, str)
            Earlier numbers with the prefixes of their digests, if known.

        Returns
        -------
        result : ApplyResult
            Whether it was applied, or why not.
        """
        push = ConfigurationPush(number, digest, document, settles, list(lineage))
        return self.apply_push(push, source)

    def apply_push(self, push: ConfigurationPush, source: str) -> ApplyResult:
        """Activate the version of a message; see `apply`."""
        result = self.evaluate(push, source)
        if result is ApplyResult.APPLIED:
            result = self.activate(push, source)
        RESULTS.add(result=str(result))
        if result in (ApplyResult.BAD_DIGEST, ApplyResult.UNUSABLE):
            log.error(f"rejected {push.number} from {source}: {result}")
        return result

    def compare_digest(self, number: int, digest: str, source: str) -> ApplyResult:
        """Compare a number and digest held elsewhere with the active version.

        Parameters
        ----------
        number, digest
            The version held elsewhere.
        source : str
            Holder of that version.

        Returns
        -------
        result : ApplyResult
            ``APPLIED`` if it is higher and worth fetching. Nothing changes, except that
            a detected conflict is recorded.
        """
        if number < self.number:
            return ApplyResult.OLDER
        if self.view is not None and number == self.number:
            if digest == self.view.digest:
                return ApplyResult.SAME
            self.record_conflict(Conflict(number, self.view.digest, digest, source))
            return ApplyResult.CONFLICT
        return ApplyResult.APPLIED

    def evaluate(self, push: ConfigurationPush, source: str) -> ApplyResult:
        """Evaluate a version without activating it."""
        if push.number < 1 or push.number < self.number:
            return ApplyResult.OLDER
        if push.number == self.number and push.digest == self.view.digest:
            return ApplyResult.SAME
        if document_digest(push.document) != push.digest:
            return ApplyResult.BAD_DIGEST
        result = self.compare_digest(push.number, push.digest, source)
        if result is not ApplyResult.APPLIED or self.settles_current(push.settles):
            return result
        if self.conflict is not None:
            return ApplyResult.STOPPED
        other = self.conflicting_digest(push)
        if other:
            self.record_conflict(Conflict(self.number, self.view.digest, other, source))
            return ApplyResult.CONFLICT
        return ApplyResult.APPLIED

    def settles_current(self, settles: int) -> bool:
        """Return whether an operator decided against the active version."""
        return self.view is not None and settles >= self.number

    def conflicting_digest(self, push: ConfigurationPush) -> str:
        """Return the digest that a push has under the active number, if it differs.

        A store that was restored from a backup and patched again overtakes the active
        number with versions that lack the lost changes. Applying them only because
        their number is higher would silently revert an accepted change.
        """
        if self.view is None:
            return ""
        for number, digest, *_ in [*push.lineage, [push.number, push.digest]]:
            if number == self.number and not self.view.digest.startswith(digest):
                return digest
        return ""

    def activate(self, push: ConfigurationPush, source: str) -> ApplyResult:
        """Derive the view of a higher version and make it the active one."""
        try:
            view = self.derive(push.number, push.document)
        except (ValueError, KeyError, TypeError, AttributeError):
            return ApplyResult.UNUSABLE
        self.view = view
        self.lineage = push.lineage
        self.conflict = None
        self.settled = max(self.settled, push.settles)
        self.applied_at_s = trio.current_time()
        ACTIVE_NUMBER.set(view.number)
        IN_CONFLICT.set(0)
        log.info(f"{view.number} active, from {source}", number=view.number)
        changed, self.changed = self.changed, trio.Event()
        changed.set()
        return ApplyResult.APPLIED

    def record_conflict(self, conflict: Conflict) -> None:
        """Reject further changes until an operator settles the conflict.

        Two documents under one number mean that the store lost an accepted change and
        accepted another. A node that adopted either version would revert the other
        change, so all nodes keep the version they have and report the conflict.
        """
        IN_CONFLICT.set(1)
        if self.conflict is not None:
            return
        self.conflict = conflict
        log.error(
            f"conflict at {conflict.number}, further changes are rejected:"
            f" {conflict.source} holds {conflict.theirs[:12]},"
            f" this node holds {conflict.ours[:12]}",
            number=conflict.number,
        )

    async def wait_changed(self, after_number: int) -> Any:
        """Wait for a version with a higher number.

        Parameters
        ----------
        after_number : int
            Number that the caller already has.

        Returns
        -------
        view : ConfigurationView
            The active version.
        """
        while self.number <= after_number:
            await self.changed.wait()
        return self.view
