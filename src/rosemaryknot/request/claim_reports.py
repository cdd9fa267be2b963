"""What an entry tells its agent about claims, and learns from it, in the background."""

from collections import deque
from typing import Protocol

import trio

from rosemaryknot.connection.links import CallFailed
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.claims import (
    MAX_KEPT_BODY_BYTES,
    ResultRecord,
    ResultStored,
)
from rosemaryknot.values.messages import Message

__all__ = ["AgentCaller", "ArrivalNumbers", "Reports"]

CALL_TIMEOUT_S = 3.0
REPORT_WAIT_S = 1.0
REPORT_RETRY_S = 1.0
MAX_REPORTS = 20_000
SENDERS = 32
MAX_BYTES = 32 * 1024 * 1024
EMPTY_POLL_S = 0.02
# A new map number counts for requests that arrive this long after it was learned. A
# process that was paused learns the number and reads old requests from its sockets
# at the same moment; by then it has read them.
ADOPTION_DELAY_S = 1.0
MAX_NUMBERS = 64

REPORTS = gauge("at_most_once_reports", "Results that the agent has not taken yet.")


class AgentCaller(Protocol):
    """The entry's link to its agent."""

    async def call(self, message: Message, timeout_s: float) -> Message | CallFailed:
        """Send a message to the agent and wait for its answer."""


class ArrivalNumbers:
    """Map numbers by the time from which they count."""

    def __init__(self) -> None:
        self.numbers: deque[tuple[float, int]] = deque([(0.0, 0)], MAX_NUMBERS)

    @property
    def newest(self) -> int:
        """The newest number, whether it counts yet or not."""
        return self.numbers[-1][1]

    def learn(self, number: int) -> None:
        """Take in a number that the agent told."""
        if number > self.newest:
            self.numbers.append((trio.current_time() + ADOPTION_DELAY_S, number))

    def at(self, arrived_s: float) -> int:
        """Return the number that counted when a request arrived."""
        for since_s, number in reversed(self.numbers):
            if since_s <= arrived_s:
                return number
        return 0


class Reports:
    """Results that wait until the agent has taken them.

    Losing one is safe: an open grant keeps the id from running again. It costs the
    caller's next attempt, which is then told "unknown".

    Parameters
    ----------
    agent : AgentCaller
        The entry's link to its agent.
    """

    def __init__(self, agent: AgentCaller) -> None:
        self.agent = agent
        self.waiting: deque[ResultRecord] = deque()
        self.waiting_bytes = 0
        self.idle = trio.lowlevel.ParkingLot()
        self.sending = 0

    @property
    def is_empty(self) -> bool:
        """Whether the agent has taken every result."""
        return not self.waiting and not self.sending

    async def wait_empty(self, timeout_s: float) -> bool:
        """Wait until the agent has taken every result, before a planned stop.

        Parameters
        ----------
        timeout_s : float
            Bound on the wait, in seconds.

        Returns
        -------
        is_empty : bool
            False where results are lost; their ids will answer "unknown".
        """
        with trio.move_on_after(timeout_s):
            while not self.is_empty:
                await trio.sleep(EMPTY_POLL_S)
        return self.is_empty

    def add(self, result: ResultRecord) -> None:
        """Let a result be sent in the background."""
        size = len(result.body)
        if size > MAX_KEPT_BODY_BYTES or self.waiting_bytes + size > MAX_BYTES:
            result.body = b""
            result.is_whole = False
        if len(self.waiting) >= MAX_REPORTS:
            self.take()
        self.waiting.append(result)
        self.waiting_bytes += len(result.body)
        REPORTS.set(len(self.waiting))
        self.idle.unpark()

    def take(self) -> ResultRecord:
        """Take the oldest result out."""
        result = self.waiting.popleft()
        self.waiting_bytes -= len(result.body)
        REPORTS.set(len(self.waiting))
        return result

    async def send(self, result: ResultRecord, timeout_s: float) -> bool:
        """Send a result; False where the agent did not take it."""
        self.sending += 1
        try:
            reply = await self.agent.call(result, timeout_s)
        finally:
            self.sending -= 1
        return isinstance(reply, ResultStored) and reply.stored

    async def send_or_add(self, result: ResultRecord) -> None:
        """Send a result now, or else in the background."""
        is_sent = False
        try:
            is_sent = await self.send(result, REPORT_WAIT_S)
        finally:
            if not is_sent:
                self.add(result)

    async def run(self) -> None:
        """Send what waits until cancelled.

        Several at once: results for an owner that does not answer must not hold up
        those for the others.
        """
        async with trio.open_nursery() as nursery:
            for _ in range(SENDERS):
                nursery.start_soon(self.run_sender)

    async def run_sender(self) -> None:
        """Send one result after the other."""
        while True:
            while not self.waiting:
                await self.idle.park()
            result = self.take()
            if not await self.send(result, CALL_TIMEOUT_S):
                self.add(result)
                await trio.sleep(REPORT_RETRY_S)
