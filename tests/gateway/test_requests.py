"""Tests of requests through a gateway node, with faults of servers and callers."""

from collections import deque

import pytest
import trio

from rosemaryknot.process.gateway_servers import INITIAL_PREFILL_RATE
from rosemaryknot.process.server_state import PeerLoad
from rosemaryknot.standin.users.system import (
    HOST,
    MODEL_HEADERS,
    document,
    platform_system,
    route,
)
from rosemaryknot.values.nodes import Address

COMPLETE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(10))


class TestPlainRequests:
    async def test_forwarded_unchanged(self, autojump_clock):
        async with platform_system() as fleet:
            response = await fleet.ask("/book/x?y=1&z=%20", body=b"slot 7")
            arrival = fleet.ledger.arrivals[0]
            assert response.status == 200 and response.is_whole
            assert response.body.endswith(b"answers r1")
            assert response.headers["rosemaryknot-instance-signature"]
            assert arrival.request.target == "/book/x?y=1&z=%20"
            assert arrival.request.body == b"slot 7"
            assert arrival.request.headers["rosemaryknot-tenant"] == "ada"
            assert "authorization" not in arrival.request.headers
            assert (
                1900 < int(arrival.request.headers["rosemaryknot-deadline-ms"]) < 2001
            )

    async def test_reserved_headers_are_not_forwarded(self, autojump_clock):
        """A caller sends headers that reserve memory and name another customer.

        If forwarded, they would let it occupy memory that others need and run under
        another customer's name. The server receives none of them.
        """
        forged = {
            "Rosemaryknot-Tenant": "eve",
            "Rosemaryknot-Hold": "h",
            "Rosemaryknot-Pin-Ms": "100",
            "Rosemaryknot-Kv-Backup": "10.0.0.9:1",
            "Kv-From": "10.0.0.9:1/x",
            "Kv-Fetch": "10.0.0.9:1",
            "Rosemaryknot-Request-Priority": "0",
            "Rosemaryknot-Expect-Instance": "other",
        }
        async with platform_system() as fleet:
            response = await fleet.ask("/stock/x", method="GET", **forged)
            headers = fleet.ledger.arrivals[0].request.headers
            assert response.status == 200
            assert headers["rosemaryknot-tenant"] == "ada"
            assert headers["rosemaryknot-expect-instance"].startswith("p")
            for name in list(forged)[1:7]:
                assert name.lower() not in headers

    async def test_gateway_refusals(self, autojump_clock):
        async with platform_system() as fleet:
            assert (await fleet.ask("/none/x")).status == 404
            wrong = await fleet.ask("/book/x", Authorization="Bearer wrong")
            assert wrong.status == 401
            assert (await fleet.ask("/book/x", body=b"x" * 70000)).status == 413
            large = await fleet.ask("/book/x", X="y" * 5000)
            assert large.status == 431
            assert not fleet.ledger.arrivals

    async def test_large_body_within_limit(self, autojump_clock):
        """A caller sends a body that is larger than the limit on headers.

        The limit counted all bytes received together with the head, so a request that
        arrived in one piece was refused with 431 for the size of its body.
        """
        async with platform_system() as fleet:
            assert (await fleet.ask("/book/x", body=b"x" * 30000)).status == 200

    async def test_fault_of_the_node_ends_one_connection(self, autojump_clock):
        """A request that ends each node at which it is repeated would end them all."""
        async with platform_system(plain=1) as fleet:
            gateway = fleet.nodes["n0"].gateway
            admit = gateway.entry.admit

            def fail(request, reply):
                if request.id == "r1":
                    raise KeyError(request.id)
                return admit(request, reply)

            gateway.entry.admit = fail
            failed = await fleet.ask("/stock/x", method="GET", request_id="r1")
            other = await fleet.ask("/stock/x", method="GET", request_id="r2")
            assert (failed.status, other.status) == (0, 200)

    async def test_smuggled_request(self, autojump_clock):
        """A caller sends a request with Content-Length and chunked encoding.

        A server that uses the length would parse the bytes after the last chunk as a
        separate request. It is refused before anything is forwarded.
        """
        async with platform_system() as fleet:
            caller = await fleet.caller().open()
            await caller.stream.send_all(
                b"POST /book/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /stock/ HTTP/1.1\r\n"
            )
            assert (await caller.receive()).status == 400
            assert not fleet.ledger.arrivals

    async def test_no_configuration_yet(self, autojump_clock):
        """A node starts while the store is unreachable, and a request arrives.

        The node knows no routes. A 404 would say that the route does not exist, so it
        responds with 503.
        """
        async with platform_system(nodes=0) as fleet:
            fleet.store.faults.begin("busy")
            await fleet.add_node(0)
            response = await fleet.ask("/book/x")
            assert response.status == 503
            assert float(response.headers["retry-after"]) < 1


