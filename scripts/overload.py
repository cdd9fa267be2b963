"""Load on a node that is short of processor time: most new connections go to it.

Three node processes on loopback are each held to a share of a core. After requests that
are spread over them, nine of ten new connections go to one node: first as many as its
processor can serve, then a multiple of that. Prints one line of JSON.
"""

import json
import math
import random
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import trio
import typer
from soak import SoakSystem
from soak_throttle import cpu_time_s

from rosemaryknot.standin.users.system import Answer

THROTTLE = Path(__file__).parent / "soak_throttle.py"
# Share of a core of each node, as in the large deployments.
SHARE = 0.12
SPREAD_S = 6.0
MATCHED_S = 5.0
SKEW_S = 8.0
AFTER_S = 4.0
# The two kinds of load take turns, since the speed of a machine changes within seconds.
ROUNDS = 3
# Time after which a change of the load no longer excuses a failure.
CONTACT_S = 3.0
SKEWED_NODE = "n0"
SKEWED_SHARE = 0.9
# Part of its capacity that each node is used at while requests are spread.
SPREAD_LOAD = 0.5
CALIBRATION_REQUESTS = 300
CALIBRATION_INTERVAL_S = 0.005
CALLER_TIMEOUT_S = 2.0
# A caller that is sent on uses another node.
MAX_TRIES = 3
OK = 200

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclass(slots=True)
class Try:
    """One connection of a caller with one request.

    Attributes
    ----------
    id : str
        Id of the request.
    node : str
        Node that it went to.
    sent_s, ended_s : float
        When it began and ended, in trio time.
    status : int
        Status of the response; 0 if there was none.
    is_whole : bool
        Whether the response was complete.
    has_timed_out : bool
        Whether the caller gave up.
    """

    id: str
    node: str
    sent_s: float
    ended_s: float = math.inf
    status: int = 0
    is_whole: bool = False
    has_timed_out: bool = False

    @property
    def is_served(self) -> bool:
        """Whether the request was served."""
        return self.status == OK and self.is_whole


