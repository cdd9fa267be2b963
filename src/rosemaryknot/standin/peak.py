"""The worst load, without network: clumps of long prompts while servers are taken back.

Seven gateways place requests on model servers by their own tables, which learn of each
other's work each 50 ms. A server reads one prompt after the other as they come, as
engines do while they have free slots, and keeps what it has read for a while. Every way
of admission, waiting and placement meets the same seeded requests; a caller that is
refused comes back once.
"""

import heapq
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import trio
from trio.testing import MockClock

from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.server_state import PeerLoad, ServerState
from rosemaryknot.request.gateway_admission import (
    ADMISSIONS,
    AdmissionInput,
    return_after_s,
)
from rosemaryknot.request.gateway_placement import (
    POLICIES,
    Candidate,
    PlacementInput,
    placement_policy,
    usable,
)
from rosemaryknot.standin.peak_hubs import Hubs
from rosemaryknot.values.gateway import ModelInput, PromptPart, RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

__all__ = ["LARGE", "LOADS", "SMALL", "Deployment", "Load", "Tally", "Way", "play_peak"]

GATEWAYS = 7
SERVERS = 5
ZONES = ("a", "b", "c")
# Tokens that a server reads in a second, and the least time to a first event.
READ_RATE = 157_000.0
FIRST_S = 0.026
KEPT_S = 20.0
REPORT_S = 0.05
LENGTH_S = 30.0
CLUMP = 3
# How often a gateway that holds requests back looks whether one may go.
LOOK_S = 0.01
# Such a gateway sends a request to a server that has less than this to read: enough
# for the server to go on until the next one arrives.
HELD_TOKENS = 12_000
LATE_PART = 0.1
RETURN_SPREAD_S = 0.4


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


@placement_policy("any_server")
def any_server(given: PlacementInput) -> Candidate | None:
    """Draw a server: first come, first served, without a choice."""
    return given.rng.choice(given.candidates) if given.candidates else None


@placement_policy("unread_tokens_of_3")
def unread_tokens_of_3(given: PlacementInput) -> Candidate | None:
    """Choose among three drawn servers."""
    few = given.rng.sample(given.candidates, min(3, len(given.candidates)))
    return POLICIES["unread_tokens"](replace(given, candidates=few))


@placement_policy("unread_tokens_of_2_and_kept")
def unread_tokens_of_2_and_kept(given: PlacementInput) -> Candidate | None:
    """Choose among two drawn servers and the one that keeps most of the prompt."""
    few = given.rng.sample(given.candidates, min(2, len(given.candidates)))
    kept = max(given.candidates, key=lambda candidate: candidate.kept_tokens)
    if kept.kept_tokens and kept not in few:
        few.append(kept)
    return POLICIES["unread_tokens"](replace(given, candidates=few))


@dataclass(slots=True, eq=False)
class Prompt:
    """A prompt that waits at a server."""

    size: ModelInput
    is_left: bool = False
    is_read: trio.Event = field(default_factory=trio.Event)


class Engine:
    """A model server that reads one prompt after the other while places are free."""

    def __init__(self, tally: Tally, deployment: Deployment) -> None:
        self.tally = tally
        self.rate = deployment.read_rate
        self.places = trio.CapacityLimiter(deployment.places)
        self.kept: dict[str, float] = {}
        self.waiting: deque[Prompt] = deque()
        self.has_work = trio.Event()

    def unread(self, size: ModelInput) -> int:
        """Return the tokens that it does not keep."""
        now_s = trio.current_time()
        unread = size.prompt_tokens
        for part in size.parts[:-1]:
            if now_s - self.kept.get(part.id, -KEPT_S) >= KEPT_S:
                break
            unread -= part.tokens
        return unread

    def put(self, prompt: Prompt) -> None:
        """Take a prompt in."""
        self.waiting.append(prompt)
        self.has_work.set()

    async def run(self) -> None:
        """Read prompts."""
        while True:
            while not self.waiting:
                self.has_work = trio.Event()
                await self.has_work.wait()
            prompt = self.waiting.popleft()
            if prompt.is_left:
                continue
            await self.places.acquire_on_behalf_of(prompt)
            unread = self.unread(prompt.size)
            self.tally.tokens_read += unread
            await trio.sleep(unread / self.rate)
            for part in prompt.size.parts[:-1]:
                self.kept[part.id] = trio.current_time()
            prompt.is_read.set()
            if prompt.is_left:
                self.end(prompt)

    def end(self, prompt: Prompt) -> None:
        """Free a prompt's place."""
        if prompt.is_read.is_set():
            self.places.release_on_behalf_of(prompt)


