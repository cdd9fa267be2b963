"""One node and a platform as separate processes, for benchmarks."""

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import httpx
from processes import Processes

from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.version.keys import new_key
from rosemaryknot.version.stored import StoredConfiguration

__all__ = ["BenchNode", "SERVICE", "wait_until"]

SERVICE = "kit-assistant"
CUSTOMER = "estimator-1"
READY_TIMEOUT_S = 90.0


def wait_until(url: str) -> None:
    """Wait until an address answers 200.

    Raises
    ------
    TimeoutError
        If it does not in time.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if httpx.get(url, timeout=1.0, trust_env=False).status_code == 200:
                return
        except httpx.HTTPError:
            pass
        time.sleep(0.1)
    raise TimeoutError(f"no answer from {url}")


@dataclass(slots=True)
class BenchNode:
    """A platform, an agent and an entry on loopback.

    Attributes
    ----------
    processes : Processes
        Where they are started.
    folder : Path
        For settings and logs.
    first_port : int
        The first of four ports.
    api_key : str
        Key of a caller.
    entry_pid, agent_pid : int
        Process ids.
    """

    processes: Processes
    folder: Path
    first_port: int
    api_key: str = ""
    entry_pid: int = 0
    agent_pid: int = 0

    @property
    def entry_port(self) -> int:
        """Port of the callers' interface."""
        return self.first_port + 1

    def start(self, server_port: int) -> None:
        """Start all, with one model server behind, and wait until it is ready."""
        platform = f"127.0.0.1:{self.first_port}"
        self.processes.start(
            "platform",
            *("-m", "rosemaryknot.standin.main", "platform", "--listen", platform),
        )
        wait_until(f"http://{platform}/instances")
        self.fill_platform(platform, server_port)
        settings = self.write_settings(platform)
        self.agent_pid = self.processes.start(
            "agent", "-m", "rosemaryknot.process.agent_main", settings
        )
        self.entry_pid = self.processes.start(
            "entry", "-m", "rosemaryknot.process.entry_main", settings
        )
        wait_until(f"http://127.0.0.1:{self.entry_port}/readyz")

    def fill_platform(self, platform: str, server_port: int) -> None:
        """Store the configuration and list the server."""
        self.api_key, keys = new_key(CUSTOMER)
        document = {
            "services": {
                SERVICE: {"kind": "model", "step_time_ms": 40, "max_tokens": 8192}
            },
            "customers": {CUSTOMER: {}},
            "keys": keys,
        }
        stored = StoredConfiguration(number=1, document=document).to_value()
        url = f"http://{platform}/objects/configuration/main"
        headers = {"If-None-Match": "*"}
        httpx.put(url, json=stored, headers=headers).raise_for_status()
        server = BackendServer(
            instance="server-1",
            service=SERVICE,
            zone="waco-a",
            machine_class="g1",
            reclaimable=True,
            address=f"127.0.0.1:{server_port}",
        )
        url = f"http://{platform}/test/instances"
        httpx.post(url, json=asdict(server)).raise_for_status()

    def write_settings(self, platform: str) -> str:
        """Write the settings of agent and entry; return the file's name."""
        (self.folder / "key").write_text("a key for benchmarks only")
        links = f"127.0.0.1:{self.first_port + 3}"
        settings = {
            "node": "waco-a-1",
            "zone": "waco-a",
            "region": "tx-central",
            "listen": {
                "callers": f"127.0.0.1:{self.entry_port}",
                "operators": f"127.0.0.1:{self.first_port + 2}",
                "links": links,
            },
            "agent": links,
            "platform": platform,
            "cluster_key_file": "key",
        }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings))
        return str(path)
