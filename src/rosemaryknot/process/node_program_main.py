"""Command line of a gateway node."""

import gc
from pathlib import Path

import trio
import typer

from rosemaryknot.connection.network import Network
from rosemaryknot.process.command_line import (
    EXIT_CODES,
    ExitCode,
    SettingsFile,
    VersionOption,
    new_application,
    run_process,
)
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.process.node_settings import NodeSettings, load_node_settings

__all__ = ["application"]

STDOUT = 1
# A busy node writes about 150 lines per second, two to four per request. At about three
# times that rate, writing uses about a thirtieth of a core (60 us per line).
MAX_LINES_PER_S = 500

application = new_application("Serve callers in front of backend servers.")


def checked_node_settings(file: Path) -> NodeSettings:
    """Return valid settings, or print all errors and exit."""
    settings = load_node_settings(file)
    if isinstance(settings, NodeSettings):
        return settings
    for error in settings:
        typer.echo(f"{file}: {error}", err=True)
    raise typer.Exit(ExitCode.BAD_SETTINGS)


def end_loading() -> None:
    """Enable garbage collection again, excluding all objects loaded so far."""
    gc.freeze()
    gc.enable()


@application.command(epilog=EXIT_CODES)
def node(file: SettingsFile, version: VersionOption = False) -> None:
    """Serve callers until SIGTERM; SIGHUP reads the settings again.

    The first SIGTERM or SIGINT starts a graceful shutdown: requests that were read
    are completed first. A second one ends the wait early.
    """
    settings = checked_node_settings(file)
    configure_logs(settings.log.format, settings.log.level, STDOUT, MAX_LINES_PER_S)
    from rosemaryknot.platform.adapter import make_adapter
    from rosemaryknot.process.node import run_node

    async def run(settings: NodeSettings, stop: trio.Event, network: Network) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(run_node, settings, file, make_adapter, stop, network)
            end_loading()

    raise typer.Exit(run_process(run, settings))
