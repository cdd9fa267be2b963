"""Callers of a run: they give up, ask again elsewhere, and note what they are told."""

import json
import random
from dataclasses import dataclass

import httpx
import trio

from rosemaryknot.replay.notes import BookingNote, ModelNote, Reply

__all__ = ["BookingPlan", "Caller"]

IDLE_TIMEOUT_S = 12.0
PICKUP_GAP_S = 1.0


@dataclass(slots=True)
class BookingPlan:
    """How a caller behaves with one booking.

    Attributes
    ----------
    declares : bool
        Whether it declares attempt numbers.
    sends : int
        How often it sends at most.
    timeout_s : float
        After how long it gives a send up.
    overlap_s : float
        After how long it sends again without waiting; 0 to wait for each reply.
    """

    declares: bool
    sends: int
    timeout_s: float
    overlap_s: float = 0.0


def outcome_of(response: httpx.Response) -> tuple[str, str]:
    """Return the outcome and the reason of a response.

    A response without an outcome is the service's own answer, passed through.
    """
    try:
        body = response.json()
    except ValueError:
        body = None
    if isinstance(body, dict) and "outcome" in body and response.status_code != 200:
        return body["outcome"], body.get("reason", "")
    return "answered", str(response.status_code)


class Caller:
    """One customer's program.

    Parameters
    ----------
    client : httpx.AsyncClient
        Its connections.
    api_key : str
        Its key.
    entries : list of str
        Addresses of the entries, as the balancer would hand them out.
    rng : random.Random
        For the choice of entries.
    near : list of str, optional
        Addresses that its first send goes to; by default all.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        api_key: str,
        entries: list[str],
        rng: random.Random,
        near: list[str] | None = None,
    ) -> None:
        self.client = client
        self.headers = {"Authorization": f"Bearer {api_key}"}
        self.entries = entries
        self.rng = rng
        self.near = near or []

    def next_entry(self) -> str:
        """Return the entry for the next send, as the balancer would choose it."""
        near, self.near = self.near, []
        return self.rng.choice(near or self.entries)

    # Bookings

    async def book(self, note: BookingNote, plan: BookingPlan) -> None:
        """Send a booking until it is answered, or the plan's sends are used up."""
        async with trio.open_nursery() as nursery:
            for send in range(1, plan.sends + 1):
                if plan.overlap_s:
                    nursery.start_soon(self.send_booking, note, plan, send)
                    await trio.sleep(plan.overlap_s)
                    continue
                reply = await self.send_booking(note, plan, send)
                if reply.outcome == "answered":
                    return
                if reply.outcome == "not_run" and self.rng.random() < 0.5:
                    return
                await trio.sleep(self.rng.uniform(0.05, 1.0))

    async def send_booking(
        self, note: BookingNote, plan: BookingPlan, send: int
    ) -> Reply:
        """Send a booking once and note the reply."""
        entry = self.next_entry()
        attempt = send if plan.declares else 0
        headers = self.headers | {"Idempotency-Key": note.key, "Test-Send": str(send)}
        if attempt:
            headers["Rosemaryknot-Attempt"] = str(attempt)
        reply = Reply(send, attempt, trio.current_time(), "none", entry=entry)
        try:
            with trio.fail_after(plan.timeout_s):
                response = await self.client.post(
                    f"http://{entry}/services/{note.service}/bookings",
                    headers=headers,
                    json={"slot": note.key},
                )
            reply.outcome, reply.reason = outcome_of(response)
            reply.body = response.text
        except (httpx.HTTPError, trio.TooSlowError) as error:
            reply.reason = type(error).__name__
        note.replies.append(reply)
        return reply

    # Model requests

    async def ask(self, note: ModelNote, service: str, patience_s: float) -> None:
        """Ask a model, and pick the answer up elsewhere when the stream breaks."""
        with trio.move_on_after(patience_s):
            while not note.id and note.outcome == "none":
                await self.first_stream(note, service)
            while note.outcome == "none":
                await trio.sleep(PICKUP_GAP_S)
                await self.pick_up(note)
        note.ended_s = trio.current_time()

    async def first_stream(self, note: ModelNote, service: str) -> None:
        """Send the request and read its stream as far as it goes."""
        entry = self.next_entry()
        body = {
            "model": service,
            "messages": [{"role": "user", "content": note.prompt}],
            "max_tokens": note.max_tokens,
            "stream": True,
        }
        url = f"http://{entry}/v1/chat/completions"
        try:
            async with self.client.stream(
                "POST", url, headers=self.headers, json=body, timeout=IDLE_TIMEOUT_S
            ) as response:
                note.entry = entry
                await self.read_stream(note, response)
        except (httpx.HTTPError, trio.TooSlowError):
            await trio.sleep(PICKUP_GAP_S)

    async def pick_up(self, note: ModelNote) -> None:
        """Ask any entry for the rest of an accepted request."""
        note.pickups += 1
        entry = self.next_entry()
        url = f"http://{entry}/v1/requests/{note.id}?offset={len(note.tokens)}"
        try:
            async with self.client.stream(
                "GET", url, headers=self.headers, timeout=IDLE_TIMEOUT_S
            ) as response:
                if response.status_code == 200:
                    await self.read_stream(note, response)
        except (httpx.HTTPError, trio.TooSlowError):
            return

    async def read_stream(self, note: ModelNote, response: httpx.Response) -> None:
        """Read a response; a refusal has no stream."""
        if response.status_code != 200:
            await response.aread()
            note.outcome, note.reason = outcome_of(response)
            return
        note.id = response.headers.get("Rosemaryknot-Request", note.id)
        note.accepted_s = note.accepted_s or trio.current_time()
        async for line in response.aiter_lines():
            if line.startswith("data: {"):
                self.take_event(note, json.loads(line[6:]))

    def take_event(self, note: ModelNote, event: dict) -> None:
        """Note one event of a stream."""
        if event.get("outcome") == "running":
            # The entry leaves: another one goes on with it, where we pick it up.
            return
        if "outcome" in event:
            note.outcome = event["outcome"]
            note.reason = event.get("reason", "")
            note.stated_tokens = event.get("tokens", 0)
        elif "choices" in event:
            self.take_token(note, event)

    def take_token(self, note: ModelNote, event: dict) -> None:
        """Note one token; text of another lineage starts the answer anew."""
        if event["lineage"] != note.lineage:
            note.lineage = event["lineage"]
            note.tokens.clear()
        note.first_token_s = note.first_token_s or trio.current_time()
        if event["offset"] == len(note.tokens):
            note.tokens.append(event["choices"][0]["delta"]["content"])
        elif event["offset"] > len(note.tokens):
            note.reason = f"gap before token {event['offset']}"
