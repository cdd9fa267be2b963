"""Selection of a backend server for each attempt of a model request."""

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
from rosemaryknot.process.server_pauses import ServerPauses
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

__all__ = ["Prompt", "Router", "TokenEstimator", "prompt_of"]

MAX_CANDIDATES = 16
SAME_ZONE_ROUND_TRIP_S = 0.0003
OTHER_ZONE_ROUND_TRIP_S = 0.002
DEFAULT_SLOTS = 32
RECLAIM_WAVE_REMAINING_S = 5.0
INITIAL_CHARS_PER_TOKEN = 4.0
SMOOTHING_FACTOR = 0.2

log = logger("route")


class TokenEstimator:
    """Estimator of prompt tokens from characters, by service.

    The characters per token are a moving average of the token counts that engines
    report.
    """

    def __init__(self) -> None:
        self.chars_per_token: dict[str, float] = {}

    def tokens(self, service: str, chars: int) -> float:
        """Return the estimated number of tokens in a prompt."""
        return chars / self.chars_per_token.get(service, INITIAL_CHARS_PER_TOKEN)

    def record_token_count(self, service: str, chars: int, tokens: int) -> None:
        """Update the estimate with the token count of an engine."""
        if not tokens or not chars:
            return
        old = self.chars_per_token.get(service, INITIAL_CHARS_PER_TOKEN)
        self.chars_per_token[service] = old + SMOOTHING_FACTOR * (chars / tokens - old)


@dataclass(slots=True)
class Prompt:
    """Properties of a prompt that routing uses, computed once for each request.

    Attributes
    ----------
    chars : int
        Length in characters.
    blocks : list of int
        Digests of the leading blocks; see `rosemaryknot.process.prefix_estimate`.
    """

    chars: int
    blocks: list[int]


def prompt_of(request: ModelRequest) -> Prompt:
    """Return the routing properties of a request's prompt."""
    texts = [str(message.get("content")) for message in request.messages]
    return Prompt(sum(map(len, texts)), prompt_blocks(texts))


@dataclass(slots=True)
class Ranking:
    """Servers of a service in the preference order of this node.

    Attributes
    ----------
    revision : int
        Revision of the server table from which the order was computed.
    servers : list of BackendServer
        Live servers; those of the node's zone first, then by a hash of both names.
    draining_zones : set of str
        Zones with draining servers of the service.
    """

    revision: int
    servers: list[BackendServer]
    draining_zones: set[str]


