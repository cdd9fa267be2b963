"""Fixture: a relay with stand-in engines on an in-memory network."""

import json

import trio

from rosemaryknot.connection.memory_network import MemoryNetwork
from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.relay import ModelRelay
from rosemaryknot.standin.answers import prompt_text, whole_answer
from rosemaryknot.standin.batch import EngineSettings
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.ledger import recomputed_tokens
from rosemaryknot.values.configuration import document_digest
from rosemaryknot.values.nodes import Address, BackendServer
from rosemaryknot.values.outcomes import Answered
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.version.view import ConfigurationView

EPOCH_S = 1_000_000.0
SERVICE = "kit-assistant"
ZONES = ("waco-a", "waco-b", "temple-c")


def unix_time() -> float:
    return EPOCH_S + trio.current_time()


def lineages():
    numbers = iter(range(1_000_000))
    return lambda: f"lineage-{next(numbers)}"


class Fleet:
    """A relay in zone waco-a with named engines, each on its own host."""

    def __init__(self, move_policy="planned_moves", moves_kv=True, **safeguards):
        self.network = MemoryNetwork("10.0.0.1")
        self.servers = ServerTable(Safeguards(**safeguards), absence_timeout_s=1e9)
        self.engines: dict[str, EngineStandIn] = {}
        self.backends: dict[str, BackendServer] = {}
        holder = ConfigurationHolder(ConfigurationView.from_document)
        service = {"kind": "model", "step_time_ms": 3, "moves_kv": moves_kv}
        document = {"services": {SERVICE: service}}
        holder.apply(1, document_digest(document), document, "test")
        self.relay = ModelRelay(
            self.network,
            self.servers,
            holder,
            zone="waco-a",
            node="waco-a-1",
            safeguards=Safeguards(**safeguards),
            move_policy=move_policy,
            unix_time=unix_time,
            new_lineage=lineages(),
        )

    async def add(
        self, nursery, name, zone="waco-a", version="", **settings
    ) -> EngineStandIn:
        """Start an engine and list it immediately."""
        host = f"10.0.1.{len(self.engines) + 1}"
        engine = EngineStandIn(EngineSettings(**settings), unix_time)
        await nursery.start(
            engine.serve, self.network.with_host(host), Address(host, 9000)
        )
        self.engines[name] = engine
        self.backends[name] = BackendServer(
            name,
            SERVICE,
            zone,
            "g1",
            True,
            f"{host}:9000",
            software_version=version,
        )
        self.servers.apply_list(list(self.backends.values()))
        return engine

    async def start(self, nursery, *zones, **settings) -> "Fleet":
        """Start engines e0, e1, … in these zones, and the relay."""
        for index, zone in enumerate(zones):
            await self.add(nursery, f"e{index}", zone, **settings)
        await nursery.start(self.relay.run)
        return self

    def host(self, name: str) -> str:
        return self.backends[name].address.split(":")[0]

    def kill(self, name: str) -> None:
        """Stop an engine and reset its connections."""
        self.engines[name].kill()
        self.network.kill_host(self.host(name))

    def silence(self, name: str) -> int:
        """Silence the open connections of an engine; new connections work."""
        return self.network.silence(self.network.host, self.host(name))

    def reclaim(self, name: str, notice_s: float) -> None:
        """Send the reclaim notice of an engine."""
        self.engines[name].leaving = True
        deadline = unix_time() + notice_s
        self.servers.mark_leaving(name, deadline, "notice")

    async def request(
        self, request_id="r1", words=40, max_tokens=200, timeout_s=60.0, priority=0
    ) -> Generation:
        now_s = trio.current_time()
        text = f"{request_id} " + " ".join(f"beam{n}" for n in range(words))
        messages = [{"role": "user", "content": text}]
        body = {"model": SERVICE, "messages": messages, "max_tokens": max_tokens}
        return await self.relay.start(
            ModelRequest(
                request_id,
                "estimator-1",
                SERVICE,
                messages,
                max_tokens,
                True,
                priority,
                now_s,
                now_s + timeout_s,
                body,
            )
        )

    def server_of(self, generation: Generation) -> str:
        """Return the engine that runs a generation."""
        return self.relay.mover.running[generation.request_id].server.instance

    def recomputed(self) -> int:
        """Return the number of recomputed tokens in the engines' ledgers."""
        engines = self.engines.values()
        return recomputed_tokens([e for g in engines for e in g.batch.ledger])


def expected(generation: Generation) -> list[str]:
    """Return the expected tokens of the complete response."""
    request = generation.request
    prompt = prompt_text(request.messages)
    return whole_answer(prompt, generation.lineage, request.max_tokens)


def assert_whole(generation: Generation) -> None:
    """Check that the response is complete and contains only its own tokens."""
    assert isinstance(generation.outcome, Answered), generation.outcome
    assert generation.token_texts() == expected(generation)


def events_of(data: bytes) -> list[dict | str]:
    """Return the events of a stream; the last one is ``[DONE]``."""
    texts = [event.removeprefix("data: ") for event in data.decode().split("\n\n")[:-1]]
    return [json.loads(text) if text != "[DONE]" else text for text in texts]
