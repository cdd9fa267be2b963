"""Tests of gateways' state: configuration, servers, the store, duties and shutdown.

A duty is a task that only the holder of a lease performs.
"""

import trio

from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.standin.users.disturbances import RECOVERY_S
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
    """Return whether a node watches the store for others."""
    return node.exchange.hubs.is_hub()


class TestConfiguration:
    async def test_change_is_applied_soon(self, autojump_clock):
        async with platform_system(nodes=3) as fleet:
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(0.2)
            for name in fleet.nodes:
                assert (await fleet.ask("/new/x", name, method="GET")).status == 200
                assert (await fleet.ask("/stock/x", name, method="GET")).status == 404

    async def test_older_version_is_ignored(self, autojump_clock):
        """A node lists again and the store responds with an older version.

        Applying it would restore routes and keys that operators have removed.
        """
        async with platform_system() as fleet:
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(0.2)
            fleet.store.put("config", "main", with_stock(3, "/old/"))
            fleet.store.forget_history()
            await trio.sleep(6)
            assert fleet.nodes["n0"].state.version == 7
            assert (await fleet.ask("/old/x", method="GET")).status == 404

    async def test_key_is_removed(self, autojump_clock):
        async with platform_system() as fleet:
            tenants = [{"name": "ada", "apiKeys": ["other"], "ratePerS": 0}]
            fleet.store.put("config", "main", document(2, tenants=tenants))
            await trio.sleep(0.2)
            assert (await fleet.ask("/book/x")).status == 401

    async def test_invalid_document_is_ignored(self, autojump_clock):
        async with platform_system() as fleet:
            fleet.store.put("config", "main", {"version": 9, "routes": [{}]})
            await trio.sleep(0.2)
            assert fleet.nodes["n0"].state.version == 1
            assert (await fleet.ask("/book/x")).status == 200

    async def test_history_is_truncated(self, autojump_clock):
        async with platform_system() as fleet:
            fleet.store.faults.begin("silent")
            await trio.sleep(1)
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            fleet.store.forget_history()
            fleet.store.faults.end()
            await trio.sleep(10)
            assert fleet.nodes["n0"].state.version == 7

    async def test_watch_lost_in_an_outage(self, autojump_clock):
        """The store is silent for two seconds and then reachable; a change follows.

        The watches of all nodes were dropped without an error, and nodes would wait for
        them until their timeout. Another call of one node fails in the outage, later
        reaches the store again, and the node reports this. The others query the store
        immediately and apply the change within two seconds.
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
            await trio.sleep(RECOVERY_S)
            assert fleet.nodes["n0"].state.version == 7

    async def test_outage_after_earlier_outages_of_one_node(self, autojump_clock):
        """Guards against earlier outages of a node that hide one of all nodes."""
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
            await trio.sleep(RECOVERY_S)
            assert {node.state.version for node in nodes} == {7}

    async def test_store_unreachable_for_one_node(self, autojump_clock):
        """The store refuses one node and serves the others; a route is replaced.

        The others receive the change and send it to the node that reports the store as
        unreachable.
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
            assert state.servers.by_id["p0"].has_announced_drain


class TestServers:
    async def test_draining_server_gets_no_new_work(self, autojump_clock):
        async with platform_system() as fleet:
            entry = fleet.servers["p0"].entry | {"state": "draining"}
            fleet.store.put("servers", "p0", entry)
            await trio.sleep(0.1)
            for number in range(5):
                await fleet.ask("/stock/x", method="GET", request_id=f"d{number}")
            assert not fleet.servers["p0"].arrivals
            # An outdated read must not restore it.
            fleet.store.put("servers", "p0", fleet.servers["p0"].entry)
            await trio.sleep(0.1)
            await fleet.ask("/stock/x", method="GET")
            assert not fleet.servers["p0"].arrivals

    async def test_expired_entry_is_restored(self, autojump_clock):
        """All entries expire in an outage while a request is in flight at a server.

        They are written again a second later. The server with the request remained
        marked as draining permanently, and its service had no server left.
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
            response = await fleet.ask("/book/x", request_id="r3")
            assert response.status == 200

    async def test_missing_entry_takes_effect_in_time(self, autojump_clock):
        """The entry of the only server is removed without being marked as draining.

        The entry may have expired, so the server is used for some time. Requests are
        refused well before work at the server must have stopped. A task that ran twice
        a second admitted requests up to half a second too late.
        """
        bounds = Bounds(drain_ms=2000)
        async with platform_system(plain=1, bounds=bounds) as fleet:
            removed_s = trio.current_time()
            fleet.store.remove("servers", "p0")
            while trio.current_time() < removed_s + 4:
                await fleet.ask("/stock/x", method="GET")
                await trio.sleep(0.02)
            last_s = max(a.timestamp_s for a in fleet.ledger.arrivals)
            assert 1.0 < last_s - removed_s < 1.8

    async def test_silent_server_gets_no_new_streams(self, autojump_clock):
        """A model server stops sending data on its streams.

        It still accepts connections, but new streams sent to it would wait in vain.
        After a second without a byte, it receives no more streams.
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
                    response = await fleet.ask(
                        "/plan/x", request_id=f"v{number}", **MODEL_HEADERS
                    )
                    assert response.is_whole
                assert len(fleet.servers["m0"].arrivals) == before

    async def test_same_segments_use_the_same_server(self, autojump_clock):
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


