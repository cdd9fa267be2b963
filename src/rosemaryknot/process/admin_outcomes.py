"""Output and exit codes for the results of configuration changes."""

import time
from typing import Any

import typer

from rosemaryknot.process.admin import (
    AgentResponse,
    NoResponse,
    exit_code_of,
    print_json,
    print_table,
)
from rosemaryknot.process.command_line import ExitCode, fail

__all__ = ["checked_body", "finish", "print_changes", "print_lines"]


def print_lines(lines: list[str], indent: str = "  ") -> None:
    """Print lines with an indent."""
    for line in lines:
        typer.echo(indent + line)


def time_text(unix_s: float) -> str:
    """Format a Unix time in UTC.

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
    """Print the result of a dry run."""
    typer.echo(f"would be {body['number']}; nothing was changed")
    print_lines(body["effect"])
    print_dangers(body)


def print_dangers(body: dict) -> None:
    """Print the losses that must be confirmed."""
    for danger in body["dangers"]:
        typer.echo(f"  {danger['text']}: needs --confirm {danger['word']}")


def print_stale(body: dict) -> None:
    """Print the changes since the base of a stale patch."""
    if "changes" not in body:
        print_other(body)
        return
    typer.echo(f"stale base: the current number is {body['number']}")
    print_changes(body["changes"])


def print_needs_confirm(body: dict) -> None:
    """Print the unconfirmed losses of a change."""
    typer.echo("not done: this change loses something")
    print_dangers(body)


def print_invalid(body: dict) -> None:
    """Print the errors of an invalid patch."""
    typer.echo("not done: the patch is invalid")
    print_lines([f"{p['path'] or '/'}: {p['text']}" for p in body["problems"]])


def print_store_conflict(body: dict) -> None:
    """Print that the store has lost the current version."""
    typer.echo(
        f"not done: the store holds {body['stored']}, {body['in_force']} is in"
        " force; see the page on configuration, 'The store went back'"
    )


def print_not_accepted(body: dict) -> None:
    """Print that a change was not accepted."""
    typer.echo(f"not accepted, and can no longer be; the number is {body['number']}")


def print_unknown(body: dict) -> None:
    """Print how to query the result of an unresolved change."""
    patch_id = body["patch_id"]
    typer.echo(f"unknown ({body['reason']}): the change may have been applied")
    typer.echo(f"query again: rosemaryknot-admin patch-status {patch_id}")


def print_other(body: dict) -> None:
    """Print an outcome that has no printer of its own."""
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


def code_of(response: AgentResponse) -> ExitCode:
    """Return the exit code for the result of a change."""
    if response.body.get("outcome") == "not_accepted":
        return ExitCode.REFUSED
    if response.body.get("outcome") == "store_unavailable":
        return ExitCode.UNREACHABLE
    return exit_code_of(response.status)


def finish(response: AgentResponse | NoResponse, patch_id: str, as_json: bool) -> None:
    """Print the result of a change and end the program with its exit code."""
    if isinstance(response, NoResponse):
        hint = ""
        if response.code == ExitCode.UNKNOWN:
            hint = f"; query again: rosemaryknot-admin patch-status {patch_id}"
        fail(response.detail + hint, response.code)
    if as_json:
        print_json(response.body)
    else:
        PRINTERS.get(response.body.get("outcome"), print_other)(response.body)
    raise typer.Exit(code_of(response))


def checked_body(response: AgentResponse) -> dict[str, Any]:
    """Return the body of a response, or end the program if it is a refusal."""
    body = response.body
    if response.status >= 300:
        detail = body.get("detail") or body.get("reason") or body.get("outcome")
        fail(detail or "no reason given", code_of(response))
    return body
