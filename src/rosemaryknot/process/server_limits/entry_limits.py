"""Exchange of the limits of servers between an entry and its agent.

The entries of a node have no links to other nodes. Their agent requests permits from
the owners, and forwards what one of them learns to its peers and to the other entries.
"""

import trio

from rosemaryknot.connection.links import CallFailed, Handlers, MessageLink
from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.process.server_limits.exchange import apply_notice
from rosemaryknot.process.server_limits.owner import CALL_TIMEOUT_S
from rosemaryknot.process.server_limits.records import LimitRecord, LimitRecords
from rosemaryknot.values.messages import Message
from rosemaryknot.values.server_limits import (
    PermitRequest,
    ServerLimitNotice,
    ServerStatement,
)

__all__ = ["EntryLimits"]

# How often a new link to the agent is looked for.
CHECK_INTERVAL_S = 0.25
# The agent asks the owner, and once more if the owner has just changed.
AGENT_TIMEOUT_S = 3 * CALL_TIMEOUT_S


class EntryLimits:
    """Sender of what an entry learns of servers' limits, and receiver of the rest.

    Parameters
    ----------
    link : AgentLink
        Link to the agent.
    records : LimitRecords
        Limits that this entry knows.
    handlers : Handlers
        Handlers of messages from the agent.

    Attributes
    ----------
    changed : set of str
        Servers whose limit the agent does not know yet.
    statements : list of ServerStatement
        Statements that wait to be sent.
    """

    def __init__(
        self, link: AgentLink, records: LimitRecords, handlers: Handlers
    ) -> None:
        self.link = link
        self.records = records
        self.changed: set[str] = set()
        self.statements: list[ServerStatement] = []
        self.has_messages = trio.Event()
        handlers.on(ServerLimitNotice)(self.handle_notice)

    async def acquire(self, request: PermitRequest) -> Message | CallFailed:
        """Request permits through the agent."""
        return await self.link.call(request, AGENT_TIMEOUT_S + request.wait_s)

    def publish(self, record: LimitRecord) -> None:
        """Send a changed record to the agent."""
        self.changed.add(record.server)
        self.has_messages.set()

    def report(self, statement: ServerStatement) -> None:
        """Send a statement to the node that issued the permit."""
        self.statements.append(statement)
        self.has_messages.set()

    async def run(self) -> None:
        """Send changes until cancelled; all limits if the link is a new one."""
        link = None
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self.has_messages.wait()
            self.has_messages = trio.Event()
            self.records.remove_unused(trio.current_time())
            if self.link.link is not link:
                link = self.link.link
                self.changed.update(self.records.limited)
            await self.send()

    async def send(self) -> None:
        """Send what waits; keep the records if the agent is not connected."""
        records = [self.records.by_server.get(server) for server in self.changed]
        items = [record.to_list() for record in records if record is not None]
        if items and await self.link.send(ServerLimitNotice(items)):
            self.changed.clear()
        statements, self.statements = self.statements, []
        for statement in statements:
            await self.link.send(statement)

    async def handle_notice(self, notice: ServerLimitNotice, link: MessageLink) -> None:
        """Apply the limits that the agent forwards."""
        apply_notice(self.records, notice)
