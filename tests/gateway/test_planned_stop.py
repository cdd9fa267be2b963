"""Tests of admission by a gateway during a graceful shutdown, in virtual time."""

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

LONG_DEADLINE_MS = 15_000
# A stream has ten events.
CALM_EVENT_S = 0.13
SLOWEST_EVENT_S = 0.29
CROWDED_EVENT_S = 0.5
SLOW_HEADERS = [
    ("Host", HOST),
    ("Authorization", f"Bearer {KEY}"),
    ("Rosemaryknot-Attempt-Id", "slow"),
    ("Rosemaryknot-Deadline-Ms", str(LONG_DEADLINE_MS)),
    ("Content-Length", "50"),
]
SLOW_HEAD = (
    b"POST /plan/x HTTP/1.1\r\n"
    + b"".join(f"{name}: {value}\r\n".encode() for name, value in SLOW_HEADERS)
    + b"\r\n"
)


def with_long_streams():
    """Return a configuration whose streams have a deadline after any shutdown."""
    configuration = document()
    configuration["routes"][0]["timeoutMs"] = LONG_DEADLINE_MS
    return configuration


def set_event_time(fleet, event_s):
    """Set the time that all model servers take for each event."""
    for name in ("m0", "m1"):
        fleet.servers[name].work_s = event_s


async def open_long(fleet, request_id):
    """Send a stream request with a long deadline on its own connection."""
    caller = await fleet.caller().open()
    headers = MODEL_HEADERS | {"Rosemaryknot-Deadline-Ms": str(LONG_DEADLINE_MS)}
    await caller.send("/plan/x", request_id=request_id, **headers)
    return caller


async def caller_late_in_shutdown(fleet):
    """Open a connection 3 s after a signal; a stream keeps the shutdown going."""
    set_event_time(fleet, 2.0)
    await open_long(fleet, "long")
    await trio.sleep(0.1)
    fleet.stops["n0"].set()
    await trio.sleep(3)
    return await fleet.caller().open()


@pytest.fixture
def suspended_s(monkeypatch):
    """Return a list whose only item is the time for which the machine is suspended."""
    passed = [0.0]
    boot_time_s = suspension.boot_time_s
    monkeypatch.setattr(suspension, "boot_time_s", lambda: boot_time_s() + passed[0])
    return passed


class TestLoadOutlastsShutdown:
    async def test_started_response_is_never_aborted(self, autojump_clock):
        """A stream request arrives 4.28 s after the signal, with a grace period of 8 s.

        Recent responses took 1.3 to 2.9 s, so the node estimated that this one would
        end within the remaining 3.1 s and admitted it, although its own deadline was
        15 s. It took longer, because it had 7,844 bytes and none before had over 7,276,
        or because its servers were busier: the caller saw a started response aborted at
        the end of the shutdown.
        """
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            for number in range(30):
                is_slowest = number == 10
                set_event_time(fleet, SLOWEST_EVENT_S if is_slowest else CALM_EVENT_S)
                calm = await open_long(fleet, f"calm{number}")
                assert (await calm.receive()).is_whole
                await calm.close()
            set_event_time(fleet, CROWDED_EVENT_S)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4.28)
            late = await open_long(fleet, "late")
            response = await late.receive()
            assert response.is_whole
            assert response.status in (200, 503)
            if response.status == 503:
                assert 0 < float(response.headers["retry-after"]) < 1
                assert fleet.ledger.runs_of("late") == 0
            await in_flight.close()

    @pytest.mark.parametrize("grace_s", [1.0, 3.0, 8.0])
    async def test_admitted_early_in_shutdown(self, autojump_clock, grace_s):
        """A stream request arrives 0.1 s after the signal, with most time remaining.

        Recent responses ended well within that time, but this one does not, however
        long the grace period: it was aborted after 5.0 s, where recent responses took
        at most 4.4 s.
        """
        bounds = Bounds(retry_ratio=0.5, retry_slack=100, grace_s=grace_s)
        async with platform_system(
            configuration=with_long_streams(), bounds=bounds
        ) as fleet:
            for number in range(30):
                set_event_time(fleet, 0.01)
                calm = await open_long(fleet, f"calm{number}")
                assert (await calm.receive()).is_whole
                await calm.close()
            set_event_time(fleet, grace_s)
            fleet.stops["n0"].set()
            await trio.sleep(0.1)
            late = await open_long(fleet, "late")
            response = await late.receive()
            assert response.is_whole
            assert response.status == 503


class TestRetryAfterRefusal:
    @pytest.mark.parametrize(("nodes", "min_s"), [(1, 1.5), (4, 0.0)])
    async def test_callers_find_another_node(self, autojump_clock, nodes, min_s):
        """A caller is refused a second after the signal, and retries once.

        With another node in the zone its next connection goes there. Without one it
        would reach this node again until the load balancer has removed it, and be
        refused permanently.
        """
        async with platform_system(
            nodes=nodes, configuration=with_long_streams()
        ) as fleet:
            await trio.sleep(4)
            fleet.stops["n0"].set()
            await trio.sleep(1)
            late = await open_long(fleet, "late")
            response = await late.receive()
            assert response.status == 503
            return_s = float(response.headers["retry-after"])
            assert min_s < return_s < min_s + 0.6


