"""What the operators' commands share: the agent's address, the key, the output."""

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
    "AgentAnswer",
    "AgentOptions",
    "JsonOption",
    "NoAnswer",
    "application",
    "ask_agent",
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
    """Where the agent is and how to prove who asks.

    Attributes
    ----------
    agent : Address or None
        Operators' address of an agent.
    key : str
        The operator's API key; empty where none was given.
    """

    agent: Address | None
    key: str


@dataclass(slots=True)
class AgentAnswer:
    """Answer of an agent.

    Attributes
    ----------
    status : int
        HTTP status.
    body : dict
        The JSON object of the answer.
    """

    status: int
    body: dict[str, Any]


@dataclass(slots=True)
class NoAnswer:
    """Why there is no answer of an agent.

    Attributes
    ----------
    code : ExitCode
        What it means for the command.
    detail : str
        A sentence for people.
    """

    code: ExitCode
    detail: str


def agent_address(text: str | None) -> Address | None:
    """Return the agent's address; a wrong one ends the program."""
    if text is None:
        return None
    try:
        return parse_address(text)
    except ValueError as error:
        fail(f"--agent {error}", ExitCode.BAD_USAGE)


def operator_key(file: Path | None) -> str:
    """Return the operator's key from a file or from the environment."""
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


async def exchange(
    network: Network,
    options: AgentOptions,
    method: str,
    path: str,
    headers: Mapping[str, str],
    content: bytes | None,
) -> AgentAnswer:
    """Send one request and return the JSON object that answers it."""
    sent = dict(headers)
    if options.key:
        sent["Authorization"] = f"Bearer {options.key}"
    async with http_client(network, TIMEOUT_S) as client:
        response = await client.request(
            method, f"http://{options.agent}{path}", headers=sent, content=content
        )
    body = response.json()
    if not isinstance(body, dict):
        raise ValueError("no JSON object")
    return AgentAnswer(response.status_code, body)


async def ask_agent(
    network: Network,
    options: AgentOptions,
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    content: bytes | None = None,
) -> AgentAnswer | NoAnswer:
    """Send one request to an agent.

    Parameters
    ----------
    network : Network
        Where the connection comes from.
    options : AgentOptions
        The agent and the key.
    method, path : str
        Of the operators' API.
    headers : mapping of str to str, optional
        Further headers.
    content : bytes, optional
        The body.

    Returns
    -------
    answer : AgentAnswer or NoAnswer
        Whatever the agent said, or why nothing came.
    """
    agent = options.agent
    if agent is None:
        detail = "give --agent IP:PORT or set ROSEMARYKNOT_AGENT"
        return NoAnswer(ExitCode.BAD_USAGE, detail)
    try:
        return await exchange(network, options, method, path, headers or {}, content)
    except (httpx.ConnectError, httpx.ConnectTimeout):
        detail = f"agent {agent} does not answer; nothing was sent"
        return NoAnswer(ExitCode.UNREACHABLE, detail)
    except httpx.TransportError:
        if method == "GET":
            return NoAnswer(ExitCode.UNREACHABLE, f"agent {agent} gave no answer")
        # The request may have arrived whole: a person who reads "failed" here would
        # send the change again, on top of itself.
        detail = f"agent {agent} gave no answer; the change may be in force"
        return NoAnswer(ExitCode.UNKNOWN, detail)
    except ValueError:
        detail = f"{agent} does not speak the operators' API"
        return NoAnswer(ExitCode.FAILED, detail)


def call_agent(
    options: AgentOptions,
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    content: bytes | None = None,
) -> AgentAnswer:
    """Send one request to an agent, or end the program when it gives no answer.

    Parameters
    ----------
    options : AgentOptions
        The agent and the key, from ``context.obj``.
    method, path : str
        Of the operators' API.
    headers : mapping of str to str, optional
        Further headers.
    content : bytes, optional
        The body.

    Returns
    -------
    answer : AgentAnswer
        Whatever the agent said, refusals too; see `exit_code_of`.

    Raises
    ------
    typer.Exit
        With the code of the `NoAnswer` where there is no answer.
    """
    answer = trio.run(
        ask_agent, SocketNetwork(), options, method, path, headers, content
    )
    if isinstance(answer, NoAnswer):
        fail(answer.detail, answer.code)
    return answer


def print_json(value: Any) -> None:
    """Print a value for programs, on one line."""
    typer.echo(json.dumps(value, default=str))


def print_table(titles: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows for people.

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
