"""Tests of what a gateway takes while it ends a planned stop, in virtual time."""

import h11
import pytest
import trio

from rosemaryknot.process import suspension
from rosemaryknot.process.node_settings import Bounds
from rosemaryknot.request import gateway_request_admission
from rosemaryknot.standin.users.system import (
    HOST,
    KEY,
    MODEL_HEADERS,
    document,
    platform_system,
)

LONG_MS = 15_000
# A stream has ten events.
CALM_EVENT_S = 0.13
SLOWEST_EVENT_S = 0.29
CROWDED_EVENT_S = 0.5
SLOW_HEADERS = [
    ("Host", HOST),
    ("Authorization", f"Bearer {KEY}"),
    ("Rosemaryknot-Attempt-Id", "slow"),
    ("Rosemaryknot-Deadline-Ms", str(LONG_MS)),
    ("Content-Length", "50"),
]
SLOW_HEAD = (
    b"POST /plan/x HTTP/1.1\r\n"
    + b"".join(f"{name}: {value}\r\n".encode() for name, value in SLOW_HEADERS)
    + b"\r\n"
)


def with_long_streams():
    """Return a configuration whose streams have a limit beyond any stop."""
    configuration = document()
    configuration["routes"][0]["timeoutMs"] = LONG_MS
    return configuration


def set_pace(fleet, event_s):
    """Let all model servers take a time for each event."""
    for name in ("m0", "m1"):
        fleet.servers[name].work_s = event_s


async def open_long(fleet, request_id):
    """Send a stream with a long limit on a connection of its own."""
    caller = await fleet.caller().open()
    headers = MODEL_HEADERS | {"Rosemaryknot-Deadline-Ms": str(LONG_MS)}
    await caller.send("/plan/x", request_id=request_id, **headers)
    return caller


async def caller_late_in_a_stop(fleet):
    """Open a connection 3 s after a signal; a stream keeps the stop up."""
    set_pace(fleet, 2.0)
    await open_long(fleet, "long")
    await trio.sleep(0.1)
    fleet.stops["n0"].set()
    await trio.sleep(3)
    return await fleet.caller().open()


@pytest.fixture
def passed_s(monkeypatch):
    """Return a list whose one item is the time that the machine was suspended for."""
    passed = [0.0]
    running_time_s = suspension.running_time_s
    monkeypatch.setattr(
        suspension, "running_time_s", lambda: running_time_s() + passed[0]
    )
    return passed


class TestLoadOutrunsTheStop:
    async def test_started_answer_is_never_cut(self, autojump_clock):
        """A stream comes 4.28 s after the signal of a planned stop with a grace of 8 s.

        Answers of late took 1.3 to 2.9 s, so the node judged that this one would end
        within the 3.1 s left and took it, though its own time limit was 15 s. It needed
        longer, since it had 7,844 bytes and none before had over 7,276, or since its
        servers were busier: the caller saw a started answer cut at the stop's end.
        """
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            for number in range(30):
                is_slowest = number == 10
                set_pace(fleet, SLOWEST_EVENT_S if is_slowest else CALM_EVENT_S)
                calm = await open_long(fleet, f"calm{number}")
                assert (await calm.receive()).is_whole
                await calm.close()
            set_pace(fleet, CROWDED_EVENT_S)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4.28)
            late = await open_long(fleet, "late")
            answer = await late.receive()
            assert answer.is_whole
            assert answer.status in (200, 503)
            if answer.status == 503:
                assert 0 < float(answer.headers["retry-after"]) < 1
                assert fleet.ledger.runs_of("late") == 0
            await in_flight.close()

    @pytest.mark.parametrize("grace_s", [1.0, 3.0, 8.0])
    async def test_taken_early_in_the_stop(self, autojump_clock, grace_s):
        """A stream comes 0.1 s after the signal, when nearly all of the stop is left.

        Answers of late ended well within that time; this one does not, however long
        the grace: it was cut after 5.0 s where answers of late took 4.4 s at most.
        """
        bounds = Bounds(retry_ratio=0.5, retry_slack=100, grace_s=grace_s)
        async with platform_system(
            configuration=with_long_streams(), bounds=bounds
        ) as fleet:
            for number in range(30):
                set_pace(fleet, 0.01)
                calm = await open_long(fleet, f"calm{number}")
                assert (await calm.receive()).is_whole
                await calm.close()
            set_pace(fleet, grace_s)
            fleet.stops["n0"].set()
            await trio.sleep(0.1)
            late = await open_long(fleet, "late")
            answer = await late.receive()
            assert answer.is_whole
            assert answer.status == 503


