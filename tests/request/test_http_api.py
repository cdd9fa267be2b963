"""Tests of the callers' HTTP interface, in virtual time with stand-in servers."""

import json

import pytest
import trio
from tests.process.entry_fleet import (
    API_KEY,
    OTHER_API_KEY,
    booking,
    chat,
    start_fleet,
)
from tests.request.relay_fleet import events_of

from rosemaryknot.values.nodes import Address

HEAD = f"Host: x\r\nAuthorization: Bearer {API_KEY}\r\n"
BOOK = "/services/dispatch-app/slots/7"
CHAT = "/v1/chat/completions"

BAD_INPUTS = [
    ("POST", BOOK, {}, b"", 400, "bad_request"),
    ("POST", BOOK, {"Rosemaryknot-Attempt": "abc"}, b"", 400, "bad_request"),
    ("POST", BOOK, {"Idempotency-Key": "k" * 201}, b"", 400, "bad_request"),
    ("POST", BOOK, {"Rosemaryknot-Deadline": "nan"}, b"", 400, "bad_request"),
    ("POST", BOOK, {"Authorization": "Bearer a.b"}, b"", 401, "unauthenticated"),
    ("POST", BOOK, {"Authorization": "Basic x"}, b"", 401, "unauthenticated"),
    ("POST", "/services/none/x", {}, b"", 404, "unknown_service"),
    ("POST", "/services/kit-assistant/x", {}, b"", 404, "unknown_service"),
    ("GET", "/services/dispatch-app/stock/../x", {}, b"", 400, "bad_request"),
    ("POST", CHAT, {}, b"{a}", 400, "bad_request"),
    ("POST", CHAT, {}, b"[" * 100_000, 400, "bad_request"),
    ("POST", CHAT, {}, json.dumps({**chat(), "model": 1}).encode(), 400, "bad_request"),
    ("POST", CHAT, {}, json.dumps(chat(max_tokens=0)).encode(), 400, "bad_request"),
    ("POST", CHAT, {}, json.dumps(chat(max_tokens=True)).encode(), 400, "bad_request"),
    ("POST", CHAT, {}, json.dumps(chat(stream=1)).encode(), 400, "bad_request"),
    (
        "POST",
        CHAT,
        {},
        json.dumps({**chat(), "messages": []}).encode(),
        400,
        "bad_request",
    ),
    (
        "POST",
        CHAT,
        {},
        json.dumps({**chat(), "model": "dispatch-app"}).encode(),
        404,
        "unknown_service",
    ),
    ("POST", CHAT, {}, b"x" * 200_001, 413, "body_too_large"),
    ("GET", "/v1/requests/r0", {}, b"", 404, "unknown_request"),
    ("GET", "/v1/requests/r0?offset=-1", {}, b"", 400, "bad_request"),
    ("GET", "/nowhere", {}, b"", 404, "bad_request"),
    ("DELETE", CHAT, {}, b"", 405, "bad_request"),
]


