"""Stand-ins for the users' backend servers and the faults that they can show."""

import math
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from rosemaryknot.standin.users.availability import DrainStatement, PauseRequest
from rosemaryknot.standin.users.limit_windows import LimitStatement
from rosemaryknot.standin.users.raw_http import RawRequest, RawServer, RawWire

__all__ = [
    "CRASHING_BODY",
    "CRASHING_SEGMENT",
    "DEFAULT_VERSION",
    "ENDLESS",
    "FAULTS",
    "RESPONSE_ENDS",
    "Arrival",
    "Fall",
    "ServerStandIn",
    "server_entry",
]

# Body of a request that crashes each server that runs it.
CRASHING_BODY = b"crash"
# Ids of prompt segments that crash each model server that runs a request with one of
# them begin so. The last segment of a prompt never has one.
CRASHING_SEGMENT = "dead"

EVENT_TOKENS = 5
ATTEMPT = "rosemaryknot-attempt-id"
SEGMENTS = "rosemaryknot-prefix-hash"
# Software version of servers that are given no other.
DEFAULT_VERSION = "v1"


@dataclass(slots=True)
class Arrival:
    """A request that reached a server.

    Attributes
    ----------
    request : RawRequest
        The request as received.
    timestamp_s : float
        When the request arrived, in trio time.
    server : str
        Id of the server.
    has_run : bool
        Whether the server executed the request.
    ended : str
        ``whole`` (response complete), ``cut`` (response incomplete) or ``refused``.
    crashed_s : float or None
        When the request crashed the server, in trio time.
    incarnation : str
        Incarnation of the server.
    service : str
        Service of the server.
    """

    request: RawRequest
    timestamp_s: float
    server: str = ""
    has_run: bool = False
    ended: str = "cut"
    crashed_s: float | None = None
    incarnation: str = ""
    service: str = ""

    @property
    def id(self) -> str:
        """Id of the caller's attempt."""
        return self.request.headers.get(ATTEMPT, "")

    @property
    def segments(self) -> list[str]:
        """Ids of the segments of the prompt, but for the last one."""
        segments = self.request.headers.get(SEGMENTS, "").split(",")
        return [segment.partition(":")[0] for segment in segments[:-1]]

    @property
    def crashing_segments(self) -> list[str]:
        """Ids of the segments that crash servers."""
        return [s for s in self.segments if s.startswith(CRASHING_SEGMENT)]


def server_entry(
    service: str, address: Any, zone: str, born_ms: int | None
) -> dict[str, Any]:
    """Return a server's entry in the store; older software writes no birth time."""
    born = {} if born_ms is None else {"born": born_ms}
    return {
        "service": service,
        "address": str(address),
        "zone": zone,
        "version": DEFAULT_VERSION,
        "slots": 16,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    } | born


