"""Tests of the command ``rosemaryknot-standin``: bad input ends with a sentence."""

import json
import signal
import socket
import subprocess
import sys

import pytest
from typer.testing import CliRunner

from rosemaryknot.standin.main import application


def invoke(*arguments):
    return CliRunner().invoke(application, [str(value) for value in arguments])


class TestBadInput:
    @pytest.mark.parametrize(
        ("text", "reason"),
        [
            ("{", "Expecting property name"),
            ("{}", "must be a list of objects"),
            ('[{"kind": "motor"}]', "kinds are engine, plain, platform"),
            ('[{"kind": "engine", "settings": {"speed": 1}}]', "'speed'"),
        ],
    )
    def test_file(self, tmp_path, text, reason):
        file = tmp_path / "set.json"
        file.write_text(text)
        result = invoke("all", file)
        assert result.exit_code == 3
        assert reason in result.stderr
        assert "Traceback" not in result.output

    def test_address(self):
        result = invoke("plain", "--listen", "nowhere")
        assert (result.exit_code, result.stdout) == (2, "")
        assert "not an address" in result.stderr

    def test_version(self):
        assert invoke("--version").stdout.startswith("rosemaryknot ")


class TestSignals:
    def test_sigterm_while_a_caller_reads_nothing(self):
        """A caller opens a long stream and reads none of it.

        The stand-in waits in a write that no cancellation ends before its bound of
        20 s. SIGTERM comes: the process has to end at once all the same.
        """
        process = subprocess.Popen(
            [sys.executable, "-m", "rosemaryknot.standin.main", "engine"]
            + ["--step-time-ms", "0.01"],
            stdout=subprocess.PIPE,
            text=True,
        )
        body = json.dumps(
            {
                "model": "kit-assistant",
                "messages": [{"role": "user", "content": "span of a beam"}],
                "max_tokens": 200_000,
                "stream": True,
                "rosemaryknot": {"id": "r1", "lineage": "l1", "prefix": []},
            }
        )
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            port = int(process.stdout.readline().rsplit(":", 1)[1])
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.sendall((head + body).encode())
                assert caller.recv(12) == b"HTTP/1.1 200"
                # Until the buffers between the two are full.
                with pytest.raises(subprocess.TimeoutExpired):
                    process.wait(timeout=2.0)
                process.send_signal(signal.SIGTERM)
                assert process.wait(timeout=5.0) == 0
        finally:
            process.kill()
            process.wait()
