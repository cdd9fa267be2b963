"""Tests of requests that crash each server that runs them."""

from collections import Counter
from functools import partial

import pytest
import trio

from rosemaryknot.process.crash_store import KIND, RELEASE_CHECK_INTERVAL_S
from rosemaryknot.standin.users.response_ends import EndPlace, EndWay, ResponseEnd
from rosemaryknot.standin.users.servers import CRASHING_BODY
from rosemaryknot.standin.users.system import (
    CRASH_DOWN_S,
    MODEL,
    MODEL_HEADERS,
    document,
    platform_system,
)
from rosemaryknot.values.gateway_peers import CrashNotice

OK = 200
REFUSED = 503
BAD_GATEWAY = 502
MAX_CRASHES = 3
# Time in which all nodes that are in contact have to know of the last crash.
NOTICE_S = 3.0
# How long a node takes to have links to others after its start.
JOIN_S = 0.3
# Runs that are tolerated after that time.
MAX_LATE_RUNS = 3
SOON_S = 0.2
POPULAR = b"popular"


async def request_stock(fleet, request_id, node="n0", body=b"b"):
    return await fleet.ask("/stock/x", node, request_id=request_id, body=body)


async def request_stream(fleet, request_id, node="n0", body=CRASHING_BODY, **headers):
    headers = MODEL_HEADERS | headers
    return await fleet.ask("/ask/x", node, request_id=request_id, body=body, **headers)


async def crash_servers(fleet, nodes=("n0",)):
    """Repeat the request until three servers have crashed, and wait until it is known.

    The first request ends at two servers, the second one at a third.
    """
    await request_stream(fleet, "first", nodes[0])
    await request_stream(fleet, "second", nodes[-1])
    assert len(crash_times(fleet)) == MAX_CRASHES
    await trio.sleep(SOON_S)


async def restart_nodes(fleet, down_s=1.0):
    """Kill all nodes at the same time, as a loss of power does, and restart them."""
    names = list(fleet.nodes)
    for name in names:
        fleet.kill(name)
    await trio.sleep(down_s)
    for name in names:
        await fleet.add_node(int(name[1:]), is_first_start=False)
    await trio.sleep(2)


def crash_times(fleet):
    return sorted(
        arrival.crashed_s
        for arrival in fleet.ledger.arrivals
        if arrival.crashed_s is not None
    )


def late_runs(fleet):
    """Return how often a server ran the request after all nodes had to know of it."""
    notice_s = crash_times(fleet)[MAX_CRASHES - 1] + NOTICE_S
    return sum(
        arrival.timestamp_s > notice_s and arrival.request.body == CRASHING_BODY
        for arrival in fleet.ledger.arrivals
    )


