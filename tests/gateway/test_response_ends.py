"""Tests of responses that servers end in each way, at each place of their content."""

from collections import deque
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from rosemaryknot.request.event_stream import MAX_EVENT_BYTES
from rosemaryknot.standin.users.response_ends import (
    EndPlace,
    EndWay,
    ResponseEnd,
    detectable_ends,
)
from rosemaryknot.standin.users.servers import EVENT_TOKENS
from rosemaryknot.standin.users.system import (
    MODEL_HEADERS,
    document,
    platform_system,
)

EVENTS = 50 // EVENT_TOKENS
WHOLE = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(EVENTS))
WHOLE_ENDS = (EndWay.CLOSED, EndWay.LAST_CHUNK, EndWay.FULL_LENGTH)
STREAM_ENDS = detectable_ends(is_stream=True)
PLAIN_ENDS = detectable_ends(is_stream=False)
VERSIONS = ["1.1", "1.0"]


def is_whole_end(end):
    """Return whether the server sends everything and ends the response in order."""
    return end.place is EndPlace.LAST_EVENT and end.way in WHOLE_ENDS


@asynccontextmanager
async def system_with_end(end, **options):
    """Run a system whose first server of each service ends a response in a way."""
    async with platform_system(**options) as system:
        queue = deque([end.name])
        for server in system.servers.values():
            server.faults = queue
        yield system


@pytest.mark.parametrize("version", VERSIONS)
class TestBrokenOff:
    """A server breaks a response off; its caller must not take it for complete."""

    @pytest.mark.parametrize("end", STREAM_ENDS, ids=lambda end: end.name)
    async def test_stream_that_may_not_be_resumed(self, autojump_clock, end, version):
        async with system_with_end(end) as system:
            answer = await system.ask("/plan/x", version=version, **MODEL_HEADERS)
            if is_whole_end(end):
                assert (answer.status, answer.is_whole) == (200, True)
                assert answer.body == WHOLE
                return
            if answer.status == 200:
                assert not answer.is_whole
                assert WHOLE.startswith(answer.body)
                assert answer.body.endswith(b"\n\n")
            else:
                assert answer.status == 502
            assert system.ledger.runs_of("r1") == 1

    @pytest.mark.parametrize("end", STREAM_ENDS, ids=lambda end: end.name)
    async def test_resumed_stream(self, autojump_clock, end, version):
        async with system_with_end(end) as system:
            answer = await system.ask("/ask/x", version=version, **MODEL_HEADERS)
            assert (answer.status, answer.is_whole) == (200, True)
            assert answer.body == WHOLE

    @pytest.mark.parametrize("end", PLAIN_ENDS, ids=lambda end: end.name)
    async def test_plain_response(self, autojump_clock, end, version):
        async with system_with_end(end) as system:
            answer = await system.ask("/book/x", version=version)
            if is_whole_end(end):
                assert (answer.status, answer.is_whole) == (200, True)
            else:
                assert answer.status == 502

    @pytest.mark.parametrize("end", PLAIN_ENDS, ids=lambda end: end.name)
    async def test_repeated_plain_response(self, autojump_clock, end, version):
        async with system_with_end(end) as system:
            answer = await system.ask("/stock/x", method="GET", version=version)
            assert (answer.status, answer.is_whole) == (200, True)
            assert answer.body.endswith(b"answers r1")


async def end_node(system, after_s):
    """End the process of a node."""
    await trio.sleep(after_s)
    system.scopes["n0"].cancel()


