"""Settings that are read again while a node runs."""

import signal
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from rosemaryknot.process.logs import logger
from rosemaryknot.process.node_settings import NodeSettings, load_node_settings

if TYPE_CHECKING:
    from rosemaryknot.process.node import GatewayNode

__all__ = ["reload_settings", "watch_settings"]

SETTINGS_CHECK_S = 1.0

log = logger("node")


async def watch_settings(node: "GatewayNode", path: Path) -> None:
    """Read the settings again at SIGHUP and when the file has changed."""
    changed = trio.Event()

    async def wait_signal() -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                changed.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_signal)
        known = stamp_of(path)
        while True:
            with trio.move_on_after(SETTINGS_CHECK_S):
                await changed.wait()
            is_asked = changed.is_set()
            changed = trio.Event()
            stamp = stamp_of(path)
            if is_asked or stamp != known:
                known = stamp
                reload_settings(node, path)


def stamp_of(path: Path) -> tuple[int, int]:
    """Return what changes with a file."""
    try:
        found = path.stat()
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)


def reload_settings(node: "GatewayNode", path: Path) -> None:
    """Take over what may change while the process runs: seeds and bounds."""
    settings = load_node_settings(path)
    if not isinstance(settings, NodeSettings):
        for error in settings:
            log.error("settings not taken over", error=str(error))
        return
    node.apply_bounds(settings.bounds)
    node.peers.add_seeds(settings.seeds)
    log.info("settings taken over", seeds=len(settings.seeds))