class TestRepeats:
    """A request that has crashed three servers is not sent to more and more servers."""

    async def test_callers_repeat_it_at_any_node(self, autojump_clock):
        async with platform_system(nodes=3, models=4) as fleet:
            for number in range(40):
                await request_stream(fleet, f"c{number}", f"n{number % 3}")
                await trio.sleep(0.5)
            assert late_runs(fleet) <= MAX_LATE_RUNS
            assert len(crash_times(fleet)) == MAX_CRASHES

    @pytest.mark.parametrize("restarts", [False, True])
    async def test_one_trial_for_all_time(self, autojump_clock, restarts):
        async with platform_system(nodes=3, models=4) as fleet:
            for round_number in range(3):
                for number in range(80):
                    request_id = f"c{round_number}-{number}"
                    await request_stream(fleet, request_id, f"n{number % 3}")
                    await trio.sleep(0.5)
                if restarts:
                    await restart_nodes(fleet)
            assert len(crash_times(fleet)) == MAX_CRASHES + 1

    async def test_refused_at_once_with_a_time(self, autojump_clock):
        async with platform_system(nodes=3, models=4) as fleet:
            await crash_servers(fleet)
            answer = await request_stream(fleet, "third", "n2")
            assert answer.status == REFUSED and answer.took_s < SOON_S
            assert float(answer.headers["retry-after"]) >= RELEASE_CHECK_INTERVAL_S
            assert fleet.ledger.runs_of("third") == 0

    async def test_burst_at_all_nodes(self, autojump_clock):
        """Callers repeat it at all nodes in the same moment, again and again.

        What is running when the third server crashes crashes further ones. Nothing is
        sent after that, but for the one trial that crashes in the same moment allow.
        """
        async with platform_system(nodes=3, models=8) as fleet:
            for burst in range(5):
                async with trio.open_nursery() as nursery:
                    for number in range(9):
                        nursery.start_soon(
                            request_stream, fleet, f"{burst}-{number}", f"n{number % 3}"
                        )
                await trio.sleep(2 * NOTICE_S)
            times = crash_times(fleet)
            assert len(times) >= MAX_CRASHES
            assert sum(crashed_s > times[0] + SOON_S for crashed_s in times) <= 1

    async def test_plain_service(self, autojump_clock):
        async with platform_system(nodes=2, plain=4) as fleet:
            for number in range(20):
                await request_stock(fleet, f"s{number}", f"n{number % 2}", b"crash it")
                await trio.sleep(0.5)
            assert len(crash_times(fleet)) == MAX_CRASHES

    async def test_request_that_must_run_once(self, autojump_clock):
        async with platform_system(nodes=2, plain=4) as fleet:
            statuses = []
            for number in range(6):
                answer = await fleet.ask(
                    "/book/x", f"n{number % 2}", request_id=f"b{number}", body=b"crash"
                )
                statuses.append(answer.status)
                await trio.sleep(SOON_S)
            assert statuses == [BAD_GATEWAY] * 3 + [REFUSED] * 3
            assert all(fleet.ledger.runs_of(f"b{n}") == (n < 3) for n in range(6))

    async def test_caller_leaves_before_the_crash(self, autojump_clock):
        """The attempts of impatient callers are cancelled and see no server crash."""
        async with platform_system(nodes=2, models=6) as fleet:
            for number in range(12):
                patient = partial(request_stream, fleet, f"p{number}", body=POPULAR)
                async with trio.open_nursery() as nursery:
                    for _ in range(6):
                        nursery.start_soon(patient)
                    with trio.move_on_after(0.021):
                        await request_stream(fleet, f"i{number}", f"n{number % 2}")
                await trio.sleep(CRASH_DOWN_S + 1)
            assert late_runs(fleet) <= MAX_LATE_RUNS

    async def test_no_second_attempt_of_a_suspect(self, autojump_clock):
        """A request under which a server has crashed gets one attempt, not two."""
        async with platform_system(nodes=1, models=4) as fleet:
            one_attempt = document(
                2, routes=[r | {"maxAttempts": 1} for r in document()["routes"]]
            )
            fleet.store.put("config", "main", one_attempt)
            await trio.sleep(SOON_S)
            await request_stream(fleet, "first")
            fleet.store.put("config", "main", document(3))
            await trio.sleep(SOON_S)
            await request_stream(fleet, "second")
            assert fleet.ledger.runs_of("second") == 1


