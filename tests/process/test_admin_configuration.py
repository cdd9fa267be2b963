"""Operators' commands for the configuration, against an agent over loopback."""

import json
import threading

import pytest
import trio
from tests.version.documents import EDITOR_KEY, VIEWER_KEY, count_patch, first_patch
from tests.version.platform import first_agent, running_harness
from typer.testing import CliRunner

from rosemaryknot.connection.http_server import HttpServer
from rosemaryknot.connection.network import SocketNetwork
from rosemaryknot.connection.platform import PlatformClient
from rosemaryknot.process import admin_configuration, admin_main
from rosemaryknot.process.admin import AgentOptions, NoResponse
from rosemaryknot.process.command_line import ExitCode
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.nodes import Address
from rosemaryknot.version.operators_api import operators_app
from rosemaryknot.version.patch import Patch
from rosemaryknot.version.store import ConfigurationStore
from rosemaryknot.version.view import ConfigurationView

LOOPBACK = Address("127.0.0.1", 0)


class AgentThread:
    """Agent's API and simulated platform, running in a separate thread."""

    def __init__(self) -> None:
        self.ready = threading.Event()
        self.standin = None
        self.address = ""
        self.scope = None
        self.token = None

    def run(self) -> None:
        trio.run(self.serve)

    async def serve(self) -> None:
        network = SocketNetwork()
        self.standin = PlatformStandIn()
        self.token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self.scope = nursery.cancel_scope
            platform = await nursery.start(self.standin.serve, network, LOOPBACK)
            holder = ConfigurationHolder(ConfigurationView.from_document)
            store = ConfigurationStore(PlatformClient(network, platform), holder)
            await store.submit(Patch("patch-first", 0, first_patch(), "ana"))
            server = HttpServer(operators_app(holder, store), network)
            self.address = str(await nursery.start(server.serve, LOOPBACK))
            self.ready.set()

    def stop(self) -> None:
        self.token.run_sync_soon(self.scope.cancel)


@pytest.fixture
def agent():
    """Provide an agent that serves version 1."""
    running = AgentThread()
    thread = threading.Thread(target=running.run)
    thread.start()
    assert running.ready.wait(10)
    yield running
    running.stop()
    thread.join(10)


def admin(agent: AgentThread, *arguments: str, key: str = EDITOR_KEY):
    """Run one operators' command."""
    admin_main.load_commands()
    environment = {"ROSEMARYKNOT_AGENT": agent.address, "ROSEMARYKNOT_KEY": key}
    return CliRunner().invoke(admin_main.application, arguments, env=environment)


@pytest.fixture
def patch_file(tmp_path):
    """Return the path of a file with a patch that changes one count."""
    path = tmp_path / "patch.json"
    path.write_text(json.dumps(count_patch("waco-b", 3)))
    return str(path)


class TestCommands:
    def test_sequence_of_commands(self, agent, patch_file):
        """Show, dry run, patch, stale base, history, diff and undo in sequence."""
        shown = admin(agent, "show", "--json")
        assert json.loads(shown.output)["number"] == 1
        dry = admin(agent, "patch", patch_file, "--base", "1", "--dry-run")
        assert "would be 2" in dry.output and dry.exit_code == ExitCode.OK
        done = admin(agent, "patch", patch_file, "--base", "1")
        assert "kit-assistant in waco-b: 2 → 3 instances" in done.output
        stale = admin(agent, "patch", patch_file, "--base", "1")
        assert stale.exit_code == ExitCode.REFUSED
        assert "current number is 2" in stale.output and "ana" in stale.output
        assert "2 → 3" in admin(agent, "history").output
        assert "2 → 3" in admin(agent, "diff", "1", "2").output
        undone = admin(agent, "undo", "2")
        assert "kit-assistant in waco-b: 3 → 2 instances" in undone.output
        assert admin(agent, "diff", "1", "3").output.strip() == "no change"

    def test_refusals(self, agent, patch_file, tmp_path):
        danger = tmp_path / "danger.json"
        operations = [{"op": "remove", "path": "/placements/dispatch-app"}]
        danger.write_text(json.dumps(operations))
        refused = admin(agent, "patch", str(danger), "--base", "1")
        assert refused.exit_code == ExitCode.REFUSED
        assert "--confirm dispatch-app" in refused.output
        arguments = ["patch", str(danger), "--base", "1", "--confirm", "dispatch-app"]
        assert admin(agent, *arguments, key=VIEWER_KEY).exit_code == ExitCode.REFUSED
        assert admin(agent, *arguments).exit_code == ExitCode.OK
        agent.standin.faults.outage = "refuse"
        down = admin(agent, "patch", patch_file, "--base", "2")
        assert down.exit_code == ExitCode.UNREACHABLE

    @pytest.mark.parametrize("text", ["{", "", "[" * 100_000])
    def test_bad_file(self, agent, tmp_path, text):
        path = tmp_path / "patch.json"
        path.write_text(text)
        result = admin(agent, "patch", str(path), "--base", "1")
        assert result.exit_code == ExitCode.BAD_USAGE
        assert "Traceback" not in result.output

    def test_new_key_works(self, agent, tmp_path):
        made = admin(agent, "new-key", "--operator", "eve", "--json")
        made = json.loads(made.output)
        path = tmp_path / "key.json"
        path.write_text(json.dumps(made["operations"]))
        assert admin(agent, "patch", str(path), "--base", "1").exit_code == ExitCode.OK
        shown = admin(agent, "show", key=made["api_key"])
        assert shown.exit_code == ExitCode.OK


class TestLostResponse:
    async def submit(self, harness, agent, stop_after):
        """Submit to an agent whose responses are lost after 0.1 seconds."""
        network = harness.network.with_host("127.0.9.2")
        server = HttpServer(operators_app(agent.holder, agent), network)
        options = AgentOptions(Address("127.0.9.2", 8200), EDITOR_KEY)
        content = json.dumps(count_patch("waco-b", 3)).encode()
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, options.agent)

            async def lose_responses():
                await trio.sleep(0.1)
                harness.network.silence("127.0.9.1", "127.0.9.2")
                if stop_after:
                    harness.network.cut("127.0.9.1", "127.0.9.2")

            nursery.start_soon(lose_responses)
            response = await admin_configuration.submit_patch(
                harness.network,
                options,
                "PATCH",
                "/v1/configuration",
                1,
                "patch-lost",
                content,
            )
            nursery.cancel_scope.cancel()
        return response

    async def test_resolved_by_patch_id(self, autojump_clock):
        """The patch is accepted, and the connection becomes silent before the response.

        The command must query the result by patch id over a new connection.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            harness.standin.faults.slow_s = 0.2
            response = await self.submit(harness, agent, stop_after=False)
            assert (response.body["outcome"], response.body["number"]) == (
                "accepted",
                2,
            )

    async def test_agent_never_responds_again(self, autojump_clock):
        """The agent never responds again: the result must be unknown, not failed."""
        async with running_harness() as harness:
            agent = await first_agent(harness)
            harness.standin.faults.slow_s = 0.2
            response = await self.submit(harness, agent, stop_after=True)
            assert isinstance(response, NoResponse)
            assert response.code == ExitCode.UNKNOWN
