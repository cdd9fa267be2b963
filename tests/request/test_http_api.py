"""Tests of the callers' interface, in virtual time over stand-ins."""

import json

import pytest
import trio
from tests.process.entry_fleet import (
    API_KEY,
    OTHER_API_KEY,
    booking,
    chat,
    whole_fleet,
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
    """Send bytes as they are; return what came and when the connection ended."""
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
    async def test_each_has_its_status_and_reason(self, nursery, autojump_clock):
        fleet = await whole_fleet(nursery, max_body_bytes=200_000)
        async with fleet.caller() as caller:
            for method, path, headers, body, status, reason in BAD_INPUTS:
                answer = await caller.request(
                    method, path, headers=headers, content=body
                )
                case = (method, path, headers, body[:80])
                assert answer.status_code == status, case
                assert answer.json()["reason"] == reason, case
                assert answer.json()["detail"], case
                assert answer.headers["Rosemaryknot-Request"], case
        assert fleet.runs() == {}
        assert fleet.entries[0].admission.in_flight == 0

    async def test_not_run_is_not_said_of_a_repeat(self, nursery, autojump_clock):
        """Attempt 1 ran; its repeat is malformed.

        "Not run" is read as a word on the booking, which did run. So the repeat gets
        400 with "unknown", and the same id in the right form still gets the answer.
        """
        fleet = await whole_fleet(nursery)
        async with fleet.caller() as caller:
            first = await caller.post(BOOK, headers=booking("b1", 1))
            assert first.status_code == 200
            for bad in ({"Rosemaryknot-Attempt": "x"}, {"Authorization": "Bearer a.b"}):
                answer = await caller.post(BOOK, headers={**booking("b1"), **bad})
                assert answer.status_code in (400, 401)
                assert answer.json()["outcome"] == "unknown"
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
    async def test_sender_that_never_ends(
        self, nursery, autojump_clock, framing, chunk, status
    ):
        """A caller sends its body bit by bit, or more of it than is allowed.

        It gets a typed answer within the bound and its connection is closed soon
        after, however long it goes on sending. Without the close the connection and
        its task stayed for as long as the caller liked.
        """
        fleet = await whole_fleet(nursery, max_body_bytes=1000, body_timeout_s=2.0)
        head = f"POST {BOOK} HTTP/1.1\r\n{HEAD}Idempotency-Key: b\r\n{framing}\r\n\r\n"
        answer, took_s = await raw_call(fleet, head, [chunk] * 10_000, pause_s=0.05)
        assert answer.startswith(b"HTTP/1.1 %d" % status)
        assert took_s < 4.0
        assert fleet.entries[0].drain.in_flight == 0
        assert fleet.entries[0].admission.in_flight == 0


class TestFaults:
    async def test_a_fault_of_ours(self, nursery, autojump_clock):
        """A part raises what nobody expects, with the caller's text in it.

        The caller gets "unknown", for it may have run; others are served on, and the
        slot is free again.
        """
        fleet = await whole_fleet(nursery)
        entry = fleet.entries[0]
        send_once = entry.plain.send_once

        async def fail(request):
            await send_once(request)
            raise ValueError(request.body)

        entry.plain.send_once = fail
        async with fleet.caller() as caller:
            answer = await caller.post(BOOK, headers=booking("b1", 1), content=b"x")
            assert answer.status_code == 504
            assert answer.json()["outcome"] == "unknown"
            entry.plain.send_once = send_once
            repeat = await caller.post(BOOK, headers=booking("b1", 2), content=b"x")
            assert repeat.json()["outcome"] == "unknown"
            assert (await caller.post(BOOK, headers=booking("b2", 1))).is_success
        assert fleet.runs() == {"b1": 1, "b2": 1}
        assert entry.admission.in_flight == 0


class TestModelRequests:
    async def test_whole_completion(self, nursery, autojump_clock):
        fleet = await whole_fleet(nursery)
        async with fleet.caller() as caller:
            answer = await caller.post(CHAT, json=chat(stream=False))
            document = answer.json()
            stream = await caller.post(CHAT, json=chat())
        assert document["id"] == answer.headers["Rosemaryknot-Request"]
        assert (
            document["usage"]["completion_tokens"] == len(events_of(stream.content)) - 2
        )
        assert (
            len(document["choices"][0]["message"]["content"].split())
            == document["tokens"]
        )

    async def test_caller_hangs_up_and_picks_up(self, nursery, autojump_clock):
        """The caller's connection ends in the middle of a stream.

        The accepted request goes on, and the caller gets the rest from the offset
        that it has, in the same lineage.
        """
        fleet = await whole_fleet(nursery)
        async with fleet.caller() as caller:
            async with caller.stream("POST", CHAT, json=chat(400)) as answer:
                request_id = answer.headers["Rosemaryknot-Request"]
                parts = answer.aiter_raw()
                first = events_of(await anext(parts))
            await trio.sleep(1.0)
            rest = await caller.get(f"/v1/requests/{request_id}?offset={len(first)}")
        events = first + events_of(rest.content)
        assert [event["offset"] for event in events[:-2]] == list(
            range(len(events) - 2)
        )
        assert events[-2] == {"outcome": "answered", "tokens": len(events) - 2}
        assert len({event["lineage"] for event in events[:-2]}) == 1

    async def test_respond_async(self, nursery, autojump_clock):
        fleet = await whole_fleet(nursery)
        async with fleet.caller() as caller:
            accepted = await caller.post(
                CHAT, json=chat(), headers={"Prefer": "respond-async"}
            )
            assert accepted.status_code == 202
            answer = await caller.get(accepted.headers["Location"])
        assert events_of(answer.content)[-1] == "[DONE]"

    async def test_another_customers_request(self, nursery, autojump_clock):
        """Another customer that knows the id sees what it sees of no id at all."""
        fleet = await whole_fleet(nursery)
        async with fleet.caller() as caller:
            answer = await caller.post(CHAT, json=chat())
            request_id = answer.headers["Rosemaryknot-Request"]
        async with fleet.caller(api_key=OTHER_API_KEY) as other:
            foreign = await other.get(f"/v1/requests/{request_id}")
            absent = await other.get("/v1/requests/r0")
        assert foreign.status_code == absent.status_code == 404
        assert foreign.json() == absent.json()


class TestMetrics:
    async def test_shows_outcomes(self, nursery, autojump_clock):
        fleet = await whole_fleet(nursery)
        async with fleet.caller() as caller:
            await caller.post(CHAT, json=chat())
            text = (await caller.get("/metrics")).text
        assert "rosemaryknot_agent_connected 1" in text
        assert 'outcome="answered"' in text