class OverloadRun:
    """Load on three throttled nodes.

    Attributes
    ----------
    tries : list of Try
        All connections, in the order in which they began.
    """

    def __init__(self, system: SoakSystem, nursery: trio.Nursery, seed: int) -> None:
        self.system = system
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.tries: list[Try] = []
        self.throttles: list[subprocess.Popen] = []
        self.number = 0

    def throttle(self) -> None:
        """Hold the nodes to their share from now on."""
        for node in self.system.nodes.values():
            command = [sys.executable, THROTTLE, str(node.process.pid), str(SHARE)]
            self.throttles.append(subprocess.Popen(command))

    def end_throttle(self) -> None:
        """Let the nodes run freely again."""
        for process in self.throttles:
            process.send_signal(signal.SIGTERM)
            process.wait()

    def busy_s(self) -> float:
        """Return the processor time that the skewed node has used, in seconds."""
        return cpu_time_s(self.system.nodes[SKEWED_NODE].process.pid)

    async def measure_cost_s(self) -> float:
        """Return the processor time of one request, before the nodes are throttled."""
        started_s, before_s = trio.current_time(), self.busy_s()
        async with trio.open_nursery() as nursery:
            for _ in range(CALIBRATION_REQUESTS):
                nursery.start_soon(self.request, SKEWED_NODE)
                await trio.sleep(CALIBRATION_INTERVAL_S)
        took_s, busy_s = trio.current_time() - started_s, self.busy_s() - before_s
        before_s = self.busy_s()
        await trio.sleep(took_s)
        idle_s = self.busy_s() - before_s
        self.tries.clear()
        return (busy_s - idle_s) / CALIBRATION_REQUESTS

    def names(self) -> list[str]:
        """Return the names of the nodes."""
        return list(self.system.nodes)

    async def request(self, node: str) -> None:
        """Send a request, at other nodes again while connections are closed unread."""
        self.number += 1
        request_id = f"o{self.number}"
        for _ in range(MAX_TRIES):
            attempt = Try(request_id, node, trio.current_time())
            self.tries.append(attempt)
            answer = Answer()
            with trio.move_on_after(CALLER_TIMEOUT_S) as scope:
                try:
                    answer = await self.system.ask(
                        "/stock/x", node, method="GET", request_id=request_id
                    )
                except (OSError, trio.BrokenResourceError):
                    pass
            attempt.ended_s = trio.current_time()
            attempt.status, attempt.is_whole = answer.status, answer.is_whole
            attempt.has_timed_out = scope.cancelled_caught
            if answer.status or attempt.has_timed_out:
                return
            node = self.rng.choice([name for name in self.names() if name != node])

    async def load(self, rate: float, length_s: float, skewed: str = "") -> None:
        """Send requests at a rate; if skewed, most of them to one node."""
        end_s = trio.current_time() + length_s
        while trio.current_time() < end_s:
            node = self.rng.choice(self.names())
            if skewed and self.rng.random() < SKEWED_SHARE:
                node = skewed
            self.nursery.start_soon(self.request, node)
            await trio.sleep(self.rng.expovariate(rate))

    def summary(self, periods: list[tuple[float, float]]) -> dict[str, float]:
        """Return how the requests of some periods were served.

        A connection that is closed unread does not count if a later one is read.
        """
        reached = {arrival.id for arrival in self.system.ledger.arrivals}
        tries = [t for t in self.tries if any(a <= t.sent_s < b for a, b in periods)]
        length_s = sum(to_s - from_s for from_s, to_s in periods)
        read = [t for t in tries if t.status or (t.has_timed_out and t.id in reached)]
        served_ids = {t.id for t in self.tries if t.is_served}
        served = [t for t in tries if t.is_served]
        ids = {t.id for t in tries}
        took_s = sorted(t.ended_s - t.sent_s for t in served)
        return {
            "requests": len(ids),
            "served": len(ids & served_ids),
            "read": len(read),
            "read_and_served": sum(t.is_served for t in read),
            "unread": len(tries) - len(read),
            "served_by_node_per_s": round(
                sum(t.node == SKEWED_NODE for t in served) / length_s, 1
            ),
            "given_up": sum(t.has_timed_out for t in tries),
            "median_s": round(took_s[len(took_s) // 2], 3) if took_s else math.inf,
        }


@dataclass(slots=True)
class Period:
    """A period with one kind of load.

    Attributes
    ----------
    name : str
        Kind of load.
    from_s, to_s : float
        When it began and ended, in trio time.
    busy_s : float
        Processor time that the skewed node used in it, in seconds.
    """

    name: str
    from_s: float
    to_s: float = math.inf
    busy_s: float = 0.0


class Periods:
    """The periods of a run."""

    def __init__(self, overload: OverloadRun) -> None:
        self.overload = overload
        self.periods: list[Period] = []

    async def run(
        self, name: str, rate: float, length_s: float, skewed: str = ""
    ) -> None:
        """Run one period of load."""
        period = Period(name, trio.current_time())
        before_s = self.overload.busy_s()
        await self.overload.load(rate, length_s, skewed)
        period.to_s = trio.current_time()
        period.busy_s = self.overload.busy_s() - before_s
        self.periods.append(period)

    def summary(self, name: str, skip_s: float = 1.0) -> dict[str, float]:
        """Return the figures of all periods of a kind, each without its begin."""
        periods = [period for period in self.periods if period.name == name]
        figures = self.overload.summary([(p.from_s + skip_s, p.to_s) for p in periods])
        busy_s = sum(p.busy_s for p in periods)
        length_s = sum(p.to_s - p.from_s for p in periods)
        return figures | {"busy_share": round(busy_s / length_s, 3)}


async def run_periods(overload: OverloadRun, factor: float) -> dict:
    """Run the periods of the load; return their figures."""
    cost_s = await overload.measure_cost_s()
    capacity = SHARE / cost_s
    spread_rate = SPREAD_LOAD * capacity * 3
    # What goes to the skewed node is a multiple of its capacity.
    at_capacity = capacity / (SKEWED_SHARE + (1 - SKEWED_SHARE) / 3)
    periods = Periods(overload)
    overload.throttle()
    try:
        await periods.run("before", spread_rate, SPREAD_S)
        for _ in range(ROUNDS):
            await periods.run("matched", at_capacity, MATCHED_S, SKEWED_NODE)
            await periods.run("skewed", factor * at_capacity, SKEW_S, SKEWED_NODE)
        await periods.run("after", spread_rate, AFTER_S)
        await trio.sleep(CALLER_TIMEOUT_S)
    finally:
        overload.end_throttle()
    return {
        "factor": factor,
        "cost_ms": round(cost_s * 1000, 2),
        "capacity": round(capacity, 1),
        "before": periods.summary("before"),
        "matched": periods.summary("matched"),
        "skewed": periods.summary("skewed", CONTACT_S),
        "after": periods.summary("after"),
    }


async def run(factor: float, seed: int) -> dict:
    """Run one load; return the figures of its periods."""
    async with trio.open_nursery() as nursery:
        system = SoakSystem(nursery, seed)
        system.link_bytes_per_s = 0
        await system.start()
        async with trio.open_nursery() as load_nursery:
            figures = await run_periods(OverloadRun(system, load_nursery, seed), factor)
        await system.end()
        figures["problems"] = [str(problem) for problem in system.problems]
        nursery.cancel_scope.cancel()
    return figures


@app.command()
def main(
    factor: Annotated[
        float, typer.Option(help="Work at the skewed node, by what it can do.")
    ] = 1.7,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
) -> None:
    """Run the load and print one line of JSON."""
    print(json.dumps(trio.run(run, factor, seed)))


if __name__ == "__main__":
    app()
