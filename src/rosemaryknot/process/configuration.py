"""The configuration that is in force in this process."""

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

IN_FORCE = gauge("configuration_number", "Number of the configuration in force.")
IN_CONFLICT = gauge(
    "configuration_conflict",
    "1 while two documents are known under one number; changes are not taken.",
)
RESULTS = counter("configuration_applied_total", "Versions handed in, by result.")

log = logger("configuration")


class View(Protocol):
    """What the holder needs of a version's derived tables."""

    number: int
    digest: str
    document: Any


class ApplyResult(StrEnum):
    """What became of a version that was handed in."""

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    BAD_DIGEST = "bad_digest"
    UNUSABLE = "unusable"
    CONFLICT = "conflict"
    STOPPED = "stopped"


@dataclass(slots=True)
class Conflict:
    """Two documents under one number.

    Attributes
    ----------
    number : int
        The number.
    ours, theirs : str
        The two digests.
    source : str
        Where the other document came from.
    """

    number: int
    ours: str
    theirs: str
    source: str


class ConfigurationHolder:
    """Holds the version in force and lets only a higher one replace it.

    Parameters
    ----------
    derive : callable
        Makes the view of a number and a document;
        `rosemaryknot.version.view.ConfigurationView.from_document`.

    Attributes
    ----------
    view : ConfigurationView or None
        The version in force; None until the first is known. Take it once at the
        start of a request.
    conflict : Conflict or None
        Set when a second document came under the number in force. No change is
        taken until an operator settles it.
    settled : int
        Highest number up to which an operator has settled a conflict.
    lineage : list of [int, str]
        Earlier numbers and the start of their digests, as they came with the view.
    applied_at_s : float
        When the view came into force, in trio time.
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
        """Number of the version in force, or 0."""
        return 0 if self.view is None else self.view.number

    @property
    def offer(self) -> ConfigurationOffer:
        """What other nodes are told of the version in force."""
        return ConfigurationOffer(self.number, self.view.digest if self.view else "")

    @property
    def push(self) -> ConfigurationPush:
        """The version in force as a message; number 0 where there is none."""
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
        """Put a version into force if it is higher, whole or not at all.

        Parameters
        ----------
        number : int
            Version.
        digest : str
            Digest that the source gave for the document.
        document : dict
            Configuration document.
        source : str
            Where it came from, for the log.
        settles : int
            Number up to which an operator settled a conflict by this version.
        lineage : sequence of (int, str)
            Earlier numbers with the start of their digests, where known.

        Returns
        -------
        result : ApplyResult
            What became of it.
        """
        push = ConfigurationPush(number, digest, document, settles, list(lineage))
        return self.apply_push(push, source)

    def apply_push(self, push: ConfigurationPush, source: str) -> ApplyResult:
        """Put the version of a message into force; see `apply`."""
        result = self.judge(push, source)
        if result is ApplyResult.APPLIED:
            result = self.replace(push, source)
        RESULTS.add(result=str(result))
        if result in (ApplyResult.BAD_DIGEST, ApplyResult.UNUSABLE):
            log.error(f"refused {push.number} from {source}: {result}")
        return result

    def note_digest(self, number: int, digest: str, source: str) -> ApplyResult:
        """Compare a number and digest held elsewhere with what is in force.

        Parameters
        ----------
        number, digest
            The version held elsewhere.
        source : str
            Who holds it.

        Returns
        -------
        result : ApplyResult
            ``APPLIED`` where it is higher and worth fetching; nothing changes
            but for a conflict that was found.
        """
        if number < self.number:
            return ApplyResult.OLDER
        if self.view is not None and number == self.number:
            if digest == self.view.digest:
                return ApplyResult.SAME
            self.stop(Conflict(number, self.view.digest, digest, source))
            return ApplyResult.CONFLICT
        return ApplyResult.APPLIED

    def judge(self, push: ConfigurationPush, source: str) -> ApplyResult:
        """Decide on a version without putting it into force."""
        if push.number < 1 or push.number < self.number:
            return ApplyResult.OLDER
        if push.number == self.number and push.digest == self.view.digest:
            return ApplyResult.SAME
        if document_digest(push.document) != push.digest:
            return ApplyResult.BAD_DIGEST
        result = self.note_digest(push.number, push.digest, source)
        if result is not ApplyResult.APPLIED or self.settles_ours(push.settles):
            return result
        if self.conflict is not None:
            return ApplyResult.STOPPED
        foreign = self.foreign_digest(push)
        if foreign:
            self.stop(Conflict(self.number, self.view.digest, foreign, source))
            return ApplyResult.CONFLICT
        return ApplyResult.APPLIED

    def settles_ours(self, settles: int) -> bool:
        """Tell whether an operator decided against the version in force."""
        return self.view is not None and settles >= self.number

    def foreign_digest(self, push: ConfigurationPush) -> str:
        """Return the digest that a push has under our number, if it is not ours.

        A store that was restored from a backup and patched again overtakes our
        number with versions that lack the changes lost. To take them only because
        their number is higher would revert an accepted change without a word.
        """
        if self.view is None:
            return ""
        for number, digest, *_ in [*push.lineage, [push.number, push.digest]]:
            if number == self.number and not self.view.digest.startswith(digest):
                return digest
        return ""

    def replace(self, push: ConfigurationPush, source: str) -> ApplyResult:
        """Derive the view of a higher version and put it into force."""
        try:
            view = self.derive(push.number, push.document)
        except (ValueError, KeyError, TypeError, AttributeError):
            return ApplyResult.UNUSABLE
        self.view = view
        self.lineage = push.lineage
        self.conflict = None
        self.settled = max(self.settled, push.settles)
        self.applied_at_s = trio.current_time()
        IN_FORCE.set(view.number)
        IN_CONFLICT.set(0)
        log.info(f"{view.number} in force, from {source}", number=view.number)
        changed, self.changed = self.changed, trio.Event()
        changed.set()
        return ApplyResult.APPLIED

    def stop(self, conflict: Conflict) -> None:
        """Take no more changes until an operator settles the conflict.

        Two documents under one number mean that the store lost an accepted change
        and took another one. Each node that followed either of them would revert
        the other, so all stay with what they have and say so.
        """
        IN_CONFLICT.set(1)
        if self.conflict is not None:
            return
        self.conflict = conflict
        log.error(
            f"conflict at {conflict.number}, no more changes taken:"
            f" {conflict.source} holds {conflict.theirs[:12]},"
            f" we hold {conflict.ours[:12]}",
            number=conflict.number,
        )

    async def wait_changed(self, after_number: int) -> Any:
        """Wait for a version higher than a number.

        Parameters
        ----------
        after_number : int
            Number that the caller knows.

        Returns
        -------
        view : ConfigurationView
            The version in force.
        """
        while self.number <= after_number:
            await self.changed.wait()
        return self.view
