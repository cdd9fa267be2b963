"""Tests of at-most-once execution at the entry, alone and with shard owners."""

from collections import Counter

import trio
from tests.process.claim_fakes import FakeCluster

from rosemaryknot.connection.links import MAX_FRAME_BYTES, CallFailed
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.request.at_most_once import AtMostOnce
from rosemaryknot.request.claim_reports import ArrivalNumbers
from rosemaryknot.values.claims import (
    ClaimGranted,
    ClaimRequest,
    ResultRecord,
    ResultStored,
)
from rosemaryknot.values.messages import encode_message
from rosemaryknot.values.nodes import ServerState
from rosemaryknot.values.outcomes import Answered, NotRun, Reason, Running, Unknown
from rosemaryknot.values.requests import NotSent, PlainRequest

NODES = ("a-1", "a-2", "b-1", "b-2", "c-1", "c-2")


def request_of(key="k", attempt=0, body=b"b"):
    now_s = trio.current_time()
    return PlainRequest(
        request_id=f"r-{key}-{attempt}",
        customer="estimator-1",
        service="dispatch-app",
        method="POST",
        path="/slots",
        headers=[],
        body=body,
        key=key,
        attempt=attempt,
        body_digest=body,
        arrived_s=now_s,
        deadline_s=now_s + 60,
    )