class TestReturn:
    @pytest.mark.parametrize(("nodes", "least_s"), [(1, 1.5), (4, 0.0)])
    async def test_callers_find_another_node(self, autojump_clock, nodes, least_s):
        """A caller is refused a second after the signal, and comes back once.

        With another node in the zone its next connection goes there. Without one it
        would meet this one again until the balancer has left it out, and be refused
        for good.
        """
        async with platform_system(
            nodes=nodes, configuration=with_long_streams()
        ) as fleet:
            await trio.sleep(4)
            fleet.stops["n0"].set()
            await trio.sleep(1)
            late = await open_long(fleet, "late")
            answer = await late.receive()
            assert answer.status == 503
            return_s = float(answer.headers["retry-after"])
            assert least_s < return_s < least_s + 0.6


class TestPlainRequestLate:
    async def test_it_ends_with_an_answer(self, autojump_clock):
        """A plain request that may run again comes 6.5 s after the signal.

        Its own limit lies beyond the stop, and its server falls silent. It gets a
        limit that ends before the stop does: the caller reads an honest failure
        instead of a closed connection.
        """
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            assert (await fleet.ask("/stock/x", method="GET")).status == 200
            set_pace(fleet, CROWDED_EVENT_S * 2)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(6.5)
            for name in ("p0", "p1"):
                fleet.servers[name].is_mute = True
            late = await fleet.ask("/stock/x", method="GET", request_id="late")
            assert late.is_whole
            assert late.status == 504
            assert 0.7 < late.took_s < 0.9
            await in_flight.close()


class TestBoundStreamLate:
    async def test_it_is_taken_and_goes_on_elsewhere(self, autojump_clock):
        """A stream with a limit of 3 s comes 4 s after the signal; its server breaks.

        It surely ends before the stop does, also with a second server: the caller
        gets it whole.
        """
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            set_pace(fleet, CALM_EVENT_S)
            assert (await fleet.ask("/ask/x", **MODEL_HEADERS)).is_whole
            set_pace(fleet, CROWDED_EVENT_S)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4.0)
            set_pace(fleet, CALM_EVENT_S)
            fleet.servers["m0"].faults.append("cut_event")
            late = await fleet.ask("/ask/x", request_id="late", **MODEL_HEADERS)
            assert late.status == 200
            assert late.is_whole
            assert fleet.ledger.runs_of("late") == 2
            await in_flight.close()


class TestSlowBodyLate:
    async def test_decided_when_it_was_read(self, autojump_clock):
        """A body begins to come before the balancer leaves the node out, ends after.

        The time that is left counts from when the request was read whole.
        """
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            calm = await open_long(fleet, "calm")
            assert (await calm.receive()).is_whole
            set_pace(fleet, CROWDED_EVENT_S)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(2.0)
            slow = await fleet.caller().open()
            headers = [
                ("Host", HOST),
                ("Rosemaryknot-Attempt-Id", "slow"),
                ("Rosemaryknot-Deadline-Ms", str(LONG_MS)),
                ("Authorization", f"Bearer {KEY}"),
                ("Content-Length", "2"),
                *MODEL_HEADERS.items(),
            ]
            head = h11.Request(method="POST", target="/plan/x", headers=headers)
            await slow.stream.send_all(slow.conn.send(head))
            await trio.sleep(1.0)
            await slow.stream.send_all(slow.conn.send(h11.Data(data=b"ok")))
            slow.conn.send(h11.EndOfMessage())
            assert (await slow.receive()).status == 503
            assert fleet.ledger.runs_of("slow") == 0
            await in_flight.close()


