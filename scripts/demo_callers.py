"""Callers of the demo: they send requests as the users' programs do."""

import json
import random
from collections.abc import Iterator
from typing import Any

import httpx
import trio
from demo_requests import Request

from rosemaryknot.values.nodes import Address

__all__ = ["READ_TIMEOUT_S", "Balancer", "Caller"]

REQUEST_HEADER = "Rosemaryknot-Request"
GIVE_UP_S = 90.0
READ_TIMEOUT_S = 20.0
MAX_ATTEMPTS = 4
MAX_WAIT_S = 2.0
REPEAT_SHARE = 0.25
REPEAT_AFTER_S = 0.05


class Balancer:
    """Entries that say they are ready, in turn, as the platform's balancer does.

    Parameters
    ----------
    entries : list of Address
        All entries.
    """

    def __init__(self, entries: list[Address]) -> None:
        self.ready = list(entries)
        self.entries = list(entries)
        self.turn = 0

    def next(self) -> Address:
        """Return the next entry."""
        self.turn += 1
        ready = self.ready or self.entries
        return ready[self.turn % len(ready)]

    async def watch(self, client: httpx.AsyncClient) -> None:
        """Ask all entries each half second whether they are ready."""
        while True:
            ready = []
            for entry in self.entries:
                try:
                    response = await client.get(f"http://{entry}/readyz", timeout=1.0)
                except httpx.TransportError:
                    continue
                if response.status_code == httpx.codes.OK:
                    ready.append(entry)
            self.ready = ready
            await trio.sleep(0.5)


