"""Distribution of the configuration in a region with faults, in virtual time."""

import pytest
import trio
from tests.process.configuration_fleet import Region, run_region

ACTIVATION_TIMEOUT_S = 2.0
RECOVERY_TIMEOUT_S = 5.0
PEER_DISTRIBUTION_TIMEOUT_S = 0.1


class TestDistribution:
    def test_active_within_seconds(self):
        """One agent accepts a patch, and all activate it within two seconds."""

        async def main(region: Region) -> float:
            await region.start(7)
            await region.agents[3].submit(1, 3)
            took = await region.wait_active(2)
            assert region.reverts() == 0
            return took

        assert run_region(main) < ACTIVATION_TIMEOUT_S

    def test_peers_alone(self):
        """Without any watch, the peers alone distribute a change."""

        async def main(region: Region) -> float:
            await region.start(7)
            await region.agents[3].submit(1, 3)
            return await region.wait_active(2)

        assert run_region(main, without_watch=True) < PEER_DISTRIBUTION_TIMEOUT_S

    def test_many_nodes_compare_without_relays(self):
        """Thirty nodes, too many for a full mesh, are idle until one change comes.

        Numbers are compared each second. If nodes without a direct link were chosen
        for it, every comparison of a leaf node would go through the relays of its zone
        and use up their control traffic. The change must still be active in time.
        """

        async def main(region: Region) -> float:
            await region.start(30)
            await trio.sleep(40)
            before = self.passed_on(region)
            await trio.sleep(20)
            assert self.passed_on(region) == before
            await region.agents[3].submit(1, 3)
            return await region.wait_active(2)

        assert run_region(main, without_watch=True) < ACTIVATION_TIMEOUT_S

    def passed_on(self, region: Region) -> int:
        """Return how many messages of other nodes the nodes have forwarded."""
        return sum(agent.peers.forwarder.passed_on for agent in region.agents)

    def test_accepting_agent_fails_before_distribution(self):
        """The agent fails right after its write; the watches deliver the version."""

        async def main(region: Region) -> float:
            await region.start(7)
            accepting = region.agents[3]
            accepting.store.apply_accepted = lambda *_: accepting.host.kill()
            region.nursery.start_soon(accepting.submit, 1, 3)
            await trio.sleep(0.5)
            assert accepting.host.is_dead
            region.agents.remove(accepting)
            return await region.wait_active(2)

        assert run_region(main) < ACTIVATION_TIMEOUT_S

    def test_watches_lose_the_change_and_the_agent_fails(self):
        """As above, but no watch reports the change; a read finds it."""

        async def main(region: Region) -> float:
            await region.start(7)
            accepting = region.agents[3]
            accepting.store.apply_accepted = lambda *_: accepting.host.kill()
            region.standin.faults.watch_gaps = 100
            region.nursery.start_soon(accepting.submit, 1, 3)
            await trio.sleep(0.5)
            region.agents.remove(accepting)
            return await region.wait_active(2)

        assert run_region(main) < RECOVERY_TIMEOUT_S

    def test_silent_watches_are_replaced(self):
        """All open watches go silent, and neither reads nor peers help.

        Only a new watch can deliver the change, and the old one never ends by itself.
        """

        async def main(region: Region) -> float:
            await region.start(1)
            agent = region.agents[0]
            agent.watcher.watcher_index = lambda: 1
            region.standin.silence_watches()
            other = region.add(1)
            other.distributor.peers_queried = trio.Event()
            region.network.cut(agent.ip, other.ip)
            await trio.sleep(1)
            stored = (await other.store.read()).push
            other.holder.apply_push(stored, "test")
            await other.submit(1, 3)
            region.agents.remove(other)
            return await region.wait_active(2)

        assert run_region(main) < RECOVERY_TIMEOUT_S


class TestNewNode:
    def test_platform_down_since_its_start(self):
        """A node starts during an outage and gets the version from its peers."""

        async def main(region: Region) -> None:
            await region.start(6)
            await region.agents[3].submit(1, 3)
            await region.wait_active(2)
            region.standin.faults.outage = "silent"
            new = region.add(6)
            with trio.fail_after(ACTIVATION_TIMEOUT_S):
                await new.holder.wait_changed(1)
            assert new.holder.number == 2

        run_region(main)

    def test_restart_while_the_store_is_an_old_backup(self):
        """A node restarts while the store holds version 1 and its peers 2.

        A node that read the store first would serve with version 1 until a peer
        offered version 2: an accepted change would have been reverted.
        """

        async def main(region: Region) -> None:
            await region.start(6)
            await region.agents[3].submit(1, 3)
            await region.wait_active(2)
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
    def test_zone_partitioned_and_healed(self, without_watch):
        """A zone misses two changes in a partition and has both soon after it heals."""

        async def main(region: Region) -> float:
            await region.start(7)
            region.partition_zone("temple-c")
            await trio.sleep(20)
            await region.agents[0].submit(1, 3)
            await region.agents[0].submit(2, 4)
            await trio.sleep(20)
            inside = [a for a in region.agents if a.zone == "temple-c"]
            assert {agent.holder.number for agent in inside} == {1}
            region.partition_zone("temple-c", heal=True)
            took = await region.wait_active(3)
            assert region.reverts() == 0
            return took

        assert run_region(main, without_watch=without_watch) < RECOVERY_TIMEOUT_S

    def test_node_suspended_for_a_minute(self, without_watch):
        """A suspended node resumes with an old version, old offers and an old watch.

        It must not make any node revert, and must catch up within seconds.
        """

        async def main(region: Region) -> float:
            await region.start(7)
            region.agents[4].host.freeze()
            await region.agents[0].submit(1, 3)
            await trio.sleep(60)
            region.agents[4].host.thaw()
            took = await region.wait_active(2)
            await trio.sleep(5)
            assert region.numbers() == [2] * 7
            assert region.reverts() == 0
            return took

        assert run_region(main, without_watch=without_watch) < RECOVERY_TIMEOUT_S


class TestLostVersions:
    def test_same_number_other_digest(self):
        """Two documents have number 2: the active one and one in a patched backup.

        The agents that hold the first keep it and report the conflict, whether they
        learn of the other from the store or from peers. No later change is applied
        until a restore.
        """

        async def main(region: Region) -> None:
            await region.start(6)
            region.partition_zone("temple-c")
            await trio.sleep(20)
            await region.agents[0].submit(1, 3)
            await trio.sleep(3)
            region.standin.rollback("configuration", "main", 1)
            region.partition_zone("temple-c", heal=True)
            outdated = region.agents[2]
            # The agent of the healed zone has not received version 2 yet.
            assert outdated.holder.number == 1
            await outdated.submit(1, 5)
            await trio.sleep(10)
            assert region.numbers() == [2] * 6
            counts = {
                agent.holder.view.placements["kit-assistant"]["waco-b"].count
                for agent in region.agents
            }
            assert counts == {3, 5}
            assert all(agent.holder.conflict for agent in region.agents)
            await region.agents[0].store.restore("patch-restore", "ana")
            assert await region.wait_active(3) < RECOVERY_TIMEOUT_S
            assert not any(agent.holder.conflict for agent in region.agents)
            assert region.reverts() == 0

        run_region(main)
