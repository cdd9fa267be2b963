"""Tests of the limit on new connections of an overloaded node."""

import math
from contextlib import suppress

import trio

from rosemaryknot.connection.accept_gate import MIN_IN_PROGRESS, AcceptGate
from rosemaryknot.connection.accept_rules import MAX_DELAY_S
from rosemaryknot.process.loop_delay import WINDOW_SAMPLES, LoopDelay
from rosemaryknot.standin.users.system import Answer, platform_system

LATE_S = 10 * MAX_DELAY_S
SAMPLE_S = 0.05
OK = 200


class Node:
    """A gate whose delay follows the number of connections that it accepts."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.delay = LoopDelay()
        self.gate = AcceptGate(self.delay)
        self.backlog = self.accepted = self.arrived = 0.0

    async def run(self, rate, length_s, pause_s=0.0):
        """Let connections arrive at a rate; samples are late while any are waiting."""
        end_s = trio.current_time() + length_s
        due = 0.0
        while trio.current_time() < end_s:
            await trio.sleep(SAMPLE_S)
            due += rate * SAMPLE_S
            while due >= 1.0:
                due -= 1.0
                self.arrived += 1
                if self.gate.may_accept():
                    self.backlog += 1.0
                    self.accepted += 1
                    self.gate.starting -= 1
                    self.gate.in_progress += self.gate.is_limited
            self.backlog = max(0.0, self.backlog - self.capacity * SAMPLE_S)
            # Those that are not served yet, of the connections under a limit.
            self.gate.in_progress = min(self.gate.in_progress, int(self.backlog))
            self.delay.samples.append(self.backlog / self.capacity + pause_s)
            self.delay.on_sample()


class TestAcceptGate:
    async def test_no_limit_without_delay(self, autojump_clock):
        node = Node(capacity=60.0)
        await node.run(50.0, 10.0)
        assert node.accepted == node.arrived
        assert not node.gate.is_limited

    async def test_accepts_what_the_node_can_do(self, autojump_clock):
        """Most connections go to one node: it closes what it cannot serve."""
        node = Node(capacity=60.0)
        await node.run(200.0, 3.0)
        node.accepted = node.arrived = 0.0
        await node.run(200.0, 10.0)
        assert 0.8 * 600 <= node.accepted <= 1.2 * 600
        assert node.backlog / node.capacity < 1.0

    async def test_recovers_with_the_load(self, autojump_clock):
        node = Node(capacity=60.0)
        await node.run(200.0, 10.0)
        assert node.gate.is_limited
        await node.run(30.0, 1.0)
        node.accepted = node.arrived = 0.0
        await node.run(30.0, 4.0)
        assert node.accepted == node.arrived
        assert not node.gate.is_limited

    async def test_one_pause_is_no_overload(self, autojump_clock):
        """A process pauses for the rest of a period, or is suspended for seconds."""
        gate = AcceptGate(LoopDelay())
        for number in range(10 * WINDOW_SAMPLES):
            await trio.sleep(SAMPLE_S)
            gate.delay.samples.append(LATE_S if number % 2 else 0.0)
            gate.delay.on_sample()
            assert gate.may_accept() and math.isinf(gate.rate)

    async def test_idle_node_accepts_although_it_is_late(self, autojump_clock):
        """A busy machine delays all nodes: none of them sends each caller on."""
        node = Node(capacity=1000.0)
        await node.run(20.0, 10.0, pause_s=LATE_S)
        assert node.gate.is_limited
        assert node.accepted == node.arrived

    async def test_room_counts_what_is_not_handled_yet(self, autojump_clock):
        """Many connections are accepted in one pass, before any is handled."""
        gate = AcceptGate(LoopDelay())
        gate.rate, gate.filled_s = 0.0, trio.current_time()
        accepted = [gate.may_accept() for _ in range(20)]
        assert accepted.count(True) == MIN_IN_PROGRESS


class TestListener:
    async def test_connection_is_closed_unread(self, autojump_clock):
        """The caller sees its connection closed and nothing reaches a server."""
        async with platform_system(nodes=1) as fleet:
            gate = fleet.nodes["n0"].listener.gate
            gate.rate, gate.filled_s = 0.0, trio.current_time()
            gate.starting = MIN_IN_PROGRESS
            # The connection is closed before or after the request is sent.
            answer = Answer()
            with suppress(trio.BrokenResourceError):
                answer = await fleet.ask("/stock/x", method="GET", request_id="closed")
            assert answer.status == 0
            assert not fleet.ledger.arrivals
            gate.starting = 0
            answer = await fleet.ask("/stock/x", method="GET", request_id="served")
            assert answer.status == OK
            assert answer.headers["connection"] == "close"

    async def test_response_keeps_the_connection_otherwise(self, autojump_clock):
        async with platform_system(nodes=1) as fleet:
            answer = await fleet.ask("/stock/x", method="GET")
            assert answer.status == OK
            assert "connection" not in answer.headers
