"""Outcomes that a scenario may state, in a registry that decorators fill.

A check looks at the running system and returns what it saw where the statement does
not hold, and an empty text where it does.
"""

import operator
from collections.abc import Callable
from typing import TYPE_CHECKING

from rosemaryknot.replay.fault_kinds import live_servers
from rosemaryknot.replay.scenario import Target
from rosemaryknot.replay.scenario_requests import Record
from rosemaryknot.replay.system import EPOCH_UNIX_S
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.ledger import recomputed_tokens

if TYPE_CHECKING:
    from rosemaryknot.replay.scenario_run import ScenarioRun

__all__ = ["CHECKS", "Check", "check"]

Check = Callable[..., str]

CHECKS: dict[str, Check] = {}
COMPARES = {"<=": operator.le, ">=": operator.ge, "=": operator.eq}
SHOWN = 3


def check(name: str) -> Callable[[Check], Check]:
    """Register a check under the name that the language gives it."""

    def register(function: Check) -> Check:
        if name in CHECKS:
            raise ValueError(f"check {name!r} is taken")
        CHECKS[name] = function
        return function

    return register


def seen(texts: list[str]) -> str:
    """Return the first few of what was seen."""
    more = f" and {len(texts) - SHOWN} more" if len(texts) > SHOWN else ""
    return "; ".join(texts[:SHOWN]) + more


def compared(value: float, compare: str, bound: float) -> str:
    """Return the value where it does not keep to its bound."""
    return "" if COMPARES[compare](value, bound) else f"{value:g}"


def records_of(run: "ScenarioRun", subject: Target) -> list[Record]:
    """Return the requests that a statement speaks of."""
    records = run.requests.records
    if subject.kind == "every":
        return [r for r in records.values() if r.request.kind == subject.name]
    return [records[subject.name]] if subject.name in records else []


def has_result(run: "ScenarioRun", record: Record, results: list[str]) -> bool:
    """Tell whether a request has one of the results."""
    if record.outcome in results:
        return True
    is_answered = record.outcome == "answered" and "answered whole" in results
    return is_answered and not run.requests.violations(record)


@check("outcome")
def outcome(run: "ScenarioRun", subject: Target, results: list[str]) -> str:
    """Check that requests, or a patch, have one of the results."""
    if subject.name in run.patches:
        found = run.patches[subject.name]
        return "" if found in results else f"{subject.name} is {found}"
    records = records_of(run, subject)
    if not records:
        return f"{subject.name} was not sent"
    return seen(
        [
            f"{r.request.name} is {r.outcome}"
            for r in records
            if not has_result(run, r, results)
        ]
    )


@check("exactly_one")
def exactly_one(run: "ScenarioRun", names: list[str], results: list[str]) -> str:
    """Check that exactly one of several has one of the results."""
    found = [n for n in names if not outcome(run, Target("one", n), results)]
    return "" if len(found) == 1 else f"{len(found)} are: {', '.join(found)}"


@check("in_force")
def in_force(run: "ScenarioRun", number: int) -> str:
    """Check that every process that lives has this configuration in force."""
    numbers = run.numbers()
    return seen([f"{p} has {n}" for p, n in numbers.items() if n != number])


@check("live")
def live(run: "ScenarioRun", subject: Target, count: int) -> str:
    """Check how many servers of a service live in a zone."""
    found = [
        server
        for server in live_servers(run.system)
        if (server.listed.service, server.listed.zone) == (subject.name, subject.zone)
    ]
    return "" if len(found) == count else f"{len(found)} live"


@check("reverted")
def reverted(run: "ScenarioRun") -> str:
    """Check that no process took an older configuration back."""
    return seen(run.reverted)


@check("recomputed")
def recomputed(run: "ScenarioRun", compare: str, bound: float) -> str:
    """Check the tokens that engines computed again."""
    return compared(recomputed_tokens(run.requests.generations()), compare, bound)


@check("runs")
def runs(run: "ScenarioRun", subject: Target, compare: str, bound: float) -> str:
    """Check how often each request ran."""
    counts = {
        r.request.name: len(run.requests.runs_of(r.note))
        for r in records_of(run, subject)
    }
    if not counts:
        return f"{subject.name} was not sent"
    wrong = {n: c for n, c in counts.items() if not COMPARES[compare](c, bound)}
    return seen([f"{name} ran {count} times" for name, count in wrong.items()])


def violations_of(run: "ScenarioRun", kinds: tuple[str, ...], of: str = "") -> str:
    """Return the violations of some kinds, of all requests or of one kind."""
    return seen(
        [
            f"{v.subject} {v.kind}: {v.detail}"
            for record in run.requests.records.values()
            if of in ("", record.request.kind)
            for v in run.requests.violations(record)
            if v.kind in kinds
        ]
    )


@check("crossed")
def crossed(run: "ScenarioRun") -> str:
    """Check that every caller got text of its own answer only."""
    return violations_of(run, ("crossed", "mixed", "short"))


@check("untrue")
def untrue(run: "ScenarioRun", kind: str) -> str:
    """Check that what was refused did not run."""
    return violations_of(run, ("false_not_run",), kind)


@check("lost")
def lost(run: "ScenarioRun") -> str:
    """Check that each accepted model request is answered, whoever died."""
    return seen(
        [
            f"{r.request.name} is {r.outcome}"
            for r in run.requests.records.values()
            if getattr(r.note, "id", "") and r.outcome != "answered"
        ]
    )


@check("first_token")
def first_token(
    run: "ScenarioRun", subject: Target, percent: int, compare: str, bound: float
) -> str:
    """Check the time to the first token of a share of the requests."""
    records = records_of(run, subject)
    if not records:
        return f"{subject.name} was not sent"
    wrong = [r for r in records if not COMPARES[compare](r.first_token_s, bound)]
    if 100 * (len(records) - len(wrong)) >= percent * len(records):
        return ""
    return seen([f"{r.request.name} took {r.first_token_s:.3f} s" for r in wrong])


@check("between_tokens")
def between_tokens(
    run: "ScenarioRun", subject: Target, percent: int, compare: str, bound: float
) -> str:
    """Check a share of the times between tokens, over all answers together."""
    gaps_s = [gap for r in records_of(run, subject) for gap in r.gaps_s]
    if not gaps_s:
        return f"{subject.name} has no tokens"
    right = sum(COMPARES[compare](gap, bound) for gap in gaps_s)
    share_percent = 100 * right / len(gaps_s)
    return "" if share_percent >= percent else f"{share_percent:.1f} percent are"


@check("share")
def share(run: "ScenarioRun", subject: Target, compare: str, bound: float) -> str:
    """Check the share of requests that is answered."""
    records = records_of(run, subject)
    if not records:
        return f"{subject.name} was not sent"
    done = sum(r.outcome == "answered" for r in records)
    return compared(done / len(records), compare, bound)


@check("late_work")
def late_work(run: "ScenarioRun", after_s: float) -> str:
    """Check that a server got no new work some time after its notice."""
    late = []
    for instance, notice_s in run.notices_s.items():
        server = run.system.servers.get(instance)
        if server is None:
            continue
        if isinstance(server.standin, EngineStandIn):
            times = [e.started_unix_s for e in server.standin.batch.ledger]
        else:
            times = [r.time_unix_s for r in server.standin.runs]
        limit = EPOCH_UNIX_S + notice_s + after_s
        late += [
            f"{instance} after {t - limit + after_s:.1f} s" for t in times if t > limit
        ]
    return seen(late)
