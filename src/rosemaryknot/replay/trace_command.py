"""Commands ``trace``, ``compare`` and ``generate`` of ``rosemaryknot-replay``."""

import json
from dataclasses import asdict, fields
from pathlib import Path
from typing import Annotated

import typer

import rosemaryknot.request.route_policies  # noqa: F401  (fills the registry)
from rosemaryknot.process.command_line import ExitCode, fail
from rosemaryknot.replay.figures import Figures
from rosemaryknot.replay.run_command import (
    print_failures,
    print_table,
    report_document,
)
from rosemaryknot.replay.scenario import Scenario
from rosemaryknot.replay.scenario_errors import ScenarioError
from rosemaryknot.replay.scenario_run import ScenarioReport, run_scenario
from rosemaryknot.replay.trace_generator import MIXES, generate_trace
from rosemaryknot.replay.traces import (
    OUTCOMES_SUFFIX,
    TraceError,
    read_trace,
    traced_scenario,
    write_trace,
)
from rosemaryknot.request.routes import DEFAULT_POLICY, POLICIES

__all__ = ["compare_policies", "generate", "run_trace"]

OutcomesOption = Annotated[
    Path | None,
    typer.Option(help="Expected outcomes; default: .outcomes file next to the trace."),
]
SeedOption = Annotated[
    int | None, typer.Option(help="Seed that replaces the one in the outcomes.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def load_scenario(trace: Path, outcomes: Path | None, seed: int | None) -> Scenario:
    """Return the scenario of a trace and its outcomes, or exit with an error."""
    beside = outcomes or trace.with_suffix(OUTCOMES_SUFFIX)
    try:
        scenario = traced_scenario(read_trace(trace), beside.read_text())
    except OSError as error:
        fail(f"{error.filename}: {error.strerror}", ExitCode.BAD_USAGE)
    except TraceError as error:
        fail(f"{trace}: {error}", ExitCode.BAD_USAGE)
    except ScenarioError as error:
        fail(f"{beside}: {error}", ExitCode.BAD_USAGE)
    if seed is not None:
        scenario.seed = seed
    return scenario


def check_policy(name: str) -> None:
    """Exit with an error if the route policy does not exist."""
    if name not in POLICIES:
        names = ", ".join(sorted(POLICIES))
        fail(
            f"unknown route policy {name}; known policies: {names}", ExitCode.BAD_USAGE
        )


def run_trace(
    trace: Annotated[Path, typer.Argument(help="JSON lines.")],
    outcomes: OutcomesOption = None,
    policy: Annotated[str, typer.Option(help="Route policy.")] = DEFAULT_POLICY,
    seed: SeedOption = None,
    json_lines: JsonOption = False,
    decisions: Annotated[
        bool, typer.Option(help="Print the decision log, in virtual time.")
    ] = False,
) -> None:
    """Run a trace in virtual time and check its expected outcomes."""
    check_policy(policy)
    scenario = load_scenario(trace, outcomes, seed)
    typer.echo(f"trace: {len(scenario.requests)} sends with policy {policy}", err=True)
    report = run_scenario(scenario, decisions, route_policy=policy)
    print_failures(trace.with_suffix(OUTCOMES_SUFFIX), report)
    if json_lines:
        typer.echo(json.dumps(report_document(trace, report)))
    else:
        print_table([(trace, report)])
        print_figures({policy: report.figures})
    raise typer.Exit(ExitCode.OK if report.held else ExitCode.FAILED)


def print_figures(by_policy: dict[str, Figures]) -> None:
    """Print a column of figures for each policy."""
    row = "{:<24}" + " {:>16}" * len(by_policy)
    typer.echo(row.format("figure", *by_policy))
    for field in fields(Figures):
        values = [getattr(figures, field.name) for figures in by_policy.values()]
        typer.echo(row.format(field.name, *values))


def compare_policies(
    policy_a: Annotated[str, typer.Argument(help="Route policy.")],
    policy_b: Annotated[str, typer.Argument(help="Route policy to compare it with.")],
    trace: Annotated[Path, typer.Option(help="JSON lines.")],
    outcomes: OutcomesOption = None,
    seed: SeedOption = None,
    json_lines: JsonOption = False,
) -> None:
    """Run a trace with two route policies and the same seed, and compare the figures.

    An expected outcome that does not hold is printed but does not change the exit
    code, because a baseline may miss the targets.
    """
    reports: dict[str, ScenarioReport] = {}
    for policy in (policy_a, policy_b):
        check_policy(policy)
    for policy in (policy_a, policy_b):
        typer.echo(f"compare: running {policy}", err=True)
        scenario = load_scenario(trace, outcomes, seed)
        reports[policy] = run_scenario(scenario, route_policy=policy)
        print_failures(trace.with_suffix(OUTCOMES_SUFFIX), reports[policy])
    figures = {policy: report.figures for policy, report in reports.items()}
    if json_lines:
        document = {policy: asdict(found) for policy, found in figures.items()}
        typer.echo(json.dumps({"trace": trace.name, "figures": document}))
    else:
        print_figures(figures)


def generate(
    mix: Annotated[str, typer.Argument(help="bluebonnet or pawbridge.")],
    out: Annotated[Path, typer.Argument(help="File to write.")],
    seed: Annotated[int, typer.Option(min=0, help="Seed of the trace.")] = 0,
    seconds: Annotated[
        float, typer.Option(min=1, help="Duration of the trace in seconds.")
    ] = 15.0,
) -> None:
    """Generate a trace from a seed."""
    if mix not in MIXES:
        fail(f"unknown mix {mix}; known mixes: {', '.join(MIXES)}", ExitCode.BAD_USAGE)
    requests = generate_trace(mix, seed, seconds)
    write_trace(out, requests)
    typer.echo(f"generate: {len(requests)} requests in {out}", err=True)
