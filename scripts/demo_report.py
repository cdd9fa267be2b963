"""Ledgers of the demo's stand-ins, and what they say against the answers."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import httpx
import numpy as np
import trio
from demo_plan import Plan, ServerPlan
from demo_requests import KINDS, Request

from rosemaryknot.standin.ledger import GenerationEntry, recomputed_tokens
from rosemaryknot.standin.plain import Run, count_runs

__all__ = ["Ledgers", "Summary", "print_table", "summarize"]

LEDGER_TRIES = 20
FREEZE_S = 3600.0
OUTCOMES = ("answered", "not_run", "unknown", "lost")


@dataclass(slots=True)
class Ledgers:
    """What the backend servers did, all together.

    Attributes
    ----------
    generations : list of GenerationEntry
        Of all engines.
    runs : list of Run
        Of all plain services.
    read : set of str
        Instances whose ledger has been read.
    """

    generations: list[GenerationEntry] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    read: set[str] = field(default_factory=set)

    async def collect(
        self, client: httpx.AsyncClient, plan: Plan, zones: list[str]
    ) -> None:
        """Read the ledgers of some zones."""
        async with trio.open_nursery() as nursery:
            for item in plan.servers:
                if item.server.zone in zones:
                    nursery.start_soon(self.read_one, client, item)

    async def read_one(self, client: httpx.AsyncClient, item: ServerPlan) -> None:
        """Freeze one stand-in, so that its ledger is final, and read it."""
        url = f"http://{item.server.address}/test"
        response = await client.post(f"{url}/faults", json={"freeze_s": FREEZE_S})
        response.raise_for_status()
        ledger = (await client.get(f"{url}/ledger")).json()
        entries = [GenerationEntry(**raw) for raw in ledger.get("generations", [])]
        self.generations += entries
        self.runs += [Run(**raw) for raw in ledger.get("runs", [])]
        self.read.add(item.server.instance)


@dataclass(slots=True)
class Summary:
    """Figures of the demo; printed as its last line.

    Attributes
    ----------
    requests : int
        Requests that callers sent, repeats not counted.
    answered, not_run, unknown, lost : int
        Outcomes; lost are those without any honest outcome, or accepted and not
        answered whole.
    crossed : int
        Requests that got anything of another request.
    ran_twice : int
        Calls that the ledgers hold more than once and that must not run twice.
    recomputed_tokens : int
        Tokens that the engines computed beyond one undisturbed run each.
    refused_but_ran : int
        Calls that were refused with "not run" and stand in a ledger.
    """

    requests: int
    answered: int
    not_run: int
    unknown: int
    lost: int
    crossed: int
    ran_twice: int
    recomputed_tokens: int
    refused_but_ran: int

    @property
    def is_good(self) -> bool:
        """Whether everything that must hold did, and most were answered."""
        broken = self.lost + self.crossed + self.ran_twice + self.refused_but_ran
        return not broken and self.answered > self.requests / 2


def summarize(requests: list[Request], ledgers: Ledgers) -> Summary:
    """Compare the outcomes that callers saw with the ledgers."""
    outcomes = Counter(request.outcome for request in requests)
    runs = count_runs(ledgers.runs)
    once = [request for request in requests if request.kind.form == "once"]
    refused = [request for request in once if request.outcome == "not_run"]
    return Summary(
        requests=len(requests),
        answered=outcomes["answered"],
        not_run=outcomes["not_run"],
        unknown=outcomes["unknown"],
        lost=outcomes["lost"],
        crossed=sum(request.crossed for request in requests),
        ran_twice=sum(runs.get(request.key, 0) > 1 for request in once),
        recomputed_tokens=recomputed_tokens(ledgers.generations),
        refused_but_ran=sum(request.key in runs for request in refused),
    )


def moved_requests(ledgers: Ledgers) -> int:
    """Count the model calls that more than one engine worked on."""
    started = [entry for entry in ledgers.generations if entry.started_unix_s >= 0]
    engines = Counter(entry.id for entry in started)
    return sum(count > 1 for count in engines.values())


def print_table(requests: list[Request], ledgers: Ledgers) -> None:
    """Print the outcomes by kind, and each request that was not answered."""
    heads = ["kind", "sent", *OUTCOMES, "picked up", "median s", "slowest s"]
    rows = [row_of(kind.name, requests) for kind in KINDS]
    widths = [max(len(str(row[n])) for row in [heads, *rows]) for n in range(9)]
    print()
    for row in [heads, *rows]:
        cells = [
            str(cell).rjust(width) for cell, width in zip(row, widths, strict=True)
        ]
        cells[0] = str(row[0]).ljust(widths[0])
        print("  ".join(cells))
    print()
    print(f"demo: {moved_requests(ledgers)} model calls went on at another engine")
    for request in requests:
        if request.outcome != "answered" or request.crossed:
            crossed = ", crossed" if request.crossed else ""
            print(
                f"demo: request {request.number} ({request.kind.name}): "
                f"{request.outcome}{crossed}: {request.reason}"
            )


def row_of(kind: str, requests: list[Request]) -> list[Any]:
    """Return one row of the table."""
    chosen = [request for request in requests if request.kind.name == kind]
    outcomes = Counter(request.outcome for request in chosen)
    times = [request.took_s for request in chosen]
    return [
        kind,
        len(chosen),
        *(outcomes[name] for name in OUTCOMES),
        sum(request.picked_up > 0 for request in chosen),
        f"{np.median(times):.2f}",
        f"{max(times):.2f}",
    ]
