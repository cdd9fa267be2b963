"""Current configuration and servers of a gateway; never replaced by older versions."""

from collections.abc import Callable, Container
from typing import Any

import trio

from rosemaryknot.process.gateway_documents import Document
from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.gateway import CallerLimits, GatewayConfiguration, RoutedServer
from rosemaryknot.values.platform import Listed, ObjectChanged
from rosemaryknot.values.store_revisions import era_of, revision_of

__all__ = ["PEER_VERSION_TTL_S", "GatewayState"]

VERSION = gauge("configuration_version", "Version of the configuration in force.")
SERVERS = gauge("known_servers", "Backend servers that may get work.")

# Maximum number of characters of an entry's name in a log line. Other writers may use
# names of any length.
MAX_LOGGED_NAME_CHARS = 60

# How long another gateway's reported version is considered current, in seconds. A
# gateway reports its version four times a second.
PEER_VERSION_TTL_S = 2.0

log = logger("state")

DecodeConfiguration = Callable[[Any], GatewayConfiguration]
DecodeServer = Callable[[str, Any], RoutedServer]


class GatewayState:
    """Decoded state of the store.

    Parameters
    ----------
    decode_configuration, decode_server : callable
        Decode the value of an object; raise ValueError for an invalid one.
    configuration_name : str
        Name of the configuration's object.

    Attributes
    ----------
    configuration : GatewayConfiguration or None
        Current configuration; None before the first one.
    document : Document or None
        Document that it was decoded from, to send to other nodes.
    peer_version : int
        Newest version that another gateway has reported; -1 before any.
    peer_version_s : float
        Time at which it was reported last, in trio time.
    entries : dict of str to tuple of (int, object)
        Revisions and values of the servers' entries, to send to other nodes.
    servers : ServerTable
        Table of the servers.
    servers_era : int
        Era of the store in which the servers were listed last; -1 before the first
        list.
    skipped_revisions : dict of str to int
        By name of an entry, the last revision that was ignored and logged.
    known : trio.Event
        Set once requests can be served.
    """

    def __init__(
        self,
        decode_configuration: DecodeConfiguration,
        decode_server: DecodeServer,
        configuration_name: str,
    ) -> None:
        self.decode_configuration = decode_configuration
        self.decode_server = decode_server
        self.configuration_name = configuration_name
        self.configuration: GatewayConfiguration | None = None
        self.document: Document | None = None
        self.peer_version = -1
        self.peer_version_s = float("-inf")
        self.entries: dict[str, tuple[int, Any]] = {}
        self.servers = ServerTable()
        self.servers_era = -1
        self.skipped_revisions: dict[str, int] = {}
        self.known = trio.Event()

    @property
    def version(self) -> int:
        """Current version; -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    @property
    def newest_version(self) -> int:
        """Newest version known at this gateway or reported by another one."""
        return max(self.version, self.peer_version)

    def record_peer_version(self, version: int) -> None:
        """Record the version that another gateway reports."""
        if version >= self.peer_version:
            self.peer_version = version
            self.peer_version_s = trio.current_time()

    def is_behind(self) -> bool:
        """Return whether another gateway recently reported a newer version."""
        is_recent = trio.current_time() - self.peer_version_s < PEER_VERSION_TTL_S
        return is_recent and self.peer_version > self.version

    def limits(self) -> CallerLimits:
        """Return the limits on callers' connections."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def is_known(self) -> bool:
        """Return whether requests can be served."""
        return self.configuration is not None and self.servers.is_usable()

    async def wait_known(self, timeout_s: float) -> None:
        """Wait until requests can be served or the timeout expires."""
        if self.known.is_set():
            return
        with trio.move_on_after(timeout_s):
            await self.known.wait()

    def signal_known(self) -> None:
        """Wake the tasks that wait until requests can be served."""
        if self.is_known() and not self.known.is_set():
            log.info(
                "requests can be served",
                version=self.version,
                servers=len(self.servers.by_id),
            )
            self.known.set()

    # Configuration.

    def list_configuration(self, listed: Listed) -> None:
        """Apply a list of configurations."""
        found = listed.objects.get(self.configuration_name)
        if found is not None:
            self.apply_configuration(found.value, found.version, "list")

    def change_configuration(self, change: ObjectChanged) -> None:
        """Apply a change of a configuration."""
        if change.name == self.configuration_name and not change.deleted:
            self.apply_configuration(change.value, change.version, "watch")

    def apply_configuration(self, value: Any, revision: int, source: str) -> None:
        """Make a configuration the current one unless it is older.

        A late response from the store, or one from another node, may contain an older
        version. Applying it would restore routes and keys that operators have removed.
        """
        try:
            configuration = self.decode_configuration(value)
        except ValueError as error:
            log.error(
                "invalid configuration",
                error=str(error),
                revision=revision_of(revision),
            )
            return
        if configuration.version <= self.version:
            return
        document = Document.of(configuration.version, revision, value)
        log.info(
            "applied configuration",
            version=configuration.version,
            before=self.version,
            era=era_of(revision),
            revision=revision_of(revision),
            source=source,
            bytes=len(document.packed),
        )
        self.configuration = configuration
        self.document = document
        VERSION.set(configuration.version)
        self.signal_known()

    # Servers.

    def list_servers(self, listed: Listed) -> None:
        """Apply a list of servers."""
        self.entries = {
            name: (found.version, found.value) for name, found in listed.objects.items()
        }
        found = [
            self.server_of(name, entry.value, entry.version)
            for name, entry in listed.objects.items()
        ]
        usable = [server for server in found if server is not None]
        before, self.servers_era = self.servers_era, era_of(listed.version)
        is_restored = 0 <= before != self.servers_era
        reasons = self.servers.replace_all(usable, is_restored)
        for server_id, reason in reasons.items():
            revision = listed.objects[server_id].version
            self.log_skipped(server_id, reason, revision)
        self.remove_skipped(listed.objects)
        SERVERS.set(len(self.servers.by_id))
        self.signal_known()

    def change_server(self, change: ObjectChanged) -> None:
        """Apply a change of a server."""
        if change.deleted:
            self.entries.pop(change.name, None)
            self.skipped_revisions.pop(change.name, None)
            self.servers.remove(change.name)
        else:
            self.entries[change.name] = (change.version, change.value)
            self.apply_server(change)
        SERVERS.set(len(self.servers.by_id))
        self.signal_known()

    def apply_server(self, change: ObjectChanged) -> None:
        """Apply the entry of a server.

        An entry that was overwritten with a value that does not describe a server is
        treated as missing. A live server rewrites its entry with its next heartbeat,
        within the time for which a server with a missing entry is retained.
        """
        server = self.server_of(change.name, change.value, change.version)
        if server is None:
            self.servers.remove(change.name)
            return
        reason = self.servers.put(server)
        if reason:
            self.log_skipped(change.name, reason, change.version)

    def server_of(self, name: str, value: Any, revision: int) -> RoutedServer | None:
        """Return a server, or None if its entry is invalid."""
        try:
            server = self.decode_server(name, value)
        except ValueError as error:
            self.log_skipped(name, str(error), revision)
            return None
        known = self.configuration
        if known is not None and server.service not in known.services:
            # Retained nevertheless: no request is sent to the server, and a later
            # version of the configuration may define the service.
            self.log_skipped(name, f"service {server.service} unknown", revision)
        return server

    def log_skipped(self, name: str, reason: str, revision: int) -> None:
        """Log why an entry is ignored, once for each entry and revision.

        The same entry arrives again with each list and from each node that offers its
        state. Logging it each time would hide other lines.
        """
        if self.skipped_revisions.get(name) == revision:
            return
        self.skipped_revisions[name] = revision
        log.error(
            f"entry of server {name[:MAX_LOGGED_NAME_CHARS]} left alone",
            reason=reason,
            revision=revision_of(revision),
        )

    def remove_skipped(self, names: Container[str]) -> None:
        """Remove the records of ignored entries that no longer exist."""
        self.skipped_revisions = {
            k: v for k, v in self.skipped_revisions.items() if k in names
        }
