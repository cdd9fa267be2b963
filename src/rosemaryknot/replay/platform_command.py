"""Command ``rosemaryknot-replay platform``: simulates nodes on the users' platform."""

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
    typer.Argument(metavar="[FILE]", help="Load and faults, JSON; random if omitted."),
]
Seed = Annotated[int, typer.Option(help="First seed of the random choices and jitter.")]
Seeds = Annotated[int, typer.Option(help="Number of seeds to run.")]


def get_play(file: Path | None, seed: int) -> Play:
    """Return the play of a file, or a random one from the seed."""
    if file is None:
        return random_play(seed)
    try:
        return load_play(file)
    except (OSError, ValueError, TypeError) as error:
        fail(f"{file}: {error}", ExitCode.BAD_USAGE)


def run_platform(file: PlayFile = None, seed: Seed = 1, seeds: Seeds = 1) -> None:
    """Run a load with faults against nodes in virtual time and check the results.

    Prints a line for each seed, and one for each violated guarantee with the first
    request that shows it. Exit code 1 if a guarantee was violated.
    """
    violations = 0
    for number in range(seed, seed + seeds):
        play = get_play(file, number)
        result: PlayResult = run_in_virtual_time(number, run_play, play, number)
        violations += len(result.violations)
        typer.echo(f"seed {number} {result.to_json()}")
        for violation in result.violations:
            typer.echo(f"  {violation.invariant}: {violation.detail}")
    if violations:
        raise typer.Exit(ExitCode.FAILED)