class Caller:
    """Sends requests as the users' programs do.

    Parameters
    ----------
    client : httpx.AsyncClient
        For all calls.
    balancer : Balancer
        Says which entry to ask.
    keys : dict of str to str
        API keys by customer.
    """

    def __init__(
        self, client: httpx.AsyncClient, balancer: Balancer, keys: dict[str, str]
    ) -> None:
        self.client = client
        self.balancer = balancer
        self.keys = keys

    async def run(self, request: Request, start_s: float) -> None:
        """Send one request when its time has come and see it through."""
        await trio.sleep_until(start_s + request.send_at_s)
        begin_s = trio.current_time()
        forms = {"get": self.get, "once": self.run_once}
        with trio.move_on_after(GIVE_UP_S) as scope:
            await forms.get(request.kind.form, self.complete)(request)
        if scope.cancelled_caught:
            request.finish("lost", f"nothing final in {GIVE_UP_S:.0f} s")
        request.took_s = trio.current_time() - begin_s

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers of all calls of a request."""
        return {"Authorization": f"Bearer {self.keys[request.kind.customer]}"}

    # Plain services

    async def get(self, request: Request) -> None:
        """Send a call that may be repeated."""
        kind = request.kind
        path = f"/services/{kind.service}{kind.path}/item-{request.number}"
        for _ in range(MAX_ATTEMPTS):
            url = f"http://{self.balancer.next()}{path}"
            try:
                response = await self.client.get(url, headers=self.headers(request))
            except httpx.TransportError as error:
                request.finish("unknown", type(error).__name__)
                continue
            self.take_plain(request, response)
            if request.outcome == "answered":
                expected = f"{kind.path}/item-{request.number}"
                request.crossed |= response.json()["path"] != expected
                return
            await self.wait_retry(response)

    async def run_once(self, request: Request) -> None:
        """Send a call that must not run twice; some are sent twice all the same."""
        async with trio.open_nursery() as nursery:
            if random.Random(request.number).random() < REPEAT_SHARE:
                nursery.start_soon(self.repeat, request)
            await self.send_attempts(request)
            nursery.cancel_scope.cancel()

    async def repeat(self, request: Request) -> None:
        """Send a call again elsewhere, as an impatient program does."""
        await trio.sleep(REPEAT_AFTER_S)
        with trio.move_on_after(READ_TIMEOUT_S):
            try:
                await self.post_plain(request, 0)
            except httpx.TransportError:
                return

    async def send_attempts(self, request: Request) -> None:
        """Repeat what was refused with "not run", under a new attempt number."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                response = await self.post_plain(request, attempt)
            except httpx.TransportError as error:
                request.finish("unknown", type(error).__name__)
                continue
            self.take_plain(request, response)
            if request.outcome == "answered":
                request.crossed |= response.json()["key"] != request.key
                return
            if response.status_code == httpx.codes.GATEWAY_TIMEOUT:
                return
            await self.wait_retry(response)

    async def post_plain(self, request: Request, attempt: int) -> httpx.Response:
        """Send one attempt; attempt 0 says nothing of its number."""
        kind = request.kind
        url = f"http://{self.balancer.next()}/services/{kind.service}{kind.path}"
        headers = self.headers(request) | {"Idempotency-Key": request.key}
        if attempt:
            headers["Rosemaryknot-Attempt"] = str(attempt)
        body = {"request": request.number}
        return await self.client.post(url, json=body, headers=headers)

    def take_plain(self, request: Request, response: httpx.Response) -> None:
        """Note the outcome of an attempt."""
        if response.status_code == httpx.codes.OK:
            request.finish("answered")
            return
        body = json_of(response)
        outcome = body.get("outcome")
        if outcome == "running" or response.status_code == httpx.codes.CONFLICT:
            outcome = "unknown"
        request.finish(outcome or "unknown", body.get("reason", "no reason given"))

    async def wait_retry(self, response: httpx.Response) -> None:
        """Wait as long as the refusal asks, within reason."""
        try:
            wait_s = float(response.headers.get("Retry-After", "0.2"))
        except ValueError:
            wait_s = MAX_WAIT_S
        await trio.sleep(min(wait_s, MAX_WAIT_S))

    # Model engines

    async def complete(self, request: Request) -> None:
        """Send a model call until it is accepted, then read its answer."""
        for _ in range(MAX_ATTEMPTS):
            entry = self.balancer.next()
            try:
                if await self.send_completion(request, entry):
                    await self.pick_up(request, entry)
                    return
            except httpx.TransportError as error:
                if request.id:
                    await self.pick_up(request, entry)
                    return
                request.finish("unknown", type(error).__name__)

    async def send_completion(self, request: Request, entry: Address) -> bool:
        """Send a model call; tells whether it was accepted."""
        kind = request.kind
        headers = self.headers(request)
        if kind.form == "accepted":
            headers["Prefer"] = "respond-async"
        body = {
            "model": kind.service,
            "messages": request.messages,
            "max_tokens": kind.max_tokens,
            "stream": True,
        }
        url = f"http://{entry}/v1/chat/completions"
        async with self.client.stream(
            "POST", url, json=body, headers=headers
        ) as response:
            if response.status_code == httpx.codes.ACCEPTED:
                request.id = response.headers[REQUEST_HEADER]
                return True
            if response.status_code != httpx.codes.OK:
                await response.aread()
                self.take_plain(request, response)
                await self.wait_retry(response)
                return False
            request.id = response.headers[REQUEST_HEADER]
            await self.read_stream(request, response)
        return True

    async def pick_up(self, request: Request, accepted_by: Address) -> None:
        """Read the rest of an accepted answer, preferably at another entry."""
        others = [e for e in self.balancer.entries if e != accepted_by]
        random.Random(request.number).shuffle(others)
        while request.outcome == "lost" and not request.reason:
            for entry in [*others[:1], accepted_by, *others[1:]]:
                if await self.pick_up_at(request, entry):
                    return
            await trio.sleep(0.2)

    async def pick_up_at(self, request: Request, entry: Address) -> bool:
        """Ask one entry for the rest; tells whether the outcome is known."""
        parameters = {"offset": len(request.tokens), "lineage": request.lineage}
        url = f"http://{entry}/v1/requests/{request.id}"
        try:
            async with self.client.stream(
                "GET", url, params=parameters, headers=self.headers(request)
            ) as response:
                if response.status_code != httpx.codes.OK:
                    return False
                request.picked_up += 1
                return await self.read_stream(request, response)
        except httpx.TransportError:
            return False

    async def read_stream(self, request: Request, response: httpx.Response) -> bool:
        """Read events to the last; tells whether the outcome came."""
        if response.headers.get(REQUEST_HEADER) != request.id:
            request.crossed = True
        async for line in response.aiter_lines():
            for event in events_of(line):
                if request.take(event):
                    return True
        return False


def events_of(line: str) -> Iterator[dict[str, Any]]:
    """Yield the event of a line, if there is one."""
    if line.startswith("data: {"):
        yield json.loads(line.removeprefix("data: "))


def json_of(response: httpx.Response) -> dict[str, Any]:
    """Return the JSON object of a response, empty where it has none."""
    try:
        body = response.json()
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}
