"""Traces: requests of callers as JSON lines, with a file of expected outcomes."""

import json
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

from rosemaryknot.replay.scenario import KINDS, RequestStep, Scenario, Step
from rosemaryknot.replay.scenario_language import parse_scenario
from rosemaryknot.replay.scenario_reader import MODEL_TIMEOUT_S

__all__ = [
    "OUTCOMES_SUFFIX",
    "TraceError",
    "TracedRequest",
    "read_trace",
    "traced_scenario",
    "write_trace",
]

OUTCOMES_SUFFIX = ".outcomes"


class TraceError(ValueError):
    """Invalid line of a trace."""


@dataclass(slots=True)
class TracedRequest:
    """Line of a trace.

    Attributes
    ----------
    time_s : float
        Time at which it is sent, in seconds from the start of the trace.
    customer : str
        Customer that sends it.
    service : str
        Service to which it is sent; must be the service of its kind.
    kind : str
        A key of `KINDS`.
    key : str
        Idempotency key of a booking or alert; a name for other kinds.
    prompt_tokens, answer_tokens : int
        Length of the prompt, and maximum length of the response; 0 for plain
        services.
    prefix : str
        Name of the shared prefix of the prompt; empty if it shares none.
    prefix_tokens : int
        Length of the shared prefix.
    attempt : int
        Attempt number of a booking or alert; 0 for other kinds.
    """

    time_s: float
    customer: str
    service: str
    kind: str
    key: str
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prefix: str = ""
    prefix_tokens: int = 0
    attempt: int = 0

    def to_request(self) -> RequestStep:
        """Convert to a request of a scenario."""
        return RequestStep(
            self.customer,
            self.kind,
            self.key,
            self.answer_tokens,
            self.prompt_tokens,
            timeout_s=MODEL_TIMEOUT_S if KINDS[self.kind].is_model else 10.0,
            prefix=self.prefix,
            prefix_words=self.prefix_tokens,
            attempt=self.attempt,
        )


def parse_request(line: Any) -> TracedRequest:
    """Convert a parsed line to a request, or raise `TraceError`."""
    if not isinstance(line, dict):
        raise TraceError("expected a JSON object")
    known = {field.name: field.type for field in fields(TracedRequest)}
    unknown = sorted(set(line) - set(known))
    if unknown:
        raise TraceError(f"found {unknown[0]!r}, expected {', '.join(known)}")
    for name, value in line.items():
        kinds = (int, float) if known[name] is float else known[name]
        if not isinstance(value, kinds):
            raise TraceError(f"found {value!r} for {name}, expected {known[name]}")
    try:
        request = TracedRequest(**line)
    except TypeError as error:
        raise TraceError(str(error)) from None
    if request.kind not in KINDS or KINDS[request.kind].service != request.service:
        kinds = ", ".join(f"{k} for {v.service}" for k, v in KINDS.items())
        raise TraceError(
            f"found {request.kind!r} for {request.service!r}, expected {kinds}"
        )
    return request


def read_trace(path: Path) -> list[TracedRequest]:
    """Read a trace.

    Parameters
    ----------
    path : pathlib.Path
        File of JSON lines.

    Returns
    -------
    requests : list of TracedRequest
        Requests in the order of the file.

    Raises
    ------
    TraceError
        If a line is invalid; gives the number of the first such line.
    """
    requests = []
    for number, text in enumerate(path.read_text().splitlines(), 1):
        try:
            requests.append(parse_request(json.loads(text)))
        except (TraceError, json.JSONDecodeError) as error:
            raise TraceError(f"line {number}: {error}") from None
    return requests


def write_trace(path: Path, requests: list[TracedRequest]) -> None:
    """Write a trace; fields that are empty or zero are omitted, except the time."""
    lines = [
        json.dumps({k: v for k, v in asdict(request).items() if v or k == "time_s"})
        for request in requests
    ]
    path.write_text("".join(f"{line}\n" for line in lines))


def traced_scenario(requests: list[TracedRequest], outcomes: str) -> Scenario:
    """Combine a trace and its expected outcomes into one scenario.

    Parameters
    ----------
    requests : list of TracedRequest
        Requests of the trace.
    outcomes : str
        Text in the scenario language: the system, its faults and the expected
        outcomes.

    Returns
    -------
    scenario : Scenario
        Scenario to run.

    Raises
    ------
    ScenarioError
        If ``outcomes`` is not a valid scenario.
    """
    steps = [
        Step(traced.time_s, "send", {"request": traced.to_request()}, number)
        for number, traced in enumerate(requests, 1)
    ]
    return parse_scenario(outcomes, steps)
