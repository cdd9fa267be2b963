"""The links to one peer, and which of them to use."""

import random
from dataclasses import dataclass, field

import trio

from rosemaryknot.connection.links import MessageLink

__all__ = ["LinkEnd", "Peer", "full_jitter"]

SILENT_S = 3.0
CROSSING_S = 2.0
RETIRE_S = 10.0
UNWANTED_S = 20.0
MAX_LINKS = 4
BACKOFF_BASE_S = 0.2
BACKOFF_MAX_S = 5.0


def full_jitter(failures: int, rng: random.Random) -> float:
    """Return how long to wait after a number of failures, in seconds."""
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
        Whether this node dialled it.
    """

    link: MessageLink
    is_dialled: bool


@dataclass(slots=True)
class Peer:
    """The links between this node and one other.

    Attributes
    ----------
    own_name, name : str
        The two nodes.
    links : list of LinkEnd
        Open links, oldest first. There is more than one for a moment when both
        dialled at once, or when a fresh link replaces a silent one.
    """

    own_name: str
    name: str
    links: list[LinkEnd] = field(default_factory=list)
    woken: trio.Event = field(default_factory=trio.Event)

    def add(self, end: LinkEnd) -> None:
        """Take a new link in; too many close the oldest."""
        self.links.append(end)
        for old in self.links[:-MAX_LINKS]:
            old.link.close("too many links")
        self.wake()

    def remove(self, end: LinkEnd) -> None:
        """Drop a link that ended."""
        self.links.remove(end)
        self.wake()

    def wake(self) -> None:
        """Let the peer's task look again."""
        self.woken.set()
        self.woken = trio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait until a link came or went, but no longer than the timeout."""
        with trio.move_on_after(timeout_s):
            await self.woken.wait()

    def usable(self) -> list[LinkEnd]:
        """Return the links that something came over lately."""
        return [
            end
            for end in self.links
            if not end.link.is_closed and end.link.silence_s() < SILENT_S
        ]

    def best(self) -> LinkEnd | None:
        """Return the link to send on.

        The newest one, since the other end may have opened it because it hears
        nothing on the others. Of links opened at about the same moment, by both
        ends dialling at once, it is the one that the lesser name dialled, which
        both ends find alike.
        """
        usable = self.usable()
        if not usable:
            return None
        newest_s = max(end.link.opened_s for end in usable)
        recent = [end for end in usable if end.link.opened_s >= newest_s - CROSSING_S]
        dials_first = self.own_name < self.name
        return max(
            recent, key=lambda end: (end.is_dialled == dials_first, end.link.opened_s)
        )

    def clean_up(self) -> int:
        """Close what a usable link has replaced; return how many were silent.

        A silent link goes at once. A duplicate is closed by the end that dialled
        it, and only when it has been out of use for a while: closing it earlier
        would fail calls that wait on it.
        """
        best = self.best()
        silent = 0
        for end in self.links:
            if best is None or end is best or end.link.is_closed:
                continue
            if end.link.silence_s() >= SILENT_S:
                end.link.close("silent")
                silent += 1
            elif end.is_dialled and is_retired(end, best):
                end.link.close("duplicate")
        return silent

    def close_unwanted(self) -> None:
        """Close the links that this node dialled and has no more use for.

        A fleet that has grown past a full mesh would keep all its links otherwise.
        An end that still wants the link dials it anew; the accepting end, which
        cannot tell who wants a link, closes none.
        """
        for end in self.links:
            if (
                end.is_dialled
                and end.link.age_s() > UNWANTED_S
                and not end.link.waiting
            ):
                end.link.close("not needed")

    def close_all(self, reason: str, before_incarnation: int | None = None) -> None:
        """Close the links, or those of earlier incarnations only."""
        for end in self.links:
            incarnation = end.link.hello.incarnation
            if before_incarnation is None or incarnation < before_incarnation:
                end.link.close(reason)


def is_retired(end: LinkEnd, best: LinkEnd) -> bool:
    """Tell whether a link has been out of use since a better one came."""
    replaced_s = max(end.link.opened_s, best.link.opened_s)
    return trio.current_time() - replaced_s > RETIRE_S and not end.link.waiting