class Gateway:
    """One gateway's table and choices."""

    def __init__(
        self, number: int, way: Way, seed: int, deployment: Deployment = SMALL
    ) -> None:
        zones = deployment.zones
        self.name = f"n{number}"
        self.zone = zones[number % len(zones)]
        self.way = way
        self.rng = random.Random(seed + number)
        self.held: list[tuple[int, float, int]] = []
        self.table = ServerTable()
        self.table.is_told_late = deployment.has_hubs
        for server in range(deployment.servers):
            zone = zones[server % len(zones)]
            address = Address("10.0.0.1", 80 + server)
            life = ServerIncarnation(f"s{server}")
            self.table.put(RoutedServer(life, "model", zone, address, 128))

    def place(self, size: ModelInput) -> Candidate:
        """Choose a server."""
        states = [s for s in self.table.by_id.values() if not s.entry.is_leaving]
        candidates = []
        for state in usable(states, trio.current_time(), set(), True):
            requests, tokens = state.load()
            kept = self.table.kept.tokens(state, size)
            candidates.append(Candidate(state, requests, tokens, kept))
        given = PlacementInput(self.zone, size, candidates, self.rng)
        return POLICIES[self.way.placement](given)

    def refusal_s(
        self, kind: Kind, size: ModelInput, chosen: Candidate, left_s: float
    ) -> float | None:
        """Return when to come back, or None where the request is let in."""
        rate = self.table.rate
        own_s = (size.prompt_tokens - chosen.kept_tokens) / rate
        given = AdmissionInput(
            kind.rank > 0, chosen.tokens / rate, own_s, kind.target_s, left_s
        )
        if not ADMISSIONS[self.way.admission](given):
            return None
        return return_after_s(given) + self.rng.uniform(0, RETURN_SPREAD_S)

    async def hold(self, kind: Kind, number: int, size: ModelInput) -> None:
        """Return when the request's turn has come and a server has little to read."""
        mine = (kind.rank, trio.current_time() + kind.patience_s, number)
        heapq.heappush(self.held, mine)
        try:
            while self.held[0] != mine or self.place(size).tokens >= HELD_TOKENS:
                await trio.sleep(LOOK_S)
        finally:
            self.held.remove(mine)
            heapq.heapify(self.held)

    def hear(self, other: "Gateway") -> None:
        """Take over what another gateway has in flight."""
        now_s = trio.current_time()
        for name, state in self.table.by_id.items():
            there = other.table.by_id[name]
            told = PeerLoad(there.in_flight, there.waiting_tokens, now_s)
            state.peers[other.name] = told


