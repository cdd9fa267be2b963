"""Operators' commands about the state of nodes and requests."""

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
from rosemaryknot.process.admin_outcomes import checked
from rosemaryknot.process.command_line import ExitCode

__all__ = ["drain", "explain", "status"]


@application.command()
def status(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show an agent's view: nodes, configuration, servers, alarms.

    Exit code 1 while there is an alarm, so that a script notices.
    """
    body = checked(call_agent(context.obj, "GET", "/v1/status"))
    if as_json:
        print_json(body)
    else:
        print_status(body)
    if body.get("alarms"):
        raise typer.Exit(ExitCode.FAILED)


def print_status(body: dict[str, Any]) -> None:
    """Print a status for people."""
    node = body["node"]
    entries = entries_text(node["entries"])
    typer.echo(f"{node['name']} in {node['zone']}, {entries} connected")
    typer.echo(f"configuration {body['configuration']['number']} in force\n")
    peers = [
        [peer["name"], peer["zone"], peer["state"], yes(peer["linked"])]
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
        fields = ", ".join(f"{key} {short(value)}" for key, value in form.items())
        typer.echo(f"at most once by {name}: {fields or 'nothing to tell'}")
    for placed in body.get("placement", []):
        typer.echo(placement_line(placed))
    for text in body["alarms"]:
        typer.echo(f"ALARM: {text}")


def placement_line(placed: dict[str, Any]) -> str:
    r"""Return what is known of one service's placement for people.

    Examples
    --------
    >>> placed = {"service": "chat", "held_here": False, "holder": "waco-a-1/7"}
    >>> placement_line(placed | {"fencing": 3, "pending": [], "leaving": ["e1"]})
    'placement of chat: held by waco-a-1/7, number 3\n  leaving: e1'
    """
    line = f"placement of {placed['service']}: "
    if placed["held_here"]:
        line += f"held here, number {placed['fencing']}"
        line += f", {placed['cost_per_hour']} an hour"
        line += "" if placed["settled"] else ", still reading back"
    elif placed["holder"]:
        line += f"held by {placed['holder']}, number {placed['fencing']}"
    else:
        line += f"ask {', '.join(placed['candidates'])}"
    for order in placed["pending"]:
        line += f"\n  pending for {order['age_s']} s: {order['order']}"
    if placed["leaving"]:
        line += f"\n  leaving: {', '.join(placed['leaving'])}"
    return line


def entries_text(count: int) -> str:
    """Return a number of entries for people."""
    return "1 entry" if count == 1 else f"{count} entries"


def yes(value: bool) -> str:
    """Return a truth value for people."""
    return "yes" if value else "no"


def short(value: Any) -> str:
    """Return a number, or how many a list or map holds."""
    return str(len(value)) if isinstance(value, list | dict) else str(value)


@application.command()
def explain(
    context: typer.Context,
    request: Annotated[str, typer.Argument(help="Id from Rosemaryknot-Request.")],
    as_json: JsonOption = False,
) -> None:
    """Tell a request's story: where it ran, moved, and why.

    The nodes remember the latest requests only. Exit code 4 when none of them
    remembers this one, 1 when some could not be asked.
    """
    path = f"/v1/explain/{quote(request, safe='')}"
    body = checked(call_agent(context.obj, "GET", path))
    if as_json:
        print_json(body)
    else:
        print_story(body)
    if not body["decisions"]:
        raise typer.Exit(ExitCode.REFUSED)
    if body["not_reached"]:
        raise typer.Exit(ExitCode.FAILED)


def print_story(body: dict[str, Any]) -> None:
    """Print the decisions about a request for people."""
    for decision in body["decisions"]:
        fields = decision.get("fields", {}).items()
        values = " ".join(f"{name}={value}" for name, value in fields if value != "")
        line = f"{decision['time']} {decision['node']} {decision['part']}:"
        typer.echo(f"{line} {decision['text']} {values}".rstrip())
    if not body["decisions"]:
        typer.echo(f"no node remembers {body['request']}")
    if body["not_reached"]:
        typer.echo(f"could not ask {', '.join(body['not_reached'])}")


@application.command()
def drain(
    context: typer.Context,
    node: Annotated[str, typer.Argument(help="Name of the node, as in `status`.")],
    as_json: JsonOption = False,
) -> None:
    """Begin the planned stop of a node: its entries and its agent.

    Its entries refuse new requests at once and end those in flight; its agent hands
    over what it owns. Returns when the stop has begun.
    """
    content = json.dumps({"node": node}).encode()
    answer = call_agent(context.obj, "POST", "/v1/drain", content=content)
    body = checked(answer)
    if as_json:
        print_json(body)
    else:
        typer.echo(f"{node} is stopping, with {entries_text(body['entries'])}")
