"""Tests of requests through a gateway node, by faults of servers and callers."""

from collections import deque

import trio

from rosemaryknot.process.gateway_servers import FIRST_RATE
from rosemaryknot.process.server_state import PeerLoad
from rosemaryknot.standin.users.system import (
    HOST,
    MODEL_HEADERS,
    document,
    platform_system,
    route,
)

WHOLE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(10))


class TestPlainRequests:
    async def test_is_forwarded_as_it_came(self, autojump_clock):
        async with platform_system() as fleet:
            answer = await fleet.ask("/book/x?y=1&z=%20", body=b"slot 7")
            arrival = fleet.ledger.arrivals[0]
            assert answer.status == 200 and answer.is_whole
            assert answer.body.endswith(b"answers r1")
            assert answer.headers["rosemaryknot-instance-signature"]
            assert arrival.request.target == "/book/x?y=1&z=%20"
            assert arrival.request.body == b"slot 7"
            assert arrival.request.headers["rosemaryknot-tenant"] == "ada"
            assert "authorization" not in arrival.request.headers
            assert (
                1900 < int(arrival.request.headers["rosemaryknot-deadline-ms"]) < 2001
            )

    async def test_headers_that_are_ours_to_set(self, autojump_clock):
        """A caller sends headers that reserve memory and name another customer.

        Passed on, they would let it hold what others need and run under a name that
        is not its own; the server sees none of them.
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
            answer = await fleet.ask("/stock/x", method="GET", **forged)
            headers = fleet.ledger.arrivals[0].request.headers
            assert answer.status == 200
            assert headers["rosemaryknot-tenant"] == "ada"
            assert headers["rosemaryknot-expect-instance"].startswith("p")
            for name in list(forged)[1:7]:
                assert name.lower() not in headers

    async def test_refusals_of_our_own(self, autojump_clock):
        async with platform_system() as fleet:
            assert (await fleet.ask("/none/x")).status == 404
            wrong = await fleet.ask("/book/x", Authorization="Bearer wrong")
            assert wrong.status == 401
            assert (await fleet.ask("/book/x", body=b"x" * 70000)).status == 413
            large = await fleet.ask("/book/x", X="y" * 5000)
            assert large.status == 431
            assert not fleet.ledger.arrivals

    async def test_large_body_within_the_bound(self, autojump_clock):
        """A caller sends a body that is larger than the bound on headers.

        The bound counted all bytes that had come with the head, and a request that
        came in one piece was refused with 431 for the size of its body.
        """
        async with platform_system() as fleet:
            assert (await fleet.ask("/book/x", body=b"x" * 30000)).status == 200

    async def test_smuggled_request(self, autojump_clock):
        """A caller sends a request with a length and with chunks.

        Servers that take the length would read what the chunks end with as a request
        of its own; it is refused before anything is passed on.
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
        """A node starts while the store is away, and a caller asks.

        It knows no route; a 404 would say that there is none, so it answers 503.
        """
        async with platform_system(nodes=0) as fleet:
            fleet.store.faults.begin("busy")
            await fleet.add_node(0)
            answer = await fleet.ask("/book/x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) < 1


class TestRunsOnce:
    """What may run once runs once, and what says "not run" has not."""

    async def test_lost_answer_is_not_repeated(self, autojump_clock):
        """A server runs a booking and its connection is reset before the answer.

        Nobody can tell whether it ran, so it is sent nowhere else, and the caller
        gets a 502, which promises nothing.
        """
        async with platform_system() as fleet:
            for server in fleet.servers.values():
                server.faults.append("reset")
            answer = await fleet.ask("/book/x")
            assert answer.status == 502
            assert fleet.ledger.runs_of("r1") == 1

    async def test_full_server_is_a_promise(self, autojump_clock):
        """All servers refuse a booking as full; the route allows one attempt.

        The caller gets 503 and when to come back, and the request has run nowhere.
        """
        async with platform_system() as fleet:
            for server in fleet.servers.values():
                server.faults.append("shed")
            answer = await fleet.ask("/book/x")
            assert answer.status == 503
            assert 0 < float(answer.headers["retry-after"]) < 1
            assert fleet.ledger.runs_of("r1") == 0

    async def test_silent_server(self, autojump_clock):
        """A server runs a booking and never answers.

        At the end of the caller's time the answer is 504: it may have run. A 503
        would be a false promise.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("mute")
            answer = await fleet.ask("/book/x")
            assert answer.status == 504
            assert 1.9 < answer.took_s < 2.3

    async def test_answer_at_the_last_moment(self, autojump_clock):
        """A server answers just as the caller's time ends.

        The time cut the delivery off, and the caller saw a closed connection though
        its answer was there; it is delivered.
        """
        async with platform_system(plain=1) as fleet:
            for work_s in (1.9990, 1.9995, 1.9999, 2.0):
                fleet.servers["p0"].work_s = work_s
                answer = await fleet.ask("/book/x", request_id=f"t{work_s}")
                assert answer.is_whole
                assert answer.status in (200, 504)

    async def test_what_may_repeat_is_tried_elsewhere(self, autojump_clock):
        async with platform_system() as fleet:
            for fault in ("reset", "error", "rubbish", "cut_body", "unframed_reset"):
                for server in fleet.servers.values():
                    server.faults.clear()
                fleet.servers["p0"].faults.append(fault)
                fleet.servers["p1"].faults.append("")
                await trio.sleep(5)
                answer = await fleet.ask("/stock/x", method="GET", request_id=fault)
                assert (answer.status, answer.is_whole) == (200, True), fault
                assert answer.body.endswith(fault.encode())

    async def test_slow_server(self, autojump_clock):
        """A server takes a question and says nothing, while another one is sound.

        Waited for to the end, the caller would get nothing; a question may run twice,
        so after twice the wanted time it goes to the other one.
        """
        async with platform_system() as fleet:
            fleet.servers["p0"].is_mute = True
            for number in range(4):
                answer = await fleet.ask(
                    "/stock/x", method="GET", request_id=f"s{number}"
                )
                assert answer.status == 200
                assert answer.took_s < 0.6

    async def test_address_of_another_server(self, autojump_clock):
        """A server is gone and another one has its address.

        It answers 421 to a request that names the first one; the request goes to a
        sound server and the address gets no more of them.
        """
        async with platform_system() as fleet:
            fleet.servers["p0"].id = "someone-else"
            for number in range(6):
                answer = await fleet.ask(
                    "/stock/x", method="GET", request_id=f"a{number}"
                )
                assert answer.status == 200
            refused = [a for a in fleet.ledger.arrivals if a.ended == "refused"]
            assert len(refused) <= 1


class TestAnswersAreOnesOwn:
    async def test_second_answer(self, autojump_clock):
        """A server sends an answer twice on a connection that is kept.

        The next request on it would get the answer of the one before; the bytes that
        lie unread show, and the connection is not used again.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("extra")
            for number in range(3):
                answer = await fleet.ask(
                    "/stock/x", method="GET", request_id=f"e{number}"
                )
                assert answer.body == f"p0 answers e{number}".encode()

    async def test_second_answer_that_comes_late(self, autojump_clock):
        """The second answer comes when the next request has just gone out.

        It lies where that request's answer is due; its id tells that it belongs to
        another one, and the right one behind it is read.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("late_extra")
            for number in range(3):
                answer = await fleet.ask(
                    "/stock/x", method="GET", request_id=f"l{number}"
                )
                assert answer.body == f"p0 answers l{number}".encode()

    async def test_answer_without_length(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("unframed")
            answer = await fleet.ask("/book/x")
            assert (answer.status, answer.is_whole) == (200, True)

    async def test_unsigned_success(self, autojump_clock):
        """Something answers 200 without the server's signature.

        Passed on, the caller would take a stranger's bytes for its answer.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("unsigned")
            assert (await fleet.ask("/book/x")).status == 502

    async def test_servers_failure_is_passed_on(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("error")
            answer = await fleet.ask("/book/x")
            assert answer.status == 500
            assert answer.headers["rosemaryknot-instance-signature"] == "p0.sig"
            assert answer.body == b"failed"


class TestStreams:
    async def test_whole_stream(self, autojump_clock):
        async with platform_system() as fleet:
            answer = await fleet.ask("/plan/x", **MODEL_HEADERS)
            assert (answer.status, answer.is_whole) == (200, True)
            assert answer.body == WHOLE_STREAM

    async def test_resumed_behind_the_last_whole_event(self, autojump_clock):
        """A server breaks a resumable stream off in the middle of its third event.

        The torn event is not passed on; the stream goes on at another server behind
        the second one, and the caller sees one whole stream.
        """
        async with platform_system() as fleet:
            fleet.servers["m0"].faults.append("cut_event")
            fleet.servers["m1"].faults.append("")
            await fleet.ask("/ask/x", request_id="first", **MODEL_HEADERS)
            fleet.servers["m1"].faults.append("cut_event")
            answer = await fleet.ask("/ask/x", request_id="second", **MODEL_HEADERS)
            assert (answer.status, answer.is_whole) == (200, True)
            assert answer.body == WHOLE_STREAM
            resumed = [
                a.request.headers["last-event-id"]
                for a in fleet.ledger.arrivals
                if "last-event-id" in a.request.headers
            ]
            assert set(resumed) == {"1"}

    async def test_broken_stream_looks_broken(self, autojump_clock):
        """A server breaks a stream off that may not be resumed.

        The caller gets the whole events and then a closed connection without the last
        chunk, so that it cannot take the beginning for all.
        """
        async with platform_system(models=1) as fleet:
            fleet.servers["m0"].faults.append("cut_event")
            answer = await fleet.ask("/plan/x", **MODEL_HEADERS)
            assert answer.status == 200 and not answer.is_whole
            assert answer.body == WHOLE_STREAM[: len(answer.body)]
            assert answer.body.endswith(b"\n\n")
            assert fleet.ledger.runs_of("r1") == 1

    async def test_not_resumed_as_a_failure(self, autojump_clock):
        """A stream has begun, and the server that should go on fails.

        A status cannot follow a stream's beginning: the connection is closed.
        """
        async with platform_system() as fleet:
            queue = deque(["cut_event", "error"])
            fleet.servers["m0"].faults = fleet.servers["m1"].faults = queue
            answer = await fleet.ask("/ask/x", **MODEL_HEADERS)
            assert not queue
            assert answer.status == 200 and not answer.is_whole
            assert answer.body == WHOLE_STREAM[: len(answer.body)]


class TestOverload:
    """Servers have more prompts than they can read in time."""

    @staticmethod
    def configuration():
        config = document()
        config["routes"][0]["priority"] = 1
        config["tenants"][0] |= {"ratePerS": 1000, "burst": 5000}
        return config

    @staticmethod
    def pile_up(fleet, tokens):
        table = fleet.nodes["n0"].state.servers
        table.rate_samples = 100
        now_s = trio.current_time()
        for state in table.by_id.values():
            state.peers["other"] = PeerLoad(20, tokens, now_s)
        return table

    async def test_least_urgent_is_refused_at_once(self, autojump_clock):
        """Two servers are gone in a burst, and prompts pile up at the others.

        A plan would get its first event long after the wanted time and delay all
        behind it. It is refused before it is sent, with the time at which the pile
        is read, and takes nothing of its customer's limit. A question goes through.
        """
        async with platform_system(configuration=self.configuration()) as fleet:
            table = self.pile_up(fleet, round(FIRST_RATE * 0.5))
            answer = await fleet.ask("/plan/x", **MODEL_HEADERS)
            assert answer.status == 503
            assert answer.took_s < 0.1
            assert 0.3 < float(answer.headers["retry-after"]) < 0.8
            assert not fleet.ledger.arrivals
            assert fleet.nodes["n0"].quota.accounts["ada"].taken == 0
            assert (await fleet.ask("/ask/x", **MODEL_HEADERS)).status == 200
            assert table.rate_samples >= 100

    async def test_long_prompt_at_an_idle_server(self, autojump_clock):
        """A plan's own prompt takes longer to read than is wanted; nothing waits.

        Refused as if the servers were full, the longest prompts would never be
        served, at any hour.
        """
        config = self.configuration()
        config["tenants"][0] |= {"ratePerS": 0}
        async with platform_system(configuration=config) as fleet:
            self.pile_up(fleet, 0)
            headers = MODEL_HEADERS | {"Rosemaryknot-Token-Usage": "60000,100"}
            answer = await fleet.ask("/plan/x", **headers)
            assert answer.status == 200

    async def test_hopeless_is_refused_at_once(self, autojump_clock):
        """A question would get its first event after its caller has gone."""
        async with platform_system(configuration=self.configuration()) as fleet:
            self.pile_up(fleet, round(FIRST_RATE * 2.5))
            answer = await fleet.ask("/ask/x", **MODEL_HEADERS)
            assert answer.status == 503 and answer.took_s < 0.1

    async def test_unknown_rate_refuses_nothing(self, autojump_clock):
        """Nobody has measured yet how fast the servers read.

        Taken for slow ones, fast servers would idle beside refused callers.
        """
        async with platform_system(configuration=self.configuration()) as fleet:
            self.pile_up(fleet, round(FIRST_RATE * 2.5)).rate_samples = 0
            assert (await fleet.ask("/plan/x", **MODEL_HEADERS)).status == 200


class TestCallersWhoLeave:
    async def test_waiting_caller(self, autojump_clock):
        """A caller closes its connection while it waits for a first byte.

        Nothing is sent to it, so only a read shows it. Its server must not go on
        working for nobody: its connection is closed at once.
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

    async def test_while_it_uploads(self, autojump_clock):
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

    async def test_kept_connection(self, autojump_clock):
        async with platform_system(plain=1) as fleet:
            caller = await fleet.caller().open()
            for number in range(3):
                await caller.send("/stock/x", method="GET", request_id=f"k{number}")
                answer = await caller.receive()
                assert answer.body.endswith(f"k{number}".encode())
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
            answer = await fleet.ask("/a/b/c", Authorization=None)
            assert answer.status == 200
            for _ in range(5):
                assert (await fleet.ask("/a/c")).status == 200
