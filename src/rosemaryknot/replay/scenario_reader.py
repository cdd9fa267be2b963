"""Turns the parsed tree of a scenario into its values."""

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
from rosemaryknot.replay.scenario_errors import wrong_value
from rosemaryknot.standin.prefix_cache import BLOCK_TOKENS

__all__ = ["MODEL_TIMEOUT_S", "Reader"]

MODEL_TIMEOUT_S = 60.0


def seconds(token: Token) -> float:
    """Return a time in seconds.

    Examples
    --------
    >>> seconds("20ms"), seconds("1.5s")
    (0.02, 1.5)
    """
    if token.endswith("ms"):
        return float(token[:-2]) / 1000
    return float(token[:-1])


def number(token: Token) -> int | float:
    """Return a number, whole where it is written so."""
    return float(token) if "." in token else int(token)


@v_args(inline=True)
class Reader(Transformer):
    """Turns the tree of a scenario into values, from the leaves up."""

    def __init__(self) -> None:
        super().__init__()
        self.scenario = Scenario()

    # The system

    def title(self, text: Token) -> None:
        """Take the title."""
        self.scenario.title = text[1:-1]

    def seed(self, value: Token) -> None:
        """Take the seed."""
        self.scenario.seed = int(value)

    def zones(self, *words: Token | None) -> None:
        """Take the zones and their delay."""
        *names, delay = words
        self.scenario.zones = [str(name) for name in names]
        if delay is not None:
            self.scenario.delay_s = seconds(delay)

    def engines(self, step: Token, slots: Token | None, cache: Token | None) -> None:
        """Take what the engines are like."""
        engine = self.scenario.engine
        engine.step_time_s = seconds(step)
        if slots is not None:
            engine.slots = int(slots)
        if cache is not None:
            engine.cache_blocks = max(1, int(cache) // BLOCK_TOKENS)

    def entries(self, count: Token) -> None:
        """Take the number of nodes."""
        self.scenario.nodes_per_zone = int(count)

    def servers(
        self, service: Token, count: Token, zone: str, *options: tuple[str, Any]
    ) -> None:
        """Take a group of backend servers."""
        if service not in SERVICES:
            raise wrong_value(service, f"a service ({', '.join(SERVICES)})")
        group = ServerGroup(str(service), int(count), zone=zone)
        for field, value in options:
            setattr(group, field, value)
        self.scenario.servers.append(group)

    def each_zone(self) -> str:
        """Return that servers are in each zone."""
        return ""

    def in_zone(self, zone: Token) -> Token:
        """Return the zone of servers."""
        return zone

    def by_form(self, form: Token) -> tuple[str, Any]:
        """Return the form of at-most-once execution."""
        return "form", str(form)

    def of_class(self, machine_class: Token) -> tuple[str, Any]:
        """Return the machine class."""
        return "machine_class", str(machine_class)

    def on_demand(self) -> tuple[str, Any]:
        """Return that the cloud takes nothing back."""
        return "reclaimable", False

    def price(
        self, machine_class: Token, zone: Token, value: Token, on_demand: Token | None
    ) -> None:
        """Take a price of an hour."""
        key = (str(zone), str(machine_class), on_demand is None)
        self.scenario.prices[key] = float(value)

    def keep(
        self, service: Token, count: Token, zone: Token, classes: list[str] | None
    ) -> None:
        """Take what placement keeps."""
        placement = Placement(service, zone, int(count), tuple(classes or ["g1"]))
        self.scenario.placements.append(placement)

    def classes(self, *names: Token) -> list[str]:
        """Return machine classes."""
        return [str(name) for name in names]

    # What happens

    def timed(self, at: Token, step: tuple[str, dict]) -> None:
        """Take what happens at a time."""
        action, arguments = step
        self.scenario.steps.append(Step(seconds(at), action, arguments, at.line))

    def repeated(self, start: Token, end: Token, gap: Token, step: tuple) -> None:
        """Take a request that is sent again and again under numbered names."""
        request: RequestStep = step[1]["request"]
        gap_s = seconds(gap)
        if not gap_s:
            raise wrong_value(gap, "a time above zero")
        count = int((seconds(end) - seconds(start)) / gap_s) + 1
        for index in range(count):
            one = replace(request, name=f"{request.name}-{index + 1}")
            at_s = seconds(start) + index * gap_s
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
        """Return the tokens of an answer and the words of its prompt."""
        return int(tokens), int(words or 0)

    def to_place(self, place: Token) -> tuple[str, Any]:
        """Return the place that a request goes to."""
        return "place", place

    def giving_up(self, after: Token) -> tuple[str, Any]:
        """Return how long a send is waited for."""
        return "timeout_s", seconds(after)

    def trying(self, sends: Token) -> tuple[str, Any]:
        """Return how often a request is sent."""
        return "sends", int(sends)

    def repeating(self, gap: Token) -> tuple[str, Any]:
        """Return the time between sends that do not wait."""
        return "repeat_s", seconds(gap)

    def undeclared(self) -> tuple[str, Any]:
        """Return that no attempt numbers are declared."""
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
        """Return the version that a patch starts from."""
        return None if value is None else int(value)

    def start_server(self, service: Token, zone: Token) -> tuple[str, dict]:
        """Return the start of a backend server."""
        return "start_server", {"target": Target("server", service, zone)}

    def reclaim(self, target: Target, notice: Token) -> tuple[str, dict]:
        """Return a reclaim."""
        return "reclaim", {"target": target, "notice_s": seconds(notice)}

    def cut(self, zone: Token, other: Target | Token) -> tuple[str, dict]:
        """Return a partition."""
        far = other if isinstance(other, Target) else Target("zone", other)
        return "cut", {"target": Target("zone", zone), "far": far}

    def heal(self, zone: Token) -> tuple[str, dict]:
        """Return the end of a partition."""
        return "heal", {"target": Target("zone", zone)}

    def kill(self, target: Target) -> tuple[str, dict]:
        """Return a death without notice."""
        return "kill", {"target": target}

    def restart(self, target: Target) -> tuple[str, dict]:
        """Return a start at the same address."""
        return "restart", {"target": target}

    def freeze(self, target: Target, lasts: Token) -> tuple[str, dict]:
        """Return a pause."""
        return "freeze", {"target": target, "lasts_s": seconds(lasts)}

    def silence(self, target: Target) -> tuple[str, dict]:
        """Return the silence of open connections."""
        return "silence", {"target": target}

    def swap(self, target: Target) -> tuple[str, dict]:
        """Return a crossing of answers."""
        return "swap", {"target": target}

    def plain_fault(self, target: Target, fault: Token, count: Token) -> tuple:
        """Return a fault of a plain service."""
        arguments = {"target": target, "fault": str(fault), "count": int(count)}
        return "plain_fault", arguments

    def outage(self, form: Token, lasts: Token) -> tuple[str, dict]:
        """Return an outage of the platform."""
        return "outage", {"form": str(form), "lasts_s": seconds(lasts)}

    def slow(self, delay: Token, lasts: Token) -> tuple[str, dict]:
        """Return a slow platform."""
        return "slow", {"delay_s": seconds(delay), "lasts_s": seconds(lasts)}

    def lose(self, count: Token) -> tuple[str, dict]:
        """Return lost answers of the platform."""
        return "lose", {"count": int(count)}

    def stale(self, base: Token) -> tuple[str, dict]:
        """Return a restored backup of the configuration."""
        return "stale", {"number": int(base)}

    def refuse_starts(
        self, machine_class: Token, zone: Token, lasts: Token
    ) -> tuple[str, dict]:
        """Return a time in which the cloud starts nothing of a class in a zone."""
        return "refuse_starts", {
            "target": Target("zone", zone),
            "machine_class": str(machine_class),
            "lasts_s": seconds(lasts),
        }

    def server(self, service: Token, zone: Token) -> Target:
        """Return a backend server."""
        return Target("server", service, zone)

    # What must come of it

    def by(self, at: Token, expectation: Expectation) -> None:
        """Take an outcome that must hold at a time."""
        expectation.at_s = seconds(at)
        expectation.line = at.line
        self.scenario.expectations.append(expectation)

    def expect(self, expectation: Expectation) -> None:
        """Take an outcome that must hold at the end."""
        self.scenario.expectations.append(expectation)

    def outcome(self, subject: Target, results: list[str]) -> Expectation:
        """Return the stated outcome of requests."""
        return stated("outcome", subject=subject, results=results)

    def exactly_one(self, *words: Any) -> Expectation:
        """Return the stated outcome of one among several."""
        *names, results = words
        return stated("exactly_one", names=names, results=results)

    def in_force(self, value: Token) -> Expectation:
        """Return that a version is in force."""
        return stated("in_force", number=int(value))

    def live(self, service: Token, count: Token, zone: Token) -> Expectation:
        """Return how many servers of a service live in a zone."""
        subject = Target("server", service, zone)
        return stated("live", subject=subject, count=int(count))

    def results(self, *results: Token) -> list[str]:
        """Return the results that are allowed."""
        return [str(result) for result in results]

    def recomputed(self, compare: Token, bound: Token) -> Expectation:
        """Return a bound on recomputed tokens."""
        return stated("recomputed", compare=str(compare), bound=number(bound))

    def runs(self, subject: Target, compare: Token, bound: Token) -> Expectation:
        """Return a bound on the runs of a request."""
        return stated(
            "runs", subject=subject, compare=str(compare), bound=number(bound)
        )

    def crossed(self) -> Expectation:
        """Return that no answer is another request's."""
        return stated("crossed")

    def untrue(self, kind: Token) -> Expectation:
        """Return that a refusal is true."""
        return stated("untrue", kind=str(kind))

    def lost(self) -> Expectation:
        """Return that what was accepted is answered."""
        return stated("lost")

    def first_token(
        self, percent: int | None, subject: Target, compare: Token, bound: Token
    ) -> Expectation:
        """Return a bound on the time to the first token."""
        return stated(
            "first_token",
            subject=subject,
            percent=percent or 100,
            compare=str(compare),
            bound=seconds(bound),
        )

    def between_tokens(
        self, percent: int, subject: Target, compare: Token, bound: Token
    ) -> Expectation:
        """Return a bound on the time between tokens."""
        return stated(
            "between_tokens",
            subject=subject,
            percent=percent,
            compare=str(compare),
            bound=seconds(bound),
        )

    def share_of(self, percent: Token) -> int:
        """Return the share that a bound speaks of, in percent."""
        return int(percent)

    def share(self, subject: Target, compare: Token, bound: Token) -> Expectation:
        """Return a bound on the share that is answered."""
        return stated(
            "share", subject=subject, compare=str(compare), bound=number(bound)
        )

    def late_work(self, after: Token) -> Expectation:
        """Return that leaving servers get no new work."""
        return stated("late_work", after_s=seconds(after))

    def reverted(self) -> Expectation:
        """Return that no version gives way to an older one."""
        return stated("reverted")


def stated(check: str, **arguments: Any) -> Expectation:
    """Return an expectation whose place is filled in later."""
    return Expectation(None, check, arguments, 0)


def target_method(kind: str) -> Callable[..., Target]:
    """Return the method of a rule that names a target."""

    def method(self: Reader, name: Token | str = "") -> Target:
        return Target(kind, name)

    return method


for rule in ("zone", "node", "entry", "agent", "platform", "everything"):
    setattr(Reader, rule, v_args(inline=True)(target_method(rule)))
for rule in ("one", "every"):
    setattr(Reader, rule, v_args(inline=True)(target_method(rule)))