class Router:
    """Selector of servers for model requests.

    Parameters
    ----------
    servers : ServerTable
        Servers by service.
    holder : ConfigurationHolder
        Current configuration, with the route policy of each service.
    loads : LoadTable
        Load of the servers.
    health : ServerHealth
        Failures of the servers.
    zone, node : str
        Availability zone and name of this node.

    Attributes
    ----------
    token_estimator : TokenEstimator
        Estimator of prompt tokens from characters.
    choice_count : int
        Number of choices made so far.
    pauses : ServerPauses
        Pauses that servers asked for.
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
        self.token_estimator = TokenEstimator()
        self.choice_count = 0
        self.pauses = ServerPauses()
        self.rankings: dict[str, Ranking] = {}

    def service(self, name: str) -> Service | None:
        """Return a service of the current configuration."""
        view = self.holder.view
        return None if view is None else view.services.get(name)

    def choose(
        self, generation: Generation, prompt: Prompt, excluded: Collection[str]
    ) -> RouteChoice | None:
        """Choose a server for the next attempt.

        Parameters
        ----------
        generation : Generation
            Generation to be routed.
        prompt : Prompt
            Routing properties of its prompt.
        excluded : collection of str
            Instances that recently failed this generation.

        Returns
        -------
        choice : RouteChoice or None
            None if no server is usable.
        """
        ranking = self.ranking(generation.service)
        usable = self.health.usable(generation.eligible(ranking.servers))
        usable = self.pauses.usable(usable)
        if excluded:
            usable = [s for s in usable if s.instance not in excluded]
        if not usable:
            return None
        service = self.service(generation.service)
        inputs = self.route_input(generation, prompt, usable[:MAX_CANDIDATES], service)
        self.choice_count += 1
        choice = choose_route(service.route_policy if service else "", inputs)
        self.log_choice(generation, choice)
        return choice

    def usable_instances(
        self, generation: Generation, excluded: Collection[str]
    ) -> list[str]:
        """Return the instances from which `choose` chooses, by name."""
        servers = self.ranking(generation.service).servers
        usable = self.health.usable(generation.eligible(servers))
        usable = self.pauses.usable(usable)
        return [s.instance for s in usable if s.instance not in excluded]

    def ranking(self, service: str) -> Ranking:
        """Return the servers of a service in the preference order of this node.

        With many nodes and servers, each node polls and considers only the first few
        servers of its own order, so that its load data about them is accurate. The
        order changes only with the server table and is cached: sorting hundreds of
        servers for each request would cost more than the choice itself.
        """
        cached = self.rankings.get(service)
        if cached is not None and cached.revision == self.servers.revision:
            return cached
        servers = self.servers.servers_of(service)
        if len(servers) > MAX_CANDIDATES:
            servers = sorted(servers, key=self.sort_key)
        zones = {server.zone for server in self.servers.leaving_of(service)}
        ranking = Ranking(self.servers.revision, servers, zones)
        self.rankings[service] = ranking
        return ranking

    def candidate_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that this node polls and may choose."""
        return self.ranking(service).servers[:MAX_CANDIDATES]

    def sort_key(self, server: BackendServer) -> tuple[bool, int]:
        """Return the sort key of a server in this node's preference order."""
        key = f"{self.node}/{server.instance}".encode()
        return server.zone != self.zone, xxhash.xxh64_intdigest(key)

    def servers_to_poll(self) -> list[BackendServer]:
        """Return the model servers whose load reports are polled."""
        view = self.holder.view
        services = [] if view is None else view.services.values()
        return [
            server
            for service in services
            if service.is_model
            for server in self.candidate_servers(service.name)
        ]

    def route_input(
        self,
        generation: Generation,
        prompt: Prompt,
        servers: list[BackendServer],
        service: Service | None,
    ) -> RouteInput:
        """Return the input of the route policy."""
        now_s = trio.current_time()
        request = generation.request
        emitted = len(generation.tokens)
        facts = RequestFacts(
            request.request_id,
            request.service,
            self.token_estimator.tokens(request.service, prompt.chars) + emitted,
            max(1, request.max_tokens - emitted),
            request.priority,
            request.deadline_s - now_s,
            generation.attempts + 1,
        )
        candidates = [
            self.candidate(server, prompt, facts, service, now_s) for server in servers
        ]
        self.apply_reclaim_wave(request.service, candidates)
        seed = xxhash.xxh64_intdigest(f"{request.request_id}/{facts.attempt}".encode())
        return RouteInput(facts, candidates, now_s, seed, self.choice_count)

    def apply_reclaim_wave(self, service: str, candidates: list[Candidate]) -> None:
        """Shorten the expected lifetime of servers in a zone with reclaims.

        Reclaim notices come in waves: a long response sent to another reclaimable
        server of a zone with a draining server is likely to move again within
        seconds.
        """
        zones = self.ranking(service).draining_zones
        if not zones:
            return
        for candidate in candidates:
            if candidate.server.reclaimable and candidate.server.zone in zones:
                candidate.remaining_s = RECLAIM_WAVE_REMAINING_S

    def candidate(
        self,
        server: BackendServer,
        prompt: Prompt,
        facts: RequestFacts,
        service: Service | None,
        now_s: float,
    ) -> Candidate:
        """Return a server with its load and cache estimates."""
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
            round_trip_s=SAME_ZONE_ROUND_TRIP_S
            if server.zone == self.zone
            else OTHER_ZONE_ROUND_TRIP_S,
            free_kv_tokens=report.free_kv_tokens if report else float("inf"),
        )

    def cached_share_elsewhere(
        self, server: BackendServer, request: ModelRequest
    ) -> float:
        """Return the largest share of a prompt that any other server has cached."""
        prompt = prompt_of(request)
        others = [
            other
            for other in self.servers.servers_of(request.service)
            if other.instance != server.instance
            and other.software_version == server.software_version
        ]
        return max((self.guess(other, prompt).share for other in others), default=0.0)

    def guess(self, server: BackendServer, prompt: Prompt) -> Guess:
        """Return the estimated share of a prompt that a server has cached."""
        prefixes = self.loads.of(server).prefixes
        return prefixes.guess(prompt.blocks, trio.current_time())

    def log_choice(self, generation: Generation, choice: RouteChoice) -> None:
        """Log a choice and record it in the generation's timeline."""
        instance = choice.server.instance
        log.info(
            f"chose {instance}",
            request=generation.request_id,
            service=generation.service,
            attempt=generation.attempts + 1,
            reason=choice.reason,
            scores=scores_text(choice.scores),
        )
        generation.record_event(f"route: chose {instance}: {choice.reason}")
