"""Reloading of the settings while a node runs."""

import signal
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.node_settings import NodeSettings, load_node_settings

if TYPE_CHECKING:
    from rosemaryknot.process.node import GatewayNode

__all__ = ["reload_settings", "watch_settings"]

SETTINGS_CHECK_INTERVAL_S = 1.0

log = logger("node")


async def watch_settings(node: "GatewayNode", path: Path) -> None:
    """Reload the settings on SIGHUP and when the file changes."""
    changed = trio.Event()

    async def wait_signal() -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                changed.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_signal)
        # The file may have changed since it was read, before the signal was handled.
        last_version = (0, 0)
        while True:
            with trio.move_on_after(SETTINGS_CHECK_INTERVAL_S):
                await changed.wait()
            is_requested = changed.is_set()
            changed = trio.Event()
            version = file_version(path)
            if is_requested or version != last_version:
                last_version = version
                reload_settings(node, path)


def file_version(path: Path) -> tuple[int, int]:
    """Return the modification time and size of a file, zeros if it is unreadable."""
    try:
        stat = path.stat()
    except OSError:
        return (0, 0)
    return (stat.st_mtime_ns, stat.st_size)


def reload_settings(node: "GatewayNode", path: Path) -> None:
    """Apply the settings that may change while the process runs: seeds and limits."""
    settings = load_node_settings(path)
    if not isinstance(settings, NodeSettings):
        for error in settings:
            log.error("settings not reloaded", error=str(error))
        return
    node.apply_bounds(settings.bounds)
    node.peers.add_seeds(settings.seeds)
    log.info("settings reloaded", seeds=len(settings.seeds))
