"""The processes of the demo: how they are started, watched and ended."""

import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx
import trio
from demo_plan import (
    CLASSES,
    ZONES,
    Plan,
    first_version,
    make_configuration,
    write_files,
)

__all__ = ["Fleet", "Process", "say"]

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1


def say(text: str) -> None:
    """Tell the person who waits what is going on."""
    print(f"demo: {text}", flush=True)


@dataclass(slots=True)
class Process:
    """One started process.

    Attributes
    ----------
    name : str
        What it is.
    child : subprocess.Popen
        The process; it is ended by its id and by nothing else.
    log : Path
        Where its output goes.
    """

    name: str
    child: subprocess.Popen
    log: Path


class Fleet:
    """Starts the processes and ends them.

    Parameters
    ----------
    plan : Plan
        What to start.

    Attributes
    ----------
    processes : list of Process
        Those that were started and not ended on purpose.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.processes: list[Process] = []

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start one of our programs; its output goes to a file."""
        log = self.plan.folder / f"{name}.log"
        with log.open("wb") as output:
            # A session of its own: an interrupt at the terminal reaches this script
            # alone, which then ends each process once, in order.
            child = subprocess.Popen(
                [sys.executable, "-m", f"rosemaryknot.{module}", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        process = Process(name, child, log)
        self.processes.append(process)
        return process

    async def start_all(self, client: httpx.AsyncClient) -> None:
        """Start everything and wait until callers can be served."""
        document = make_configuration(self.plan)
        write_files(self.plan)
        self.start_standins()
        await self.store_configuration(client, document)
        say(f"starting agents and entries of {len(self.plan.nodes)} nodes")
        for node in self.plan.nodes:
            settings = str(self.plan.folder / f"settings-{node.name}.json")
            self.start(f"agent-{node.name}", "process.agent_main", settings)
            self.start(f"entry-{node.name}", "process.entry_main", settings)
        for node in self.plan.nodes:
            await self.wait_for(client, f"http://{node.callers}/readyz")

    def start_standins(self) -> None:
        """Start the platform and one process of stand-ins a zone."""
        say("starting the platform and the backend servers of three zones")
        folder = self.plan.folder
        listen = ["--listen", str(self.plan.platform)]
        instances = ["--instances", str(folder / "instances.json")]
        self.start("platform", "standin.main", "platform", *listen, *instances)
        for zone in ZONES:
            file = str(folder / f"standins-{zone}.json")
            self.start(f"standins-{zone}", "standin.main", "all", file)

    async def store_configuration(
        self, client: httpx.AsyncClient, document: dict[str, Any]
    ) -> None:
        """Store the first version, as the platform's owner does once a region."""
        platform = f"http://{self.plan.platform}"
        await self.wait_for(client, f"{platform}/instances")
        for item in self.plan.servers:
            await self.wait_for(client, f"http://{item.server.address}/test/ledger")
        # Started replacements would have no process behind them here.
        starts = [[zone, name] for zone in ZONES for name in CLASSES.values()]
        faults = {"refused_starts": starts}
        (await client.post(f"{platform}/test/faults", json=faults)).raise_for_status()
        response = await client.put(
            f"{platform}/objects/configuration/main",
            json=first_version(document),
            headers={"If-None-Match": "*"},
        )
        response.raise_for_status()

    async def wait_for(self, client: httpx.AsyncClient, url: str) -> None:
        """Wait until a URL answers 200."""
        deadline = trio.current_time() + START_TIMEOUT_S
        while trio.current_time() < deadline:
            self.check_running()
            try:
                if (await client.get(url)).status_code == httpx.codes.OK:
                    return
            except httpx.TransportError:
                pass
            await trio.sleep(POLL_S)
        raise RuntimeError(f"{url} was not ready in {START_TIMEOUT_S:.0f} s")

    def check_running(self) -> None:
        """Raise if a process has ended by itself."""
        for process in self.ended():
            last = process.log.read_text(errors="replace").strip()[-2000:]
            code = process.child.returncode
            raise RuntimeError(f"{process.name} ended with code {code}:\n{last}")

    def ended(self) -> list[Process]:
        """Return the processes that ended by themselves."""
        return [p for p in self.processes if p.child.poll() is not None]

    def kill(self, name: str) -> None:
        """End a process at once, as the cloud does."""
        process = next(p for p in self.processes if p.name == name)
        self.processes.remove(process)
        process.child.kill()
        process.child.wait()

    async def stop_all(self) -> dict[str, int]:
        """End all processes, ours first.

        Returns
        -------
        codes : dict of str to int
            Exit codes by name; negative for those that had to be killed.
        """
        ours = [p for p in self.processes if p.name.startswith(("entry-", "agent-"))]
        standins = [p for p in self.processes if p not in ours]
        codes = {}
        for group in (ours, standins):
            for process in group:
                if process.child.poll() is None:
                    process.child.send_signal(signal.SIGTERM)
            for process in group:
                codes[process.name] = await self.wait_end(process)
        self.processes.clear()
        return codes

    async def wait_end(self, process: Process) -> int:
        """Wait for the end of a process; kill it when that takes too long."""
        deadline = trio.current_time() + STOP_TIMEOUT_S
        while process.child.poll() is None and trio.current_time() < deadline:
            await trio.sleep(POLL_S / 2)
        if process.child.poll() is None:
            process.child.kill()
        return process.child.wait()
