"""Tests of leases with several candidates and the real platform stand-in."""

import random

import pytest
import trio
from trio.testing import MockClock

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.platform import PlatformClient
from rosemaryknot.process.leases import DURATION_S, KIND, Lease, lease_candidates
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.hosts import Host, HostInstrument
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.nodes import Address, Node

PLATFORM = Address("10.0.0.9", 7000)
NAME = "placement-kit-assistant"
TAKEOVER_TIMEOUT_S = DURATION_S + 4.0


class Region:
    """A platform and processes that compete for one lease, each on its own host."""

    def __init__(self, count, safeguards):
        self.network = MemoryNetwork()
        self.platform = PlatformStandIn()
        self.hosts = [
            Host(self.network.with_host(f"10.0.0.{1 + index}"))
            for index in range(count)
        ]
        self.clients = [PlatformClient(h.network, PLATFORM) for h in self.hosts]
        self.leases = [
            Lease(client, NAME, f"n{i}/1", lambda: True, random.Random(i), safeguards)
            for i, client in enumerate(self.clients)
        ]
        self.spawned = [trio.open_memory_channel(10) for _ in range(count)]
        self.max_holders = 0
        self.numbers = []

    def start(self, nursery):
        """Run all leases, and sample which processes consider themselves the holder."""
        for index, host in enumerate(self.hosts):
            nursery.start_soon(host.run, self.run_process, index)
            self.spawn(index, self.leases[index].run)
        nursery.start_soon(self.sample_holders)

    async def run_process(self, index):
        """Run the functions spawned on a host, each in a task of that host."""
        async with trio.open_nursery() as nursery:
            async for function, args in self.spawned[index][1]:
                nursery.start_soon(function, *args)

    def spawn(self, index, function, *args):
        self.spawned[index][0].send_nowait((function, args))

    async def sample_holders(self):
        while True:
            self.poll()
            await trio.sleep(0.05)

    def poll(self):
        holders = [lease for lease in self.leases if lease.is_held()]
        self.max_holders = max(self.max_holders, len(holders))
        for lease in holders:
            if not self.numbers or self.numbers[-1] != lease.fencing:
                self.numbers.append(lease.fencing)

    async def holder(self):
        while not any(lease.is_held() for lease in self.leases):
            await trio.sleep(0.05)
        return next(i for i, lease in enumerate(self.leases) if lease.is_held())


def run_region(scenario, count=3, **safeguards):
    """Run an async function with a region and a nursery in virtual time."""
    results = []

    async def main():
        region = Region(count, Safeguards(**safeguards))
        async with trio.open_nursery() as nursery:
            network = region.network.with_host(PLATFORM.host)
            await nursery.start(region.platform.serve, network, PLATFORM)
            try:
                with trio.fail_after(600.0):
                    results.append(await scenario(region, nursery))
            finally:
                for host in region.hosts:
                    host.dispose()
                for client in region.clients:
                    await client.aclose()
                nursery.cancel_scope.cancel()

    clock = MockClock(autojump_threshold=0)
    trio.run(main, clock=clock, instruments=[HostInstrument()])
    return results[0]


