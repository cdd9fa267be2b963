"""Tests of the background tasks of components."""

import trio

from rosemaryknot.process.background_tasks import BackgroundTasks, supervise
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


class TestFailures:
    """A background task fails, and everything else goes on."""

    async def test_failed_task_starts_again(self, autojump_clock):
        """Guards against a task whose exception ends the process."""
        times = []

        async def fail_twice():
            times.append(trio.current_time())
            if len(times) < 3:
                raise KeyError("lost")
            await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervise, fail_twice)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        assert [round(time_s - times[0], 2) for time_s in times] == [0.0, 0.1, 0.3]

    async def test_pause_is_bounded(self, autojump_clock):
        """Guards against a tight loop, and against a task that never starts again."""
        times = []

        async def fail():
            times.append(trio.current_time())
            raise OverflowError

        with trio.move_on_after(60):
            await supervise(fail)
        assert 12 < len(times) < 20
        assert times[-1] - times[-2] <= 5.1

    async def test_other_tasks_of_a_component_go_on(self, autojump_clock):
        tasks, ended = BackgroundTasks(), []

        async def fail():
            raise ValueError

        async def work():
            await trio.sleep(1)
            ended.append(True)

        async with tasks.open():
            tasks.start_soon(fail)
            tasks.start_soon(work)
        assert ended

    async def test_node_serves_while_a_task_of_it_fails(self, autojump_clock):
        """Guards against a node that ends with its requests as a report fails."""
        async with platform_system() as fleet:
            node = fleet.nodes["n0"]

            def fail():
                raise OverflowError

            node.exchange.refresh = node.exchange.load_report = fail
            node.state.servers.has_unreported_load = True
            await trio.sleep(2)
            answer = await fleet.ask("/stock/x", method="GET")
            assert answer.status == 200


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
