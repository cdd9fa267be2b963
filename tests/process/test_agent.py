"""Tests of agents: configuration, servers, status and shutdown of several nodes."""

import json
import random

import httpx
import trio
from tests.version.documents import EDITOR_KEY, VIEWER_KEY, count_patch, first_patch

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.links import Handlers, Hello, MessageLink, open_link
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process.agent import Agent, run_agent
from rosemaryknot.process.decisions import DECISIONS, Decision
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
LARGE_REGION = 30
# Messages of a node for each mark: to the ten nodes of its zone and the relays of two
# others, and receipts.
MAX_PER_MARK = 20
MARK_KINDS = ("leaving_mark", "leaving_mark_taken", "peer_forward", "peer_forwarded")


def unix_time() -> float:
    return EPOCH_S + trio.current_time()


def server(instance: str, zone: str = "waco-a") -> BackendServer:
    return BackendServer(instance, "kit-assistant", zone, "g1", True, "127.0.8.1:9000")


def mark_messages(agent: Agent) -> int:
    """Return the messages about marks that an agent has sent and received."""
    traffic = agent.peers.traffic
    return sum(
        by_kind[kind].messages
        for by_kind in (traffic.sent, traffic.received)
        for kind in MARK_KINDS
        if kind in by_kind
    )


class Region:
    """Agents and a platform, each on its own host."""

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
            ZONES[number % len(ZONES)],
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

    async def send_request(
        self, number: int, method: str, path: str, key: str = EDITOR_KEY, **options
    ) -> httpx.Response:
        """Send a request as an operator to an agent."""
        headers = {"Authorization": f"Bearer {key}"} | options.pop("headers", {})
        async with http_client(self.network, 10) as client:
            url = f"http://{self.host(number)}:8200{path}"
            return await client.request(method, url, headers=headers, **options)

    async def patch(
        self, number: int, operations: list, base: int, key: str = EDITOR_KEY
    ) -> httpx.Response:
        headers = {"If-Match": str(base), "Rosemaryknot-Patch": f"patch-{base:08}"}
        return await self.send_request(
            number,
            "PATCH",
            "/v1/configuration",
            key,
            headers=headers,
            content=json.dumps(operations),
        )

    async def wait_until(self, condition, timeout_s: float) -> float:
        """Wait until a condition holds; return the elapsed time in seconds."""
        start_s = trio.current_time()
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.02)
        return trio.current_time() - start_s