class TestNotBegunAtTheEnd:
    @pytest.mark.parametrize("path", ["/stock/x", "/book/x", "/ask/x"])
    async def test_caller_reads_an_honest_failure(self, autojump_clock, path):
        """A request comes a second before the signal, and its server falls silent.

        Its own limit lies beyond the stop, and no byte of an answer has gone out when
        the stop ends. Its connection was closed without a word; only what was taken
        during the stop, and may run again, had a limit that left time for an answer.
        """
        configuration = with_long_streams()
        for entry in configuration["routes"]:
            entry["timeoutMs"] = LONG_MS
        async with platform_system(configuration=configuration) as fleet:
            for server in fleet.servers.values():
                server.is_mute = True
            caller = await fleet.caller().open()
            await caller.send(path, Rosemaryknot_Deadline_Ms=str(LONG_MS))
            await trio.sleep(1)
            fleet.stops["n0"].set()
            answer = await caller.receive()
            assert answer.is_whole
            assert answer.status == 504
            assert answer.took_s < 7.4


class TestKeptConnection:
    async def test_closes_behind_an_answer_past_the_moment(self, autojump_clock):
        """A stream begins before the signal and ends 4 s after it.

        Its head could not yet tell that the connection closes, and the one look at
        idle connections was over when it ended. The caller sent its next request here
        and was refused, though another node was ready.
        """
        async with platform_system(nodes=2, configuration=with_long_streams()) as fleet:
            set_pace(fleet, CROWDED_EVENT_S)
            kept = await open_long(fleet, "kept")
            await trio.sleep(0.9)
            set_pace(fleet, CROWDED_EVENT_S * 1.2)
            longer = await open_long(fleet, "longer")
            await trio.sleep(0.05)
            fleet.stops["n0"].set()
            answer = await kept.receive()
            assert answer.is_whole
            assert "connection" not in answer.headers
            with trio.fail_after(0.1):
                assert await kept.stream.receive_some(10) == b""
            last = await longer.receive()
            assert last.is_whole and last.status == 200

    async def test_one_sent_ahead_is_answered(self, autojump_clock):
        """The caller sent its next request ahead; read, it must not be dropped."""
        async with platform_system(configuration=with_long_streams()) as fleet:
            set_pace(fleet, CROWDED_EVENT_S)
            kept = await open_long(fleet, "kept")
            await trio.sleep(0.9)
            fleet.stops["n0"].set()
            await trio.sleep(1)
            ahead = fleet.caller()
            ahead.stream, ahead.conn = kept.stream, h11.Connection(h11.CLIENT)
            await ahead.send("/stock/x", method="GET", request_id="ahead")
            assert (await kept.receive()).is_whole
            assert (await ahead.receive()).status == 200


class TestSuspended:
    async def test_stop_counts_suspended_time(self, autojump_clock, monkeypatch):
        """A machine is suspended for 3 s while its node stops.

        The steady clock does not count that time, the platform does: the node goes by
        7.4 s of its own and is killed at 8 s of true time, before its own end of the
        stop, and what it cuts is named nowhere.
        """
        passed_s = [0.0]
        running_time_s = suspension.running_time_s
        monkeypatch.setattr(
            suspension, "running_time_s", lambda: running_time_s() + passed_s[0]
        )
        async with platform_system(configuration=with_long_streams()) as fleet:
            set_pace(fleet, 2.0)
            await open_long(fleet, "long")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4)
            passed_s[0] = 3.0
            # 7.9 s of true time after the signal.
            await trio.sleep(0.9)
            assert fleet.nodes["n0"].listener.state.open == 0

    async def test_time_limits_count_it_too(self, autojump_clock, passed_s):
        """A machine is suspended for 1.5 s while a stream waits for its first event.

        The stream was taken since its limit of 3 s ends before the stop. Its caller's
        clock went on meanwhile, and the stop's end came nearer; the limit has to.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            for server in fleet.servers.values():
                server.is_mute = True
            await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(3.9)
            caller = await fleet.caller().open()
            headers = MODEL_HEADERS | {"Rosemaryknot-Deadline-Ms": "3000"}
            await caller.send("/ask/x", request_id="late", **headers)
            await trio.sleep(0.1)
            passed_s[0] = 1.5
            answer = await caller.receive()
            assert answer.is_whole
            assert answer.status == 504
            assert answer.took_s == pytest.approx(1.4, abs=0.15)

    async def test_it_outlasts_the_stop(self, autojump_clock, passed_s):
        """A machine is suspended until after the end of its node's stop.

        Its process may be killed at any moment; callers without an answer still get
        one at once.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            for server in fleet.servers.values():
                server.is_mute = True
            caller = await open_long(fleet, "silent")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(2)
            passed_s[0] = 5.5
            answer = await caller.receive()
            assert answer.is_whole
            assert answer.status == 504
            assert answer.took_s < 0.25