class TestLatePlainRequest:
    async def test_it_ends_with_a_response(self, autojump_clock):
        """A retryable plain request arrives 6.5 s after the signal.

        Its own deadline is after the end of the shutdown, and its server goes silent.
        It gets a deadline before that end, so that the caller receives a failure
        response instead of a closed connection.
        """
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            assert (await fleet.ask("/stock/x", method="GET")).status == 200
            set_event_time(fleet, CROWDED_EVENT_S * 2)
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


class TestLateStreamWithDeadline:
    async def test_it_is_admitted_and_retried_elsewhere(self, autojump_clock):
        """A stream with a 3 s deadline arrives 4 s after the signal; its server fails.

        It certainly ends before the shutdown, even with a second server, so the caller
        gets the complete response.
        """
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            set_event_time(fleet, CALM_EVENT_S)
            assert (await fleet.ask("/ask/x", **MODEL_HEADERS)).is_whole
            set_event_time(fleet, CROWDED_EVENT_S)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4.0)
            set_event_time(fleet, CALM_EVENT_S)
            fleet.servers["m0"].faults.append("cut_event")
            late = await fleet.ask("/ask/x", request_id="late", **MODEL_HEADERS)
            assert late.status == 200
            assert late.is_whole
            assert fleet.ledger.runs_of("late") == 2
            await in_flight.close()


class TestLateSlowBody:
    async def test_decided_when_it_was_read(self, autojump_clock):
        """A body starts before the load balancer removes the node, and ends afterwards.

        The remaining time is computed when the complete request has been read.
        """
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            calm = await open_long(fleet, "calm")
            assert (await calm.receive()).is_whole
            set_event_time(fleet, CROWDED_EVENT_S)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(2.0)
            slow = await fleet.caller().open()
            headers = [
                ("Host", HOST),
                ("Rosemaryknot-Attempt-Id", "slow"),
                ("Rosemaryknot-Deadline-Ms", str(LONG_DEADLINE_MS)),
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


class TestNotStartedAtTheEnd:
    @pytest.mark.parametrize("path", ["/stock/x", "/book/x", "/ask/x"])
    async def test_caller_receives_a_failure(self, autojump_clock, path):
        """A request arrives a second before the signal, and its server goes silent.

        Its own deadline is after the end of the shutdown, when no byte of a response
        has been sent. Its connection used to be closed without a response: only
        retryable requests admitted during the shutdown had a deadline that left time
        for one.
        """
        configuration = with_long_streams()
        for entry in configuration["routes"]:
            entry["timeoutMs"] = LONG_DEADLINE_MS
        async with platform_system(configuration=configuration) as fleet:
            for server in fleet.servers.values():
                server.is_mute = True
            caller = await fleet.caller().open()
            await caller.send(path, Rosemaryknot_Deadline_Ms=str(LONG_DEADLINE_MS))
            await trio.sleep(1)
            fleet.stops["n0"].set()
            response = await caller.receive()
            assert response.is_whole
            assert response.status == 504
            assert response.took_s < 7.4


class TestKeepAliveConnection:
    async def test_closes_after_a_late_response(self, autojump_clock):
        """A stream starts before the signal and ends 4 s after it.

        Its head was sent before the node knew that the connection would close, and the
        only check for idle connections was over when it ended. The caller sent its next
        request on it and was refused, although another node was ready.
        """
        async with platform_system(nodes=2, configuration=with_long_streams()) as fleet:
            set_event_time(fleet, CROWDED_EVENT_S)
            keep_alive = await open_long(fleet, "kept")
            await trio.sleep(0.9)
            set_event_time(fleet, CROWDED_EVENT_S * 1.2)
            longer = await open_long(fleet, "longer")
            await trio.sleep(0.05)
            fleet.stops["n0"].set()
            response = await keep_alive.receive()
            assert response.is_whole
            assert "connection" not in response.headers
            with trio.fail_after(0.1):
                assert await keep_alive.stream.receive_some(10) == b""
            last = await longer.receive()
            assert last.is_whole and last.status == 200

    async def test_pipelined_request_is_completed(self, autojump_clock):
        """A pipelined request that was read must not be dropped."""
        async with platform_system(configuration=with_long_streams()) as fleet:
            set_event_time(fleet, CROWDED_EVENT_S)
            keep_alive = await open_long(fleet, "kept")
            await trio.sleep(0.9)
            fleet.stops["n0"].set()
            await trio.sleep(1)
            ahead = fleet.caller()
            ahead.stream, ahead.conn = keep_alive.stream, h11.Connection(h11.CLIENT)
            await ahead.send("/stock/x", method="GET", request_id="ahead")
            assert (await keep_alive.receive()).is_whole
            assert (await ahead.receive()).status == 200


class TestSuspended:
    async def test_shutdown_counts_suspended_time(self, autojump_clock, monkeypatch):
        """A machine is suspended for 3 s while its node shuts down.

        The monotonic clock does not count that time, but the platform does: the node
        measured 7.4 s by its own clock and was killed after 8 s of real time, before
        its own end of the shutdown, and the aborted requests were not logged.
        """
        suspended_s = [0.0]
        boot_time_s = suspension.boot_time_s
        monkeypatch.setattr(
            suspension, "boot_time_s", lambda: boot_time_s() + suspended_s[0]
        )
        async with platform_system(configuration=with_long_streams()) as fleet:
            set_event_time(fleet, 2.0)
            await open_long(fleet, "long")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4)
            suspended_s[0] = 3.0
            # 7.9 s of real time after the signal.
            await trio.sleep(0.9)
            assert fleet.nodes["n0"].listener.state.open == 0

    async def test_deadlines_count_it_too(self, autojump_clock, suspended_s):
        """A machine is suspended for 1.5 s while a stream waits for its first event.

        The stream was admitted because its deadline of 3 s is before the end of the
        shutdown. The caller's clock continued during the suspension, and the end of the
        shutdown moved earlier; the deadline must move as well.
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
            suspended_s[0] = 1.5
            response = await caller.receive()
            assert response.is_whole
            assert response.status == 504
            assert response.took_s == pytest.approx(1.4, abs=0.15)

    async def test_it_outlasts_the_shutdown(self, autojump_clock, suspended_s):
        """A machine is suspended until after the end of its node's shutdown.

        Its process may be killed at any moment. Callers without a response still get
        one immediately.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            for server in fleet.servers.values():
                server.is_mute = True
            caller = await open_long(fleet, "silent")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(2)
            suspended_s[0] = 5.5
            response = await caller.receive()
            assert response.is_whole
            assert response.status == 504
            assert response.took_s < 0.25