class TestGracefulShutdown:
    async def test_received_requests_are_served(self, autojump_clock):
        """A node is stopped while a stream runs and a keep-alive connection is idle.

        It immediately reports that it is not ready, the stream completes, and the idle
        connection is closed without reading from it, so that its caller uses another
        node.
        """
        async with platform_system() as fleet:
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.25
            idle = await fleet.caller().open()
            await idle.send("/stock/x", method="GET", request_id="idle")
            assert (await idle.receive()).status == 200
            async with trio.open_nursery() as nursery:
                responses = []

                async def stream():
                    responses.append(
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
            assert responses[0].is_whole or responses[0].status == 504

    async def test_long_stream_is_refused_late(self, autojump_clock):
        """Requests arrive at a node that has been shutting down for seconds.

        Most nodes of its zone are unavailable, so the load balancer still uses this
        node. A stream of two seconds would be aborted at the end of the grace period;
        it is refused, and a short request is still served.
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

    async def test_stream_longer_than_most_is_refused_late(self, autojump_clock):
        """A stream arrives at a node that has been shutting down for four seconds.

        Most streams of its route take a second; this one has five times the tokens.
        When judged by the route's mean duration, it was accepted and then aborted at
        the end of the grace period.
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
        """A burst slowed some streams to a third; a stream arrives during shutdown.

        According to the mean and deviation of all streams it would end in time. At the
        pace of the slowest recent streams it was aborted at the end of the grace
        period.
        """
        slow = document()
        slow["routes"][0]["timeoutMs"] = 9000
        async with platform_system(configuration=slow) as fleet:
            durations = fleet.nodes["n0"].gateway.durations
            for number in range(80):
                pace = 0.04 if number % 20 == 10 else 0.013
                durations.record("plan", 100 * pace, 100)
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
        """Requests through all nodes are reported once per window by one node."""
        async with platform_system(nodes=3, duties=["usage"]) as fleet:
            await trio.sleep(5)
            for number in range(60):
                await fleet.ask(
                    "/stock/x", f"n{number % 3}", method="GET", request_id=f"u{number}"
                )
                await trio.sleep(0.1)
            await trio.sleep(10)
            assert not fleet.cloud.conflicting_windows
            assert sum(c.get("ada", 0) for c in fleet.cloud.usage.values()) == 60
            assert len({c.holder for c in fleet.cloud.calls}) == 1

    async def test_lost_response_and_a_new_holder(self, autojump_clock):
        """The response to a usage report is lost and the lease holder is killed.

        The next holder cannot know whether the report was accepted. Its own counts may
        differ, and a second report with different counts would be a violation. It sends
        the counts that the first holder recorded in the store.
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
            assert not fleet.cloud.conflicting_windows
            windows = sorted(fleet.cloud.usage)
            assert windows == list(range(windows[0], windows[-1] + 1))
            fencing_tokens = [c.fencing for c in fleet.cloud.calls if c.status == 200]
            assert fencing_tokens == sorted(fencing_tokens)

    async def test_all_nodes_killed(self, autojump_clock):
        """All nodes are killed after a window has ended and before it is reported.

        The counts that they reported to each other are lost; the counts written to the
        store with the renewals of the lease are not.
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
            assert not fleet.cloud.conflicting_windows


class TestFewNodesWatch:
    """A deployment of fifteen nodes, of which three watch the store."""

    async def test_changes_reach_all_nodes(self, autojump_clock):
        """A route is added and a server announces that it drains.

        Three nodes receive the changes from the store and send them to the others,
        which make no call.
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
                assert node.state.servers.by_id["p0"].has_announced_drain
            assert len(fleet.store.calls) - calls <= 12

    async def test_watching_nodes_are_refused(self, autojump_clock):
        """The store refuses the nodes that watch it; then a route is replaced.

        The nodes report that, and the others open their own watches within two seconds.
        """
        async with platform_system(nodes=15) as fleet:
            await trio.sleep(8)
            for name in fleet.nodes["n0"].change_distributor.watching():
                fleet.store.faults.begin("busy", f"10.2.0.{int(name[1:]) + 1}")
            await trio.sleep(7)
            fleet.store.put("config", "main", with_stock(7, "/new/"))
            await trio.sleep(2)
            assert {n.state.version for n in fleet.nodes.values()} == {7}

    async def test_peer_change_after_a_gap_while_the_store_is_silent(
        self, autojump_clock
    ):
        """Guards against work for a server whose draining is received after a gap."""
        async with platform_system(nodes=1) as fleet:
            node = fleet.nodes["n0"]
            fleet.store.faults.begin("silent")
            watcher = node.watchers["servers"]
            missed = watcher.revision + 1
            value = fleet.servers["p0"].entry | {"state": "draining"}
            message = Changes(missed + 1, [ObjectChanged("p0", missed + 1, value)])
            watcher.apply_forwarded(missed, message)
            assert node.state.servers.by_id["p0"].has_announced_drain
            assert watcher.revision < missed

    async def test_deletion_from_a_peer_persists(self, autojump_clock):
        """A node queries the store while a peer reports that a server is removed.

        The response was created earlier and still contains the server's entry; applying
        it would restore the server.
        """
        async with platform_system(nodes=1) as fleet:
            watcher = fleet.nodes["n0"].watchers["servers"]
            before = watcher.revision
            value = fleet.servers["p0"].entry | {"state": "draining"}
            put = ObjectChanged("p0", before + 1, value)
            removed = ObjectChanged("p0", before + 2, None, deleted=True)
            watcher.apply_forwarded(before, Changes(before + 2, [put, removed]))
            watcher.apply_store_changes(Changes(before + 1, [put]))
            assert "p0" not in fleet.nodes["n0"].state.entries
