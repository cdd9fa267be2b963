"""Tests of the whole entry process over stand-ins, in virtual time."""

import trio
from tests.process.entry_fleet import booking, chat, whole_fleet
from tests.request.relay_fleet import events_of

CHAT = "/v1/chat/completions"
BOOK = "/services/dispatch-app/slots/7"
STOCK = "/services/dispatch-app/stock/7"


class TestEntry:
    async def test_one_stream_and_one_booking(self, nursery, autojump_clock):
        fleet = await whole_fleet(nursery)
        async with fleet.caller() as caller:
            answer = await caller.post("/v1/chat/completions", json=chat())
            events = events_of(answer.content)
            tokens = len(events) - 2
            assert events[-2:] == [{"outcome": "answered", "tokens": tokens}, "[DONE]"]
            assert answer.headers["Rosemaryknot-Request"] == events[0]["id"]
            booked = await caller.post(
                "/services/dispatch-app/slots/7", headers=booking("b1", 1)
            )
            assert booked.status_code == 200
            assert booked.json()["id"] == booked.headers["Rosemaryknot-Request"]
        assert fleet.runs() == {"b1": 1}


class TestWithoutItsAgent:
    async def test_agent_killed_and_back(self, nursery, autojump_clock):
        """The agent dies and another one starts at its place.

        Meanwhile streams and idempotent calls go on by what was last known, and the
        entry says so; a booking needs a proof and is refused. Then all works again.
        """
        fleet = await whole_fleet(nursery)
        entry = fleet.entries[0]
        async with fleet.caller() as caller:
            fleet.agents[0].kill()
            await trio.sleep(10.0)
            assert not entry.link.is_connected
            assert (
                "rosemaryknot_agent_connected 0" in (await caller.get("/metrics")).text
            )
            assert (await caller.get("/readyz")).status_code == 200
            answer = await caller.post(CHAT, json=chat())
            assert events_of(answer.content)[-2]["outcome"] == "answered"
            assert (await caller.get(STOCK)).status_code == 200
            first = await caller.post(BOOK, headers=booking("b1", 1))
            assert (first.status_code, first.json()["outcome"]) == (503, "not_run")
            repeat = await caller.post(BOOK, headers=booking("b2"))
            assert (repeat.status_code, repeat.json()["outcome"]) == (504, "unknown")
            await fleet.add_agent(0)
            await trio.sleep(5.0)
            assert entry.link.is_connected
            assert (await caller.post(BOOK, headers=booking("b1", 2))).is_success
        assert fleet.runs() == {"b1": 1}

    async def test_agent_frozen_and_back(self, nursery, autojump_clock):
        """The agent stands still with all its connections open.

        Nothing breaks and no error comes. The entry notices the missing heartbeats
        within seconds, goes on, and finds the agent over a new connection.
        """
        fleet = await whole_fleet(nursery)
        entry, agent = fleet.entries[0], fleet.agents[0]
        agent.freeze()
        await trio.sleep(4.0)
        assert not entry.link.is_connected
        async with fleet.caller() as caller:
            started_s = trio.current_time()
            assert (await caller.post(CHAT, json=chat())).is_success
            await caller.post(BOOK, headers=booking("b1", 1))
            assert trio.current_time() - started_s < 1.0
            agent.thaw()
            await trio.sleep(8.0)
            assert entry.link.is_connected
            assert (await caller.post(BOOK, headers=booking("b1", 2))).is_success
        assert fleet.runs() == {"b1": 1}

    async def test_agent_that_knows_nothing(self, nursery, autojump_clock):
        """A new agent starts while the platform is down: its list is empty.

        Taking the list over would leave no server for any request.
        """
        fleet = await whole_fleet(nursery)
        fleet.agents[0].kill()
        fleet.backends.clear()
        await fleet.add_agent(0)
        await trio.sleep(30.0)
        async with fleet.caller() as caller:
            assert (await caller.post(CHAT, json=chat())).is_success


class TestDuplicates:
    async def test_booking_at_two_entries(self, nursery, autojump_clock):
        """A balancer hands the same booking to two entries at once, several times.

        One of them runs it; the other one answers that it is running or gives the
        kept answer, and never "not run".
        """
        fleet = await whole_fleet(nursery)
        await fleet.add_entry()
        outcomes = []

        async def book(index, key):
            async with fleet.caller(index) as caller:
                answer = await caller.post(BOOK, headers=booking(key))
                outcomes.append(answer.json().get("outcome", "answered"))

        for number in range(10):
            async with trio.open_nursery() as both:
                for index in (0, 1, 1, 0):
                    both.start_soon(book, index, f"b{number}")
        assert fleet.runs() == {f"b{number}": 1 for number in range(10)}
        assert set(outcomes) <= {"answered", "running"}
        assert outcomes.count("answered") >= 10
