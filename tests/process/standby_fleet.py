"""The whole system in virtual time with callers of two customers."""

import random

import trio
from trio.testing import MockClock

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.audit import audit_model
from rosemaryknot.replay.callers import Caller
from rosemaryknot.replay.hosts import HostInstrument
from rosemaryknot.replay.notes import ModelNote
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.version.view import new_key

MODEL = "kit-assistant"
ZONES = ["waco-a", "waco-b", "temple-c"]
RELAY = "waco-a-1"
STEP_S = 0.02
LONG, SHORT = 600, 100
PATIENCE_S = 60.0


class Fleet:
    """A running system and its callers' connections."""

    def __init__(self, system, client, keys):
        self.system = system
        self.client = client
        self.keys = keys

    def address(self, node):
        return str(self.system.nodes[node].settings.listen.callers)

    def others(self):
        return [self.address(name) for name in self.system.nodes if name != RELAY]

    def caller(self, nodes, customer="estimator-1"):
        entries = [self.address(node) for node in nodes]
        return Caller(self.client, self.keys[customer], entries, random.Random(1))

    async def ask(self, note, caller):
        """Stream from the relay; pick the rest up at the other nodes."""
        caller.entries = [self.address(RELAY)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.ask, note, MODEL, PATIENCE_S)
            while not note.tokens:
                await trio.sleep(STEP_S)
            caller.entries = self.others()

    async def get(self, node, path, customer="estimator-1"):
        headers = {"Authorization": f"Bearer {self.keys[customer]}"}
        url = f"http://{self.address(node)}{path}"
        return await self.client.get(url, headers=headers)

    async def wait_tokens(self, note, count):
        while len(note.tokens) < count:
            await trio.sleep(STEP_S)

    def standby_of(self, note):
        """Return the node that the relay copies a request to; empty for none."""
        copies = self.system.nodes[RELAY].entry_process.standby.copies
        copied = copies.get(("estimator-1", note.id))
        return copied.standby if copied else ""

    async def whole_from(self, node, note):
        """Pick a request up from its start at one node."""
        again = ModelNote(note.prompt, note.max_tokens, id=note.id)
        caller = self.caller([node])
        with trio.move_on_after(PATIENCE_S):
            while again.outcome == "none":
                await caller.pick_up(again)
                await trio.sleep(0.2)
        assert_whole(again)
        return again


def assert_whole(note):
    assert note.outcome == "answered", (note.outcome, note.reason, len(note.tokens))
    assert audit_model(note, lambda _: False) == []


def run_story(story, nodes_per_zone=1, **safeguards):
    """Run an async function of a fleet in virtual time."""
    keys, entries = {}, {}
    for customer in ("estimator-1", "estimator-2"):
        keys[customer], entry = new_key(customer)
        entries.update(entry)
    service = {"kind": "model", "step_time_ms": 20, "max_tokens": 2048}
    service |= {"standby_min_tokens": 256, "timeout_s": 120}
    document = {
        "services": {MODEL: service},
        "customers": {customer: {} for customer in keys},
        "keys": entries,
    }
    plan = SystemPlan(document, ZONES, nodes_per_zone, {MODEL: 1}, {MODEL: "model"})
    plan.engine.step_time_s = STEP_S
    plan.safeguards = Safeguards(**safeguards)

    async def main():
        async with trio.open_nursery() as nursery:
            system = System(plan, nursery)
            try:
                await system.start()
                await trio.sleep(3.0)
                async with http_client(system.callers, None) as client:
                    with trio.fail_after(300.0):
                        await story(Fleet(system, client, keys))
            finally:
                system.dispose()
                nursery.cancel_scope.cancel()

    trio.run(
        main, clock=MockClock(autojump_threshold=0), instruments=[HostInstrument()]
    )
