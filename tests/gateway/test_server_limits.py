"""Tests of servers that state a rate limit for all gateways together."""

import itertools
import random
from collections import Counter
from contextlib import suppress
from types import SimpleNamespace

import pytest
import trio

from rosemaryknot.standin.users.limit_windows import (
    CONTACT_S,
    allowed_requests,
    limited_periods,
    most_in_window,
)
from rosemaryknot.standin.users.system import (
    MODEL,
    MODEL_HEADERS,
    PLAIN,
    document,
    platform_system,
    route,
)
from rosemaryknot.values.server_limits import ServerLimitNotice

OK = 200
REFUSED = 503
SOON_S = 0.1
# Longest wait of a request whose caller waits for two seconds, with the last reply.
MAX_WAIT_S = 1.0
# Load on a service, in requests per second: several times what a limited server takes.
LOAD_PER_S = 24.0


async def request_stock(fleet, request_id, node="n0"):
    return await fleet.ask("/stock/x", node, request_id=request_id, body=b"b")


async def send_load(fleet, for_s, path="/stock/x", per_s=LOAD_PER_S, nodes=None):
    """Send requests at random nodes and times; return the responses."""
    rng = random.Random(1)
    answers = []
    headers = MODEL_HEADERS if path.startswith(("/ask", "/plan")) else {}

    async def send(number):
        node = rng.choice(nodes or list(fleet.nodes))
        with suppress(OSError, trio.BrokenResourceError):
            answer = await fleet.ask(path, node, request_id=f"l{number}", **headers)
            answers.append(answer)

    end_s = trio.current_time() + for_s
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            await trio.sleep(rng.expovariate(per_s))
            nursery.start_soon(send, number)
            number += 1
    return answers


def arrival_times(fleet, server):
    return [a.timestamp_s for a in fleet.ledger.arrivals if a.server == server]


def exceeded_periods(fleet):
    """Return the servers that got more than they stated, with the number."""
    exceeded = []
    for period in limited_periods(fleet.ledger.statements):
        times = arrival_times(fleet, period.server.partition("/")[0])
        most = most_in_window(times, period.started_s + CONTACT_S, period.ended_s)
        if most > allowed_requests(period.rate):
            exceeded.append((period.server, period.rate, most))
    return exceeded


class TestRate:
    """A server that states a limit gets no more than that from all nodes together."""

    @pytest.mark.parametrize("nodes", [1, 3, 6, 30])
    @pytest.mark.parametrize(
        ("path", "server"), [("/stock/x", "p0"), ("/book/x", "p0"), ("/ask/x", "m0")]
    )
    async def test_over_all_nodes(self, autojump_clock, nodes, path, server):
        async with platform_system(nodes=nodes, plain=3, models=3) as fleet:
            fleet.servers[server].limit = "1.8"
            answers = await send_load(fleet, 16.0, path)
            assert not exceeded_periods(fleet)
            assert Counter(a.status for a in answers) == {OK: len(answers)}


