"""Tests of calls that are forwarded through other nodes."""

import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from rosemaryknot.connection.links import CallFailed, Handlers
from rosemaryknot.process.peer_forwarding import ZONE_UNREACHABLE, Forwarder
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


REMOTE = [Node(f"r{number}", "z1", 1) for number in range(3)]
RELAYS = [Node(f"n{number}", "z0", 1) for number in range(1, 4)]


class ReplyingLink:
    """A link whose other end replies to each call in the same way."""

    def __init__(self, node, reply):
        self.hello = node
        self.reply = reply
        self.calls = 0

    async def call(self, value, timeout_s):
        self.calls += 1
        return self.reply


def sender_with(reply):
    """Return a forwarder that is linked to the relays of its zone, and its links."""
    links = {node.name: ReplyingLink(node, reply) for node in RELAYS}
    own = Node("n0", "z0", 1)
    forwarder = Forwarder(
        own,
        Handlers(),
        links.get,
        lambda: RELAYS,
        lambda: [*RELAYS, *REMOTE],
        LinkPlan(),
    )
    return forwarder, links


class TestOutOfReach:
    async def test_cut_zone_is_asked_for_once(self, autojump_clock):
        """Guards against a dozen messages for each call to a zone that is cut off."""
        forwarder, links = sender_with(PeerForwarded(reason=ZONE_UNREACHABLE))
        for _ in range(10):
            for node in REMOTE:
                outcome = await forwarder.call(node.name, PeerProbe(), 1.0)
                assert outcome == CallFailed("unreachable", maybe_handled=False)
        assert sum(link.calls for link in links.values()) == 2
        await trio.sleep(1.0)
        assert not forwarder.is_out_of_reach("r0")

    async def test_node_that_is_gone(self, autojump_clock):
        """The other nodes of its zone are called all the same."""
        forwarder, _ = sender_with(PeerForwarded(reason="unreachable"))
        await forwarder.call("r0", PeerProbe(), 1.0)
        assert forwarder.is_out_of_reach("r0")
        assert not forwarder.is_out_of_reach("r1")

    async def test_relay_tries_no_other_route(self, autojump_clock):
        """Guards against messages that wander among relays which lost their target."""
        forwarder, links = sender_with(PeerForwarded(reason="unreachable"))
        envelope = PeerForward("r0", ["x", "z0", 1], ["x"], b"", 1.0, True)
        reply = await forwarder.handle(envelope, None)
        assert reply.reason == "unreachable"
        assert sum(link.calls for link in links.values()) <= 1
