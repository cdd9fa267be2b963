"""Tests of what gateways believe: configuration, servers, the store, duties, stops."""

import trio

from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.standin.users.contact import CONTACT_S
from rosemaryknot.standin.users.system import (
    MODEL_HEADERS,
    PLAIN,
    STORE,
    document,
    platform_system,
    route,
)
from rosemaryknot.values.platform import ObjectChanged
from rosemaryknot.values.store_changes import Changes


def with_stock(version, prefix):
    """Return a configuration whose only route is under a prefix."""
    return document(version, routes=[route("stock", prefix, "idempotent", PLAIN)])


def is_hub(node):
    """Tell whether a node watches the store for others."""
    return node.exchange.hubs.is_hub()


class TestConfiguration:
    async def test_change_is_in_force_soon(self, autojump_clock):
        async with platform_system(nodes=3) as fleet:
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(0.2)
            for name in fleet.nodes:
                assert (await fleet.ask("/new/x", name, method="GET")).status == 200
                assert (await fleet.ask("/stock/x", name, method="GET")).status == 404

    async def test_never_goes_back(self, autojump_clock):
        """A node lists again and the store answers with an older version.

        Taken over, it would bring routes and keys back that operators have removed.
        """
        async with platform_system() as fleet:
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(0.2)
            fleet.store.put("config", "main", with_stock(3, "/old/"))
            fleet.store.forget_history()
            await trio.sleep(6)
            assert fleet.nodes["n0"].state.version == 7
            assert (await fleet.ask("/old/x", method="GET")).status == 404

    async def test_key_is_taken_away(self, autojump_clock):
        async with platform_system() as fleet:
            tenants = [{"name": "ada", "apiKeys": ["other"], "ratePerS": 0}]
            fleet.store.put("config", "main", document(2, tenants=tenants))
            await trio.sleep(0.2)
            assert (await fleet.ask("/book/x")).status == 401

    async def test_unusable_document_is_left_alone(self, autojump_clock):
        async with platform_system() as fleet:
            fleet.store.put("config", "main", {"version": 9, "routes": [{}]})
            await trio.sleep(0.2)
            assert fleet.nodes["n0"].state.version == 1
            assert (await fleet.ask("/book/x")).status == 200

    async def test_history_is_gone(self, autojump_clock):
        async with platform_system() as fleet:
            fleet.store.faults.begin("silent")
            await trio.sleep(1)
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            fleet.store.forget_history()
            fleet.store.faults.end()
            await trio.sleep(10)
            assert fleet.nodes["n0"].state.version == 7

    async def test_watch_lost_in_an_outage(self, autojump_clock):
        """The store is silent for two seconds and then there again; a change follows.

        The watches of all nodes were swallowed without a sign and would be waited for
        to their end. One node's other call meets the outage, finds the store again
        and tells; the others ask at once and have the change within two seconds.
        """
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            await trio.sleep(5)
            fleet.store.faults.begin("silent")
            await trio.sleep(2.5)
            fleet.store.faults.end()
            await trio.sleep(0.5)
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(2.5)
            versions = {node.state.version for node in fleet.nodes.values()}
            assert versions == {7}

    async def test_own_watch_lost_in_an_outage(self, autojump_clock):
        """Guards against a node that trusts its watch after its own calls failed."""
        async with platform_system(nodes=1, duties=["usage"]) as fleet:
            await trio.sleep(5)
            fleet.store.faults.begin("silent")
            await trio.sleep(0.7)
            fleet.store.faults.end()
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(CONTACT_S)
            assert fleet.nodes["n0"].state.version == 7

    async def test_outage_after_one_node_has_met_others(self, autojump_clock):
        """Guards against a node whose earlier outages hide one that all nodes meet."""
        async with platform_system(nodes=30, duties=["usage"]) as fleet:
            nodes = fleet.nodes.values()
            await trio.sleep(5)
            watching = next(n for n in nodes if not n.lease.is_held() and is_hub(n))
            for _ in range(3):
                fleet.network.cut(STORE.host, watching.settings.listen.callers.host)
                await trio.sleep(4)
                fleet.network.heal(STORE.host, watching.settings.listen.callers.host)
                await trio.sleep(4)
            fleet.store.faults.begin("silent")
            await trio.sleep(0.7)
            fleet.store.faults.end()
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(CONTACT_S)
            assert {node.state.version for node in nodes} == {7}

    async def test_cut_off_from_the_store(self, autojump_clock):
        """The store refuses one node and serves the others; a key is taken away.

        The others know, and pass it on to the one that says it has lost the store.
        """
        async with platform_system(nodes=3) as fleet:
            fleet.store.faults.begin("busy", "10.2.0.2")
            await trio.sleep(6)
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            fleet.store.put(
                "servers", "p0", fleet.servers["p0"].entry | {"state": "draining"}
            )
            await trio.sleep(2)
            state = fleet.nodes["n1"].state
            assert state.version == 7
            assert state.servers.by_id["p0"].has_drained


