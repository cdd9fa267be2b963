"""Tests that accepted model requests survive the failure of their relaying entry."""

import pytest
import trio
from tests.process.standby_fleet import (
    LONG,
    MODEL,
    RELAY,
    SHORT,
    assert_complete,
    run_scenario,
)

from rosemaryknot.process.standby_table import StandbyTable
from rosemaryknot.replay.caller_records import ModelRecord
from rosemaryknot.values.standby import StandbyCopy, StandbyUpdate


class TestFailureWithoutNotice:
    """The instance of the relaying entry fails during a stream."""

    def test_relay_fails(self):
        """The stream of the caller breaks off and it picks the request up elsewhere.

        The standby is in another zone. It receives no reports from the relay, probes
        the agent without a response, and continues within the same lineage.
        """

        async def scenario(fleet):
            record = ModelRecord("plan set of a house", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 60)
                standby = fleet.standby_node(record)
                fleet.system.kill_node(RELAY)
            assert_complete(record)
            assert record.pickups > 0
            assert not standby.startswith("waco-a")

        run_scenario(scenario)

    def test_only_the_entry_fails(self):
        """The entry is killed; its agent is alive and reports this immediately."""

        async def scenario(fleet):
            record = ModelRecord("plan set of a barn", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 60)
                fleet.system.restart_entry(RELAY)
            assert_complete(record)

        run_scenario(scenario)

    def test_standby_has_less_text(self):
        """The caller has tokens that the standby never received.

        The standby is partitioned briefly and the relay fails. The standby recomputes
        the missing tokens in the same lineage, and the caller gets each token once.
        """

        async def scenario(fleet):
            record = ModelRecord("plan set of a shed", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 60)
                node = fleet.system.nodes[fleet.standby_node(record)]
                for other in fleet.system.nodes.values():
                    if other is not node:
                        host = other.agent.network.host
                        fleet.system.network.cut(node.agent.network.host, host)
                await fleet.wait_tokens(record, 80)
                table = node.agent_process.standby.table
                held = table.get("estimator-1", record.id)
                assert len(held.replica.tokens) < len(record.tokens)
                fleet.system.kill_node(RELAY)
                await trio.sleep(0.1)
                for other in fleet.system.nodes.values():
                    host = other.agent.network.host
                    fleet.system.network.heal(node.agent.network.host, host)
            assert_complete(record)

        run_scenario(scenario)

    def test_standby_fails_first(self):
        """The standby fails, and some seconds later the relay fails.

        The batches get no response, so the relay has replicated the request to
        another node by then.
        """

        async def scenario(fleet):
            record = ModelRecord("plan set of a mill", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 60)
                first = fleet.standby_node(record)
                fleet.system.kill_node(first)
                await trio.sleep(4.0)
                assert fleet.standby_node(record) not in ("", first)
                fleet.system.kill_node(RELAY)
            assert_complete(record)

        run_scenario(scenario)

    def test_relay_and_standby_fail_together(self):
        """Relay and standby fail together: the pick-up correctly returns "unknown"."""

        async def scenario(fleet):
            record = ModelRecord("plan set of a silo", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 60)
                standby = fleet.standby_node(record)
                fleet.system.kill_node(standby)
                fleet.system.kill_node(RELAY)
                await trio.sleep(10.0)
                left = next(n for n in fleet.system.nodes if n not in (RELAY, standby))
                response = await fleet.get(left, f"/v1/requests/{record.id}")
                assert response.status_code in (404, 504)
                assert response.json()["outcome"] == "unknown"
                nursery.cancel_scope.cancel()

        run_scenario(scenario)


class TestConcurrentRelays:
    def test_suspended_agent_of_the_relay(self):
        """The agent of the relay is suspended while its entry continues to stream.

        The standby cannot distinguish this from a failure and continues the request
        too. Two entries work on the request; the stream of the caller and a pick-up
        return the same text.
        """

        async def scenario(fleet):
            record = ModelRecord("plan set of a hall", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 60)
                standby = fleet.standby_node(record)
                fleet.system.nodes[RELAY].agent.freeze()
                await trio.sleep(5.0)
                assert len(record.tokens) > 200
                assert record.outcome == "none"
                picked_up = await fleet.pick_up_all(standby, record)
            assert_complete(record)
            assert picked_up.tokens == record.tokens
            assert record.pickups == 0

        run_scenario(scenario)


