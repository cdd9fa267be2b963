"""Run three zones on loopback, send both users' requests, reclaim a zone, report."""

import json
import signal
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import httpx
import trio
import typer
from demo_callers import READ_TIMEOUT_S, Balancer, Caller
from demo_fleet import Fleet, say
from demo_operator import submit_patches
from demo_plan import Plan, make_plan
from demo_report import Ledgers, Summary, print_table, summarize
from demo_requests import Request, make_requests

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.network import SocketNetwork

__all__ = ["main"]

FOLDER = Path(__file__).resolve().parent.parent / ".demo"
RECLAIMED_ZONE = "waco-a"
LOAD_S = 16.0
PATCH_AT_S = 2.5
RECLAIM_AT_S = 4.0
NOTICE_S = 3.0
KILL_AT_S = 5.0
KILLED_NODE = "waco-b-1"
PROGRESS_S = 2.0
SEED = 20261202
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


class Demo:
    """One run.

    Parameters
    ----------
    plan : Plan
        What runs where.
    client : httpx.AsyncClient
        For callers, platform and ledgers.
    kill_entry : bool
        Whether an entry dies under load too.

    Attributes
    ----------
    fleet : Fleet
        Its processes.
    ledgers : Ledgers
        What has been read of the stand-ins' ledgers.
    requests : list of Request
        All requests of the load.
    """

    def __init__(
        self, plan: Plan, client: httpx.AsyncClient, kill_entry: bool = False
    ) -> None:
        self.plan = plan
        self.client = client
        self.kill_entry = kill_entry
        self.fleet = Fleet(plan)
        self.ledgers = Ledgers()
        self.requests: list[Request] = make_requests(LOAD_S, SEED)
        self.finished = 0

    async def run(self) -> Summary:
        """Start everything, send the load and compare the ledgers."""
        start_s = trio.current_time()
        await self.fleet.start_all(self.client)
        took_s = trio.current_time() - start_s
        say(f"{len(self.fleet.processes)} processes are ready after {took_s:.1f} s")
        await self.send_load()
        self.fleet.check_running()
        zones = {item.server.zone for item in self.plan.servers} - {RECLAIMED_ZONE}
        say("reading the ledgers of the backend servers")
        await self.ledgers.collect(self.client, self.plan, sorted(zones))
        if len(self.ledgers.read) != len(self.plan.servers):
            raise RuntimeError("a ledger could not be read; the figures would be wrong")
        return summarize(self.requests, self.ledgers)

    async def send_load(self) -> None:
        """Send all requests over time and reclaim a zone on the way."""
        say(f"sending {len(self.requests)} requests over {LOAD_S:.0f} s")
        entries = [node.callers for node in self.plan.nodes]
        balancer = Balancer(entries)
        caller = Caller(self.client, balancer, self.plan.keys)
        start_s = trio.current_time()
        async with trio.open_nursery() as watchers:
            watchers.start_soon(balancer.watch, self.client)
            watchers.start_soon(self.show_progress)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.reclaim, start_s)
                nursery.start_soon(self.operate, start_s)
                if self.kill_entry:
                    nursery.start_soon(self.lose_entry, start_s)
                for request in self.requests:
                    nursery.start_soon(self.see_through, caller, request, start_s)
            watchers.cancel_scope.cancel()

    async def see_through(
        self, caller: Caller, request: Request, start_s: float
    ) -> None:
        """Send one request and count it when it is finished."""
        await caller.run(request, start_s)
        self.finished += 1

    async def show_progress(self) -> None:
        """Say every so often how far the load is."""
        while True:
            await trio.sleep(PROGRESS_S)
            say(f"{self.finished} of {len(self.requests)} requests are finished")

    async def operate(self, start_s: float) -> None:
        """Let the operator submit patches under load."""
        await trio.sleep_until(start_s + PATCH_AT_S)
        await submit_patches(self.client, self.plan)

    async def lose_entry(self, start_s: float) -> None:
        """Let an entry die with requests in flight."""
        await trio.sleep_until(start_s + KILL_AT_S)
        self.fleet.kill(f"entry-{KILLED_NODE}")
        say(f"the entry of {KILLED_NODE} was killed")

    async def reclaim(self, start_s: float) -> None:
        """Reclaim a zone: notice, a few seconds, and its servers are gone."""
        await trio.sleep_until(start_s + RECLAIM_AT_S)
        say(f"the cloud reclaims zone {RECLAIMED_ZONE} with {NOTICE_S:.0f} s notice")
        response = await self.client.post(
            f"http://{self.plan.platform}/test/reclaim",
            json={"zone": RECLAIMED_ZONE, "notice_s": NOTICE_S},
        )
        response.raise_for_status()
        await trio.sleep_until(start_s + RECLAIM_AT_S + NOTICE_S)
        await self.ledgers.collect(self.client, self.plan, [RECLAIMED_ZONE])
        self.fleet.kill(f"standins-{RECLAIMED_ZONE}")
        say(f"all backend servers of {RECLAIMED_ZONE} are gone")