class LocalAgent:
    """Link that calls the handlers of one node of a `FakeCluster`."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.is_unreachable = False

    async def call(self, message, timeout_s):
        with trio.move_on_after(timeout_s):
            is_too_large = len(encode_message(message)) > MAX_FRAME_BYTES
            if self.is_unreachable or is_too_large:
                await trio.sleep_forever()
            handlers = self.cluster.members[self.name].handlers
            return await handlers.by_type[type(message)](message, None)
        return CallFailed("timeout", maybe_handled=True)


class Ledger:
    """Plain service that counts the executions of each id."""

    def __init__(self):
        self.runs = Counter()

    def sender(self, request, delay_s=0.01, before=None):
        async def send():
            if before is not None:
                await before.wait()
            self.runs[request.key] += 1
            await trio.sleep(delay_s)
            return Answered(201, [], b"slot 4")

        return send


class Harness:
    """Entries of a cluster and the ledger of their service."""

    def __init__(self, cluster, safeguards=None):
        self.cluster = cluster
        self.ledger = Ledger()
        self.entries = {
            name: AtMostOnce(LocalAgent(cluster, name), safeguards=safeguards)
            for name in cluster.members
        }
        for entry in self.entries.values():
            cluster.nursery.start_soon(entry.run_reports)

    async def run(self, name, request, **options):
        entry = self.entries[name]
        return await entry.run(request, self.ledger.sender(request, **options))


async def start_harness(nursery, safeguards=None):
    cluster = FakeCluster(nursery)
    await cluster.start(*NODES)
    harness = Harness(cluster, safeguards)
    await trio.sleep(5)
    return harness


class TestAtMostOnce:
    async def test_retry_gets_the_same_response(self, autojump_clock, nursery):
        harness = await start_harness(nursery)
        one = await harness.run("a-1", request_of(attempt=1))
        await trio.sleep(1)
        two = await harness.run("c-1", request_of(attempt=2))
        assert one == two == Answered(201, [], b"slot 4")
        assert harness.ledger.runs["k"] == 1

    async def test_suspended_entry_is_the_only_one_to_send(
        self, autojump_clock, nursery
    ):
        """An entry is suspended for minutes between the grant and its send.

        Meanwhile the caller retries at other entries. They receive "running", then
        "unknown", and never a grant. The suspended entry resumes and sends the request,
        which is the only execution.
        """
        harness = await start_harness(nursery)
        wake = trio.Event()
        request = request_of(attempt=1)
        nursery.start_soon(
            lambda: harness.run("a-1", request, before=wake), name="suspended entry"
        )
        await trio.sleep(10)
        assert isinstance(await harness.run("b-1", request_of(attempt=2)), Running)
        await trio.sleep(120)
        late = await harness.run("b-1", request_of(attempt=3))
        assert late == Unknown(Reason.TIMED_OUT)
        wake.set()
        await trio.sleep(10)
        assert isinstance(await harness.run("b-1", request_of(attempt=4)), Answered)
        assert harness.ledger.runs["k"] == 1

    async def test_refusal_closes_queued_earlier_attempts(
        self, autojump_clock, nursery
    ):
        """An earlier attempt must not run after a later one was refused as "not run".

        Attempt 1 is queued at entry a-1. Its caller gives up and sends attempt 2 to
        entry b-1, which is overloaded and refuses it. Then attempt 1 is served. With
        the safeguard that closes attempts turned off, it runs.
        """
        for is_on in (False, True):
            async with trio.open_nursery() as inner:
                harness = await start_harness(inner, Safeguards(close_attempts=is_on))
                waiting = request_of(attempt=1)
                await trio.sleep(1)
                refused = await harness.entries["b-1"].refuse(
                    request_of(attempt=2), Reason.OVERLOADED, 1.0
                )
                assert refused == NotRun(Reason.OVERLOADED, 1.0)
                late = await harness.run("a-1", waiting)
                assert isinstance(late, NotRun) == is_on
                assert harness.ledger.runs["k"] == (0 if is_on else 1)
                await trio.sleep(1)
                third = await harness.run("a-1", request_of(attempt=3))
                assert isinstance(third, Answered)
                inner.cancel_scope.cancel()

    async def test_refusal_without_number_closes_key(self, autojump_clock, nursery):
        """A request without an attempt number is refused because of an overload.

        The refusal has to close the key permanently. It says when to retry and that a
        retry needs a new key, and so does each later refusal of the same key.
        """
        harness = await start_harness(nursery)
        entry = harness.entries["b-1"]
        refused = await entry.refuse(request_of(), Reason.OVERLOADED, 1.2)
        assert (refused.reason, refused.retry_after_s) == (Reason.OVERLOADED, 1.2)
        assert "new Idempotency-Key" in refused.detail and "2 s" in refused.detail
        for attempt in (0, 1, 2):
            again = await harness.run("a-1", request_of(attempt=attempt))
            assert (again.reason, again.retry_after_s) == (Reason.ATTEMPT_CLOSED, 0.0)
            assert "new Idempotency-Key" in again.detail
            assert "higher" not in again.detail
        assert harness.ledger.runs == {}

    async def test_refusal_of_numbered_attempt_keeps_key_open(
        self, autojump_clock, nursery
    ):
        harness = await start_harness(nursery)
        entry = harness.entries["b-1"]
        refused = await entry.refuse(request_of(attempt=2), Reason.OVERLOADED, 1.2)
        assert refused.retry_after_s == 1.2
        closed = await harness.run("a-1", request_of(attempt=2))
        assert "higher Rosemaryknot-Attempt" in closed.detail
        third = await harness.run("a-1", request_of(attempt=3))
        assert isinstance(third, Answered)

    async def test_unsent_request_without_number_requires_new_key(
        self, autojump_clock, nursery
    ):
        harness = await start_harness(nursery)

        async def send():
            return NotSent(Reason.NO_SERVER)

        unsent = await harness.entries["a-1"].run(request_of(), send)
        assert unsent.reason == Reason.NO_SERVER
        assert unsent.retry_after_s > 0
        assert "new Idempotency-Key" in unsent.detail

    async def test_refusal_returns_stored_response(self, autojump_clock, nursery):
        harness = await start_harness(nursery)
        await harness.run("a-1", request_of(attempt=1))
        await trio.sleep(1)
        refused = await harness.entries["b-1"].refuse(
            request_of(attempt=2), Reason.OVERLOADED, 1.0
        )
        assert refused == Answered(201, [], b"slot 4")

    async def test_refusal_of_first_attempt_needs_no_call(
        self, autojump_clock, nursery
    ):
        agent = ScriptedAgent([])
        entry = AtMostOnce(agent)
        refused = await entry.refuse(request_of(attempt=1), Reason.OVERLOADED, 1.0)
        assert refused == NotRun(Reason.OVERLOADED, 1.0)
        assert agent.calls == []

    async def test_unreachable_owner_gives_no_false_not_run(
        self, autojump_clock, nursery
    ):
        """The agent does not respond, so nothing can be claimed or closed.

        Only a declared attempt 1 may receive "not run", as a later one may repeat a
        request that ran. The refusal of a later one is "unknown" as well.
        """
        harness = await start_harness(nursery)
        harness.entries["a-1"].agent.is_unreachable = True
        outcomes = [
            await harness.run("a-1", request_of(f"k{n}", attempt=n)) for n in (0, 1, 2)
        ]
        assert [type(outcome) for outcome in outcomes] == [Unknown, NotRun, Unknown]
        refused = await harness.entries["a-1"].refuse(
            request_of("k9", attempt=2), Reason.OVERLOADED, 1.0
        )
        assert refused == Unknown(
            Reason.NOT_PROVEN, "The attempts could not be closed."
        )
        assert not harness.ledger.runs

    async def test_owner_fails_during_the_send(self, autojump_clock, nursery):
        """The owner fails after its grant, while the request is at the service.

        The response still reaches the caller. The new owner has the open grant from a
        replica and accepts the report. A retry receives the same response.
        """
        harness = await start_harness(nursery)
        key = harness.cluster.key_owned_by("a-1")
        outcomes = []

        async def run():
            request = request_of(key, attempt=1)
            outcomes.append(await harness.run("b-1", request, delay_s=1.0))

        nursery.start_soon(run)
        await trio.sleep(0.5)
        harness.cluster.kill("a-1", ServerState.TERMINATED)
        await trio.sleep(30)
        assert outcomes == [Answered(201, [], b"slot 4")]
        repeat = await harness.run("c-1", request_of(key, attempt=2))
        assert repeat == outcomes[0]
        assert harness.ledger.runs[key] == 1

    async def test_unsent_request_can_be_retried(self, autojump_clock, nursery):
        harness = await start_harness(nursery)

        async def send():
            return NotSent(Reason.NO_SERVER)

        outcome = await harness.entries["a-1"].run(request_of(attempt=1), send)
        assert isinstance(outcome, NotRun)
        again = await harness.run("b-1", request_of(attempt=2))
        assert isinstance(again, Answered)


class ScriptedAgent:
    """Agent that replies from a script and records the calls."""

    def __init__(self, replies):
        self.replies = replies
        self.calls = []

    async def call(self, message, timeout_s):
        self.calls.append(message)
        reply = self.replies.pop(0) if self.replies else None
        if reply is None:
            await trio.sleep(timeout_s)
            return CallFailed("timeout", maybe_handled=True)
        return reply


class TestLateGrant:
    async def test_claim_without_reply_is_reported_unused(
        self, autojump_clock, nursery
    ):
        """A claim is granted, but the reply does not arrive in time.

        The entry does not send the request, not even if the grant arrives later. It
        reports the claim as not sent, so that the id is not blocked indefinitely.
        """
        agent = ScriptedAgent([None])
        entry = AtMostOnce(agent)

        async def send():
            raise AssertionError("sent without a grant")

        outcome = await entry.run(request_of(attempt=2), send)
        assert outcome == Unknown(Reason.OWNER_UNREACHABLE)
        nursery.start_soon(entry.reports.run)
        await trio.sleep(1)
        claim, report = agent.calls
        assert isinstance(claim, ClaimRequest) and isinstance(report, ResultRecord)
        assert (report.claim, report.result) == (claim.claim, "not_sent")

    async def test_caller_disconnect_during_send_gives_unknown(
        self, autojump_clock, nursery
    ):
        agent = ScriptedAgent([ClaimGranted("any")])
        entry = AtMostOnce(agent)
        with trio.move_on_after(1):
            await entry.run(request_of(attempt=1), trio.sleep_forever)
        assert [report.result for report in entry.reports.waiting] == ["unknown"]


class TestReports:
    async def test_graceful_shutdown_waits_for_last_result(
        self, autojump_clock, nursery
    ):
        """An entry shuts down right after a response, while its agent is slow.

        The result is stored before the process ends. If it were lost, a retry would
        receive "unknown" although the caller has received a successful response.
        """
        agent = ScriptedAgent([ClaimGranted("any"), None, ResultStored(True)])
        entry = AtMostOnce(agent)
        nursery.start_soon(entry.reports.run)
        ledger = Ledger()
        request = request_of(attempt=1)
        await entry.run(request, ledger.sender(request))
        assert not await entry.reports.wait_empty(1.0)
        assert await entry.reports.wait_empty(5.0)
        assert [type(call) for call in agent.calls[1:]] == [ResultRecord] * 2

    async def test_oversized_response_is_reported_without_body(
        self, autojump_clock, nursery
    ):
        """A service responds with a larger body than a message may carry.

        A report with the complete body would break the link to the agent repeatedly,
        and with it every other claim.
        """
        harness = await start_harness(nursery)
        request = request_of(attempt=1)

        async def send():
            return Answered(200, [], bytes(9 * 1024 * 1024))

        answer = await harness.entries["a-1"].run(request, send)
        assert len(answer.body) == 9 * 1024 * 1024
        await trio.sleep(1)
        repeat = await harness.run("b-1", request_of(attempt=2))
        assert repeat.reason == Reason.ANSWER_LOST
        assert not harness.ledger.runs


class TestArrivalNumbers:
    async def test_request_read_after_suspension_counts_as_old(self, autojump_clock):
        """An entry resumes from a suspension and receives the number of a takeover.

        At the same moment it reads a request that was in its socket before. The request
        must count as older than the takeover, as its attempt may be closed.
        """
        numbers = ArrivalNumbers()
        numbers.record(3)
        await trio.sleep(10)
        numbers.record(4)
        assert numbers.at(trio.current_time()) == 3
        await trio.sleep(2)
        assert numbers.at(trio.current_time()) == 4
