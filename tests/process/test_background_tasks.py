"""Tests of the background tasks of components."""

import trio

from rosemaryknot.process.background_tasks import BackgroundTasks
from rosemaryknot.standin.users.system import MODEL_HEADERS, platform_system


class TestBackgroundTasks:
    async def test_no_task_after_it_was_cancelled(self, autojump_clock):
        """A component that still runs needs a task of one that was cancelled."""
        tasks, started = BackgroundTasks(), []

        async def run():
            async with tasks.open():
                await trio.sleep_forever()

        async def work(name):
            started.append(name)

        assert not tasks.start_soon(work, "before")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await trio.sleep(1)
            assert tasks.start_soon(work, "open")
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
            for _ in range(2):
                await trio.lowlevel.cancel_shielded_checkpoint()
            assert not tasks.start_soon(work, "cancelled")
        assert not tasks.start_soon(work, "closed")
        assert started == ["open"]

    async def test_waits_for_tasks_at_the_end(self, autojump_clock):
        tasks, ended = BackgroundTasks(), []

        async def work():
            await trio.sleep(1)
            ended.append(trio.current_time())

        async with tasks.open():
            tasks.start_soon(work)
        assert ended


class TestPlannedStop:
    async def test_cancelled_as_it_ends(self, autojump_clock):
        """The origins of streams are handed over when their sender has ended."""
        async with platform_system(nodes=3) as fleet:
            node = fleet.nodes["n0"]
            answer = await fleet.ask("/ask/x", "n0", **MODEL_HEADERS)
            assert answer.is_whole and node.origin_exchange.records.current()
            fleet.kill("n0")
            await trio.sleep(1)
            await node.origin_exchange.hand_over()
