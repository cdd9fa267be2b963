"""Tests of the platform stand-in, seen from outside by plain HTTP."""

import httpx
import pytest
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.standin.platform import PlatformStandIn
from rosemaryknot.values.nodes import Address, BackendServer

ADDRESS = Address("10.0.0.2", 80)
URL = f"http://{ADDRESS}"
CREATE = {"If-None-Match": "*"}


@pytest.fixture
async def bench(nursery):
    network = MemoryNetwork("10.0.0.1")
    platform = PlatformStandIn(trio.current_time)
    for number, reclaimable in ((1, True), (2, False)):
        name = f"waco-a-e{number}"
        address = f"10.0.1.{number}:80"
        platform.add_instance(
            BackendServer(name, "chat", "waco-a", "g1", reclaimable, address)
        )
    await nursery.start(platform.serve, network.with_host(ADDRESS.host), ADDRESS)
    async with http_client(network, 2.0) as client:
        yield client, platform


async def listed_states(client):
    instances = (await client.get(f"{URL}/instances")).json()["instances"]
    return {entry["instance"]: entry["state"] for entry in instances}


async def set_faults(client, **faults):
    response = await client.post(f"{URL}/test/faults", json=faults)
    return response.status_code


class TestObjects:
    async def test_conditions(self, bench, autojump_clock):
        client, platform = bench
        url = f"{URL}/objects/shard/a"
        assert (await client.put(url, json=1, headers=CREATE)).json() == {"version": 1}
        refused = await client.put(url, json=2, headers=CREATE)
        assert (refused.status_code, refused.json()) == (412, {"version": 1})
        assert (await client.put(url, json=2)).status_code == 428
        other = f"{URL}/objects/shard/b"
        assert (await client.put(other, json=1, headers=CREATE)).json()["version"] == 2
        update = await client.put(url, json=3, headers={"If-Match": "1"})
        assert update.json() == {"version": 3}
        stale = await client.delete(url, headers={"If-Match": "1"})
        assert stale.status_code == 412
        await client.delete(url, headers={"If-Match": "3"})
        assert (await client.get(url)).status_code == 404
        assert platform.calls == {"write": 7, "read": 1}

    async def test_too_large(self, bench, autojump_clock):
        client, platform = bench
        url = f"{URL}/objects/shard/a"
        body = b'"' + b"x" * 1024 * 1024 + b'"'
        assert (await client.put(url, content=body, headers=CREATE)).status_code == 413
        assert platform.kinds["shard"].objects == {}

    async def test_late_effect(self, bench, autojump_clock):
        """A write is held up on the way and its caller gives up after 2 s.

        A read then finds nothing. The write takes effect a second later all the
        same.
        """
        client, platform = bench
        assert await set_faults(client, late_effect_s=3) == 200
        url = f"{URL}/objects/shard/a"
        with pytest.raises(httpx.ReadTimeout):
            await client.put(url, json=1, headers=CREATE)
        assert (await client.get(url)).status_code == 404
        await trio.sleep(1.5)
        assert (await client.get(url)).json() == {"version": 1, "value": 1}

    async def test_write_rate(self, bench, autojump_clock):
        client, platform = bench
        await set_faults(client, max_writes_per_s=2)
        statuses = []
        for name in "abc":
            url = f"{URL}/objects/shard/{name}"
            statuses.append((await client.put(url, json=1, headers=CREATE)).status_code)
        assert statuses == [200, 200, 503]
        await trio.sleep(1)
        url = f"{URL}/objects/shard/c"
        assert (await client.put(url, json=1, headers=CREATE)).status_code == 200

    async def test_rollback(self, bench, autojump_clock):
        client, platform = bench
        url = f"{URL}/objects/configuration/main"
        await client.put(url, json="old", headers=CREATE)
        await client.put(url, json="new", headers={"If-Match": "1"})
        body = {"kind": "configuration", "name": "main", "version": 1}
        assert (await client.post(f"{URL}/test/rollback", json=body)).status_code == 200
        assert (await client.get(url)).json() == {"version": 1, "value": "old"}
        body["version"] = 9
        assert (await client.post(f"{URL}/test/rollback", json=body)).status_code == 404

    async def test_unknown_fault(self, bench, autojump_clock):
        client, platform = bench
        assert await set_faults(client, slow=3) == 400


class TestInstances:
    async def test_reclaim(self, bench, autojump_clock):
        """A zone is reclaimed while the instance list lags by 2 s.

        The authoritative state says leaving at once, the list says live until its
        lag has passed. After the notice time the reclaimable instance is gone, and
        the on-demand one stays.
        """
        client, platform = bench
        gone = []
        platform.cloud.on_terminated.append(gone.append)
        await set_faults(client, list_lag_s=2)
        body = {"zone": "waco-a", "notice_s": 5}
        answer = await client.post(f"{URL}/test/reclaim", json=body)
        assert answer.json() == {"instances": ["waco-a-e1"]}
        truth = (await client.get(f"{URL}/instances/waco-a-e1")).json()
        assert truth["state"] == "leaving"
        assert truth["deadline_unix_s"] == pytest.approx(trio.current_time() + 5)
        assert await listed_states(client) == {"waco-a-e1": "live", "waco-a-e2": "live"}
        await trio.sleep(2.5)
        assert (await listed_states(client))["waco-a-e1"] == "leaving"
        assert gone == []
        await trio.sleep(3)
        assert gone == ["waco-a-e1"]
        assert (await listed_states(client))["waco-a-e1"] == "leaving"
        await trio.sleep(2)
        assert await listed_states(client) == {"waco-a-e2": "live"}
        truth = (await client.get(f"{URL}/instances/waco-a-e1")).json()
        assert truth["state"] == "terminated"

    async def test_start(self, bench, autojump_clock):
        client, platform = bench
        await set_faults(client, list_lag_s=0, start_delay_s=30)
        platform.faults.refused_starts = {("waco-b", "g1")}
        body = {"service": "chat", "zone": "waco-b", "machine_class": "g1"}
        body["reclaimable"] = True
        refused = await client.post(f"{URL}/cloud/instances", json=body)
        assert refused.status_code == 409
        body["zone"] = "waco-a"
        started = (await client.post(f"{URL}/cloud/instances", json=body)).json()
        assert started["instance"] not in await listed_states(client)
        await trio.sleep(31)
        assert started["instance"] in await listed_states(client)
        url = f"{URL}/cloud/instances/{started['instance']}"
        assert (await client.delete(url)).status_code == 200
        assert started["instance"] not in await listed_states(client)
