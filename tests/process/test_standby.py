"""Accepted model requests outlive the entry that relays them, in virtual time."""

import pytest
import trio
from tests.process.standby_fleet import (
    LONG,
    MODEL,
    RELAY,
    SHORT,
    assert_whole,
    run_story,
)

from rosemaryknot.process.standby_table import StandbyTable
from rosemaryknot.replay.notes import ModelNote
from rosemaryknot.values.standby import StandbyCopy, StandbyUpdate


class TestDeathWithoutNotice:
    """The instance of the relaying entry vanishes in the middle of a stream."""

    def test_relay_dies(self):
        """The caller's stream breaks off and it picks the request up elsewhere.

        The standby, in another zone, hears nothing from the relay, asks its agent,
        gets no answer and goes on within the lineage.
        """

        async def story(fleet):
            note = ModelNote("plan set of a house", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 60)
                standby = fleet.standby_of(note)
                fleet.system.kill_node(RELAY)
            assert_whole(note)
            assert note.pickups > 0
            assert not standby.startswith("waco-a")

        run_story(story)

    def test_only_the_entry_dies(self):
        """The entry is killed and its agent lives: the agent says so at once."""

        async def story(fleet):
            note = ModelNote("plan set of a barn", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 60)
                fleet.system.restart_entry(RELAY)
            assert_whole(note)

        run_story(story)

    def test_standby_has_less_text(self):
        """The caller holds tokens that no batch brought to the standby.

        The standby is cut off for a moment and the relay dies: the standby computes
        the missing tokens again, in the same lineage, and the caller gets each once.
        """

        async def story(fleet):
            note = ModelNote("plan set of a shed", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 60)
                node = fleet.system.nodes[fleet.standby_of(note)]
                for other in fleet.system.nodes.values():
                    if other is not node:
                        host = other.agent.network.host
                        fleet.system.network.cut(node.agent.network.host, host)
                await fleet.wait_tokens(note, 80)
                table = node.agent_process.standby.table
                held = table.get("estimator-1", note.id)
                assert len(held.copy.tokens) < len(note.tokens)
                fleet.system.kill_node(RELAY)
                await trio.sleep(0.1)
                for other in fleet.system.nodes.values():
                    host = other.agent.network.host
                    fleet.system.network.heal(node.agent.network.host, host)
            assert_whole(note)

        run_story(story)

    def test_standby_dies_first(self):
        """The standby dies, and some seconds later the relay does.

        The batches get no answer, so the relay has copied the request to another
        node by then.
        """

        async def story(fleet):
            note = ModelNote("plan set of a mill", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 60)
                first = fleet.standby_of(note)
                fleet.system.kill_node(first)
                await trio.sleep(4.0)
                assert fleet.standby_of(note) not in ("", first)
                fleet.system.kill_node(RELAY)
            assert_whole(note)

        run_story(story)

    def test_both_die_at_once(self):
        """Relay and standby die together: the pick-up says honestly "unknown"."""

        async def story(fleet):
            note = ModelNote("plan set of a silo", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 60)
                standby = fleet.standby_of(note)
                fleet.system.kill_node(standby)
                fleet.system.kill_node(RELAY)
                await trio.sleep(10.0)
                left = next(n for n in fleet.system.nodes if n not in (RELAY, standby))
                answer = await fleet.get(left, f"/v1/requests/{note.id}")
                assert answer.status_code in (404, 504)
                assert answer.json()["outcome"] == "unknown"
                nursery.cancel_scope.cancel()

        run_story(story)


class TestTwoAtWork:
    def test_frozen_agent_of_the_relay(self):
        """The relay's agent freezes while its entry streams on.

        The standby cannot tell that from a death and goes on too. Two entries work
        on the request; the caller's stream and a pick-up give the same text.
        """

        async def story(fleet):
            note = ModelNote("plan set of a hall", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 60)
                standby = fleet.standby_of(note)
                fleet.system.nodes[RELAY].agent.freeze()
                await trio.sleep(5.0)
                assert len(note.tokens) > 200
                assert note.outcome == "none"
                again = await fleet.whole_from(standby, note)
            assert_whole(note)
            assert again.tokens == note.tokens
            assert note.pickups == 0

        run_story(story)