class TestUse:
    """The limit is used, and nothing that servers can take is refused."""

    @pytest.mark.parametrize("nodes", [3, 6, 30])
    async def test_most_of_the_limit_is_used(self, autojump_clock, nodes):
        async with platform_system(nodes=nodes, plain=3) as fleet:
            fleet.servers["p0"].limit = "2"
            await send_load(fleet, 16.0)
            end_s = trio.current_time()
            used = [t for t in arrival_times(fleet, "p0") if t > end_s - 12]
            assert len(used) >= 0.75 * 2 * 12

    async def test_all_servers_are_limited(self, autojump_clock):
        """The rest is refused at once, and told when there is room for it."""
        async with platform_system(nodes=3, plain=3) as fleet:
            for server in ("p0", "p1", "p2"):
                fleet.servers[server].limit = "2"
            await send_load(fleet, 3.0)
            answers = await send_load(fleet, 16.0)
            assert not exceeded_periods(fleet)
            statuses = Counter(a.status for a in answers)
            assert statuses[OK] >= 0.75 * 3 * 2 * 16
            assert statuses[OK] + statuses[REFUSED] == len(answers)
            refused = [a for a in answers if a.status == REFUSED]
            assert all(float(a.headers["retry-after"]) > 0.1 for a in refused)
            assert sum(a.took_s < SOON_S for a in refused) > 0.8 * len(refused)
            assert max(a.took_s for a in refused) < MAX_WAIT_S

    async def test_waits_if_there_is_no_other_server(self, autojump_clock):
        async with platform_system(nodes=3, plain=1) as fleet:
            fleet.servers["p0"].limit = "2"
            await request_stock(fleet, "first")
            await trio.sleep(2)
            answers = []

            async def ask(number):
                answer = await request_stock(fleet, f"w{number}", f"n{number}")
                answers.append(answer)

            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(ask, number)
            assert [a.status for a in answers] == [OK] * 3
            assert max(a.took_s for a in answers) > SOON_S

    async def test_limited_servers_do_not_count_as_failed(self, autojump_clock):
        """A request that finds the limit just before it is sent is no failure."""
        async with platform_system(nodes=2, plain=2) as fleet:
            fleet.servers["p0"].limit = "2"
            await send_load(fleet, 8.0, per_s=80.0)
            tables = [node.state.servers for node in fleet.nodes.values()]
            assert {table.by_id["p0"].failures for table in tables} == {0}

    async def test_other_server_has_failed(self, autojump_clock):
        """A server that failed is tried before a request is refused for limits."""
        async with platform_system(nodes=1, plain=2) as fleet:
            fleet.servers["p0"].limit = "0.2"
            await send_load(fleet, 2.0)
            state = fleet.nodes["n0"].state.servers.by_id["p1"]
            fleet.nodes["n0"].state.servers.record_failure(state, "test")
            answers = [await request_stock(fleet, f"r{n}") for n in range(3)]
            assert [answer.status for answer in answers] == [OK] * 3

    async def test_limit_of_zero_is_lifted(self, autojump_clock):
        """A server that takes nothing still shows when it takes requests again."""
        async with platform_system(nodes=3, plain=2) as fleet:
            fleet.servers["p0"].limit = "0"
            await send_load(fleet, 20.0)
            times = arrival_times(fleet, "p0")
            assert most_in_window(times, times[0] + CONTACT_S, times[-1]) <= 5
            fleet.servers["p0"].limit = None
            await send_load(fleet, 25.0)
            end_s = trio.current_time()
            assert len([t for t in arrival_times(fleet, "p0") if t > end_s - 5]) > 30

    async def test_prompts_are_recorded_once(self, autojump_clock):
        """A request that asks several limited servers is one prompt of the mix."""
        async with platform_system(nodes=1, models=3) as fleet:
            for server in ("m0", "m1", "m2"):
                fleet.servers[server].limit = "2"
            recorded = []
            mix = SimpleNamespace(
                long_share=0.0, record=lambda tokens, is_long: recorded.append(tokens)
            )
            fleet.nodes["n0"].state.servers.mixes[MODEL] = mix
            answers = await send_load(fleet, 8.0, "/ask/x")
            assert len(recorded) == len(answers)

    async def test_urgent_requests_first(self, autojump_clock):
        """Requests of a higher priority get the permits that others wait for."""
        urgent = route("urgent", "/urgent/", "idempotent", PLAIN)
        routes = [urgent, route("stock", "/stock/", "idempotent", PLAIN, priority=5)]
        configuration = document(routes=routes)
        async with platform_system(
            nodes=3, plain=1, configuration=configuration
        ) as fleet:
            fleet.servers["p0"].limit = "4"
            statuses = {"/urgent/x": Counter(), "/stock/x": Counter()}

            async def send(path, per_s):
                answers = await send_load(fleet, 12.0, path, per_s)
                statuses[path].update(a.status for a in answers)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, "/urgent/x", 2.0)
                nursery.start_soon(send, "/stock/x", 12.0)
            served = {path: s[OK] / s.total() for path, s in statuses.items()}
            assert served["/urgent/x"] > 0.8 > 0.5 > served["/stock/x"]


