"""Tests of the graceful shutdown, in virtual time and with a real signal."""

import json
import signal
import socket
import subprocess
import sys

import httpx
import pytest
import trio
from tests.process.entry_fleet import API_KEY, booking, chat, start_fleet
from tests.request.relay_fleet import events_of

from rosemaryknot.process.drain import Drain
from rosemaryknot.standin.plain import PlainFault
from rosemaryknot.values.nodes import Address

CHAT = "/v1/chat/completions"
BOOK = "/services/dispatch-app/slots/7"


async def read_stream(caller, events, tokens=800):
    async with caller.stream("POST", CHAT, json=chat(tokens)) as response:
        events += events_of(await response.aread())


class TestGracefulShutdown:
    async def test_requests_in_flight_complete(self, nursery, autojump_clock):
        """The shutdown starts while two streams and a booking are in flight.

        The instance becomes unready immediately and refuses new work with a response.
        The three requests complete before the process ends.
        """
        fleet = await start_fleet(nursery, not_ready_s=0.0)
        for plain in fleet.plains.values():
            plain.faults.append(PlainFault("late", late_s=1.5))
        streams, booked = ([], []), []

        async def book(caller):
            booked.append(await caller.post(BOOK, headers=booking("b1", 1)))

        async with fleet.caller() as caller, trio.open_nursery() as work:
            for events in streams:
                work.start_soon(read_stream, caller, events)
            work.start_soon(book, caller)
            await trio.sleep(0.5)
            fleet.stops[0].set()
            await trio.sleep(0.01)
            assert (await caller.get("/readyz")).status_code == 503
            assert (await caller.get("/healthz")).status_code == 200
            for response in (
                await caller.post(CHAT, json=chat()),
                await caller.post(BOOK, headers=booking("b2", 1)),
                unnumbered := await caller.post(BOOK, headers=booking("b3")),
            ):
                assert response.status_code == 503
                assert response.json()["reason"] == "stopping"
                assert response.json()["outcome"] == "not_run"
                assert int(response.headers["Retry-After"]) >= 1
            assert "new Idempotency-Key" in unnumbered.json()["detail"]
            assert not fleet.ended[0].is_set()
        for events in streams:
            tokens = len(events) - 2
            assert events[-2] == {"outcome": "answered", "tokens": tokens}
        assert booked[0].status_code == 200
        await trio.sleep(1.0)
        assert fleet.ended[0].is_set()
        assert fleet.runs() == {"b1": 1}

    async def test_nothing_in_flight(self, nursery, autojump_clock):
        """The load balancer probes /readyz every two seconds, and the instance is idle.

        If the instance ended immediately, the load balancer would send callers to a
        closed port until its next probe. The instance refuses them with a response for
        that time, and then ends.
        """
        fleet = await start_fleet(nursery, not_ready_s=2.0)
        async with fleet.caller() as caller:
            fleet.stops[0].set()
            await trio.sleep(1.9)
            assert (await caller.get("/readyz")).status_code == 503
            response = await caller.post(CHAT, json=chat())
            assert response.json()["reason"] == "stopping"
        await trio.sleep(1.0)
        assert fleet.ended[0].is_set()

    async def test_accepted_without_a_caller(self, nursery, autojump_clock):
        """An accepted request completes although its caller has disconnected."""
        fleet = await start_fleet(nursery, not_ready_s=0.0)
        async with fleet.caller() as caller:
            response = await caller.post(
                CHAT, json=chat(800), headers={"Prefer": "respond-async"}
            )
        request_id = response.json()["id"]
        generation = fleet.entries[0].relay.table.find("estimator-1", request_id)
        fleet.stops[0].set()
        await fleet.ended[0].wait()
        events = [e async for part in generation.subscribe() for e in events_of(part)]
        assert events[-2]["outcome"] == "answered"

    async def test_second_signal(self, nursery, autojump_clock):
        """A second signal ends the shutdown early while a stream is open.

        The process ends immediately. The caller's stream breaks off in the middle of
        its framing, which no client mistakes for the end of a response.
        """
        fleet = await start_fleet(nursery)
        async with (
            fleet.caller() as caller,
            caller.stream("POST", CHAT, json=chat(4000)) as response,
        ):
            fleet.stops[0].set()
            await trio.sleep(1.0)
            fleet.scopes[0].cancel()
            with pytest.raises(httpx.TransportError):
                await response.aread()
        assert fleet.ended[0].is_set()

    async def test_caller_that_reads_late(self, nursery, autojump_clock):
        """The response is complete before its caller has read it.

        The part that does not fit into the buffers of the connection is still in the
        process, which must not end before it is written.
        """
        fleet = await start_fleet(nursery)
        async with (
            fleet.caller() as caller,
            caller.stream("POST", CHAT, json=chat(4000)) as response,
        ):
            fleet.stops[0].set()
            await trio.sleep(18.0)
            events = events_of(await response.aread())
        assert events[-2] == {"outcome": "answered", "tokens": len(events) - 2}

    async def test_caller_that_never_reads(self, nursery, autojump_clock):
        """A caller opens a long stream and never reads it.

        Its response fills the buffers and the writer waits. Without a timeout the
        shutdown would wait for it indefinitely. The connection is closed instead, and
        the process ends well within the timeout of the drain.
        """
        fleet = await start_fleet(nursery, drain_timeout_s=500.0)
        body = json.dumps(chat(4000)).encode()
        head = (
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        stream = await fleet.network.dial(Address("10.0.3.1", 8100))
        await stream.send_all(head.encode() + body)
        await trio.sleep(0.5)
        fleet.stops[0].set()
        started_s = trio.current_time()
        await fleet.ended[0].wait()
        assert trio.current_time() - started_s < 60.0

    async def test_timeout(self, nursery, autojump_clock):
        """A booking hangs at its server: the shutdown continues after its timeout."""
        fleet = await start_fleet(nursery, drain_timeout_s=2.0)
        for plain in fleet.plains.values():
            plain.faults.append(PlainFault("silent_after"))

        async def book():
            async with fleet.caller() as caller:
                try:
                    await caller.post(BOOK, headers=booking("b1", 1))
                except httpx.TransportError:
                    return

        nursery.start_soon(book)
        await trio.sleep(0.5)
        fleet.stops[0].set()
        started_s = trio.current_time()
        await fleet.ended[0].wait()
        assert 2.0 <= trio.current_time() - started_s < 9.0


class TestDrain:
    async def test_waits_for_what_is_in_flight(self, nursery, autojump_clock):
        drain = Drain()

        async def work():
            with drain:
                await trio.sleep(3.0)

        nursery.start_soon(work)
        await trio.sleep(0.1)
        assert not await drain.wait_idle(1.0)
        assert await drain.wait_idle(10.0)
        assert trio.current_time() == 3.0


class TestSignals:
    """The real process: SIGTERM ends it with exit code 0 and no traceback."""

    def test_sigterm(self, tmp_path):
        (tmp_path / "key").write_text("a cluster key of tests")
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        settings = {
            "node": "waco-a-1",
            "zone": "waco-a",
            "region": "tx-central",
            "listen": {"callers": f"127.0.0.1:{port}"},
            "agent": "127.0.0.1:9",
            "cluster_key_file": "key",
        }
        file = tmp_path / "entry.json"
        file.write_text(json.dumps(settings))
        process = subprocess.Popen(
            [sys.executable, "-m", "rosemaryknot.process.entry_main", str(file)],
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            for line in process.stderr:
                if "serving callers" in line:
                    break
            ready = httpx.get(f"http://127.0.0.1:{port}/readyz", trust_env=False)
            assert ready.status_code == 503
            process.send_signal(signal.SIGTERM)
            _, errors = process.communicate(timeout=20)
        finally:
            process.kill()
        assert process.returncode == 0
        assert "Traceback" not in errors
