"""What the command lines of all programs share."""

import signal
from collections.abc import Awaitable, Callable, Sequence
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import trio
import typer

from rosemaryknot import __version__
from rosemaryknot.connection.network import Network, SocketNetwork
from rosemaryknot.process.logs import configure_logs, flush_lines, logger
from rosemaryknot.process.settings import (
    Settings,
    SettingsError,
    load_settings,
    require_listeners,
)

__all__ = [
    "EXIT_CODES",
    "ExitCode",
    "SettingsFile",
    "VersionOption",
    "checked_settings",
    "fail",
    "new_application",
    "run_process",
    "run_program",
]

log = logger("process")

AsyncMain = Callable[[Settings, trio.Event, Network], Awaitable[None]]


class ExitCode(IntEnum):
    """Exit codes of all programs."""

    OK = 0
    FAILED = 1
    BAD_USAGE = 2
    BAD_SETTINGS = 3
    REFUSED = 4
    UNREACHABLE = 5
    UNKNOWN = 6


EXIT_CODES = """Exit codes:

0 done; a planned stop ended whole.

1 failed, or a planned stop was cut short.

2 wrong usage: see --help.

3 the settings file is missing or wrong.

4 refused: no permission, bad input, or the base version is stale.

5 unreachable: nobody answered; nothing was changed.

6 unknown: the answer was lost, so the change may be in force; ask again.
"""


def print_version(wanted: bool) -> None:
    """Print the version and end the program, where asked."""
    if wanted:
        typer.echo(f"rosemaryknot {__version__}")
        raise typer.Exit(ExitCode.OK)


VersionOption = Annotated[
    bool,
    typer.Option(
        "--version",
        callback=print_version,
        is_eager=True,
        help="Print the version and exit.",
    ),
]
SettingsFile = Annotated[
    Path, typer.Argument(metavar="FILE", help="Settings, a JSON file.")
]


def new_application(help: str, **options: Any) -> typer.Typer:
    """Return a typer application with our exit codes in its help.

    Parameters
    ----------
    help : str
        What the program does, for a person in the first week.
    **options
        Further options of `typer.Typer`.

    Returns
    -------
    application : typer.Typer
        Without commands yet. Its crashes print a plain traceback: typer's own
        shows local variables, which may hold secrets.
    """
    return typer.Typer(
        help=help,
        epilog=EXIT_CODES,
        add_completion=False,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
        **options,
    )


def fail(message: str, code: ExitCode = ExitCode.FAILED) -> NoReturn:
    """End the program with a line on standard error.

    Parameters
    ----------
    message : str
        What went wrong and what to do.
    code : ExitCode
        The program's exit code.

    Raises
    ------
    typer.Exit
        Always.
    """
    typer.echo(f"error: {message}", err=True)
    raise typer.Exit(code)


def checked_settings(file: Path, listeners: Sequence[str] = ()) -> Settings:
    """Return whole settings, or print all errors and end the program.

    Parameters
    ----------
    file : pathlib.Path
        The settings file.
    listeners : sequence of str
        Fields of `Listen` that the program needs.

    Returns
    -------
    settings : Settings
        Checked settings.

    Raises
    ------
    typer.Exit
        With `ExitCode.BAD_SETTINGS` where something is wrong.
    """
    settings = load_settings(file)
    if isinstance(settings, Settings):
        errors: list[SettingsError] = require_listeners(settings, listeners)
        if not errors:
            return settings
        settings = errors
    for error in settings:
        typer.echo(f"{file}: {error}", err=True)
    raise typer.Exit(ExitCode.BAD_SETTINGS)


async def watch_signals(
    stop: trio.Event,
    cut_short: Callable[[], None],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Turn the first stop signal into a planned stop, the second into an end.

    Parameters
    ----------
    stop : trio.Event
        Set at the first SIGTERM or SIGINT.
    cut_short : callable
        Called at the second.
    task_status : trio.TaskStatus
        Told once signals are caught.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            name = signal.Signals(number).name
            if stop.is_set():
                log.warning("stop cut short", signal=name)
                cut_short()
            else:
                log.info("planned stop; a second signal cuts it short", signal=name)
                stop.set()


async def run_with_signals(async_main: AsyncMain, settings: Settings) -> ExitCode:
    """Run a main until it returns or the stop is cut short."""
    stop = trio.Event()
    done = False
    async with trio.open_nursery() as nursery:
        cancel = nursery.cancel_scope.cancel
        await nursery.start(watch_signals, stop, cancel)
        await async_main(settings, stop, SocketNetwork())
        done = True
        cancel()
    return ExitCode.OK if done else ExitCode.FAILED


def leaves(group: BaseExceptionGroup) -> list[BaseException]:
    """Return the errors of a group and of the groups in it."""
    found = []
    for error in group.exceptions:
        nested = isinstance(error, BaseExceptionGroup)
        found += leaves(error) if nested else [error]
    return found


def run_process(async_main: AsyncMain, settings: Settings) -> ExitCode:
    """Run the main of a long-lived process to its end.

    The first SIGTERM or SIGINT asks for a planned stop by setting the event that
    ``async_main`` is given; a second one cancels ``async_main``.

    Parameters
    ----------
    async_main : callable
        Called with the settings, the stop event and the network; returns when the
        planned stop is over.
    settings : Settings
        Checked settings.

    Returns
    -------
    code : ExitCode
        `ExitCode.OK` after a planned stop that ended whole.
    """
    code = ExitCode.FAILED
    try:
        code = trio.run(run_with_signals, async_main, settings)
    except* OSError as group:
        # An address that is taken or not ours is a fault of the settings or the
        # machine, which a sentence explains better than a traceback.
        for error in leaves(group):
            log.error("cannot go on", error=str(error))
    finally:
        flush_lines()
    return code


def run_program(
    file: Path,
    listeners: Sequence[str],
    load_main: Callable[[], AsyncMain],
) -> NoReturn:
    """Load the settings, set up the logs, run the main and exit.

    Parameters
    ----------
    file : pathlib.Path
        The settings file.
    listeners : sequence of str
        Fields of `Listen` that the program needs.
    load_main : callable
        Imports and returns the main.

    Raises
    ------
    typer.Exit
        Always.
    """
    settings = checked_settings(file, listeners)
    configure_logs(settings.log.format, settings.log.level)
    raise typer.Exit(run_process(load_main(), settings))
