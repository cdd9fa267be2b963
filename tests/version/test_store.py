"""Submission of patches: races, stale bases, lost responses, lost versions."""

import trio
from tests.version.documents import count_patch
from tests.version.platform import first_agent, running_harness

from rosemaryknot.version.patch import Patch
from rosemaryknot.version.submission import (
    Accepted,
    DryRun,
    InvalidPatch,
    NeedsConfirm,
    NotAccepted,
    PatchUnknown,
    ReusedPatchId,
    StalePatch,
    StoreConflict,
    StoreUnavailable,
)
from rosemaryknot.version.undo import Overlap, UndoPatch, undo_patch


def patch(name: str, base: int, zone: str = "waco-b", count: int = 3) -> Patch:
    return Patch(f"patch-{name}", base, count_patch(zone, count), name)


class TestSubmit:
    async def test_accepted_with_effect(self, autojump_clock):
        async with running_harness() as harness:
            agent = await first_agent(harness)
            result = await agent.submit(patch("ana", 1))
            effect = ["kit-assistant in waco-b: 2 → 3 instances"]
            assert result == Accepted(2, "patch-ana", effect)
            assert agent.holder.number == 2
            assert harness.stored["number"] == 2

    async def test_stale_base_returns_changes_and_authors(self, autojump_clock):
        async with running_harness() as harness:
            agent = await first_agent(harness)
            await agent.submit(patch("ana", 1))
            result = await agent.submit(patch("ben", 1, "waco-a"))
            assert isinstance(result, StalePatch)
            assert (result.number, result.changes[0].author) == (2, "ana")
            assert result.effect == ["kit-assistant in waco-b: 2 → 3 instances"]
            assert harness.stored["number"] == 2

    async def test_race_of_two_operators(self, autojump_clock):
        """Two operators patch the same base through two agents at the same time.

        Both agents read version 1 before either writes. The condition on the object's
        version decides which patch is accepted; the other operator must be notified
        that the change was not made.
        """
        async with running_harness() as harness:
            agents = [await first_agent(harness), harness.agent()]
            harness.standin.faults.slow_s = 0.2
            results = []

            async def submit(agent, name):
                results.append(await agent.submit(patch(name, 1)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, agents[0], "ana")
                nursery.start_soon(submit, agents[1], "ben")
            kinds = sorted(type(result).__name__ for result in results)
            assert kinds == ["Accepted", "StalePatch"]
            assert len(harness.stored["history"]) == 2

    async def test_response_lost_after_write(self, autojump_clock):
        """The write takes effect and its response is lost.

        The second write is refused, since the object has a new version by then. If the
        agent treated this as a lost race, it would report "stale" for a change that is
        active.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            harness.standin.faults.lose_answers = 1
            assert isinstance(await agent.submit(patch("ana", 1)), Accepted)
            assert [c["number"] for c in harness.stored["history"]] == [1, 2]

    async def test_write_takes_effect_after_its_timeout(self, autojump_clock):
        """The write takes effect after three seconds, when the client has timed out.

        A read in between returns the old version, which proves nothing.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            harness.standin.faults.late_effect_s = 3.0
            assert isinstance(await agent.submit(patch("ana", 1)), Accepted)
            assert len(harness.stored["history"]) == 2

    async def test_store_stops_responding(self, autojump_clock):
        """The platform stops responding between the read and the write.

        The operator gets "unknown" with the patch id. A query by this id after the
        outage shows that the patch is not stored, and after another change that it
        can no longer be accepted.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            reads = agent.platform.read

            async def read_then_silence(*name):
                stored = await reads(*name)
                harness.standin.faults.outage = "silent"
                return stored

            agent.platform.read = read_then_silence
            result = await agent.submit(patch("ana", 1))
            assert result == PatchUnknown("patch-ana", "timeout")
            agent.platform.read = reads
            harness.standin.faults.outage = ""
            status = await agent.patch_status("patch-ana", 1)
            assert isinstance(status, PatchUnknown)
            await agent.submit(patch("ben", 1))
            assert await agent.patch_status("patch-ana", 1) == NotAccepted(2)

    async def test_store_refuses_requests(self, autojump_clock):
        async with running_harness() as harness:
            agent = await first_agent(harness)
            harness.standin.faults.outage = "refuse"
            result = await agent.submit(patch("ana", 1))
            assert result == StoreUnavailable("unavailable")

    async def test_repeated_and_reused_patch_id(self, autojump_clock):
        """A client repeats a patch whose response it lost, then reuses the id."""
        async with running_harness() as harness:
            agent = await first_agent(harness)
            await agent.submit(patch("ana", 1))
            assert isinstance(await agent.submit(patch("ana", 1)), Accepted)
            other = Patch("patch-ana", 2, count_patch("waco-a", 3), "ana")
            assert await agent.submit(other) == ReusedPatchId(2)
            assert harness.stored["number"] == 2

    async def test_dry_run_and_invalid(self, autojump_clock):
        async with running_harness() as harness:
            agent = await first_agent(harness)
            result = await agent.submit(patch("ana", 1), dry_run=True)
            assert isinstance(result, DryRun) and result.number == 2
            bad = Patch("patch-bad", 1, [{"op": "remove", "path": "/no"}], "ana")
            assert isinstance(await agent.submit(bad), InvalidPatch)
            same = await agent.submit(patch("ana", 1, count=2))
            assert same.problems[0].text == "the patch changes nothing"
            assert harness.stored["number"] == 1


class TestDangers:
    async def confirm(self, operations, words):
        """Submit without and with the words; return the requested words."""
        async with running_harness() as harness:
            agent = await first_agent(harness)
            danger = Patch("patch-danger", 1, operations, "ana")
            result = await agent.submit(danger, frozenset({"yes", "wrong"}))
            assert isinstance(result, NeedsConfirm)
            assert harness.stored["number"] == 1
            assert isinstance(await agent.submit(danger, words), Accepted)
            return {found.word for found in result.dangers}

    async def test_last_placement(self, autojump_clock):
        words = frozenset({"dispatch-app"})
        operations = [{"op": "remove", "path": "/placements/dispatch-app"}]
        assert await self.confirm(operations, words) == words

    async def test_limit_to_zero(self, autojump_clock):
        words = frozenset({"estimator-1/kit-assistant"})
        path = "/customers/estimator-1/limits/kit-assistant/concurrent_requests"
        operations = [{"op": "replace", "path": path, "value": 0}]
        assert await self.confirm(operations, words) == words

    async def test_large_capacity_reduction(self, autojump_clock):
        words = frozenset({"3-of-4-kit-assistant"})
        operations = count_patch("waco-a", 0) + count_patch("waco-b", 1)
        assert await self.confirm(operations, words) == words


class TestLostVersions:
    async def test_patch_on_a_restored_backup(self, autojump_clock):
        """The store is rolled back to version 1 while version 2 is active.

        A patch against version 1 would create a different version 2, and the change of
        the first one would be lost without an error. Patches are refused until an
        operator stores the active version again.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            await agent.submit(patch("ana", 1))
            harness.standin.rollback("configuration", "main", 1)
            assert await agent.submit(patch("ben", 1)) == StoreConflict(1, 2)
            restored = await agent.restore("patch-restore", "ana")
            assert restored.number == 3
            places = harness.stored["document"]["placements"]["kit-assistant"]
            assert places["waco-b"]["count"] == 3
            result = await agent.submit(patch("ben", 3, "waco-a"))
            assert isinstance(result, Accepted)

    async def test_conflicting_branch_with_higher_number(self, autojump_clock):
        """A restored backup is patched through an agent without the newest version.

        Its number exceeds the current one, but its lineage lacks the current version:
        applying it would revert an accepted change. The agent must report a conflict
        and refuse patches, until a restore resolves it.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            other = harness.agent(source_agent=agent)
            await agent.submit(patch("ana", 1))
            harness.standin.rollback("configuration", "main", 1)
            await other.submit(patch("ben", 1, "waco-a"))
            await other.submit(patch("ben2", 2, "waco-a", 4))
            assert (await agent.read()).number == 3
            result = agent.holder.apply_push((await agent.read()).push, "store")
            assert (result, agent.holder.number) == ("conflict", 2)
            assert await agent.submit(patch("ana3", 3)) == StoreConflict(3, 2)
            assert (await agent.restore("patch-restore", "ana")).number == 4
            assert other.holder.apply_push(agent.holder.push, "ana") == "applied"
            assert agent.holder.conflict is None


class TestHistory:
    async def test_earlier_versions_and_undo(self, autojump_clock):
        """An earlier change is reverted while a later one of another zone stays."""
        async with running_harness() as harness:
            agent = await first_agent(harness)
            await agent.submit(patch("ana", 1))
            await agent.submit(patch("ben", 2, "waco-a", 4))
            stored = await agent.read()
            places = stored.document_at(1)["placements"]["kit-assistant"]
            assert places == {"waco-a": {"count": 2}, "waco-b": {"count": 2}}
            undo = undo_patch(stored, 2)
            assert isinstance(undo, UndoPatch)
            await agent.submit(Patch("patch-undo", 3, undo.operations, "ana"))
            places = harness.stored["document"]["placements"]["kit-assistant"]
            assert places == {"waco-a": {"count": 4}, "waco-b": {"count": 2}}
            overlap = Overlap(4, "/placements/kit-assistant/waco-b/count")
            assert undo_patch(await agent.read(), 2) == overlap

    async def test_object_size_limit(self, autojump_clock):
        """Consecutive large patches require that the history is truncated.

        Without the limit the store would refuse the object, and every patch would fail.
        """
        async with running_harness() as harness:
            agent = await first_agent(harness)
            for number in range(1, 9):
                names = {f"c{number}-{i}": {} for i in range(4000)}
                path = "/customers"
                operations = [{"op": "replace", "path": path, "value": names}]
                words = frozenset(agent.holder.view.customers)
                # A key must be removed together with its customer.
                if number == 1:
                    key = next(
                        k for k, v in agent.holder.view.keys.items() if v.customer
                    )
                    operations.append({"op": "remove", "path": f"/keys/{key}"})
                name = f"patch-large-{number}"
                result = await agent.submit(Patch(name, number, operations, "a"), words)
                assert isinstance(result, Accepted)
            assert len(harness.stored["history"]) == 9
            assert harness.stored["history"][1]["operations"] is None