class TestCallerVersions:
    async def test_node_ends_within_stream_to_http_1_0(self, autojump_clock):
        """A caller of HTTP/1.0 takes the end of a node's process for its stream's."""
        async with platform_system() as system:
            for server in system.servers.values():
                server.work_s = 0.3
            caller = await system.caller().open()
            await caller.send("/plan/x", version="1.0", **MODEL_HEADERS)
            system.nursery.start_soon(end_node, system, 1.0)
            answer = await caller.receive()
            assert answer.status == 200 and not answer.is_whole
            assert answer.body and WHOLE.startswith(answer.body)

    async def test_deadline_within_stream_to_http_1_0(self, autojump_clock):
        """A stream that is aborted at its deadline looks complete to HTTP/1.0."""
        async with platform_system() as system:
            for server in system.servers.values():
                server.work_s = 0.3
            answer = await system.ask("/plan/x", version="1.0", **MODEL_HEADERS)
            assert answer.status == 200 and not answer.is_whole
            assert answer.body and WHOLE.startswith(answer.body)


def respond(system, head, body, *, status=200):
    """Let the model servers send a response with these headers, and close."""

    async def serve(server, arrival, wire):
        arrival.has_run = True
        headers = server.headers(arrival) | head
        headers = {name: value for name, value in headers.items() if value is not None}
        await wire.head(status, headers)
        await wire.send(body)
        wire.close()

    for server in system.servers.values():
        server.serve = partial(serve, server)


class TestStreamContent:
    """What counts as the complete content of a stream."""

    async def test_other_type_needs_no_event(self, autojump_clock):
        async with platform_system() as system:
            respond(system, {"Content-Type": "application/json"}, b'{"pieces": []}')
            answer = await system.ask("/plan/x", **MODEL_HEADERS)
            assert (answer.status, answer.is_whole) == (200, True)
            assert answer.body == b'{"pieces": []}'

    async def test_stream_without_type_needs_events(self, autojump_clock):
        async with platform_system() as system:
            respond(system, {"Content-Type": None}, b"id: 1\ndata: a")
            assert (await system.ask("/plan/x", **MODEL_HEADERS)).status == 502

    @pytest.mark.parametrize(("method", "status"), [("HEAD", 200), ("POST", 204)])
    async def test_response_without_body(self, autojump_clock, method, status):
        async with platform_system() as system:
            respond(system, {}, b"", status=status)
            answer = await system.ask("/plan/x", method=method, **MODEL_HEADERS)
            assert (answer.status, answer.body) == (status, b"")

    @pytest.mark.parametrize(
        "body",
        [
            b"id: 0\rdata: a\r\r",
            b"id: 0\r\ndata: a\n\r\n",
            b"\xef\xbb\xbfid: 0\ndata: a\n\n",
            b"id: 0\ndata: a\n\n: keep-alive\n\n",
            b"id: 0\ndata: a\n\n: bye\n",
            b": keep-alive\r\n\r\nid: 0\r\ndata: a\r\n\r\n",
        ],
    )
    async def test_all_forms_of_events_pass(self, autojump_clock, body):
        async with platform_system() as system:
            respond(system, {}, body)
            answer = await system.ask("/plan/x", **MODEL_HEADERS)
            assert (answer.status, answer.is_whole) == (200, True)
            assert answer.body == body

    async def test_endless_event_is_broken_off(self, autojump_clock):
        """A server that never ends an event fills the memory of the node."""
        async with platform_system() as system:
            respond(system, {}, b"data: " + b"x" * 2 * MAX_EVENT_BYTES)
            assert (await system.ask("/plan/x", **MODEL_HEADERS)).status == 502

    async def test_empty_rest_completes_resumed_stream(self, autojump_clock):
        """A stream that breaks off after its last event is complete when resumed."""
        end = ResponseEnd(EndWay.RESET, EndPlace.LAST_EVENT)
        async with system_with_end(end) as system:
            answer = await system.ask("/ask/x", **MODEL_HEADERS)
            assert answer.is_whole and answer.body == WHOLE
            resumed = system.ledger.arrivals[-1].request.headers
            assert resumed["last-event-id"] == str(EVENTS - 1)

    async def test_repeated_events_end_resumed_stream(self, autojump_clock):
        """The second server starts over; the caller must not get an event twice."""
        end = ResponseEnd(EndWay.RESET, EndPlace.INSIDE_EVENT)
        patient = document()
        patient["routes"][1]["maxAttempts"] = 4
        async with system_with_end(end, models=4, configuration=patient) as system:
            respond(system, {}, WHOLE)
            answer = await system.ask("/ask/x", **MODEL_HEADERS)
            assert answer.status == 200 and not answer.is_whole
            assert answer.body == WHOLE[: len(b"id: 0\ndata: piece 0\n\n")]
            assert system.ledger.runs_of("r1") == 2

    async def test_stream_that_resets_its_ids_is_not_resumed(self, autojump_clock):
        """After an empty id, no id says where another server would have to go on."""
        async with platform_system() as system:
            respond(system, {}, b"id: 0\ndata: a\n\nid:\ndata: b\n\nda")
            answer = await system.ask("/ask/x", **MODEL_HEADERS)
            assert answer.status == 200 and not answer.is_whole
            assert answer.body == b"id: 0\ndata: a\n\nid:\ndata: b\n\n"
            assert system.ledger.runs_of("r1") == 1


