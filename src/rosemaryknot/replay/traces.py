"""Traces: callers' requests as JSON lines, with the stated outcomes beside them."""

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
    """A line that is no request."""


@dataclass(slots=True)
class TracedRequest:
    """One line of a trace.

    Attributes
    ----------
    time_s : float
        When it is sent, in seconds from the start of the trace.
    customer : str
        Who sends it.
    service : str
        Service that it is for; the one that its kind goes to.
    kind : str
        A key of `KINDS`.
    key : str
        Idempotency key of a booking or alert; for the others a name.
    prompt_tokens, answer_tokens : int
        Length of the prompt, and the limit of the answer; 0 for plain services.
    prefix : str
        What the prompt begins with, by a name; empty for a prompt of its own.
    prefix_tokens : int
        Length of that beginning.
    attempt : int
        Attempt number of a booking or alert; 0 for the others.
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
        """Return the request as scenarios have it."""
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


def request_of(line: Any) -> TracedRequest:
    """Return the request of a parsed line, or raise what is wrong with it."""
    if not isinstance(line, dict):
        raise TraceError("found no JSON object")
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
        A file of JSON lines.

    Returns
    -------
    requests : list of TracedRequest
        In the order of the file.

    Raises
    ------
    TraceError
        With the number of the first line that is no request.
    """
    requests = []
    for number, text in enumerate(path.read_text().splitlines(), 1):
        try:
            requests.append(request_of(json.loads(text)))
        except (TraceError, json.JSONDecodeError) as error:
            raise TraceError(f"line {number}: {error}") from None
    return requests


def write_trace(path: Path, requests: list[TracedRequest]) -> None:
    """Write a trace; fields that are empty or zero are left out."""
    lines = [
        json.dumps({k: v for k, v in asdict(request).items() if v or k == "time_s"})
        for request in requests
    ]
    path.write_text("".join(f"{line}\n" for line in lines))


def traced_scenario(requests: list[TracedRequest], outcomes: str) -> Scenario:
    """Return a trace and its stated outcomes as one scenario.

    Parameters
    ----------
    requests : list of TracedRequest
        The trace.
    outcomes : str
        Text in the scenario language: the system, its faults, what must come of it.

    Returns
    -------
    scenario : Scenario
        To be run.

    Raises
    ------
    ScenarioError
        If the stated outcomes are no scenario.
    """
    steps = [
        Step(traced.time_s, "send", {"request": traced.to_request()}, number)
        for number, traced in enumerate(requests, 1)
    ]
    return parse_scenario(outcomes, steps)