class TestAnnouncedReclaim:
    """The instance of a node is taken back with notice."""

    @pytest.mark.parametrize("max_tokens", [LONG, SHORT * 2])
    def test_streams_are_handed_over(self, max_tokens):
        """Three seconds' notice; a stream needs longer, also one without a copy.

        The node takes nothing new at once, hands the stream over, ends the caller's
        connection with an explicit event, and the caller goes on elsewhere.
        """

        async def story(fleet):
            note = ModelNote("plan set of a lodge", max_tokens)
            node = fleet.system.nodes[RELAY]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 5)
                fleet.system.platform.reclaim(RELAY, 1.5)
                await trio.sleep(0.1)
                ready = await fleet.get(RELAY, "/readyz")
                assert ready.status_code == 503
                await node.entry_ended.wait()
                assert not node.entry.is_dead
            assert_whole(note)
            assert note.pickups > 0

        run_story(story)

    def test_agent_restarts_during_the_notice(self):
        """The agent dies, the notice comes, and the agent is started again.

        It finds its node marked before its entry has linked up. It waits for the
        entry and has it hand over, instead of ending with nobody told.
        """

        async def story(fleet):
            note = ModelNote("plan set of a barn", SHORT * 2)
            node = fleet.system.nodes[RELAY]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 5)
                node.agent.kill()
                fleet.system.platform.reclaim(RELAY, 4.0)
                await trio.sleep(0.5)
                fleet.system.restart_agent(RELAY)
                await node.entry_ended.wait()
                assert not node.entry.is_dead
            assert_whole(note)

        run_story(story)

    def test_notice_during_a_planned_stop(self):
        """An operator drains the node; the notice comes while a stream still runs.

        The stop waits for the stream, and no longer than to the new deadline.
        """

        async def story(fleet):
            note = ModelNote("plan set of a tower", LONG)
            node = fleet.system.nodes[RELAY]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 20)
                await node.agent_process.drain("ana")
                await fleet.wait_tokens(note, 40)
                assert not node.entry_ended.is_set()
                fleet.system.platform.reclaim(RELAY, 2.0)
                await node.entry_ended.wait()
                assert not node.entry.is_dead
            assert_whole(note)

        run_story(story)

    def test_standby_is_reclaimed_first(self):
        """The standby gets a notice, and the relay dies right after its end.

        The relay hears of the notice and has copied the request anew by then.
        """

        async def story(fleet):
            note = ModelNote("plan set of a villa", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 20)
                standby = fleet.standby_of(note)
                fleet.system.platform.reclaim(standby, 2.0)
                await trio.sleep(2.1)
                fleet.system.kill_node(RELAY)
            assert_whole(note)

        run_story(story)

    def test_short_streams_end_in_place(self):
        """What ends before the deadline is not moved."""

        async def story(fleet):
            note = ModelNote("plan set of a porch", SHORT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 50)
                fleet.system.platform.reclaim(RELAY, 4.0)
            assert_whole(note)
            assert note.pickups == 0

        run_story(story)

    def test_last_event(self):
        """The stream at the leaving entry ends with "running", never silently."""

        async def story(fleet):
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
                answer = await fleet.client.post(url, headers=headers, json=body)
            events = answer.text.split("\n\n")
            assert events[-2] == "data: [DONE]"
            assert '"outcome":"running","retry_after":' in events[-3]

        async def reclaim_later(fleet):
            await trio.sleep(0.5)
            fleet.system.platform.reclaim(RELAY, 3.0)

        run_story(story)


class TestPickUpElsewhere:
    def test_only_its_customer(self):
        """Any node finds a customer's request; to another customer it is not there."""

        async def story(fleet):
            note = ModelNote("plan set of an inn", LONG)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, note, fleet.caller([RELAY]))
                await fleet.wait_tokens(note, 20)
                for node in fleet.system.nodes:
                    path = f"/v1/requests/{note.id}"
                    answer = await fleet.get(node, path, "estimator-2")
                    assert answer.status_code == 404
                    assert answer.json()["reason"] == "unknown_request"
                again = await fleet.whole_from("temple-c-1", note)
            assert_whole(note)
            assert again.tokens == note.tokens

        run_story(story)


def copy_of(request="r1", lineage="l1", tokens=(), body=b"{}", max_tokens=10):
    return StandbyCopy(
        request, "c", "s", lineage, body, max_tokens, 0, 60.0, list(tokens)
    )


class TestStandbyTable:
    async def test_bounded_by_bytes_and_count(self, autojump_clock):
        table = StandbyTable(max_copies=2, max_bytes=3000)
        assert table.add(copy_of("r1"))
        assert not table.add(copy_of("r2", body=b"x" * 3000))
        assert table.add(copy_of("r3"))
        assert not table.add(copy_of("r4"))
        table.remove(("c", "r1"))
        assert table.add(copy_of("r4"))

    async def test_text_joins_without_a_gap(self, autojump_clock):
        """Batches come twice or out of order: no token is doubled or skipped."""
        table = StandbyTable()
        table.add(copy_of(tokens=[b"a"]))
        assert table.apply(StandbyUpdate("c", "r1", 0, [b"a", b"b"]))
        assert not table.apply(StandbyUpdate("c", "r1", 3, [b"d"]))
        assert table.apply(StandbyUpdate("c", "r1", 1, [b"b", b"c"]))
        assert table.get("c", "r1").copy.tokens == [b"a", b"b", b"c"]
        assert table.get("other", "r1") is None

    async def test_kept_for_a_while_after_the_end(self, autojump_clock):
        table = StandbyTable(keep_ended_s=5.0)
        table.add(copy_of())
        table.apply(StandbyUpdate("c", "r1", 0, [b"a"], "answered"))
        await trio.sleep(4.0)
        assert table.get("c", "r1").outcome == "answered"
        await trio.sleep(2.0)
        assert table.get("c", "r1") is None
        assert table.size == 0