class TestEnd:
    """A limit ends when the server no longer states it, and not before."""

    async def test_server_gets_its_share_again(self, autojump_clock):
        async with platform_system(nodes=3, plain=2) as fleet:
            fleet.servers["p0"].limit = "2"
            await send_load(fleet, 8.0)
            fleet.servers["p0"].limit = None
            await send_load(fleet, 10.0)
            end_s = trio.current_time()
            recent = [t for t in arrival_times(fleet, "p0") if t > end_s - 4]
            assert len(recent) > 0.3 * 4 * LOAD_PER_S

    async def test_long_streams(self, autojump_clock):
        """The first event of a stream shows that the server has no limit any more."""
        async with platform_system(nodes=3, models=2) as fleet:
            for server in fleet.servers.values():
                server.work_s = 0.18
            fleet.servers["m0"].limit = "1"
            await send_load(fleet, 8.0, "/ask/x", 10.0)
            fleet.servers["m0"].limit = None
            ended_s = trio.current_time()
            await send_load(fleet, 8.0, "/ask/x", 10.0)
            assert not any(node.server_limits.limited for node in fleet.nodes.values())
            times = [t for t in arrival_times(fleet, "m0") if t > ended_s]
            assert len([t for t in times if t < ended_s + 6]) > 3 * 6

    async def test_restarted_server_has_no_limit(self, autojump_clock):
        async with platform_system(nodes=3, plain=2) as fleet:
            fleet.servers["p0"].limit = "2"
            await send_load(fleet, 6.0)
            await fleet.restart_server("p0")
            await send_load(fleet, 6.0)
            end_s = trio.current_time()
            recent = [t for t in arrival_times(fleet, "p0") if t > end_s - 4]
            assert len(recent) > 0.3 * 4 * LOAD_PER_S

    @pytest.mark.parametrize("limits", [("2", None), ("2", "8"), ("2", "rubbish")])
    async def test_every_other_response_differs(self, autojump_clock, limits):
        """A server flaps between two statements; the lower limit holds."""
        async with platform_system(nodes=3, plain=2) as fleet:
            server = fleet.servers["p0"]
            statements = itertools.cycle(limits)

            def limit_headers():
                limit = next(statements)
                return {} if limit is None else {"Server-Limit": limit}

            server.limit_headers = limit_headers
            await send_load(fleet, 20.0)
            times = arrival_times(fleet, "p0")
            most = most_in_window(times, times[0] + CONTACT_S, times[-1])
            assert most <= allowed_requests(2)

    async def test_late_response_does_not_restore_it(self, autojump_clock):
        """A stream that began under the limit gets its head after the limit ended."""
        async with platform_system(nodes=2, models=2) as fleet:
            node = fleet.nodes["n0"]
            server = node.state.servers.by_id["m0"].incarnation_key
            guard = node.gateway.components.limits
            guard.record_statement(server, 0, None, 2.0)
            sent_version = node.server_limits.version(server)
            lifted = node.server_limits.begin(server, None, sent_version, 0.0)
            guard.publish(lifted)
            guard.record_statement(server, sent_version, None, 2.0)
            await trio.sleep(1)
            assert not any(n.server_limits.limited for n in fleet.nodes.values())

    async def test_late_response_does_not_lift_it(self, autojump_clock):
        """A response to a request that was sent before the limit was stated."""
        async with platform_system(nodes=2, plain=2) as fleet:
            node = fleet.nodes["n0"]
            server = node.state.servers.by_id["p0"].incarnation_key
            guard = node.gateway.components.limits
            guard.record_statement(server, 0, None, 2.0)
            guard.record_statement(server, 0, None, None)
            await trio.sleep(1)
            assert all(server in n.server_limits.limited for n in fleet.nodes.values())