class TestSlowBody:
    async def test_is_refused_at_its_head(self, autojump_clock):
        """A body comes slowly to a node that stops; its head tells its time limit.

        Nothing in the body could change that it is refused, but the caller is told
        only when all of it was sent, or is cut in the middle of sending.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            set_pace(fleet, 2.0)
            await open_long(fleet, "long")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(3)
            slow = await fleet.caller().open()
            await slow.stream.send_all(
                b"POST /plan/x HTTP/1.1\r\nHost: %b\r\nAuthorization: Bearer %b\r\n"
                b"Rosemaryknot-Attempt-Id: slow\r\nRosemaryknot-Deadline-Ms: 15000\r\n"
                b"Content-Length: 50\r\n\r\nx" % (HOST.encode(), KEY.encode())
            )
            with trio.fail_after(1):
                assert b" 503 " in await slow.stream.receive_some(100)

    async def test_it_began_before_the_signal(self, autojump_clock):
        """A body is on its way when the node gets the signal, and stands still.

        From the signal on its request is not taken any more; its caller learned so
        only behind the body, or by a closed connection.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            slow = await fleet.caller().open()
            await slow.stream.send_all(SLOW_HEAD + b"x")
            await trio.sleep(1)
            fleet.stops["n0"].set()
            with trio.fail_after(0.5):
                assert b" 503 " in await slow.stream.receive_some(100)

    async def test_rest_of_the_body_is_read(self, autojump_clock):
        """A caller goes on sending for two seconds behind its refusal.

        A connection closed with unread bytes is reset, and the reset may destroy the
        refusal before its caller reads it; the whole answer has to be there.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            slow = await caller_late_in_a_stop(fleet)
            request = h11.Request(method="POST", target="/plan/x", headers=SLOW_HEADERS)
            await slow.stream.send_all(slow.conn.send(request))
            for _ in range(50):
                await trio.sleep(0.04)
                await slow.stream.send_all(slow.conn.send(h11.Data(data=b"x")))
            slow.conn.send(h11.EndOfMessage())
            answer = await slow.receive()
            assert answer.is_whole
            assert answer.status == 503
            assert answer.headers["connection"] == "close"

    async def test_caller_waits_to_be_asked(self, autojump_clock):
        """A caller sends its head and waits to be asked for its body.

        Refused, it is not asked, and its connection closes: what comes next could be
        that body or another request.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            slow = await caller_late_in_a_stop(fleet)
            headers = [*SLOW_HEADERS, ("Expect", "100-continue")]
            request = h11.Request(method="POST", target="/plan/x", headers=headers)
            await slow.stream.send_all(slow.conn.send(request))
            answer = await slow.receive()
            assert answer.status == 503
            assert answer.headers["connection"] == "close"


class Lines:
    """Keeps lines of a log."""

    def __init__(self):
        self.kept = []

    def info(self, event, **fields):
        self.kept.append(fields | {"event": event})


class TestDecisionLine:
    async def test_each_decision_says_what_it_rests_on(
        self, autojump_clock, monkeypatch
    ):
        """A stream is refused late in a stop; the log tells why under its id."""
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            calm = await open_long(fleet, "calm")
            assert (await calm.receive()).is_whole
            set_pace(fleet, CROWDED_EVENT_S)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4.0)
            lines = Lines()
            monkeypatch.setattr(gateway_request_admission, "log", lines)
            late = await open_long(fleet, "late")
            assert (await late.receive()).status == 503
            assert len(lines.kept) == 1
            decided = lines.kept[0]
            assert decided["request"] == "late"
            assert decided["route"] == "plan"
            assert not decided["taken"]
            assert 3.9 < decided["since_signal_s"] < 4.1
            assert 3.3 < decided["stop_left_s"] < 3.5
            assert 14.9 < decided["limit_left_s"] <= 15.0
            assert decided["answers"] == 1
            assert 3.9 < decided["answers_age_s"] < 4.2
            assert 0.1 < decided["likely_s"] < 0.5
            await in_flight.close()
