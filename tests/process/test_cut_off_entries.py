"""Tests of nodes that lose their links to all servers, on the own interface."""

import pytest
import trio
from tests.process.standby_fleet import MODEL, PLAIN, RELAY, ZONES, run_scenario

from rosemaryknot.replay.caller_records import ModelRecord

CUTS = {
    "silent": lambda network, node, server: network.cut(node, server),
    "reset": lambda network, node, server: network.reset(node, server),
    "refuse": lambda network, node, server: network.refuse(node, server),
    "responses": lambda network, node, server: network.cut_one_way(server, node),
}
CUT_OFF_S = 3.0
TIMEOUT_S = 10.0


def cut_off(fleet, node, how):
    """Cut the entry and the agent of a node off from all servers."""
    system = fleet.system
    processes = system.nodes[node]
    for host in (processes.entry, processes.agent):
        for server in system.servers.values():
            CUTS[how](system.network, host.network.host, server.host.network.host)


class TestModelRequests:
    """Callers of an entry that is cut off get complete responses by way of peers."""

    @pytest.mark.parametrize("how", CUTS)
    def test_new_requests(self, how):
        async def scenario(fleet):
            cut_off(fleet, RELAY, how)
            await trio.sleep(CUT_OFF_S)
            for number in range(6):
                record = ModelRecord(f"what span {number}", 50)
                await fleet.caller([RELAY]).ask(record, MODEL, TIMEOUT_S)
                assert record.outcome == "answered"

        run_scenario(scenario)

    @pytest.mark.parametrize("how", CUTS)
    def test_requests_under_way(self, how):
        async def scenario(fleet):
            record = ModelRecord("what span", 200)
            async with trio.open_nursery() as nursery:
                caller = fleet.caller([RELAY])
                nursery.start_soon(caller.ask, record, MODEL, 30.0)
                await fleet.wait_tokens(record, 20)
                cut_off(fleet, RELAY, how)
            assert record.outcome == "answered"

        run_scenario(scenario)

    def test_peers_of_the_own_zone_are_cut_off_too(self):
        async def scenario(fleet):
            for node in fleet.system.nodes:
                if node.startswith(ZONES[0]):
                    cut_off(fleet, node, "silent")
            await trio.sleep(CUT_OFF_S)
            for number in range(6):
                record = ModelRecord(f"what span {number}", 50)
                await fleet.caller([RELAY]).ask(record, MODEL, TIMEOUT_S)
                assert record.outcome == "answered"

        run_scenario(scenario, nodes_per_zone=2)


class TestPlainRequests:
    @pytest.mark.parametrize("how", CUTS)
    def test_bookings(self, how):
        async def scenario(fleet):
            cut_off(fleet, RELAY, how)
            await trio.sleep(CUT_OFF_S)
            headers = {"Authorization": f"Bearer {fleet.keys['estimator-1']}"}
            url = f"http://{fleet.address(RELAY)}/services/{PLAIN}/slots"
            for number in range(4):
                key = {"Idempotency-Key": f"k{number}", "Rosemaryknot-Attempt": "1"}
                answer = await fleet.client.post(
                    url, json={"slot": "07:30"}, headers=headers | key
                )
                assert answer.status_code == 200, answer.text

        run_scenario(scenario, plain={"kind": "plain", "timeout_s": 5})
