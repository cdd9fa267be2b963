"""Irreversible marks for instances that are draining or terminated."""

from dataclasses import dataclass

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.values.nodes import ServerState
from rosemaryknot.values.servers import LeavingMark

__all__ = ["Mark", "ServerMarks"]

MARK_TTL_S = 600.0
STATE_ORDER = {ServerState.LIVE: 0, ServerState.LEAVING: 1, ServerState.TERMINATED: 2}

log = logger("servers")


@dataclass(slots=True)
class Mark:
    """Irreversible mark of an instance.

    Attributes
    ----------
    state : ServerState
        ``LEAVING`` or ``TERMINATED``; it only advances.
    deadline_unix_s : float
        When the instance is reclaimed; 0 if not known.
    source : str
        Source of the first report.
    seen_s : float
        When the platform or the server last reported the instance, in trio time.
    """

    state: ServerState
    deadline_unix_s: float
    source: str
    seen_s: float


class ServerMarks:
    """Marks by instance.

    Parameters
    ----------
    ttl_s : float
        How long a mark is retained after the last report of its instance, in seconds;
        far longer than the lag of any list.

    Attributes
    ----------
    by_instance : dict of str to Mark
        All marks.
    """

    def __init__(self, ttl_s: float = MARK_TTL_S) -> None:
        self.ttl_s = ttl_s
        self.by_instance: dict[str, Mark] = {}

    def get(self, instance: str) -> Mark | None:
        """Return the mark of an instance."""
        return self.by_instance.get(instance)

    def set(
        self,
        instance: str,
        state: ServerState,
        deadline_unix_s: float,
        source: str,
        seen_s: float,
    ) -> bool:
        """Set a mark or advance it.

        Parameters
        ----------
        instance, state, deadline_unix_s, source, seen_s
            Attributes of the `Mark`.

        Returns
        -------
        is_new : bool
            Whether the mark, its state or an earlier deadline is new.
        """
        if trio.current_time() - seen_s >= self.ttl_s:
            return False
        mark = self.by_instance.get(instance)
        if mark is None:
            self.by_instance[instance] = Mark(state, deadline_unix_s, source, seen_s)
            log.info(f"{instance} is {state}, from {source}", instance=instance)
            return True
        mark.seen_s = max(mark.seen_s, seen_s)
        is_new = False
        if STATE_ORDER[state] > STATE_ORDER[mark.state]:
            mark.state = state
            is_new = True
            log.info(f"{instance} is {state}, from {source}", instance=instance)
        if 0 < deadline_unix_s < (mark.deadline_unix_s or float("inf")):
            mark.deadline_unix_s = deadline_unix_s
            is_new = True
        return is_new

    def remove_expired(self, known: dict) -> None:
        """Remove expired marks of instances that are not among the known ones.

        Otherwise the table would grow with every reclaim for the lifetime of the
        process.
        """
        now_s = trio.current_time()
        for name, mark in list(self.by_instance.items()):
            if now_s - mark.seen_s >= self.ttl_s and name not in known:
                del self.by_instance[name]

    def messages(self) -> list[LeavingMark]:
        """Return all marks as messages.

        Terminated instances are included: in the list of a peer that lags they may
        still appear live.
        """
        now_s = trio.current_time()
        return [
            LeavingMark(name, mark.deadline_unix_s, mark.source, now_s - mark.seen_s)
            for name, mark in self.by_instance.items()
        ]
