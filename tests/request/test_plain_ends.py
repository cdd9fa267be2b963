"""Tests of responses of plain services that break off, on the product's interface."""

import random
from collections import deque
from functools import partial

import pytest
import trio

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.connection.plain_client import PlainClient
from rosemaryknot.process.crash_detector import CrashDetector
from rosemaryknot.process.crash_records import CrashRecords
from rosemaryknot.request.crash_guard import CrashGuard
from rosemaryknot.request.plain import PlainRelay
from rosemaryknot.standin.users.response_ends import (
    EndPlace,
    EndWay,
    ResponseEnd,
    detectable_ends,
)
from rosemaryknot.standin.users.servers import ServerStandIn
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.outcomes import Answered, Reason, Unknown
from rosemaryknot.values.requests import PlainRequest
from rosemaryknot.values.server_evidence import ServerEvidence

HOSTS = {"p0": "10.1.0.1", "p1": "10.1.0.2"}
EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(4))
WHOLE_WAYS = (EndWay.CLOSED, EndWay.LAST_CHUNK, EndWay.FULL_LENGTH)


class Servers:
    """Table of the servers of one service."""

    absent_since_s = frozenset()

    def __init__(self):
        self.servers = {
            name: BackendServer(name, "app", "z", "g1", True, f"{host}:80")
            for name, host in HOSTS.items()
        }

    def servers_of(self, service):
        return list(self.servers.values())

    def get(self, name):
        return self.servers.get(name)


async def check_server(network, address):
    """Return whether a server accepts connections."""
    try:
        stream = await network.dial(address)
    except OSError:
        return ServerEvidence.REFUSES
    await stream.aclose()
    return ServerEvidence.ACCEPTS


async def accepts(network, address, open_s=0.0):
    """Return whether a server accepts a connection."""
    return await check_server(network, address) == ServerEvidence.ACCEPTS


class PlainFleet:
    """Two servers of a service and the relay to them."""

    def __init__(self, nursery, is_stream):
        self.network = MemoryNetwork("10.0.3.1")
        self.servers = {
            name: ServerStandIn(name, is_stream, ledger=None) for name in HOSTS
        }
        self.nursery = nursery
        self.detector = CrashDetector(
            partial(check_server, self.network),
            partial(accepts, self.network),
            CrashRecords(),
        )
        self.relay = PlainRelay(
            PlainClient(self.network), Servers(), "z", random.Random(1)
        )
        self.relay.crashes = CrashGuard(
            self.detector.records,
            self.detector,
            lambda digest, service: None,
            lambda digest: True,
            lambda record: None,
            lambda digest, servers: None,
        )

    async def start(self):
        """Start the servers and the detector."""
        for name, server in self.servers.items():
            await self.nursery.start(self.run_server, server, HOSTS[name])
        self.nursery.start_soon(self.detector.run)

    async def run_server(self, server, host, task_status):
        """Serve until the process of the server ends."""
        with trio.CancelScope() as scope:

            def end_process():
                self.network.stop_listening(host)
                scope.cancel()

            server.end_process = end_process
            network = self.network.with_host(host)
            await server.server.serve(network, Address(host, 80), task_status)

    def request(self):
        """Return a request for the service."""
        now_s = trio.current_time()
        return PlainRequest(
            "r1", "ada", "app", "GET", "/x", [], b"", "", 0, b"", now_s, now_s + 5.0
        )


def is_whole_end(end):
    """Return whether the server sends everything and ends the response in order."""
    return end.place is EndPlace.LAST_EVENT and end.way in WHOLE_WAYS


@pytest.mark.parametrize(
    ("is_stream", "end"),
    [
        (is_stream, end)
        for is_stream in (False, True)
        for end in detectable_ends(is_stream)
        if not (is_stream and end.place is EndPlace.HEAD and end.way in WHOLE_WAYS)
    ],
    ids=lambda value: getattr(value, "name", str(value)),
)
class TestBrokenOff:
    """A server breaks a response off, and the relay must not pass it on as complete."""

    async def test_sent_once(self, nursery, autojump_clock, is_stream, end):
        fleet = PlainFleet(nursery, is_stream)
        await fleet.start()
        for server in fleet.servers.values():
            server.faults.append(end.name)
        result = await fleet.relay.send_once(fleet.request())
        if is_whole_end(end):
            assert isinstance(result, Answered)
        else:
            assert isinstance(result, Unknown)
            assert result.reason == Reason.ANSWER_LOST

    async def test_repeated(self, nursery, autojump_clock, is_stream, end):
        fleet = PlainFleet(nursery, is_stream)
        await fleet.start()
        queue = deque([end.name])
        for server in fleet.servers.values():
            server.faults = queue
        result = await fleet.relay.run_idempotent(fleet.request())
        assert not queue
        assert isinstance(result, Answered)
        if is_stream:
            assert result.body == EVENTS
        else:
            assert result.body in (b"p0 answers ", b"p1 answers ")


HEAD = (
    b"HTTP/1.1 200 OK\r\nRosemaryknot-Instance-Signature: p0.sig\r\n"
    b"Content-Type: text/plain\r\n"
)
FRAMINGS = {
    "length": (b"Content-Length: 5\r\n\r\n", b"whole"),
    "chunked": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"5\r\nwhole\r\n0\r\nX-Sum: 12\r\n\r\n",
    ),
    "close": (b"\r\n", b""),
}
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


@pytest.mark.parametrize("has_resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("interim", [b"", INTERIM], ids=["plain", "after-interim"])
@pytest.mark.parametrize("framing", FRAMINGS)
class TestBrokenHead:
    async def test_response_is_not_taken_for_complete(
        self, nursery, autojump_clock, framing, interim, has_resets
    ):
        """Guards against an answer made of a head, or of trailers, that break off."""
        head, body = FRAMINGS[framing]
        whole = HEAD + head + body
        fleet = PlainFleet(nursery, is_stream=False)
        await fleet.start()
        sent = [b""]

        async def run(arrival, wire):
            await wire.send(interim + sent[0])
            await trio.sleep(0.01)
            wire.reset() if has_resets else wire.close()

        for server in fleet.servers.values():
            server.run = run
        for size in range(1, len(whole)):
            sent[0] = whole[:size]
            await trio.sleep(20.0)
            result = await fleet.relay.send_once(fleet.request())
            assert isinstance(result, Unknown), whole[:size]
        arrivals = sum(len(server.arrivals) for server in fleet.servers.values())
        assert arrivals == len(whole) - 1


class TestClearing:
    async def test_request_is_cleared_by_response_without_length(
        self, nursery, autojump_clock
    ):
        """A response without a length must not clear a request before its time."""
        fleet = PlainFleet(nursery, is_stream=False)
        await fleet.start()
        end = ResponseEnd(EndWay.CLOSED, EndPlace.LAST_EVENT)
        for server in fleet.servers.values():
            server.faults.append(end.name)
        result = await fleet.relay.send_once(fleet.request())
        assert isinstance(result, Answered)
        assert not fleet.detector.records.completed
        await trio.sleep(3.0)
        assert len(fleet.detector.records.completed) == 1