class TestOtherRequests:
    """Requests that are not the cause are served, before and after."""

    @pytest.mark.parametrize(
        "other", [{"body": b"another body"}, {"body": b""}, {"path": "/ask/y"}]
    )
    async def test_differs_in_one_part(self, autojump_clock, other):
        async with platform_system(nodes=2, models=6) as fleet:
            await crash_servers(fleet)
            options = {"path": "/ask/x", "body": CRASHING_BODY} | other
            before = len(crash_times(fleet))
            answer = await fleet.ask(
                options.pop("path"), request_id="o", **options, **MODEL_HEADERS
            )
            is_crash = options["body"] == CRASHING_BODY
            assert answer.status == OK
            assert (len(crash_times(fleet)) > before) == is_crash

    async def test_popular_request_on_every_server(self, autojump_clock):
        """One request, often repeated, is running on each server that another crashes.

        It is present at all crashes like their cause, but it also completes.
        """
        async with platform_system(nodes=3, models=6) as fleet:
            answers = []

            async def repeat_popular(node):
                for number in range(120):
                    answer = await request_stream(
                        fleet, f"{node}-{number}", node, POPULAR
                    )
                    answers.append(answer)
                    await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    for node in fleet.nodes:
                        nursery.start_soon(repeat_popular, node)
                for number in range(40):
                    await request_stream(fleet, f"c{number}", f"n{number % 3}")
                    await trio.sleep(0.25)
            assert len(crash_times(fleet)) == MAX_CRASHES
            assert not [a for a in answers if b"crashed" in a.body]
            statuses = Counter(answer.status for answer in answers)
            assert statuses[OK] > 0.9 * statuses.total()

    async def test_rack_takes_all_servers_of_a_popular_request(self, autojump_clock):
        """All servers crash in one moment, so that no attempt is left to complete.

        The request is refused, although it is not the cause, until its trial.
        """
        async with platform_system(nodes=3, models=4) as fleet:
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(
                        request_stream, fleet, f"r{number}", f"n{number % 3}", POPULAR
                    )
                await trio.sleep(0.05)
                for server_id in list(fleet.servers):
                    if fleet.servers[server_id].is_model:
                        nursery.start_soon(fleet.restart_server, server_id, 1.0)
            refused = await request_stream(fleet, "early", "n0", POPULAR)
            assert refused.status == REFUSED
            statuses = []
            for number in range(30):
                answer = await request_stream(
                    fleet, f"l{number}", f"n{number % 3}", POPULAR
                )
                statuses.append(answer.status)
                await trio.sleep(0.5)
            first = statuses.index(OK)
            assert first <= 16
            assert statuses[first:] == [OK] * len(statuses[first:])

    async def test_trial_of_the_cause(self, autojump_clock):
        """Three nodes send it in one moment, as they would a popular request.

        It gets one trial and no second one.
        """
        async with platform_system(nodes=3, models=4) as fleet:
            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(
                        request_stream, fleet, f"a{number}", f"n{number}"
                    )
            crashed = len(crash_times(fleet))
            assert crashed >= MAX_CRASHES
            for number in range(60):
                await request_stream(fleet, f"c{number}", f"n{number % 3}")
                await trio.sleep(0.5)
            assert len(crash_times(fleet)) == crashed + 1

    async def test_refused_although_it_never_ran_before(self, autojump_clock):
        """A new request is running on three servers that another one crashes.

        Nothing but its trial can show that it is not the cause.
        """
        async with platform_system(nodes=2, models=3) as fleet:
            async with trio.open_nursery() as nursery:
                for server in fleet.servers.values():
                    server.work_s = 0.15
                for number in range(3):
                    nursery.start_soon(
                        request_stream, fleet, f"n{number}", "n0", POPULAR
                    )
                await trio.sleep(0.05)
                for number in range(3):
                    nursery.start_soon(fleet.restart_server, f"m{number}", 1.0)
                    await trio.sleep(SOON_S)
            await trio.sleep(1)
            refused = await request_stream(fleet, "early", "n0", POPULAR)
            statuses = []
            for number in range(80):
                answer = await request_stream(
                    fleet, f"l{number}", f"n{number % 2}", POPULAR
                )
                statuses.append(answer.status)
                await trio.sleep(0.5)
            assert refused.status == REFUSED
            assert statuses[-10:] == [OK] * 10

    @pytest.mark.parametrize("fault", ["reset", "cut_event", "rubbish"])
    async def test_connection_closed_by_a_running_server(self, autojump_clock, fault):
        async with platform_system(nodes=2, models=3) as fleet:
            for number in range(4):
                for server in fleet.servers.values():
                    server.faults.append(fault)
                await request_stream(fleet, f"r{number}", body=POPULAR)
                await trio.sleep(NOTICE_S)
                for server in fleet.servers.values():
                    server.faults.clear()
            answer = await request_stream(fleet, "last", body=POPULAR)
            assert answer.status == OK and answer.is_whole

    async def test_servers_that_drain(self, autojump_clock):
        """A stream is cut off by three servers in turn that have announced a drain."""
        async with platform_system(nodes=1, models=1) as fleet:
            for number in range(4):
                server = fleet.servers[f"m{number}"]
                server.work_s = 1.0
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(request_stream, fleet, f"r{number}", "n0", b"x")
                    await trio.sleep(SOON_S)
                    entry = server.entry | {"state": "draining"}
                    fleet.store.put("servers", server.id, entry)
                    await trio.sleep(SOON_S)
                    fleet.scopes[server.id].cancel()
                    fleet.network.kill_host(entry["address"].partition(":")[0])
                    fleet.store.remove("servers", server.id)
                await fleet.add_server(f"m{number + 1}", MODEL)
                await trio.sleep(NOTICE_S)
            assert (await request_stream(fleet, "last", body=b"x")).status == OK


