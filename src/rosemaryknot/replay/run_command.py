"""Command ``rosemaryknot-replay run``: runs scenario files, checks expectations."""

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer

from rosemaryknot.process.command_line import ExitCode, fail
from rosemaryknot.replay.faults_command import safeguards_without
from rosemaryknot.replay.scenario import Scenario
from rosemaryknot.replay.scenario_errors import ScenarioError
from rosemaryknot.replay.scenario_language import parse_scenario
from rosemaryknot.replay.scenario_run import ScenarioReport, run_scenario

__all__ = ["run_files"]

ROW = "{:<36} {:>6} {:>8} {:>10} {:>8}  {}"
COLUMNS = ("scenario", "held", "failed", "recomputed", "seconds", "digest")


def read_scenario(path: Path) -> Scenario:
    """Return the scenario of a file, or exit with an error message."""
    try:
        return parse_scenario(path.read_text())
    except OSError as error:
        fail(f"{path}: {error.strerror}", ExitCode.BAD_USAGE)
    except ScenarioError as error:
        fail(f"{path}: {error}", ExitCode.BAD_USAGE)


def report_document(path: Path, report: ScenarioReport) -> dict[str, Any]:
    """Return a report as a JSON value."""
    return {
        "file": path.name,
        "title": report.title,
        "seed": report.seed,
        "held": report.held,
        "outcomes": report.outcomes,
        "figures": asdict(report.figures),
        "digest": report.digest,
        "decisions": report.decisions,
        "virtual_s": round(report.virtual_s, 3),
        "stated": [
            {"line": v.expectation.line, "text": v.expectation.text, "seen": v.seen}
            for v in report.verdicts
        ],
    }


def print_failures(path: Path, report: ScenarioReport) -> None:
    """Print each expectation that did not hold and what was observed."""
    for verdict in report.verdicts:
        if not verdict.held:
            stated = verdict.expectation
            typer.echo(f"{path}:{stated.line}: {stated.text}", err=True)
            typer.echo(f"    seen: {verdict.seen}", err=True)


def print_table(reports: list[tuple[Path, ScenarioReport]]) -> None:
    """Print a row for each scenario."""
    typer.echo(ROW.format(*COLUMNS))
    for path, report in reports:
        failed = sum(not verdict.held for verdict in report.verdicts)
        held = len(report.verdicts) - failed
        typer.echo(
            ROW.format(
                path.stem,
                held,
                failed,
                report.figures.recomputed_tokens,
                f"{report.took_s:.1f}",
                report.digest,
            )
        )


def run_files(
    files: Annotated[list[Path], typer.Argument(help="Scenario files.")],
    seed: Annotated[
        int | None, typer.Option(help="Seed that replaces the one in the file.")
    ] = None,
    json_lines: Annotated[
        bool, typer.Option("--json", help="Print a line of JSON for each file.")
    ] = False,
    decisions: Annotated[
        bool, typer.Option(help="Print the decision log, in virtual time.")
    ] = False,
    without: Annotated[
        str, typer.Option(help="Safeguards to disable, comma-separated.")
    ] = "",
) -> None:
    """Run scenarios in virtual time and check their expected outcomes.

    Exit code 1 if an expectation did not hold, 2 if a file is not a valid scenario.
    """
    scenarios = [(path, read_scenario(path)) for path in files]
    safeguards = safeguards_without(without)
    reports = []
    for number, (path, scenario) in enumerate(scenarios, 1):
        if seed is not None:
            scenario.seed = seed
        typer.echo(f"run: {number} of {len(files)}: {scenario.title}", err=True)
        report = run_scenario(scenario, decisions, safeguards)
        print_failures(path, report)
        reports.append((path, report))
        if json_lines:
            typer.echo(json.dumps(report_document(path, report)))
            sys.stdout.flush()
    if not json_lines:
        print_table(reports)
    held = all(report.held for _, report in reports)
    raise typer.Exit(ExitCode.OK if held else ExitCode.FAILED)
