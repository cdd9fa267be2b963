"""Operator commands for the shards of at-most-once execution."""

import json
from typing import Annotated, Any

import typer

from rosemaryknot.process.admin import (
    JsonOption,
    application,
    call_agent,
    exit_code_of,
    print_json,
    print_table,
)
from rosemaryknot.process.admin_outcomes import checked_body
from rosemaryknot.process.command_line import ExitCode

__all__ = ["confirm_ended", "shards"]

SHARDS = "/v1/shards"


@application.command()
def shards(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show the owners of the shards, as known to one agent.

    The exit code is 1 if an owner is not live: its shards are unavailable until it
    responds or is confirmed to have stopped.
    """
    body = checked_body(call_agent(context.obj, "GET", SHARDS))
    if as_json:
        print_json(body)
    else:
        print_shards(body)
    if any(owner["state"] != "live" for owner in body["owners"]):
        raise typer.Exit(ExitCode.FAILED)


def print_shards(body: dict[str, Any]) -> None:
    """Print the owners as a table."""
    typer.echo(f"shard map {body['map_number']}\n")
    rows = [
        [
            owner["owner"],
            owner["state"],
            f"{owner['mute_s']:.0f} s" if owner["mute_s"] else "",
            len(owner["shards"]),
            " ".join(str(index) for index in owner["shards"]),
        ]
        for owner in body["owners"]
    ]
    print_table(["owner", "state", "mute for", "count", "shards"], rows)


@application.command("confirm-ended")
def confirm_ended(
    context: typer.Context,
    node: Annotated[str, typer.Argument(help="Name of the node, as in `shards`.")],
    confirm: Annotated[
        str,
        typer.Option(
            "--confirm",
            metavar="NODE",
            help="The same name, to confirm that its machine no longer runs.",
        ),
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Confirm that a node has stopped, so that its shards are taken over.

    Use this only for a node that does not respond and that the platform no longer
    knows. If its process still runs, requests can run twice. Without --confirm nothing
    is changed, and a warning describes the risk.
    """
    content = json.dumps({"node": node, "confirm": confirm}).encode()
    path = f"{SHARDS}/confirm-ended"
    response = call_agent(context.obj, "POST", path, content=content)
    if response.body.get("outcome") == "needs_confirm" and not as_json:
        typer.echo(f"WARNING: {response.body['detail']}", err=True)
        typer.echo(f"nothing was changed; repeat with --confirm {node}", err=True)
        raise typer.Exit(exit_code_of(response.status))
    body = checked_body(response)
    if as_json:
        print_json(body)
    else:
        typer.echo(
            f"{node} is confirmed as stopped; "
            f"its {body['shards']} shards will be taken over"
        )
