"""Data model of parsed scenarios."""

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

DEFAULT_STEP_TIME_S = 0.004
SERVICES = {
    "kit-assistant": "model",
    "brief-writer": "model",
    "dispatch-app": "plain",
    "visit-notify": "plain",
}


@dataclass(slots=True, frozen=True)
class RequestKind:
    """Kind of request, as named by a word of the scenario language.

    Attributes
    ----------
    service : str
        Service to which it is sent.
    tokens : int
        Maximum number of tokens of the response; 0 for a plain service.
    words : int
        Number of words of the prompt; 0 for a plain service.
    path : str
        Path of an idempotent read; empty for other kinds.
    """

    service: str
    tokens: int = 0
    words: int = 0
    path: str = ""

    @property
    def is_model(self) -> bool:
        """Whether it is sent to a model service."""
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
    """Initial backend servers of one zone or of each zone.

    Attributes
    ----------
    service : str
        Name of the service.
    count : int
        Number of servers in each zone.
    form : str
        Form of at-most-once execution of a plain service: ``shards`` or ``objects``.
    zone : str
        Zone of the servers; empty for each zone.
    machine_class : str
        Machine class.
    reclaimable : bool
        Whether the cloud may reclaim them.
    """

    service: str
    count: int
    form: str = "shards"
    zone: str = ""
    machine_class: str = "g1"
    reclaimable: bool = True


def default_engine_settings() -> EngineSettings:
    """Return the default engine settings of scenarios."""
    return EngineSettings(step_time_s=DEFAULT_STEP_TIME_S)


@dataclass(slots=True)
class RequestStep:
    """Request of a caller.

    Attributes
    ----------
    customer : str
        Customer that sends it.
    kind : str
        A key of `KINDS`.
    name : str
        Name in the scenario, which is also the idempotency key.
    tokens, words : int
        Maximum number of tokens of the response, and number of words of the prompt.
    place : str
        Zone or node to whose entries it is sent; empty for any.
    sends : int
        Maximum number of sends.
    timeout_s : float
        Timeout of each send.
    repeat_s : float
        Interval after which it is sent again without waiting for a reply; 0 to
        wait.
    declares : bool
        Whether the caller declares attempt numbers.
    prefix : str
        Name of the shared prefix of the prompt; empty if it shares none.
    prefix_words : int
        Number of words of the shared prefix.
    attempt : int
        Attempt number of a single send of a traced booking or alert; 0 if the
        caller itself retries.
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
    """Target of a fault.

    Attributes
    ----------
    kind : str
        ``zone``, ``node``, ``entry``, ``agent``, ``server``, ``platform`` or
        ``everything``.
    name : Token or str
        Name of the zone, node or service.
    zone : Token or str
        Zone of a server.
    """

    kind: str
    name: Any = ""
    zone: Any = ""


@dataclass(slots=True)
class Step:
    """Action at a given time.

    Attributes
    ----------
    at_s : float
        Time in seconds from the start of the scenario.
    action : str
        Name in the registry of actions.
    arguments : dict
        Arguments of the action.
    line : int
        Line of the scenario.
    """

    at_s: float
    action: str
    arguments: dict[str, Any]
    line: int


@dataclass(slots=True)
class Expectation:
    """Expected outcome that is stated in a scenario.

    Attributes
    ----------
    at_s : float or None
        Time at which it must hold; None for the end.
    check : str
        Name in the registry of checks.
    arguments : dict
        Arguments of the check.
    line : int
        Line of the scenario.
    text : str
        Statement as written in the scenario.
    """

    at_s: float | None
    check: str
    arguments: dict[str, Any]
    line: int
    text: str = ""


@dataclass(slots=True, frozen=True)
class Placement:
    """Backend servers that placement maintains in a zone.

    Attributes
    ----------
    service, zone : str
        Service and zone of the servers.
    count : int
        Target number of servers.
    classes : tuple of str
        Machine classes in order of preference.
    """

    service: str
    zone: str
    count: int
    classes: tuple[str, ...] = ("g1",)


@dataclass(slots=True)
class Scenario:
    """Complete scenario.

    Attributes
    ----------
    title : str
        Description of what it demonstrates.
    seed : int
        Seed of all random choices.
    zones : list of str
        Availability zones.
    delay_s : float
        One-way network delay between zones, in seconds.
    engine : EngineSettings
        Settings of the engine stand-ins.
    prices : dict of tuple of (str, str, bool) to float
        Price per hour by zone, machine class and whether it is reclaimable.
    nodes_per_zone : int
        Number of nodes in each zone.
    servers : list of ServerGroup
        Initial backend servers.
    placements : list of Placement
        Backend servers that placement maintains.
    steps : list of Step
        Actions at given times.
    expectations : list of Expectation
        Expected outcomes.
    """

    title: str = ""
    seed: int = 0
    zones: list[str] = field(default_factory=list)
    delay_s: float = 0.0005
    engine: EngineSettings = field(default_factory=default_engine_settings)
    prices: dict[tuple[str, str, bool], float] = field(default_factory=dict)
    nodes_per_zone: int = 1
    servers: list[ServerGroup] = field(default_factory=list)
    placements: list[Placement] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)

    @property
    def requests(self) -> list[RequestStep]:
        """Requests of the callers, in the order of their statements."""
        return [s.arguments["request"] for s in self.steps if s.action == "send"]

    @property
    def end_s(self) -> float:
        """End of the scenario: one second after its last stated time."""
        times = [step.at_s for step in self.steps]
        times += [e.at_s for e in self.expectations if e.at_s is not None]
        return max(times, default=0.0) + 1.0
