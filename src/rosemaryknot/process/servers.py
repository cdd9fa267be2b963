"""Table of backend servers: the newest of list, notices, peers and their own word."""

from dataclasses import dataclass, replace

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.values.nodes import BackendServer, ServerState
from rosemaryknot.values.servers import LeavingMark

__all__ = ["ServerTable"]

ABSENT_S = 6.0
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
        When a list or a message last named the instance, in trio time.
    """

    state: ServerState
    deadline_unix_s: float
    source: str
    seen_s: float


class ServerTable:
    """What this process knows of all backend servers.

    Parameters
    ----------
    safeguards : Safeguards, optional
        Which safeguards are on; all outside of tests.
    absent_s : float
        How long a server may be missing from the lists before it is dropped, in
        seconds.
    forget_s : float
        How long a mark outlives the last mention of its instance, in seconds.

    Attributes
    ----------
    servers : dict of str to BackendServer
        By instance.
    marks : dict of str to Mark
        Instances that are leaving or terminated, by name.
    revision : int
        Rises with each change.
    listed_s : float
        When the last list was applied, in trio time; minus infinity before.
    """

    def __init__(
        self,
        safeguards: Safeguards | None = None,
        absent_s: float = ABSENT_S,
        forget_s: float = FORGET_S,
    ) -> None:
        self.safeguards = Safeguards() if safeguards is None else safeguards
        self.absent_s = absent_s
        self.forget_s = forget_s
        self.servers: dict[str, BackendServer] = {}
        self.seen_s: dict[str, float] = {}
        self.marks: dict[str, Mark] = {}
        self.revision = 0
        self.listed_s = float("-inf")
        self.changed = trio.Event()
        self.by_service: dict[str, list[BackendServer]] = {}

    def get(self, instance: str) -> BackendServer | None:
        """Return a server, whatever its state."""
        return self.servers.get(instance)

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that may get new work.

        Returns
        -------
        servers : list of BackendServer
            Live ones, in order of name. Shared with other callers of the same
            revision: not to be changed.
        """
        return self.by_service.get(service, [])

    def leaving_of(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that are leaving."""
        return [
            server
            for server in self.servers.values()
            if server.service == service and server.state == ServerState.LEAVING
        ]

    def leaving_marks(self) -> list[LeavingMark]:
        """Return the marks that peers should know too.

        Terminated instances are among them, since to a peer whose list lags they
        may still look live.
        """
        return [
            LeavingMark(instance, mark.deadline_unix_s, mark.source)
            for instance, mark in self.marks.items()
        ]

    def apply_list(self, servers: list[BackendServer]) -> None:
        """Take over an instance list, which may lag.

        A server that the list leaves out is dropped only after `absent_s`: a list
        that lags more than the last one, or came back empty from a platform in
        trouble, must not take every server away at once.

        Parameters
        ----------
        servers : list of BackendServer
            All instances of all services.
        """
        now_s = trio.current_time()
        changed = False
        for server in servers:
            changed |= self.apply(server, now_s)
        changed |= self.drop_absent(now_s)
        self.forget_marks(now_s)
        self.listed_s = now_s
        if changed:
            self.tell()

    def apply(self, server: BackendServer, now_s: float) -> bool:
        """Take over one server of a list; tell whether anything changed."""
        state = ServerState(server.state)
        self.seen_s[server.instance] = now_s
        changed = False
        if state != ServerState.LIVE:
            changed = self.mark(server.instance, state, server.deadline_unix_s, "list")
        merged = self.merged(server)
        if merged == self.servers.get(server.instance):
            return changed
        self.servers[server.instance] = merged
        return True

    def merged(self, server: BackendServer) -> BackendServer:
        """Return a listed server with what its mark says.

        The list lags: for seconds after a notice it still calls the instance live,
        and new work would go to a machine that is about to vanish. A mark is never
        taken back. That is enough, as an instance that leaves never returns: a
        restarted server is a new instance with another name.
        """
        mark = self.marks.get(server.instance)
        if mark is None or not self.safeguards.leaving_mark:
            return replace(server)
        mark.seen_s = trio.current_time()
        deadline = mark.deadline_unix_s or server.deadline_unix_s
        return replace(server, state=mark.state, deadline_unix_s=deadline)

    def mark_leaving(self, instance: str, deadline_unix_s: float, source: str) -> bool:
        """Mark an instance as leaving, for good.

        Parameters
        ----------
        instance : str
            The platform's name; need not be in the table yet.
        deadline_unix_s : float
            When it is taken away, as seconds of the epoch; 0 where not known.
        source : str
            ``notice``, ``list``, ``peer`` or ``server``.

        Returns
        -------
        is_new : bool
            Whether the mark, or an earlier deadline, is new: peers should be told.
        """
        return self.mark_and_tell(
            instance, ServerState.LEAVING, deadline_unix_s, source
        )

    def mark_terminated(self, instance: str, source: str) -> bool:
        """Mark an instance as terminated, for good; see `mark_leaving`."""
        return self.mark_and_tell(instance, ServerState.TERMINATED, 0.0, source)

    def mark_and_tell(
        self, instance: str, state: ServerState, deadline_unix_s: float, source: str
    ) -> bool:
        """Mark an instance and wake those who wait for changes."""
        is_new = self.mark(instance, state, deadline_unix_s, source)
        server = self.servers.get(instance)
        if server is not None:
            self.servers[instance] = self.merged(server)
        if is_new:
            self.tell()
        return is_new

    def mark(
        self, instance: str, state: ServerState, deadline_unix_s: float, source: str
    ) -> bool:
        """Set or advance a mark; tell whether it says anything new."""
        now_s = trio.current_time()
        mark = self.marks.get(instance)
        if mark is None:
            self.marks[instance] = Mark(state, deadline_unix_s, source, now_s)
            log.info(f"{instance} is {state}, from {source}", instance=instance)
            return True
        mark.seen_s = now_s
        is_new = False
        if STATE_ORDER[state] > STATE_ORDER[mark.state]:
            mark.state = state
            is_new = True
            log.info(f"{instance} is {state}, from {source}", instance=instance)
        if 0 < deadline_unix_s < (mark.deadline_unix_s or float("inf")):
            mark.deadline_unix_s = deadline_unix_s
            is_new = True
        return is_new

    def drop_absent(self, now_s: float) -> bool:
        """Drop servers that no list has named for `absent_s`."""
        absent = [
            instance
            for instance in self.servers
            if now_s - self.seen_s[instance] >= self.absent_s
        ]
        for instance in absent:
            del self.servers[instance]
            del self.seen_s[instance]
            log.info(f"{instance} is gone from the list", instance=instance)
        return bool(absent)

    def forget_marks(self, now_s: float) -> None:
        """Forget marks whose instance nobody names any more.

        Without a bound the table grows with every reclaim for as long as the
        process lives; `forget_s` is far longer than any list lags.
        """
        for instance, mark in list(self.marks.items()):
            unnamed = now_s - mark.seen_s >= self.forget_s
            if unnamed and instance not in self.servers:
                del self.marks[instance]

    def tell(self) -> None:
        """Raise the revision and wake those who wait."""
        self.revision += 1
        self.by_service = self.live_by_service()
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def live_by_service(self) -> dict[str, list[BackendServer]]:
        """Return the live servers in order of name, by service."""
        by_service: dict[str, list[BackendServer]] = {}
        for instance in sorted(self.servers):
            server = self.servers[instance]
            if server.state == ServerState.LIVE and server.address:
                by_service.setdefault(server.service, []).append(server)
        return by_service

    async def wait_changed(self, after: int) -> int:
        """Wait until the revision is higher than one that the caller knows.

        Parameters
        ----------
        after : int
            Revision that the caller knows.

        Returns
        -------
        revision : int
            The current one.
        """
        while self.revision <= after:
            await self.changed.wait()
        return self.revision