async def cancel_on_signal(
    scope: trio.CancelScope,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Cancel a scope at SIGINT or SIGTERM."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        task_status.started()
        async for number in signals:
            say(f"{signal.Signals(number).name}: ending all processes")
            scope.cancel()
            return


async def stay_up(demo: Demo) -> None:
    """Start everything and wait for an interrupt."""
    await demo.fleet.start_all(demo.client)
    keys = demo.plan.folder / "keys.json"
    say(f"ready; callers at http://{demo.plan.nodes[0].callers}")
    say(f"operators at http://{demo.plan.nodes[0].operators}")
    say(f"API keys are in {keys}; interrupt with Ctrl-C to end all processes")
    await trio.sleep_forever()


async def run_to_end(demo: Demo, stay: bool) -> Summary | None:
    """Run the demo; the processes are ended whatever happens.

    Returns
    -------
    summary : Summary or None
        None where it was interrupted.
    """
    summary = None
    async with trio.open_nursery() as nursery:
        await nursery.start(cancel_on_signal, nursery.cancel_scope)
        try:
            summary = await (stay_up(demo) if stay else demo.run())
        finally:
            with trio.CancelScope(shield=True):
                codes = await demo.fleet.stop_all()
            bad = {name: code for name, code in codes.items() if code}
            if bad:
                say(f"ended with a code other than 0: {bad}")
        nursery.cancel_scope.cancel()
    return summary


async def run_demo(plan: Plan, stay: bool, kill_entry: bool) -> int:
    """Run the demo and print its figures; returns the exit code."""
    async with http_client(SocketNetwork(), READ_TIMEOUT_S) as client:
        demo = Demo(plan, client, kill_entry)
        summary, code = None, EXIT_INTERRUPTED
        try:
            summary = await run_to_end(demo, stay)
        except* (RuntimeError, httpx.HTTPError) as errors:
            say(f"failed: {first_error(errors)}")
            code = EXIT_FAILED
    if summary is None:
        return code
    print_table(demo.requests, demo.ledgers)
    print(json.dumps(asdict(summary)), flush=True)
    return 0 if summary.is_good else EXIT_FAILED


def first_error(error: BaseException) -> BaseException:
    """Return the first error of nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def main(
    stay: Annotated[
        bool, typer.Option(help="Start everything, send nothing, and stay up.")
    ] = False,
    kill_entry: Annotated[
        bool, typer.Option(help="Kill an entry under load as well.")
    ] = False,
    prefix: Annotated[
        str, typer.Option(help="First three numbers of the loopback addresses.")
    ] = "127.0.0",
    folder: Annotated[Path, typer.Option(help="For settings and logs.")] = FOLDER,
) -> None:
    """Run three zones on loopback, reclaim one under load, and report.

    The last line is JSON. Exit codes: 0 all that must hold did, 1 something did not,
    130 interrupted.
    """
    sys.exit(trio.run(run_demo, make_plan(folder, prefix), stay, kill_entry))


if __name__ == "__main__":
    typer.run(main)