class Peak:
    """One play of a load."""

    def __init__(
        self, way: Way, load: Load, seed: int, deployment: Deployment = SMALL
    ) -> None:
        self.way = way
        self.load = load
        self.deployment = deployment
        self.report_s = way.report_s or deployment.report_s
        self.rng = random.Random(seed)
        self.tally = Tally()
        self.gateways = [
            Gateway(n, way, seed, deployment) for n in range(deployment.gateways)
        ]
        self.engines = {
            f"s{n}": Engine(self.tally, deployment) for n in range(deployment.servers)
        }
        self.numbers = iter(range(1_000_000_000))
        self.rest: trio.Nursery | None = None

    async def run(self) -> Tally:
        """Play it to the last answer."""
        async with trio.open_nursery() as nursery:
            self.rest = nursery
            if self.deployment.has_hubs:
                hubs = Hubs(self.gateways, self.deployment.zones, self.report_s)
                nursery.start_soon(hubs.run)
            else:
                nursery.start_soon(self.tell)
            nursery.start_soon(self.take_back)
            for engine in self.engines.values():
                nursery.start_soon(engine.run)
            async with trio.open_nursery() as requests:
                async for kind in self.arrivals():
                    size = draw_size(kind, self.rng)
                    gateways = self.rng.sample(self.gateways, 2)
                    requests.start_soon(self.ask, kind, size, iter(gateways))
            nursery.cancel_scope.cancel()
        return self.tally

    async def arrivals(self) -> Iterator[Kind]:
        """Give the kinds of requests as they come, in clumps."""
        long, short = self.deployment.long, self.deployment.short
        usual = long.per_s + short.per_s
        while trio.current_time() < LENGTH_S:
            is_worst = self.load.from_s <= trio.current_time() < self.load.until_s
            strength = self.load.strength if is_worst else 1.0
            await trio.sleep(self.rng.expovariate(usual * strength / CLUMP))
            for _ in range(CLUMP):
                yield long if self.rng.random() < long.per_s / usual else short

    async def take_back(self) -> None:
        """Let servers leave and return."""
        await self.set_leaving(self.load.from_s, True)
        await self.set_leaving(self.load.until_s, False)

    async def set_leaving(self, at_s: float, is_leaving: bool) -> None:
        """Tell all gateways that servers leave, or are back with nothing kept."""
        await trio.sleep_until(at_s)
        for number in range(self.load.gone):
            self.engines[f"s{number}"].kept.clear()
            for gateway in self.gateways:
                gateway.table.by_id[f"s{number}"].entry.is_leaving = is_leaving

    async def tell(self) -> None:
        """Let the gateways tell each other what they have in flight."""
        while True:
            await trio.sleep(self.report_s)
            for one in self.gateways:
                places, one.table.recent = one.table.recent, []
                for other in self.gateways:
                    if other is one:
                        continue
                    other.hear(one)
                    for part, server in places:
                        other.table.note_place(part, server)

    async def ask(
        self, kind: Kind, size: ModelInput, gateways: Iterator[Gateway]
    ) -> None:
        """Ask as a caller does: once more after a refusal, at another gateway."""
        began_s = trio.current_time()
        self.tally.owed += kind.worth
        is_served = False
        with trio.move_on_after(kind.patience_s):
            for gateway in gateways:
                left_s = began_s + kind.patience_s - trio.current_time()
                is_served = await self.attempt(kind, size, gateway, left_s)
                if is_served:
                    break
        if not is_served:
            self.tally.unserved += 1
            return
        wait_s = trio.current_time() - began_s
        self.tally.waits_s.append(wait_s)
        if wait_s <= kind.target_s:
            self.tally.in_time += kind.worth
            self.tally.earned += kind.worth
        else:
            self.tally.earned += kind.worth * LATE_PART

    async def attempt(
        self, kind: Kind, size: ModelInput, gateway: Gateway, left_s: float
    ) -> bool:
        """Return whether one gateway answered."""
        number = next(self.numbers)
        if self.way.holds:
            await gateway.hold(kind, number, size)
        chosen = gateway.place(size)
        return_s = gateway.refusal_s(kind, size, chosen, left_s)
        if return_s is not None:
            self.tally.refused += 1
            await trio.sleep(min(return_s, left_s / 3))
            return False
        state = chosen.state
        tokens = size.prompt_tokens - chosen.kept_tokens
        prompt = Prompt(size)
        began_s = state.heard_s = trio.current_time()
        gateway.table.begin(state, size, tokens)
        engine = self.engines[state.entry.id]
        engine.put(prompt)
        try:
            await prompt.is_read.wait()
            await trio.sleep(FIRST_S)
        except trio.Cancelled:
            prompt.is_left = True
            engine.end(prompt)
            gateway.table.end(state, tokens)
            raise
        took_s = trio.current_time() - began_s
        gateway.table.first_event(state, tokens, chosen.tokens, took_s)
        self.rest.start_soon(self.answer, gateway, state, engine, prompt)
        return True

    async def answer(
        self, gateway: Gateway, state: ServerState, engine: Engine, prompt: Prompt
    ) -> None:
        """Run a request from its first event to its end."""
        await trio.sleep(prompt.size.max_output_tokens * self.deployment.event_s)
        engine.end(prompt)
        gateway.table.end(state, 0)


def draw_size(kind: Kind, rng: random.Random) -> ModelInput:
    """Return a prompt: a shared beginning, a session's part and the rest."""
    if kind.rank > 0:
        shared = PromptPart(f"L{rng.randrange(3)}", 512)
        session = PromptPart(f"S{rng.randrange(kind.sessions)}", 4870)
        own = int(min(54_600, rng.lognormvariate(8.0, 1.2)))
    else:
        shared = PromptPart(f"l{rng.randrange(20)}", 341)
        session = PromptPart(f"s{rng.randrange(kind.sessions)}", 227)
        own = int(min(6_870, rng.lognormvariate(7.0, 0.9)))
    parts = (shared, session, PromptPart("own", own))
    tokens = sum(part.tokens for part in parts)
    return ModelInput(tokens, kind.answer_tokens, parts)


def play_peak(way: Way, load: Load, seed: int, deployment: Deployment = SMALL) -> Tally:
    """Play a load in virtual time and return what became of it."""

    async def play() -> Tally:
        # Made within the run: tables note since when they know their servers.
        return await Peak(way, load, seed, deployment).run()

    return trio.run(play, clock=MockClock(autojump_threshold=0))
