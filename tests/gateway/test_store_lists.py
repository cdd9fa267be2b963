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