class TestSlowBody:
    async def test_is_refused_at_its_head(self, autojump_clock):
        """A node that shuts down receives a body slowly; the head gives the deadline.

        Nothing in the body could prevent the refusal, but the caller received it only
        after sending the whole body, or was disconnected while sending.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            set_event_time(fleet, 2.0)
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
        """A body stalls in transit when the node gets the signal.

        Its request is not admitted after the signal. The caller used to learn this only
        after the body, or from a closed connection.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            slow = await fleet.caller().open()
            await slow.stream.send_all(SLOW_HEAD + b"x")
            await trio.sleep(1)
            fleet.stops["n0"].set()
            with trio.fail_after(0.5):
                assert b" 503 " in await slow.stream.receive_some(100)

    async def test_rest_of_the_body_is_read(self, autojump_clock):
        """A caller continues to send for two seconds after its refusal.

        A connection closed with unread bytes is reset, and the reset may discard the
        refusal before the caller reads it. The caller must get the complete response.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            slow = await caller_late_in_shutdown(fleet)
            request = h11.Request(method="POST", target="/plan/x", headers=SLOW_HEADERS)
            await slow.stream.send_all(slow.conn.send(request))
            for _ in range(50):
                await trio.sleep(0.04)
                await slow.stream.send_all(slow.conn.send(h11.Data(data=b"x")))
            slow.conn.send(h11.EndOfMessage())
            response = await slow.receive()
            assert response.is_whole
            assert response.status == 503
            assert response.headers["connection"] == "close"

    async def test_caller_expects_100_continue(self, autojump_clock):
        """A caller sends its head and waits for a 100 response before its body.

        A refused caller gets none, and its connection closes, because the next bytes
        could be that body or another request.
        """
        async with platform_system(configuration=with_long_streams()) as fleet:
            slow = await caller_late_in_shutdown(fleet)
            headers = [*SLOW_HEADERS, ("Expect", "100-continue")]
            request = h11.Request(method="POST", target="/plan/x", headers=headers)
            await slow.stream.send_all(slow.conn.send(request))
            response = await slow.receive()
            assert response.status == 503
            assert response.headers["connection"] == "close"


class LogRecorder:
    """Records lines of a log."""

    def __init__(self):
        self.recorded = []

    def info(self, event, **fields):
        self.recorded.append(fields | {"event": event})


class TestAdmissionLog:
    async def test_each_decision_logs_its_inputs(self, autojump_clock, monkeypatch):
        """A stream is refused late in a shutdown; the log says why under its id."""
        async with platform_system(nodes=1, configuration=with_long_streams()) as fleet:
            calm = await open_long(fleet, "calm")
            assert (await calm.receive()).is_whole
            set_event_time(fleet, CROWDED_EVENT_S)
            in_flight = await open_long(fleet, "in flight")
            await trio.sleep(0.1)
            fleet.stops["n0"].set()
            await trio.sleep(4.0)
            lines = LogRecorder()
            monkeypatch.setattr(gateway_request_admission, "log", lines)
            late = await open_long(fleet, "late")
            assert (await late.receive()).status == 503
            assert len(lines.recorded) == 1
            decided = lines.recorded[0]
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
