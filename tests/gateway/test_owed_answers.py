"""Answers that a node owes its callers, and the lines that name those it cuts."""

import contextlib
import json
import os

import pytest
import trio

from rosemaryknot.connection import gateway_server
from rosemaryknot.connection.memory_network import MemoryStream
from rosemaryknot.process import logs
from rosemaryknot.standin.users.system import (
    CALLERS,
    MODEL_HEADERS,
    document,
    platform_system,
)

# Longer than the grace of a planned stop, so that the stop cuts it.
LONG = {
    "Rosemaryknot_Token_Usage": "10,250",
    "Rosemaryknot_Deadline_Ms": "12000",
}


def patient_document() -> dict:
    """Return a configuration whose streams may take twelve seconds."""
    patient = document()
    patient["routes"][0]["timeoutMs"] = 12000
    return patient


class LogPipe:
    """A pipe that takes a process's lines, with its reading end."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def lines(self, *events: str) -> list[dict]:
        """Return the lines of these events written since the last call."""
        data = b""
        try:
            while chunk := os.read(self.reader, 1 << 20):
                data += chunk
        except BlockingIOError:
            pass
        found = [json.loads(line) for line in data.splitlines()]
        return [line for line in found if line["event"] in events]


@pytest.fixture
def log():
    """Return a pipe that the process logs to."""
    pipe = LogPipe()
    logs.configure_logs("json", fd=pipe.writer)
    yield pipe
    logs.configure_logs(level="warning")
    os.close(pipe.writer)
    os.close(pipe.reader)


class TestPlannedStop:
    async def test_cut_answer_is_named(self, autojump_clock, log):
        """A node stops while a stream runs that is longer than its grace.

        The caller has the beginning of the stream and a closed connection. Asked for
        its id, the node's log has to say that the stop cut it, where it ran, since
        when, and how far it was; the number in the last line is that of these lines.
        """
        async with platform_system(configuration=patient_document()) as fleet:
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.2
            caller = await fleet.caller().open()
            await caller.send("/plan/x", request_id="long", **LONG)
            await trio.sleep(1)
            fleet.stops["n0"].set()
            answer = await caller.receive()
            assert answer.status == 200 and not answer.is_whole
            cut, stopped = log.lines("cut off", "stopped")
            assert cut["request"] == "long" and cut["cause"] == "planned stop"
            assert cut["phase"] == "answering" and cut["route"] == "plan"
            assert cut["server"] in ("m0", "m1")
            assert cut["taken_after_stop_s"] == pytest.approx(-1, abs=0.1)
            assert cut["ran_s"] == pytest.approx(8.4, abs=0.1)
            assert cut["left_s"] == pytest.approx(12 - 8.4, abs=0.1)
            assert cut["max_output"] == 250
            assert cut["sent_bytes"] == len(answer.body) > 0
            assert stopped["event"] == "stopped" and stopped["cut_off"] == 1

    async def test_body_that_comes_slowly_is_counted(self, autojump_clock, log):
        """At the end of a planned stop a caller is still sending a body.

        Its request is read in part, its connection is closed without an answer, and
        nothing names it. A head that has not come whole is counted apart: nobody
        knows yet what it asks for.
        """
        async with platform_system() as fleet:
            slow = await fleet.caller().open()
            await slow.stream.send_all(
                b"POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Rosemaryknot-Attempt-Id: slow\r\nContent-Length: 50\r\n\r\n"
            )
            fleet.stops["n0"].set()
            for _ in range(7):
                await slow.stream.send_all(b"x")
                await trio.sleep(1)
            half = await fleet.caller().open()
            await half.stream.send_all(b"GET /stock/x HT")
            await trio.sleep(1)
            cut, stopped = log.lines("cut off", "stopped")
            assert cut["request"] == "slow" and cut["phase"] == "reading its body"
            assert stopped["cut_off"] == 1 and stopped["heads_unread"] == 1

    async def test_stop_that_is_cut_short(self, autojump_clock, log):
        """A second signal ends a planned stop while an answer is owed.

        The stop ended before its last line, so that neither the number of answers
        that were cut nor any of their ids was told.
        """
        async with platform_system(configuration=patient_document()) as fleet:
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.2
            caller = await fleet.caller().open()
            await caller.send("/plan/x", request_id="long", **LONG)
            await trio.sleep(0.5)
            fleet.stops["n0"].set()
            await trio.sleep(1)
            fleet.scopes["n0"].cancel()
            await trio.sleep(0.1)
            cut, stopped = log.lines("cut off", "stopped")
            assert cut["request"] == "long" and cut["cause"] == "planned stop"
            assert stopped["cut_off"] == 1
            assert stopped["took_s"] == pytest.approx(1, abs=0.1)

    async def test_reader_that_is_behind(self, autojump_clock, log):
        """The collector of the lines is behind when a stop ends, and reads on later.

        The pipe was full at the last lines. The end of the stop has to ask that they
        are held, or nobody learns what it cut.
        """
        async with platform_system() as fleet:
            fleet.stops["n0"].set()
            await trio.sleep(1)
            os.set_blocking(log.writer, False)
            with contextlib.suppress(BlockingIOError):
                while os.write(log.writer, b'{"event": ""}\n'):
                    pass
            await trio.sleep(3)
            assert log.lines("stopped") == []
            logs.flush_lines()
            assert len(log.lines("stopped")) == 1

    async def test_whole_stop_names_nobody(self, autojump_clock, log):
        async with platform_system() as fleet:
            await fleet.ask("/plan/x", request_id="short", **MODEL_HEADERS)
            fleet.stops["n0"].set()
            await trio.sleep(4)
            [stopped] = log.lines("cut off", "stopped")
            assert stopped["cut_off"] == 0 and stopped["heads_unread"] == 0


class TestCallersWhoLeave:
    async def test_in_the_middle_of_an_answer(self, autojump_clock, log):
        """A caller closes its connection while its stream runs.

        The request is cancelled, and the log had nothing under its id: neither that
        it was taken nor how it ended.
        """
        async with platform_system(configuration=patient_document()) as fleet:
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.2
            caller = await fleet.caller().open()
            await caller.send("/plan/x", request_id="gone", **LONG)
            await trio.sleep(1)
            await caller.close()
            await trio.sleep(0.1)
            [cut] = log.lines("cut off", "answered", "broke off")
            assert cut["event"] == "cut off" and cut["request"] == "gone"
            assert cut["cause"] == "the caller left" and cut["route"] == "plan"
            assert cut["taken_after_stop_s"] is None
            assert cut["sent_bytes"] > 0

    async def test_in_the_middle_of_a_body(self, autojump_clock, log):
        async with platform_system() as fleet:
            caller = await fleet.caller().open()
            await caller.stream.send_all(
                b"POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
                b"Rosemaryknot-Attempt-Id: half\r\nContent-Length: 50\r\n\r\nx"
            )
            await trio.sleep(0.1)
            await caller.close()
            await trio.sleep(0.1)
            [cut] = log.lines("cut off")
            assert cut["request"] == "half" and cut["cause"] == "the caller left"
            assert cut["phase"] == "reading its body"

    @pytest.mark.parametrize("taken_at_once", [1.0, 0.5])
    async def test_reads_nothing(self, autojump_clock, log, monkeypatch, taken_at_once):
        """A caller reads nothing of a long answer, and is given up after ten seconds.

        Where the server's connection had not taken the whole request at once, the rest
        is sent beside the answer. What gave the caller up came wrapped from there, was
        caught by nobody, and ended the process with all other callers' answers.
        """

        def send_part(stream, data):
            return gateway_server_send(stream, data[: int(len(data) * taken_at_once)])

        gateway_server_send = gateway_server.send_now
        monkeypatch.setattr(gateway_server, "send_now", send_part)
        patient = patient_document()
        patient["routes"][0]["timeoutMs"] = 30000
        async with platform_system(configuration=patient) as fleet:
            fleet.servers["m0"].work_s = fleet.servers["m1"].work_s = 0.0
            caller = await fleet.caller().open()
            await caller.send(
                "/plan/x",
                request_id="deaf",
                Rosemaryknot_Token_Usage="10,100000",
                Rosemaryknot_Deadline_Ms="30000",
            )
            await trio.sleep(12)
            [cut] = log.lines("cut off")
            assert cut["request"] == "deaf"
            assert cut["cause"] == "the caller stood still"
            assert (await fleet.ask("/stock/x", method="GET")).status == 200

    async def test_reads_a_whole_answer_too_late(
        self, autojump_clock, log, monkeypatch
    ):
        """A whole answer is given up a second after its time, and told as answered."""

        async def send_late(stream, data):
            if stream.far == CALLERS:
                await trio.sleep(4)
            await send_at_once(stream, data)

        def send_now(stream, data):
            return 0 if stream.far == CALLERS else send_what_fits(stream, data)

        send_at_once = MemoryStream.send_all
        send_what_fits = MemoryStream.send_now
        monkeypatch.setattr(MemoryStream, "send_all", send_late)
        monkeypatch.setattr(MemoryStream, "send_now", send_now)
        async with platform_system() as fleet:
            assert not (await fleet.ask("/stock/x", method="GET")).is_whole
            [line] = log.lines("cut off", "answered", "broke off")
            assert line["event"] == "broke off" and line["request"] == "r1"
            assert line["reason"] == "the caller did not read it in time"

    async def test_whole_answer_names_nobody(self, autojump_clock, log):
        async with platform_system() as fleet:
            whole = await fleet.ask("/stock/x", method="GET")
            assert whole.is_whole
            assert (await fleet.ask("/none/x")).status == 404
            assert (await fleet.ask("/book/x", body=b"x" * 70000)).status == 413
            await trio.sleep(1)
            [answered] = log.lines("cut off", "answered")
            assert answered["event"] == "answered"
            assert answered["sent_bytes"] == len(whole.body)
