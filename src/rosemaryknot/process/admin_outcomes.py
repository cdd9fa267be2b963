"""Words and exit codes for what became of a change of the configuration."""

import time
from typing import Any

import typer

from rosemaryknot.process.admin import (
    AgentAnswer,
    NoAnswer,
    exit_code_of,
    print_json,
    print_table,
)
from rosemaryknot.process.command_line import ExitCode, fail

__all__ = ["checked", "finish", "print_changes", "print_lines"]


def print_lines(lines: list[str], indent: str = "  ") -> None:
    """Print lines below a heading."""
    for line in lines:
        typer.echo(indent + line)


def time_text(unix_s: float) -> str:
    """Return a time of the epoch for people, in UTC.

    Examples
    --------
    >>> time_text(0)
    '1970-01-01 00:00:00Z'
    """
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(unix_s))


def print_changes(changes: list[dict]) -> None:
    """Print changes as a table."""
    rows = [
        [
            change["number"],
            time_text(change["unix_s"]),
            change["author"],
            change["patch_id"],
            "; ".join(change["effect"]),
        ]
        for change in changes
    ]
    print_table(["number", "time", "author", "patch", "effect"], rows)


def print_accepted(body: dict) -> None:
    """Print an accepted change."""
    typer.echo(f"accepted as {body['number']}")
    print_lines(body["effect"])


def print_dry_run(body: dict) -> None:
    """Print what a change would do."""
    typer.echo(f"would be {body['number']}; nothing was changed")
    print_lines(body["effect"])
    print_dangers(body)


def print_dangers(body: dict) -> None:
    """Print what must be confirmed."""
    for danger in body["dangers"]:
        typer.echo(f"  {danger['text']}: needs --confirm {danger['word']}")


def print_stale(body: dict) -> None:
    """Print what changed since the base of a stale change."""
    if "changes" not in body:
        print_other(body)
        return
    typer.echo(f"stale base: the current number is {body['number']}")
    print_changes(body["changes"])


def print_needs_confirm(body: dict) -> None:
    """Print what a change would take away."""
    typer.echo("not done: this takes something away")
    print_dangers(body)


def print_invalid(body: dict) -> None:
    """Print everything that is wrong with a change."""
    typer.echo("not done: the patch is wrong")
    print_lines([f"{p['path'] or '/'}: {p['text']}" for p in body["problems"]])


def print_store_conflict(body: dict) -> None:
    """Print that the store lost a version."""
    typer.echo(
        f"not done: the store holds {body['stored']}, {body['in_force']} is in"
        " force; see the page on configuration, 'The store went back'"
    )


def print_not_accepted(body: dict) -> None:
    """Print that a change never came to be."""
    typer.echo(f"not accepted and never will be; the number is {body['number']}")


def print_unknown(body: dict) -> None:
    """Print how to ask again for a change that is open."""
    patch_id = body["patch_id"]
    typer.echo(f"unknown ({body['reason']}): the change may be in force")
    typer.echo(f"ask again: rosemaryknot-admin patch-status {patch_id}")


def print_other(body: dict) -> None:
    """Print an outcome without words of its own."""
    detail = body.get("detail") or body.get("reason") or "no reason given"
    typer.echo(f"not done: {body.get('outcome', 'refused')}: {detail}")


PRINTERS = {
    "accepted": print_accepted,
    "dry_run": print_dry_run,
    "stale": print_stale,
    "needs_confirm": print_needs_confirm,
    "invalid": print_invalid,
    "store_conflict": print_store_conflict,
    "not_accepted": print_not_accepted,
    "unknown": print_unknown,
}


def code_of(answer: AgentAnswer) -> ExitCode:
    """Return the exit code for what became of a change."""
    if answer.body.get("outcome") == "not_accepted":
        return ExitCode.REFUSED
    if answer.body.get("outcome") == "store_unavailable":
        return ExitCode.UNREACHABLE
    return exit_code_of(answer.status)


def finish(answer: AgentAnswer | NoAnswer, patch_id: str, as_json: bool) -> None:
    """Print what became of a change and end the program with its code."""
    if isinstance(answer, NoAnswer):
        hint = ""
        if answer.code == ExitCode.UNKNOWN:
            hint = f"; ask again: rosemaryknot-admin patch-status {patch_id}"
        fail(answer.detail + hint, answer.code)
    if as_json:
        print_json(answer.body)
    else:
        PRINTERS.get(answer.body.get("outcome"), print_other)(answer.body)
    raise typer.Exit(code_of(answer))


def checked(answer: AgentAnswer) -> dict[str, Any]:
    """Return the body of an answer, or end the program with its refusal."""
    body = answer.body
    if answer.status >= 300:
        detail = body.get("detail") or body.get("reason") or body.get("outcome")
        fail(detail or "no reason given", code_of(answer))
    return body
