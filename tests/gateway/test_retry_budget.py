"""Tests of the retry budget over all nodes, through restarts of any of them."""

import pytest

from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.replay.virtual_time import run_in_virtual_time
from rosemaryknot.standin.users.play import Play, random_play, run_play
from rosemaryknot.standin.users.system import platform_system

NODES = 6
PLAIN = 12
REQUESTS_PER_S = 60.0
DOWN_S = 2.0
SEEDS = range(16000, 16006)

# When which nodes are killed, in seconds after the start of the load.
KILLS = {
    "none": [],
    "most-at-once": [(8.0, 4)],
    "all-at-once": [(8.0, NODES)],
    "all-at-once-twice": [(8.0, NODES), (12.0, NODES)],
    "in-turn-twice": [(6.0 + 0.5 * n, 1) for n in range(2 * NODES)],
}


def failing_play(kills, failing_from_s=4.0, length_s=24.0, **fields):
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
            node = f"n{number % NODES}"
            faults.append({"at": at_s, "kind": "kill", "node": node, "for_s": DOWN_S})
        first += count
    return Play(
        nodes=NODES,
        plain=PLAIN,
        length_s=length_s,
        load={"stock": REQUESTS_PER_S},
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
        play = failing_play([(kill_s, NODES)], failing_from_s=kill_s - 1.0)
        play.load = {"stock": 3 * REQUESTS_PER_S}
        assert not run_in_virtual_time(1, run_play, play, 1).violations


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
