"""The links to one peer and the selection of the link to send on."""

import random
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.links import MessageLink

__all__ = ["LinkEnd", "Peer", "full_jitter"]

SILENCE_TIMEOUT_S = 3.0
SIMULTANEOUS_OPEN_S = 2.0
DUPLICATE_LINK_TTL_S = 10.0
UNNEEDED_LINK_TTL_S = 20.0
MAX_LINKS = 4
BACKOFF_BASE_S = 0.2
BACKOFF_MAX_S = 5.0


def full_jitter(failures: int, rng: random.Random) -> float:
    """Return a random backoff after a number of failures, in seconds."""
    bound_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(failures, 10))
    return rng.uniform(0.0, bound_s)


@dataclass(slots=True)
class LinkEnd:
    """One link to a peer.

    Attributes
    ----------
    link : MessageLink
        The link.
    is_dialled : bool
        Whether this node opened the link.
    """

    link: MessageLink
    is_dialled: bool


@dataclass(slots=True)
class Peer:
    """The links between this node and one other.

    Attributes
    ----------
    local_name, name : str
        Names of this node and the peer.
    links : list of LinkEnd
        Open links, oldest first. There is briefly more than one when both ends
        dialled simultaneously, or when a new link replaces a silent one.
    """

    local_name: str
    name: str
    links: list[LinkEnd] = field(default_factory=list)
    woken: trio.Event = field(default_factory=trio.Event)

    def add(self, end: LinkEnd) -> None:
        """Add a new link; close the oldest ones above `MAX_LINKS`."""
        self.links.append(end)
        for old in self.links[:-MAX_LINKS]:
            old.link.close("too many links")
        self.wake()

    def remove(self, end: LinkEnd) -> None:
        """Remove a closed link."""
        self.links.remove(end)
        self.wake()

    def wake(self) -> None:
        """Wake the peer task to check its links again."""
        self.woken.set()
        self.woken = trio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a link to be added or removed, at most for the timeout."""
        with trio.move_on_after(timeout_s):
            await self.woken.wait()

    def usable(self) -> list[LinkEnd]:
        """Return the open links that received data recently."""
        return [
            end
            for end in self.links
            if not end.link.is_closed and end.link.silence_s() < SILENCE_TIMEOUT_S
        ]

    def best(self) -> LinkEnd | None:
        """Return the link to send on.

        This is the newest link, since the other end may have opened it because it
        receives nothing on the others. Of links opened within `SIMULTANEOUS_OPEN_S`
        because both ends dialled simultaneously, it is the one dialled by the node
        with the smaller name, so that both ends select the same link.
        """
        usable = self.usable()
        if not usable:
            return None
        newest_s = max(end.link.opened_s for end in usable)
        recent = [
            end for end in usable if end.link.opened_s >= newest_s - SIMULTANEOUS_OPEN_S
        ]
        dials_first = self.local_name < self.name
        return max(
            recent, key=lambda end: (end.is_dialled == dials_first, end.link.opened_s)
        )

    def clean_up(self) -> int:
        """Close links that a usable link replaced; return how many were silent.

        A silent link is closed immediately. A duplicate is closed by the end that
        dialled it, and only after it has been unused for `DUPLICATE_LINK_TTL_S`:
        closing it earlier would fail the calls that wait on it.
        """
        best = self.best()
        silent = 0
        for end in self.links:
            if best is None or end is best or end.link.is_closed:
                continue
            if end.link.silence_s() >= SILENCE_TIMEOUT_S:
                end.link.close("silent")
                silent += 1
            elif end.is_dialled and is_unused_duplicate(end, best):
                end.link.close("duplicate")
        return silent

    def close_unneeded(self) -> None:
        """Close the links that this node dialled and no longer needs.

        A fleet that has grown past a full mesh would otherwise keep all its links.
        An end that still needs the link dials it again. The accepting end does not
        know whether the other end needs the link, so it closes none.
        """
        for end in self.links:
            if (
                end.is_dialled
                and end.link.age_s() > UNNEEDED_LINK_TTL_S
                and not end.link.pending_calls
            ):
                end.link.close("not needed")

    def close_all(self, reason: str, before_incarnation: int | None = None) -> None:
        """Close all links, or only those of earlier incarnations."""
        for end in self.links:
            incarnation = end.link.hello.incarnation
            if before_incarnation is None or incarnation < before_incarnation:
                end.link.close(reason)


def is_unused_duplicate(end: LinkEnd, best: LinkEnd) -> bool:
    """Return whether a link has been unused since a preferred one was opened."""
    replaced_s = max(end.link.opened_s, best.link.opened_s)
    return (
        trio.current_time() - replaced_s > DUPLICATE_LINK_TTL_S
        and not end.link.pending_calls
    )