def exit_slowly(system, name):
    """Let a draining server close its connections 50 ms before its port."""
    server = system.servers[name]
    server.draining = "1"

    async def run(arrival, wire):
        arrival.has_run = True
        await wire.head(200, server.headers(arrival))
        events = server.events(arrival) if server.is_model else [b"p"]
        await wire.send(events[0])
        await trio.sleep(0.1)
        system.nursery.start_soon(close_port)
        wire.close()

    async def close_port():
        await trio.sleep(0.05)
        await system.crash_server(name, has_resets=True)

    server.run = run


async def put_later(system, server_id, entry):
    """Write an entry while a response is under way."""
    await trio.sleep(0.2)
    system.store.put("servers", server_id, entry)


class TestServers:
    """What the end of a response shows of its server."""

    async def test_broken_off_stream_is_failure(self, autojump_clock, info_lines):
        end = ResponseEnd(EndWay.LAST_CHUNK, EndPlace.INSIDE_EVENT)
        async with system_with_end(end, models=1) as system:
            await system.ask("/plan/x", **MODEL_HEADERS)
            state = system.nodes["n0"].state.servers.by_id["m0"]
            assert state.failures == 1
        (line,) = [li for li in info_lines if li["event"] == "response ended"]
        assert line["framing"] == "chunks" and line["last_event_id"] == "0"
        assert line["incomplete_event_bytes"] == 7
        assert line["reason"] == "the stream ended inside an event"

    @pytest.mark.parametrize("path", ["/plan/x", "/ask/x", "/stock/x", "/book/x"])
    @pytest.mark.parametrize("place", [EndPlace.BETWEEN_EVENTS, EndPlace.LAST_EVENT])
    async def test_draining_server_exits(self, autojump_clock, path, place):
        """Guards against an end that looks complete as a draining server exits."""
        end = ResponseEnd(EndWay.CRASHED, place)
        async with platform_system() as system:
            for server in system.servers.values():
                server.faults = deque([end.name])
                server.work_s = 0.5
                server.draining = "1"
            first = [system.servers[name] for name in ("m0", "p0")]
            for server in first:
                with_drain = server.entry | {"state": "draining"}
                system.nursery.start_soon(put_later, system, server.id, with_drain)
            is_stream = path in ("/plan/x", "/ask/x")
            headers = MODEL_HEADERS if is_stream else {"method": "GET"}
            answer = await system.ask(path, **headers)
            if answer.status == 200 and answer.is_whole:
                assert answer.body in (WHOLE, b"p0 answers r1", b"p1 answers r1")
            else:
                assert WHOLE.startswith(answer.body) or answer.status in (502, 503)

    @pytest.mark.parametrize("path", ["/plan/x", "/ask/x", "/book/x"])
    async def test_port_closes_after_connections(self, autojump_clock, path):
        """Guards against an exiting server that accepts the check's connection."""
        async with platform_system(plain=1, models=1) as system:
            for name in ("m0", "p0"):
                exit_slowly(system, name)
            is_stream = path in ("/plan/x", "/ask/x")
            headers = MODEL_HEADERS if is_stream else {"method": "GET"}
            answer = await system.ask(path, **headers)
            assert answer.status == 502 or not answer.is_whole
            assert answer.status == 502 or WHOLE.startswith(answer.body)

    async def test_draining_server_refuses(self, autojump_clock):
        """Guards against a stream that is lost as its draining server stops listening.

        Its end is not confirmed: the caller gets the rest from another server.
        """
        end = ResponseEnd(EndWay.CLOSED, EndPlace.LAST_EVENT)
        async with system_with_end(end, models=2) as system:
            for name in ("m0", "m1"):
                system.servers[name].work_s = 0.1
            with_drain = system.servers["m0"].entry | {"state": "draining"}

            async def drain():
                await trio.sleep(0.05)
                system.store.put("servers", "m0", with_drain)
                system.network.stop_listening("10.1.0.3")

            system.nursery.start_soon(drain)
            answer = await system.ask("/ask/x", **MODEL_HEADERS)
            assert answer.is_whole and answer.body == WHOLE

    async def test_request_is_cleared_by_response_without_length(self, autojump_clock):
        """Responses that all end with their connections clear requests of crashes."""
        end = ResponseEnd(EndWay.CLOSED, EndPlace.LAST_EVENT)
        async with platform_system(plain=1) as system:
            records = system.nodes["n0"].crash_records
            system.servers["p0"].faults.append(end.name)
            assert (await system.ask("/stock/x", method="GET")).is_whole
            assert not records.completed
            await trio.sleep(3)
            assert len(records.completed) == 1

    async def test_crash_without_entry(self, autojump_clock):
        """A server ends within a response while the store has lost its entry."""
        end = ResponseEnd(EndWay.CRASHED, EndPlace.BETWEEN_EVENTS)
        async with system_with_end(end, models=1) as system:
            system.servers["m0"].work_s = 1.0

            async def lapse():
                await trio.sleep(0.5)
                system.store.remove("servers", "m0")

            system.nursery.start_soon(lapse)
            answer = await system.ask("/plan/x", **MODEL_HEADERS)
            assert answer.status == 200 and not answer.is_whole


