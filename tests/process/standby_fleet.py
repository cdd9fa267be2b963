"""Test fleet: the complete system in virtual time with callers of two customers."""

import random

import trio
from trio.testing import MockClock

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.audit import audit_model
from rosemaryknot.replay.caller_records import ModelRecord
from rosemaryknot.replay.callers import Caller
from rosemaryknot.replay.hosts import HostInstrument
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.version.view import new_key

MODEL = "kit-assistant"
PLAIN = "dispatch-app"
ZONES = ["waco-a", "waco-b", "temple-c"]
RELAY = "waco-a-1"
STEP_S = 0.02
LONG, SHORT = 600, 100
CALLER_TIMEOUT_S = 60.0


class Fleet:
    """A running system and the connections of its callers."""

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

    async def ask(self, record, caller):
        """Stream from the relay, and pick up the remainder at the other nodes."""
        caller.entries = [self.address(RELAY)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.ask, record, MODEL, CALLER_TIMEOUT_S)
            while not record.tokens:
                await trio.sleep(STEP_S)
            caller.entries = self.others()

    async def get(self, node, path, customer="estimator-1"):
        headers = {"Authorization": f"Bearer {self.keys[customer]}"}
        url = f"http://{self.address(node)}{path}"
        return await self.client.get(url, headers=headers)

    async def wait_tokens(self, record, count):
        while len(record.tokens) < count:
            await trio.sleep(STEP_S)

    def standby_node(self, record):
        """Return the node that holds the replica of a request; empty for none."""
        replicas = self.system.nodes[RELAY].entry_process.standby.replicas
        replicated = replicas.get(("estimator-1", record.id))
        return replicated.standby if replicated else ""

    async def pick_up_all(self, node, record):
        """Pick up the complete text of a request at one node."""
        picked_up = ModelRecord(record.prompt, record.max_tokens, id=record.id)
        caller = self.caller([node])
        with trio.move_on_after(CALLER_TIMEOUT_S):
            while picked_up.outcome == "none":
                await caller.pick_up(picked_up)
                await trio.sleep(0.2)
        assert_complete(picked_up)
        return picked_up


def assert_complete(record):
    assert record.outcome == "answered", (
        record.outcome,
        record.reason,
        len(record.tokens),
    )
    assert audit_model(record, lambda _: False) == []


def run_scenario(scenario, nodes_per_zone=1, plain=None, **safeguards):
    """Run an async test scenario with a fleet in virtual time.

    With ``plain``, the definition of a plain service, each zone has a server of it.
    """
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
    kinds = {MODEL: "model"}
    if plain is not None:
        document["services"][PLAIN] = plain
        kinds[PLAIN] = "plain"
    plan = SystemPlan(document, ZONES, nodes_per_zone, dict.fromkeys(kinds, 1), kinds)
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
                        await scenario(Fleet(system, client, keys))
            finally:
                system.dispose()
                nursery.cancel_scope.cancel()

    trio.run(
        main, clock=MockClock(autojump_threshold=0), instruments=[HostInstrument()]
    )