class TestServers:
    async def test_draining_server_gets_no_new_work(self, autojump_clock):
        async with platform_system() as fleet:
            entry = fleet.servers["p0"].entry | {"state": "draining"}
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(0.1)
            for number in range(5):
                await fleet.ask("/stock/x", method="GET", request_id=f"d{number}")
            assert not fleet.servers["p0"].arrivals
            # An older read must not bring it back.
            fleet.store.put("servers", "p0", fleet.servers["p0"].entry)
            await trio.sleep(0.1)
            await fleet.ask("/stock/x", method="GET")
            assert not fleet.servers["p0"].arrivals

    async def test_lapsed_entry_comes_back(self, autojump_clock):
        """All entries lapse in an outage, while a request is in flight at a server.

        They are written again a second later. The server with the request stayed
        marked as leaving for good, and its service had no server any more.
        """
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].work_s = 1.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.ask, "/book/long")
                await trio.sleep(0.2)
                fleet.store.remove("servers", "p0")
                await trio.sleep(0.3)
                fleet.store.put("servers", "p0", fleet.servers["p0"].entry)
            await trio.sleep(3)
            answer = await fleet.ask("/book/x", request_id="r3")
            assert answer.status == 200

    async def test_missing_entry_is_heeded_in_time(self, autojump_clock):
        """An entry goes without a word of leaving, and the server was the only one.

        It may have lapsed and is used for a while; well before work has to have
        stopped there, requests are refused. A task that ran twice a second let some
        through up to half a second later.
        """
        bounds = Bounds(drain_ms=2000)
        async with platform_system(plain=1, bounds=bounds) as fleet:
            gone_s = trio.current_time()
            fleet.store.remove("servers", "p0")
            while trio.current_time() < gone_s + 4:
                await fleet.ask("/stock/x", method="GET")
                await trio.sleep(0.02)
            last_s = max(a.at_s for a in fleet.ledger.arrivals)
            assert 1.0 < last_s - gone_s < 1.8

    async def test_work_goes_around_a_silent_server(self, autojump_clock):
        """A model server goes dark with streams on it.

        It accepts connections still; new streams sent there would wait for nothing.
        After a second without a byte it gets no more of them.
        """
        async with platform_system() as fleet:
            fleet.servers["m0"].is_mute = True
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(
                        lambda n=number: fleet.ask(
                            "/plan/x", request_id=f"w{n}", **MODEL_HEADERS
                        )
                    )
                await trio.sleep(1.3)
                before = len(fleet.servers["m0"].arrivals)
                for number in range(5):
                    answer = await fleet.ask(
                        "/plan/x", request_id=f"v{number}", **MODEL_HEADERS
                    )
                    assert answer.is_whole
                assert len(fleet.servers["m0"].arrivals) == before

    async def test_same_parts_go_to_the_same_server(self, autojump_clock):
        async with platform_system(nodes=2, models=4) as fleet:
            for number in range(6):
                await fleet.ask(
                    "/plan/x",
                    f"n{number % 2}",
                    request_id=f"s{number}",
                    **MODEL_HEADERS,
                )
                await trio.sleep(0.5)
            used = [s.id for s in fleet.servers.values() if s.is_model and s.arrivals]
            assert len(used) == 1


