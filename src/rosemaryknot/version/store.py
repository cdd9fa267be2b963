"""Submission of patches to the stored configuration object.

Every write is conditional on the object version that was read. If two operators submit
patches concurrently, exactly one of them is accepted.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.logs import logger
from rosemaryknot.values.platform import (
    Conflict,
    Missing,
    ObjectStore,
    PlatformFailed,
    StoredObject,
    Written,
)
from rosemaryknot.version.document import Problem
from rosemaryknot.version.effect import dangers_of, effect_of
from rosemaryknot.version.patch import Patch, changed_document
from rosemaryknot.version.request_id_retention import request_id_problems
from rosemaryknot.version.stored import StoredConfiguration, parse_stored
from rosemaryknot.version.submission import (
    Accepted,
    DamagedObject,
    DryRun,
    InvalidPatch,
    NeedsConfirm,
    NotAccepted,
    PatchUnknown,
    ReusedPatchId,
    StalePatch,
    StoreConflict,
    StoreUnavailable,
    SubmitResult,
)

__all__ = ["KIND", "NAME", "ConfigurationStore"]

KIND = "configuration"
NAME = "main"
SUBMIT_TIMEOUT_S = 6.0
WRITE_RETRY_INTERVAL_S = 0.25
RESTORE_EFFECT = "version {number} is in force again after the store lost it"

log = logger("configuration")


@dataclass(slots=True)
class PreparedWrite:
    """Object to be written for a patch that passed all checks."""

    changed: StoredConfiguration
    effect: list[str] = field(default_factory=list)


class ConfigurationStore:
    """Configuration stored in the platform's object API.

    Parameters
    ----------
    platform : ObjectStore
        Client of the object API.
    holder : ConfigurationHolder
        Current configuration of this node; receives each version accepted here.
    clock : callable
        Wall clock that returns Unix time in seconds, for the history.
    """

    def __init__(
        self,
        platform: ObjectStore,
        holder: ConfigurationHolder,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.platform = platform
        self.holder = holder
        self.clock = clock

    async def read(self) -> StoredConfiguration | DamagedObject | StoreUnavailable:
        """Read the object; the number is 0 if there is none."""
        response = await self.platform.read(KIND, NAME)
        if isinstance(response, Missing):
            return StoredConfiguration()
        if isinstance(response, StoredObject):
            stored = parse_stored(response.value, response.version)
            return DamagedObject() if stored is None else stored
        return StoreUnavailable(response.reason)

    async def submit(
        self,
        patch: Patch,
        confirmed: frozenset[str] = frozenset(),
        dry_run: bool = False,
    ) -> SubmitResult:
        """Apply a patch to its base version and store the result.

        Parameters
        ----------
        patch : Patch
            The change.
        confirmed : frozenset of str
            Confirmation words of the dangers that the operator confirmed.
        dry_run : bool
            Whether to return the effect without storing anything.

        Returns
        -------
        result : SubmitResult
            Result of the submission.
        """
        stored = await self.read()
        if not isinstance(stored, StoredConfiguration):
            return stored
        prepared = self.prepare(stored, patch, confirmed, dry_run)
        if not isinstance(prepared, PreparedWrite):
            return prepared
        return await self.write(prepared, patch)

    def prepare(
        self,
        stored: StoredConfiguration,
        patch: Patch,
        confirmed: frozenset[str],
        dry_run: bool,
    ) -> PreparedWrite | SubmitResult:
        """Validate a patch against the stored version."""
        accepted_number = stored.patches.get(patch.patch_id)
        if accepted_number is not None:
            return repeated_patch_result(stored, patch, accepted_number)
        if self.is_store_behind(stored):
            return StoreConflict(stored.number, self.holder.number)
        if patch.base != stored.number:
            return stale_patch_result(stored, patch.base)
        document = changed_document(stored.document, patch.operations)
        if isinstance(document, list):
            return InvalidPatch(document)
        effect = effect_of(stored.document, document)
        if not effect:
            return InvalidPatch([Problem("", "the patch changes nothing")])
        now_s = self.clock()
        old, new = (
            stored.view_for_document(stored.document),
            stored.view_for_document(document),
        )
        problems = list(request_id_problems(stored.removed, old, new, now_s))
        if problems:
            return InvalidPatch(problems)
        dangers = dangers_of(old, new)
        if dry_run:
            return DryRun(stored.number + 1, effect, dangers)
        unconfirmed = [danger for danger in dangers if danger.word not in confirmed]
        if unconfirmed:
            return NeedsConfirm(unconfirmed, effect)
        changed = stored.with_change(patch, document, effect, now_s)
        return PreparedWrite(changed, effect)

    def is_store_behind(self, stored: StoredConfiguration) -> bool:
        """Return whether the store has lost the current version of this node.

        A patch on top of a restored backup would reuse the number of an accepted
        change, and every node with that change would reject it.
        """
        if self.holder.settles_current(stored.settles):
            return False
        if self.holder.conflict is not None or stored.number < self.holder.number:
            return True
        return bool(self.holder.conflicting_digest(stored.push))

    async def write(self, prepared: PreparedWrite, patch: Patch) -> SubmitResult:
        """Repeat a conditional write until its outcome is known.

        When a response is lost, the write may have taken effect or may still do so.
        Repeating the same conditional write is safe: all attempts require the same
        object version, so at most one takes effect. The patch id in the object shows
        whether the stored change is this one.
        """
        changed = prepared.changed
        accepted = Accepted(changed.number, patch.patch_id, prepared.effect)
        may_be_written = False
        reason = "timeout"
        with trio.move_on_after(SUBMIT_TIMEOUT_S):
            while True:
                response = await self.write_once(changed)
                if isinstance(response, Written):
                    return self.apply_accepted(changed, accepted, patch.author)
                if isinstance(response, PlatformFailed):
                    reason = response.reason
                    may_be_written = may_be_written or response.maybe_done
                    if not may_be_written:
                        return StoreUnavailable(reason)
                result = await self.read_back(patch, changed.version)
                if isinstance(result, Accepted):
                    return self.apply_accepted(changed, accepted, patch.author)
                if isinstance(result, StalePatch):
                    return result
                if not may_be_written:
                    return StoreUnavailable("the current number cannot be read")
                await trio.sleep(WRITE_RETRY_INTERVAL_S)
        return PatchUnknown(patch.patch_id, reason)

    async def write_once(
        self, changed: StoredConfiguration
    ) -> Written | Conflict | PlatformFailed:
        """Write the object if it still has the version that was read."""
        if changed.version == 0:
            return await self.platform.create(KIND, NAME, changed.to_value())
        return await self.platform.update(
            KIND, NAME, changed.to_value(), changed.version
        )

    async def read_back(
        self, patch: Patch, version: int
    ) -> Accepted | StalePatch | None:
        """Determine the outcome of a write from the object; None if it is unknown.

        An object that still has the previous version proves nothing, since the write
        may still be in transit.
        """
        stored = await self.read()
        if not isinstance(stored, StoredConfiguration) or stored.version == version:
            return None
        if patch.patch_id in stored.patches:
            return Accepted(stored.patches[patch.patch_id], patch.patch_id, [])
        return stale_patch_result(stored, patch.base)

    def apply_accepted(
        self, changed: StoredConfiguration, accepted: Accepted, author: str
    ) -> Accepted:
        """Apply an accepted version to this node, which then distributes it."""
        log.info(
            f"accepted configuration {changed.number} by {author}",
            number=changed.number,
            patch=accepted.patch_id,
        )
        self.holder.apply_push(changed.push, "patch")
        return accepted

    async def patch_status(
        self, patch_id: str, base: int | None = None
    ) -> Accepted | NotAccepted | PatchUnknown | StoreUnavailable | DamagedObject:
        """Return the result of a patch whose response was lost.

        Parameters
        ----------
        patch_id : str
            Id of the patch.
        base : int, optional
            Its base version number. Once the stored number exceeds the base, a patch
            that is not stored can no longer be accepted; without the base this cannot
            be determined.

        Returns
        -------
        status : Accepted or NotAccepted or PatchUnknown or StoreUnavailable
            Result, as far as it is known.
        """
        stored = await self.read()
        if not isinstance(stored, StoredConfiguration):
            return stored
        number = stored.patches.get(patch_id)
        if number is not None:
            change = stored.change(number)
            return Accepted(number, patch_id, [] if change is None else change.effect)
        if base is not None and stored.number > base:
            oldest = min(stored.patches.values(), default=0)
            if oldest <= base + 1:
                return NotAccepted(stored.number)
        return PatchUnknown(patch_id, "not stored so far")

    async def restore(self, patch_id: str, author: str) -> SubmitResult:
        """Store the current version of this node again, under a new number.

        The new number exceeds both the stored and the current one. This repairs a
        store that was restored from a backup and resolves a conflict of two documents
        with the same number, since every node adopts the new number.

        Parameters
        ----------
        patch_id : str
            Id of the change.
        author : str
            Name of the operator.

        Returns
        -------
        result : SubmitResult
            Result of the submission.
        """
        stored = await self.read()
        if not isinstance(stored, StoredConfiguration):
            return stored
        patch = Patch(patch_id, stored.number, [], author)
        if patch_id in stored.patches:
            return repeated_patch_result(stored, patch, stored.patches[patch_id])
        if self.holder.view is None or not self.is_store_behind(stored):
            return InvalidPatch([Problem("", "the store holds what is in force")])
        view = self.holder.view
        effect = [RESTORE_EFFECT.format(number=view.number)]
        changed = stored.with_change(patch, dict(view.document), effect, self.clock())
        changed.settles = max(stored.number, view.number)
        changed.number = changed.settles + 1
        renumber(changed)
        return await self.write(PreparedWrite(changed, effect), patch)


def renumber(changed: StoredConfiguration) -> None:
    """Set the number of the newest change to the object's number."""
    changed.history[-1].number = changed.number
    changed.lineage[-1][0] = changed.number
    changed.patches[changed.history[-1].patch_id] = changed.number


def repeated_patch_result(
    stored: StoredConfiguration, patch: Patch, number: int
) -> Accepted | ReusedPatchId:
    """Return the result for a patch id that is stored: a repeat or a reused id."""
    change = stored.change(number)
    if change is None:
        return Accepted(number, patch.patch_id, [])
    is_same = change.author == patch.author and change.base == patch.base
    if change.operations is not None and patch.operations:
        is_same = is_same and change.operations == patch.operations
    if not is_same:
        return ReusedPatchId(number)
    return Accepted(number, patch.patch_id, change.effect)


def stale_patch_result(stored: StoredConfiguration, base: int) -> StalePatch:
    """Return the result for a patch with an outdated base version."""
    old = stored.document_at(base)
    effect = [] if old is None else effect_of(old, stored.document)
    return StalePatch(stored.number, stored.changes_since(base), effect)
