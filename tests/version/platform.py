"""Simulated platform with clients, in virtual time."""

from contextlib import asynccontextmanager

import trio
from tests.version.documents import first_patch

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.platform import PlatformClient
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.nodes import Address
from rosemaryknot.version.patch import Patch
from rosemaryknot.version.store import ConfigurationStore
from rosemaryknot.version.view import ConfigurationView

PLATFORM = Address("127.0.9.9", 7000)


class PlatformHarness:
    """One simulated platform and any number of operators' agents."""

    def __init__(self) -> None:
        self.network = MemoryNetwork("127.0.9.1")
        self.standin = PlatformStandIn()

    def agent(
        self, source_agent: ConfigurationStore | None = None
    ) -> ConfigurationStore:
        """Return the store of another agent, with the given agent's current version."""
        holder = ConfigurationHolder(ConfigurationView.from_document)
        if source_agent is not None:
            holder.apply_push(source_agent.holder.push, "test")
        client = PlatformClient(self.network, PLATFORM)
        return ConfigurationStore(client, holder, lambda: 1000.0)

    @property
    def stored(self) -> dict:
        return self.standin.kinds["configuration"].objects["main"].value


@asynccontextmanager
async def running_harness():
    """Serve a platform without a stored configuration."""
    harness = PlatformHarness()
    async with trio.open_nursery() as nursery:
        platform = harness.network.with_host(PLATFORM.host)
        await nursery.start(harness.standin.serve, platform, PLATFORM)
        yield harness
        nursery.cancel_scope.cancel()


async def first_agent(harness: PlatformHarness) -> ConfigurationStore:
    """Return an agent after it has stored version 1."""
    agent = harness.agent()
    await agent.submit(Patch("patch-first", 0, first_patch(), "ana"))
    return agent
