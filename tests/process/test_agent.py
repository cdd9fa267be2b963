"""The agent: configuration, servers, status and planned stops over several nodes."""

import json
import random

import httpx
import trio
from tests.version.documents import EDITOR_KEY, count_patch, first_patch

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.links import Handlers, Hello, MessageLink, open_link
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process.agent import Agent, run_agent
from rosemaryknot.process.settings import Listen, Settings
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.configuration import ConfigurationOffer, ConfigurationPush
from rosemaryknot.values.control import DrainAccepted, DrainRequest
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.servers import LeavingMark, ServersPush

EPOCH_S = 1_000_000.0
KEY = b"a key of the cluster in tests"
BOOTSTRAP = "first-operator"
ZONES = ("waco-a", "waco-a", "waco-b", "waco-b", "temple-c", "temple-c")
PLATFORM = Address("127.0.9.1", 7000)


def unix_time() -> float:
    return EPOCH_S + trio.current_time()


def server(instance: str, zone: str = "waco-a") -> BackendServer:
    return BackendServer(instance, "kit-assistant", zone, "g1", True, "127.0.8.1:9000")


class Region:
    """Agents and a platform, each on a host of its own."""

    def __init__(self, nursery: trio.Nursery, size: int = 6) -> None:
        self.nursery = nursery
        self.size = size
        self.network = MemoryNetwork("127.0.7.1")
        self.platform = PlatformStandIn(unix_time)
        self.agents: list[Agent] = []
        self.stops: list[trio.Event] = []
        self.ended: list[int] = []

    def host(self, number: int) -> str:
        return f"127.0.1.{number + 1}"

    def settings(self, number: int) -> Settings:
        links = [Address(self.host(n), 8300) for n in range(self.size)]
        settings = Settings(
            f"node-{number}",
            ZONES[number],
            "tx-central",
            Listen(None, Address(self.host(number), 8200), links[number]),
            agent=links[number],
            peers=links[:number] + links[number + 1 :],
            platform=PLATFORM,
        )
        settings.cluster_key = KEY
        return settings

    async def start(self) -> None:
        """Start the platform and all agents."""
        network = self.network.with_host(PLATFORM.host)
        await self.nursery.start(self.platform.serve, network, PLATFORM)
        for number in range(self.size):
            await self.start_agent(number)

    async def start_agent(self, number: int) -> Agent:
        stop = trio.Event()
        agent = await self.nursery.start(self.run, number, stop)
        self.agents.insert(number, agent)
        self.stops.insert(number, stop)
        return agent

    async def run(self, number: int, stop: trio.Event, task_status) -> None:
        network = self.network.with_host(self.host(number))
        rng = random.Random(number)
        await run_agent(
            self.settings(number),
            stop,
            network,
            rng,
            unix_time,
            BOOTSTRAP,
            task_status=task_status,
        )
        self.ended.append(number)

    async def ask(
        self, number: int, method: str, path: str, key: str = EDITOR_KEY, **options
    ) -> httpx.Response:
        """Send a request of an operator to an agent."""
        headers = {"Authorization": f"Bearer {key}"} | options.pop("headers", {})
        async with http_client(self.network, 10) as client:
            url = f"http://{self.host(number)}:8200{path}"
            return await client.request(method, url, headers=headers, **options)

    async def patch(
        self, number: int, operations: list, base: int, key: str = EDITOR_KEY
    ) -> httpx.Response:
        headers = {"If-Match": str(base), "Rosemaryknot-Patch": f"patch-{base:08}"}
        return await self.ask(
            number,
            "PATCH",
            "/v1/configuration",
            key,
            headers=headers,
            content=json.dumps(operations),
        )

    async def until(self, condition, bound_s: float) -> float:
        """Wait until a condition holds; return how long it took."""
        start_s = trio.current_time()
        with trio.fail_after(bound_s):
            while not condition():
                await trio.sleep(0.02)
        return trio.current_time() - start_s


class FakeEntry:
    """An entry's link to its agent, which keeps what is pushed."""

    def __init__(self) -> None:
        self.handlers = Handlers()
        self.pushes: list[ConfigurationPush] = []
        self.servers: list[ServersPush] = []
        self.marks: list[LeavingMark] = []
        self.drains = 0

        @self.handlers.on(ConfigurationPush)
        async def configuration(push, link) -> ConfigurationOffer:
            self.pushes.append(push)
            return ConfigurationOffer(push.number, push.digest)

        @self.handlers.on(ConfigurationOffer)
        async def offered(offer, link) -> ConfigurationOffer:
            if not self.pushes:
                return ConfigurationOffer(0, "")
            return ConfigurationOffer(self.pushes[-1].number, self.pushes[-1].digest)

        @self.handlers.on(ServersPush)
        async def servers(push, link) -> None:
            self.servers.append(push)

        @self.handlers.on(LeavingMark)
        async def mark(mark, link) -> None:
            self.marks.append(mark)

        @self.handlers.on(DrainRequest)
        async def drain(asked, link) -> DrainAccepted:
            self.drains += 1
            self.nursery.start_soon(self.leave, link)
            return DrainAccepted()

    async def leave(self, link: MessageLink) -> None:
        await trio.sleep(1)
        link.close()
        self.nursery.cancel_scope.cancel()

    async def run(self, region: Region, number: int, task_status) -> None:
        network = region.network.with_host(region.host(number))
        stream = await network.dial(Address(region.host(number), 8300))
        hello = Hello(f"node-{number}", ZONES[number], 1, "entry", b"")
        async with trio.open_nursery() as self.nursery:
            link = await open_link(stream, KEY, hello, self.handlers)
            task_status.started(link)
            await link.run()


class TestConfiguration:
    async def test_patch_at_one_agent_is_in_force_at_all(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            region = Region(nursery)
            await region.start()
            entry = FakeEntry()
            await nursery.start(entry.run, region, 5)
            first = await region.patch(0, first_patch(), 0, BOOTSTRAP)
            assert first.status_code == 200, first.text
            took_s = await region.until(
                lambda: all(a.holder.number == 1 for a in region.agents), 5
            )
            assert took_s < 2
            await region.until(lambda: entry.pushes, 2)
            second = await region.patch(3, count_patch("waco-a", 1), 1)
            assert second.status_code == 200, second.text
            await region.until(
                lambda: all(a.holder.number == 2 for a in region.agents), 2
            )
            await region.until(lambda: entry.pushes[-1].number == 2, 2)
            nursery.cancel_scope.cancel()
