"""Operators' commands on the configuration."""

import json
import secrets
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote, urlencode

import trio
import typer

from rosemaryknot.connection.network import Network, SocketNetwork
from rosemaryknot.process.admin import (
    AgentAnswer,
    AgentOptions,
    JsonOption,
    NoAnswer,
    application,
    ask_agent,
    call_agent,
    exit_code_of,
    print_json,
)
from rosemaryknot.process.admin_outcomes import (
    checked,
    finish,
    print_changes,
    print_lines,
)
from rosemaryknot.process.command_line import ExitCode, fail
from rosemaryknot.version.keys import new_key, new_operator_key

__all__ = ["submit_patch"]

CONFIGURATION = "/v1/configuration"
PATCH_ID_BYTES = 8
RESOLVE_TRIES = 5
RESOLVE_PAUSE_S = 1.0
CLOSED_OUTCOMES = frozenset({"accepted", "not_accepted"})

DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Tell the effect and change nothing.")
]
ConfirmOption = Annotated[
    list[str] | None,
    typer.Option(
        "--confirm",
        metavar="WORD",
        help="Name of what is lost, as the refusal gives it; may be repeated.",
    ),
]
IdOption = Annotated[
    str | None,
    typer.Option("--id", help="Patch id; the one of before repeats a patch safely."),
]


def query(path: str, **values: Any) -> str:
    """Return a path with those values that are given."""
    given = {key: value for key, value in values.items() if value not in (None, False)}
    return f"{path}?{urlencode(given, doseq=True)}" if given else path


def new_patch_id() -> str:
    """Return an id for a new patch."""
    return secrets.token_hex(PATCH_ID_BYTES)


def is_open(answer: AgentAnswer | NoAnswer) -> bool:
    """Tell whether a change may have been made without a word of it."""
    if isinstance(answer, NoAnswer):
        return answer.code == ExitCode.UNKNOWN
    return exit_code_of(answer.status) == ExitCode.UNKNOWN


async def submit_patch(
    network: Network,
    options: AgentOptions,
    method: str,
    path: str,
    base: int,
    patch_id: str,
    content: bytes | None = None,
) -> AgentAnswer | NoAnswer:
    """Send a change, and ask by its id when the answer is lost.

    Parameters
    ----------
    network : Network
        Where connections come from.
    options : AgentOptions
        The agent and the key.
    method, path : str
        Of the operators' API.
    base : int
        Number that the change applies to.
    patch_id : str
        Id of the change.
    content : bytes, optional
        The body.

    Returns
    -------
    answer : AgentAnswer or NoAnswer
        What became of it; still open where nobody can tell in time.
    """
    headers = {"If-Match": str(base), "Rosemaryknot-Patch": patch_id}
    answer = await ask_agent(network, options, method, path, headers, content)
    status_path = query(f"/v1/patches/{quote(patch_id, safe='')}", base=base)
    for _ in range(RESOLVE_TRIES):
        if not is_open(answer):
            break
        await trio.sleep(RESOLVE_PAUSE_S)
        status = await ask_agent(network, options, "GET", status_path)
        if isinstance(status, AgentAnswer):
            if status.body.get("outcome") in CLOSED_OUTCOMES:
                return status
    return answer


def send_patch(
    context: typer.Context,
    operations: Any,
    base: int,
    dry_run: bool,
    confirm: list[str] | None,
    patch_id: str | None,
    as_json: bool,
) -> None:
    """Submit operations, print what became of them and end the program."""
    patch_id = patch_id or new_patch_id()
    path = query(CONFIGURATION, dry_run=int(dry_run) or None, confirm=confirm or None)
    content = json.dumps(operations).encode()
    answer = trio.run(
        submit_patch,
        SocketNetwork(),
        context.obj,
        "PATCH",
        path,
        base,
        patch_id,
        content,
    )
    finish(answer, patch_id, as_json)


def read_operations(file: Path) -> Any:
    """Read a JSON Patch from a file, or from standard input for ``-``."""
    try:
        text = typer.get_text_stream("stdin").read() if str(file) == "-" else None
        if text is None:
            text = file.read_text(encoding="utf-8")
        return json.loads(text)
    except OSError as error:
        fail(f"{file}: {error.strerror}", ExitCode.BAD_USAGE)
    except (ValueError, RecursionError) as error:
        fail(f"{file}: no JSON: {error}", ExitCode.BAD_USAGE)