class TestMemory:
    """What the nodes know of a request outlives each of them."""

    async def test_all_nodes_lose_power(self, autojump_clock):
        async with platform_system(nodes=3, models=6) as fleet:
            await crash_servers(fleet)
            await restart_nodes(fleet)
            for name in fleet.nodes:
                answer = await request_stream(fleet, f"after-{name}", name)
                assert answer.status == REFUSED
            assert len(crash_times(fleet)) == MAX_CRASHES

    async def test_store_unreachable_at_the_last_crash(self, autojump_clock):
        """The nodes tell each other, and write the record when the store is back."""
        async with platform_system(nodes=3, models=6) as fleet:
            fleet.store.faults.begin("silent")
            await crash_servers(fleet)
            assert (await request_stream(fleet, "third", "n2")).status == REFUSED
            await trio.sleep(10)
            fleet.store.faults.end()
            await trio.sleep(5)
            await restart_nodes(fleet)
            assert (await request_stream(fleet, "after", "n1")).status == REFUSED

    async def test_one_write_for_each_request(self, autojump_clock):
        async with platform_system(nodes=3, models=6) as fleet:
            await crash_servers(fleet, ["n0", "n1"])
            for number in range(30):
                await request_stream(fleet, f"c{number}", f"n{number % 3}")
                await trio.sleep(1)
            writes = [
                call
                for call in fleet.store.calls
                if KIND in call.path and call.method != "GET"
            ]
            assert len(writes) <= 2

    async def test_one_node_reads_after_a_crash(self, autojump_clock):
        """A read by each node would be most of the calls of a large deployment."""
        async with platform_system(nodes=7, models=6) as fleet:
            await trio.sleep(1)
            before = len([call for call in fleet.store.calls if KIND in call.path])
            for number in range(7):
                await request_stream(fleet, f"c{number}", f"n{number}")
            await trio.sleep(5)
            calls = [call for call in fleet.store.calls if KIND in call.path]
            reads = [call for call in calls[before:] if call.method == "GET"]
            assert len(reads) <= MAX_CRASHES

    async def test_node_joins(self, autojump_clock):
        async with platform_system(nodes=2, models=6) as fleet:
            await crash_servers(fleet)
            await fleet.add_node(2, is_first_start=False)
            await trio.sleep(NOTICE_S)
            assert (await request_stream(fleet, "third", "n2")).status == REFUSED

    async def test_restarted_node_knows_crashes_at_once(self, autojump_clock):
        """A node that starts again must not run what the others refuse."""
        async with platform_system(nodes=3, models=6) as fleet:
            await crash_servers(fleet)
            fleet.kill("n2")
            await fleet.add_node(2, is_first_start=False)
            await trio.sleep(JOIN_S)
            assert (await request_stream(fleet, "third", "n2")).status == REFUSED

    @pytest.mark.parametrize("nodes", [3, 27])
    async def test_completion_at_another_node(self, autojump_clock, nodes):
        """A node refuses a popular request that others have completed before."""
        end = ResponseEnd(EndWay.CRASHED, EndPlace.INSIDE_EVENT)
        async with platform_system(nodes=nodes, models=6) as fleet:
            await trio.sleep(5)
            for name in ("n1", "n2"):
                answer = await request_stream(fleet, f"before-{name}", name, POPULAR)
                assert answer.status == OK and answer.is_whole
            for server in fleet.servers.values():
                if server.is_model:
                    server.faults.append(end.name)
            await request_stream(fleet, "crashed", "n0", POPULAR)
            await trio.sleep(SOON_S)
            for name in ("n0", f"n{nodes - 1}"):
                (record,) = fleet.nodes[name].crash_records.by_digest.values()
                assert len(record.crashes) == 2
                assert record.has_completed

    async def test_restarted_node_completes_a_refused_request(self, autojump_clock):
        """A node that knows no crashes yet completes a request that others refuse."""
        end = ResponseEnd(EndWay.CRASHED, EndPlace.INSIDE_EVENT)
        async with platform_system(nodes=2, models=3) as fleet:
            for server in fleet.servers.values():
                if server.is_model:
                    server.faults.append(end.name)
            await request_stream(fleet, "first", "n0", POPULAR)
            await request_stream(fleet, "second", "n0", POPULAR)
            await trio.sleep(CRASH_DOWN_S + SOON_S)
            assert (await request_stream(fleet, "x", "n0", POPULAR)).status == REFUSED
            fleet.kill("n1")
            await fleet.add_node(1, is_first_start=False)
            answer = await request_stream(fleet, "completed", "n1", POPULAR)
            assert answer.status == OK and answer.is_whole
            assert (await request_stream(fleet, "y", "n0", POPULAR)).status == OK

    async def test_node_that_was_partitioned(self, autojump_clock):
        """A node is cut off from the others, but not from the servers and the store."""
        async with platform_system(nodes=3, models=6) as fleet:
            for number in (1, 2):
                fleet.network.cut("10.2.0.3", f"10.2.0.{number}")
            await trio.sleep(10)
            await crash_servers(fleet, ["n0", "n1"])
            await trio.sleep(30)
            for number in (1, 2):
                fleet.network.heal("10.2.0.3", f"10.2.0.{number}")
            await trio.sleep(NOTICE_S)
            before = len(crash_times(fleet))
            await request_stream(fleet, "third", "n2")
            assert len(crash_times(fleet)) - before <= 1
            await trio.sleep(10)
            assert (await request_stream(fleet, "fourth", "n2")).status == REFUSED

    async def test_operator_releases_it(self, autojump_clock):
        """The object is deleted: the request runs again, at most on three servers."""
        async with platform_system(nodes=3, models=6) as fleet:
            await crash_servers(fleet)
            [name] = fleet.store.objects[KIND]
            fleet.store.remove(KIND, name)
            await trio.sleep(RELEASE_CHECK_INTERVAL_S + 2)
            for number in range(20):
                await request_stream(fleet, f"c{number}", f"n{number % 3}")
                await trio.sleep(0.5)
            assert len(crash_times(fleet)) == 2 * MAX_CRASHES

    async def test_cleared_request_is_not_refused_after_a_restart(self, autojump_clock):
        """A refused request completes in an attempt that was running already."""
        async with platform_system(nodes=3, models=6) as fleet:
            record = {
                "customer": "ada",
                "completed_before": False,
                "tried": False,
                "simultaneous": False,
                "crashes": [{"server": f"g{n}@", "service": MODEL} for n in range(3)],
            }
            async with trio.open_nursery() as nursery:
                for server in fleet.servers.values():
                    server.work_s = 0.1
                nursery.start_soon(request_stream, fleet, "slow", "n0", POPULAR)
                await trio.sleep(SOON_S)
                [context] = fleet.nodes["n0"].gateway.running.values()
                fleet.store.put(KIND, context.identity.digest.hex(), record)
                for node in fleet.nodes.values():
                    await node.crash_store.read()
            await trio.sleep(1)
            assert not fleet.store.objects[KIND]
            await restart_nodes(fleet)
            answer = await request_stream(fleet, "after", body=POPULAR)
            assert answer.status == OK

    async def test_stored_record_of_another_writer(self, autojump_clock, info_lines):
        async with platform_system(nodes=2, models=6) as fleet:
            fleet.store.put(KIND, "no digest", {"customer": 7})
            fleet.store.put(KIND, "ab", ["crashes"])
            await restart_nodes(fleet)
            assert (await request_stream(fleet, "r", body=b"x")).status == OK
            events = [line["event"] for line in info_lines]
            assert "stored crash record left alone" in events


