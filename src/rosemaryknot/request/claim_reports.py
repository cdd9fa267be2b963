"""Background exchange of an entry with its agent: claim results, shard map numbers."""

from collections import deque
from typing import Protocol

import trio

from rosemaryknot.connection.links import CallFailed
from rosemaryknot.process.metrics import gauge
from rosemaryknot.values.claims import (
    MAX_STORED_BODY_BYTES,
    ResultRecord,
    ResultStored,
)
from rosemaryknot.values.messages import Message

__all__ = ["AgentClient", "ArrivalNumbers", "ResultReporter"]

CALL_TIMEOUT_S = 3.0
REPORT_TIMEOUT_S = 1.0
REPORT_RETRY_DELAY_S = 1.0
MAX_REPORTS = 20_000
SENDER_TASKS = 32
MAX_WAITING_BYTES = 32 * 1024 * 1024
EMPTY_POLL_INTERVAL_S = 0.02
# A new shard map number applies only to requests that arrive at least this long after
# it was received. When a suspended process resumes, it may receive a new number at the
# same time as requests that were already waiting in its sockets, and the old number
# applies to these. Within this delay it has read all of them.
ADOPTION_DELAY_S = 1.0
MAX_NUMBERS = 64

REPORTS = gauge("at_most_once_reports", "Results that the agent has not taken yet.")


class AgentClient(Protocol):
    """Interface of the entry's link to its agent."""

    async def call(self, message: Message, timeout_s: float) -> Message | CallFailed:
        """Send a message to the agent and wait for the reply."""


class ArrivalNumbers:
    """Recent shard map numbers, each with the time from which it applies."""

    def __init__(self) -> None:
        self.numbers: deque[tuple[float, int]] = deque([(0.0, 0)], MAX_NUMBERS)

    @property
    def newest(self) -> int:
        """The newest number received, even if it does not apply yet."""
        return self.numbers[-1][1]

    def record(self, number: int) -> None:
        """Record a number that the agent sent."""
        if number > self.newest:
            self.numbers.append((trio.current_time() + ADOPTION_DELAY_S, number))

    def at(self, arrived_s: float) -> int:
        """Return the number that applied when a request arrived."""
        for since_s, number in reversed(self.numbers):
            if since_s <= arrived_s:
                return number
        return 0


class ResultReporter:
    """Queue of results to send to the agent, with retries until it has stored them.

    If a result is lost, the id still does not run again, since its claim remains
    granted without a result. The caller's next attempt receives "unknown".

    Parameters
    ----------
    agent : AgentClient
        The entry's link to its agent.
    """

    def __init__(self, agent: AgentClient) -> None:
        self.agent = agent
        self.waiting: deque[ResultRecord] = deque()
        self.waiting_bytes = 0
        self.not_empty = trio.lowlevel.ParkingLot()
        self.sending = 0

    @property
    def is_empty(self) -> bool:
        """Whether the agent has stored every result."""
        return not self.waiting and not self.sending

    async def wait_empty(self, timeout_s: float) -> bool:
        """Wait until the agent has stored every result, in a graceful shutdown.

        Parameters
        ----------
        timeout_s : float
            Maximum wait, in seconds.

        Returns
        -------
        is_empty : bool
            False if results are lost; later attempts with their ids receive "unknown".
        """
        with trio.move_on_after(timeout_s):
            while not self.is_empty:
                await trio.sleep(EMPTY_POLL_INTERVAL_S)
        return self.is_empty

    def add(self, result: ResultRecord) -> None:
        """Queue a result to be sent in the background.

        A body above the size limits is dropped. If the queue is full, the oldest result
        is dropped.
        """
        size = len(result.body)
        if (
            size > MAX_STORED_BODY_BYTES
            or self.waiting_bytes + size > MAX_WAITING_BYTES
        ):
            result.body = b""
            result.is_whole = False
        if len(self.waiting) >= MAX_REPORTS:
            self.pop_oldest()
        self.waiting.append(result)
        self.waiting_bytes += len(result.body)
        REPORTS.set(len(self.waiting))
        self.not_empty.unpark()

    def pop_oldest(self) -> ResultRecord:
        """Remove and return the oldest result."""
        result = self.waiting.popleft()
        self.waiting_bytes -= len(result.body)
        REPORTS.set(len(self.waiting))
        return result

    async def send(self, result: ResultRecord, timeout_s: float) -> bool:
        """Send a result; return False if the agent did not store it."""
        self.sending += 1
        try:
            reply = await self.agent.call(result, timeout_s)
        finally:
            self.sending -= 1
        return isinstance(reply, ResultStored) and reply.stored

    async def send_or_add(self, result: ResultRecord) -> None:
        """Send a result immediately; if this fails, queue it."""
        is_sent = False
        try:
            is_sent = await self.send(result, REPORT_TIMEOUT_S)
        finally:
            if not is_sent:
                self.add(result)

    async def run(self) -> None:
        """Send queued results until cancelled.

        Several tasks send concurrently, so that results for a shard owner that does
        not respond do not delay those for other owners.
        """
        async with trio.open_nursery() as nursery:
            for _ in range(SENDER_TASKS):
                nursery.start_soon(self.run_sender)

    async def run_sender(self) -> None:
        """Send queued results one after the other."""
        while True:
            while not self.waiting:
                await self.not_empty.park()
            result = self.pop_oldest()
            if not await self.send(result, CALL_TIMEOUT_S):
                self.add(result)
                await trio.sleep(REPORT_RETRY_DELAY_S)