@application.command()
def show(
    context: typer.Context,
    at: Annotated[int | None, typer.Option(help="An earlier number.")] = None,
    as_json: JsonOption = False,
) -> None:
    """Show the configuration in force, or an earlier one."""
    body = checked(call_agent(context.obj, "GET", query(CONFIGURATION, at=at)))
    if as_json:
        print_json(body)
        return
    typer.echo(f"number {body['number']}")
    if body.get("conflict"):
        typer.echo("CONFLICT: two documents are known under this number")
    typer.echo(json.dumps(body["document"], indent=2, sort_keys=True))


@application.command()
def patch(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(metavar="FILE", help="JSON Patch; - reads.")],
    base: Annotated[int, typer.Option(help="Number that you looked at.")],
    dry_run: DryRunOption = False,
    confirm: ConfirmOption = None,
    patch_id: IdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Change the configuration by a JSON Patch against a number."""
    operations = read_operations(file)
    send_patch(context, operations, base, dry_run, confirm, patch_id, as_json)


@application.command("patch-status")
def patch_status(
    context: typer.Context,
    patch_id: Annotated[str, typer.Argument(metavar="ID")],
    base: Annotated[int | None, typer.Option(help="Base of the patch.")] = None,
    as_json: JsonOption = False,
) -> None:
    """Ask what became of a patch whose answer was lost."""
    path = query(f"/v1/patches/{quote(patch_id, safe='')}", base=base)
    finish(call_agent(context.obj, "GET", path), patch_id, as_json)


@application.command()
def history(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show the recent changes, newest first."""
    body = checked(call_agent(context.obj, "GET", f"{CONFIGURATION}/history"))
    if as_json:
        print_json(body)
    else:
        print_changes(body["changes"])


@application.command()
def diff(
    context: typer.Context,
    old: Annotated[int, typer.Argument(metavar="N")],
    new: Annotated[int, typer.Argument(metavar="M")],
    as_json: JsonOption = False,
) -> None:
    """Show what changed from number N to number M."""
    path = f"{CONFIGURATION}/diff?from={old}&to={new}"
    body = checked(call_agent(context.obj, "GET", path))
    if as_json:
        print_json(body)
    else:
        print_lines(body["effect"] or ["no change"], indent="")


@application.command()
def undo(
    context: typer.Context,
    number: Annotated[int, typer.Argument(metavar="N")],
    dry_run: DryRunOption = False,
    confirm: ConfirmOption = None,
    patch_id: IdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Take change N back by a new patch; later changes elsewhere stay."""
    path = query(f"{CONFIGURATION}/undo", number=number)
    body = checked(call_agent(context.obj, "GET", path))
    operations, base = body["operations"], body["base"]
    send_patch(context, operations, base, dry_run, confirm, patch_id, as_json)


@application.command()
def restore(
    context: typer.Context,
    base: Annotated[int, typer.Option(help="Number in force at this agent.")],
    patch_id: IdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Store the version in force at this agent again, after the store lost it.

    Also settles a conflict of two documents under one number: the agent's wins.
    """
    patch_id = patch_id or new_patch_id()
    path = f"{CONFIGURATION}/restore"
    answer = trio.run(
        submit_patch, SocketNetwork(), context.obj, "POST", path, base, patch_id
    )
    finish(answer, patch_id, as_json)


@application.command("new-key")
def make_key(
    customer: Annotated[str | None, typer.Option(help="Customer's name.")] = None,
    operator: Annotated[str | None, typer.Option(help="Operator's name.")] = None,
    editor: Annotated[bool, typer.Option("--editor", help="May change.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Make an API key and the patch that adds it; sends nothing."""
    if (customer is None) == (operator is None):
        fail("give --customer or --operator", ExitCode.BAD_USAGE)
    if customer is not None:
        api_key, stored = new_key(customer)
    else:
        api_key, stored = new_operator_key(operator, "editor" if editor else "viewer")
    operations = [
        {"op": "add", "path": f"/keys/{key_id}", "value": entry}
        for key_id, entry in stored.items()
    ]
    if as_json:
        print_json({"api_key": api_key, "operations": operations})
        return
    typer.echo(f"API key, shown only now: {api_key}")
    typer.echo(json.dumps(operations))
