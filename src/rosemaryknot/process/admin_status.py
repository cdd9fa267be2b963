"""Operators' commands for the state of nodes and requests."""

import json
from typing import Annotated, Any
from urllib.parse import quote

import typer

from rosemaryknot.process.admin import (
    JsonOption,
    application,
    call_agent,
    print_json,
    print_table,
)
from rosemaryknot.process.admin_outcomes import checked_body
from rosemaryknot.process.command_line import ExitCode

__all__ = ["drain", "explain", "status"]


@application.command()
def status(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show an agent's view: nodes, configuration, servers, alarms.

    The exit code is 1 while there is an alarm, so that scripts can detect it.
    """
    body = checked_body(call_agent(context.obj, "GET", "/v1/status"))
    if as_json:
        print_json(body)
    else:
        print_status(body)
    if body.get("alarms"):
        raise typer.Exit(ExitCode.FAILED)


def print_status(body: dict[str, Any]) -> None:
    """Print a status as text."""
    node = body["node"]
    entries = entries_text(node["entries"])
    typer.echo(f"{node['name']} in {node['zone']}, {entries} connected")
    typer.echo(f"configuration {body['configuration']['number']} is current\n")
    peers = [
        [peer["name"], peer["zone"], peer["state"], yes_or_no(peer["linked"])]
        for peer in body["peers"]
    ]
    print_table(["node", "zone", "state", "linked"], peers)
    typer.echo("")
    servers = [
        [s["service"], s["zone"], s["state"], s["count"]] for s in body["servers"]
    ]
    print_table(["service", "zone", "state", "servers"], servers)
    typer.echo("")
    for name, form in body["at_most_once"].items():
        fields = ", ".join(
            f"{key} {value_or_length(value)}" for key, value in form.items()
        )
        typer.echo(f"at most once by {name}: {fields or 'no status'}")
    for placed in body.get("placement", []):
        typer.echo(placement_line(placed))
    for text in body["alarms"]:
        typer.echo(f"ALARM: {text}")


def placement_line(placed: dict[str, Any]) -> str:
    r"""Format the placement status of one service.

    Examples
    --------
    >>> placed = {"service": "chat", "held_here": False, "holder": "waco-a-1/7"}
    >>> placement_line(placed | {"fencing": 3, "pending": [], "leaving": ["e1"]})
    'placement of chat: held by waco-a-1/7, fencing token 3\n  leaving: e1'
    """
    line = f"placement of {placed['service']}: "
    if placed["held_here"]:
        line += f"held here, fencing token {placed['fencing']}"
        line += f", {placed['cost_per_hour']} an hour"
        line += "" if placed["settled"] else ", still reading the stored state"
    elif placed["holder"]:
        line += f"held by {placed['holder']}, fencing token {placed['fencing']}"
    else:
        line += f"query {', '.join(placed['candidates'])}"
    for order in placed["pending"]:
        line += f"\n  pending for {order['age_s']} s: {order['order']}"
    if placed["leaving"]:
        line += f"\n  leaving: {', '.join(placed['leaving'])}"
    return line


def entries_text(count: int) -> str:
    """Format a number of entries."""
    return "1 entry" if count == 1 else f"{count} entries"


def yes_or_no(value: bool) -> str:
    """Format a truth value."""
    return "yes" if value else "no"


def value_or_length(value: Any) -> str:
    """Format a value, or the length of a list or dictionary."""
    return str(len(value)) if isinstance(value, list | dict) else str(value)


@application.command()
def explain(
    context: typer.Context,
    request: Annotated[str, typer.Argument(help="Id from Rosemaryknot-Request.")],
    as_json: JsonOption = False,
) -> None:
    """Show the decisions about a request: where it ran, moved, and why.

    The nodes record the latest requests only. The exit code is 4 if none of them has
    a record of this one, and 1 if some nodes could not be reached.
    """
    path = f"/v1/explain/{quote(request, safe='')}"
    body = checked_body(call_agent(context.obj, "GET", path))
    if as_json:
        print_json(body)
    else:
        print_decisions(body)
    if not body["decisions"]:
        raise typer.Exit(ExitCode.REFUSED)
    if body["not_reached"]:
        raise typer.Exit(ExitCode.FAILED)


def print_decisions(body: dict[str, Any]) -> None:
    """Print the decisions about a request as text."""
    for decision in body["decisions"]:
        fields = decision.get("fields", {}).items()
        values = " ".join(f"{name}={value}" for name, value in fields if value != "")
        line = f"{decision['time']} {decision['node']} {decision['part']}:"
        typer.echo(f"{line} {decision['text']} {values}".rstrip())
    if not body["decisions"]:
        typer.echo(f"no node has a record of {body['request']}")
    if body["not_reached"]:
        typer.echo(f"could not reach {', '.join(body['not_reached'])}")


@application.command()
def drain(
    context: typer.Context,
    node: Annotated[str, typer.Argument(help="Name of the node, as in `status`.")],
    as_json: JsonOption = False,
) -> None:
    """Start the graceful shutdown of a node: its entries and its agent.

    The entries refuse new requests immediately and complete those in flight; the agent
    hands over what it owns. Returns when the shutdown has started.
    """
    content = json.dumps({"node": node}).encode()
    response = call_agent(context.obj, "POST", "/v1/drain", content=content)
    body = checked_body(response)
    if as_json:
        print_json(body)
    else:
        typer.echo(f"{node} is shutting down, with {entries_text(body['entries'])}")
