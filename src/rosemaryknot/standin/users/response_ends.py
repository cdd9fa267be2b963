"""Ends of responses of the stand-ins for servers: in each way, at each place."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import trio

from rosemaryknot.standin.users.raw_http import RawWire
from rosemaryknot.standin.users.servers import RESPONSE_ENDS, Arrival, ServerStandIn

__all__ = ["EndPlace", "EndWay", "ResponseEnd", "detectable_ends"]

# Received bytes are not overtaken by a reset that follows after this time.
RESET_DELAY_S = 0.01


class EndWay(StrEnum):
    """How a server ends a response."""

    CLOSED = "closed"
    RESET = "reset"
    LAST_CHUNK = "last_chunk"
    FULL_LENGTH = "full_length"
    CHUNKS_CLOSED = "chunks_closed"
    # The process ends: its connections are closed and new ones are refused.
    CRASHED = "crashed"


class EndPlace(StrEnum):
    """Where in its content a response ends."""

    HEAD = "head"
    FIRST_EVENT = "first_event"
    INSIDE_EVENT = "inside_event"
    LINE_END = "line_end"
    BETWEEN_EVENTS = "between_events"
    LAST_EVENT = "last_event"


Place = Callable[[bytes], int]
PLACES: dict[EndPlace, Place] = {}


def end_place(place: EndPlace) -> Callable[[Place], Place]:
    """Register a function that returns the size of a body that ends at a place."""

    def register(size: Place) -> Place:
        PLACES[place] = size
        return size

    return register


@end_place(EndPlace.HEAD)
def head_only(body: bytes) -> int:
    """Return the size of an empty body."""
    return 0


@end_place(EndPlace.FIRST_EVENT)
def inside_first_event(body: bytes) -> int:
    """Return a size inside the first event, or in a plain body."""
    return min(5, len(body) // 2)


@end_place(EndPlace.INSIDE_EVENT)
def inside_event(body: bytes) -> int:
    """Return a size inside an event after the first, or in a plain body."""
    return min(first_event_size(body) + 7, len(body) - 1)


@end_place(EndPlace.LINE_END)
def between_line_ends(body: bytes) -> int:
    """Return the size of a body whose last event lacks the second of its line ends."""
    return len(body) - 1


@end_place(EndPlace.BETWEEN_EVENTS)
def after_first_event(body: bytes) -> int:
    """Return the size of the first event, or of half a plain body."""
    return min(first_event_size(body), len(body) - 1)


@end_place(EndPlace.LAST_EVENT)
def whole_body(body: bytes) -> int:
    """Return the size of the whole body."""
    return len(body)


def first_event_size(body: bytes) -> int:
    """Return the size of the first event; half of a body without events."""
    end = body.find(b"\n\n")
    return len(body) // 2 if end < 0 else end + 2


@dataclass(slots=True, frozen=True)
class ResponseEnd:
    """A fault of a server: it ends a response in a way, at a place of its content.

    Attributes
    ----------
    way : EndWay
        How the response ends.
    place : EndPlace
        Where it ends.
    """

    way: EndWay
    place: EndPlace

    @property
    def name(self) -> str:
        """Name of the fault in `RESPONSE_ENDS`."""
        return f"end:{self.way}:{self.place}"

    async def __call__(
        self, server: ServerStandIn, arrival: Arrival, wire: RawWire
    ) -> None:
        """Run the request and end its response."""
        arrival.has_run = True
        body = server.payload(arrival)
        place = self.place
        if place is EndPlace.HEAD and "last-event-id" in arrival.request.headers:
            # Without an event it would be the complete rest after the last event.
            place = EndPlace.FIRST_EVENT
        body = body[: PLACES[place](body)]
        if self.place is EndPlace.LAST_EVENT and self.way is not EndWay.RESET:
            arrival.ended = "whole"
        await wire.head(200, server.headers(arrival) | self.framing_headers(body))
        await trio.sleep(server.work_s)
        if self.is_chunked and body:
            await wire.chunk(body)
        elif body:
            await wire.send(body)
        await self.end(server, arrival, wire)

    @property
    def is_chunked(self) -> bool:
        """Whether the body is sent in chunks."""
        return self.way in (EndWay.LAST_CHUNK, EndWay.CHUNKS_CLOSED)

    def framing_headers(self, body: bytes) -> dict[str, str]:
        """Return the headers that state the end of the body, if any."""
        if self.is_chunked:
            return {"Transfer-Encoding": "chunked"}
        if self.way is EndWay.FULL_LENGTH:
            return {"Content-Length": str(len(body))}
        return {}

    async def end(self, server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
        """End the response."""
        if self.way is EndWay.LAST_CHUNK:
            await wire.last_chunk()
        elif self.way is EndWay.RESET:
            await trio.sleep(RESET_DELAY_S)
            wire.reset()
        elif self.way is EndWay.CRASHED:
            server.end_process()
            await trio.sleep_forever()
        elif self.way is not EndWay.FULL_LENGTH:
            wire.close()


ALL_ENDS = [ResponseEnd(way, place) for way in EndWay for place in EndPlace]
RESPONSE_ENDS.update({end.name: end for end in ALL_ENDS})
# A server that goes on ends these as it ends a complete response.
ORDERLY_WAYS = (EndWay.CLOSED, EndWay.LAST_CHUNK, EndWay.FULL_LENGTH)


def detectable_ends(is_stream: bool) -> list[ResponseEnd]:
    """Return the ends that a gateway can tell from that of another whole response.

    A stream that ends in order between two events is a shorter stream, and a plain body
    that ends in order is a shorter body.
    """
    shorter = {EndPlace.BETWEEN_EVENTS}
    if not is_stream:
        shorter = set(EndPlace) - {EndPlace.LAST_EVENT}
    return [
        end
        for end in ALL_ENDS
        if end.way not in ORDERLY_WAYS or end.place not in shorter
    ]
