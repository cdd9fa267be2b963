"""The entry's link to the agent of its node."""

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
# Links carry a heartbeat each second: three that are missing are a frozen agent or a
# connection that went silent, and a new connection tells which.
SILENCE_S = 3.0
SHORTEST_SLEEP_S = 0.001
FIRST_DELAY_S = 0.1
LONGEST_DELAY_S = 2.0

log = logger("agent")
connected = gauge("agent_connected", "1 while the agent of the node answers.")
lost = counter("agent_links_lost_total", "Links to the agent that ended.")


class AgentLink:
    """Keeps a link to the agent, and dials again whenever it ends.

    Parameters
    ----------
    address : Address
        Where the agent accepts links.
    network : Network
        Where connections come from.
    key : bytes
        Cluster key.
    node : Node
        What the entry says of itself.
    handlers : Handlers
        What to do with messages of the agent. Parts of the entry register theirs
        before `run`.
    rng : random.Random
        For jitter.

    Attributes
    ----------
    link : MessageLink or None
        The link while the agent answers.
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
        connected.set(0)

    @property
    def is_connected(self) -> bool:
        """Whether the agent answers, as far as is known."""
        return self.link is not None

    async def call(self, value: Message, timeout_s: float) -> Message | CallFailed:
        """Ask the agent and wait for its answer.

        Parameters
        ----------
        value : Message
            The question.
        timeout_s : float
            Bound on the wait, in seconds.

        Returns
        -------
        answer : Message or CallFailed
            The answer, or why there is none.
        """
        link = self.link
        if link is None:
            return CallFailed("closed", maybe_handled=False)
        return await link.call(value, timeout_s)

    async def send(self, value: Message) -> bool:
        """Tell the agent something; False where it cannot be told."""
        link = self.link
        return link is not None and await link.send(value)

    async def wait_connected(self) -> None:
        """Wait until the agent answers."""
        while self.link is None:
            await self.changed.wait()

    async def run(self) -> None:
        """Keep a link until cancelled."""
        failures = 0
        while True:
            if await self.hold_link():
                failures = 0
            # Full jitter: entries whose agent restarts do not all dial at once.
            bound_s = min(LONGEST_DELAY_S, FIRST_DELAY_S * 2**failures)
            failures = min(failures + 1, 16)
            await trio.sleep(self.rng.uniform(0.0, bound_s))

    async def hold_link(self) -> bool:
        """Dial and hold one link to its end; tell whether it was ever open."""
        try:
            stream = await self.network.dial(self.address)
        except OSError as error:
            log.debug("cannot dial", error=type(error).__name__)
            return False
        try:
            link = await open_link(stream, self.key, self.hello(), self.handlers)
            if link.hello.role != AGENT_ROLE:
                raise LinkClosed(f"a process with role {link.hello.role!r} answered")
        except LinkClosed as error:
            log.warning("no link", reason=str(error))
            await trio.aclose_forcefully(stream)
            return False
        await self.run_link(link)
        return True

    async def run_link(self, link: MessageLink) -> None:
        """Run a link until it ends or goes silent."""
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
        # Not reached at the end of the process, which loses nothing.
        lost.add()
        log.warning("lost; going on by what is known", reason=reason)

    def set_link(self, link: MessageLink | None) -> None:
        """Keep the link, or that there is none, and wake who waits for it."""
        self.link = link
        connected.set(0 if link is None else 1)
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def hello(self) -> Hello:
        """Return what the entry says of itself."""
        return Hello(self.node.name, self.node.zone, self.node.incarnation, ROLE, b"")


async def cancel_when_silent(link: MessageLink, scope: trio.CancelScope) -> None:
    """End a link whose other end is frozen or out of reach.

    A frozen agent keeps its connections open and never answers. Without this bound
    every question to it would cost its whole timeout, for as long as it is frozen.
    """
    while True:
        left_s = SILENCE_S - link.silence_s()
        if left_s <= 0:
            link.close("silent")
            scope.cancel()
            return
        # A rest too small to change the clock's floating-point value would make this
        # loop spin without time passing.
        await trio.sleep(max(left_s, SHORTEST_SLEEP_S))
