"""What a node knows of the software versions of servers, now and in the past."""

import math
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import trio

from rosemaryknot.process.server_state import ServerState
from rosemaryknot.values.gateway import RoutedServer

__all__ = ["RESTART_NOTICE_S", "VersionHistory"]

# A server that starts again under its id writes its entry as it starts, or soon after
# the store is back. If it has not done so by this time after it responded again, it is
# unchanged.
RESTART_NOTICE_S = 2.0
# No server ends and starts again with another version within this time.
CONFIRMED_S = 0.25
# A watch whose connection is cut off in silence fails seconds later. Other nodes report
# four times a second which changes they know.
MAX_WITNESS_AGE_S = 1.5
# Tolerance for the wall clocks of servers, which tell when they started.
CLOCK_TOLERANCE_S = 0.5
# Incarnations with an uncertain version, and versions of the past, that are remembered.
MAX_REMEMBERED = 500


class VersionHistory:
    """Software versions of the servers over time, as their entries tell.

    Attributes
    ----------
    last_seen : dict of tuple of (str, str) to float
        When the last server of a service and version went, in trio time.
    uncertain : collections.OrderedDict of str to float
        By incarnation of a server that turned out to be of another version: since when
        streams may have begun there at the new one, in trio time.
    entries_current_since_s : callable
        Returns since when this node knows all entries, in trio time; infinite while it
        does not.
    entries_known_at_s : callable
        Returns the latest time up to which all entries are certainly known, in trio
        time.
    entries_witnessed_s : callable
        Returns when the store or another node last showed that no change of an entry
        is missing here, in trio time.
    unix_time : callable
        Returns the Unix time in seconds.
    """

    def __init__(self) -> None:
        self.last_seen: dict[tuple[str, str], float] = {}
        self.uncertain: OrderedDict[str, float] = OrderedDict()
        self.entries_current_since_s: Callable[[], float] = trio.current_time
        self.entries_known_at_s: Callable[[], float] = trio.current_time
        self.entries_witnessed_s: Callable[[], float] = trio.current_time
        self.unix_time: Callable[[], float] = time.time

    def record_end(self, state: ServerState) -> None:
        """Record that a server left the table, or changed its version."""
        key = (state.service, state.entry.software_version)
        self.last_seen.pop(key, None)
        self.last_seen[key] = trio.current_time()
        if len(self.last_seen) > MAX_REMEMBERED:
            del self.last_seen[next(iter(self.last_seen))]

    def record_change(self, old: ServerState, entry: RoutedServer) -> None:
        """Record that a server turned out to be of another version.

        Its entry follows its start, so that streams which seem to have begun at the old
        version may have begun at the new one.
        """
        if old.entry.software_version == entry.software_version:
            return
        since_s = -math.inf
        if entry.born is not None and entry.born != old.entry.born:
            age_s = max(0.0, self.unix_time() - entry.born / 1000)
            since_s = trio.current_time() - age_s - CLOCK_TOLERANCE_S
        key = old.incarnation_key
        self.uncertain[key] = min(since_s, self.uncertain.get(key, math.inf))
        while len(self.uncertain) > MAX_REMEMBERED:
            self.uncertain.popitem(last=False)

    def is_uncertain(self, incarnation_key: str, began_s: float) -> bool:
        """Return whether the version is uncertain at which a stream began.

        Parameters
        ----------
        incarnation_key : str
            Incarnation of the server, as its entry told when the stream began.
        began_s : float
            When the request was sent there, in trio time.
        """
        return began_s >= self.uncertain.get(incarnation_key, math.inf)

    def is_current(self, state: ServerState) -> bool:
        """Return whether a server is certainly of the version that its entry tells.

        A server whose process was seen to have ended may be back with another version
        before its next entry arrives. While no entries arrive, any server may be, and
        one that could not write its entry meanwhile writes it with a later heartbeat.
        """
        if not state.entry.software_version:
            return False
        now_s = trio.current_time()
        if now_s - state.confirmed_s < CONFIRMED_S:
            return True
        since_s = self.entries_current_since_s()
        if math.isinf(since_s):
            return False
        if state.entry_updated_s > state.process_lost_s:
            return True
        if state.back_since_s < state.process_lost_s:
            return False
        unknown_s = max(state.back_since_s, since_s)
        return self.entries_known_at_s() >= unknown_s + RESTART_NOTICE_S

    def entries_age_s(self) -> float:
        """Return how long ago something showed that the entries are up to date.

        That no call to the store has failed does not.
        """
        return trio.current_time() - self.entries_witnessed_s()

    def are_entries_witnessed(self) -> bool:
        """Return whether the entries are young enough to go on with a stream."""
        return self.entries_age_s() <= MAX_WITNESS_AGE_S

    def only_version(
        self, service: str, states: Iterable[ServerState], period_s: float
    ) -> str | None:
        """Return the version if a service certainly had just one; None otherwise.

        Parameters
        ----------
        service : str
            Name of the service.
        states : iterable of ServerState
            Its servers.
        period_s : float
            Length of the time up to now for which this has to be certain, in seconds.
        """
        now_s = trio.current_time()
        if now_s - self.entries_current_since_s() < period_s:
            return None
        versions = {state.entry.software_version for state in states}
        for (name, version), last_s in list(self.last_seen.items()):
            if name == service and now_s - last_s < period_s:
                versions.add(version)
        only = versions.pop() if len(versions) == 1 else ""
        return only or None