class TestLease:
    def test_race_for_a_free_lease(self):
        """Five processes find the lease free at the same time; only one acquires it."""

        async def scenario(region, nursery):
            for wait_s in (DURATION_S, 1.0):
                async with trio.open_nursery() as steps:
                    for lease in region.leases:
                        steps.start_soon(lease.step)
                await trio.sleep(wait_s)
                region.poll()
            return region.numbers, region.max_holders

        assert run_region(scenario, count=5) == ([1], 1)

    def test_renewed_for_long(self):
        """Without faults one holder keeps one number, with few calls to the store."""

        async def scenario(region, nursery):
            region.start(nursery)
            await region.holder()
            before = region.platform.calls.copy()
            await trio.sleep(300.0)
            calls = region.platform.calls - before
            return region.numbers, region.max_holders, calls

        numbers, max_holders, calls = run_region(scenario)
        assert (numbers, max_holders) == ([1], 1)
        assert calls["write"] <= 300 / 2.4
        assert calls["read"] <= 2 * 300 / 2.4

    def test_holder_paused_across_expiry(self):
        """The holder is suspended for a minute without noticing it.

        Another process acquires the lease. The first one must find its own lease
        expired in its very first check after the suspension, before it has read
        anything.
        """

        async def scenario(region, nursery):
            region.start(nursery)
            suspended = await region.holder()
            region.hosts[suspended].freeze()
            await trio.sleep(60.0)
            new_holders = [
                i for i, lease in enumerate(region.leases) if lease.is_held()
            ]
            region.hosts[suspended].thaw()
            still_held = region.leases[suspended].is_held()
            await trio.sleep(30.0)
            return (
                suspended,
                new_holders,
                still_held,
                region.numbers,
                region.max_holders,
            )

        suspended, new_holders, still_held, numbers, max_holders = run_region(scenario)
        assert len(new_holders) == 1 and new_holders != [suspended] and not still_held
        assert (numbers, max_holders) == ([1, 2], 1)

    def test_outage_while_holding(self):
        """The store is out for a minute, either silent or refusing calls.

        The lease expires by the holder's own clock and nobody else can acquire it.
        After the outage one process holds it under a higher number.
        """

        async def scenario(region, nursery, outage):
            region.start(nursery)
            await region.holder()
            region.platform.faults.outage = outage
            await trio.sleep(DURATION_S)
            held = [lease.is_held() for lease in region.leases]
            await trio.sleep(50.0)
            region.platform.faults.outage = ""
            await region.holder()
            await trio.sleep(30.0)
            return any(held), region.numbers, region.max_holders

        for outage in ("refuse", "silent"):

            async def outage_scenario(region, nursery, outage=outage):
                return await scenario(region, nursery, outage)

            assert run_region(outage_scenario) == (False, [1, 2], 1)

    def test_renewal_response_lost(self):
        """The store renews the lease, but the response is lost.

        The holder reads its own write back and continues under the same number. If it
        treated the lost response as a failure, its own renewal would cost it the lease.
        """

        async def scenario(region, nursery):
            region.start(nursery)
            holder = await region.holder()
            for _ in range(10):
                region.platform.faults.lose_answers = 1
                await trio.sleep(4.0)
                assert region.platform.faults.lose_answers == 0
                assert region.leases[holder].is_held()
            return region.numbers, region.max_holders

        assert run_region(scenario) == ([1], 1)

    @pytest.mark.parametrize("lease_margin", [True, False])
    def test_renewal_that_is_read_back_late(self, lease_margin):
        """A renewal takes effect, its response is lost and the store is unreachable.

        Ten seconds later the holder reads its own record. A candidate saw the renewal
        when it was written and acquires the lease now. A holder that measures the
        duration from when it learns of its renewal would be a second holder.
        """

        async def scenario(region, nursery):
            one, other = region.leases
            address = region.hosts[0].network.host
            await one.step()
            await trio.sleep(DURATION_S)
            await one.step()
            region.network.delays_s[frozenset((address, PLATFORM.host))] = 0.3
            region.platform.faults.lose_answers = 1
            await trio.sleep(3.0)
            async with trio.open_nursery() as steps:
                steps.start_soon(one.step)
                while region.platform.faults.lose_answers:
                    await trio.sleep(0.01)
                region.network.cut(address, PLATFORM.host)
            region.network.heal(address, PLATFORM.host)
            region.network.delays_s.clear()
            await trio.sleep(0.5)
            await other.step()
            await trio.sleep(DURATION_S)
            region.poll()
            await one.poll()
            await other.step()
            region.poll()
            return region.max_holders

        holders = run_region(scenario, count=2, lease_margin=lease_margin)
        assert holders == (1 if lease_margin else 2)

    def test_renewals_that_take_effect_late(self):
        """Writes take effect twelve seconds after they were sent.

        By then the lease may have another holder, so that the write's condition fails.
        """

        async def scenario(region, nursery):
            region.start(nursery)
            await region.holder()
            region.platform.faults.late_effect_s = 12.0
            await trio.sleep(120.0)
            region.platform.faults.late_effect_s = 0.0
            await region.holder()
            await trio.sleep(30.0)
            return region.numbers, region.max_holders

        numbers, max_holders = run_region(scenario)
        assert max_holders == 1
        assert numbers == sorted(set(numbers)) and len(numbers) >= 2

    def test_graceful_shutdown(self):
        """After a graceful shutdown the next holder need not wait for expiry."""

        async def scenario(region, nursery):
            region.start(nursery)
            first = await region.holder()
            await region.leases[first].release()
            begin_s = trio.current_time()
            second = await region.holder()
            took_s = trio.current_time() - begin_s
            return took_s, region.leases[second].is_clean_handover, region.numbers

        took_s, is_clean_handover, numbers = run_region(scenario)
        assert took_s < 4.0 and is_clean_handover and numbers == [1, 2]

    def test_store_restored_from_a_backup(self):
        """The store comes back with an old record, or without one.

        Its number is lower than what backend servers have seen. The holder learns the
        higher number from them, and the next number exceeds all that were used.
        """

        async def scenario(region, nursery):
            region.start(nursery)
            first = await region.holder()
            await region.leases[first].release()
            await trio.sleep(DURATION_S)
            holder = await region.holder()
            region.platform.rollback(KIND, NAME, 1)
            await trio.sleep(2 * TAKEOVER_TIMEOUT_S)
            holder = await region.holder()
            region.leases[holder].record_fencing(7)
            assert not region.leases[holder].is_held()
            await trio.sleep(TAKEOVER_TIMEOUT_S)
            return region.numbers, region.max_holders

        numbers, max_holders = run_region(scenario)
        assert max_holders == 1
        assert numbers == sorted(set(numbers)) and numbers[-1] == 8


class TestCandidates:
    def test_zones_and_stability(self):
        """Candidates are in different zones; a stopped node loses only its place."""
        zones = ("a", "b", "c")
        nodes = [Node(f"n{i}", zones[i % 3], 1) for i in range(63)]
        chosen = lease_candidates(nodes, NAME)
        assert {node.zone for node in chosen} == set(zones)
        rest = [node for node in nodes if node != chosen[0]]
        assert set(chosen[1:]) <= set(lease_candidates(rest, NAME))
        assert len(lease_candidates(nodes[::3], NAME)) == 3