Fault = Callable[["ServerStandIn", Arrival, RawWire], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
# Faults that end responses in a way at a place, apart from those drawn one by one.
RESPONSE_ENDS: dict[str, Fault] = {}
# Responses without end.
ENDLESS: dict[str, Fault] = {}


def server_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault of a server."""

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


@dataclass(slots=True)
class Fall:
    """A crash of a brittle server that turned away too many requests.

    Attributes
    ----------
    server : str
        Id of the server.
    timestamp_s : float
        When it crashed, in trio time.
    requests : list of str
        Ids of the requests that it had turned away in the last second.
    """

    server: str
    timestamp_s: float
    requests: list[str]


@dataclass(slots=True)
class Ledger:
    """Requests that reached the servers of a test.

    Attributes
    ----------
    arrivals : list of Arrival
        The requests, in order.
    statements : list of LimitStatement
        Rate limits that responses stated or omitted, in order.
    falls : list of Fall
        Crashes of brittle servers, in order.
    drains : list of DrainStatement
        Responses of requests that ran that stated that their server drains, in order.
    pauses : list of PauseRequest
        Responses that asked for a pause, in order.
    """

    arrivals: list[Arrival] = field(default_factory=list)
    statements: list[LimitStatement] = field(default_factory=list)
    falls: list[Fall] = field(default_factory=list)
    drains: list[DrainStatement] = field(default_factory=list)
    pauses: list[PauseRequest] = field(default_factory=list)

    def runs_of(self, request_id: str) -> int:
        """Return the number of times that a request ran."""
        return sum(a.has_run for a in self.arrivals if a.id == request_id)


class ServerStandIn:
    """Stand-in for a server of a plain service or of a model.

    Parameters
    ----------
    id : str
        Id of the server.
    is_model : bool
        Whether it responds with event streams.
    work_s : float
        Duration of a plain request, or of the gap between two events.
    ledger : Ledger, optional
        Shared by all servers of a test.

    Attributes
    ----------
    entry : dict
        Its entry in the store.
    faults : collections.deque of str
        Names in `FAULTS`, `RESPONSE_ENDS` or `ENDLESS`, one for each of the next
        requests; empty text for no fault.
    limit : str or None
        Rate limit that its responses state, in requests per second.
    silent_until_s : float
        Until when it sends nothing and then goes on, in trio time.
    brittle : int or None
        Requests a second that it may turn away for want of room before it crashes,
        which its responses state.
    room : float
        Requests that it accepts at once.
    draining : str or None
        Value of the header with which all its responses state that it drains.
    retry_after : str or None
        Pause that its refusals ask for, in seconds.
    is_turning_away : bool
        Whether it refuses all requests.
    endless_bytes : int
        Bytes that were accepted of its responses without end.
    crashing : set of str
        Ids of further segments that crash it.
    crash_events : int
        Events that it sends before a segment of a prompt crashes it.
    crash : callable
        Crashes the server; set by the system that runs it. Its connections are reset.
    end_process : callable
        Ends the server, so that its connections are closed and not reset; set by the
        system that runs it.
    """

    def __init__(
        self,
        id: str,
        is_model: bool = False,
        work_s: float = 0.02,
        ledger: Ledger | None = None,
    ) -> None:
        self.id = id
        self.is_model = is_model
        self.work_s = work_s
        self.ledger = Ledger() if ledger is None else ledger
        self.entry: dict[str, Any] = {}
        self.arrivals: list[Arrival] = []
        self.faults: deque[str] = deque()
        self.is_mute = False
        self.silent_until_s = 0.0
        self.limit: str | None = None
        self.brittle: int | None = None
        self.room = math.inf
        self.active = 0
        self.turned_away: deque[tuple[float, str]] = deque()
        self.draining: str | None = None
        self.retry_after: str | None = None
        self.is_turning_away = False
        self.endless_bytes = 0
        self.crashing: set[str] = set()
        self.crash_events = 0
        self.crash: Callable[[], None] = lambda: None
        self.end_process: Callable[[], None] = lambda: None
        self.server = RawServer(self.handle)

    def start_incarnation(self, born_ms: int) -> None:
        """Clear the faults and set a later birth time, as after a restart."""
        self.faults.clear()
        self.is_mute = False
        self.limit = None
        self.draining = self.retry_after = None
        self.is_turning_away = False
        self.entry = self.entry | {"born": max(born_ms, self.entry["born"] + 1)}

    def pause(self, for_s: float) -> None:
        """Send nothing for some time, and then go on."""
        self.silent_until_s = trio.current_time() + for_s

    async def work(self) -> None:
        """Wait as long as a plain request or the next event takes."""
        await trio.sleep(self.work_s)
        while trio.current_time() < self.silent_until_s:
            await trio.sleep_until(self.silent_until_s)

    @property
    def incarnation(self) -> str:
        """Text that identifies the incarnation."""
        return f"{self.id}/{self.entry.get('born')}"

    async def handle(self, request: RawRequest, wire: RawWire) -> None:
        """Respond to a request, or apply the next fault."""
        arrival = Arrival(request, trio.current_time(), self.id)
        arrival.incarnation = self.incarnation
        arrival.service = self.entry.get("service", "")
        self.arrivals.append(arrival)
        self.ledger.arrivals.append(arrival)
        expected = request.headers.get("rosemaryknot-expect-instance")
        if expected not in (None, self.id):
            arrival.ended = "refused"
            await wire.answer(421, {"Rosemaryknot-Instance-Id": self.id})
            return
        if self.is_mute:
            await trio.sleep_forever()
        if self.is_turning_away or self.active >= self.room:
            await self.turn_away(arrival, wire)
            return
        self.active += 1
        try:
            await self.run(arrival, wire)
        finally:
            self.active -= 1

    async def turn_away(self, arrival: Arrival, wire: RawWire) -> None:
        """Refuse a request for want of room; crash if there were too many of them."""
        now_s = trio.current_time()
        self.turned_away.append((now_s, arrival.id))
        while now_s - self.turned_away[0][0] > 1.0:
            self.turned_away.popleft()
        if self.brittle is not None and len(self.turned_away) > self.brittle:
            requests = [request_id for _, request_id in self.turned_away]
            self.ledger.falls.append(Fall(self.id, now_s, requests))
            self.turned_away.clear()
            self.crash()
        await shed(self, arrival, wire)

    async def run(self, arrival: Arrival, wire: RawWire) -> None:
        """Run a request, or apply the next fault."""
        if arrival.request.body.startswith(CRASHING_BODY):
            await self.run_until_crash(arrival, wire)
            return
        segments = self.crashing.intersection(arrival.segments)
        if self.is_model and (segments or arrival.crashing_segments):
            await self.write_until_crash(arrival, wire)
            return
        fault = self.faults.popleft() if self.faults else ""
        if fault:
            await (FAULTS | RESPONSE_ENDS | ENDLESS)[fault](self, arrival, wire)
            return
        await self.serve(arrival, wire)

    async def run_until_crash(self, arrival: Arrival, wire: RawWire) -> None:
        """Run a request that crashes the server, a stream after its first event."""
        arrival.has_run = True
        if self.is_model:
            chunked = {"Transfer-Encoding": "chunked"}
            await wire.head(200, self.headers(arrival) | chunked)
            await wire.chunk(b"".join(self.events(arrival)[:1]))
        await trio.sleep(self.work_s)
        arrival.crashed_s = trio.current_time()
        crash, self.crash = self.crash, lambda: None
        crash()
        await trio.sleep_forever()

    async def write_until_crash(self, arrival: Arrival, wire: RawWire) -> None:
        """Crash as the response begins, or after some of its events."""
        arrival.has_run = True
        await self.work()
        if self.crash_events:
            chunked = {"Transfer-Encoding": "chunked"}
            await wire.head(200, self.headers(arrival) | chunked)
            for event in self.events(arrival)[: self.crash_events]:
                await wire.chunk(event)
                await self.work()
        arrival.crashed_s = trio.current_time()
        crash, self.crash = self.crash, lambda: None
        crash()
        await trio.sleep_forever()

    async def serve(self, arrival: Arrival, wire: RawWire) -> None:
        """Respond without a fault."""
        arrival.has_run = True
        if self.is_model:
            await wire.head(
                200, self.headers(arrival) | {"Transfer-Encoding": "chunked"}
            )
            for event in self.events(arrival):
                await self.work()
                await wire.chunk(event)
            await wire.last_chunk()
        else:
            await self.work()
            await wire.answer(200, self.headers(arrival), self.body(arrival))
        arrival.ended = "whole"

    def headers(self, arrival: Arrival) -> dict[str, str]:
        """Return the headers of a response."""
        headers = {
            "Rosemaryknot-Instance-Signature": f"{self.id}.sig",
            "Rosemaryknot-Attempt-Id": arrival.id,
        }
        if self.is_model:
            headers["Content-Type"] = "text/event-stream"
        if self.draining == "1":
            now_s = trio.current_time()
            statement = DrainStatement(self.incarnation, arrival.id, now_s)
            self.ledger.drains.append(statement)
        return headers | self.limit_headers() | self.drain_headers()

    def drain_headers(self) -> dict[str, str]:
        """Return the header that states that the server drains."""
        return {} if self.draining is None else {"Server-Leaving": self.draining}

    def pause_headers(self, arrival: Arrival) -> dict[str, str]:
        """Return the header that asks for a pause, and record it."""
        if self.retry_after is None:
            return {}
        if self.retry_after.replace(".", "", 1).isdecimal():
            now_s, length_s = trio.current_time(), float(self.retry_after)
            pause = PauseRequest(self.incarnation, arrival.id, now_s, length_s)
            self.ledger.pauses.append(pause)
        return {"Retry-After": self.retry_after}

    def limit_headers(self) -> dict[str, str]:
        """Return the headers that state the rate limit, and record the statement."""
        self.ledger.statements.append(
            LimitStatement(self.incarnation, trio.current_time(), self.limit)
        )
        headers = {} if self.limit is None else {"Server-Limit": self.limit}
        if self.brittle is not None:
            headers["Server-Brittle"] = str(self.brittle)
        return headers

    def body(self, arrival: Arrival) -> bytes:
        """Return the body of a plain response, which names the server and request."""
        return f"{self.id} answers {arrival.id}".encode()

    def payload(self, arrival: Arrival) -> bytes:
        """Return the complete body of a response without a fault."""
        if self.is_model:
            return b"".join(self.events(arrival))
        return self.body(arrival)

    def events(self, arrival: Arrival) -> list[bytes]:
        """Return the remaining events of a stream.

        They are the same on all servers of the default software version; those of other
        versions name theirs.
        """
        headers = arrival.request.headers
        tokens = int(headers.get("rosemaryknot-token-usage", "0,20").split(",")[1])
        count = max(1, tokens // EVENT_TOKENS)
        last = int(headers.get("last-event-id", "-1"))
        version = self.entry.get("version", DEFAULT_VERSION)
        writer = b"" if version == DEFAULT_VERSION else f" by {version}".encode()
        return [
            b"id: %d\ndata: piece %d%b\n\n" % (n, n, writer)
            for n in range(last + 1, count)
        ]


@server_fault("shed")
async def shed(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Refuse the request as overloaded, without running it."""
    arrival.ended = "refused"
    headers = {"Rosemaryknot-Not-Executed": "1", "Rosemaryknot-Attempt-Id": arrival.id}
    headers |= server.limit_headers() | server.drain_headers()
    await wire.answer(503, headers | server.pause_headers(arrival))


@server_fault("error")
async def error(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Run the request and respond with an error."""
    arrival.has_run = True
    arrival.ended = "whole"
    await wire.answer(500, server.headers(arrival), b"failed")


@server_fault("reset")
async def reset(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Run the request and reset the connection before the response."""
    arrival.has_run = True
    await trio.sleep(server.work_s)
    wire.reset()


@server_fault("mute")
async def mute(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Run the request and never respond."""
    arrival.has_run = True
    await trio.sleep_forever()


@server_fault("cut_event")
async def cut_event(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Reset the connection in the middle of a stream's third event."""
    arrival.has_run = True
    headers = server.headers(arrival) | {"Transfer-Encoding": "chunked"}
    await wire.head(200, headers)
    events = server.events(arrival)
    await wire.chunk(b"".join(events[:2]) + events[2][:7])
    await trio.sleep(server.work_s)
    wire.reset()


@server_fault("cut_body")
async def cut_body(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Close the connection in the middle of a response with a length."""
    arrival.has_run = True
    body = server.payload(arrival)
    headers = server.headers(arrival) | {"Content-Length": str(len(body))}
    await wire.head(200, headers)
    await wire.send(body[:5])
    wire.close()


@server_fault("unframed")
async def unframed(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Send a complete response without a length and close the connection."""
    arrival.has_run = True
    arrival.ended = "whole"
    await wire.head(200, server.headers(arrival))
    await wire.send(server.payload(arrival))
    wire.close()


@server_fault("unframed_reset")
async def unframed_reset(
    server: ServerStandIn, arrival: Arrival, wire: RawWire
) -> None:
    """Reset the connection in the middle of a response without a length."""
    arrival.has_run = True
    await wire.head(200, server.headers(arrival))
    await wire.send(server.payload(arrival)[:5])
    await trio.sleep(0.01)
    wire.reset()


@server_fault("extra")
async def extra(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Send two responses to one request."""
    await server.serve(arrival, wire)
    await wire.answer(200, server.headers(arrival), server.body(arrival))


@server_fault("late_extra")
async def late_extra(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Respond, and send a second response when the next request arrives."""
    await server.serve(arrival, wire)
    headers, body = server.headers(arrival), server.body(arrival)

    async def serve_after_extra(next_arrival: Arrival, next_wire: RawWire) -> None:
        await next_wire.answer(200, headers, body)
        del server.serve
        await server.serve(next_arrival, next_wire)

    server.serve = serve_after_extra


@server_fault("rubbish")
async def rubbish(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Send bytes that are not an HTTP response."""
    arrival.has_run = True
    await wire.send(b"\x00\x01 this is no answer\r\n\r\n")
    wire.close()


@server_fault("unsigned")
async def unsigned(server: ServerStandIn, arrival: Arrival, wire: RawWire) -> None:
    """Respond with 200 but without the instance signature."""
    arrival.has_run = True
    await wire.answer(200, {"Rosemaryknot-Attempt-Id": arrival.id}, b"whose?")
