"""Operators' commands for the configuration."""

import json
import secrets
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote, urlencode

import trio
import typer

from rosemaryknot.connection.network import Network, SocketNetwork
from rosemaryknot.process.admin import (
    AgentOptions,
    AgentResponse,
    JsonOption,
    NoResponse,
    application,
    call_agent,
    exit_code_of,
    print_json,
    request_agent,
)
from rosemaryknot.process.admin_outcomes import (
    checked_body,
    finish,
    print_changes,
    print_lines,
)
from rosemaryknot.process.command_line import ExitCode, fail
from rosemaryknot.version.keys import new_key, new_operator_key

__all__ = ["submit_patch"]

CONFIGURATION = "/v1/configuration"
PATCH_ID_BYTES = 8
RESOLVE_ATTEMPTS = 5
RESOLVE_INTERVAL_S = 1.0
FINAL_OUTCOMES = frozenset({"accepted", "not_accepted"})

DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Show the effect without making the change.")
]
ConfirmOption = Annotated[
    list[str] | None,
    typer.Option(
        "--confirm",
        metavar="WORD",
        help="Confirmation word of a loss, as given in the refusal; may be repeated.",
    ),
]
IdOption = Annotated[
    str | None,
    typer.Option("--id", help="Patch id; reuse it to repeat a patch safely."),
]


def query(path: str, **values: Any) -> str:
    """Return a path with the given values as its query string."""
    given = {key: value for key, value in values.items() if value not in (None, False)}
    return f"{path}?{urlencode(given, doseq=True)}" if given else path


def new_patch_id() -> str:
    """Return an id for a new patch."""
    return secrets.token_hex(PATCH_ID_BYTES)


def is_unresolved(response: AgentResponse | NoResponse) -> bool:
    """Return whether a change may have been made without a response."""
    if isinstance(response, NoResponse):
        return response.code == ExitCode.UNKNOWN
    return exit_code_of(response.status) == ExitCode.UNKNOWN


async def submit_patch(
    network: Network,
    options: AgentOptions,
    method: str,
    path: str,
    base: int,
    patch_id: str,
    content: bytes | None = None,
) -> AgentResponse | NoResponse:
    """Submit a change, and query its result by id if the response is lost.

    Parameters
    ----------
    network : Network
        Network that opens the connections.
    options : AgentOptions
        The agent and the key.
    method, path : str
        Method and path of the operators' API.
    base : int
        Version number that the change applies to.
    patch_id : str
        Id of the change.
    content : bytes, optional
        Request body.

    Returns
    -------
    response : AgentResponse or NoResponse
        Result of the change; unresolved if it cannot be determined in time.
    """
    headers = {"If-Match": str(base), "Rosemaryknot-Patch": patch_id}
    response = await request_agent(network, options, method, path, headers, content)
    status_path = query(f"/v1/patches/{quote(patch_id, safe='')}", base=base)
    for _ in range(RESOLVE_ATTEMPTS):
        if not is_unresolved(response):
            break
        await trio.sleep(RESOLVE_INTERVAL_S)
        status = await request_agent(network, options, "GET", status_path)
        if isinstance(status, AgentResponse):
            if status.body.get("outcome") in FINAL_OUTCOMES:
                return status
    return response


def send_patch(
    context: typer.Context,
    operations: Any,
    base: int,
    dry_run: bool,
    confirm: list[str] | None,
    patch_id: str | None,
    as_json: bool,
) -> None:
    """Submit operations, print the result and end the program."""
    patch_id = patch_id or new_patch_id()
    path = query(CONFIGURATION, dry_run=int(dry_run) or None, confirm=confirm or None)
    content = json.dumps(operations).encode()
    response = trio.run(
        submit_patch,
        SocketNetwork(),
        context.obj,
        "PATCH",
        path,
        base,
        patch_id,
        content,
    )
    finish(response, patch_id, as_json)


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
        fail(f"{file}: invalid JSON: {error}", ExitCode.BAD_USAGE)


@application.command()
def show(
    context: typer.Context,
    at: Annotated[
        int | None, typer.Option(help="Number of an earlier version.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show the current configuration, or an earlier one."""
    body = checked_body(call_agent(context.obj, "GET", query(CONFIGURATION, at=at)))
    if as_json:
        print_json(body)
        return
    typer.echo(f"number {body['number']}")
    if body.get("conflict"):
        typer.echo("CONFLICT: two different documents have this number")
    typer.echo(json.dumps(body["document"], indent=2, sort_keys=True))


@application.command()
def patch(
    context: typer.Context,
    file: Annotated[
        Path, typer.Argument(metavar="FILE", help="JSON Patch; - for standard input.")
    ],
    base: Annotated[int, typer.Option(help="Version number the patch applies to.")],
    dry_run: DryRunOption = False,
    confirm: ConfirmOption = None,
    patch_id: IdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Change the configuration by a JSON Patch against a version number."""
    operations = read_operations(file)
    send_patch(context, operations, base, dry_run, confirm, patch_id, as_json)


@application.command("patch-status")
def patch_status(
    context: typer.Context,
    patch_id: Annotated[str, typer.Argument(metavar="ID")],
    base: Annotated[
        int | None, typer.Option(help="Base version number of the patch.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show the result of a patch whose response was lost."""
    path = query(f"/v1/patches/{quote(patch_id, safe='')}", base=base)
    finish(call_agent(context.obj, "GET", path), patch_id, as_json)


@application.command()
def history(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show the recent changes, newest first."""
    body = checked_body(call_agent(context.obj, "GET", f"{CONFIGURATION}/history"))
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
    body = checked_body(call_agent(context.obj, "GET", path))
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
    """Revert change N by a new patch; later changes of other values stay."""
    path = query(f"{CONFIGURATION}/undo", number=number)
    body = checked_body(call_agent(context.obj, "GET", path))
    operations, base = body["operations"], body["base"]
    send_patch(context, operations, base, dry_run, confirm, patch_id, as_json)


@application.command()
def restore(
    context: typer.Context,
    base: Annotated[int, typer.Option(help="Current number of this agent.")],
    patch_id: IdOption = None,
    as_json: JsonOption = False,
) -> None:
    """Store the current version of this agent again after the store has lost it.

    Also resolves a conflict of two documents with one number: the agent's is used.
    """
    patch_id = patch_id or new_patch_id()
    path = f"{CONFIGURATION}/restore"
    response = trio.run(
        submit_patch, SocketNetwork(), context.obj, "POST", path, base, patch_id
    )
    finish(response, patch_id, as_json)


@application.command("new-key")
def make_key(
    customer: Annotated[str | None, typer.Option(help="Customer's name.")] = None,
    operator: Annotated[str | None, typer.Option(help="Operator's name.")] = None,
    editor: Annotated[
        bool, typer.Option("--editor", help="May change the configuration.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Generate an API key and the patch that adds it; sends nothing."""
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
