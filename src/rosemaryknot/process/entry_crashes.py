"""Exchange of records of crashes between an entry and its agent.

The entries of a node have no links to other nodes. Their agent forwards what one of
them reports to its peers and to the other entries.
"""

import trio

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.agent_link import AgentLink
from rosemaryknot.process.crash_exchange import (
    apply_notice,
    log_refused,
    log_segment_refused,
    log_segment_released,
)
from rosemaryknot.process.crash_notices import encode_notice
from rosemaryknot.process.crash_records import CrashRecord, CrashRecords
from rosemaryknot.process.segment_records import SegmentRecord
from rosemaryknot.values.gateway_peers import CrashNotice

__all__ = ["EntryCrashes"]

# How often a new link to the agent is looked for.
CHECK_INTERVAL_S = 0.25


class EntryCrashes:
    """Sender of an entry's crash records, and receiver of those of its agent.

    Parameters
    ----------
    link : AgentLink
        Link to the agent.
    records : CrashRecords
        Records of this entry.
    handlers : Handlers
        Handlers of messages from the agent.

    Attributes
    ----------
    unsent : dict of bytes to CrashRecord or SegmentRecord
        Records that the agent does not know yet, by digest.
    cleared : dict of bytes to set of str
        Cleared crashes that the agent does not know yet.
    """

    def __init__(
        self, link: AgentLink, records: CrashRecords, handlers: Handlers
    ) -> None:
        self.link = link
        self.records = records
        self.unsent: dict[bytes, CrashRecord | SegmentRecord] = {}
        self.cleared: dict[bytes, set[str]] = {}
        self.has_changes = trio.Event()
        records.on_refused = log_refused
        records.segments.on_refused = log_segment_refused
        records.segments.on_released = log_segment_released
        handlers.on(CrashNotice)(self.handle_notice)

    def enqueue(self, record: CrashRecord | SegmentRecord) -> None:
        """Queue a record that has changed."""
        self.unsent[record.digest] = record
        self.has_changes.set()

    def clear(self, digest: bytes, service: str) -> None:
        """Clear a request that a server of a service has completed."""
        servers = self.records.clear(digest, service)
        if servers:
            self.unsent.pop(digest, None)
            self.cleared.setdefault(digest, set()).update(servers)
            self.has_changes.set()

    def clear_segment(self, digest: bytes, servers: set[str]) -> None:
        """Clear a segment of crashes that a response shows to have another cause."""
        if self.records.segments.clear_servers(digest, servers):
            self.cleared.setdefault(digest, set()).update(servers)
            self.has_changes.set()

    async def run(self) -> None:
        """Send changes until cancelled; all records if the link is a new one."""
        link = None
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self.has_changes.wait()
            self.has_changes = trio.Event()
            if self.records.segments.by_digest:
                self.records.segments.assess(trio.current_time())
            if self.link.link is not link:
                link = self.link.link
                self.unsent.update(self.records.by_digest)
                self.unsent.update(self.records.segments.by_digest)
            if self.unsent or self.cleared:
                await self.send()

    async def send(self) -> None:
        """Send the queued changes; keep them if the agent is not connected."""
        notice = encode_notice(
            self.unsent.values(), self.cleared.items(), trio.current_time()
        )
        if await self.link.send(notice):
            self.unsent.clear()
            self.cleared.clear()

    async def handle_notice(self, notice: CrashNotice, link: MessageLink) -> None:
        """Apply the records that the agent forwards."""
        apply_notice(self.records, notice)
