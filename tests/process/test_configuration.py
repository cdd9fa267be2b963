"""Tests of the holder of the active version, and of an agent with its entry."""

import pytest
import trio
from tests.version.documents import sample_document

from rosemaryknot.connection.links import Handlers, Hello
from rosemaryknot.process.configuration import ApplyResult, ConfigurationHolder
from rosemaryknot.process.configuration_distributor import (
    keep_entry_current,
    register_configuration_handlers,
)
from rosemaryknot.values.configuration import document_digest
from rosemaryknot.version.view import ConfigurationView

DOCUMENT = sample_document()
DIGEST = document_digest(DOCUMENT)
OTHER = {**DOCUMENT, "rules": {}}
OTHER_DIGEST = document_digest(OTHER)


def holder_of(number: int = 0) -> ConfigurationHolder:
    holder = ConfigurationHolder(ConfigurationView.from_document)
    if number:
        holder.apply(number, DIGEST, DOCUMENT, "test")
    return holder


class EntryLink:
    """Link to an entry that calls the handlers of its holder directly."""

    def __init__(self, entry: ConfigurationHolder) -> None:
        self.hello = Hello("n1", "waco-a", 1, "entry", b"")
        self.is_closed = False
        self.handlers = Handlers()
        register_configuration_handlers(self.handlers, entry)

    async def call(self, value, timeout_s):
        await trio.sleep(0.001)
        return await self.handlers.by_type[type(value)](value, self)


class TestConfigurationHolder:
    @pytest.mark.parametrize(
        ("number", "digest", "document", "result"),
        [
            (4, DIGEST, DOCUMENT, ApplyResult.OLDER),
            (5, DIGEST, DOCUMENT, ApplyResult.SAME),
            (5, OTHER_DIGEST, OTHER, ApplyResult.CONFLICT),
            (6, DIGEST, OTHER, ApplyResult.BAD_DIGEST),
            (6, OTHER_DIGEST, OTHER, ApplyResult.APPLIED),
            (0, OTHER_DIGEST, OTHER, ApplyResult.OLDER),
        ],
        ids=["older", "same", "conflict", "bad_digest", "applied", "start"],
    )
    async def test_apply(self, number, digest, document, result):
        holder = holder_of(5)
        before = holder.view
        assert holder.apply(number, digest, document, "test") is result
        is_changed = result is ApplyResult.APPLIED
        assert (holder.view is not before) == is_changed

    async def test_unusable_document_changes_nothing(self):
        """A document whose tables cannot be derived leaves the old ones unchanged."""
        holder = holder_of(5)
        broken = {**DOCUMENT, "customers": {"c": {"limits": 7}}}
        result = holder.apply(6, document_digest(broken), broken, "test")
        assert (result, holder.number) == (ApplyResult.UNUSABLE, 5)

    async def test_conflict_ends_only_by_settling(self):
        """After two digests under 5, only a version that settles 5 is applied."""
        holder = holder_of(5)
        holder.apply(5, OTHER_DIGEST, OTHER, "test")
        assert holder.apply(6, OTHER_DIGEST, OTHER, "test") is ApplyResult.STOPPED
        settled = holder.apply(7, OTHER_DIGEST, OTHER, "test", settles=5)
        assert (settled, holder.conflict) == (ApplyResult.APPLIED, None)


class TestKeepEntryCurrent:
    @pytest.mark.parametrize(("agent", "entry"), [(5, 0), (5, 3), (0, 5), (3, 5)])
    async def test_newer_version_wins(self, autojump_clock, agent, entry):
        """An agent restarts in a partition and is behind its entry, or ahead of it.

        Pushing the agent's older version would revert the entry. The agent adopts the
        entry's version instead, and later changes go to the entry again.
        """
        agent, entry = holder_of(agent), holder_of(entry)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_entry_current, agent, EntryLink(entry))
            await trio.sleep(0.1)
            assert (agent.number, entry.number) == (5, 5)
            agent.apply(6, OTHER_DIGEST, OTHER, "test")
            await trio.sleep(0.1)
            assert entry.number == 6
            nursery.cancel_scope.cancel()