class TestPlannedStop:
    async def test_what_was_read_is_answered(self, autojump_clock):
        """A node is stopped while a stream runs and a kept connection is idle.

        It says at once that it is not ready, the stream ends whole, and the idle
        connection is closed unread so that its caller goes elsewhere.
        """
        async with platform_system() as fleet:
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.25
            idle = await fleet.caller().open()
            await idle.send("/stock/x", method="GET", request_id="idle")
            assert (await idle.receive()).status == 200
            async with trio.open_nursery() as nursery:
                answers = []

                async def stream():
                    answers.append(
                        await fleet.ask(
                            "/plan/x",
                            request_id="long",
                            Rosemaryknot_Deadline_Ms="9000",
                            **MODEL_HEADERS,
                        )
                    )

                nursery.start_soon(stream)
                await trio.sleep(0.1)
                fleet.stops["n0"].set()
                await trio.sleep(0.1)
                assert not fleet.nodes["n0"].is_ready()
                late = await fleet.ask("/stock/x", method="GET", request_id="late")
                assert late.status == 200
                assert late.headers["connection"] == "close"
                await trio.sleep(3)
                assert await idle.stream.receive_some(10) == b""
            assert answers[0].is_whole or answers[0].status == 504

    async def test_long_stream_is_refused_late(self, autojump_clock):
        """Callers come to a node that has been stopping for seconds.

        Most of its zone's nodes are away, so the balancer still sends them there. A
        stream of two seconds would be cut at the end of the grace; it is refused, and
        a short question is still answered.
        """
        slow = document()
        slow["routes"][0]["timeoutMs"] = 9000
        async with platform_system(configuration=slow) as fleet:
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.2
            for number in range(30):
                await fleet.ask("/plan/x", request_id=f"f{number}", **MODEL_HEADERS)
                await fleet.ask("/stock/x", method="GET", request_id=f"g{number}")
            hold = await fleet.caller().open()
            await hold.send(
                "/plan/x",
                request_id="hold",
                Rosemaryknot_Token_Usage="10,170",
                Rosemaryknot_Deadline_Ms="9000",
            )
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(6.2)
            late = await fleet.ask("/plan/x", request_id="late", **MODEL_HEADERS)
            assert late.status == 503
            assert (await fleet.ask("/stock/x", method="GET")).status == 200

    async def test_longer_stream_than_most_is_refused_late(self, autojump_clock):
        """A node has been stopping for four seconds, and a stream comes.

        Most streams of its route take a second; this one has five times the tokens.
        By the route's mean it was taken, and cut at the end of the grace.
        """
        slow = document()
        slow["routes"][0]["timeoutMs"] = 9000
        async with platform_system(configuration=slow) as fleet:
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.1
            for number in range(30):
                await fleet.ask("/plan/x", request_id=f"f{number}", **MODEL_HEADERS)
            hold = await fleet.caller().open()
            long = {
                "Rosemaryknot_Token_Usage": "10,250",
                "Rosemaryknot_Deadline_Ms": "9000",
            }
            await hold.send("/plan/x", request_id="hold", **long)
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4)
            late = await fleet.ask("/plan/x", request_id="late", **long)
            assert late.status == 503

    async def test_stream_as_slow_as_the_slowest_is_refused_late(self, autojump_clock):
        """A burst slowed some streams to a third; a node stops, and a stream comes.

        By the mean of all and its deviation it would end in time, and as slow as the
        slowest of late it was cut at the end of the grace.
        """
        slow = document()
        slow["routes"][0]["timeoutMs"] = 9000
        async with platform_system(configuration=slow) as fleet:
            durations = fleet.nodes["n0"].gateway.durations
            for number in range(80):
                pace = 0.04 if number % 20 == 10 else 0.013
                durations.note("plan", 100 * pace, 100)
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.1
            hold = await fleet.caller().open()
            await hold.send(
                "/plan/x",
                request_id="hold",
                Rosemaryknot_Token_Usage="10,250",
                Rosemaryknot_Deadline_Ms="9000",
            )
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4.0)
            usage = {"Rosemaryknot-Token-Usage": "10,100"}
            late = await fleet.ask(
                "/plan/x", request_id="late", **MODEL_HEADERS | usage
            )
            assert late.status == 503


