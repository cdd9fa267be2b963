"""Objects of the platform stand-in: versions, conditions and watches."""

from collections import defaultdict, deque
from typing import Any

import trio

from rosemaryknot.values.platform import (
    Conflict,
    Missing,
    ObjectChanged,
    StoredObject,
    Written,
)

__all__ = ["ObjectKind"]

LOG_LENGTH = 10_000
HISTORY_LENGTH = 64


class ObjectKind:
    """All objects of one kind.

    Attributes
    ----------
    version : int
        Version of the last write; rises over the whole kind.
    objects : dict of str to StoredObject
        By name.
    log : deque of ObjectChanged
        The last changes.
    logged : int
        Number of changes ever logged.
    history : dict of str to deque of StoredObject
        Earlier contents of each object.
    saved : list of tuple of (float, int, str, StoredObject or None)
        Time, version, name and new content of each write, for a restore.
    changed : trio.lowlevel.ParkingLot
        Where watches wait.
    """

    def __init__(self) -> None:
        self.version = 0
        self.objects: dict[str, StoredObject] = {}
        self.log: deque[ObjectChanged] = deque(maxlen=LOG_LENGTH)
        self.logged = 0
        self.history: dict[str, deque[StoredObject]] = defaultdict(
            lambda: deque(maxlen=HISTORY_LENGTH)
        )
        self.saved: list[tuple[float, int, str, StoredObject | None]] = []
        self.changed = trio.lowlevel.ParkingLot()

    def read(self, name: str) -> StoredObject | Missing:
        """Return an object."""
        return self.objects.get(name, Missing())

    def put(self, name: str, value: Any, expected: int) -> Written | Conflict:
        """Write an object whose version must be ``expected``; 0 for none."""
        conflict = self.conflict(name, expected)
        if conflict is not None:
            return conflict
        self.version += 1
        stored = StoredObject(self.version, value)
        self.objects[name] = stored
        self.saved.append((trio.current_time(), self.version, name, stored))
        self.history[name].append(stored)
        self.tell(ObjectChanged(name, self.version, value))
        return Written(self.version)

    def delete(self, name: str, expected: int) -> Written | Conflict:
        """Delete an object whose version must be ``expected``."""
        conflict = self.conflict(name, expected)
        if conflict is not None:
            return conflict
        self.version += 1
        del self.objects[name]
        del self.history[name]
        self.saved.append((trio.current_time(), self.version, name, None))
        self.tell(ObjectChanged(name, self.version, None, deleted=True))
        return Written(self.version)

    def conflict(self, name: str, expected: int) -> Conflict | None:
        """Return the conflict where the object has another version."""
        current = self.objects.get(name)
        version = 0 if current is None else current.version
        return None if version == expected else Conflict(version)

    def rollback(self, name: str, version: int) -> None:
        """Hold an earlier version of an object again, as a restored backup does.

        Raises
        ------
        KeyError
            If that version is not remembered.
        """
        for stored in self.history[name]:
            if stored.version == version:
                self.objects[name] = stored
                self.tell(ObjectChanged(name, stored.version, stored.value))
                return
        raise KeyError(f"no version {version} of {name}")

    def restore(self, copied_s: float) -> None:
        """Return to the objects of a time; later versions are given out again."""
        self.saved = [entry for entry in self.saved if entry[0] <= copied_s]
        self.version = max((entry[1] for entry in self.saved), default=0)
        self.objects = {}
        for _, _, name, stored in self.saved:
            if stored is None:
                self.objects.pop(name, None)
            else:
                self.objects[name] = stored
        self.log.clear()

    def tell(self, change: ObjectChanged) -> None:
        """Log a change and wake the watches."""
        self.log.append(change)
        self.logged += 1
        self.changed.unpark_all()

    def listed(self) -> list[ObjectChanged]:
        """Return all objects as changes, in order of version."""
        changes = [
            ObjectChanged(name, stored.version, stored.value)
            for name, stored in self.objects.items()
        ]
        return sorted(changes, key=lambda change: change.version)

    def position_since(self, version: int) -> int | None:
        """Return the log position of the first change after a version.

        Returns
        -------
        position : int or None
            None where the log no longer reaches back that far.
        """
        first = self.logged - len(self.log)
        if first > 0 and self.log[0].version > version + 1:
            return None
        for offset, change in enumerate(self.log):
            if change.version > version:
                return first + offset
        return self.logged

    def changes_from(self, position: int) -> list[ObjectChanged]:
        """Return the changes logged from a position on."""
        count = min(self.logged - position, len(self.log))
        return [] if count <= 0 else list(self.log)[-count:]