class TestFaults:
    """The limit holds while nodes come, go, freeze and lose each other."""

    async def owner_of(self, fleet, server):
        node = next(iter(fleet.nodes.values()))
        key = node.state.servers.by_id[server].incarnation_key
        return node.permit_owner.owner(key)

    async def test_owner_is_killed(self, autojump_clock):
        async with platform_system(nodes=4, plain=3) as fleet:
            fleet.servers["p0"].limit = "2"
            await send_load(fleet, 6.0)
            owner = await self.owner_of(fleet, "p0")
            others = [name for name in fleet.nodes if name != owner]
            fleet.kill(owner)
            answers = await send_load(fleet, 12.0, nodes=others)
            assert not exceeded_periods(fleet)
            assert Counter(a.status for a in answers)[OK] == len(answers)
            end_s = trio.current_time()
            assert [t for t in arrival_times(fleet, "p0") if t > end_s - 4]

    async def test_owners_restart_again_and_again(self, autojump_clock):
        async with platform_system(nodes=4, plain=3) as fleet:
            fleet.servers["p0"].limit = "2"

            async def restart():
                for _ in range(5):
                    await trio.sleep(2)
                    owner = await self.owner_of(fleet, "p0")
                    fleet.kill(owner)
                    await trio.sleep(1)
                    await fleet.add_node(int(owner[1:]), is_first_start=False)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(restart)
                await send_load(fleet, 16.0, nodes=["n0", "n1", "n2", "n3"])
            assert not exceeded_periods(fleet)

    @pytest.mark.parametrize("sides", [(3, 3), (5, 1), (2, 2, 2)])
    async def test_partition(self, autojump_clock, sides):
        """Each side has an owner of its own and uses its share of the limit."""
        async with platform_system(nodes=6, plain=3) as fleet:
            fleet.servers["p0"].limit = "4"
            await send_load(fleet, 5.0)
            hosts = [f"10.2.0.{number + 1}" for number in range(6)]
            groups, rest = [], hosts
            for count in sides:
                groups.append(rest[:count])
                rest = rest[count:]
            for one, other in itertools.permutations(groups, 2):
                for first, second in itertools.product(one, other):
                    fleet.network.cut(first, second)
            await send_load(fleet, 15.0, per_s=60.0)
            end_s = trio.current_time()
            recent = [t for t in arrival_times(fleet, "p0") if t > end_s - 10]
            assert most_in_window(recent, end_s - 10, end_s) <= 1.1 * 4 * 4 + 5
            assert len(recent) > 0.5 * 4 * 10

    async def test_owner_is_cut_off_from_one_node(self, autojump_clock):
        async with platform_system(nodes=4, plain=2) as fleet:
            fleet.servers["p0"].limit = "2"
            await send_load(fleet, 5.0)
            owner = await self.owner_of(fleet, "p0")
            other = next(name for name in fleet.nodes if name != owner)
            hosts = [f"10.2.0.{int(name[1:]) + 1}" for name in (owner, other)]
            fleet.network.cut(*hosts)
            fleet.network.cut(*hosts[::-1])
            answers = await send_load(fleet, 12.0, nodes=[other])
            assert not exceeded_periods(fleet)
            assert Counter(a.status for a in answers)[OK] == len(answers)

    async def test_new_node_learns_of_it(self, autojump_clock):
        async with platform_system(nodes=2, plain=2) as fleet:
            fleet.servers["p0"].limit = "2"
            await send_load(fleet, 4.0)
            node = await fleet.add_node(2, is_first_start=False)
            await trio.sleep(1)
            assert len(node.server_limits.limited) == 1

    async def test_calm_system_sends_nothing(self, autojump_clock):
        async with platform_system(nodes=3, plain=2) as fleet:
            await send_load(fleet, 5.0)
            kinds = set()
            for node in fleet.nodes.values():
                kinds |= set(node.peers.traffic.sent)
            assert kinds and not {k for k in kinds if k.startswith("server_")}

    async def test_changing_limit_is_told_to_the_owner_only(self, autojump_clock):
        """The server states another number in each response."""
        async with platform_system(nodes=4, plain=2) as fleet:
            server = fleet.servers["p0"]
            numbers = itertools.count()
            server.limit_headers = lambda: {
                "Server-Limit": f"{2 + next(numbers) % 7 / 100:.2f}"
            }
            await send_load(fleet, 15.0)
            sent = [node.peers.traffic.sent for node in fleet.nodes.values()]
            notices = [
                s["server_limit_notice"] for s in sent if "server_limit_notice" in s
            ]
            assert sum(count.messages for count in notices) <= 4 * 3


class TestBadInput:
    @pytest.mark.parametrize("limit", ["-1", "nan", "inf", "", "1e9", "none"])
    async def test_invalid_limit_is_ignored(self, autojump_clock, limit):
        async with platform_system(nodes=2, plain=2) as fleet:
            fleet.servers["p0"].limit = limit
            answers = await send_load(fleet, 4.0)
            assert {a.status for a in answers} == {OK}
            assert not fleet.nodes["n0"].server_limits.limited

    @pytest.mark.parametrize("fault", ["unsigned", "shed", "reset", "cut_body"])
    async def test_failed_response_does_not_lift_it(self, autojump_clock, fault):
        async with platform_system(nodes=2, plain=2) as fleet:
            server = fleet.servers["p0"]
            server.limit = "2"
            await send_load(fleet, 4.0)
            server.limit = None
            server.faults.extend([fault] * 100)
            await send_load(fleet, 8.0)
            assert fleet.nodes["n0"].server_limits.limited

    async def test_malformed_notice(self, autojump_clock):
        async with platform_system(nodes=2, plain=2) as fleet:
            records = [["x"], None, ["y", 1, 0, float("nan")], [1, 2, 3, -7], []]
            notice = ServerLimitNotice(records)
            await fleet.nodes["n0"].peers.broadcast(notice)
            await trio.sleep(1)
            assert not fleet.nodes["n1"].server_limits.by_server
            assert (await request_stock(fleet, "r", "n1")).status == OK


class TestLogs:
    """An operator sees which server stated which limit, in which response."""

    async def test_changes_are_logged(self, autojump_clock, info_lines):
        async with platform_system(plain=1) as fleet:
            for number, limit in enumerate(("5", "5", "4.5", "-1", None)):
                fleet.servers["p0"].limit = limit
                await request_stock(fleet, f"r{number}")
                await trio.sleep(1)
        lines = [x for x in info_lines if x["event"] == "server stated a rate limit"]
        stated = [(line["request"], line["limit"], line["before"]) for line in lines]
        assert stated[:2] == [("r0", 5.0, None), ("r2", 4.5, 5.0)]
        assert [request for request, _, _ in stated[2:]] == ["r3", "r4"]
