"""Open answers of the platform stand-in: watches of objects and of notices."""

import json
from collections.abc import AsyncIterator
from dataclasses import asdict

import trio

from rosemaryknot.standin.platform_cloud import Cloud
from rosemaryknot.standin.platform_faults import OUTAGE_SILENT, PlatformFaults
from rosemaryknot.standin.platform_objects import ObjectKind
from rosemaryknot.values.platform import ObjectChanged

__all__ = ["Watches", "change_line"]

HEARTBEAT_S = 1.0
HEARTBEAT = b"\n"


def change_line(change: ObjectChanged) -> bytes:
    """Return the line of a watch for a change."""
    line = {"name": change.name, "version": change.version, "value": change.value}
    if change.deleted:
        line["deleted"] = True
    return json.dumps(line).encode() + b"\n"


class Watches:
    """All open watches.

    Parameters
    ----------
    faults : PlatformFaults
        Silence, gaps and outages.

    Attributes
    ----------
    open : set of int
        Numbers of the open watches.
    silenced : set of int
        Those that say nothing more.
    """

    def __init__(self, faults: PlatformFaults) -> None:
        self.faults = faults
        self.open: set[int] = set()
        self.silenced: set[int] = set()
        self.last_number = 0

    def silence(self) -> None:
        """Let the open watches say nothing more, for good; new ones work."""
        self.silenced |= self.open

    def add(self) -> int:
        """Return the number of a new watch."""
        self.last_number += 1
        self.open.add(self.last_number)
        return self.last_number

    def remove(self, number: int) -> None:
        """Forget a watch that has ended."""
        self.open.discard(number)
        self.silenced.discard(number)

    async def wait_while_silent(self, number: int) -> None:
        """Return at once, or never where the watch says nothing more."""
        faults = self.faults
        if faults.outage == OUTAGE_SILENT or faults.watch_silent:
            self.silenced.add(number)
        if number in self.silenced:
            await trio.sleep_forever()

    async def object_lines(
        self, objects: ObjectKind, position: int, first: list[ObjectChanged]
    ) -> AsyncIterator[bytes]:
        """Yield the lines of one watch of objects.

        Parameters
        ----------
        objects : ObjectKind
            What is watched.
        position : int
            Where in the kind's log the watch goes on.
        first : list of ObjectChanged
            Told before.
        """
        number = self.add()
        try:
            yield HEARTBEAT
            for change in first:
                yield change_line(change)
            while not self.faults.outage or number in self.silenced:
                changes = objects.changes_from(position)
                position = objects.logged
                for change in changes:
                    await self.wait_while_silent(number)
                    if self.faults.watch_gaps > 0:
                        self.faults.watch_gaps -= 1
                    else:
                        yield change_line(change)
                is_quiet = False
                if position == objects.logged:
                    is_quiet = await park_for(objects.changed, HEARTBEAT_S)
                await self.wait_while_silent(number)
                if is_quiet:
                    yield HEARTBEAT
        finally:
            self.remove(number)

    async def notice_lines(self, cloud: Cloud) -> AsyncIterator[bytes]:
        """Yield the lines of one watch of notices, from those that are open."""
        number = self.add()
        position = len(cloud.notices)
        notices = cloud.open_notices()
        try:
            yield HEARTBEAT
            while not self.faults.outage or number in self.silenced:
                for notice in notices:
                    await self.wait_while_silent(number)
                    yield json.dumps(asdict(notice)).encode() + b"\n"
                is_quiet = False
                if position == len(cloud.notices):
                    is_quiet = await park_for(cloud.noticed, HEARTBEAT_S)
                await self.wait_while_silent(number)
                if is_quiet:
                    yield HEARTBEAT
                notices = cloud.notices[position:]
                position += len(notices)
        finally:
            self.remove(number)


async def park_for(lot: trio.lowlevel.ParkingLot, seconds: float) -> bool:
    """Wait in a parking lot; tell whether nothing came in that time."""
    with trio.move_on_after(seconds) as scope:
        await lot.park()
    return scope.cancelled_caught
