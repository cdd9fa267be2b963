"""Tests of the complete entry process with stand-ins, in virtual time."""

import trio
from tests.process.entry_fleet import booking, chat, start_fleet
from tests.request.relay_fleet import events_of

CHAT = "/v1/chat/completions"
BOOK = "/services/dispatch-app/slots/7"
STOCK = "/services/dispatch-app/stock/7"


class TestEntry:
    async def test_one_stream_and_one_booking(self, nursery, autojump_clock):
        fleet = await start_fleet(nursery)
        async with fleet.caller() as caller:
            response = await caller.post("/v1/chat/completions", json=chat())
            events = events_of(response.content)
            tokens = len(events) - 2
            assert events[-2:] == [{"outcome": "answered", "tokens": tokens}, "[DONE]"]
            assert response.headers["Rosemaryknot-Request"] == events[0]["id"]
            booking_response = await caller.post(
                "/services/dispatch-app/slots/7", headers=booking("b1", 1)
            )
            assert booking_response.status_code == 200
            assert (
                booking_response.json()["id"]
                == booking_response.headers["Rosemaryknot-Request"]
            )
        assert fleet.runs() == {"b1": 1}


class TestWithoutAgent:
    async def test_agent_is_killed_and_restarted(self, nursery, autojump_clock):
        """The agent is killed and another one starts at its address.

        Until then, streams and idempotent calls continue with the last known state,
        which the entry reports in a metric. A booking needs a claim and is refused.
        Afterwards all requests work again.
        """
        fleet = await start_fleet(nursery)
        entry = fleet.entries[0]
        async with fleet.caller() as caller:
            fleet.agents[0].kill()
            await trio.sleep(10.0)
            assert not entry.link.is_connected
            assert (
                "rosemaryknot_agent_connected 0" in (await caller.get("/metrics")).text
            )
            assert (await caller.get("/readyz")).status_code == 200
            response = await caller.post(CHAT, json=chat())
            assert events_of(response.content)[-2]["outcome"] == "answered"
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

    async def test_agent_is_suspended_and_resumed(self, nursery, autojump_clock):
        """The agent is suspended with all its connections open.

        No connection fails with an error. The entry detects the missing heartbeats
        within seconds, continues without the agent, and reconnects to it over a new
        connection.
        """
        fleet = await start_fleet(nursery)
        entry, agent = fleet.entries[0], fleet.agents[0]
        agent.suspend()
        await trio.sleep(4.0)
        assert not entry.link.is_connected
        async with fleet.caller() as caller:
            started_s = trio.current_time()
            assert (await caller.post(CHAT, json=chat())).is_success
            await caller.post(BOOK, headers=booking("b1", 1))
            assert trio.current_time() - started_s < 1.0
            agent.resume()
            await trio.sleep(8.0)
            assert entry.link.is_connected
            assert (await caller.post(BOOK, headers=booking("b1", 2))).is_success
        assert fleet.runs() == {"b1": 1}

    async def test_agent_with_empty_server_list(self, nursery, autojump_clock):
        """A new agent starts during a platform outage, so its server list is empty.

        If the entry applied this list, no request would have a server.
        """
        fleet = await start_fleet(nursery)
        fleet.agents[0].kill()
        fleet.backends.clear()
        await fleet.add_agent(0)
        await trio.sleep(30.0)
        async with fleet.caller() as caller:
            assert (await caller.post(CHAT, json=chat())).is_success


class TestDuplicates:
    async def test_booking_at_two_entries(self, nursery, autojump_clock):
        """A load balancer sends the same booking to two entries simultaneously.

        One of them runs it. The other responds that it is running or returns the
        stored response, and never "not run".
        """
        fleet = await start_fleet(nursery)
        await fleet.add_entry()
        outcomes = []

        async def book(index, key):
            async with fleet.caller(index) as caller:
                response = await caller.post(BOOK, headers=booking(key))
                outcomes.append(response.json().get("outcome", "answered"))

        for number in range(10):
            async with trio.open_nursery() as both:
                for index in (0, 1, 1, 0):
                    both.start_soon(book, index, f"b{number}")
        assert fleet.runs() == {f"b{number}": 1 for number in range(10)}
        assert set(outcomes) <= {"answered", "running"}
        assert outcomes.count("answered") >= 10
