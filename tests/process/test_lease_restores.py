"""Tests of leases in a store that is restored from an older copy."""

import random

import pytest
import trio
from tests.process.test_leases import NAME, run_region

from rosemaryknot.process.leases import DURATION_S, KIND, Lease
from rosemaryknot.values.platform import StoredObject

# Time after which a lease whose holder is lost is held again, with margin.
SETTLED_S = 3 * DURATION_S


def is_rising(numbers):
    """Return whether each number is higher than the one before."""
    return all(a < b for a, b in zip(numbers, numbers[1:], strict=False))


async def move_holder(region):
    """Let another process acquire the lease, and return it."""
    first = await region.holder()
    region.spawn(first, region.leases[first].release)
    while region.leases[first].is_held() or not any(
        lease.is_held() for lease in region.leases
    ):
        await trio.sleep(0.05)
    return await region.holder()


class TestRestores:
    """No two processes hold a lease at once, and its numbers never go back."""

    @pytest.mark.parametrize("age_s", [0.5, 4.0, 30.0])
    def test_copy_of_an_earlier_holder(self, age_s):
        """The copy holds the release before the current lease, or the lease before."""

        async def scenario(region, nursery):
            region.start(nursery)
            await region.holder()
            await trio.sleep(20.0)
            await move_holder(region)
            await trio.sleep(0.2)
            region.platform.restore(age_s)
            await trio.sleep(SETTLED_S)
            return region.numbers, region.max_holders, await region.holder()

        numbers, max_holders, _ = run_region(scenario)
        assert max_holders == 1 and is_rising(numbers)

    def test_lease_is_not_in_the_copy(self):
        async def scenario(region, nursery):
            region.start(nursery)
            await region.holder()
            await trio.sleep(5.0)
            region.platform.restore(100.0)
            await trio.sleep(SETTLED_S)
            return region.numbers, region.max_holders, await region.holder()

        numbers, max_holders, _ = run_region(scenario)
        assert max_holders == 1 and is_rising(numbers)

    def test_holder_goes_on(self):
        """The copy holds an earlier renewal: no other process acquires the lease."""

        async def scenario(region, nursery):
            region.start(nursery)
            await region.holder()
            await trio.sleep(30.0)
            region.platform.restore(5.0)
            await trio.sleep(SETTLED_S)
            return region.numbers, region.max_holders

        assert run_region(scenario) == ([1], 1)

    @pytest.mark.parametrize("age_s", [8.0, 100.0])
    def test_all_processes_restart(self, age_s):
        """Nobody remembers the numbers that were lost, but servers do."""

        async def scenario(region, nursery):
            region.start(nursery)
            await region.holder()
            for _ in range(3):
                await move_holder(region)
                for lease in region.leases:
                    lease.is_releasing = False
                for index, lease in enumerate(region.leases):
                    region.spawn(index, lease.run)
            last = max(region.numbers)
            region.platform.restore(age_s)
            client = region.clients[0]
            fresh = Lease(client, NAME, "n9/1", lambda: True, random.Random(9))
            for lease in region.leases:
                lease.is_releasing = True
                lease.expiry_s = float("-inf")
            nursery.start_soon(fresh.run)
            while not fresh.is_held():
                await trio.sleep(0.1)
            return last, fresh.fencing

        last, fencing = run_region(scenario)
        assert fencing > last

    def test_conditional_write_of_an_earlier_era(self):
        """Guards against a write whose condition names a version given out again."""

        async def scenario(region, nursery):
            client, other = region.clients[0], region.clients[1]
            await client.create(KIND, NAME, "first")
            found = await client.read(KIND, NAME)
            written = await client.update(KIND, NAME, "lost", found.version)
            await trio.sleep(1.0)
            region.platform.restore(0.5)
            region.platform.kinds[KIND].saved.clear()
            region.platform.kinds[KIND].restore(0.0)
            await other.create(KIND, NAME, "of another process")
            again = await other.read(KIND, NAME)
            await other.update(KIND, NAME, "of another process", again.version)
            await client.read(KIND, "any")
            outcome = await client.update(KIND, NAME, "outdated", written.version)
            return outcome, await client.read(KIND, NAME)

        outcome, stored = run_region(scenario)
        assert not hasattr(outcome, "reason")
        assert isinstance(stored, StoredObject) and stored.value == "of another process"
