"""Tests of the check of the list of known failing tests."""

import importlib
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parents[2] / "scripts" / "known_red.py"


@pytest.fixture
def known_red(monkeypatch):
    monkeypatch.syspath_prepend(str(SCRIPT.parent))
    return importlib.import_module("known_red")


class TestForm:
    def test_each_line_is_an_entry(self, known_red):
        text = "tests/a.py::test_b red; issue 7\n\nreview/2/run.sh 5 of 5; issue 8"
        entries = known_red.read_entries(text)
        assert [(e.test, e.issue, e.is_pytest) for e in entries] == [
            ("tests/a.py::test_b", 7, True),
            ("review/2/run.sh", 8, False),
        ]

    @pytest.mark.parametrize(
        "text",
        [
            "tests/a.py::test_b fails",
            "tests/a.py::test_b; issue 7",
            "tests/a.py::test_b fails; issue seven",
            "tests/a.py::test_b fails; issue 7; review/1 fails; issue 8",
            "tests/a.py::test_b fails; issue 7\ntests/a.py::test_b too; issue 8",
        ],
    )
    def test_malformed_list_is_refused(self, known_red, text):
        with pytest.raises(known_red.MalformedList):
            known_red.read_entries(text)


class TestCommand:
    def run(self, folder, text):
        (folder / "KNOWN-RED.txt").write_text(text)
        command = [sys.executable, SCRIPT]
        return subprocess.run(command, cwd=folder, capture_output=True, text=True)

    def test_ids_are_printed(self, tmp_path):
        done = self.run(tmp_path, "tests/a.py::test_b fails; issue 7\n")
        assert (done.returncode, done.stdout) == (0, "tests/a.py::test_b\n")

    @pytest.mark.parametrize(
        "text", ["tests/a.py::test_b fails\n", "review/9/run.sh fails; issue 7\n"]
    )
    def test_malformed_list_fails(self, tmp_path, text):
        done = self.run(tmp_path, text)
        assert done.returncode == 1 and "KNOWN-RED.txt" in done.stderr
