"""Operator API and commands for the shards: permissions and refusals."""

import json

import pytest
import trio
from tests.process.claim_fakes import FakeCluster
from tests.version.documents import EDITOR_KEY, VIEWER_KEY, sample_document
from trio.testing import MockClock
from typer.testing import CliRunner

from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process import admin_main, admin_shards
from rosemaryknot.process.admin import AgentOptions, request_agent
from rosemaryknot.process.claims.operators_api import ShardsApi
from rosemaryknot.process.command_line import ExitCode
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.values.nodes import Address, ServerState
from rosemaryknot.version.operators_api import operators_app
from rosemaryknot.version.stored import StoredConfiguration
from rosemaryknot.version.view import ConfigurationView

AGENT = Address("127.0.9.2", 8200)
CONFIRM = "/v1/shards/confirm-ended"


class Region:
    """Three nodes with the operator API of one agent; the node ``a-1`` is killed."""

    def __init__(self, nursery, state=None) -> None:
        self.cluster = FakeCluster(nursery)
        self.network = MemoryNetwork("127.0.9.1")
        self.nursery = nursery
        self.state = state

    async def start(self) -> None:
        await self.cluster.start("a-1", "b-1", "c-1")
        self.cluster.kill("a-1")
        if self.state is None:
            del self.cluster.instances.states["a-1"]
        await trio.sleep(60)
        holder = ConfigurationHolder(ConfigurationView.from_document)
        holder.apply_push(StoredConfiguration(1, sample_document()).push, "test")
        app = operators_app(holder, None)
        app.register_blueprint(ShardsApi(self.cluster.claims("b-1")).blueprint())
        server = HttpServer(app, self.network.with_host(AGENT.host))
        await self.nursery.start(server.serve, AGENT)

    async def call(self, method, path, key=EDITOR_KEY, **body):
        options = AgentOptions(AGENT, key)
        content = json.dumps(body).encode() if body else None
        return await request_agent(self.network, options, method, path, {}, content)

    def shards_of_stopped_owner(self) -> int:
        shards = self.cluster.claims("b-1").maps.map.shards
        return sum(shard.owner == "a-1" for shard in shards)


@pytest.fixture
async def region(autojump_clock, nursery):
    """Return a region whose platform no longer knows the killed node."""
    made = Region(nursery)
    await made.start()
    return made


class TestConfirmEnded:
    async def test_shards_are_taken_over_after_confirmation(
        self, autojump_clock, region
    ):
        """A node has failed and the platform no longer knows its instance.

        A missing instance is no confirmation, so the shards are unavailable
        indefinitely. After an editor confirms by naming the node twice, other nodes
        take over the shards.
        """
        shown = await region.call("GET", "/v1/shards", VIEWER_KEY)
        first = shown.body["owners"][0]
        assert (first["owner"], first["state"]) == ("a-1", "mute")
        assert len(first["shards"]) == region.shards_of_stopped_owner() > 0
        asked = await region.call("POST", CONFIRM, node="a-1")
        assert (asked.status, asked.body["outcome"]) == (409, "needs_confirm")
        assert "can run twice" in asked.body["detail"]
        wrong = await region.call("POST", CONFIRM, node="a-1", confirm="yes")
        assert wrong.body["outcome"] == "needs_confirm"
        await trio.sleep(30)
        assert region.shards_of_stopped_owner() > 0
        done = await region.call("POST", CONFIRM, node="a-1", confirm="a-1")
        assert (done.status, done.body["shards"]) == (202, len(first["shards"]))
        await trio.sleep(30)
        assert region.shards_of_stopped_owner() == 0

    async def test_refused_confirmations(self, autojump_clock, region):
        viewer = await region.call(
            "POST", CONFIRM, VIEWER_KEY, node="a-1", confirm="a-1"
        )
        assert viewer.status == 403
        live = await region.call("POST", CONFIRM, node="c-1", confirm="c-1")
        assert (live.status, live.body["outcome"]) == (409, "live")
        here = await region.call("POST", CONFIRM, node="b-1", confirm="b-1")
        assert here.body["outcome"] == "live"
        nobody = await region.call("POST", CONFIRM, node="x-1", confirm="x-1")
        assert nobody.status == 404
        assert (await region.call("POST", CONFIRM, node=["a-1"])).status == 400
        await trio.sleep(30)
        assert region.shards_of_stopped_owner() > 0

    async def test_instance_known_to_the_platform_is_refused(
        self, autojump_clock, nursery
    ):
        """An operator confirms a node whose instance the platform reports as live.

        A live instance may run a paused process. The instance can be terminated, so no
        confirmation is needed.
        """
        region = Region(nursery, ServerState.LIVE)
        await region.start()
        refused = await region.call("POST", CONFIRM, node="a-1", confirm="a-1")
        assert (refused.status, refused.body["outcome"]) == (409, "not_terminated")
        await trio.sleep(30)
        assert region.shards_of_stopped_owner() > 0


def run_command(monkeypatch, *arguments: str):
    """Run one command against the API of a new region."""
    admin_main.load_commands()

    async def call(method, path, content):
        async with trio.open_nursery() as nursery:
            region = Region(nursery)
            await region.start()
            body = json.loads(content) if content else {}
            answer = await region.call(method, path, **body)
            nursery.cancel_scope.cancel()
        return answer

    def call_agent(options, method, path, headers=None, content=None):
        clock = MockClock(autojump_threshold=0)
        return trio.run(call, method, path, content, clock=clock)

    monkeypatch.setattr(admin_shards, "call_agent", call_agent)
    return CliRunner().invoke(admin_main.application, arguments)


class TestCommands:
    def test_shards_lists_silent_owners_first(self, monkeypatch):
        result = run_command(monkeypatch, "shards")
        assert result.exit_code == ExitCode.FAILED
        rows = [line.split() for line in result.output.splitlines()]
        assert rows[3][:2] == ["a-1", "mute"]
        assert {row[0]: row[1] for row in rows[4:]} == {"b-1": "live", "c-1": "live"}

    def test_confirm_ended_requires_the_name_twice(self, monkeypatch):
        asked = run_command(monkeypatch, "confirm-ended", "a-1")
        assert asked.exit_code == ExitCode.REFUSED
        assert "can run twice" in asked.output
        assert "nothing was changed; repeat with --confirm a-1" in asked.output
        command = ("confirm-ended", "a-1", "--confirm", "a-1")
        done = run_command(monkeypatch, *command)
        assert done.exit_code == ExitCode.OK
        assert "a-1 is confirmed as stopped" in done.output
