"""Simulated callers, which time out, retry at other entries and record responses."""

import json
import random
from dataclasses import dataclass

import httpx
import trio

from rosemaryknot.replay.caller_records import BookingRecord, ModelRecord, Reply

__all__ = ["BookingPlan", "Caller"]

IDLE_TIMEOUT_S = 12.0
PICKUP_GAP_S = 1.0


@dataclass(slots=True)
class BookingPlan:
    """Retry plan of a caller for one booking.

    Attributes
    ----------
    declares : bool
        Whether it declares attempt numbers.
    sends : int
        Maximum number of sends.
    timeout_s : float
        Timeout of each send.
    overlap_s : float
        Interval after which it sends again without waiting for the reply; 0 to wait
        for each reply.
    """

    declares: bool
    sends: int
    timeout_s: float
    overlap_s: float = 0.0


def parse_outcome(response: httpx.Response) -> tuple[str, str]:
    """Return the outcome and the reason of a response.

    A response without an outcome is the response of the service, which the entry
    passed through.
    """
    try:
        body = response.json()
    except ValueError:
        body = None
    if isinstance(body, dict) and "outcome" in body and response.status_code != 200:
        return body["outcome"], body.get("reason", "")
    return "answered", str(response.status_code)


class Caller:
    """Simulated program of a customer.

    Parameters
    ----------
    client : httpx.AsyncClient
        HTTP client.
    api_key : str
        API key of the customer.
    entries : list of str
        Addresses of the entries among which the load balancer chooses.
    rng : random.Random
        Random number generator for the choice of entries and for retries.
    first_entries : list of str, optional
        Addresses among which the entry of the first send is chosen; by default all.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        api_key: str,
        entries: list[str],
        rng: random.Random,
        first_entries: list[str] | None = None,
    ) -> None:
        self.client = client
        self.headers = {"Authorization": f"Bearer {api_key}"}
        self.entries = entries
        self.rng = rng
        self.first_entries = first_entries or []

    def next_entry(self) -> str:
        """Return the entry for the next send, as a load balancer chooses it."""
        first_entries, self.first_entries = self.first_entries, []
        return self.rng.choice(first_entries or self.entries)

    # Bookings

    async def book(self, record: BookingRecord, plan: BookingPlan) -> None:
        """Send a booking until it is answered or the planned sends are exhausted."""
        async with trio.open_nursery() as nursery:
            for send in range(1, plan.sends + 1):
                if plan.overlap_s:
                    nursery.start_soon(self.send_booking, record, plan, send)
                    await trio.sleep(plan.overlap_s)
                    continue
                reply = await self.send_booking(record, plan, send)
                if reply.outcome == "answered":
                    return
                if reply.outcome == "not_run" and self.rng.random() < 0.5:
                    return
                await trio.sleep(self.rng.uniform(0.05, 1.0))

    async def send_booking(
        self, record: BookingRecord, plan: BookingPlan, send: int
    ) -> Reply:
        """Send a booking once and record the reply."""
        entry = self.next_entry()
        attempt = send if plan.declares else 0
        headers = self.headers | {"Idempotency-Key": record.key, "Test-Send": str(send)}
        if attempt:
            headers["Rosemaryknot-Attempt"] = str(attempt)
        reply = Reply(send, attempt, trio.current_time(), "none", entry=entry)
        try:
            with trio.fail_after(plan.timeout_s):
                response = await self.client.post(
                    f"http://{entry}/services/{record.service}/bookings",
                    headers=headers,
                    json={"slot": record.key},
                )
            reply.outcome, reply.reason = parse_outcome(response)
            reply.body = response.text
        except (httpx.HTTPError, trio.TooSlowError) as error:
            reply.reason = type(error).__name__
        record.replies.append(reply)
        return reply

    # Model requests

    async def ask(self, record: ModelRecord, service: str, timeout_s: float) -> None:
        """Send a model request, and resume at another entry if its stream breaks."""
        with trio.move_on_after(timeout_s):
            while not record.id and record.outcome == "none":
                await self.send_and_read_stream(record, service)
            while record.outcome == "none":
                await trio.sleep(PICKUP_GAP_S)
                await self.pick_up(record)
        record.ended_s = trio.current_time()

    async def send_and_read_stream(self, record: ModelRecord, service: str) -> None:
        """Send the request and read its stream until it ends or breaks."""
        entry = self.next_entry()
        body = {
            "model": service,
            "messages": [{"role": "user", "content": record.prompt}],
            "max_tokens": record.max_tokens,
            "stream": True,
        }
        url = f"http://{entry}/v1/chat/completions"
        try:
            async with self.client.stream(
                "POST", url, headers=self.headers, json=body, timeout=IDLE_TIMEOUT_S
            ) as response:
                record.entry = entry
                await self.read_stream(record, response)
        except (httpx.HTTPError, trio.TooSlowError):
            await trio.sleep(PICKUP_GAP_S)

    async def pick_up(self, record: ModelRecord) -> None:
        """Request the rest of an accepted request's stream from any entry."""
        record.pickups += 1
        entry = self.next_entry()
        url = f"http://{entry}/v1/requests/{record.id}?offset={len(record.tokens)}"
        try:
            async with self.client.stream(
                "GET", url, headers=self.headers, timeout=IDLE_TIMEOUT_S
            ) as response:
                if response.status_code == 200:
                    await self.read_stream(record, response)
        except (httpx.HTTPError, trio.TooSlowError):
            return

    async def read_stream(self, record: ModelRecord, response: httpx.Response) -> None:
        """Record the stream of a response, or the outcome of a refusal."""
        if response.status_code != 200:
            await response.aread()
            record.outcome, record.reason = parse_outcome(response)
            return
        record.id = response.headers.get("Rosemaryknot-Request", record.id)
        record.accepted_s = record.accepted_s or trio.current_time()
        async for line in response.aiter_lines():
            if line.startswith("data: {"):
                self.record_event(record, json.loads(line[6:]))

    def record_event(self, record: ModelRecord, event: dict) -> None:
        """Record one event of a stream."""
        if event.get("outcome") == "running":
            # The entry is draining; another entry continues the request, and the caller
            # resumes the stream there.
            return
        if "outcome" in event:
            record.outcome = event["outcome"]
            record.reason = event.get("reason", "")
            record.stated_tokens = event.get("tokens", 0)
        elif "choices" in event:
            self.record_token(record, event)

    def record_token(self, record: ModelRecord, event: dict) -> None:
        """Record one token; a change of lineage discards the tokens received so far."""
        if event["lineage"] != record.lineage:
            record.lineage = event["lineage"]
            record.tokens.clear()
        record.first_token_s = record.first_token_s or trio.current_time()
        if event["offset"] == len(record.tokens):
            record.tokens.append(event["choices"][0]["delta"]["content"])
        elif event["offset"] > len(record.tokens):
            record.reason = f"gap before token {event['offset']}"
