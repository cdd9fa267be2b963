"""Loads and deployments that the worst load is played with, and what becomes of it."""

import math
from dataclasses import dataclass, field

from rosemaryknot.values.gateway import ModelInput

__all__ = [
    "LARGE",
    "LOADS",
    "PAUSING",
    "SMALL",
    "Deployment",
    "Kind",
    "Load",
    "Steps",
    "Tally",
    "Way",
]

GATEWAYS = 7
SERVERS = 5
ZONES = ("a", "b", "c")
# Tokens that a server reads in a second.
READ_RATE = 157_000.0
REPORT_S = 0.05
# What a token of an answer counts against one of a prompt, and the most that a request
# is worth against the mean of its kind.
ANSWER_WEIGHT = 10
MOST_WORTH = 4.0
# Share of the long requests that are the largest ones.
LARGEST_SHARE = 0.1


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    Attributes
    ----------
    name : str
        Its name.
    rank : int
        0 is the most urgent.
    per_s : float
        Requests in a second.
    target_s, patience_s : float
        Wanted time to the first event, and how long its caller waits, in seconds.
    worth : float
        Of a first event in time; a late one is worth a tenth.
    sessions : int
        How many sessions' beginnings their prompts share.
    answer_tokens : int
        Of their answers.
    pause_s : float
        Longest pause between events with which an answer is in time, in seconds.
    mean_size : float
        Of its requests, by which a request's worth follows its size; 0 where all have
        the same worth.
    """

    name: str
    rank: int
    per_s: float
    target_s: float
    patience_s: float
    worth: float
    sessions: int
    answer_tokens: int = 100
    pause_s: float = math.inf
    mean_size: float = 0.0

    def worth_of(self, size: ModelInput) -> float:
        """Return the worth of a request."""
        if not self.mean_size:
            return self.worth
        tokens = size.prompt_tokens + ANSWER_WEIGHT * size.max_output_tokens
        return self.worth * min(MOST_WORTH, 0.3 + 0.7 * tokens / self.mean_size)


LONG = Kind("long", 1, 38.0, 0.6, 15.0, 5.4, 454)
SHORT = Kind("short", 0, 88.0, 0.5, 3.0, 1.5, 702)


@dataclass(slots=True, frozen=True)
class Load:
    """How the load differs from the usual peak.

    Attributes
    ----------
    strength : float
        Requests against the peak's.
    gone : int
        Servers that are taken back.
    from_s, until_s : float
        When both of it begins and ends, in seconds.
    """

    strength: float = 1.0
    gone: int = 0
    from_s: float = 8.0
    until_s: float = 18.0


LOADS = {
    "peak": Load(),
    "reclaimed": Load(strength=1.3, gone=2),
    "flooded": Load(strength=2.2, gone=1),
}


@dataclass(slots=True, frozen=True)
class Steps:
    """Steps of an engine: each makes a token of each answer and reads a chunk.

    Attributes
    ----------
    chunk : int
        Prompt tokens that a step reads at most.
    step_s : float
        A step that reads nothing, in seconds.
    pair_s : float
        For each pair of a token that is read and one before it, in seconds.
    event_steps : int
        Steps between two events of an answer.
    """

    chunk: int
    step_s: float
    pair_s: float
    event_steps: int

    def read_s(self, first: int, tokens: int, rate: float) -> float:
        """Return how long a step takes that reads tokens behind ``first`` others."""
        pairs = tokens * (first + tokens / 2)
        return self.step_s + tokens / rate + pairs * self.pair_s


@dataclass(slots=True, frozen=True)
class Deployment:
    """Who places on what.

    Attributes
    ----------
    gateways, servers : int
        How many there are.
    zones : tuple of str
        Over which both are spread.
    read_rate : float
        Tokens that a server reads in a second.
    report_s : float
        How often gateways tell what they have in flight.
    has_hubs : bool
        Whether they tell it to the hub of their zone, which adds up; otherwise to all.
    places : int
        Requests that a server runs at once; further ones wait.
    event_s : float
        A running request's time after its first event, for each token of its answer.
    long, short : Kind
        What callers ask.
    steps : Steps or None
        How engines read prompts between the tokens of answers, where it counts.
    speeds : tuple of float
        By server in turn, how much longer its steps take.
    clump : int
        Requests that come at once.
    """

    gateways: int = GATEWAYS
    servers: int = SERVERS
    zones: tuple[str, ...] = ZONES
    read_rate: float = READ_RATE
    report_s: float = REPORT_S
    has_hubs: bool = False
    places: int = 1_000_000
    event_s: float = 0.0
    long: Kind = LONG
    short: Kind = SHORT
    steps: Steps | None = None
    speeds: tuple[float, ...] = (1.0,)
    clump: int = 3


SMALL = Deployment()
LARGE = Deployment(
    gateways=91,
    servers=56,
    zones=("a", "b", "c", "d"),
    read_rate=81_900.0,
    report_s=0.25,
    has_hubs=True,
    places=16,
    event_s=0.005,
    long=Kind("long", 1, 114.0, 1.045, 15.0, 5.9, 1749, 385),
    short=Kind("short", 0, 298.0, 0.622, 3.0, 1.5, 4582, 21),
)
PAUSING = Deployment(
    gateways=9,
    servers=6,
    zones=("a", "b", "c", "d"),
    read_rate=61_800.0,
    long=Kind("long", 1, 6.6, 1.2, 15.0, 5.4, 132, 382, 0.6, 15_300.0),
    short=Kind("short", 0, 21.0, 0.7, 3.0, 1.0, 295, 160, 0.6, 3_800.0),
    steps=Steps(chunk=4096, step_s=0.0035, pair_s=3.67e-10, event_steps=6),
    speeds=(1.0, 1.0, 1.3),
    clump=6,
)


@dataclass(slots=True, frozen=True)
class Way:
    """How requests are admitted, kept waiting and placed.

    Attributes
    ----------
    admission, placement : str
        Names in the registries.
    holds : bool
        Whether gateways hold requests back, by rank and deadline, until a server has
        little to read; otherwise they wait at the servers.
    report_s : float or None
        How often gateways tell what they have in flight, where not as usual.
    """

    admission: str
    placement: str
    holds: bool = False
    report_s: float | None = None


@dataclass(slots=True)
class Tally:
    """What became of the requests.

    Attributes
    ----------
    owed, earned : float
        Worth of all requests, and of those answered.
    in_time : float
        Worth of those answered in time.
    refused : int
        Refusals, those of callers who came back included.
    unserved : int
        Requests without an answer.
    waits_s : list of float
        From the caller's first attempt to the first event, in seconds.
    tokens_read : int
        By all servers.
    paused : int
        Answers that were late by a pause only.
    long_ones : list of tuple of (int, float, float)
        Of each long request: its prompt's tokens, its worth, and what it earned.
    """

    owed: float = 0.0
    earned: float = 0.0
    in_time: float = 0.0
    refused: int = 0
    unserved: int = 0
    waits_s: list[float] = field(default_factory=list)
    tokens_read: int = 0
    paused: int = 0
    long_ones: list[tuple[int, float, float]] = field(default_factory=list)

    def largest_share(self) -> float:
        """Return the share of their worth that the largest prompts earned."""
        ordered = sorted(self.long_ones, reverse=True)
        largest = ordered[: max(1, round(LARGEST_SHARE * len(ordered)))]
        owed = sum(worth for _, worth, _ in largest)
        return sum(earned for _, _, earned in largest) / owed if owed else 0.0

    def figures(self) -> dict[str, float]:
        """Return what is compared."""
        waits = sorted(self.waits_s)
        return {
            "earned_share": round(self.earned / self.owed, 3),
            "in_time_share": round(self.in_time / self.owed, 3),
            "refused": self.refused,
            "unserved": self.unserved,
            "largest_wait_s": round(waits[-1], 3),
            "p95_wait_s": round(waits[int(0.95 * len(waits))], 3),
            "tokens_read": self.tokens_read,
            "paused": self.paused,
            "largest_share": round(self.largest_share(), 3),
        }
