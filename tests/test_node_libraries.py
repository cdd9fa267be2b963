"""The libraries that the build gives a node are those that it loads."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Refuses what the list leaves out, then loads all that a running node does.
LOADS = """
import sys
from importlib.metadata import packages_distributions

listed = set(open("deploy/libraries.txt").read().split())
owners = packages_distributions()

class Refuses:
    def find_spec(self, name, path=None, target=None):
        found = {owner.lower().replace("_", "-") for owner in owners.get(name, [])}
        if found and not found & (listed | {"rosemaryknot"}):
            raise ModuleNotFoundError(name)

sys.meta_path.insert(0, Refuses())
from rosemaryknot.process.node_main import main
from rosemaryknot.process.node_program_main import application
from rosemaryknot.platform.adapter import make_adapter
from rosemaryknot.process.node import run_node
from rosemaryknot.process.metrics import render_metrics

render_metrics()
loaded = {name.partition(".")[0] for name in sys.modules}
used = {owner.lower().replace("_", "-") for n in loaded for owner in owners.get(n, [])}
# The checkout is installed by setuptools, whose hook is loaded along.
print(*sorted(used - {"rosemaryknot", "setuptools"}))
"""


class TestNodeLibraries:
    def test_they_suffice_and_none_is_idle(self):
        """A node is started where only the listed libraries are there.

        A missing one would end each start; one more would cost each start its time.
        """
        run = subprocess.run(
            [sys.executable, "-c", LOADS],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert run.returncode == 0, run.stderr
        listed = (ROOT / "deploy/libraries.txt").read_text().split()
        assert run.stdout.split() == sorted(listed)