class TestRunsOnce:
    """At-most-once requests run once, and a "not run" response is true."""

    async def test_lost_response_is_not_retried(self, autojump_clock):
        """A server runs a booking and its connection is reset before the response.

        The gateway cannot know whether it ran, so it does not retry, and the caller
        gets a 502, which does not say that the request has not run.
        """
        async with platform_system() as fleet:
            for server in fleet.servers.values():
                server.faults.append("reset")
            response = await fleet.ask("/book/x")
            assert response.status == 502
            assert fleet.ledger.runs_of("r1") == 1

    async def test_full_servers_give_503(self, autojump_clock):
        """All servers refuse a booking as full; the route allows one attempt.

        The caller gets 503 with Retry-After, and the request has run at no server.
        """
        async with platform_system() as fleet:
            for server in fleet.servers.values():
                server.faults.append("shed")
            response = await fleet.ask("/book/x")
            assert response.status == 503
            assert 0 < float(response.headers["retry-after"]) < 1
            assert fleet.ledger.runs_of("r1") == 0

    @pytest.mark.parametrize("cause", ["full", "down"])
    async def test_refused_request_uses_no_limit(self, autojump_clock, cause):
        """A request that did not run must not take from its customer's limit."""
        configuration = document()
        configuration["tenants"][0] |= {"ratePerS": 1, "burst": 200}
        async with platform_system(configuration=configuration) as fleet:
            for server in fleet.servers.values():
                server.faults.append("shed")
                if cause == "down":
                    host = Address.from_text(server.entry["address"]).host
                    fleet.network.stop_listening(host)
            assert (await fleet.ask("/book/x")).status == 503
            assert (await fleet.ask("/book/x", request_id="r2")).status != 429

    async def test_server_never_responds(self, autojump_clock):
        """A server runs a booking and never responds.

        At the caller's deadline the response is 504, since the request may have run. A
        503 would wrongly say that it has not.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("mute")
            response = await fleet.ask("/book/x")
            assert response.status == 504
            assert 1.9 < response.took_s < 2.3

    async def test_response_at_the_deadline(self, autojump_clock):
        """A server responds just as the caller's deadline passes.

        The deadline aborted the delivery, and the caller saw a closed connection
        although its response was complete. It is now delivered.
        """
        async with platform_system(plain=1) as fleet:
            for work_s in (1.9990, 1.9995, 1.9999, 2.0):
                fleet.servers["p0"].work_s = work_s
                response = await fleet.ask("/book/x", request_id=f"t{work_s}")
                assert response.is_whole
                assert response.status in (200, 504)

    async def test_repeatable_request_is_retried(self, autojump_clock):
        async with platform_system() as fleet:
            for fault in ("reset", "error", "rubbish", "cut_body", "unframed_reset"):
                for server in fleet.servers.values():
                    server.faults.clear()
                fleet.servers["p0"].faults.append(fault)
                fleet.servers["p1"].faults.append("")
                await trio.sleep(5)
                response = await fleet.ask("/stock/x", method="GET", request_id=fault)
                assert (response.status, response.is_whole) == (200, True), fault
                assert response.body.endswith(fault.encode())

    async def test_slow_server(self, autojump_clock):
        """A server accepts a repeatable request and never responds; another works.

        If the gateway waited until the deadline, the caller would get nothing. The
        request may run twice, so after twice the target latency it is sent to the
        other server.
        """
        async with platform_system() as fleet:
            fleet.servers["p0"].is_mute = True
            for number in range(4):
                response = await fleet.ask(
                    "/stock/x", method="GET", request_id=f"s{number}"
                )
                assert response.status == 200
                assert response.took_s < 0.6

    async def test_address_reused_by_another_server(self, autojump_clock):
        """A server has been removed and another one uses its address.

        That one responds with 421 to a request for the first server. The request goes
        to a valid server, and no more requests are sent to the address.
        """
        async with platform_system() as fleet:
            fleet.servers["p0"].id = "someone-else"
            for number in range(6):
                response = await fleet.ask(
                    "/stock/x", method="GET", request_id=f"a{number}"
                )
                assert response.status == 200
            refused = [a for a in fleet.ledger.arrivals if a.ended == "refused"]
            assert len(refused) <= 1


class TestResponseMatching:
    async def test_duplicate_response(self, autojump_clock):
        """A server sends a response twice on a persistent connection.

        The next request on it would get the response of the previous one. The unread
        bytes are detected, and the connection is not reused.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("extra")
            for number in range(3):
                response = await fleet.ask(
                    "/stock/x", method="GET", request_id=f"e{number}"
                )
                assert response.body == f"p0 answers e{number}".encode()

    async def test_late_duplicate_response(self, autojump_clock):
        """The duplicate arrives just after the next request was sent.

        It is read in place of that request's response. Its id shows that it belongs to
        another request, and the right response behind it is used.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("late_extra")
            for number in range(3):
                response = await fleet.ask(
                    "/stock/x", method="GET", request_id=f"l{number}"
                )
                assert response.body == f"p0 answers l{number}".encode()

    async def test_response_without_length(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("unframed")
            response = await fleet.ask("/book/x")
            assert (response.status, response.is_whole) == (200, True)

    async def test_unsigned_response(self, autojump_clock):
        """A 200 response lacks the server's signature.

        If relayed, the caller would accept a response of an unknown process as its own.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("unsigned")
            assert (await fleet.ask("/book/x")).status == 502

    async def test_server_error_is_relayed(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("error")
            response = await fleet.ask("/book/x")
            assert response.status == 500
            assert response.headers["rosemaryknot-instance-signature"] == "p0.sig"
            assert response.body == b"failed"


class TestStreams:
    async def test_complete_stream(self, autojump_clock):
        async with platform_system() as fleet:
            response = await fleet.ask("/plan/x", **MODEL_HEADERS)
            assert (response.status, response.is_whole) == (200, True)
            assert response.body == COMPLETE_STREAM

    async def test_resumed_after_last_complete_event(self, autojump_clock):
        """A server interrupts a resumable stream in the middle of its third event.

        The incomplete event is not relayed. The stream is resumed at another server
        after the second event, and the caller receives one complete stream.
        """
        async with platform_system() as fleet:
            fleet.servers["m0"].faults.append("cut_event")
            fleet.servers["m1"].faults.append("")
            await fleet.ask("/ask/x", request_id="first", **MODEL_HEADERS)
            fleet.servers["m1"].faults.append("cut_event")
            response = await fleet.ask("/ask/x", request_id="second", **MODEL_HEADERS)
            assert (response.status, response.is_whole) == (200, True)
            assert response.body == COMPLETE_STREAM
            resumed = [
                a.request.headers["last-event-id"]
                for a in fleet.ledger.arrivals
                if "last-event-id" in a.request.headers
            ]
            assert set(resumed) == {"1"}

    async def test_interrupted_stream_is_not_terminated(self, autojump_clock):
        """A server interrupts a stream that may not be resumed.

        The caller gets the complete events and then a closed connection without the
        last chunk, so that it cannot mistake the beginning for the whole stream.
        """
        async with platform_system(models=1) as fleet:
            fleet.servers["m0"].faults.append("cut_event")
            response = await fleet.ask("/plan/x", **MODEL_HEADERS)
            assert response.status == 200 and not response.is_whole
            assert response.body == COMPLETE_STREAM[: len(response.body)]
            assert response.body.endswith(b"\n\n")
            assert fleet.ledger.runs_of("r1") == 1

    async def test_failed_resumption_closes_connection(self, autojump_clock):
        """A stream has started, and the server that should resume it fails.

        A status cannot follow the beginning of a stream, so the connection is closed.
        """
        async with platform_system() as fleet:
            queue = deque(["cut_event", "error"])
            fleet.servers["m0"].faults = fleet.servers["m1"].faults = queue
            response = await fleet.ask("/ask/x", **MODEL_HEADERS)
            assert not queue
            assert response.status == 200 and not response.is_whole
            assert response.body == COMPLETE_STREAM[: len(response.body)]


class TestOverload:
    """Servers have more prompts queued than they can prefill in time."""

    @staticmethod
    def configuration():
        config = document()
        config["routes"][0]["priority"] = 1
        config["tenants"][0] |= {"ratePerS": 1000, "burst": 5000}
        return config

    @staticmethod
    def set_backlog(fleet, tokens):
        table = fleet.nodes["n0"].state.servers
        table.rate_samples = 100
        now_s = trio.current_time()
        for state in table.by_id.values():
            state.peers["other"] = PeerLoad(20, tokens, now_s)
        return table

    async def test_lowest_priority_is_refused_immediately(self, autojump_clock):
        """Two servers are removed during a burst, and prompts queue at the others.

        A request to the low-priority route would get its first event long after the
        target time and delay all behind it. It is refused before it is sent, with the
        time until the queue is processed, and uses no units of its customer's limit. A
        request of higher priority is admitted.
        """
        async with platform_system(configuration=self.configuration()) as fleet:
            table = self.set_backlog(fleet, round(INITIAL_PREFILL_RATE * 0.5))
            response = await fleet.ask("/plan/x", **MODEL_HEADERS)
            assert response.status == 503
            assert response.took_s < 0.1
            assert 0.3 < float(response.headers["retry-after"]) < 0.8
            assert not fleet.ledger.arrivals
            assert fleet.nodes["n0"].quota.accounts["ada"].acquired == 0
            assert (await fleet.ask("/ask/x", **MODEL_HEADERS)).status == 200
            assert table.rate_samples >= 100

    async def test_long_prompt_at_an_idle_server(self, autojump_clock):
        """Prefill of a low-priority prompt exceeds the target time; no others wait.

        If it were refused as if the servers were full, the longest prompts would never
        be served, whatever the load.
        """
        config = self.configuration()
        config["tenants"][0] |= {"ratePerS": 0}
        async with platform_system(configuration=config) as fleet:
            self.set_backlog(fleet, 0)
            headers = MODEL_HEADERS | {"Rosemaryknot-Token-Usage": "60000,100"}
            response = await fleet.ask("/plan/x", **headers)
            assert response.status == 200

    async def test_unreachable_deadline_is_refused_immediately(self, autojump_clock):
        """A request would get its first event after the deadline of its caller."""
        async with platform_system(configuration=self.configuration()) as fleet:
            self.set_backlog(fleet, round(INITIAL_PREFILL_RATE * 2.5))
            response = await fleet.ask("/ask/x", **MODEL_HEADERS)
            assert response.status == 503 and response.took_s < 0.1

    async def test_unknown_rate_refuses_nothing(self, autojump_clock):
        """The prefill rate of the servers has not been measured yet.

        If they were assumed to be slow, fast servers would be idle while requests are
        refused.
        """
        async with platform_system(configuration=self.configuration()) as fleet:
            self.set_backlog(fleet, round(INITIAL_PREFILL_RATE * 2.5)).rate_samples = 0
            assert (await fleet.ask("/plan/x", **MODEL_HEADERS)).status == 200


class TestCallerDisconnects:
    async def test_disconnect_while_waiting(self, autojump_clock):
        """A caller closes its connection while it waits for the first byte.

        Nothing is sent to the caller, so only a read detects this. The connection to
        the server is closed immediately, so that it does not continue the work.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].work_s = 1.5
            caller = await fleet.caller().open()
            await caller.send("/stock/x", method="GET")
            await trio.sleep(0.1)
            await caller.close()
            await trio.sleep(0.2)
            assert fleet.nodes["n0"].state.servers.by_id["p0"].in_flight == 0
            await trio.sleep(3)
            assert fleet.ledger.arrivals[0].ended == "cut"

    async def test_disconnect_during_upload(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            caller = await fleet.caller().open()
            await caller.stream.send_all(
                b"POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Content-Length: 50\r\n\r\nx"
            )
            await trio.sleep(0.1)
            await caller.close()
            await trio.sleep(0.1)
            assert fleet.nodes["n0"].listener.state.open == 0
            assert not fleet.ledger.arrivals

    async def test_persistent_connection(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            caller = await fleet.caller().open()
            for number in range(3):
                await caller.send("/stock/x", method="GET", request_id=f"k{number}")
                response = await caller.receive()
                assert response.body.endswith(f"k{number}".encode())
                caller.reuse()
                await trio.sleep(4)

    async def test_slow_headers(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            caller = await fleet.caller().open()
            await caller.stream.send_all(b"GET /stock/x HT")
            await trio.sleep(1.2)
            assert (await caller.receive()).status == 408


class TestRoutes:
    async def test_longest_prefix_and_weights(self, autojump_clock):
        routes = [
            route("all", "/a/", "idempotent", "none"),
            route("some", "/a/b/", "idempotent", "none", public=True),
        ]
        routes[0]["backends"] = [
            {"service": "booking", "weight": 90},
            {"service": "writer", "weight": 0},
        ]
        routes[1]["service"] = "booking"
        async with platform_system(configuration=document(routes=routes)) as fleet:
            known = fleet.nodes["n0"].state.configuration
            assert known.route_of(HOST, "/a/b/c").name == "some"
            assert known.route_of(HOST, "/a/c").name == "all"
            response = await fleet.ask("/a/b/c", Authorization=None)
            assert response.status == 200
            for _ in range(5):
                assert (await fleet.ask("/a/c")).status == 200
