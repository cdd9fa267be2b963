"""Command ``rosemaryknot-replay faults``: seeded runs with injected faults."""

import json
import sys
import time
from collections import Counter
from dataclasses import dataclass, field, fields
from typing import Annotated

import typer

from rosemaryknot.process.command_line import ExitCode, fail
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.fault_run import FaultReport, run_seed

__all__ = ["FaultSummary", "run_faults", "safeguards_without"]

MAX_SHOWN_VIOLATIONS = 5


@dataclass(slots=True)
class FaultSummary:
    """Totals over several runs.

    Attributes
    ----------
    runs, violations, lost_unannounced, recomputed_tokens : int
        Totals over the runs.
    faults, violations_by_kind, outcomes : collections.Counter
        Totals by name of fault, kind of violation and outcome.
    first_bad_seed : int or None
        Lowest seed with a violation.
    """

    runs: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    violations: int = 0
    violations_by_kind: Counter[str] = field(default_factory=Counter)
    first_bad_seed: int | None = None
    outcomes: Counter[str] = field(default_factory=Counter)
    lost_unannounced: int = 0
    recomputed_tokens: int = 0

    def add(self, report: FaultReport) -> None:
        """Add the report of one run."""
        self.runs += 1
        self.faults.update(report.faults)
        self.outcomes.update(report.outcomes)
        self.violations += len(report.violations)
        self.violations_by_kind.update(v.kind for v in report.violations)
        self.lost_unannounced += report.lost_unannounced
        self.recomputed_tokens += report.recomputed_tokens
        if report.violations and self.first_bad_seed is None:
            self.first_bad_seed = report.seed

    def to_json(self) -> str:
        """Return the summary as one line of JSON."""
        values = {f.name: getattr(self, f.name) for f in fields(self)}
        return json.dumps(values)


def safeguards_without(names: str) -> Safeguards:
    """Return safeguards with those of a comma-separated list disabled."""
    safeguards = Safeguards()
    known = [f.name for f in fields(Safeguards)]
    for name in filter(None, names.split(",")):
        if name not in known:
            known_names = ", ".join(known)
            fail(
                f"unknown safeguard; known safeguards: {known_names}",
                ExitCode.BAD_USAGE,
            )
        setattr(safeguards, name, False)
    return safeguards


def print_violations(report: FaultReport) -> None:
    """Print the first violations of a run to standard error."""
    for violation in report.violations[:MAX_SHOWN_VIOLATIONS]:
        typer.echo(
            f"seed {report.seed}: {violation.kind} {violation.subject}: "
            f"{violation.detail}",
            err=True,
        )


def run_faults(
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds to run.")] = 20,
    first: Annotated[int, typer.Option(min=0, help="The first seed.")] = 0,
    seed: Annotated[
        int | None, typer.Option(help="Run only this seed, and print its decision log.")
    ] = None,
    without: Annotated[
        str, typer.Option(help="Safeguards to disable, comma-separated.")
    ] = "",
    until_bad: Annotated[
        bool, typer.Option(help="Stop after the first run with a violation.")
    ] = False,
) -> None:
    """Run the whole system in virtual time with seeded faults and audit each run."""
    safeguards = safeguards_without(without)
    configure_logs("text", "error" if seed is None else "info")
    chosen = range(first, first + seeds) if seed is None else [seed]
    summary = FaultSummary()
    start_s = time.monotonic()
    for number in chosen:
        report = run_seed(number, safeguards)
        summary.add(report)
        print_violations(report)
        took_s = time.monotonic() - start_s
        typer.echo(
            f"faults: {summary.runs} of {len(chosen)} runs, "
            f"{summary.violations} violations, {took_s:.0f} s",
            err=True,
        )
        if until_bad and summary.violations:
            break
    typer.echo(summary.to_json())
    sys.stdout.flush()
    raise typer.Exit(ExitCode.FAILED if summary.violations else ExitCode.OK)
