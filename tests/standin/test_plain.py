"""Tests of the stand-in plain service."""

import httpx
import pytest
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.standin.plain import PlainStandIn, count_runs
from rosemaryknot.values.nodes import Address

CALLER = "10.0.0.1"
ADDRESS = Address("10.0.0.2", 80)
URL = f"http://{ADDRESS}"


@pytest.fixture
async def bench(nursery):
    network = MemoryNetwork(CALLER)
    plain = PlainStandIn(clock=trio.current_time)
    await nursery.start(plain.serve, network.with_host(ADDRESS.host), ADDRESS)
    async with http_client(network, 2.0) as client:
        yield client, plain


async def book(client, id):
    headers = {"Rosemaryknot-Request": id, "Idempotency-Key": f"key-{id}"}
    return await client.post(f"{URL}/bookings", json={"slot": 7}, headers=headers)


class TestPlainStandIn:
    async def test_ledger(self, bench, autojump_clock):
        client, plain = bench
        assert (await book(client, "b1")).json()["id"] == "b1"
        assert (await client.get(f"{URL}/stock/post-6x6")).json()["in_stock"] >= 0
        run = plain.runs[0]
        assert (run.id, run.key, run.path) == ("b1", "key-b1", "/bookings")
        assert count_runs(plain.runs)["key-b1"] == 1
        assert (await client.get(f"{URL}/runs/b1")).json()["runs"] == 1
        assert (await client.get(f"{URL}/runs/b2")).json()["runs"] == 0
        plain.settings.has_status_call = False
        assert (await client.get(f"{URL}/runs/b1")).status_code == 404

    @pytest.mark.parametrize(
        ("fault", "error", "ran"),
        [
            ("silent_before", httpx.ReadTimeout, 0),
            ("silent_after", httpx.ReadTimeout, 1),
            ("lose_answer", httpx.TransportError, 1),
            ("die_before", httpx.TransportError, 0),
            ("die_after", httpx.TransportError, 1),
        ],
    )
    async def test_fault_without_answer(self, bench, autojump_clock, fault, error, ran):
        """The caller gets no answer; the ledger alone tells whether the call ran."""
        client, plain = bench
        plain.apply_faults({"fault": fault, "path": "/bookings"})
        with pytest.raises(error):
            await book(client, "b1")
        assert len(plain.runs) == ran

    async def test_refuse_and_late(self, bench, autojump_clock):
        client, plain = bench
        await client.post(f"{URL}/test/faults", json={"fault": "refuse"})
        assert (await book(client, "b1")).status_code == 503
        assert plain.runs == []
        plain.apply_faults({"fault": "late", "late_s": 1.5})
        start = trio.current_time()
        assert (await book(client, "b1")).status_code == 200
        assert trio.current_time() - start > 1.5
        assert plain.runs[0].time_unix_s - start < 0.1

    async def test_freeze(self, bench, autojump_clock):
        client, plain = bench
        plain.apply_faults({"freeze_s": 5.0})
        await trio.sleep(0.1)
        with pytest.raises(httpx.TimeoutException):
            await book(client, "b1")
        await trio.sleep(5.0)
        assert (await book(client, "b2")).status_code == 200
