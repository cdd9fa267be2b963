"""Tests of the retry budget over all nodes, through restarts of any of them."""

import pytest
import trio

from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.replay.virtual_time import run_in_virtual_time
from rosemaryknot.standin.users.play import LoadMove, Play, random_play, run_play
from rosemaryknot.standin.users.resuming_callers import ResumingCaller
from rosemaryknot.standin.users.system import (
    MODEL,
    document,
    platform_system,
    route,
)

NODES = 6
PLAIN = 12
REQUESTS_PER_S = 60.0
DOWN_S = 2.0
ZONES = 3
# When servers begin to fail, and when the load goes to the next zone. Two moves lie in
# one window, the first of them after the nodes that lose the load have spent what its
# requests allow.
FAILING_S = 12.0
MOVES_S = (0.0, 13.6, 17.8)
SEEDS = range(16000, 16006)
MOVING_SEEDS = range(17000, 17005)

# When which nodes are killed, in seconds after the start of the load.
KILLS = {
    "none": [],
    "most-at-once": [(8.0, 4)],
    "all-at-once": [(8.0, NODES)],
    "all-at-once-twice": [(8.0, NODES), (12.0, NODES)],
    "in-turn-twice": [(6.0 + 0.5 * n, 1) for n in range(2 * NODES)],
}


def failing_play(
    kills, failing_from_s=4.0, length_s=24.0, nodes=NODES, load=REQUESTS_PER_S, **fields
):
    """Return a play in which nearly all servers fail while nodes are killed."""
    faults = [
        {
            "at": failing_from_s,
            "kind": "failing",
            "servers": [f"p{number}" for number in range(PLAIN)],
            "share": 0.9,
            "for_s": length_s,
        }
    ]
    first = 0
    for at_s, count in kills:
        for number in range(first, first + count):
            node = f"n{number % nodes}"
            faults.append({"at": at_s, "kind": "kill", "node": node, "for_s": DOWN_S})
        first += count
    return Play(
        nodes=nodes,
        plain=PLAIN,
        length_s=length_s,
        load={"stock": load},
        added_per_s=0.0,
        faults=faults,
        **fields,
    )


class TestRestarts:
    @pytest.mark.parametrize("case", KILLS)
    def test_retries_of_an_earlier_process_are_not_granted_again(self, case):
        """Guards against a budget that each restart of a node begins anew."""
        result = run_in_virtual_time(1, run_play, failing_play(KILLS[case]), 1)
        assert not result.violations
        assert result.outcomes["stock", 200] > 100

    @pytest.mark.parametrize("kill_s", [5.0, 6.0])
    def test_burst_of_failures_before_the_restart(self, kill_s):
        """Guards against what a process spends at once out of its past requests."""
        play = failing_play(
            [(kill_s, NODES)], failing_from_s=kill_s - 1.0, load=3 * REQUESTS_PER_S
        )
        assert not run_in_virtual_time(1, run_play, play, 1).violations


def zone_nodes(zone, nodes):
    """Return the nodes of an availability zone."""
    return [f"n{number}" for number in range(nodes) if number % ZONES == zone]


def moving_play(nodes, slack, load, has_kills):
    """Return a play in which the load goes from zone to zone while servers fail."""
    moves = [
        LoadMove(at_s, zone_nodes(zone, nodes)) for zone, at_s in enumerate(MOVES_S)
    ]
    play = failing_play(
        [], FAILING_S, nodes=nodes, load=load, retry_slack=slack, moves=moves
    )
    if has_kills:
        play.faults += [
            {"at": move.at_s, "kind": "kill", "node": name, "for_s": DOWN_S}
            for move, name in zip(moves[1:], moves[0].nodes, strict=False)
        ]
    return play


class TestMovingLoad:
    @pytest.mark.parametrize("has_kills", [False, True], ids=["moved", "killed"])
    @pytest.mark.parametrize(
        ("nodes", "slack", "load"), [(6, 5, 120), (12, 54, 120), (24, 54, 200)]
    )
    def test_requests_of_the_nodes_before(self, nodes, slack, load, has_kills):
        """Guards against requests that count at two nodes within one window."""
        play = moving_play(nodes, slack, load, has_kills)
        result = run_in_virtual_time(1, run_play, play, 1)
        assert not result.violations
        assert result.outcomes["stock", 200] > 100