class TestDuties:
    async def test_usage_by_windows(self, autojump_clock):
        """Requests through all nodes are told once a window by one of them."""
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            await trio.sleep(5)
            for number in range(60):
                await fleet.ask(
                    "/stock/x", f"n{number % 3}", method="GET", request_id=f"u{number}"
                )
                await trio.sleep(0.1)
            await trio.sleep(10)
            assert not fleet.cloud.doubled
            assert sum(c.get("ada", 0) for c in fleet.cloud.usage.values()) == 60
            assert len({c.holder for c in fleet.cloud.calls}) == 1

    async def test_lost_answer_and_a_new_holder(self, autojump_clock):
        """The answer to a report of usage is lost and the holder is killed.

        The next holder cannot know whether it was taken. Its own counts may differ,
        and a second report with others would be a breach; it sends what the first
        one left in the store.
        """
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            await trio.sleep(6)
            for number in range(20):
                await fleet.ask(
                    "/stock/x", f"n{number % 3}", method="GET", request_id=f"u{number}"
                )
            fleet.cloud.faults.lose_calls = 3
            calls = len(fleet.cloud.calls)
            while len(fleet.cloud.calls) == calls:
                await trio.sleep(0.05)
            holder = fleet.cloud.calls[-1].holder
            fleet.kill(holder)
            await trio.sleep(30)
            assert not fleet.cloud.doubled
            windows = sorted(fleet.cloud.usage)
            assert windows == list(range(windows[0], windows[-1] + 1))
            fences = [c.fencing for c in fleet.cloud.calls if c.status == 200]
            assert fences == sorted(fences)

    async def test_all_nodes_killed(self, autojump_clock):
        """All nodes are killed just after a window has ended and before it is told.

        What they told each other is gone with them; the counts that went out with the
        lease's renewals are not.
        """
        async with platform_system(nodes=2, duties=["usage"]) as fleet:
            await trio.sleep(6)
            for number in range(20):
                await fleet.ask("/stock/x", method="GET", request_id=f"k{number}")
            await trio.sleep(1.5)
            for name in list(fleet.nodes):
                fleet.kill(name)
            await trio.sleep(1)
            for number in range(2):
                await fleet.add_node(number, is_first_start=False, duties=["usage"])
            await trio.sleep(20)
            assert sum(c.get("ada", 0) for c in fleet.cloud.usage.values()) == 20
            assert not fleet.cloud.doubled


class TestFewNodesWatch:
    """A deployment of fifteen nodes, of which three watch the store."""

    async def test_changes_reach_all_nodes(self, autojump_clock):
        """A route is added and a server says that it leaves.

        Three nodes are told by the store and tell the others, who make no call.
        """
        async with platform_system(nodes=15) as fleet:
            await trio.sleep(12)
            calls = len(fleet.store.calls)
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            entry = fleet.servers["p0"].entry | {"state": "draining"}
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(0.2)
            for node in fleet.nodes.values():
                assert node.state.version == 7
                assert node.state.servers.by_id["p0"].has_drained
            assert len(fleet.store.calls) - calls <= 12

    async def test_watching_nodes_are_turned_away(self, autojump_clock):
        """The store turns the nodes away that watch it; then a key is taken away.

        They say so, and the others watch for themselves within two seconds.
        """
        async with platform_system(nodes=15) as fleet:
            await trio.sleep(8)
            for name in fleet.nodes["n0"].spread.watching():
                fleet.store.faults.begin("busy", f"10.2.0.{int(name[1:]) + 1}")
            await trio.sleep(7)
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(2)
            assert {n.state.version for n in fleet.nodes.values()} == {7}

    async def test_told_behind_a_gap_while_the_store_is_silent(self, autojump_clock):
        """Guards against work for a server whose leaving was told behind a gap."""
        async with platform_system(nodes=1) as fleet:
            node = fleet.nodes["n0"]
            fleet.store.faults.begin("silent")
            follower = node.followers["servers"]
            missed = follower.revision + 1
            value = fleet.servers["p0"].entry | {"state": "draining"}
            told = Changes(missed + 1, [ObjectChanged("p0", missed + 1, value)])
            follower.take_told(missed, told)
            assert node.state.servers.by_id["p0"].has_drained
            assert follower.revision < missed

    async def test_deletion_that_was_told_stays(self, autojump_clock):
        """A node asks the store while it is told that a server is gone.

        The answer was made before and still holds the server's entry; taken over, it
        would bring the server back.
        """
        async with platform_system(nodes=1) as fleet:
            follower = fleet.nodes["n0"].followers["servers"]
            before = follower.revision
            value = fleet.servers["p0"].entry | {"state": "draining"}
            put = ObjectChanged("p0", before + 1, value)
            gone = ObjectChanged("p0", before + 2, None, deleted=True)
            follower.take_told(before, Changes(before + 2, [put, gone]))
            follower.take_changes(Changes(before + 1, [put]))
            assert "p0" not in fleet.nodes["n0"].state.entries
