"""How gateways tell each other of configurations, and ask for what they miss.

Load pattern: a large configuration changes twice a second, and few nodes watch the
store for many. Told whole, each version would fill the link of the node that tells it;
told as a difference to the version before, it takes some hundred bytes. A node that has
another version, or hears that others have a newer one, asks for what it lacks.
"""

import msgpack
import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.gateway_documents import (
    Document,
    DocumentError,
    difference,
    rebuilt,
)
from rosemaryknot.process.gateway_state import GatewayState
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.store_follower import StoreFollower
from rosemaryknot.values.gateway_peers import ConfigurationTold, ConfigurationWanted

__all__ = ["GatewayConfigurations"]

# A version that others are heard to have is mostly on its way here already.
ON_ITS_WAY_S = 0.6
ASK_TIMEOUT_S = 1.0
SOURCE = "gateway"
# Outcomes of taking a version over, beside the reasons of failed calls.
TAKEN = "taken"
NOT_NEWER = "not newer"
OTHER_BASE = "another base"
NOT_READABLE = "not readable"
NOT_USABLE = "not usable"
UNEXPECTED = "unexpected answer"

ASKED = counter("configurations_asked_total", "Configurations asked for, by outcome.")

log = logger("spread")


class GatewayConfigurations:
    """Tells and takes versions of the configuration.

    Parameters
    ----------
    peers : PeerSet
        The other gateways.
    state : GatewayState
        Holds the version in force.
    follower : StoreFollower
        Follows the configuration in the store.
    handlers : Handlers
        Of the node's links.

    Attributes
    ----------
    shared : Document or None
        What the other gateways were told last; most of them have it.
    behind_since_s : float or None
        Since when others are heard to have a newer version and nothing has come, in
        trio time.
    unusable : int
        Newest version that came and could not be put into force.
    """

    def __init__(
        self,
        peers: PeerSet,
        state: GatewayState,
        follower: StoreFollower,
        handlers: Handlers,
    ) -> None:
        self.peers = peers
        self.state = state
        self.follower = follower
        self.shared: Document | None = None
        self.behind_since_s: float | None = None
        self.unusable = -1
        self.wanted, self.to_ask = trio.open_memory_channel[str](1)
        handlers.on(ConfigurationTold)(self.handle_told)
        handlers.on(ConfigurationWanted)(self.handle_wanted)

    def news(self) -> ConfigurationTold | None:
        """Return what to tell others that is new since the last call, or None."""
        document, base = self.state.document, self.shared
        if document is None or document is base:
            return None
        self.shared = document
        return self.message(document, base)

    def message(self, document: Document, base: Document | None) -> ConfigurationTold:
        """Return a document as a message for a node that has the base, if any."""
        return ConfigurationTold(
            version=document.version,
            revision=document.revision,
            base=0 if base is None else base.digest,
            packed=difference(document, base),
        )

    def newer_than(self, version: int) -> ConfigurationTold | None:
        """Return the whole document in force; None for a node that has that version."""
        document = self.state.document
        if document is None or document.version <= version:
            return None
        return self.message(document, None)

    def note_heard(self, version: int, node: str, now_s: float) -> None:
        """Note that another gateway has a version; ask it if that stays newer."""
        self.state.note_heard(version)
        if self.state.version >= self.state.heard_version:
            self.behind_since_s = None
        if version <= max(self.state.version, self.unusable):
            return
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        if now_s - self.behind_since_s > ON_ITS_WAY_S:
            self.want(node)

    def want(self, node: str) -> None:
        """Have a gateway asked, unless one is being asked already."""
        try:
            self.wanted.send_nowait(node)
        except trio.WouldBlock:
            log.debug("already asking for a configuration", peer=node)

    async def run(self) -> None:
        """Ask for what is missing, until cancelled."""
        async for node in self.to_ask:
            await self.ask(node)

    async def ask(self, node: str) -> None:
        """Ask a gateway for what it has beyond the version in force here."""
        known = self.state.document
        wanted = ConfigurationWanted(
            version=self.state.version, digest=0 if known is None else known.digest
        )
        answer = await self.peers.call(node, wanted, ASK_TIMEOUT_S)
        if isinstance(answer, ConfigurationTold):
            outcome = self.take(answer)
        else:
            outcome = answer.reason if isinstance(answer, CallFailed) else UNEXPECTED
        ASKED.add(outcome=outcome)
        log.info(
            "asked for a configuration",
            peer=node,
            before=wanted.version,
            version=self.state.version,
            newest_version=self.state.newest_version,
            outcome=outcome,
        )

    def take(self, told: ConfigurationTold) -> str:
        """Put what another gateway tells into force; return what came of it."""
        if told.version <= self.state.version:
            return NOT_NEWER
        base = self.state.document
        if told.base and (base is None or base.digest != told.base):
            return OTHER_BASE
        try:
            packed = rebuilt(told.packed, base if told.base else None)
            value = msgpack.unpackb(packed, strict_map_key=False)
        except (DocumentError, ValueError, msgpack.UnpackException) as error:
            log.error("told configuration not readable", error=str(error))
            return NOT_READABLE
        self.state.take_configuration(value, told.revision, SOURCE)
        if told.version > self.state.version:
            self.unusable = told.version
            return NOT_USABLE
        self.shared = self.state.document
        self.behind_since_s = None
        self.follower.pass_to(told.revision)
        return TAKEN

    async def handle_told(self, told: ConfigurationTold, link: MessageLink) -> None:
        """Take over a version; ask its teller where it differs from another one."""
        self.state.note_heard(told.version)
        if self.take(told) == OTHER_BASE:
            self.want(link.hello.name)

    async def handle_wanted(
        self, wanted: ConfigurationWanted, link: MessageLink
    ) -> ConfigurationTold:
        """Answer a gateway that is behind."""
        document, shared = self.state.document, self.shared
        if document is None or document.version <= wanted.version:
            return ConfigurationTold(self.state.version, -1)
        has_shared = shared is not None and shared.digest == wanted.digest
        return self.message(document, shared if has_shared else None)
