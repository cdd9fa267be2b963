"""Tests of the relay against stand-in engines, in virtual time."""

from tests.request.relay_fleet import Fleet, assert_whole, events_of


async def read_all(generation, offset=0, lineage="") -> bytes:
    return b"".join([part async for part in generation.follow(offset, lineage)])


class TestModelRelay:
    async def test_relays_a_whole_answer(self, nursery, autojump_clock):
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request()
        events = events_of(await read_all(generation))
        assert_whole(generation)
        texts = [e["choices"][0]["delta"]["content"] for e in events[:-2]]
        assert texts == generation.token_texts()
        assert events[-2:] == [{"outcome": "answered", "tokens": len(texts)}, "[DONE]"]

    async def test_engine_killed_midway(self, nursery, autojump_clock):
        """The engine dies while its answer streams.

        The caller sees one pause and then the rest: the relay resumes at another
        server from the prompt and the tokens that were emitted, in one lineage.
        """
        fleet = await Fleet().start(nursery, "waco-a", "waco-b")
        generation = await fleet.request(max_tokens=400)
        await generation.wait_beyond(50)
        fleet.kill(fleet.server_of(generation))
        await generation.wait_finished()
        assert_whole(generation)
        assert generation.attempts == 2
