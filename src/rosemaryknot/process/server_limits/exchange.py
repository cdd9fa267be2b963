"""Exchange of the limits of servers between nodes, and with the entries of a node.

A change goes to all nodes at once. Nothing is repeated: a node that misses a notice
learns of the limit from its next response, or from the owner's next reply.
"""

from collections.abc import Hashable, Iterable

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.logs import logger
from rosemaryknot.process.newcomers import watch_newcomers
from rosemaryknot.process.peers import PeerSet
from rosemaryknot.process.relay_broadcast import Items, RelayBroadcast, Relays
from rosemaryknot.process.server_limits.owner import PermitOwner
from rosemaryknot.process.server_limits.records import LimitRecord, LimitRecords
from rosemaryknot.values.notices import NoticeReceived
from rosemaryknot.values.server_limits import (
    PermitReturn,
    ServerLimitNotice,
    ServerStatement,
)

__all__ = ["LimitExchange", "apply_notice"]

# Records in one message; 500 are 20 KB.
MAX_NOTICE_RECORDS = 500

log = logger("server limits")


class LimitExchange:
    """Sender of the limits that this node learned of, and receiver of the others.

    Parameters
    ----------
    peers : PeerSet
        The other nodes.
    hubs : Relays
        Determines the relays of a large deployment.
    records : LimitRecords
        Limits of the servers.
    owner : PermitOwner
        Issues permits.
    handlers : Handlers
        Handlers of messages from other nodes and entries.

    Attributes
    ----------
    broadcast : RelayBroadcast
        Sends changed records by server.
    changed_for_entries : dict of str to LimitRecord
        Records that wait to be sent to the entries of this node, by server.
    statements : list of ServerStatement or PermitReturn
        Messages that wait to be sent to the owners.
    """

    def __init__(
        self,
        peers: PeerSet,
        hubs: Relays,
        records: LimitRecords,
        owner: PermitOwner,
        handlers: Handlers,
    ) -> None:
        self.peers = peers
        self.broadcast = RelayBroadcast(peers, hubs, encode)
        self.records = records
        self.owner = owner
        self.changed_for_entries: dict[str, LimitRecord] = {}
        self.statements: list[ServerStatement | PermitReturn] = []
        self.has_messages = trio.Event()
        owner.on_changed = self.publish
        handlers.on(ServerLimitNotice)(self.handle_notice)

    def publish(self, record: LimitRecord) -> None:
        """Send a changed record to all nodes."""
        self.broadcast.add(record.server, record, version_of(record))
        self.changed_for_entries[record.server] = record
        self.has_messages.set()

    def report(self, statement: ServerStatement) -> None:
        """Send a statement to the node that issued the permit."""
        if statement.owner == self.peers.node.name:
            self.owner.apply_statement(statement)
        else:
            self.statements.append(statement)
            self.has_messages.set()

    def give_back(self, returned: PermitReturn) -> None:
        """Tell the node that issued a permit that its request has ended."""
        if returned.owner == self.peers.node.name:
            self.owner.give_back(returned)
        else:
            self.statements.append(returned)
            self.has_messages.set()

    async def run(self) -> None:
        """Send changes and statements until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.broadcast.run)
            while True:
                await self.has_messages.wait()
                self.has_messages = trio.Event()
                changed, self.changed_for_entries = self.changed_for_entries, {}
                statements, self.statements = self.statements, []
                for notice in notices(changed.values()):
                    await self.send_to_entries(notice)
                for statement in statements:
                    await self.peers.send(statement.owner, statement)

    async def run_newcomers(self) -> None:
        """Send the limits of servers that this node owns to nodes that are new."""
        await watch_newcomers(self.peers, self.send_owned)

    async def send_owned(self, names: list[str]) -> None:
        """Send the limits of servers that this node owns to other nodes."""
        owned = [s for s in self.records.limited if self.owner.is_owner(s)]
        for notice in notices(self.records.by_server[s] for s in owned):
            notice.is_forwarded = True
            await self.peers.send_all(names, notice)

    async def send_to_entry(self, link: MessageLink) -> None:
        """Send all limits to an entry that has connected."""
        limited = [self.records.by_server[server] for server in self.records.limited]
        for notice in notices(limited):
            await link.send(notice)

    async def send_to_entries(
        self, notice: ServerLimitNotice, source: MessageLink | None = None
    ) -> None:
        """Send a notice to the entries of this node, except its source."""
        for entry in self.peers.entries:
            if entry is not source:
                await entry.send(notice)

    async def handle_notice(
        self, notice: ServerLimitNotice, link: MessageLink
    ) -> NoticeReceived:
        """Apply the limits that another node or an entry learned of; forward them."""
        newer, outdated = apply_notice(self.records, notice)
        for notice_for_entries in notices(newer):
            await self.send_to_entries(notice_for_entries, link)
        reach = self.broadcast.reach_of(notice, link)
        for record in newer:
            self.broadcast.forward(record.server, record, reach, version_of(record))
        corrections = [r for r in outdated if self.owner.is_owner(r.server)]
        for correction in notices(corrections):
            correction.is_forwarded = True
            await link.send(correction)
        return NoticeReceived()


def apply_notice(
    records: LimitRecords, notice: ServerLimitNotice
) -> tuple[list[LimitRecord], list[LimitRecord]]:
    """Apply a notice; return what was newer, and known records newer than received."""
    now_s = trio.current_time()
    newer, outdated = [], []
    for item in notice.records:
        received = LimitRecord.from_list(item)
        if received is None:
            log.error("server limit ignored: malformed", item=str(item)[:80])
            continue
        known = records.by_server.get(received.server)
        if records.merge(received, now_s):
            newer.append(records.by_server[received.server])
        elif known is not None and known.version > received.version:
            outdated.append(known)
    return newer, outdated


def version_of(record: LimitRecord) -> Hashable:
    """Return a value that differs if a record has changed."""
    return tuple(map(str, record.to_list()))


def encode(items: Items) -> Iterable[ServerLimitNotice]:
    """Return notices with changed records."""
    return notices(items.values())


def notices(records: Iterable[LimitRecord]) -> Iterable[ServerLimitNotice]:
    """Return notices with the records."""
    items = [record.to_list() for record in records]
    for start in range(0, len(items), MAX_NOTICE_RECORDS):
        yield ServerLimitNotice(items[start : start + MAX_NOTICE_RECORDS])
