"""Submission of patches to the one stored object, and what comes of them.

The object is only ever written on the condition of the version that was read, so of
two operators who race exactly one is accepted.
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
from rosemaryknot.version.kept_ids import kept_id_problems
from rosemaryknot.version.patch import Patch, changed_document
from rosemaryknot.version.stored import StoredConfiguration, read_stored
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
PAUSE_S = 0.25
RESTORE_EFFECT = "version {number} is in force again after the store lost it"

log = logger("configuration")


@dataclass(slots=True)
class Prepared:
    """A patch that passed all checks, with the object to be written."""

    changed: StoredConfiguration
    effect: list[str] = field(default_factory=list)


class ConfigurationStore:
    """The configuration in the platform's object API.

    Parameters
    ----------
    platform : ObjectStore
        Object API.
    holder : ConfigurationHolder
        What is in force here; told of each version that is accepted here.
    clock : callable
        Wall clock in seconds of the epoch, for the history.
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
        """Read the object; number 0 where there is none."""
        answer = await self.platform.read(KIND, NAME)
        if isinstance(answer, Missing):
            return StoredConfiguration()
        if isinstance(answer, StoredObject):
            stored = read_stored(answer.value, answer.version)
            return DamagedObject() if stored is None else stored
        return StoreUnavailable(answer.reason)

    async def submit(
        self,
        patch: Patch,
        confirmed: frozenset[str] = frozenset(),
        dry_run: bool = False,
    ) -> SubmitResult:
        """Apply a patch to its base, or say why not.

        Parameters
        ----------
        patch : Patch
            The change.
        confirmed : frozenset of str
            Words of the losses that the operator named.
        dry_run : bool
            Whether only to tell the effect.

        Returns
        -------
        result : SubmitResult
            What became of it.
        """
        stored = await self.read()
        if not isinstance(stored, StoredConfiguration):
            return stored
        prepared = self.prepare(stored, patch, confirmed, dry_run)
        if not isinstance(prepared, Prepared):
            return prepared
        return await self.write(prepared, patch)

    def prepare(
        self,
        stored: StoredConfiguration,
        patch: Patch,
        confirmed: frozenset[str],
        dry_run: bool,
    ) -> Prepared | SubmitResult:
        """Check a patch against the stored version."""
        known = stored.patches.get(patch.patch_id)
        if known is not None:
            return repeated(stored, patch, known)
        if self.is_behind(stored):
            return StoreConflict(stored.number, self.holder.number)
        if patch.base != stored.number:
            return stale(stored, patch.base)
        document = changed_document(stored.document, patch.operations)
        if isinstance(document, list):
            return InvalidPatch(document)
        effect = effect_of(stored.document, document)
        if not effect:
            return InvalidPatch([Problem("", "the patch changes nothing")])
        now_s = self.clock()
        old, new = stored.view_of(stored.document), stored.view_of(document)
        problems = list(kept_id_problems(stored.removed, old, new, now_s))
        if problems:
            return InvalidPatch(problems)
        dangers = dangers_of(old, new)
        if dry_run:
            return DryRun(stored.number + 1, effect, dangers)
        open_dangers = [danger for danger in dangers if danger.word not in confirmed]
        if open_dangers:
            return NeedsConfirm(open_dangers, effect)
        changed = stored.changed_by(patch, document, effect, now_s)
        return Prepared(changed, effect)

    def is_behind(self, stored: StoredConfiguration) -> bool:
        """Tell whether the store lost what is in force here.

        A patch on top of a restored backup would take the number of an accepted
        change and be refused by every node that holds it.
        """
        if self.holder.settles_current(stored.settles):
            return False
        if self.holder.conflict is not None or stored.number < self.holder.number:
            return True
        return bool(self.holder.conflicting_digest(stored.push))

    async def write(self, prepared: Prepared, patch: Patch) -> SubmitResult:
        """Write the object until it is known what came of it.

        A lost answer may follow a write that took effect, or one that still will.
        Sending the same conditional write again is safe: all of them ask for one
        version of the object, so at most one takes effect, and the patch id in the
        object tells whether it was ours.
        """
        changed = prepared.changed
        accepted = Accepted(changed.number, patch.patch_id, prepared.effect)
        is_maybe_written = False
        reason = "timeout"
        with trio.move_on_after(SUBMIT_TIMEOUT_S):
            while True:
                answer = await self.write_once(changed)
                if isinstance(answer, Written):
                    return self.take(changed, accepted, patch.author)
                if isinstance(answer, PlatformFailed):
                    reason = answer.reason
                    is_maybe_written = is_maybe_written or answer.maybe_done
                    if not is_maybe_written:
                        return StoreUnavailable(reason)
                result = await self.read_back(patch, changed.version)
                if isinstance(result, Accepted):
                    return self.take(changed, accepted, patch.author)
                if isinstance(result, StalePatch):
                    return result
                if not is_maybe_written:
                    return StoreUnavailable("the current number cannot be read")
                await trio.sleep(PAUSE_S)
        return PatchUnknown(patch.patch_id, reason)

    async def write_once(
        self, changed: StoredConfiguration
    ) -> Written | Conflict | PlatformFailed:
        """Write the object on the condition of the version that was read."""
        if changed.version == 0:
            return await self.platform.create(KIND, NAME, changed.to_value())
        return await self.platform.update(
            KIND, NAME, changed.to_value(), changed.version
        )

    async def read_back(
        self, patch: Patch, version: int
    ) -> Accepted | StalePatch | None:
        """Tell from the object what came of a write; None where it does not tell.

        An object that still has the version of before proves nothing: the write may
        be on its way.
        """
        stored = await self.read()
        if not isinstance(stored, StoredConfiguration) or stored.version == version:
            return None
        if patch.patch_id in stored.patches:
            return Accepted(stored.patches[patch.patch_id], patch.patch_id, [])
        return stale(stored, patch.base)

    def take(
        self, changed: StoredConfiguration, accepted: Accepted, author: str
    ) -> Accepted:
        """Put an accepted version into force here, from where it spreads."""
        log.info(
            f"accepted {changed.number} by {author}",
            number=changed.number,
            patch=accepted.patch_id,
        )
        self.holder.apply_push(changed.push, "patch")
        return accepted

    async def patch_status(
        self, patch_id: str, base: int | None = None
    ) -> Accepted | NotAccepted | PatchUnknown | StoreUnavailable | DamagedObject:
        """Tell what became of a patch whose answer was lost.

        Parameters
        ----------
        patch_id : str
            Id of the patch.
        base : int, optional
            Its base. With it a patch that is not stored can be told from one that
            may still come: once the number has passed the base, it never will.

        Returns
        -------
        status : Accepted or NotAccepted or PatchUnknown or StoreUnavailable
            What is known.
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
        """Store what is in force here again, as a new number above both.

        For a store that was restored from a backup, and to settle a conflict of two
        documents under one number: every node takes the new number.

        Parameters
        ----------
        patch_id : str
            Id of the change.
        author : str
            Name of the operator.

        Returns
        -------
        result : SubmitResult
            What became of it.
        """
        stored = await self.read()
        if not isinstance(stored, StoredConfiguration):
            return stored
        patch = Patch(patch_id, stored.number, [], author)
        if patch_id in stored.patches:
            return repeated(stored, patch, stored.patches[patch_id])
        if self.holder.view is None or not self.is_behind(stored):
            return InvalidPatch([Problem("", "the store holds what is in force")])
        view = self.holder.view
        effect = [RESTORE_EFFECT.format(number=view.number)]
        changed = stored.changed_by(patch, dict(view.document), effect, self.clock())
        changed.settles = max(stored.number, view.number)
        changed.number = changed.settles + 1
        renumber(changed)
        return await self.write(Prepared(changed, effect), patch)


def renumber(changed: StoredConfiguration) -> None:
    """Give the newest change the object's number."""
    changed.history[-1].number = changed.number
    changed.lineage[-1][0] = changed.number
    changed.patches[changed.history[-1].patch_id] = changed.number


def repeated(
    stored: StoredConfiguration, patch: Patch, number: int
) -> Accepted | ReusedPatchId:
    """Answer a patch whose id is stored: the same one again, or another."""
    change = stored.change(number)
    if change is None:
        return Accepted(number, patch.patch_id, [])
    is_same = change.author == patch.author and change.base == patch.base
    if change.operations is not None and patch.operations:
        is_same = is_same and change.operations == patch.operations
    if not is_same:
        return ReusedPatchId(number)
    return Accepted(number, patch.patch_id, change.effect)


def stale(stored: StoredConfiguration, base: int) -> StalePatch:
    """Tell what changed since a base."""
    old = stored.document_at(base)
    effect = [] if old is None else effect_of(old, stored.document)
    return StalePatch(stored.number, stored.changes_since(base), effect)