class TestLargeDeployment:
    async def test_all_nodes_know_within_a_second(self, autojump_clock):
        async with platform_system(nodes=30, models=6) as fleet:
            await trio.sleep(4)
            assert fleet.nodes["n0"].exchange.hubs.is_enabled
            await crash_servers(fleet, ["n3", "n29"])
            await trio.sleep(1 - SOON_S)
            for name in fleet.nodes:
                answer = await request_stream(fleet, f"after-{name}", name)
                assert answer.status == REFUSED
            assert len(crash_times(fleet)) == MAX_CRASHES


class TestNotices:
    @pytest.mark.parametrize(
        "notice",
        [
            CrashNotice([["digest"]]),
            CrashNotice(
                [[b"d", b"t", "ada", [["m0@", "writer", "now"]], False, False]]
            ),
            CrashNotice([[b"d", b"t", 7, [], False, False]]),
            CrashNotice([], [[b"d", 5]]),
            CrashNotice([], [5]),
        ],
    )
    async def test_malformed_notice_ends_no_node(self, autojump_clock, notice):
        """It is ignored as a whole, so that no part of it refuses a request."""
        async with platform_system(nodes=2) as fleet:
            await fleet.nodes["n0"].peers.broadcast(notice)
            await trio.sleep(1)
            assert (await request_stock(fleet, "s", "n1")).status == OK
            assert not fleet.nodes["n1"].crash_records.by_digest


