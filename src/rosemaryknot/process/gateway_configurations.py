"""Distribution of configurations between gateways, and requests for missing versions.

Load pattern: a large configuration changes twice a second, and few nodes watch the
store on behalf of many. If each version were sent whole, it would fill the link of the
sending node; as a difference from the previous version, it takes a few hundred bytes. A
node that has another base version, or learns that others have a newer version, requests
what it lacks.
"""

import msgpack
import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.gateway_documents import (
    Document,
    DocumentError,
    difference,
    rebuild,
)
from rosemaryknot.process.gateway_state import GatewayState
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.store_watcher import StoreWatcher
from rosemaryknot.values.gateway_peers import ConfigurationReply, ConfigurationRequest
from rosemaryknot.values.store_revisions import era_of, qualified, revision_of

__all__ = ["GatewayConfigurations"]

# Delay before a version that other gateways have is requested from them: in most cases
# its message is already on the way.
PROPAGATION_TIME_S = 0.6
REQUEST_TIMEOUT_S = 1.0
SOURCE = "gateway"
# Outcomes of applying a received version, in addition to the reasons of failed calls.
APPLIED = "taken"
NOT_NEWER = "not newer"
OTHER_BASE = "another base"
NOT_READABLE = "not readable"
NOT_USABLE = "not usable"
UNEXPECTED = "unexpected answer"

REQUESTED = counter(
    "configurations_asked_total", "Configurations asked for, by outcome."
)

log = logger("spread")


class GatewayConfigurations:
    """Sender and receiver of versions of the configuration.

    Parameters
    ----------
    peers : PeerSet
        The other gateways.
    state : GatewayState
        Holds the current version.
    watcher : StoreWatcher
        Watcher of the configuration in the store.
    handlers : Handlers
        Message handlers of the node's links.

    Attributes
    ----------
    last_shared : Document or None
        Last document that was sent to the other gateways; most of them have it.
    behind_since_s : float or None
        Time since which others report a newer version that has not arrived, in trio
        time.
    unusable : int
        Newest received version that could not be applied.
    """

    def __init__(
        self,
        peers: PeerSet,
        state: GatewayState,
        watcher: StoreWatcher,
        handlers: Handlers,
    ) -> None:
        self.peers = peers
        self.state = state
        self.watcher = watcher
        self.last_shared: Document | None = None
        self.behind_since_s: float | None = None
        self.unusable = -1
        self.request_queue, self.pending_requests = trio.open_memory_channel[str](1)
        handlers.on(ConfigurationReply)(self.handle_configuration)
        handlers.on(ConfigurationRequest)(self.handle_request)

    def next_message(self) -> ConfigurationReply | None:
        """Return a message for changes since the last call, or None without one."""
        document, base = self.state.document, self.last_shared
        if document is None or document is base:
            return None
        self.last_shared = document
        return self.message(document, base)

    def message(self, document: Document, base: Document | None) -> ConfigurationReply:
        """Return a document as a message for a node that has the base, if any."""
        return ConfigurationReply(
            version=document.version,
            revision=revision_of(document.revision),
            era=era_of(document.revision),
            base=0 if base is None else base.digest,
            packed=difference(document, base),
        )

    def newer_than(self, version: int) -> ConfigurationReply | None:
        """Return the whole current document; None for a node that has that version."""
        document = self.state.document
        if document is None or document.version <= version:
            return None
        return self.message(document, None)

    def record_peer_version(self, version: int, node: str, now_s: float) -> None:
        """Record another gateway's version; request it if it stays newer."""
        self.state.record_peer_version(version)
        if self.state.version >= self.state.peer_version:
            self.behind_since_s = None
        if version <= max(self.state.version, self.unusable):
            return
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        if now_s - self.behind_since_s > PROPAGATION_TIME_S:
            self.request(node)
            # The node may be as busy as the one that has not sent the version.
            self.watcher.resync(f"version {version} has not arrived")

    def request(self, node: str) -> None:
        """Queue a request to a gateway unless another request is queued already."""
        if node == self.peers.node.name:
            # An aggregate of this node includes what others have reported.
            return
        try:
            self.request_queue.send_nowait(node)
        except trio.WouldBlock:
            log.debug("configuration request already queued", peer=node)

    async def run(self) -> None:
        """Send queued requests until cancelled."""
        async for node in self.pending_requests:
            await self.request_configuration(node)

    async def request_configuration(self, node: str) -> None:
        """Request a configuration newer than the current one from a gateway."""
        known = self.state.document
        request = ConfigurationRequest(
            version=self.state.version, digest=0 if known is None else known.digest
        )
        response = await self.peers.call(node, request, REQUEST_TIMEOUT_S)
        if isinstance(response, ConfigurationReply):
            outcome = self.apply(response)
        else:
            outcome = (
                response.reason if isinstance(response, CallFailed) else UNEXPECTED
            )
        REQUESTED.add(outcome=outcome)
        log.info(
            "requested configuration from peer",
            peer=node,
            before=request.version,
            version=self.state.version,
            newest_version=self.state.newest_version,
            outcome=outcome,
        )

    def apply(self, message: ConfigurationReply) -> str:
        """Apply a configuration from another gateway and return the outcome."""
        if message.version <= self.state.version:
            return NOT_NEWER
        base = self.state.document
        if message.base and (base is None or base.digest != message.base):
            return OTHER_BASE
        try:
            packed = rebuild(message.packed, base if message.base else None)
            value = msgpack.unpackb(packed, strict_map_key=False)
        except (DocumentError, ValueError, msgpack.UnpackException) as error:
            log.error("cannot decode configuration from peer", error=str(error))
            return NOT_READABLE
        era = message.era or era_of(self.watcher.revision)
        revision = qualified(era, message.revision)
        self.state.apply_configuration(value, revision, SOURCE)
        if message.version > self.state.version:
            self.unusable = message.version
            return NOT_USABLE
        self.last_shared = self.state.document
        self.behind_since_s = None
        self.watcher.advance_to(revision)
        return APPLIED

    async def handle_configuration(
        self, message: ConfigurationReply, link: MessageLink
    ) -> None:
        """Apply a version; request it from its sender if the base does not match."""
        self.state.record_peer_version(message.version)
        if self.apply(message) == OTHER_BASE:
            self.request(link.hello.name)

    async def handle_request(
        self, request: ConfigurationRequest, link: MessageLink
    ) -> ConfigurationReply:
        """Respond to a gateway that is behind."""
        document, base = self.state.document, self.last_shared
        if document is None or document.version <= request.version:
            return ConfigurationReply(self.state.version, -1)
        has_base = base is not None and base.digest == request.digest
        return self.message(document, base if has_base else None)
