"""The link of an entry to the agent of its node."""

import random

import trio

from rosemaryknot.connection.links import (
    CallFailed,
    Handlers,
    Hello,
    LinkClosed,
    MessageLink,
    open_link,
)
from rosemaryknot.connection.network import Network
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import counter, gauge
from rosemaryknot.values.messages import Message
from rosemaryknot.values.nodes import Address, Node

__all__ = ["AgentLink"]

ROLE = "entry"
AGENT_ROLE = "agent"
# Links carry a heartbeat each second. Three missing ones mean a suspended agent or a
# silent connection; a new connection attempt shows which.
SILENCE_TIMEOUT_S = 3.0
MIN_SLEEP_S = 0.001
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

log = logger("agent")
connected_gauge = gauge("agent_connected", "1 while the agent of the node answers.")
lost = counter("agent_links_lost_total", "Links to the agent that ended.")


class AgentLink:
    """Maintains a link to the agent and reconnects when it closes.

    Parameters
    ----------
    address : Address
        Address at which the agent accepts links.
    network : Network
        Opens connections.
    key : bytes
        Cluster key.
    node : Node
        Node of the entry, for the hello message.
    handlers : Handlers
        Handlers of messages from the agent. The components of the entry register
        theirs before `run`.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    link : MessageLink or None
        The link while the agent is connected.
    """

    def __init__(
        self,
        address: Address,
        network: Network,
        key: bytes,
        node: Node,
        handlers: Handlers,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.network = network
        self.key = key
        self.node = node
        self.handlers = handlers
        self.rng = rng
        self.link: MessageLink | None = None
        self.changed = trio.Event()
        connected_gauge.set(0)

    @property
    def is_connected(self) -> bool:
        """Whether the agent is believed to be connected."""
        return self.link is not None

    async def call(self, value: Message, timeout_s: float) -> Message | CallFailed:
        """Send a request to the agent and wait for the response.

        Parameters
        ----------
        value : Message
            The request.
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        response : Message or CallFailed
            The response, or why there is none.
        """
        link = self.link
        if link is None:
            return CallFailed("closed", maybe_handled=False)
        return await link.call(value, timeout_s)

    async def send(self, value: Message) -> bool:
        """Send a message to the agent; return False if it cannot be sent."""
        link = self.link
        return link is not None and await link.send(value)

    async def wait_connected(self) -> None:
        """Wait until the agent is connected."""
        while self.link is None:
            await self.changed.wait()

    async def run(self) -> None:
        """Maintain a link until cancelled."""
        failures = 0
        while True:
            if await self.run_one_link():
                failures = 0
            # Full jitter prevents entries from dialling a restarted agent all at once.
            bound_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**failures)
            failures = min(failures + 1, 16)
            await trio.sleep(self.rng.uniform(0.0, bound_s))

    async def run_one_link(self) -> bool:
        """Open a link and run it until it closes; return whether it was opened."""
        try:
            stream = await self.network.dial(self.address)
        except OSError as error:
            log.debug("cannot connect", error=type(error).__name__)
            return False
        try:
            link = await open_link(stream, self.key, self.hello(), self.handlers)
            if link.hello.role != AGENT_ROLE:
                raise LinkClosed(
                    f"unexpected role {link.hello.role!r} of the other end"
                )
        except LinkClosed as error:
            log.warning("link handshake failed", reason=str(error))
            await trio.aclose_forcefully(stream)
            return False
        await self.run_link(link)
        return True

    async def run_link(self, link: MessageLink) -> None:
        """Run a link until it closes or becomes silent."""
        log.info("connected", agent=link.hello.name)
        self.set_link(link)
        reason = "silent"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_when_silent, link, nursery.cancel_scope)
                reason = await link.run()
                nursery.cancel_scope.cancel()
        finally:
            self.set_link(None)
        # Not reached when the process exits, which is not a lost link.
        lost.add()
        log.warning("disconnected; using the last known state", reason=reason)

    def set_link(self, link: MessageLink | None) -> None:
        """Set or clear the link and wake waiting tasks."""
        self.link = link
        connected_gauge.set(0 if link is None else 1)
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def hello(self) -> Hello:
        """Return the hello message of the entry."""
        return Hello(self.node.name, self.node.zone, self.node.incarnation, ROLE, b"")


async def cancel_when_silent(link: MessageLink, scope: trio.CancelScope) -> None:
    """Close a link whose other end is suspended or unreachable.

    A suspended agent keeps its connections open and never responds. Without this
    limit, each request to it would wait for its full timeout while it is suspended.
    """
    while True:
        remaining_s = SILENCE_TIMEOUT_S - link.silence_s()
        if remaining_s <= 0:
            link.close("silent")
            scope.cancel()
            return
        # A sleep too short to change the floating-point value of the clock would make
        # this loop spin without time passing.
        await trio.sleep(max(remaining_s, MIN_SLEEP_S))
