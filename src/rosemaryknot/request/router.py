"""Gathers what is known for a route choice, makes it, and logs it."""

from collections.abc import Collection
from dataclasses import dataclass

import trio
import xxhash

import rosemaryknot.request.route_policies  # noqa: F401  (fills the registry)
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.logs import logger
from rosemaryknot.process.prefix_estimate import Guess, prompt_blocks
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_load import LoadTable
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.routes import (
    Candidate,
    RequestFacts,
    RouteChoice,
    RouteInput,
    choose_route,
    scores_text,
)
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.version.view import Service

__all__ = ["Prompt", "Router", "TokenSizes", "prompt_of"]

SUBSET = 16
SAME_ZONE_S = 0.0003
OTHER_ZONE_S = 0.002
DEFAULT_SLOTS = 32
WAVE_TIME_LEFT_S = 5.0
FIRST_CHARS_PER_TOKEN = 4.0
LEARNING_SHARE = 0.2

log = logger("route")


class TokenSizes:
    """Characters of a prompt token by service, learnt from the engines' reports."""

    def __init__(self) -> None:
        self.chars: dict[str, float] = {}

    def tokens(self, service: str, chars: int) -> float:
        """Return the estimated tokens of a prompt."""
        return chars / self.chars.get(service, FIRST_CHARS_PER_TOKEN)

    def learn(self, service: str, chars: int, tokens: int) -> None:
        """Take in what an engine counted."""
        if not tokens or not chars:
            return
        known = self.chars.get(service, FIRST_CHARS_PER_TOKEN)
        self.chars[service] = known + LEARNING_SHARE * (chars / tokens - known)


@dataclass(slots=True)
class Prompt:
    """What routing needs to know of a prompt; made once for each request.

    Attributes
    ----------
    chars : int
        Its length in characters.
    blocks : list of int
        Digests of its beginning; see `rosemaryknot.process.prefix_estimate`.
    """

    chars: int
    blocks: list[int]


def prompt_of(request: ModelRequest) -> Prompt:
    """Return what routing needs to know of a request's prompt."""
    texts = [str(part.get("content")) for part in request.messages]
    return Prompt(sum(map(len, texts)), prompt_blocks(texts))


@dataclass(slots=True)
class Ranking:
    """The servers of a service in the order in which this node considers them.

    Attributes
    ----------
    revision : int
        Revision of the server table that it was made of.
    servers : list of BackendServer
        Live ones; those of the node's zone first, then by a hash of both names.
    leaving_zones : set of str
        Zones in which servers of the service are leaving.
    """

    revision: int
    servers: list[BackendServer]
    leaving_zones: set[str]


