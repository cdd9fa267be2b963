"""Loads and deployments that the worst load is played with, and what becomes of it."""

from dataclasses import dataclass, field

__all__ = [
    "LARGE",
    "LOADS",
    "SMALL",
    "Deployment",
    "Kind",
    "Load",
    "Tally",
    "Way",
]

GATEWAYS = 7
SERVERS = 5
ZONES = ("a", "b", "c")
# Tokens that a server reads in a second.
READ_RATE = 157_000.0
REPORT_S = 0.05


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
    """

    name: str
    rank: int
    per_s: float
    target_s: float
    patience_s: float
    worth: float
    sessions: int
    answer_tokens: int = 100


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
    """

    owed: float = 0.0
    earned: float = 0.0
    in_time: float = 0.0
    refused: int = 0
    unserved: int = 0
    waits_s: list[float] = field(default_factory=list)
    tokens_read: int = 0

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
        }
