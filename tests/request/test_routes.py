"""Tests of the route policies and of load estimates."""

import math
from collections import Counter

import pytest
import trio
from tests.request.relay_fleet import Fleet

from rosemaryknot.process.prefix_estimate import PrefixEstimate, prompt_blocks
from rosemaryknot.process.server_load import LoadReport, ServerLoad
from rosemaryknot.request.route_policies import estimated_time_s
from rosemaryknot.request.routes import (
    Candidate,
    RequestFacts,
    RouteInput,
    choose_route,
)
from rosemaryknot.values.nodes import BackendServer


def server(name, zone="waco-a", price=0.0) -> BackendServer:
    return BackendServer(name, "s", zone, "g1", True, "10.0.0.1:1", "live", price)


def facts(**changes) -> RequestFacts:
    return RequestFacts(
        **{
            "request_id": "r1",
            "service": "s",
            "prompt_tokens": 1000,
            "remaining_tokens": 500,
            "priority": 0,
            "remaining_s": 60,
            **changes,
        }
    )


def choose(policy, candidates, seed=0, choice_count=0):
    inputs = RouteInput(facts(), candidates, 0.0, seed, choice_count)
    return choose_route(policy, inputs).server.instance


class TestPolicies:
    def test_baselines(self):
        one = Candidate(server("a"), requests=3, cached_tokens=500)
        other = Candidate(server("b"), requests=1)
        both = [one, other]
        assert [choose("round_robin", both, choice_count=t) for t in range(3)] == [
            *"aba"
        ]
        assert choose("least_loaded", both) == "b"
        assert choose("prefix_only", both) == "a"

    @pytest.mark.parametrize(
        "better",
        [
            {"cached_tokens": 800.0},
            {"prefill_tokens": 0.0},
            {"requests": 2.0},
            {"step_time_ms": 2.0},
            {"remaining_s": math.inf},
        ],
    )
    def test_each_property_affects_the_choice(self, better):
        """Of two servers that differ in one property, the better one is chosen."""
        common = {
            "requests": 40.0,
            "slots": 32,
            "step_time_ms": 4.0,
            "prefill_tokens": 900.0,
            "remaining_s": 2.0,
        }
        worse = Candidate(server("a"), **common)
        best = Candidate(server("b"), **{**common, **better})
        assert estimated_time_s(facts(), best) < estimated_time_s(facts(), worse)
        for seed in range(5):
            assert choose("estimated_time", [worse, best], seed) == "b"

    def test_same_input_gives_the_same_choice(self):
        candidates = [Candidate(server(f"e{n}")) for n in range(12)]
        for seed in range(20):
            first = choose("estimated_time", candidates, seed)
            assert choose("estimated_time", candidates[::-1], seed) == first

    def test_no_herd_on_the_same_stale_minimum(self):
        """Instances with the same stale load report do not all choose one server.

        Forty instances choose from a report with one idle server, before they see each
        other's requests. The idle server gets more than its share, but far from all;
        with `least_loaded` it gets all of them.
        """
        loads = [0.0] + [34.0 + n for n in range(11)]
        candidates = [Candidate(server(f"e{n}"), load) for n, load in enumerate(loads)]
        estimated = Counter(choose("estimated_time", candidates, s) for s in range(40))
        by_least_load = Counter(
            choose("least_loaded", candidates, s) for s in range(40)
        )
        assert by_least_load["e0"] == 40
        assert 3 < estimated["e0"] < 20

    def test_free_server_of_small_fleet_is_found(self):
        """In a small fleet, the only free server is found.

        Seven engines are full and one is free, as in the users' fleets. A random sample
        of two servers would mostly contain full ones, and the caller would wait for a
        slot while another server is idle.
        """
        candidates = [Candidate(server(f"e{n}"), 34.0 + n) for n in range(7)]
        candidates.append(Candidate(server("free"), 3.0))
        chosen = {choose("estimated_time", candidates, seed) for seed in range(20)}
        assert chosen == {"free"}

    def test_unknown_policy_falls_back(self):
        assert choose("no_such_policy", [Candidate(server("a"))]) == "a"


class TestServerLoad:
    async def test_report_is_corrected_by_sent_requests(self, autojump_clock):
        """Requests sent after a report was made are added to its load.

        The report was made before five requests and arrives after them. Uncorrected, it
        would show the server as idle, and five more requests would be sent.
        """
        load = ServerLoad()
        await trio.sleep(10)
        for _ in range(5):
            load.began(100)
        load.report = LoadReport(2, 0, 32, 3.0, 1000, trio.current_time())
        assert load.current_requests() == 7
        await trio.sleep(1)
        load.report = LoadReport(7, 0, 32, 3.0, 1000, trio.current_time())
        assert load.current_requests() == 7
        for _ in range(5):
            load.ended()
        assert load.current_requests() == 2

    async def test_reports_are_polled(self, nursery, autojump_clock):
        fleet = await Fleet().start(nursery, "waco-a", slots=7)
        await trio.sleep(2)
        assert fleet.relay.loads.of(fleet.backends["e0"]).report.slots == 7


class TestPrefixEstimate:
    def test_decays_and_adapts(self):
        blocks = prompt_blocks(["beam " * 500])
        estimate = PrefixEstimate()
        assert estimate.guess(blocks, 0.0).share == 0
        estimate.record_sent(blocks, 0.0)
        fresh = estimate.guess(blocks, 0.0)
        assert fresh.share == 1
        assert estimate.guess(blocks, 120.0).share == pytest.approx(0.5)
        for _ in range(10):
            estimate.confirm(blocks, fresh, 0.0)
        assert estimate.guess(blocks, 0.0).share < 0.2
        for _ in range(20):
            estimate.confirm(blocks, fresh, 1.0)
        assert estimate.guess(blocks, 0.0).share > 0.9

    def test_memory_is_bounded(self):
        estimate = PrefixEstimate(max_entries=10)
        for number in range(50):
            estimate.record_sent([number], float(number))
        assert list(estimate.used_s) == list(range(40, 50))


class TestRouter:
    async def test_conversation_returns_to_its_server(self, nursery, autojump_clock):
        """A repeated long prompt goes to the server that has it cached.

        All servers are idle, so only the cached prefix makes a difference. The cached
        tokens that the engine reports confirm the choice.
        """
        fleet = await Fleet().start(nursery, *["waco-a"] * 6)
        first = await fleet.request("r1", words=1500)
        await first.wait_for_tokens(0)
        used = fleet.server_of(first)
        await first.wait_finished()
        request = first.request
        for name, share in ((used, 0), ("elsewhere", 1)):
            server = BackendServer(name, "s", "", "", True, "")
            cached = fleet.relay.router.cached_share_elsewhere(server, request)
            assert cached == pytest.approx(share, abs=0.1)
        for number in range(2, 6):
            request.request_id = f"r{number}"
            generation = await fleet.relay.start(request)
            await generation.wait_for_tokens(0)
            assert fleet.server_of(generation) == used
            await generation.wait_finished()
            assert generation.cached_tokens > 1400
