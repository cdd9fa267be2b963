"""Tests of lists of the store that have several pages."""

import pytest
import trio

from rosemaryknot.process.leases import KIND as LEASES
from rosemaryknot.standin.users.system import PLAIN, platform_system

SERVERS = {"p0", "p1", "p2", "m0", "m1"}
MODEL_REQUEST = {
    "Rosemaryknot_Model": "m",
    "Rosemaryknot_Token_Usage": "1000,50",
    "Rosemaryknot_Prefix_Hash": "aa:400,bb:300,cc:300",
}
# Names that a URL does not carry as they are, and names that mean something else there.
NAMES = {
    "usual": "n-1",
    "ampersand": "n&b",
    "parameter": "n&watch=1",
    "revision": "n&sinceRevision=z",
    "fragment": "n#b",
    "plus": "n+b",
    "percent": "n%",
    "escape of a later name": "p%7E",
    "escape of a name that comes later than models": "m%7Ez",
    "escape of an earlier name": "p1%00",
    "ends in a plus": "m0+",
    "blank": "n b",
    "newline": "n\nb",
    "carriage return": "n\rb",
    "tab": "n\tb",
    "nul": "n\x00b",
    "delete": "n\x7fb",
    "umlaut": "n\u00e4",
    "emoji": "n\U0001f600",
    "surrogate": "n\ud800",
    "slash": "n/b",
    "quote": 'n"b',
    "empty": "",
    "long": "n" * 2000,
    "very long": "n" * 105_000,
}
# Time from the start of a node to its first complete list, and of a change to its
# effect.
START_S, CHANGE_S = 4.0, 3.0
# Calls of a node beside its lists in such a time: leases, era checks and watches.
OTHER_CALLS = 30


def known(fleet):
    """Return the servers that each node knows."""
    return {name: set(n.state.servers.by_id) for name, n in fleet.nodes.items()}


async def restart_all(fleet):
    """Kill all nodes and start them again."""
    for name in fleet.nodes:
        fleet.kill(name)
    await trio.sleep(0.5)
    for number in range(len(fleet.nodes)):
        await fleet.add_node(number, is_first_start=False)


async def ask_all(fleet):
    """Ask each node for a plain and a model response; return the statuses."""
    statuses = []
    for name in fleet.nodes:
        plain = await fleet.ask("/stock/x", name, method="GET", request_id=f"s-{name}")
        model = await fleet.ask("/ask/x", name, request_id=f"m-{name}", **MODEL_REQUEST)
        statuses += [plain.status, model.status]
    return statuses


