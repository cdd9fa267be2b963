"""Conversion of the parse tree of a scenario into a `Scenario`."""

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lark import Token, Transformer, v_args

from rosemaryknot.replay.scenario import (
    KINDS,
    SERVICES,
    Expectation,
    Placement,
    RequestStep,
    Scenario,
    ServerGroup,
    Step,
    Target,
)
from rosemaryknot.replay.scenario_errors import invalid_value_error
from rosemaryknot.standin.prefix_cache import BLOCK_TOKENS

__all__ = ["MODEL_TIMEOUT_S", "Reader"]

MODEL_TIMEOUT_S = 60.0


def parse_seconds(token: Token) -> float:
    """Convert a time token to seconds.

    Examples
    --------
    >>> parse_seconds("20ms"), parse_seconds("1.5s")
    (0.02, 1.5)
    """
    if token.endswith("ms"):
        return float(token[:-2]) / 1000
    return float(token[:-1])


def number(token: Token) -> int | float:
    """Convert a number token to an integer, or to a float if it has a point."""
    return float(token) if "." in token else int(token)


@v_args(inline=True)
class Reader(Transformer):
    """Transformer that converts a parse tree into a `Scenario`, from the leaves up."""

    def __init__(self) -> None:
        super().__init__()
        self.scenario = Scenario()

    # System

    def title(self, text: Token) -> None:
        """Set the title."""
        self.scenario.title = text[1:-1]

    def seed(self, value: Token) -> None:
        """Set the seed."""
        self.scenario.seed = int(value)

    def zones(self, *words: Token | None) -> None:
        """Set the zones and the delay between them."""
        *names, delay = words
        self.scenario.zones = [str(name) for name in names]
        if delay is not None:
            self.scenario.delay_s = parse_seconds(delay)

    def engines(self, step: Token, slots: Token | None, cache: Token | None) -> None:
        """Set the settings of the engines."""
        engine = self.scenario.engine
        engine.step_time_s = parse_seconds(step)
        if slots is not None:
            engine.slots = int(slots)
        if cache is not None:
            engine.cache_blocks = max(1, int(cache) // BLOCK_TOKENS)

    def entries(self, count: Token) -> None:
        """Set the number of nodes per zone."""
        self.scenario.nodes_per_zone = int(count)

    def servers(
        self, service: Token, count: Token, zone: str, *options: tuple[str, Any]
    ) -> None:
        """Add a group of backend servers."""
        if service not in SERVICES:
            raise invalid_value_error(service, f"a service ({', '.join(SERVICES)})")
        group = ServerGroup(str(service), int(count), zone=zone)
        for field, value in options:
            setattr(group, field, value)
        self.scenario.servers.append(group)

    def each_zone(self) -> str:
        """Return the empty zone, which means that each zone has the servers."""
        return ""

    def in_zone(self, zone: Token) -> Token:
        """Return the only zone that has the servers."""
        return zone

    def by_form(self, form: Token) -> tuple[str, Any]:
        """Return the form of at-most-once execution."""
        return "form", str(form)

    def of_class(self, machine_class: Token) -> tuple[str, Any]:
        """Return the machine class."""
        return "machine_class", str(machine_class)

    def on_demand(self) -> tuple[str, Any]:
        """Return that the cloud cannot reclaim the servers."""
        return "reclaimable", False

    def price(
        self, machine_class: Token, zone: Token, value: Token, on_demand: Token | None
    ) -> None:
        """Set a price per hour."""
        key = (str(zone), str(machine_class), on_demand is None)
        self.scenario.prices[key] = float(value)

    def keep(
        self, service: Token, count: Token, zone: Token, classes: list[str] | None
    ) -> None:
        """Add the servers that placement maintains in a zone."""
        placement = Placement(service, zone, int(count), tuple(classes or ["g1"]))
        self.scenario.placements.append(placement)

    def classes(self, *names: Token) -> list[str]:
        """Return machine classes."""
        return [str(name) for name in names]

    # Steps

    def timed(self, at: Token, step: tuple[str, dict]) -> None:
        """Add a step at a given time."""
        action, arguments = step
        self.scenario.steps.append(Step(parse_seconds(at), action, arguments, at.line))

    def repeated(self, start: Token, end: Token, gap: Token, step: tuple) -> None:
        """Add requests at regular intervals, with numbered names."""
        request: RequestStep = step[1]["request"]
        gap_s = parse_seconds(gap)
        if not gap_s:
            raise invalid_value_error(gap, "a time above zero")
        count = int((parse_seconds(end) - parse_seconds(start)) / gap_s) + 1
        for index in range(count):
            one = replace(request, name=f"{request.name}-{index + 1}")
            at_s = parse_seconds(start) + index * gap_s
            self.scenario.steps.append(Step(at_s, "send", {"request": one}, start.line))

    def request(
        self,
        customer: Token,
        kind: Token,
        size: tuple[int, int] | None,
        name: Token,
        *options: tuple[str, Any],
    ) -> tuple[str, dict]:
        """Return a caller's request."""
        known = KINDS[kind]
        tokens, words = size or (0, 0)
        request = RequestStep(
            str(customer),
            kind,
            name,
            tokens or known.tokens,
            words or known.words,
        )
        if known.is_model:
            request.timeout_s = MODEL_TIMEOUT_S
        for field, value in options:
            setattr(request, field, value)
        return "send", {"request": request}

    def size(self, tokens: Token, words: Token | None) -> tuple[int, int]:
        """Return the response tokens and the prompt words of a request."""
        return int(tokens), int(words or 0)

    def to_place(self, place: Token) -> tuple[str, Any]:
        """Return the zone or node to which a request is sent."""
        return "place", place

    def giving_up(self, after: Token) -> tuple[str, Any]:
        """Return the timeout of each send."""
        return "timeout_s", parse_seconds(after)

    def trying(self, sends: Token) -> tuple[str, Any]:
        """Return the maximum number of sends."""
        return "sends", int(sends)

    def repeating(self, gap: Token) -> tuple[str, Any]:
        """Return the interval between sends that do not wait for replies."""
        return "repeat_s", parse_seconds(gap)

    def undeclared(self) -> tuple[str, Any]:
        """Return that the caller declares no attempt numbers."""
        return "declares", False

    def patch(
        self,
        operator: Token,
        path: Token,
        value: Token,
        base: int | None,
        name: Token,
        node: Token | None,
    ) -> tuple[str, dict]:
        """Return an operator's patch."""
        return "patch", {
            "operator": str(operator),
            "path": str(path),
            "value": json.loads(value),
            "base": base,
            "name": name,
            "node": node,
        }

    def base(self, value: Token | None) -> int | None:
        """Return the configuration number on which a patch is based."""
        return None if value is None else int(value)

    def start_server(self, service: Token, zone: Token) -> tuple[str, dict]:
        """Return the start of a backend server."""
        return "start_server", {"target": Target("server", service, zone)}

    def reclaim(self, target: Target, notice: Token) -> tuple[str, dict]:
        """Return the reclaim of a zone, node or server."""
        return "reclaim", {"target": target, "notice_s": parse_seconds(notice)}

    def cut(self, zone: Token, other: Target | Token) -> tuple[str, dict]:
        """Return a network partition."""
        far = other if isinstance(other, Target) else Target("zone", other)
        return "cut", {"target": Target("zone", zone), "far": far}

    def heal(self, zone: Token) -> tuple[str, dict]:
        """Return the end of a network partition."""
        return "heal", {"target": Target("zone", zone)}

    def kill(self, target: Target) -> tuple[str, dict]:
        """Return a kill without notice."""
        return "kill", {"target": target}

    def restart(self, target: Target) -> tuple[str, dict]:
        """Return a restart at the same address."""
        return "restart", {"target": target}

    def freeze(self, target: Target, lasts: Token) -> tuple[str, dict]:
        """Return a freeze of a process."""
        return "freeze", {"target": target, "lasts_s": parse_seconds(lasts)}

    def silence(self, target: Target) -> tuple[str, dict]:
        """Return the silencing of the open connections of a process."""
        return "silence", {"target": target}

    def swap(self, target: Target) -> tuple[str, dict]:
        """Return a swap of two responses of an engine."""
        return "swap", {"target": target}

    def plain_fault(self, target: Target, fault: Token, count: Token) -> tuple:
        """Return a fault of a plain service."""
        arguments = {"target": target, "fault": str(fault), "count": int(count)}
        return "plain_fault", arguments

    def outage(self, form: Token, lasts: Token) -> tuple[str, dict]:
        """Return an outage of the platform."""
        return "outage", {"form": str(form), "lasts_s": parse_seconds(lasts)}

    def slow(self, delay: Token, lasts: Token) -> tuple[str, dict]:
        """Return a delay of the responses of the platform."""
        return "slow", {
            "delay_s": parse_seconds(delay),
            "lasts_s": parse_seconds(lasts),
        }

    def lose(self, count: Token) -> tuple[str, dict]:
        """Return a loss of responses of the platform."""
        return "lose", {"count": int(count)}

    def stale(self, base: Token) -> tuple[str, dict]:
        """Return a rollback of the stored configuration."""
        return "stale", {"number": int(base)}

    def refuse_starts(
        self, machine_class: Token, zone: Token, lasts: Token
    ) -> tuple[str, dict]:
        """Return a period in which the cloud starts no machine of a class in a zone."""
        return "refuse_starts", {
            "target": Target("zone", zone),
            "machine_class": str(machine_class),
            "lasts_s": parse_seconds(lasts),
        }

    def server(self, service: Token, zone: Token) -> Target:
        """Return a backend server as a target."""
        return Target("server", service, zone)

    # Expectations

    def by(self, at: Token, expectation: Expectation) -> None:
        """Add an expectation that must hold at a given time."""
        expectation.at_s = parse_seconds(at)
        expectation.line = at.line
        self.scenario.expectations.append(expectation)

    def expect(self, expectation: Expectation) -> None:
        """Add an expectation that must hold at the end."""
        self.scenario.expectations.append(expectation)

    def outcome(self, subject: Target, results: list[str]) -> Expectation:
        """Return the expected results of requests or of a patch."""
        return new_expectation("outcome", subject=subject, results=results)

    def exactly_one(self, *words: Any) -> Expectation:
        """Return that exactly one of several requests has one of the results."""
        *names, results = words
        return new_expectation("exactly_one", names=names, results=results)

    def in_force(self, value: Token) -> Expectation:
        """Return that a configuration is active everywhere."""
        return new_expectation("in_force", number=int(value))

    def live(self, service: Token, count: Token, zone: Token) -> Expectation:
        """Return the number of running servers of a service in a zone."""
        subject = Target("server", service, zone)
        return new_expectation("live", subject=subject, count=int(count))

    def results(self, *results: Token) -> list[str]:
        """Return the allowed results."""
        return [str(result) for result in results]

    def recomputed(self, compare: Token, bound: Token) -> Expectation:
        """Return a bound on recomputed tokens."""
        return new_expectation("recomputed", compare=str(compare), bound=number(bound))

    def runs(self, subject: Target, compare: Token, bound: Token) -> Expectation:
        """Return a bound on the number of executions of a request."""
        return new_expectation(
            "runs", subject=subject, compare=str(compare), bound=number(bound)
        )

    def crossed(self) -> Expectation:
        """Return that no response belongs to another request."""
        return new_expectation("crossed")

    def untrue(self, kind: Token) -> Expectation:
        """Return that no refused request of a kind was executed."""
        return new_expectation("untrue", kind=str(kind))

    def lost(self) -> Expectation:
        """Return that every accepted request is answered."""
        return new_expectation("lost")

    def first_token(
        self, percent: int | None, subject: Target, compare: Token, bound: Token
    ) -> Expectation:
        """Return a bound on the time to the first token."""
        return new_expectation(
            "first_token",
            subject=subject,
            percent=percent or 100,
            compare=str(compare),
            bound=parse_seconds(bound),
        )

    def between_tokens(
        self, percent: int, subject: Target, compare: Token, bound: Token
    ) -> Expectation:
        """Return a bound on the time between tokens."""
        return new_expectation(
            "between_tokens",
            subject=subject,
            percent=percent,
            compare=str(compare),
            bound=parse_seconds(bound),
        )

    def share_of(self, percent: Token) -> int:
        """Return the percentage to which a bound applies."""
        return int(percent)

    def share(self, subject: Target, compare: Token, bound: Token) -> Expectation:
        """Return a bound on the share of requests that are answered."""
        return new_expectation(
            "share", subject=subject, compare=str(compare), bound=number(bound)
        )

    def late_work(self, after: Token) -> Expectation:
        """Return that draining servers start no new work."""
        return new_expectation("late_work", after_s=parse_seconds(after))

    def reverted(self) -> Expectation:
        """Return that no process goes back to an older configuration."""
        return new_expectation("reverted")


def new_expectation(check: str, **arguments: Any) -> Expectation:
    """Create an expectation whose time, line and text are set later."""
    return Expectation(None, check, arguments, 0)


def target_method(kind: str) -> Callable[..., Target]:
    """Return a transformer method for a rule that names a target."""

    def method(self: Reader, name: Token | str = "") -> Target:
        return Target(kind, name)

    return method


for rule in ("zone", "node", "entry", "agent", "platform", "everything"):
    setattr(Reader, rule, v_args(inline=True)(target_method(rule)))
for rule in ("one", "every"):
    setattr(Reader, rule, v_args(inline=True)(target_method(rule)))