class TestKindsOfRepeats:
    @pytest.mark.parametrize(
        ("ways", "trouble"),
        [
            (["reset", "cut_body", "cut_event", "unframed_reset"], None),
            (["shed", "mute", "rubbish", "unsigned"], None),
            (["error", "shed"], "turn_away"),
            (["error"], "limit"),
            (["error"], "cut_off"),
        ],
    )
    def test_all_that_arrives_again_counts(self, ways, trouble):
        """Guards against repeats after other failures that the budget does not see."""
        models = [f"m{number}" for number in range(PLAIN)]
        play = moving_play(12, 5, 80, has_kills=False)
        play.models = len(models)
        play.load["ask"] = 40.0
        play.faults[0]["ways"] = ways
        play.faults[0]["servers"] = play.faults[0]["servers"] + models
        common = {"kind": trouble, "servers": play.faults[0]["servers"]}
        if trouble == "turn_away":
            wishes = {"retry_after": ["1", "1.5"], "for_s": 1.0, "pause_s": 1.0}
            play.faults.append({"at": FAILING_S - 1} | common | wishes)
        elif trouble == "limit":
            play.faults.append(
                {"at": FAILING_S - 2, "limits": ["6", "3"], "pause_s": 4.0} | common
            )
        elif trouble == "cut_off":
            nodes = zone_nodes(0, 12) + zone_nodes(1, 12)
            play.faults.append(
                {"at": 12.5, "kind": "cut_off", "nodes": nodes, "how": "silent"}
                | {"for_s": 4.0}
            )
        assert not run_in_virtual_time(1, run_play, play, 1).violations


class TestServices:
    async def test_stream_that_goes_on_at_another_service_counts_once(
        self, autojump_clock
    ):
        """Guards against requests that add to the budgets of two services."""
        services = [{"name": MODEL, "healthPath": "/healthz", "maxConnections": 100}]
        services.append(services[0] | {"name": "other"})
        backends = [{"service": MODEL, "weight": 1}, {"service": "other", "weight": 0}]
        first = route("ask", "/ask/", "streaming", "", resumable=True)
        del first["service"]
        configuration = document(
            routes=[first | {"backends": backends}], services=services
        )
        async with platform_system(
            models=1, plain=0, configuration=configuration
        ) as fleet:
            await fleet.add_server("o0", "other")
            fleet.servers["o0"].is_model = True
            await trio.sleep(1.0)
            caller = ResumingCaller(fleet, "s")
            await caller.attempt("n0", 1)
            backends[1]["weight"] = 1e9
            changed = configuration | {
                "version": 2,
                "routes": [first | {"backends": backends}],
            }
            fleet.store.put("config", "main", changed)
            await trio.sleep(2.0)
            answer = await caller.attempt("n0")
            assert answer.status == 200, answer.body
            accounts = fleet.nodes["n0"].budget.accounts
            assert len(accounts[MODEL].requests) == 2
            assert not accounts["other"].requests


class TestUsedUp:
    """The budget has no retry left, though another server could take the request."""

    bounds = Bounds(retry_ratio=0.0, retry_slack=0.0)

    async def test_slow_response_is_awaited(self, autojump_clock):
        """Guards against a running attempt that is given up for a refused retry."""
        async with platform_system(bounds=self.bounds) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.8
            response = await fleet.ask("/stock/x", method="GET")
            assert (response.status, response.is_whole) == (200, True)
            assert len(fleet.ledger.arrivals) == 1

    async def test_own_error_of_a_server_is_relayed(self, autojump_clock):
        """Guards against a server's response that is dropped for a refused retry."""
        async with platform_system(bounds=self.bounds) as fleet:
            for server in fleet.servers.values():
                server.faults.append("error")
            response = await fleet.ask("/stock/x", method="GET")
            assert (response.status, response.body) == (500, b"failed")
            assert "rosemaryknot-instance-signature" in response.headers


class TestPlays:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_random_faults_and_failing_servers(self, seed):
        play = random_play(seed, has_retries=True, has_statements=seed % 2 == 0)
        result = run_in_virtual_time(seed, run_play, play, seed)
        assert not result.violations
        assert result.outcomes.total() > 200

    @pytest.mark.parametrize("seed", MOVING_SEEDS)
    def test_random_moves_of_load(self, seed):
        play = random_play(seed, has_retries=True, has_moves=True)
        result = run_in_virtual_time(seed, run_play, play, seed)
        assert not result.violations
        assert result.outcomes.total() > 200
