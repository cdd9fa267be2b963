"""Tests of calls that are forwarded through other nodes."""

import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.connection.links import CallFailed, Handlers
from rosemaryknot.process.peer_forwarding import Forwarder
from rosemaryknot.process.peer_links import LinkPlan
from rosemaryknot.values.nodes import Node
from rosemaryknot.values.peers import PeerForward, PeerForwarded, PeerProbe

NODES = [Node(f"n{number}", "z0", 1) for number in range(4)]


class SlowLink:
    """A link whose other end refuses a call just after its timeout."""

    def __init__(self):
        self.timeouts_s = []

    async def call(self, value, timeout_s):
        self.timeouts_s.append(timeout_s)
        with trio.move_on_after(timeout_s):
            await trio.sleep_forever()
        await trio.sleep(0.01)
        return CallFailed("closed", maybe_handled=False)

    async def send(self, value):
        return True


def forwarder(links):
    return Forwarder(
        NODES[0],
        Handlers(),
        links.get,
        lambda: [node for node in NODES if node.name in links],
        lambda: NODES,
        LinkPlan(),
    )


class TestTimeout:
    async def test_no_second_route_after_timeout(self, autojump_clock):
        """A call is forwarded through a node that refuses just after the timeout.

        The call was then forwarded on the next route with a negative timeout, which
        ended the process. It must fail instead, as certainly not handled.
        """
        links = {"n1": SlowLink(), "n2": SlowLink()}
        outcome = await forwarder(links).call("n3", PeerProbe(), 1.0, skip_direct=True)
        assert isinstance(outcome, CallFailed) and not outcome.maybe_handled
        call_counts = [len(link.timeouts_s) for link in links.values()]
        assert sorted(call_counts) == [0, 1]


class TestMalformedEnvelopes:
    """Envelopes with arbitrary fields from other nodes do not end the process."""

    @given(
        timeout_s=st.one_of(st.floats(), st.integers(), st.text(), st.none()),
        path=st.one_of(st.lists(st.text(max_size=3), max_size=6), st.integers()),
        source=st.one_of(st.lists(st.one_of(st.text(), st.integers())), st.none()),
        payload=st.one_of(st.binary(max_size=40), st.text()),
        target=st.sampled_from(["n0", "n3", "other", 7]),
        wants_answer=st.booleans(),
    )
    def test_any_envelope(self, timeout_s, path, source, payload, target, wants_answer):
        envelope = PeerForward(target, source, path, payload, timeout_s, wants_answer)

        async def main():
            links = {"n1": SlowLink()}
            with trio.move_on_after(1.0):
                return await forwarder(links).handle(envelope, None)
            return None

        response = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert response is None or isinstance(response, PeerForwarded)
