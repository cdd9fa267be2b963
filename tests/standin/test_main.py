"""Tests of the command ``rosemaryknot-standin``: bad input ends with a sentence."""

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
