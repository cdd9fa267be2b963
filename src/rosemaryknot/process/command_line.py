"""Common code of the command lines of all programs."""

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

0 done; a graceful shutdown was completed.

1 failed, or a graceful shutdown was aborted.

2 wrong usage: see --help.

3 the settings file is missing or wrong.

4 refused: no permission, bad input, or the base version is stale.

5 unreachable: there was no response; nothing was changed.

6 unknown: the response was lost, so the change may be active; query again.
"""


def print_version(wanted: bool) -> None:
    """Print the version and end the program if requested."""
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
    """Return a typer application whose help lists the exit codes.

    Parameters
    ----------
    help : str
        Description of the program, understandable without other documentation.
    **options
        Further options of `typer.Typer`.

    Returns
    -------
    application : typer.Typer
        Application without commands. It prints plain tracebacks, since those of
        typer show local variables, which may contain secrets.
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
    """Print an error on standard error and end the program.

    Parameters
    ----------
    message : str
        What failed and what the operator can do.
    code : ExitCode
        Exit code of the program.

    Raises
    ------
    typer.Exit
        Always.
    """
    typer.echo(f"error: {message}", err=True)
    raise typer.Exit(code)


def checked_settings(file: Path, listeners: Sequence[str] = ()) -> Settings:
    """Return valid settings, or print all errors and end the program.

    Parameters
    ----------
    file : pathlib.Path
        The settings file.
    listeners : sequence of str
        Fields of `Listen` that the program needs.

    Returns
    -------
    settings : Settings
        Validated settings.

    Raises
    ------
    typer.Exit
        With `ExitCode.BAD_SETTINGS` if there are errors.
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
    abort: Callable[[], None],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Start a graceful shutdown at the first signal and abort it at the second.

    Parameters
    ----------
    stop : trio.Event
        Event that is set at the first SIGTERM or SIGINT.
    abort : callable
        Function that is called at the second signal.
    task_status : trio.TaskStatus
        Status that is set as soon as signals are handled.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            name = signal.Signals(number).name
            if stop.is_set():
                log.warning("graceful shutdown aborted by a second signal", signal=name)
                abort()
            else:
                log.info("graceful shutdown; a second signal aborts it", signal=name)
                stop.set()


async def run_with_signals(async_main: AsyncMain, settings: Settings) -> ExitCode:
    """Run a main function until it returns or the shutdown is aborted."""
    stop = trio.Event()
    done = False
    async with trio.open_nursery() as nursery:
        cancel = nursery.cancel_scope.cancel
        await nursery.start(watch_signals, stop, cancel)
        await async_main(settings, stop, SocketNetwork())
        done = True
        cancel()
    return ExitCode.OK if done else ExitCode.FAILED


def leaf_errors(group: BaseExceptionGroup) -> list[BaseException]:
    """Return the errors of an exception group and of its nested groups."""
    found = []
    for error in group.exceptions:
        nested = isinstance(error, BaseExceptionGroup)
        found += leaf_errors(error) if nested else [error]
    return found


def run_process(async_main: AsyncMain, settings: Settings) -> ExitCode:
    """Run the main function of a long-running process.

    The first SIGTERM or SIGINT requests a graceful shutdown by setting the event that
    is passed to ``async_main``; a second one cancels ``async_main``.

    Parameters
    ----------
    async_main : callable
        Called with the settings, the stop event and the network; returns when the
        graceful shutdown is complete.
    settings : Settings
        Validated settings.

    Returns
    -------
    code : ExitCode
        `ExitCode.OK` after a complete graceful shutdown.
    """
    code = ExitCode.FAILED
    try:
        code = trio.run(run_with_signals, async_main, settings)
    except* OSError as group:
        # An address that is in use or not assigned to this machine is an error of the
        # settings or the machine; a message explains it better than a traceback.
        for error in leaf_errors(group):
            log.error("operating system error; the process ends", error=str(error))
    finally:
        flush_lines()
    return code


def run_program(
    file: Path,
    listeners: Sequence[str],
    load_main: Callable[[], AsyncMain],
) -> NoReturn:
    """Load the settings, configure logging, run the main function and exit.

    Parameters
    ----------
    file : pathlib.Path
        The settings file.
    listeners : sequence of str
        Fields of `Listen` that the program needs.
    load_main : callable
        Function that imports and returns the main function.

    Raises
    ------
    typer.Exit
        Always.
    """
    settings = checked_settings(file, listeners)
    configure_logs(settings.log.format, settings.log.level)
    raise typer.Exit(run_process(load_main(), settings))
