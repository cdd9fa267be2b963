"""``rosemaryknot-replay platform``: nodes on the users' platform, in virtual time."""

from pathlib import Path
from typing import Annotated

import typer

from rosemaryknot.process.command_line import ExitCode, fail
from rosemaryknot.replay.virtual_time import run_in_virtual_time
from rosemaryknot.standin.users.play import (
    Play,
    PlayResult,
    load_play,
    random_play,
    run_play,
)

__all__ = ["run_platform"]

PlayFile = Annotated[
    Path | None,
    typer.Argument(metavar="[FILE]", help="Load and faults, JSON; drawn where none."),
]
Seed = Annotated[int, typer.Option(help="First seed of draws and jitter.")]
Seeds = Annotated[int, typer.Option(help="How many seeds are played.")]


def chosen_play(file: Path | None, seed: int) -> Play:
    """Return the play of a file, or one drawn by the seed."""
    if file is None:
        return random_play(seed)
    try:
        return load_play(file)
    except (OSError, ValueError, TypeError) as error:
        fail(f"{file}: {error}", ExitCode.BAD_USAGE)


def run_platform(file: PlayFile = None, seed: Seed = 1, seeds: Seeds = 1) -> None:
    """Play a load and faults against nodes, and check what callers and servers see.

    Prints a line for each seed: a promise that was not kept is named with the first
    request that shows it. Exit code 1 where there is one.
    """
    violations = 0
    for number in range(seed, seed + seeds):
        play = chosen_play(file, number)
        result: PlayResult = run_in_virtual_time(number, run_play, play, number)
        violations += len(result.violations)
        typer.echo(f"seed {number} {result.to_json()}")
        for violation in result.violations:
            typer.echo(f"  {violation.promise}: {violation.detail}")
    if violations:
        raise typer.Exit(ExitCode.FAILED)
