"""Table of backend servers, merged from lists, notices, peers and servers."""

from dataclasses import replace

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.server_marks import ServerMarks
from rosemaryknot.values.nodes import Address, BackendServer, ServerState
from rosemaryknot.values.servers import (
    LeavingMark,
    ServersPush,
    server_from_dict,
    server_to_dict,
)

__all__ = ["ServerTable"]

ABSENCE_TIMEOUT_S = 6.0
MAX_AGE_S = 1e9

log = logger("servers")


class ServerTable:
    """State of all backend servers as seen by this process.

    Parameters
    ----------
    safeguards : Safeguards, optional
        Enabled safeguards; all are enabled outside of tests.
    absence_timeout_s : float
        How long a server may be missing from the lists before it is dropped, in
        seconds.
    marks : ServerMarks, optional
        Irreversible marks of instances.

    Attributes
    ----------
    servers : dict of str to BackendServer
        Servers by instance.
    marks : ServerMarks
        Marks of instances that are draining or terminated.
    revision : int
        Number that increases with each change.
    seen_s : dict of str to float
        When each server was last included in a list, in trio time.
    absent_since_s : dict of str to float
        When a list first omitted each absent server, in trio time.
    listed_s : float
        When the latest list was read, by this or another process, in trio time; minus
        infinity before the first.
    """

    def __init__(
        self,
        safeguards: Safeguards | None = None,
        absence_timeout_s: float = ABSENCE_TIMEOUT_S,
        marks: ServerMarks | None = None,
    ) -> None:
        self.safeguards = Safeguards() if safeguards is None else safeguards
        self.absence_timeout_s = absence_timeout_s
        self.servers: dict[str, BackendServer] = {}
        self.seen_s: dict[str, float] = {}
        self.absent_since_s: dict[str, float] = {}
        self.marks = ServerMarks() if marks is None else marks
        self.revision = 0
        self.listed_s = float("-inf")
        self.changed = trio.Event()
        self.by_service: dict[str, list[BackendServer]] = {}

    def get(self, instance: str) -> BackendServer | None:
        """Return a server, whatever its state."""
        return self.servers.get(instance)

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that may get new requests.

        Returns
        -------
        servers : list of BackendServer
            Live servers in order of name. The list is shared with other callers of the
            same revision and must not be modified.
        """
        return self.by_service.get(service, [])

    def addresses(self) -> list[Address]:
        """Return the addresses of the servers that accept requests."""
        live = (server for servers in self.by_service.values() for server in servers)
        return [Address.from_text(server.address) for server in live]

    def has_address(self, address: Address) -> bool:
        """Return whether a server that accepts requests has an address."""
        return address in self.addresses()

    def leaving_of(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that are draining."""
        return [
            server
            for server in self.servers.values()
            if server.service == service and server.state == ServerState.LEAVING
        ]

    def leaving_marks(self) -> list[LeavingMark]:
        """Return all marks as messages, for a newly connected peer."""
        return self.marks.messages()

    def apply_list(self, servers: list[BackendServer]) -> None:
        """Apply an instance list that was just read; its content may lag.

        Parameters
        ----------
        servers : list of BackendServer
            All instances of all services.
        """
        now_s = trio.current_time()
        # A failing platform may return an empty list. This does not prove that every
        # server was terminated, and a terminated server refuses the connection.
        listed_s = now_s if servers else self.listed_s
        self.apply_seen([(server, now_s) for server in servers], listed_s)

    def to_push(self) -> ServersPush:
        """Return the whole table as a message to peers and entries."""
        now_s = trio.current_time()
        names = list(self.servers)
        return ServersPush(
            servers=[server_to_dict(self.servers[name]) for name in names],
            full=True,
            seen_ages_s=[now_s - self.seen_s[name] for name in names],
            listed_age_s=min(now_s - self.listed_s, MAX_AGE_S),
        )

    def apply_push(self, push: ServersPush) -> None:
        """Apply the table of another process.

        The ages are applied too. Two processes that each treated a push as a current
        list would report a terminated server to each other indefinitely.

        Parameters
        ----------
        push : ServersPush
            Result of `to_push` in the other process.
        """
        now_s = trio.current_time()
        servers = [server_from_dict(server) for server in push.servers]
        ages_s = push.seen_ages_s or [0.0] * len(servers)
        seen = [
            (server, now_s - age_s)
            for server, age_s in zip(servers, ages_s, strict=False)
        ]
        self.apply_seen(seen, max(self.listed_s, now_s - push.listed_age_s))

    def apply_seen(
        self, seen: list[tuple[BackendServer, float]], listed_s: float
    ) -> None:
        """Apply servers with the times at which a list last included them."""
        changed = False
        self.listed_s = listed_s
        for server, seen_s in seen:
            changed |= self.apply(server, seen_s)
        changed |= self.drop_absent()
        self.marks.remove_expired(self.servers)
        if changed:
            self.notify()

    def apply(self, server: BackendServer, seen_s: float) -> bool:
        """Apply one server; return whether anything changed."""
        name = server.instance
        changed = False
        state = ServerState(server.state)
        if state != ServerState.LIVE:
            deadline_unix_s = server.deadline_unix_s
            changed = self.marks.set(name, state, deadline_unix_s, "list", seen_s)
        known = self.servers.get(name)
        if known is None and self.listed_s - seen_s >= self.absence_timeout_s:
            # This process has already dropped the server; the sender, which learned of
            # it from this process, has not.
            return changed
        if known is not None and seen_s < self.seen_s[name]:
            server = known
        self.seen_s[name] = max(seen_s, self.seen_s.get(name, seen_s))
        merged = self.merged(server)
        if merged == known:
            return changed
        self.servers[name] = merged
        return True

    def merged(self, server: BackendServer) -> BackendServer:
        """Return a listed server with its mark applied.

        The list lags: for seconds after a notice it still reports the instance as live,
        and new requests would be sent to a machine that is about to be reclaimed. A
        mark is never reverted. This is sufficient because a draining instance never
        returns: a restarted server is a new instance with another name.
        """
        mark = self.marks.get(server.instance)
        if mark is None or not self.safeguards.leaving_mark:
            return replace(server)
        deadline_unix_s = mark.deadline_unix_s or server.deadline_unix_s
        return replace(server, state=mark.state, deadline_unix_s=deadline_unix_s)

    def mark_leaving(self, instance: str, deadline_unix_s: float, source: str) -> bool:
        """Mark an instance as draining; the mark is irreversible.

        Parameters
        ----------
        instance : str
            Name of the instance on the platform; need not be in the table yet.
        deadline_unix_s : float
            When the instance is reclaimed, in seconds since the epoch; 0 if not known.
        source : str
            ``notice``, ``list``, ``peer`` or ``server``.

        Returns
        -------
        is_new : bool
            Whether the mark or an earlier deadline is new and should be sent to peers.
        """
        return self.mark(instance, ServerState.LEAVING, deadline_unix_s, source)

    def mark_terminated(self, instance: str, source: str) -> bool:
        """Mark an instance as terminated; see `mark_leaving`."""
        return self.mark(instance, ServerState.TERMINATED, 0.0, source)

    def apply_mark(self, mark: LeavingMark) -> bool:
        """Apply a mark from another process; see `mark_leaving`."""
        return self.mark(
            mark.instance,
            ServerState.LEAVING,
            mark.deadline_unix_s,
            mark.source,
            mark.age_s,
        )

    def mark(
        self,
        instance: str,
        state: ServerState,
        deadline_unix_s: float,
        source: str,
        age_s: float = 0.0,
    ) -> bool:
        """Set or advance a mark and notify tasks that wait for changes."""
        seen_s = trio.current_time() - age_s
        is_new = self.marks.set(instance, state, deadline_unix_s, source, seen_s)
        if not is_new:
            return False
        server = self.servers.get(instance)
        if server is not None:
            self.servers[instance] = self.merged(server)
        self.notify()
        return True

    def drop_absent(self) -> bool:
        """Drop servers that have been missing from the lists for `absence_timeout_s`.

        Time without any list does not count: in a platform outage the old servers are
        better than none. A single list that lags more than the previous one does not
        count either: the absence starts with the first list that omitted the server.
        """
        dropped = False
        for name in list(self.servers):
            if self.seen_s[name] >= self.listed_s:
                self.absent_since_s.pop(name, None)
                continue
            since_s = self.absent_since_s.setdefault(name, self.listed_s)
            if self.seen_s[name] >= since_s:
                self.absent_since_s[name] = since_s = self.listed_s
            if self.listed_s - since_s >= self.absence_timeout_s:
                self.drop(name)
                dropped = True
        return dropped

    def drop(self, name: str) -> None:
        """Drop a server from the table."""
        for table in (self.servers, self.seen_s, self.absent_since_s):
            table.pop(name, None)
        log.info(f"{name} dropped: missing from the instance list", instance=name)

    def notify(self) -> None:
        """Increment the revision and notify waiting tasks."""
        self.revision += 1
        self.by_service = self.live_by_service()
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def live_by_service(self) -> dict[str, list[BackendServer]]:
        """Return the live servers by service, in order of name."""
        by_service: dict[str, list[BackendServer]] = {}
        for instance in sorted(self.servers):
            server = self.servers[instance]
            if server.state == ServerState.LIVE and server.address:
                by_service.setdefault(server.service, []).append(server)
        return by_service

    async def wait_changed(self, after: int) -> int:
        """Wait until the revision is higher than a known one.

        Parameters
        ----------
        after : int
            Revision known to the caller.

        Returns
        -------
        revision : int
            Current revision.
        """
        while self.revision <= after:
            await self.changed.wait()
        return self.revision
