"""The configuration and the servers that a gateway goes by; neither goes back."""

from collections.abc import Callable, Container
from typing import Any

import trio

from rosemaryknot.process.gateway_documents import Document
from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.gateway import CallerLimits, GatewayConfiguration, RoutedServer
from rosemaryknot.values.platform import Listed, ObjectChanged

__all__ = ["HEARD_S", "GatewayState"]

VERSION = gauge("configuration_version", "Version of the configuration in force.")
SERVERS = gauge("known_servers", "Backend servers that may get work.")

# Characters of an entry's name in a log line; other writers may choose any.
MAX_NAME = 60

# How long the word of another gateway's version counts, in seconds; it is told anew
# four times a second while one has it.
HEARD_S = 2.0

log = logger("state")

DecodeConfiguration = Callable[[Any], GatewayConfiguration]
DecodeServer = Callable[[str, Any], RoutedServer]


class GatewayState:
    """What the store has told, decoded.

    Parameters
    ----------
    decode_configuration, decode_server : callable
        Decode the value of an object; raise ValueError for one that is no such.
    configuration_name : str
        Name of the configuration's object.

    Attributes
    ----------
    configuration : GatewayConfiguration or None
        In force; None before the first one.
    document : Document or None
        What it was decoded from, for other nodes.
    heard_version : int
        Newest version that another gateway was heard to have; -1 before any.
    heard_s : float
        When it was heard last, in trio time.
    entries : dict of str to tuple of (int, object)
        Revisions and values of the servers' entries, for the same.
    servers : ServerTable
        The servers.
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
        self.heard_version = -1
        self.heard_s = float("-inf")
        self.entries: dict[str, tuple[int, Any]] = {}
        self.servers = ServerTable()
        # By name: revision of the last entry that was left alone and said so.
        self.left_alone: dict[str, int] = {}
        self.known = trio.Event()

    @property
    def version(self) -> int:
        """Version in force, -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    @property
    def newest_version(self) -> int:
        """Newest version that this or another gateway is known to have."""
        return max(self.version, self.heard_version)

    def note_heard(self, version: int) -> None:
        """Note which version another gateway has."""
        if version >= self.heard_version:
            self.heard_version = version
            self.heard_s = trio.current_time()

    def is_behind(self) -> bool:
        """Tell whether another gateway was just heard to have a newer version."""
        is_fresh = trio.current_time() - self.heard_s < HEARD_S
        return is_fresh and self.heard_version > self.version

    def limits(self) -> CallerLimits:
        """Return the bounds on callers' connections."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def is_known(self) -> bool:
        """Tell whether requests can be served."""
        return self.configuration is not None and self.servers.is_listed

    async def wait_known(self, limit_s: float) -> None:
        """Wait until requests can be served, or for some seconds."""
        if self.known.is_set():
            return
        with trio.move_on_after(limit_s):
            await self.known.wait()

    def note_known(self) -> None:
        """Let those go on who wait until requests can be served."""
        if self.is_known():
            self.known.set()

    # Configuration.

    def list_configuration(self, listed: Listed) -> None:
        """Take over a list of configurations."""
        found = listed.objects.get(self.configuration_name)
        if found is not None:
            self.take_configuration(found.value, found.version, "list")

    def change_configuration(self, change: ObjectChanged) -> None:
        """Take over a change of a configuration."""
        if change.name == self.configuration_name and not change.deleted:
            self.take_configuration(change.value, change.version, "watch")

    def take_configuration(self, value: Any, revision: int, source: str) -> None:
        """Put a configuration into force unless it is an older one.

        A read that was answered late, or by another node, may hold an older version;
        taken over, it would bring routes and keys back that operators have removed.
        """
        try:
            configuration = self.decode_configuration(value)
        except ValueError as error:
            log.error("configuration not usable", error=str(error), revision=revision)
            return
        if configuration.version <= self.version:
            return
        document = Document.of(configuration.version, revision, value)
        log.info(
            "configuration in force",
            version=configuration.version,
            before=self.version,
            revision=revision,
            source=source,
            bytes=len(document.packed),
        )
        self.configuration = configuration
        self.document = document
        VERSION.set(configuration.version)
        self.note_known()

    # Servers.

    def list_servers(self, listed: Listed) -> None:
        """Take over a list of servers."""
        self.entries = {
            name: (found.version, found.value) for name, found in listed.objects.items()
        }
        found = [
            self.server_of(name, entry.value, entry.version)
            for name, entry in listed.objects.items()
        ]
        usable = [server for server in found if server is not None]
        for server_id, reason in self.servers.replace_all(usable).items():
            revision = listed.objects[server_id].version
            self.note_left_alone(server_id, reason, revision)
        self.forget_left_alone(listed.objects)
        SERVERS.set(len(self.servers.by_id))
        self.note_known()

    def change_server(self, change: ObjectChanged) -> None:
        """Take over a change of a server."""
        if change.deleted:
            self.entries.pop(change.name, None)
            self.left_alone.pop(change.name, None)
            self.servers.remove(change.name)
        else:
            self.entries[change.name] = (change.version, change.value)
            self.take_server(change)
        SERVERS.set(len(self.servers.by_id))

    def take_server(self, change: ObjectChanged) -> None:
        """Take over the entry of a server.

        Where it was overwritten with something that names no server, it counts as
        missing: nobody vouches for the server now, and a live one writes its entry
        again with its next heartbeat, within the time that a missing one is kept for.
        """
        server = self.server_of(change.name, change.value, change.version)
        if server is None:
            self.servers.remove(change.name)
            return
        reason = self.servers.put(server)
        if reason:
            self.note_left_alone(change.name, reason, change.version)

    def server_of(self, name: str, value: Any, revision: int) -> RoutedServer | None:
        """Return a server, or None where its entry is not usable."""
        try:
            server = self.decode_server(name, value)
        except ValueError as error:
            self.note_left_alone(name, str(error), revision)
            return None
        known = self.configuration
        if known is not None and server.service not in known.services:
            # Kept all the same: no request goes there, and a later version may name
            # the service.
            self.note_left_alone(name, f"service {server.service} unknown", revision)
        return server

    def note_left_alone(self, name: str, reason: str, revision: int) -> None:
        """Say once for an entry and change why no server is used by it.

        The same entry comes again with each list and from each node that offers its
        state; a line for each time would hide the others.
        """
        if self.left_alone.get(name) == revision:
            return
        self.left_alone[name] = revision
        log.error(
            f"entry of server {name[:MAX_NAME]} left alone",
            reason=reason,
            revision=revision,
        )

    def forget_left_alone(self, names: Container[str]) -> None:
        """Forget entries that are no more."""
        self.left_alone = {k: v for k, v in self.left_alone.items() if k in names}
