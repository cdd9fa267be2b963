"""Tests of move plans and of the choice of move targets."""

from rosemaryknot.request.move_plan import (
    MoveAction,
    MoveInput,
    StreamFacts,
    TargetFacts,
    choose_target,
    plan_moves,
)
from rosemaryknot.values.nodes import BackendServer


def stream(name, prompt=1000, emitted=500, remaining=5000, **changes) -> StreamFacts:
    return StreamFacts(name, prompt, emitted, remaining, 0.003, **changes)


def plan(streams, remaining_s=3.0, policy="planned_moves", moves_kv=True):
    inputs = MoveInput(streams, remaining_s, moves_kv, 131_072, 1e9)
    return [(s.request_id, str(s.action)) for s in plan_moves(policy, inputs)]


class TestPlannedMoves:
    def test_streams_that_end_in_time_are_finished(self):
        streams = [stream("short", remaining=800), stream("long", remaining=1000)]
        assert plan(streams) == [("short", "finish"), ("long", "move")]

    def test_streams_that_do_not_fit_are_resumed_first(self):
        """Moves that do not fit in the notice period become resumes.

        The transfers take twelve seconds, the notice is three seconds. Resumes need no
        transfer and start immediately, followed by the moves that fit. A stream that is
        too large for the remaining time does not block a smaller one.
        """
        streams = [stream(f"s{n}", prompt=15_000) for n in range(5)]
        steps = plan([*streams, stream("small", prompt=300, emitted=100)])
        assert [action for _, action in steps] == ["resume"] * 4 + ["move"] * 2
        assert steps[-1] == ("small", "move")

    def test_moves_are_ordered_by_tokens_at_risk(self):
        """A stream whose prompt is cached on another server is cheap to resume."""
        cached = stream("cached", prompt=9_000, cached_tokens_elsewhere=8_900)
        fresh = stream("fresh", prompt=9_000)
        assert plan([cached, fresh])[-2:] == [("fresh", "move"), ("cached", "move")]
        assert plan([cached, fresh], 2.0)[-1] == ("fresh", "move")

    def test_prefill_that_ends_in_time_is_moved_last(self):
        """A move waits for the end of the prefill, which a resume would repeat."""
        streams = [stream("prefills", ready_in_s=0.2), stream("runs", prompt=900)]
        assert plan(streams) == [("runs", "move"), ("prefills", "move")]
        assert plan([stream("late", ready_in_s=2.6)]) == [("late", "resume")]

    def test_unmovable_streams_are_resumed(self):
        assert plan([stream("a")], moves_kv=False) == [("a", "resume")]
        assert plan([stream("a")], remaining_s=0.0) == [("a", "resume")]

    def test_baselines(self):
        streams = [stream("a"), stream("b", remaining=1)]
        for policy, action in (
            ("always_restart", MoveAction.RESTART),
            ("always_resume", MoveAction.RESUME),
        ):
            assert plan(streams, policy=policy) == [("a", action), ("b", action)]


def server(name, zone, machine_class="g1", reclaimable=True) -> BackendServer:
    return BackendServer(name, "s", zone, machine_class, reclaimable, "10.0.0.1:1")


class TestChooseTarget:
    def test_other_zone_and_class_preferred_to_lower_load(self):
        source = server("a", "waco-a")
        same_zone = TargetFacts(server("b", "waco-a", "g2"), requests=0)
        same_class = TargetFacts(server("c", "waco-b"), requests=0)
        apart = TargetFacts(server("d", "waco-b", "g2"), requests=20)
        for targets, best in (
            ([same_zone, same_class, apart], "d"),
            ([same_zone, same_class], "c"),
        ):
            assert choose_target(source, targets).server.instance == best

    def test_on_demand_server_is_safe_in_any_zone(self):
        source = server("a", "waco-a")
        here = TargetFacts(server("b", "waco-a", reclaimable=False), requests=0)
        there = TargetFacts(server("c", "waco-b"), requests=0)
        assert choose_target(source, [here, there]).server.instance == "b"

    def test_imports_are_distributed(self):
        source = server("a", "waco-a")
        busy = TargetFacts(server("b", "waco-b"), importing=2)
        loaded = TargetFacts(server("c", "waco-b"), requests=9)
        assert choose_target(source, [busy, loaded]).server.instance == "c"
