"""Tests of the whole entry process over stand-ins, in virtual time."""

from tests.process.entry_fleet import booking, chat, whole_fleet
from tests.request.relay_fleet import events_of


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