def max_calls(fleet, kinds, page_size):
    """Return how many calls lists of some kinds may take, with all others."""
    count = sum(len(fleet.store.objects[kind]) for kind in kinds)
    # A name that cannot continue a list costs at most the page once more.
    return len(fleet.nodes) * (2 * (count // page_size + 1) + OTHER_CALLS)


@pytest.mark.parametrize("page_size", [1, 3])
@pytest.mark.parametrize("name", NAMES.values(), ids=NAMES)
class TestNamesOfOtherWriters:
    async def test_all_nodes_restart(self, autojump_clock, name, page_size):
        """Guards against a foreign name that ends or cuts the list of servers."""
        async with platform_system(nodes=3, plain=3) as fleet:
            fleet.store.page_size = page_size
            fleet.store.put("servers", name, {"state": "resting"})
            before = len(fleet.store.calls)
            await restart_all(fleet)
            await trio.sleep(START_S)
            assert known(fleet) == dict.fromkeys(fleet.nodes, SERVERS)
            calls = len(fleet.store.calls) - before
            assert calls <= max_calls(fleet, ("servers", "config"), page_size)
            assert await ask_all(fleet) == [200] * 6

    async def test_history_expires(self, autojump_clock, name, page_size):
        """Guards against a server that joins and stays unknown beside such a name."""
        async with platform_system(nodes=3, plain=3) as fleet:
            fleet.store.page_size = page_size
            fleet.store.put("servers", name, {"state": "resting"})
            await trio.sleep(1.0)
            before = len(fleet.store.calls)
            await fleet.add_server("p9", PLAIN)
            fleet.store.forget_history()
            await trio.sleep(CHANGE_S)
            assert known(fleet) == dict.fromkeys(fleet.nodes, SERVERS | {"p9"})
            calls = len(fleet.store.calls) - before
            assert calls <= max_calls(fleet, ("servers", "config"), page_size)

    async def test_among_configurations(self, autojump_clock, name, page_size):
        """Guards against a foreign name that hides the configuration after it."""
        async with platform_system(nodes=3, plain=3) as fleet:
            fleet.store.page_size = page_size
            fleet.store.put("config", f"a{name}", {"version": "none"})
            fleet.store.put(LEASES, f"a{name}", {"holder": 7})
            before = len(fleet.store.calls)
            await restart_all(fleet)
            await trio.sleep(START_S)
            calls = len(fleet.store.calls) - before
            assert calls <= max_calls(fleet, ("servers", "config"), page_size)
            assert await ask_all(fleet) == [200] * 6


# Time after which a system that has returned serves again, as its users' rule states.
RECOVERY_S = 12.0
PAGES = 12


@pytest.fixture
async def paged_fleet(autojump_clock):
    """Return a system whose servers fill several pages of one object each."""
    async with platform_system(nodes=3, plain=PAGES // 2, models=PAGES // 2) as fleet:
        fleet.store.page_size = 1
        yield fleet


class TestStoreInTrouble:
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("mode", ["busy", "many", "reset"])
    async def test_calls_are_refused_while_nodes_start(self, paged_fleet, mode, seed):
        """Guards against a list that begins anew with each refused call."""
        store = paged_fleet.store
        store.faults.rng.seed(seed)
        store.faults.begin(mode, share=0.5)
        before = len(store.calls)
        await restart_all(paged_fleet)
        await trio.sleep(RECOVERY_S)
        expected = dict.fromkeys(paged_fleet.nodes, set(paged_fleet.servers))
        assert known(paged_fleet) == expected
        # Each page takes two calls on average.
        calls = len(store.calls) - before
        assert calls <= 2 * max_calls(paged_fleet, ("servers", "config"), 1)
        assert await ask_all(paged_fleet) == [200] * 6

    async def test_slow_store(self, paged_fleet):
        """Guards against a start that uses no server until it knows all of them."""
        paged_fleet.store.response_delay_s = 1.5
        await restart_all(paged_fleet)
        await trio.sleep(RECOVERY_S)
        assert await ask_all(paged_fleet) == [200] * 6

    async def test_page_that_is_never_answered(self, paged_fleet):
        """Guards against one page that costs the servers of all others."""
        paged_fleet.store.failing_targets = ("sinceRevision=p1",)
        await restart_all(paged_fleet)
        await trio.sleep(RECOVERY_S)
        servers = set(paged_fleet.servers) - {"p2", "p3", "p4", "p5"}
        assert known(paged_fleet) == dict.fromkeys(paged_fleet.nodes, servers)
        assert await ask_all(paged_fleet) == [200] * 6
        paged_fleet.store.failing_targets = ()
        await trio.sleep(2.0)
        assert known(paged_fleet)["n0"] == set(paged_fleet.servers)

    async def test_time_of_a_list(self, paged_fleet, info_lines):
        """Guards against a line that counts the time between two lists."""
        await trio.sleep(5.0)
        info_lines.clear()
        await paged_fleet.nodes["n0"].watchers["servers"].list_all()
        listed = [x for x in info_lines if x["event"] == "listed objects"]
        assert [(x["pages"], x["took_s"] < 1.0) for x in listed] == [(PAGES, True)]

    async def test_incomplete_list_removes_no_server(self, paged_fleet):
        """Guards against servers that are missing from a part of a list only."""
        everyone = set(paged_fleet.servers)
        paged_fleet.store.failing_targets = ("sinceRevision=p1",)
        await paged_fleet.add_server("m9", PLAIN)
        paged_fleet.store.forget_history()
        await trio.sleep(RECOVERY_S)
        expected = dict.fromkeys(paged_fleet.nodes, everyone | {"m9"})
        assert known(paged_fleet) == expected

    @pytest.mark.parametrize("era", [None, 1])
    async def test_offer_during_a_list(self, autojump_clock, era):
        """Guards against a list whose first pages are lost as another node helps."""
        async with platform_system(nodes=0, plain=6, models=6) as fleet:
            fleet.store.page_size, fleet.store.era = 1, era
            for number in range(2):
                await fleet.add_node(number)
            await trio.sleep(1.0)
            fleet.store.response_delay_s = 0.1
            node = await fleet.add_node(2, is_first_start=False)
            seen = set()
            for _ in range(80):
                await trio.sleep(0.1)
                servers = node.state.servers.by_id
                available = {name for name, s in servers.items() if not s.is_missing}
                assert seen <= available
                seen = available
            assert seen == set(fleet.servers)