class Router:
    """Chooses servers for model requests.

    Parameters
    ----------
    servers : ServerTable
        Servers by service.
    holder : ConfigurationHolder
        Gives each service's policy.
    loads : LoadTable
        What is known of their load.
    health : ServerHealth
        Which of them fail.
    zone, node : str
        Where we are.

    Attributes
    ----------
    sizes : TokenSizes
        Turns characters into tokens.
    turn : int
        Number of choices made.
    """

    def __init__(
        self,
        servers: ServerTable,
        holder: ConfigurationHolder,
        loads: LoadTable,
        health: ServerHealth,
        zone: str,
        node: str,
    ) -> None:
        self.servers = servers
        self.holder = holder
        self.loads = loads
        self.health = health
        self.zone = zone
        self.node = node
        self.sizes = TokenSizes()
        self.turn = 0
        self.rankings: dict[str, Ranking] = {}

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        view = self.holder.view
        return None if view is None else view.services.get(name)

    def choose(
        self, generation: Generation, prompt: Prompt, excluded: Collection[str]
    ) -> RouteChoice | None:
        """Choose a server for the next attempt.

        Parameters
        ----------
        generation : Generation
            What is to be generated.
        prompt : Prompt
            Its prompt.
        excluded : collection of str
            Instances that failed it lately.

        Returns
        -------
        choice : RouteChoice or None
            None where there is no server to choose from.
        """
        ranking = self.ranking(generation.service)
        usable = self.health.usable(ranking.servers)
        if excluded:
            usable = [s for s in usable if s.instance not in excluded]
        if not usable:
            return None
        service = self.service(generation.service)
        given = self.route_input(generation, prompt, usable[:SUBSET], service)
        self.turn += 1
        choice = choose_route(service.route_policy if service else "", given)
        self.log_choice(generation, choice)
        return choice

    def ranking(self, service: str) -> Ranking:
        """Return the servers of a service in the order of this node.

        With many nodes and servers each node considers the first few of its own
        order: it knows a few servers well instead of all of them badly, and polls
        only those. The order changes only with the table, so it is kept: to sort
        hundreds of servers for each request would cost more than the choice.
        """
        known = self.rankings.get(service)
        if known is not None and known.revision == self.servers.revision:
            return known
        servers = self.servers.servers_of(service)
        if len(servers) > SUBSET:
            servers = sorted(servers, key=self.rank)
        leaving = {server.zone for server in self.servers.leaving_of(service)}
        ranking = Ranking(self.servers.revision, servers, leaving)
        self.rankings[service] = ranking
        return ranking

    def considered(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that this node considers."""
        return self.ranking(service).servers[:SUBSET]

    def rank(self, server: BackendServer) -> tuple[bool, int]:
        """Return the place of a server in this node's order."""
        key = f"{self.node}/{server.instance}".encode()
        return server.zone != self.zone, xxhash.xxh64_intdigest(key)

    def polled(self) -> list[BackendServer]:
        """Return the model servers whose load reports are worth reading."""
        view = self.holder.view
        services = [] if view is None else view.services.values()
        return [
            server
            for service in services
            if service.is_model
            for server in self.considered(service.name)
        ]

    def route_input(
        self,
        generation: Generation,
        prompt: Prompt,
        servers: list[BackendServer],
        service: Service | None,
    ) -> RouteInput:
        """Return what the policy may look at."""
        now_s = trio.current_time()
        request = generation.request
        emitted = len(generation.tokens)
        facts = RequestFacts(
            request.request_id,
            request.service,
            self.sizes.tokens(request.service, prompt.chars) + emitted,
            max(1, request.max_tokens - emitted),
            request.priority,
            request.deadline_s - now_s,
            generation.attempts + 1,
        )
        candidates = [
            self.candidate(server, prompt, facts, service, now_s) for server in servers
        ]
        self.note_wave(request.service, candidates)
        seed = xxhash.xxh64_intdigest(f"{request.request_id}/{facts.attempt}".encode())
        return RouteInput(facts, candidates, now_s, seed, self.turn)

    def note_wave(self, service: str, candidates: list[Candidate]) -> None:
        """Expect the next notice for servers of a zone that is being reclaimed.

        Notices come in waves: a long answer sent to a neighbour of a leaving server
        is likely to move again within seconds.
        """
        zones = self.ranking(service).leaving_zones
        if not zones:
            return
        for candidate in candidates:
            if candidate.server.reclaimable and candidate.server.zone in zones:
                candidate.time_left_s = WAVE_TIME_LEFT_S

    def candidate(
        self,
        server: BackendServer,
        prompt: Prompt,
        facts: RequestFacts,
        service: Service | None,
        now_s: float,
    ) -> Candidate:
        """Return what is known of one server."""
        load = self.loads.of(server)
        report = load.report
        step_time_ms = service.step_time_ms if service else 1.0
        guess = load.prefixes.guess(prompt.blocks, now_s)
        return Candidate(
            server,
            requests=load.current_requests(),
            slots=report.slots if report else DEFAULT_SLOTS,
            step_time_ms=report.step_time_ms if report else step_time_ms,
            prefill_tokens=load.in_flight_tokens,
            cached_tokens=guess.share * facts.prompt_tokens,
            distance_s=SAME_ZONE_S if server.zone == self.zone else OTHER_ZONE_S,
            free_kv_tokens=report.free_kv_tokens if report else float("inf"),
        )

    def cached_elsewhere(self, server: BackendServer, request: ModelRequest) -> float:
        """Return the largest share of a prompt that another server has cached."""
        prompt = prompt_of(request)
        others = [
            other
            for other in self.servers.servers_of(request.service)
            if other.instance != server.instance
        ]
        return max((self.guess(o, prompt).share for o in others), default=0.0)

    def guess(self, server: BackendServer, prompt: Prompt) -> Guess:
        """Return how much of a prompt a server has probably cached."""
        prefixes = self.loads.of(server).prefixes
        return prefixes.guess(prompt.blocks, trio.current_time())

    def log_choice(self, generation: Generation, choice: RouteChoice) -> None:
        """Write the line of a decision."""
        instance = choice.server.instance
        log.info(
            f"chose {instance}",
            request=generation.request_id,
            service=generation.service,
            attempt=generation.attempts + 1,
            reason=choice.reason,
            scores=scores_text(choice.scores),
        )
        generation.tell(f"route: chose {instance}: {choice.reason}")