async def raw_call(fleet, head, chunks=(), pause_s=0.01, bound_s=60.0):
    """Send raw bytes; return the received data and the duration."""
    stream = await fleet.network.dial(Address("10.0.3.1", 8100))
    received = bytearray()
    started_s = trio.current_time()

    async def send():
        try:
            for chunk in (head.encode(), *chunks):
                await stream.send_all(chunk)
                await trio.sleep(pause_s)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    with trio.move_on_after(bound_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                while data := await stream.receive_some(65536):
                    received += data
            except trio.BrokenResourceError:
                pass
            nursery.cancel_scope.cancel()
    await stream.aclose()
    return bytes(received), trio.current_time() - started_s


class TestBadInput:
    async def test_invalid_input_status_and_reason(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery, max_body_bytes=200_000)
        async with fleet.caller() as caller:
            for method, path, headers, body, status, reason in BAD_INPUTS:
                response = await caller.request(
                    method, path, headers=headers, content=body
                )
                case = (method, path, headers, body[:80])
                assert response.status_code == status, case
                assert response.json()["reason"] == reason, case
                assert response.json()["detail"], case
                assert response.headers["Rosemaryknot-Request"], case
        assert fleet.runs() == {}
        assert fleet.entries[0].admission.in_flight == 0

    async def test_malformed_repeat_gets_unknown(self, nursery, autojump_clock):
        """A malformed repeat of a request that ran must not get "not run".

        "Not run" would refer to the booking, which did run, so the repeat gets
        "unknown" with status 400 or 401. A well-formed repeat still gets the response.
        """
        fleet = await start_fleet(nursery)
        async with fleet.caller() as caller:
            first = await caller.post(BOOK, headers=booking("b1", 1))
            assert first.status_code == 200
            for bad in ({"Rosemaryknot-Attempt": "x"}, {"Authorization": "Bearer a.b"}):
                response = await caller.post(BOOK, headers={**booking("b1"), **bad})
                assert response.status_code in (400, 401)
                assert response.json()["outcome"] == "unknown"
            repeat = await caller.post(BOOK, headers=booking("b1", 2))
            assert repeat.json() == first.json()
        assert fleet.runs() == {"b1": 1}

    @pytest.mark.parametrize(
        ("framing", "chunk", "status"),
        [
            ("Content-Length: 500", b"x", 408),
            ("Transfer-Encoding: chunked", b"1\r\nx\r\n", 408),
            ("Content-Length: 99999", b"x" * 200, 413),
            ("Transfer-Encoding: chunked", b"c8\r\n" + b"x" * 200 + b"\r\n", 413),
        ],
    )
    async def test_body_that_never_ends(
        self, nursery, autojump_clock, framing, chunk, status
    ):
        """A caller that sends a body slowly or too large is disconnected.

        It gets an error response within the timeout, and the connection is closed soon
        after even if the caller keeps sending. Without the close, the connection and
        its task stayed as long as the caller kept sending.
        """
        fleet = await start_fleet(nursery, max_body_bytes=1000, body_timeout_s=2.0)
        head = f"POST {BOOK} HTTP/1.1\r\n{HEAD}Idempotency-Key: b\r\n{framing}\r\n\r\n"
        response, took_s = await raw_call(fleet, head, [chunk] * 10_000, pause_s=0.05)
        assert response.startswith(b"HTTP/1.1 %d" % status)
        assert took_s < 4.0
        assert fleet.entries[0].drain.in_flight == 0
        assert fleet.entries[0].admission.in_flight == 0


class TestInternalErrors:
    async def test_internal_error(self, nursery, autojump_clock):
        """An unexpected exception that contains the caller's text.

        The caller gets "unknown", since the request may have run. Other callers are
        still served, and the slot is released.
        """
        fleet = await start_fleet(nursery)
        entry = fleet.entries[0]
        send_once = entry.plain.send_once

        async def fail(request):
            await send_once(request)
            raise ValueError(request.body)

        entry.plain.send_once = fail
        async with fleet.caller() as caller:
            response = await caller.post(BOOK, headers=booking("b1", 1), content=b"x")
            assert response.status_code == 504
            assert response.json()["outcome"] == "unknown"
            entry.plain.send_once = send_once
            repeat = await caller.post(BOOK, headers=booking("b1", 2), content=b"x")
            assert repeat.json()["outcome"] == "unknown"
            assert (await caller.post(BOOK, headers=booking("b2", 1))).is_success
        assert fleet.runs() == {"b1": 1, "b2": 1}
        assert entry.admission.in_flight == 0


class TestModelRequests:
    async def test_complete_response(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        async with fleet.caller() as caller:
            response = await caller.post(CHAT, json=chat(stream=False))
            document = response.json()
            stream = await caller.post(CHAT, json=chat())
        assert document["id"] == response.headers["Rosemaryknot-Request"]
        assert (
            document["usage"]["completion_tokens"] == len(events_of(stream.content)) - 2
        )
        assert (
            len(document["choices"][0]["message"]["content"].split())
            == document["tokens"]
        )

    async def test_caller_disconnects_and_resumes(self, nursery, autojump_clock):
        """A caller whose connection breaks can resume an accepted request.

        The request continues, and the caller gets the rest from its offset, in the same
        lineage.
        """
        fleet = await start_fleet(nursery)
        async with fleet.caller() as caller:
            async with caller.stream("POST", CHAT, json=chat(400)) as response:
                request_id = response.headers["Rosemaryknot-Request"]
                chunks = response.aiter_raw()
                first = events_of(await anext(chunks))
            await trio.sleep(1.0)
            rest = await caller.get(f"/v1/requests/{request_id}?offset={len(first)}")
        events = first + events_of(rest.content)
        assert [event["offset"] for event in events[:-2]] == list(
            range(len(events) - 2)
        )
        assert events[-2] == {"outcome": "answered", "tokens": len(events) - 2}
        assert len({event["lineage"] for event in events[:-2]}) == 1

    async def test_respond_async(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        async with fleet.caller() as caller:
            accepted = await caller.post(
                CHAT, json=chat(), headers={"Prefer": "respond-async"}
            )
            assert accepted.status_code == 202
            response = await caller.get(accepted.headers["Location"])
        assert events_of(response.content)[-1] == "[DONE]"

    async def test_another_customers_request(self, nursery, autojump_clock):
        """A request of another customer looks the same as one that does not exist."""
        fleet = await start_fleet(nursery)
        async with fleet.caller() as caller:
            response = await caller.post(CHAT, json=chat())
            request_id = response.headers["Rosemaryknot-Request"]
        async with fleet.caller(api_key=OTHER_API_KEY) as other:
            foreign = await other.get(f"/v1/requests/{request_id}")
            absent = await other.get("/v1/requests/r0")
        assert foreign.status_code == absent.status_code == 404
        assert foreign.json() == absent.json()


class TestMetrics:
    async def test_shows_outcomes(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        async with fleet.caller() as caller:
            await caller.post(CHAT, json=chat())
            text = (await caller.get("/metrics")).text
        assert "rosemaryknot_agent_connected 1" in text
        assert 'outcome="answered"' in text
