"""Tests of the choice of a server from a picture that many gateways share."""

import random
from collections import Counter

import pytest

from rosemaryknot.process.server_state import ServerState
from rosemaryknot.request.gateway_placement import (
    DRAWN,
    POLICIES,
    Candidate,
    PlacementInput,
)
from rosemaryknot.values.gateway import ModelInput, PromptPart, RoutedServer
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

SIZE = ModelInput(3000, 100, (PromptPart("own", 3000),))
SERVERS = 32
GATEWAYS = 91
WAYS = [("unread_tokens_of_drawn", SIZE), ("least_busy_of_drawn", None)]


def candidate(number, requests=0, tokens=0):
    address = Address("10.0.0.1", 80 + number)
    entry = RoutedServer(ServerIncarnation(f"s{number}"), "model", "a", address, 16)
    return Candidate(ServerState(entry), requests, tokens)


def choose(policy, size, candidates, seed=1):
    given = PlacementInput("a", size, candidates, random.Random(seed))
    return POLICIES[policy](given)


@pytest.mark.parametrize(("policy", "size"), WAYS)
class TestDrawn:
    def test_same_picture_gives_other_choices(self, policy, size):
        """Ninety-one gateways see one idle server among 32 at the same moment."""
        picture = [candidate(0), *[candidate(n, 3, 9000) for n in range(1, SERVERS)]]
        chosen = Counter(
            choose(policy, size, picture, seed).state.entry.id
            for seed in range(GATEWAYS)
        )
        assert max(chosen.values()) < GATEWAYS / 4

    def test_the_worst_gets_nothing(self, policy, size):
        picture = [candidate(n, n, 3000 * n) for n in range(SERVERS)]
        chosen = {
            choose(policy, size, picture, seed).state.entry.id for seed in range(1000)
        }
        assert f"s{SERVERS - 1}" not in chosen
        assert len(chosen) > SERVERS / 2

    @pytest.mark.parametrize("count", [0, 1, DRAWN])
    def test_few_servers_are_all_compared(self, policy, size, count):
        picture = [candidate(n, n, 3000 * n) for n in range(count)]
        found = choose(policy, size, picture)
        assert found is (picture[0] if picture else None)
