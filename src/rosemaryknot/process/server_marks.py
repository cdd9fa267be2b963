"""Marks of instances that are leaving or terminated, which are never taken back."""

from dataclasses import dataclass

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.values.nodes import ServerState
from rosemaryknot.values.servers import LeavingMark

__all__ = ["Mark", "ServerMarks"]

FORGET_S = 600.0
STATE_ORDER = {ServerState.LIVE: 0, ServerState.LEAVING: 1, ServerState.TERMINATED: 2}

log = logger("servers")


@dataclass(slots=True)
class Mark:
    """What is known of an instance for good.

    Attributes
    ----------
    state : ServerState
        Leaving or terminated; only goes on, never back.
    deadline_unix_s : float
        When it is taken away; 0 where not known.
    source : str
        Who told first.
    seen_s : float
        When the platform or the server last spoke of the instance, in trio time.
    """

    state: ServerState
    deadline_unix_s: float
    source: str
    seen_s: float


class ServerMarks:
    """Marks by instance.

    Parameters
    ----------
    forget_s : float
        How long a mark outlives the last word about its instance, in seconds; far
        longer than any list lags.

    Attributes
    ----------
    by_instance : dict of str to Mark
        All marks.
    """

    def __init__(self, forget_s: float = FORGET_S) -> None:
        self.forget_s = forget_s
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
            See `Mark`.

        Returns
        -------
        is_new : bool
            Whether the mark, a further state or an earlier deadline is new.
        """
        if trio.current_time() - seen_s >= self.forget_s:
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

    def forget(self, known: dict) -> None:
        """Forget old marks of instances that are not among the known ones.

        Without a bound the table grows with every reclaim for as long as the
        process lives.
        """
        now_s = trio.current_time()
        for name, mark in list(self.by_instance.items()):
            if now_s - mark.seen_s >= self.forget_s and name not in known:
                del self.by_instance[name]

    def messages(self) -> list[LeavingMark]:
        """Return all marks as messages.

        Terminated instances are among them: to a peer whose list lags they may
        still look live.
        """
        now_s = trio.current_time()
        return [
            LeavingMark(name, mark.deadline_unix_s, mark.source, now_s - mark.seen_s)
            for name, mark in self.by_instance.items()
        ]
