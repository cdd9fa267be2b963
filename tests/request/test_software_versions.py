"""Tests of model requests while engines of several software versions serve."""

import pytest
import trio
from tests.request.relay_fleet import SERVICE, Fleet, assert_whole

from rosemaryknot.connection.links import Handlers
from rosemaryknot.request.adoption import GenerationAdopter
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.outcomes import Reason, Unknown
from rosemaryknot.values.standby import AdoptGeneration, StandbyCopy


async def fleet_of(nursery, versions):
    """Run a relay with one engine of each version, named e0, e1, ..."""
    fleet = Fleet()
    for number, version in enumerate(versions):
        await fleet.add(nursery, f"e{number}", version=version)
    await nursery.start(fleet.relay.run)
    return fleet


def versions_used(fleet, request_id="r1"):
    """Return the versions of the engines that emitted tokens of a request."""
    return {
        fleet.backends[name].software_version
        for name, engine in fleet.engines.items()
        for entry in engine.batch.ledger
        if entry.id == request_id and entry.generated
    }


class TestLostServers:
    """An engine is lost, and engines of other versions are free."""

    @pytest.mark.parametrize("number", range(6))
    async def test_generation_goes_on_at_its_version(
        self, nursery, autojump_clock, number
    ):
        versions = ["v1", "v1", "v2", "v2"]
        fleet = await fleet_of(nursery, versions)
        generation = await fleet.request(f"r{number}", max_tokens=400)
        await generation.wait_for_tokens(50)
        fleet.kill(fleet.server_of(generation))
        await generation.wait_finished()
        assert_whole(generation)
        assert len(versions_used(fleet, f"r{number}")) == 1

    async def test_last_server_of_the_version(self, nursery, autojump_clock):
        """A generation must neither go on at another version nor wait for a minute."""
        fleet = await fleet_of(nursery, ["v1"])
        generation = await fleet.request(max_tokens=400)
        await generation.wait_for_tokens(50)
        await fleet.add(nursery, "e1", version="v2")
        fleet.kill("e0")
        fleet.servers.mark_terminated("e0", "list")
        lost_s = trio.current_time()
        outcome = await generation.wait_finished()
        assert isinstance(outcome, Unknown) and outcome.reason == Reason.NO_SERVER
        assert "v1" in outcome.detail
        assert trio.current_time() - lost_s < 6.0
        assert versions_used(fleet) == {"v1"}

    async def test_lost_before_the_first_token(self, nursery, autojump_clock):
        """Nothing has begun, so that another version may serve the request."""
        fleet = await fleet_of(nursery, ["v1"])
        fleet.kill("e0")
        generation = await fleet.request()
        await fleet.add(nursery, "e1", version="v2")
        await generation.wait_finished()
        assert_whole(generation)


class TestMoves:
    async def test_kv_cache_moves_within_a_version(self, nursery, autojump_clock):
        """The KV cache of a version must not be imported by another one."""
        fleet = await fleet_of(nursery, ["v1"])
        generation = await fleet.request(max_tokens=2000)
        await generation.wait_for_tokens(50)
        await fleet.add(nursery, "e1", "temple-c", version="v2")
        await fleet.add(nursery, "e2", version="v1")
        fleet.reclaim("e0", 4.0)
        await generation.wait_finished()
        assert_whole(generation)
        assert versions_used(fleet) == {"v1"}


class NoReplication:
    """Stands in for the replication of adopted requests, which is off."""

    is_on = False


class NoDrain:
    """Stands in for the drain of an entry that goes on."""

    is_stopping = False

    def __enter__(self):
        return self

    def __exit__(self, *error):
        return None


class TestAdoption:
    """An entry takes over a request that another one accepted."""

    async def adopt(self, nursery, fleet, **fields):

        adopter = GenerationAdopter(
            fleet.relay, NoReplication(), NoDrain(), nursery, Handlers()
        )
        body = b'{"messages": [{"role": "user", "content": "beams"}]}'
        copy = StandbyCopy(
            "r1", "estimator-1", SERVICE, "before", body, 40, 0, 30.0, **fields
        )
        reply = await adopter.handle_adopt(
            AdoptGeneration(encode_message(copy)), link=None
        )
        assert reply.accepted
        return fleet.relay.table.find("estimator-1", "r1")

    @pytest.mark.parametrize("version", ["v1", "v2"])
    async def test_goes_on_at_its_version(self, nursery, autojump_clock, version):
        fleet = await fleet_of(nursery, ["v1", "v1", "v2", "v2"])
        generation = await self.adopt(
            nursery, fleet, tokens=[b"a"], software_version=version
        )
        await generation.wait_finished()
        assert versions_used(fleet) == {version}
        assert generation.lineage == "before"

    async def test_version_is_that_of_the_last_server(self, nursery, autojump_clock):
        """An entry of an older release names the server, but no version."""
        fleet = await fleet_of(nursery, ["v1", "v2", "v2"])
        generation = await self.adopt(nursery, fleet, tokens=[b"a"], server="e0")
        await generation.wait_finished()
        assert versions_used(fleet) == {"v1"}

    async def test_unknown_version_begins_anew(self, nursery, autojump_clock):
        """Tokens that the caller may have got must not be joined with other ones."""
        fleet = await fleet_of(nursery, ["v1", "v2"])
        generation = await self.adopt(nursery, fleet, tokens=[b"a"], server="gone")
        await generation.wait_finished()
        assert generation.lineage != "before"
        assert generation.tokens[0] != b"a"
