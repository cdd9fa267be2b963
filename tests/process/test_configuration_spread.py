"""Spread of the configuration over a region under faults, in virtual time."""

import pytest
import trio
from tests.process.configuration_fleet import Region, run_region

IN_FORCE_S = 2.0
HEALED_S = 5.0
TOLD_S = 0.1


class TestSpread:
    def test_in_force_within_seconds(self):
        """A patch is accepted by one agent and in force at all within two seconds."""

        async def main(region: Region) -> float:
            await region.start(7)
            await region.agents[3].submit(1, 3)
            took = await region.until(2)
            assert region.reverts() == 0
            return took

        assert run_region(main) < IN_FORCE_S

    def test_peers_alone(self):
        """No watch at all: the peers spread a change by themselves."""

        async def main(region: Region) -> float:
            await region.start(7)
            await region.agents[3].submit(1, 3)
            return await region.until(2)

        assert run_region(main, without_watch=True) < TOLD_S

    def test_many_nodes_need_no_relays_to_pass_it_on(self):
        """Thirty nodes, above the full mesh: nothing happens, then one change.

        Numbers are compared each second. If that went to nodes without a link, every
        leaf's comparison would go through its zone's relays, and these would spend
        their control traffic on it. The change must still be in force in time.
        """

        async def main(region: Region) -> float:
            await region.start(30)
            await trio.sleep(40)
            before = self.passed_on(region)
            await trio.sleep(20)
            assert self.passed_on(region) == before
            await region.agents[3].submit(1, 3)
            return await region.until(2)

        assert run_region(main, without_watch=True) < IN_FORCE_S

    def passed_on(self, region: Region) -> int:
        """Return how many messages of others the nodes have passed on."""
        return sum(agent.peers.forwarder.passed_on for agent in region.agents)

    def test_accepting_agent_dies_before_it_spreads(self):
        """The agent dies right after its write; the watches bring the version."""

        async def main(region: Region) -> float:
            await region.start(7)
            accepting = region.agents[3]
            accepting.store.take = lambda *_: accepting.host.kill()
            region.nursery.start_soon(accepting.submit, 1, 3)
            await trio.sleep(0.5)
            assert accepting.host.is_dead
            region.agents.remove(accepting)
            return await region.until(2)

        assert run_region(main) < IN_FORCE_S

    def test_watches_lose_the_change_and_the_agent_dies(self):
        """As above, and no watch tells of the change; a read finds it."""

        async def main(region: Region) -> float:
            await region.start(7)
            accepting = region.agents[3]
            accepting.store.take = lambda *_: accepting.host.kill()
            region.standin.faults.watch_gaps = 100
            region.nursery.start_soon(accepting.submit, 1, 3)
            await trio.sleep(0.5)
            region.agents.remove(accepting)
            return await region.until(2)

        assert run_region(main) < HEALED_S

    def test_silent_watches_are_replaced(self):
        """All open watches go silent; reads and peers are out of order as well.

        Nothing but a new watch can bring the change, and the old one never ends by
        itself.
        """

        async def main(region: Region) -> float:
            await region.start(1)
            agent = region.agents[0]
            agent.watcher.rank = lambda: 1
            region.standin.silence_watches()
            other = region.add(1)
            other.spread.asked = trio.Event()
            region.network.cut(agent.ip, other.ip)
            await trio.sleep(1)
            stored = (await other.store.read()).push
            other.holder.apply_push(stored, "test")
            await other.submit(1, 3)
            region.agents.remove(other)
            return await region.until(2)

        assert run_region(main) < HEALED_S


class TestNewNode:
    def test_platform_down_for_its_whole_life(self):
        """A node starts during an outage and knows the version from its peers."""

        async def main(region: Region) -> None:
            await region.start(6)
            await region.agents[3].submit(1, 3)
            await region.until(2)
            region.standin.faults.outage = "silent"
            new = region.add(6)
            with trio.fail_after(IN_FORCE_S):
                await new.holder.wait_changed(1)
            assert new.holder.number == 2

        run_region(main)

    def test_restart_while_the_store_is_an_old_backup(self):
        """A node restarts while the store holds version 1 and its peers 2.

        A node that read the store first would serve by version 1 until a peer told
        it better: an accepted change would have reverted.
        """

        async def main(region: Region) -> None:
            await region.start(6)
            await region.agents[3].submit(1, 3)
            await region.until(2)
            region.standin.rollback("configuration", "main", 1)
            region.agents[5].host.kill()
            await trio.sleep(1)
            new = region.add(5, incarnation=2)
            await trio.sleep(10)
            assert [number for _, number in new.seen] == [2]
            assert region.numbers() == [2] * 6
            assert any(agent.watcher.is_rolled_back for agent in region.agents)

        run_region(main, expected=2)


@pytest.mark.parametrize("without_watch", [False, True])
class TestPartition:
    def test_zone_cut_off_and_healed(self, without_watch):
        """A zone misses two changes in a partition and has both soon after it."""

        async def main(region: Region) -> float:
            await region.start(7)
            region.cut_off("temple-c")
            await trio.sleep(20)
            await region.agents[0].submit(1, 3)
            await region.agents[0].submit(2, 4)
            await trio.sleep(20)
            inside = [a for a in region.agents if a.zone == "temple-c"]
            assert {agent.holder.number for agent in inside} == {1}
            region.cut_off("temple-c", heal=True)
            took = await region.until(3)
            assert region.reverts() == 0
            return took

        assert run_region(main, without_watch=without_watch) < HEALED_S

    def test_node_paused_for_a_minute(self, without_watch):
        """A frozen node wakes up with an old version, offers and watch.

        It must not talk anyone back, and must catch up within seconds.
        """

        async def main(region: Region) -> float:
            await region.start(7)
            region.agents[4].host.freeze()
            await region.agents[0].submit(1, 3)
            await trio.sleep(60)
            region.agents[4].host.thaw()
            took = await region.until(2)
            await trio.sleep(5)
            assert region.numbers() == [2] * 7
            assert region.reverts() == 0
            return took

        assert run_region(main, without_watch=without_watch) < HEALED_S


class TestLostVersions:
    def test_same_number_other_digest(self):
        """Two documents under number 2: one in force, one in the patched backup.

        The agents that hold the first keep it and say so, through the store and
        through the peers, and no later change is taken until a restore.
        """

        async def main(region: Region) -> None:
            await region.start(6)
            region.cut_off("temple-c")
            await trio.sleep(20)
            await region.agents[0].submit(1, 3)
            await trio.sleep(3)
            region.standin.rollback("configuration", "main", 1)
            region.cut_off("temple-c", heal=True)
            cut_off = region.agents[2]
            # The agent of the healed zone has not heard of version 2 yet.
            assert cut_off.holder.number == 1
            await cut_off.submit(1, 5)
            await trio.sleep(10)
            assert region.numbers() == [2] * 6
            counts = {
                agent.holder.view.placements["kit-assistant"]["waco-b"].count
                for agent in region.agents
            }
            assert counts == {3, 5}
            assert all(agent.holder.conflict for agent in region.agents)
            await region.agents[0].store.restore("patch-restore", "ana")
            assert await region.until(3) < HEALED_S
            assert not any(agent.holder.conflict for agent in region.agents)
            assert region.reverts() == 0

        run_region(main)
