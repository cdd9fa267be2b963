"""Common code of the operators' commands: options, requests to an agent, output."""

import json
import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import httpx
import trio
import typer

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import Network, SocketNetwork
from rosemaryknot.process.command_line import (
    ExitCode,
    VersionOption,
    fail,
    new_application,
)
from rosemaryknot.process.settings import parse_address
from rosemaryknot.values.nodes import Address

__all__ = [
    "AgentResponse",
    "AgentOptions",
    "JsonOption",
    "NoResponse",
    "application",
    "request_agent",
    "call_agent",
    "exit_code_of",
    "print_json",
    "print_table",
]

TIMEOUT_S = 10.0
KEY_ENV = "ROSEMARYKNOT_KEY"

application = new_application(
    "Show and change what a region of rosemaryknot does.", no_args_is_help=True
)

JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]


@dataclass(slots=True)
class AgentOptions:
    """Address of the agent and credentials of the operator.

    Attributes
    ----------
    agent : Address or None
        Address of an agent's operators' API; None if none was given.
    key : str
        The operator's API key; empty if none was given.
    """

    agent: Address | None
    key: str


@dataclass(slots=True)
class AgentResponse:
    """Response of an agent.

    Attributes
    ----------
    status : int
        HTTP status.
    body : dict
        JSON object of the response body.
    """

    status: int
    body: dict[str, Any]


@dataclass(slots=True)
class NoResponse:
    """Reason for a missing or unusable response of an agent.

    Attributes
    ----------
    code : ExitCode
        Exit code of the command.
    detail : str
        Description for the operator.
    """

    code: ExitCode
    detail: str


def agent_address(text: str | None) -> Address | None:
    """Parse the agent's address, or end the program if it is invalid."""
    if text is None:
        return None
    try:
        return parse_address(text)
    except ValueError as error:
        fail(f"--agent {error}", ExitCode.BAD_USAGE)


def operator_key(file: Path | None) -> str:
    """Return the operator's API key from a file or from the environment."""
    if file is None:
        return os.environ.get(KEY_ENV, "").strip()
    try:
        return file.read_text(encoding="utf-8").strip()
    except (OSError, ValueError):
        fail(f"--key-file {file} cannot be read", ExitCode.BAD_USAGE)


@application.callback()
def admin(
    context: typer.Context,
    agent: Annotated[
        str | None,
        typer.Option(
            envvar="ROSEMARYKNOT_AGENT",
            metavar="IP:PORT",
            help="Operators' address of any agent of the region.",
        ),
    ] = None,
    key_file: Annotated[
        Path | None,
        typer.Option(
            envvar="ROSEMARYKNOT_KEY_FILE",
            metavar="FILE",
            help=f"File with your API key; without it {KEY_ENV} is read.",
        ),
    ] = None,
    version: VersionOption = False,
) -> None:
    """Show and change what a region of rosemaryknot does."""
    context.obj = AgentOptions(agent_address(agent), operator_key(key_file))


def exit_code_of(status: int) -> ExitCode:
    """Return the exit code for an HTTP status.

    Examples
    --------
    >>> exit_code_of(200).name, exit_code_of(409).name, exit_code_of(504).name
    ('OK', 'REFUSED', 'UNKNOWN')
    """
    if status < 300:
        return ExitCode.OK
    if status == httpx.codes.GATEWAY_TIMEOUT:
        return ExitCode.UNKNOWN
    if status < 500:
        return ExitCode.REFUSED
    return ExitCode.FAILED


async def send_request(
    network: Network,
    options: AgentOptions,
    method: str,
    path: str,
    headers: Mapping[str, str],
    content: bytes | None,
) -> AgentResponse:
    """Send one request and return the response, which must be a JSON object."""
    request_headers = dict(headers)
    if options.key:
        request_headers["Authorization"] = f"Bearer {options.key}"
    async with http_client(network, TIMEOUT_S) as client:
        response = await client.request(
            method,
            f"http://{options.agent}{path}",
            headers=request_headers,
            content=content,
        )
    body = response.json()
    if not isinstance(body, dict):
        raise ValueError("response body is not a JSON object")
    return AgentResponse(response.status_code, body)


async def request_agent(
    network: Network,
    options: AgentOptions,
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    content: bytes | None = None,
) -> AgentResponse | NoResponse:
    """Send one request to an agent.

    Parameters
    ----------
    network : Network
        Network that opens the connection.
    options : AgentOptions
        The agent and the key.
    method, path : str
        Method and path of the operators' API.
    headers : mapping of str to str, optional
        Additional headers.
    content : bytes, optional
        Request body.

    Returns
    -------
    response : AgentResponse or NoResponse
        The agent's response, including refusals, or why there is none.
    """
    agent = options.agent
    if agent is None:
        detail = "give --agent IP:PORT or set ROSEMARYKNOT_AGENT"
        return NoResponse(ExitCode.BAD_USAGE, detail)
    try:
        return await send_request(
            network, options, method, path, headers or {}, content
        )
    except (httpx.ConnectError, httpx.ConnectTimeout):
        detail = f"cannot connect to agent {agent}; nothing was sent"
        return NoResponse(ExitCode.UNREACHABLE, detail)
    except httpx.TransportError:
        if method == "GET":
            return NoResponse(ExitCode.UNREACHABLE, f"agent {agent} did not respond")
        # The agent may have received the complete request. If the command reported a
        # failure, the operator would submit the change a second time.
        detail = f"agent {agent} did not respond; the change may have been applied"
        return NoResponse(ExitCode.UNKNOWN, detail)
    except ValueError:
        detail = f"{agent} does not provide the operators' API"
        return NoResponse(ExitCode.FAILED, detail)


def call_agent(
    options: AgentOptions,
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    content: bytes | None = None,
) -> AgentResponse:
    """Send one request to an agent, or end the program if there is no response.

    Parameters
    ----------
    options : AgentOptions
        The agent and the key, from ``context.obj``.
    method, path : str
        Method and path of the operators' API.
    headers : mapping of str to str, optional
        Additional headers.
    content : bytes, optional
        Request body.

    Returns
    -------
    response : AgentResponse
        The agent's response, including refusals; see `exit_code_of`.

    Raises
    ------
    typer.Exit
        With the code of the `NoResponse` if there is no response.
    """
    response = trio.run(
        request_agent, SocketNetwork(), options, method, path, headers, content
    )
    if isinstance(response, NoResponse):
        fail(response.detail, response.code)
    return response


def print_json(value: Any) -> None:
    """Print a value as JSON on one line."""
    typer.echo(json.dumps(value, default=str))


def print_table(titles: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as an aligned table.

    Parameters
    ----------
    titles : sequence of str
        Column titles.
    rows : sequence of sequence
        One value for each column.

    Examples
    --------
    >>> print_table(["node", "zone"], [["waco-a-1", "waco-a"]])
    node      zone
    waco-a-1  waco-a
    """
    table = [[str(cell) for cell in row] for row in [titles, *rows]]
    widths = [max(len(cell) for cell in column) for column in zip(*table, strict=True)]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        typer.echo("  ".join(cells).rstrip())
