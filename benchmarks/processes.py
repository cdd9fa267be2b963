"""Start and end the processes of a benchmark, and read what they cost."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

__all__ = ["Processes", "cpu_seconds", "resident_mb"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STOP_TIMEOUT_S = 10.0


def cpu_seconds(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    after_name = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(after_name[11]) + int(after_name[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


class Processes:
    """Child processes that are ended by their ids, also after an error.

    Parameters
    ----------
    log_directory : Path
        Where each process writes its output.
    """

    def __init__(self, log_directory: Path) -> None:
        self.log_directory = log_directory
        self.children: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> "Processes":
        self.log_directory.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *error: object) -> None:
        self.stop_all()

    def start(self, name: str, *arguments: str) -> int:
        """Start this interpreter with the arguments; return the process id."""
        with (self.log_directory / f"{name}.log").open("wb") as log:
            child = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.children[name] = child
        return child.pid

    def log_text(self, name: str) -> str:
        """Return what a process has written."""
        return (self.log_directory / f"{name}.log").read_text(errors="replace")

    def stop_all(self) -> None:
        """Ask every process to stop, and kill those that do not."""
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for child in self.children.values():
            try:
                child.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
        self.children.clear()