class TestReclaimNotice:
    """The instance of a node is reclaimed with notice."""

    @pytest.mark.parametrize("max_tokens", [LONG, SHORT * 2])
    def test_streams_are_handed_over(self, max_tokens):
        """The stream outlasts the notice period of 1.5 s; the short one has no replica.

        The node refuses new requests immediately, hands the stream over and ends the
        connection of the caller with an explicit event. The caller continues at
        another node.
        """

        async def scenario(fleet):
            record = ModelRecord("plan set of a lodge", max_tokens)
            node = fleet.system.nodes[RELAY]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 5)
                fleet.system.platform.reclaim(RELAY, 1.5)
                await trio.sleep(0.1)
                ready = await fleet.get(RELAY, "/readyz")
                assert ready.status_code == 503
                await node.entry_stopped.wait()
                assert not node.entry.is_dead
            assert_complete(record)
            assert record.pickups > 0

        run_scenario(scenario)

    def test_agent_restarts_during_the_notice(self):
        """The agent is killed, the notice arrives, and the agent is restarted.

        It finds the mark of its node before its entry has connected. It waits for the
        entry and requests it to hand over, instead of exiting without notifying it.
        """

        async def scenario(fleet):
            record = ModelRecord("plan set of a barn", SHORT * 2)
            node = fleet.system.nodes[RELAY]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 5)
                node.agent.kill()
                fleet.system.platform.reclaim(RELAY, 4.0)
                await trio.sleep(0.5)
                fleet.system.restart_agent(RELAY)
                await node.entry_stopped.wait()
                assert not node.entry.is_dead
            assert_complete(record)

        run_scenario(scenario)

    def test_notice_during_graceful_shutdown(self):
        """An operator drains the node; the notice arrives while a stream is running.

        The shutdown waits for the stream, but no longer than until the new deadline.
        """

        async def scenario(fleet):
            record = ModelRecord("plan set of a tower", LONG)
            node = fleet.system.nodes[RELAY]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 20)
                await node.agent_process.drain("ana")
                await fleet.wait_tokens(record, 40)
                assert not node.entry_stopped.is_set()
                fleet.system.platform.reclaim(RELAY, 2.0)
                await node.entry_stopped.wait()
                assert not node.entry.is_dead
            assert_complete(record)

        run_scenario(scenario)

    def test_standby_is_reclaimed_first(self):
        """The standby gets a notice, and the relay fails right after it terminated.

        The relay receives the notice of the standby and has replicated the request to
        another node by then.
        """

        async def scenario(fleet):
            record = ModelRecord("plan set of a villa", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 20)
                standby = fleet.standby_node(record)
                fleet.system.platform.reclaim(standby, 2.0)
                await trio.sleep(2.1)
                fleet.system.kill_node(RELAY)
            assert_complete(record)

        run_scenario(scenario)

    def test_short_streams_are_not_handed_over(self):
        """Streams that end before the deadline are not handed over."""

        async def scenario(fleet):
            record = ModelRecord("plan set of a porch", SHORT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 50)
                fleet.system.platform.reclaim(RELAY, 4.0)
            assert_complete(record)
            assert record.pickups == 0

        run_scenario(scenario)

    def test_stream_ends_with_explicit_event(self):
        """The stream at the draining entry ends with a "running" event."""

        async def scenario(fleet):
            body = {
                "model": MODEL,
                "messages": [{"role": "user", "content": "plan set of a cabin"}],
                "max_tokens": LONG,
                "stream": True,
            }
            url = f"http://{fleet.address(RELAY)}/v1/chat/completions"
            headers = fleet.caller([RELAY]).headers
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reclaim_later, fleet)
                response = await fleet.client.post(url, headers=headers, json=body)
            events = response.text.split("\n\n")
            assert events[-2] == "data: [DONE]"
            assert '"outcome":"running","retry_after":' in events[-3]

        async def reclaim_later(fleet):
            await trio.sleep(0.5)
            fleet.system.platform.reclaim(RELAY, 3.0)

        run_scenario(scenario)


class TestPickUpAtOtherNodes:
    def test_only_own_customer_finds_request(self):
        """Any node finds a request of a customer, but not for another customer."""

        async def scenario(fleet):
            record = ModelRecord("plan set of an inn", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, record, fleet.caller([RELAY]))
                await fleet.wait_tokens(record, 20)
                for node in fleet.system.nodes:
                    path = f"/v1/requests/{record.id}"
                    response = await fleet.get(node, path, "estimator-2")
                    assert response.status_code == 404
                    assert response.json()["reason"] == "unknown_request"
                picked_up = await fleet.pick_up_all("temple-c-1", record)
            assert_complete(record)
            assert picked_up.tokens == record.tokens

        run_scenario(scenario)


def create_replica(request="r1", lineage="l1", tokens=(), body=b"{}", max_tokens=10):
    return StandbyCopy(
        request, "c", "s", lineage, body, max_tokens, 0, 60.0, list(tokens)
    )


class TestStandbyTable:
    async def test_bounded_by_bytes_and_count(self, autojump_clock):
        table = StandbyTable(max_replicas=2, max_bytes=3000)
        assert table.add(create_replica("r1"))
        assert not table.add(create_replica("r2", body=b"x" * 3000))
        assert table.add(create_replica("r3"))
        assert not table.add(create_replica("r4"))
        table.remove(("c", "r1"))
        assert table.add(create_replica("r4"))

    async def test_text_is_appended_without_gaps(self, autojump_clock):
        """Duplicate and reordered batches neither duplicate nor skip tokens."""
        table = StandbyTable()
        table.add(create_replica(tokens=[b"a"]))
        assert table.apply(StandbyUpdate("c", "r1", 0, [b"a", b"b"]))
        assert not table.apply(StandbyUpdate("c", "r1", 3, [b"d"]))
        assert table.apply(StandbyUpdate("c", "r1", 1, [b"b", b"c"]))
        assert table.get("c", "r1").replica.tokens == [b"a", b"b", b"c"]
        assert table.get("other", "r1") is None

    async def test_replica_expires_after_end(self, autojump_clock):
        table = StandbyTable(ended_ttl_s=5.0)
        table.add(create_replica())
        table.apply(StandbyUpdate("c", "r1", 0, [b"a"], "answered"))
        await trio.sleep(4.0)
        assert table.get("c", "r1").outcome == "answered"
        await trio.sleep(2.0)
        assert table.get("c", "r1") is None
        assert table.size == 0
