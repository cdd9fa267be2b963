"""What a scenario says, as plain values."""

from dataclasses import dataclass, field
from typing import Any

from rosemaryknot.standin.engine_settings import EngineSettings

__all__ = [
    "KINDS",
    "SERVICES",
    "Expectation",
    "Placement",
    "RequestKind",
    "RequestStep",
    "Scenario",
    "ServerGroup",
    "Step",
    "Target",
]

STEP_S = 0.004
SERVICES = {
    "kit-assistant": "model",
    "brief-writer": "model",
    "dispatch-app": "plain",
    "visit-notify": "plain",
}


@dataclass(slots=True, frozen=True)
class RequestKind:
    """What callers send under one word of the language.

    Attributes
    ----------
    service : str
        Service that it goes to.
    tokens : int
        Most tokens of the answer; 0 for a plain service.
    words : int
        Words of the prompt; 0 for a plain service.
    path : str
        Path of an idempotent read; empty for other kinds.
    """

    service: str
    tokens: int = 0
    words: int = 0
    path: str = ""

    @property
    def is_model(self) -> bool:
        """Whether it goes to a model."""
        return self.tokens > 0


KINDS = {
    "plan-set": RequestKind("kit-assistant", 1500, 600),
    "question": RequestKind("kit-assistant", 64, 20),
    "stock-check": RequestKind("dispatch-app", path="stock/beam"),
    "booking": RequestKind("dispatch-app"),
    "care-brief": RequestKind("brief-writer", 600, 400),
    "chat": RequestKind("brief-writer", 200, 300),
    "alert": RequestKind("visit-notify"),
    "ping": RequestKind("visit-notify", path="ping"),
}


@dataclass(slots=True)
class ServerGroup:
    """Backend servers that a zone, or each zone, starts with.

    Attributes
    ----------
    service : str
        Service.
    count : int
        Servers in each zone.
    form : str
        Form of at-most-once execution of a plain service: ``shards`` or ``objects``.
    zone : str
        The only zone; empty for each.
    machine_class : str
        Machine class.
    reclaimable : bool
        Whether the cloud may take them back.
    """

    service: str
    count: int
    form: str = "shards"
    zone: str = ""
    machine_class: str = "g1"
    reclaimable: bool = True


def new_engine() -> EngineSettings:
    """Return what engines are like where a scenario says nothing of them."""
    return EngineSettings(step_time_s=STEP_S)


@dataclass(slots=True)
class RequestStep:
    """One request of a caller.

    Attributes
    ----------
    customer : str
        Who sends it.
    kind : str
        A key of `KINDS`.
    name : str
        Name in the scenario; also the idempotency key.
    tokens, words : int
        Most tokens of the answer, words of the prompt.
    place : str
        Zone or node whose entries it goes to; empty for any.
    sends : int
        How often it is sent at most.
    timeout_s : float
        After how long a send is given up.
    repeat_s : float
        After how long it is sent again without waiting for a reply; 0 to wait.
    declares : bool
        Whether it declares attempt numbers.
    prefix : str
        What the prompt begins with, by a name; empty for a prompt of its own.
    prefix_words : int
        Words of that beginning.
    attempt : int
        Number of this one send of a traced booking or alert; 0 where the caller
        itself repeats.
    """

    customer: str
    kind: str
    name: str
    tokens: int = 0
    words: int = 0
    place: str = ""
    sends: int = 1
    timeout_s: float = 10.0
    repeat_s: float = 0.0
    declares: bool = True
    prefix: str = ""
    prefix_words: int = 0
    attempt: int = 0


@dataclass(slots=True)
class Target:
    """What a fault hits.

    Attributes
    ----------
    kind : str
        ``zone``, ``node``, ``entry``, ``agent``, ``server``, ``platform`` or
        ``everything``.
    name : Token or str
        Zone, node or service.
    zone : Token or str
        Zone of a server.
    """

    kind: str
    name: Any = ""
    zone: Any = ""


@dataclass(slots=True)
class Step:
    """Something that happens at a time.

    Attributes
    ----------
    at_s : float
        When, in seconds from the start of the scenario.
    action : str
        Name in the registry of actions.
    arguments : dict
        Its arguments.
    line : int
        Where the scenario says so.
    """

    at_s: float
    action: str
    arguments: dict[str, Any]
    line: int


@dataclass(slots=True)
class Expectation:
    """An outcome that a scenario states.

    Attributes
    ----------
    at_s : float or None
        When it must hold; None for the end.
    check : str
        Name in the registry of checks.
    arguments : dict
        Its arguments.
    line : int
        Where the scenario says so.
    text : str
        The statement as written.
    """

    at_s: float | None
    check: str
    arguments: dict[str, Any]
    line: int
    text: str = ""


@dataclass(slots=True, frozen=True)
class Placement:
    """Backend servers that placement keeps in a zone.

    Attributes
    ----------
    service, zone : str
        Of which service, where.
    count : int
        How many.
    classes : tuple of str
        Machine classes, the first choice first.
    """

    service: str
    zone: str
    count: int
    classes: tuple[str, ...] = ("g1",)


@dataclass(slots=True)
class Scenario:
    """A whole scenario.

    Attributes
    ----------
    title : str
        What it shows.
    seed : int
        Seed of every random choice.
    zones : list of str
        Availability zones.
    delay_s : float
        One-way delay between them, in seconds.
    engine : EngineSettings
        What the engines are like.
    prices : dict of tuple of (str, str, bool) to float
        Price of an hour by zone, machine class and reclaimable.
    nodes_per_zone : int
        Entry instances of each zone.
    servers : list of ServerGroup
        Backend servers of each zone.
    placements : list of Placement
        What placement keeps.
    steps : list of Step
        What happens.
    expectations : list of Expectation
        What must come of it.
    """

    title: str = ""
    seed: int = 0
    zones: list[str] = field(default_factory=list)
    delay_s: float = 0.0005
    engine: EngineSettings = field(default_factory=new_engine)
    prices: dict[tuple[str, str, bool], float] = field(default_factory=dict)
    nodes_per_zone: int = 1
    servers: list[ServerGroup] = field(default_factory=list)
    placements: list[Placement] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)

    @property
    def requests(self) -> list[RequestStep]:
        """The callers' requests in the order of their statements."""
        return [s.arguments["request"] for s in self.steps if s.action == "send"]

    @property
    def end_s(self) -> float:
        """When the scenario ends: a second after all that it names."""
        times = [step.at_s for step in self.steps]
        times += [e.at_s for e in self.expectations if e.at_s is not None]
        return max(times, default=0.0) + 1.0
