"""The platform's stand-in with a client, in virtual time."""

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


class Bench:
    """One platform and as many operators' agents as a test asks for."""

    def __init__(self) -> None:
        self.network = MemoryNetwork("127.0.9.1")
        self.standin = PlatformStandIn()

    def agent(self, held_by: ConfigurationStore | None = None) -> ConfigurationStore:
        """Return the store of another agent, which holds what the given one holds."""
        holder = ConfigurationHolder(ConfigurationView.from_document)
        if held_by is not None:
            holder.apply_push(held_by.holder.push, "test")
        client = PlatformClient(self.network, PLATFORM)
        return ConfigurationStore(client, holder, lambda: 1000.0)

    @property
    def stored(self) -> dict:
        return self.standin.kinds["configuration"].objects["main"].value


@asynccontextmanager
async def running_bench():
    """Serve a platform that holds version 1."""
    bench = Bench()
    async with trio.open_nursery() as nursery:
        platform = bench.network.with_host(PLATFORM.host)
        await nursery.start(bench.standin.serve, platform, PLATFORM)
        yield bench
        nursery.cancel_scope.cancel()


async def first_agent(bench: Bench) -> ConfigurationStore:
    """Return an agent that has stored version 1."""
    agent = bench.agent()
    await agent.submit(Patch("patch-first", 0, first_patch(), "ana"))
    return agent
