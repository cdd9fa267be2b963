"""Registry of the checks of scenario expectations, filled by decorators.

A check inspects the running system. It returns a description of what it found if the
expectation does not hold, and an empty string if it does.
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
COMPARISONS = {"<=": operator.le, ">=": operator.ge, "=": operator.eq}
MAX_SHOWN_ITEMS = 3


def check(name: str) -> Callable[[Check], Check]:
    """Register a check under its name in the scenario language."""

    def register(function: Check) -> Check:
        if name in CHECKS:
            raise ValueError(f"check {name!r} is already registered")
        CHECKS[name] = function
        return function

    return register


def seen(texts: list[str]) -> str:
    """Join the first few descriptions and the number of the others."""
    more = (
        f" and {len(texts) - MAX_SHOWN_ITEMS} more"
        if len(texts) > MAX_SHOWN_ITEMS
        else ""
    )
    return "; ".join(texts[:MAX_SHOWN_ITEMS]) + more


def describe_if_violated(value: float, compare: str, bound: float) -> str:
    """Return the value as text if it violates its bound, else an empty string."""
    return "" if COMPARISONS[compare](value, bound) else f"{value:g}"


def find_records(run: "ScenarioRun", subject: Target) -> list[Record]:
    """Return the records of the requests that an expectation refers to."""
    records = run.requests.records
    if subject.kind == "every":
        return [r for r in records.values() if r.request.kind == subject.name]
    return [records[subject.name]] if subject.name in records else []


def has_result(run: "ScenarioRun", record: Record, results: list[str]) -> bool:
    """Return whether a request has one of the results."""
    if record.outcome in results:
        return True
    is_answered = record.outcome == "answered" and "answered whole" in results
    return is_answered and not run.requests.violations(record)


@check("outcome")
def outcome(run: "ScenarioRun", subject: Target, results: list[str]) -> str:
    """Check that each of the requests, or a patch, has one of the results."""
    if subject.name in run.patches:
        found = run.patches[subject.name]
        return "" if found in results else f"{subject.name} is {found}"
    records = find_records(run, subject)
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
    """Check that exactly one of several requests has one of the results."""
    found = [n for n in names if not outcome(run, Target("one", n), results)]
    return "" if len(found) == 1 else f"{len(found)} are: {', '.join(found)}"


@check("in_force")
def in_force(run: "ScenarioRun", number: int) -> str:
    """Check that this configuration is active in every running process."""
    active_numbers = run.active_numbers()
    return seen([f"{p} has {n}" for p, n in active_numbers.items() if n != number])


@check("live")
def live(run: "ScenarioRun", subject: Target, count: int) -> str:
    """Check how many servers of a service are running in a zone."""
    found = [
        server
        for server in live_servers(run.system)
        if (server.listed.service, server.listed.zone) == (subject.name, subject.zone)
    ]
    return "" if len(found) == count else f"{len(found)} live"


@check("reverted")
def reverted(run: "ScenarioRun") -> str:
    """Check that no process went back to an older configuration."""
    return seen(run.reverted)


@check("recomputed")
def recomputed(run: "ScenarioRun", compare: str, bound: float) -> str:
    """Check the number of tokens that engines recomputed."""
    return describe_if_violated(
        recomputed_tokens(run.requests.generations()), compare, bound
    )


@check("runs")
def runs(run: "ScenarioRun", subject: Target, compare: str, bound: float) -> str:
    """Check how often each request was executed."""
    counts = {
        r.request.name: len(run.requests.runs_of(r.note))
        for r in find_records(run, subject)
    }
    if not counts:
        return f"{subject.name} was not sent"
    wrong = {n: c for n, c in counts.items() if not COMPARISONS[compare](c, bound)}
    return seen([f"{name} ran {count} times" for name, count in wrong.items()])


def describe_violations(
    run: "ScenarioRun", kinds: tuple[str, ...], of: str = ""
) -> str:
    """Describe the violations of given kinds, for all requests or for one kind."""
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
    """Check that every caller received only the response to its own request."""
    return describe_violations(run, ("crossed", "mixed", "short"))


@check("untrue")
def untrue(run: "ScenarioRun", kind: str) -> str:
    """Check that no refused request of a kind was executed."""
    return describe_violations(run, ("false_not_run",), kind)


@check("lost")
def lost(run: "ScenarioRun") -> str:
    """Check that every accepted model request is answered, whatever failed."""
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
    """Check the time to the first token for a percentage of the requests."""
    records = find_records(run, subject)
    if not records:
        return f"{subject.name} was not sent"
    wrong = [r for r in records if not COMPARISONS[compare](r.first_token_s, bound)]
    if 100 * (len(records) - len(wrong)) >= percent * len(records):
        return ""
    return seen([f"{r.request.name} took {r.first_token_s:.3f} s" for r in wrong])


@check("between_tokens")
def between_tokens(
    run: "ScenarioRun", subject: Target, percent: int, compare: str, bound: float
) -> str:
    """Check a percentage of the times between tokens, over all responses."""
    gaps_s = [gap for r in find_records(run, subject) for gap in r.gaps_s]
    if not gaps_s:
        return f"{subject.name} has no tokens"
    right = sum(COMPARISONS[compare](gap, bound) for gap in gaps_s)
    share_percent = 100 * right / len(gaps_s)
    return "" if share_percent >= percent else f"{share_percent:.1f} percent are"


@check("share")
def share(run: "ScenarioRun", subject: Target, compare: str, bound: float) -> str:
    """Check the share of requests that are answered."""
    records = find_records(run, subject)
    if not records:
        return f"{subject.name} was not sent"
    done = sum(r.outcome == "answered" for r in records)
    return describe_if_violated(done / len(records), compare, bound)


@check("late_work")
def late_work(run: "ScenarioRun", after_s: float) -> str:
    """Check that no server started new work some time after its notice."""
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