class TestPaths:
    """Ends of responses while the link between node and servers is in trouble."""

    @pytest.mark.parametrize("end", STREAM_ENDS, ids=lambda end: end.name)
    async def test_stream_through_peer(self, autojump_clock, end):
        """A node that is cut off from the servers gets their streams through a peer."""
        async with system_with_end(end, nodes=2) as system:
            system.cut_off("n0", "silent")
            await trio.sleep(1.0)
            answer = await system.ask("/plan/x", **MODEL_HEADERS)
            if is_whole_end(end):
                assert answer.is_whole and answer.body == WHOLE
            else:
                assert answer.status == 502 or not answer.is_whole
                assert WHOLE.startswith(answer.body) or answer.status == 502

    async def test_ready_response_is_delivered_after_deadline(self, autojump_clock):
        """The link to the server is cut just after its response without a length."""
        end = ResponseEnd(EndWay.CLOSED, EndPlace.LAST_EVENT)
        async with system_with_end(end, nodes=2, plain=1) as system:
            system.servers["p0"].work_s = 0.25
            system.network.delays_s[frozenset(("10.2.0.1", "10.1.0.1"))] = 0.01

            async def cut():
                await trio.sleep(0.285)
                system.cut_off("n0", "silent")

            system.nursery.start_soon(cut)
            answer = await system.ask("/book/x", Rosemaryknot_Deadline_Ms="300")
            assert (answer.status, answer.is_whole) == (200, True)
            assert 0.35 < answer.took_s < 0.8
