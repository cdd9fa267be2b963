"""The command ``rosemaryknot-standin``: stand-ins for demo, tests and experiments."""

import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Protocol

import trio
import typer

from rosemaryknot.connection.network import Network, SocketNetwork
from rosemaryknot.process.command_line import (
    ExitCode,
    VersionOption,
    fail,
    new_application,
)
from rosemaryknot.standin.batch import EngineSettings
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.plain import PlainSettings, PlainStandIn
from rosemaryknot.values.nodes import Address, BackendServer

__all__ = ["application", "main"]

application = new_application(
    "Run small stand-ins of the platform and the backend servers, to try things out.",
    no_args_is_help=True,
)

Listen = Annotated[
    str, typer.Option(metavar="IP:PORT", help="Where to listen; port 0 takes any.")
]


class StandIn(Protocol):
    """What the command can run."""

    async def serve(
        self,
        network: Network,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""


BUILDERS: dict[str, Callable[[dict[str, Any]], StandIn]] = {}


def builder(kind: str) -> Callable:
    """Register a function that builds a kind of stand-in from its JSON settings."""

    def register(function: Callable) -> Callable:
        BUILDERS[kind] = function
        return function

    return register


@builder("engine")
def build_engine(settings: dict[str, Any]) -> EngineStandIn:
    """Build an engine from the fields of `EngineSettings`."""
    return EngineStandIn(EngineSettings(**settings))


@builder("plain")
def build_plain(settings: dict[str, Any]) -> PlainStandIn:
    """Build a plain service from the fields of `PlainSettings`."""
    return PlainStandIn(PlainSettings(**settings))


@builder("platform")
def build_platform(settings: dict[str, Any]) -> StandIn:
    """Build a platform that lists the given instances."""
    from rosemaryknot.standin.platform import PlatformStandIn

    platform = PlatformStandIn()
    for fields in settings.pop("instances", []):
        platform.add_instance(BackendServer(**fields))
    if settings:
        raise TypeError(f"unknown settings {', '.join(sorted(settings))}")
    return platform


def read_list(file: Path) -> list[dict[str, Any]]:
    """Read a JSON list of objects, or end with the reason."""
    try:
        value = json.loads(file.read_text())
    except (OSError, ValueError) as error:
        fail(f"{file}: {error}", ExitCode.BAD_SETTINGS)
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        fail(f"{file}: must be a list of objects", ExitCode.BAD_SETTINGS)
    return value


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``, or end with the reason."""
    try:
        return Address.from_text(text)
    except ValueError as error:
        fail(str(error), ExitCode.BAD_USAGE)


def build(kind: str, settings: dict[str, Any]) -> StandIn:
    """Build a stand-in, or end with the reason."""
    if kind not in BUILDERS:
        kinds = ", ".join(sorted(BUILDERS))
        fail(f"unknown kind {kind!r}; kinds are {kinds}", ExitCode.BAD_SETTINGS)
    try:
        return BUILDERS[kind](settings)
    except TypeError as error:
        fail(f"{kind}: {error}", ExitCode.BAD_SETTINGS)


async def end_on_signal(
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """End the process at SIGTERM or SIGINT.

    Cancelling the servers waits for shielded writes: a stand-in whose caller had
    stopped reading lived on for up to 20 s after SIGTERM. Ending without them is
    enough, since a stand-in keeps nothing that must last.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            sys.stdout.flush()
            os._exit(ExitCode.OK)


async def serve_one(kind: str, standin: StandIn, address: Address) -> None:
    """Serve one stand-in and say where."""
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(standin.serve, SocketNetwork(), address)
        print(f"standin: {kind} listens at {bound}", flush=True)


async def serve_all(standins: list[tuple[str, StandIn, Address]]) -> None:
    """Serve until a signal comes or the last stand-in has died."""
    async with trio.open_nursery() as nursery:
        await nursery.start(end_on_signal)
        async with trio.open_nursery() as servers:
            for kind, standin, address in standins:
                servers.start_soon(serve_one, kind, standin, address)
        nursery.cancel_scope.cancel()


def first_error(error: BaseException) -> str:
    """Return the text of the first error of nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)


def run(standins: list[tuple[str, StandIn, Address]]) -> None:
    """Run stand-ins until a signal, or end with the reason."""
    try:
        trio.run(serve_all, standins)
    except* OSError as errors:
        fail(first_error(errors))


@application.callback()
def options(version: VersionOption = False) -> None:
    """Take the options of all commands."""


@application.command()
def engine(
    listen: Listen = "127.0.0.1:0",
    step_time_ms: Annotated[float, typer.Option(help="Time of a step.")] = 3.0,
    slots: Annotated[int, typer.Option(help="Generations at once.")] = 32,
    cache_blocks: Annotated[int, typer.Option(help="Prefix cache, in blocks.")] = 2000,
    checks_fencing: Annotated[
        bool, typer.Option(help="Refuse orders with an old fencing number.")
    ] = True,
) -> None:
    """Run a model engine."""
    settings = EngineSettings(
        step_time_s=step_time_ms / 1000,
        slots=slots,
        cache_blocks=cache_blocks,
        checks_fencing=checks_fencing,
    )
    run([("engine", EngineStandIn(settings), parse_address(listen))])


@application.command()
def plain(
    listen: Listen = "127.0.0.1:0",
    service_time_ms: Annotated[float, typer.Option(help="Time of a call.")] = 5.0,
    status_call: Annotated[
        bool, typer.Option(help="Offer GET /runs/ID, which tells whether ID ran.")
    ] = True,
) -> None:
    """Run a plain service with a ledger."""
    settings = PlainSettings(service_time_ms / 1000, status_call)
    run([("plain", PlainStandIn(settings), parse_address(listen))])


@application.command()
def platform(
    listen: Listen = "127.0.0.1:0",
    instances: Annotated[
        Path | None,
        typer.Option(help="JSON list of the instances that are there at start."),
    ] = None,
) -> None:
    """Run the platform: object API, instance list and cloud API."""
    listed = [] if instances is None else read_list(instances)
    standin = build("platform", {"instances": listed})
    run([("platform", standin, parse_address(listen))])


@application.command("all")
def run_set(
    file: Annotated[
        Path,
        typer.Argument(
            help='JSON list of {"kind", "listen", "settings"}; kinds are engine, '
            "plain and platform."
        ),
    ],
) -> None:
    """Run a set of stand-ins in one process."""
    standins = []
    for item in read_list(file):
        kind, listen = item.get("kind"), item.get("listen", "127.0.0.1:0")
        standin = build(kind, dict(item.get("settings", {})))
        standins.append((kind, standin, parse_address(listen)))
    run(standins)


def main() -> None:
    """Run the command."""
    application()


if __name__ == "__main__":
    main()