class TestLogs:
    """The log identifies a request across its repeats, whose ids differ."""

    async def test_repeats_have_the_same_digest(self, autojump_clock, info_lines):
        async with platform_system(plain=1, nodes=2) as fleet:
            fleet.servers["p0"].faults.extend(["reset"] * 3)
            await request_stock(fleet, "r1", "n0")
            await request_stock(fleet, "r2", "n1")
            await trio.sleep(1)
            await request_stock(fleet, "r3", body=b"other")
            closed = {
                line["request"]: line["request_digest"]
                for line in info_lines
                if line["event"] == "refused" and line.get("closed_by") == ["p0"]
            }
            assert closed["r1"] == closed["r2"] != closed["r3"]

    async def test_server_error_closes_nothing(self, autojump_clock, info_lines):
        async with platform_system(plain=1) as fleet:
            fleet.servers["p0"].faults.append("error")
            assert (await request_stock(fleet, "r1")).status == BAD_GATEWAY
            assert not any("request_digest" in line for line in info_lines)

    async def test_decision_names_crashes_and_age(self, autojump_clock, info_lines):
        async with platform_system(nodes=1, models=4) as fleet:
            await crash_servers(fleet)
            await trio.sleep(1)
            await request_stream(fleet, "third")
            [line] = [
                line
                for line in info_lines
                if line["event"] == "request barred after server crashes"
                and line["request"] == "third"
            ]
            assert (line["crashes"], line["customer"]) == (MAX_CRASHES, "ada")
            assert len(line["servers"]) == MAX_CRASHES
            assert line["last_crash_s"] == pytest.approx(1 + SOON_S, abs=0.1)
