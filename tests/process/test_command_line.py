"""Command lines: exit codes, no traceback for bad input, and graceful shutdown."""

import json
import os
import signal
import subprocess
import sys

import pytest
import trio
from typer.testing import CliRunner

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process import admin_main, agent_main, entry_main
from rosemaryknot.process.admin import AgentOptions, NoResponse, request_agent
from rosemaryknot.process.command_line import ExitCode, run_process
from rosemaryknot.process.settings import Settings
from rosemaryknot.values.nodes import Address

KEY = "0123456789abcdef-secret"
AGENT = Address("127.0.0.2", 8200)
SETTINGS = Settings("waco-a-1", "waco-a", "tx-central")


def run(application, *arguments, **environment):
    return CliRunner().invoke(application, list(arguments), env=environment)


@pytest.fixture
def settings_file(tmp_path):
    """Return the path of valid settings of a node without listeners."""
    path = tmp_path / "settings.json"
    names = {"node": "waco-a-1", "zone": "waco-a", "region": "tx-central"}
    path.write_text(json.dumps(names | {"cluster_key_env": "TEST_CLUSTER_KEY"}))
    return str(path)


class TestPrograms:
    @pytest.mark.parametrize("program", [entry_main, agent_main, admin_main])
    def test_help_and_version(self, program):
        help_text = run(program.application, "--help")
        assert help_text.exit_code == ExitCode.OK
        assert "Exit codes:" in help_text.output
        assert "rosemaryknot 0" in run(program.application, "--version").output

    @pytest.mark.parametrize(
        ("program", "arguments", "code"),
        [
            (entry_main, [], ExitCode.BAD_USAGE),
            (entry_main, ["--colour"], ExitCode.BAD_USAGE),
            (entry_main, ["/none"], ExitCode.BAD_SETTINGS),
            (agent_main, ["/"], ExitCode.BAD_SETTINGS),
            (admin_main, ["fly"], ExitCode.BAD_USAGE),
            (admin_main, ["check-settings"], ExitCode.BAD_USAGE),
            (admin_main, ["check-settings", "/none"], ExitCode.BAD_SETTINGS),
            (admin_main, ["--agent", "x", "check-settings", "/"], ExitCode.BAD_USAGE),
            (admin_main, ["--key-file", "/", "check-settings", "/"], 2),
        ],
    )
    def test_bad_input(self, program, arguments, code):
        result = run(program.application, *arguments)
        assert result.exit_code == code
        assert isinstance(result.exception, SystemExit)
        assert result.output and "Traceback" not in result.output

    def test_missing_listener(self, settings_file):
        result = run(entry_main.application, settings_file, TEST_CLUSTER_KEY=KEY)
        assert result.exit_code == ExitCode.BAD_SETTINGS
        assert "listen.callers: is missing" in result.output


class TestCheckSettings:
    def test_valid_settings_without_their_secret(self, settings_file):
        arguments = ["check-settings", settings_file]
        result = run(admin_main.application, *arguments, TEST_CLUSTER_KEY=KEY)
        assert result.exit_code == ExitCode.OK
        assert KEY not in result.output

    def test_errors_for_programs(self, settings_file):
        arguments = ["check-settings", "--json", settings_file]
        result = run(admin_main.application, *arguments, TEST_CLUSTER_KEY="short")
        assert result.exit_code == ExitCode.BAD_SETTINGS
        [error] = json.loads(result.stdout)["errors"]
        assert error["path"] == "cluster_key_env"


class TestRunProcess:
    def test_first_signal_requests_graceful_shutdown(self):
        completed = []

        async def async_main(settings, stop, network):
            os.kill(os.getpid(), signal.SIGTERM)
            await stop.wait()
            await trio.sleep(0)
            completed.append("main")

        assert run_process(async_main, SETTINGS) == ExitCode.OK
        assert completed == ["main"]

    def test_second_signal_aborts_the_wait(self):
        async def async_main(settings, stop, network):
            os.kill(os.getpid(), signal.SIGTERM)
            await stop.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.sleep_forever()

        assert run_process(async_main, SETTINGS) == ExitCode.FAILED

    def test_address_of_another_machine(self, capfd):
        async def async_main(settings, stop, network):
            await network.listen(Address("192.0.2.1", 8100), None)

        assert run_process(async_main, SETTINGS) == ExitCode.FAILED
        assert "Traceback" not in capfd.readouterr().err

    def test_broken_invariant_is_not_hidden(self):
        async def async_main(settings, stop, network):
            raise AssertionError

        with pytest.raises(ExceptionGroup):
            run_process(async_main, SETTINGS)


class TestRequestAgent:
    """Changes that are submitted to an agent that fails or does not respond."""

    async def request_exit_code(self, method, handler=None):
        network = MemoryNetwork()
        options = AgentOptions(AGENT, KEY)
        async with trio.open_nursery() as nursery:
            if handler is not None:
                agent_network = network.with_host(AGENT.host)
                await nursery.start(agent_network.listen, AGENT, handler)
            response = await request_agent(
                network, options, method, "/v1/configuration"
            )
            nursery.cancel_scope.cancel()
        assert isinstance(response, NoResponse)
        assert KEY not in response.detail
        return response.code

    async def test_no_listener(self, autojump_clock):
        assert await self.request_exit_code("PATCH") == ExitCode.UNREACHABLE

    async def test_lost_response_to_change_is_unknown(self, autojump_clock):
        """The agent reads a patch, applies it and fails before it responds.

        The command must not report "failed", since the operator would then submit the
        change a second time. The loss of a read changes nothing.
        """

        async def read_and_fail(stream):
            await stream.receive_some(4096)
            stream.kill()

        assert await self.request_exit_code("PATCH", read_and_fail) == ExitCode.UNKNOWN
        assert (
            await self.request_exit_code("GET", read_and_fail) == ExitCode.UNREACHABLE
        )

    async def test_silent_agent_times_out(self, autojump_clock):
        async def never_respond(stream):
            await trio.sleep_forever()

        assert await self.request_exit_code("PATCH", never_respond) == ExitCode.UNKNOWN

    async def test_other_program_at_the_address(self, autojump_clock):
        async def send_other_response(stream):
            await stream.receive_some(4096)
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")
            await trio.sleep_forever()

        assert (
            await self.request_exit_code("GET", send_other_response) == ExitCode.FAILED
        )


class TestSignalsWhileLoading:
    def test_hangup_does_not_end_a_node(self):
        """Settings change while the process is loading its modules."""
        program = """
import os, signal, sys, types
loading = types.ModuleType("rosemaryknot.process.node_program_main")
loading.application = lambda: os.kill(os.getpid(), signal.SIGHUP)
sys.modules[loading.__name__] = loading
from rosemaryknot.process.node_main import main
main()
"""
        done = subprocess.run([sys.executable, "-c", program], timeout=20)
        assert done.returncode == 0
