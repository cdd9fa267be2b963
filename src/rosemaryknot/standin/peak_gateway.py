"""Gateways and engines of the worst load: their tables and choices, without network."""

import heapq
import math
import random
from dataclasses import replace

import trio

from rosemaryknot.process.gateway_servers import ServerTable
from rosemaryknot.process.server_state import PeerLoad
from rosemaryknot.request.gateway_admission import (
    ADMISSIONS,
    AdmissionInput,
    admission_retry_after_s,
)
from rosemaryknot.request.gateway_placement import (
    POLICIES,
    Candidate,
    PlacementInput,
    eligible_servers,
    lowest_cost,
    placement_policy,
)
from rosemaryknot.standin.peak_load import SMALL, Deployment, Kind, Way
from rosemaryknot.values.gateway import ModelInput, RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

__all__ = ["Gateway"]

# How often a gateway that holds requests back looks whether one may go.
LOOK_S = 0.01
# Such a gateway sends a request to a server that has less than this to read: enough
# for the server to go on until the next one arrives.
HELD_TOKENS = 12_000
RETURN_SPREAD_S = 0.4


@placement_policy("any_server")
def any_server(given: PlacementInput) -> Candidate | None:
    """Draw a server: first come, first served, without a choice."""
    return given.rng.choice(given.candidates) if given.candidates else None


@placement_policy("unread_tokens_alone")
def unread_tokens_alone(given: PlacementInput) -> Candidate | None:
    """Choose by what waits, whatever answers run there."""
    return POLICIES["unread_tokens"](replace(given, event_gap_tokens=math.inf))


@placement_policy("unread_tokens_beside_few")
def unread_tokens_beside_few(given: PlacementInput) -> Candidate | None:
    """Choose by what waits and runs, without servers for long prompts."""
    every = {candidate.state for candidate in given.candidates}
    return lowest_cost(given, given.candidates, every)


@placement_policy("unread_tokens_of_3")
def unread_tokens_of_3(given: PlacementInput) -> Candidate | None:
    """Choose among three drawn servers."""
    few = given.rng.sample(given.candidates, min(3, len(given.candidates)))
    return POLICIES["unread_tokens"](replace(given, candidates=few))


@placement_policy("unread_tokens_of_2_and_kept")
def unread_tokens_of_2_and_kept(given: PlacementInput) -> Candidate | None:
    """Choose among two drawn servers and the one that keeps most of the prompt."""
    few = given.rng.sample(given.candidates, min(2, len(given.candidates)))
    cached = max(given.candidates, key=lambda candidate: candidate.cached_tokens)
    if cached.cached_tokens and cached not in few:
        few.append(cached)
    return POLICIES["unread_tokens"](replace(given, candidates=few))


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
        self.pause_s = min(deployment.long.pause_s, deployment.short.pause_s)
        self.held: list[tuple[int, float, int]] = []
        self.table = ServerTable()
        self.table.uses_hub_loads = deployment.has_hubs
        for server in range(deployment.servers):
            zone = zones[server % len(zones)]
            address = Address("10.0.0.1", 80 + server)
            life = ServerIncarnation(f"s{server}")
            self.table.put(RoutedServer(life, "model", zone, address, 128))

    def place(self, size: ModelInput) -> Candidate:
        """Choose a server."""
        states = [s for s in self.table.by_id.values() if not s.entry.is_draining]
        candidates = []
        for state in eligible_servers(states, trio.current_time(), set(), True):
            requests, tokens = state.load()
            cached = self.table.cached.tokens(state, size)
            candidates.append(Candidate(state, requests, tokens, cached))
        event_gap_tokens = self.pause_s * self.table.rate
        mix = self.table.mixes["model"]
        given = PlacementInput(
            self.zone, size, candidates, self.rng, event_gap_tokens, mix.long_share
        )
        mix.record(given.prefill_tokens, given.is_long)
        return POLICIES[self.way.placement](given)

    def refusal_s(
        self, kind: Kind, size: ModelInput, chosen: Candidate, left_s: float
    ) -> float | None:
        """Return when to come back, or None where the request is let in."""
        rate = self.table.rate
        own_s = (size.prompt_tokens - chosen.cached_tokens) / rate
        given = AdmissionInput(
            kind.rank > 0, chosen.tokens / rate, own_s, kind.target_s, left_s
        )
        if not ADMISSIONS[self.way.admission](given):
            return None
        return admission_retry_after_s(given) + self.rng.uniform(0, RETURN_SPREAD_S)

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
            told = PeerLoad(there.in_flight, there.pending_prefill_tokens, now_s)
            state.peers[other.name] = told