class FakeEntry:
    """The link of an entry to its agent, which records the received messages."""

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
        async def drain(request, link) -> DrainAccepted:
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
    async def test_patch_at_one_agent_is_applied_at_all(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            region = Region(nursery)
            await region.start()
            entry = FakeEntry()
            await nursery.start(entry.run, region, 5)
            first = await region.patch(0, first_patch(), 0, BOOTSTRAP)
            assert first.status_code == 200, first.text
            took_s = await region.wait_until(
                lambda: all(a.holder.number == 1 for a in region.agents), 5
            )
            assert took_s < 2
            await region.wait_until(lambda: entry.pushes, 2)
            second = await region.patch(3, count_patch("waco-a", 1), 1)
            assert second.status_code == 200, second.text
            await region.wait_until(
                lambda: all(a.holder.number == 2 for a in region.agents), 2
            )
            await region.wait_until(lambda: entry.pushes[-1].number == 2, 2)
            nursery.cancel_scope.cancel()

    async def test_platform_down_since_start_of_an_instance(self, autojump_clock):
        """A node is replaced during a platform outage that does not end.

        The new process cannot read the configuration or the instance list. It and its
        entry must receive both from the peers.
        """
        async with trio.open_nursery() as nursery:
            region = Region(nursery)
            region.platform.add_instance(server("e1"))
            await region.start()
            await region.patch(0, first_patch(), 0, BOOTSTRAP)
            await trio.sleep(3)
            region.platform.faults.outage = "refusing"
            region.stops[4].set()
            await region.wait_until(lambda: region.ended == [4], 30)
            region.agents.pop(4), region.stops.pop(4)
            agent = await region.start_agent(4)
            assert await region.wait_until(lambda: agent.holder.number == 1, 10) < 4
            assert await region.wait_until(lambda: agent.servers.get("e1"), 10) < 4
            entry = FakeEntry()
            await nursery.start(entry.run, region, 4)
            await region.wait_until(lambda: entry.pushes and entry.servers, 2)
            assert entry.servers[-1].servers[0]["instance"] == "e1"
            nursery.cancel_scope.cancel()


class TestLeavingMarks:
    async def test_mark_from_an_entry_reaches_all_within_a_second(
        self, autojump_clock, monkeypatch
    ):
        """A server tells an entry that it drains; there is no notice and the list lags.

        Only that entry knows. It reports to its agent, and within a second the agents
        and entries of all zones must have stopped sending requests to the server.
        """
        # The periodic comparison of tables would hide a mark that was not forwarded.
        monkeypatch.setattr(
            "rosemaryknot.process.server_distributor.COMPARE_INTERVAL_S", 1e6
        )
        async with trio.open_nursery() as nursery:
            region = Region(nursery)
            region.platform.add_instance(server("e1"))
            await region.start()
            reporting_entry, other_entry = FakeEntry(), FakeEntry()
            link = await nursery.start(reporting_entry.run, region, 0)
            await nursery.start(other_entry.run, region, 5)
            await trio.sleep(5)
            assert all(a.servers.servers_of("kit-assistant") for a in region.agents)
            # The link between the two agents of the zone has just become silent.
            region.network.silence(region.host(0), region.host(1))
            await link.send(LeavingMark("e1", 0.0, "server"))
            await region.wait_until(lambda: other_entry.marks, 1)
            tables = [agent.servers for agent in region.agents]
            await region.wait_until(
                lambda: all(table.leaving_of("kit-assistant") for table in tables), 1
            )
            await trio.sleep(20)
            assert not any(table.servers_of("kit-assistant") for table in tables)
            nursery.cancel_scope.cancel()

    async def test_few_messages_in_a_large_region(self, autojump_clock, monkeypatch):
        """Guards against a message to each agent, through the relays, for each mark."""
        monkeypatch.setattr(
            "rosemaryknot.process.server_distributor.COMPARE_INTERVAL_S", 1e6
        )
        names = [f"e{number}" for number in range(10)]
        async with trio.open_nursery() as nursery:
            region = Region(nursery, LARGE_REGION)
            for name in names:
                region.platform.add_instance(server(name))
            await region.start()
            entry = FakeEntry()
            link = await nursery.start(entry.run, region, 4)
            await trio.sleep(10)
            before = [mark_messages(agent) for agent in region.agents]
            for name in names:
                await link.send(LeavingMark(name, 0.0, "server"))
            await trio.sleep(1)
            tables = [agent.servers for agent in region.agents]
            marked = [len(table.leaving_of("kit-assistant")) for table in tables]
            counts = [
                (mark_messages(agent) - usual) / len(names)
                for agent, usual in zip(region.agents, before, strict=True)
            ]
            nursery.cancel_scope.cancel()
        assert marked == [len(names)] * LARGE_REGION
        assert max(counts) < MAX_PER_MARK

    async def test_mark_is_received_after_a_partition(self, autojump_clock):
        """A zone is partitioned while the mark is distributed, then reconnected."""
        async with trio.open_nursery() as nursery:
            region = Region(nursery)
            region.platform.add_instance(server("e1"))
            await region.start()
            await trio.sleep(5)
            hosts = [region.host(n) for n in range(4)] + [PLATFORM.host]
            pairs = [(region.host(n), host) for n in (4, 5) for host in hosts]
            for pair in pairs:
                region.network.cut(*pair)
            region.agents[0].servers.mark_leaving("e1", 0.0, "server")
            await trio.sleep(30)
            assert not region.agents[4].servers.leaving_of("kit-assistant")
            for pair in pairs:
                region.network.heal(*pair)
            far = region.agents[4:]
            await region.wait_until(
                lambda: all(a.servers.leaving_of("kit-assistant") for a in far), 15
            )
            nursery.cancel_scope.cancel()


class TestEntries:
    async def test_silent_entry_link_is_dropped(self, autojump_clock):
        """The connection of an entry goes silent, and the entry opens a new one.

        The agent is not notified that the old one closed. It must drop it, or each
        graceful shutdown would wait for an entry that no longer exists.
        """
        async with trio.open_nursery() as nursery:
            region = Region(nursery, 1)
            await region.start()
            old, new = FakeEntry(), FakeEntry()
            await nursery.start(old.run, region, 0)
            region.network.silence(region.host(0), region.host(0))
            link = await nursery.start(new.run, region, 0)
            await trio.sleep(7)
            assert len(region.agents[0].peers.entries) == 1
            assert not link.is_closed
            nursery.cancel_scope.cancel()


class TestOperators:
    async def test_status_explain_and_permissions(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            region = Region(nursery, 3)
            region.platform.add_instance(server("e1"))
            await region.start()
            await region.patch(0, first_patch(), 0, BOOTSTRAP)
            await trio.sleep(3)
            body = (
                await region.send_request(1, "GET", "/v1/status", VIEWER_KEY)
            ).json()
            assert [peer["name"] for peer in body["peers"]] == ["node-0", "node-2"]
            assert body["configuration"]["number"] == 1
            assert body["servers"][0]["count"] == 1
            assert body["alarms"] == ["no entry is connected to this agent"]
            for direction in ("sent", "received"):
                for duty in ("membership", "configuration"):
                    assert body["traffic"][direction][duty]["bytes"] > 0
            decision = Decision("2026-12-02T12:00:00Z", "route", "chose e1", {})
            DECISIONS.add("request-of-this-test", decision)
            path = "/v1/explain/request-of-this-test"
            explanation = (await region.send_request(1, "GET", path, VIEWER_KEY)).json()
            assert {d["node"] for d in explanation["decisions"]} == {
                "node-0",
                "node-1",
                "node-2",
            }
            assert explanation["not_reached"] == []
            refused = await region.send_request(
                1, "POST", "/v1/drain", VIEWER_KEY, json={}
            )
            assert refused.status_code == 403
            metrics = await region.send_request(1, "GET", "/metrics")
            assert "rosemaryknot_peers_linked" in metrics.text
            nursery.cancel_scope.cancel()

    async def test_drain_of_another_node(self, autojump_clock):
        """An operator drains node-2 through node-0.

        Its entry is notified first and exits on its own. Its agent waits until the
        entry disconnected, hands over, announces that it leaves, and exits. No node
        suspects it.
        """
        async with trio.open_nursery() as nursery:
            region = Region(nursery, 3)
            await region.start()
            await region.patch(0, first_patch(), 0, BOOTSTRAP)
            entry = FakeEntry()
            await nursery.start(entry.run, region, 2)
            await trio.sleep(3)
            response = await region.send_request(
                0, "POST", "/v1/drain", json={"node": "node-2"}
            )
            assert response.status_code == 202
            assert response.json()["entries"] == 1
            await region.wait_until(lambda: region.ended == [2], 20)
            assert entry.drains == 1
            await trio.sleep(1)
            assert [n.name for n in region.agents[0].peers.nodes()] == ["node-1"]
            assert region.agents[0].peers.counters["suspicions"] == 0
            nursery.cancel_scope.cancel()


class TestShutdown:
    async def test_slow_close_of_platform_connections(self, autojump_clock):
        """An agent shuts down, and closing its platform connections takes a while.

        The tasks that call the platform each second must have ended before. A task
        that uses a closed client raises an error, and the process would exit with a
        failure after a graceful shutdown that handed over everything.
        """
        async with trio.open_nursery() as nursery:
            region = Region(nursery, 1)
            await region.start()
            await trio.sleep(10.0)
            platform = region.agents[0].platform
            close = platform.aclose

            async def close_slowly() -> None:
                await close()
                await trio.sleep(10.0)

            platform.aclose = close_slowly
            region.stops[0].set()
            await trio.sleep(60.0)
            assert region.ended == [0]
            nursery.cancel_scope.cancel()
