"""Checks that a scenario is complete and that all names in it are defined."""

from collections.abc import Iterator

from lark import Token

from rosemaryknot.replay.scenario import KINDS, Scenario, Target
from rosemaryknot.replay.scenario_errors import ScenarioError, invalid_value_error

__all__ = ["check_names", "check_requests", "check_complete"]


def names_to_check(scenario: Scenario) -> Iterator[tuple[str, Token]]:
    """Return the names that must be defined, each with the kind of its referent."""
    for group in scenario.servers:
        if group.zone:
            yield "zone", group.zone
    for placement in scenario.placements:
        yield "service", placement.service
        yield "zone", placement.zone
    for step in scenario.steps:
        request = step.arguments.get("request")
        if request is not None and request.place:
            yield "place", request.place
        if step.arguments.get("node"):
            yield "node", step.arguments["node"]
        for target in (step.arguments.get("target"), step.arguments.get("far")):
            if target is not None:
                yield from names_of_target(target)
    for expectation in scenario.expectations:
        subject = expectation.arguments.get("subject")
        if subject is not None and subject.kind == "server":
            yield from names_of_target(subject)
        if subject is not None and subject.kind == "one":
            yield "request", subject.name
        for name in expectation.arguments.get("names", ()):
            yield "request", name


def names_of_target(target: Target) -> Iterator[tuple[str, Token]]:
    """Return the names in a target, each with the kind of its referent."""
    if target.kind == "zone":
        yield "zone", target.name
    elif target.kind in ("node", "entry", "agent"):
        yield "node", target.name
    elif target.kind == "server":
        yield "service", target.name
        yield "zone", target.zone


def check_complete(scenario: Scenario) -> None:
    """Raise `ScenarioError` if the title or the zones are missing."""
    needed = {"scenario": scenario.title, "zones": scenario.zones}
    for word, value in needed.items():
        if not value:
            raise ScenarioError(1, 1, f"no statement {word}", f"one with {word}")


def check_requests(scenario: Scenario) -> None:
    """Reject duplicate names, and requests to a service without servers."""
    services = {group.service for group in scenario.servers}
    names = set()
    for step in scenario.steps:
        request = step.arguments.get("request")
        name = step.arguments["name"] if step.action == "patch" else None
        if request is not None:
            name = request.name
            service = KINDS[request.kind].service
            if service not in services:
                expected = f"servers {service} in this scenario"
                raise ScenarioError(
                    step.line,
                    getattr(request.kind, "column", 1),
                    f'"{request.kind}"',
                    expected,
                )
        is_repeat = request is not None and request.attempt > 1
        if name in names and not is_repeat:
            raise ScenarioError(step.line, 1, f'"{name}" again', "another name")
        if name is not None:
            names.add(name)


def check_names(scenario: Scenario) -> None:
    """Raise `ScenarioError` for a name that is not defined."""
    zones = set(scenario.zones)
    indices = range(1, scenario.nodes_per_zone + 1)
    nodes = {f"{zone}-{index}" for zone in zones for index in indices}
    requests = {request.name for request in scenario.requests}
    patches = {s.arguments["name"] for s in scenario.steps if s.action == "patch"}
    known = {
        "zone": zones,
        "node": nodes,
        "place": zones | nodes,
        "service": {group.service for group in scenario.servers},
        "request": requests | patches,
    }
    for kind, token in names_to_check(scenario):
        if token not in known[kind]:
            names = ", ".join(sorted(known[kind])) or "none was stated"
            raise invalid_value_error(token, f"a {kind} of this scenario ({names})")
