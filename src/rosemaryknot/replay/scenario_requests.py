"""Requests of the callers of a scenario, their results and their audit."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio

from rosemaryknot.replay.audit import Violation, audit_booking, audit_model
from rosemaryknot.replay.caller_records import BookingRecord, ModelRecord, Reply
from rosemaryknot.replay.callers import BookingPlan, Caller, parse_outcome
from rosemaryknot.replay.scenario import KINDS, RequestStep
from rosemaryknot.replay.system import System
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.ledger import GenerationEntry
from rosemaryknot.standin.plain import PlainStandIn, Run
from rosemaryknot.version.keys import key_digest

__all__ = ["Keys", "Record", "Requests"]

PICKUP_TIMEOUT_S = 120.0


class Keys:
    """API keys of callers and operators of a scenario, equal for equal seeds.

    Parameters
    ----------
    customers, operators : list of str
        Names of customers and operators that need a key.
    seed : int
        Seed of the secrets, which are not used outside the run.

    Attributes
    ----------
    stored : dict
        Value of ``keys`` in the configuration document.
    by_customer, by_operator : dict of str to str
        API keys by customer and by operator.
    """

    def __init__(self, customers: list[str], operators: list[str], seed: int) -> None:
        self.rng = random.Random(f"{seed} keys")
        self.stored: dict[str, dict[str, str]] = {}
        self.by_customer = {name: self.new_key(customer=name) for name in customers}
        self.by_operator = {
            name: self.new_key(operator=name, role="editor") for name in operators
        }

    def new_key(self, **owner: str) -> str:
        """Create a key and store its salt and digest."""
        key_id, secret = self.rng.randbytes(6).hex(), self.rng.randbytes(16).hex()
        salt = self.rng.randbytes(16)
        digest = key_digest(salt, secret)
        self.stored[key_id] = {"salt": salt.hex(), "sha256": digest, **owner}
        return f"{key_id}.{secret}"


@dataclass(slots=True)
class Record:
    """Request and what its caller recorded.

    Attributes
    ----------
    request : RequestStep
        Request as stated in the scenario.
    note : ModelRecord or BookingRecord
        Responses that the caller received; an idempotent read also has a
        `BookingRecord`.
    sent_s : float
        Time at which it was first sent, in virtual seconds.
    gaps_s : list of float
        Times between the tokens of the response, in seconds.
    """

    request: RequestStep
    note: ModelRecord | BookingRecord
    sent_s: float
    gaps_s: list[float] = field(default_factory=list)

    @property
    def outcome(self) -> str:
        """Result as named in scenarios; ``open`` until one is known."""
        note = self.note
        if isinstance(note, ModelRecord):
            return {"none": "open", "not_run": "refused"}.get(
                note.outcome, note.outcome
            )
        outcomes = [reply.outcome for reply in note.replies]
        if "answered" in outcomes:
            return "answered"
        last = outcomes[-1] if outcomes else "open"
        return {"not_run": "refused", "none": "unknown"}.get(last, last)

    @property
    def first_token_s(self) -> float:
        """Time to the first token, in seconds; infinite until it is received."""
        if not isinstance(self.note, ModelRecord) or not self.note.first_token_s:
            return float("inf")
        return self.note.first_token_s - self.sent_s


class TimedCaller(Caller):
    """Caller that records the times between tokens."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.gaps_s: list[float] = []
        self.token_s = 0.0

    def record_token(self, note: ModelRecord, event: dict) -> None:
        """Record one token and the time since the previous one."""
        super().record_token(note, event)
        now_s = trio.current_time()
        if self.token_s:
            self.gaps_s.append(now_s - self.token_s)
        self.token_s = now_s


def build_prompt(request: RequestStep) -> str:
    """Return a prompt of the requested length, starting with its shared prefix."""
    shared = [f"{request.prefix}{n}" for n in range(request.prefix_words)]
    own = ["oak"] * (request.words - request.prefix_words)
    return " ".join([*shared, request.name, *own])


class Requests:
    """Requests of a run.

    Parameters
    ----------
    system : System
        The running system.
    client : httpx.AsyncClient
        HTTP client of the callers.
    keys : Keys
        API keys of the callers.
    seed : int
        Seed of the random number generators of the callers.

    Attributes
    ----------
    records : dict of str to Record
        Records of the requests sent so far, by name.
    """

    def __init__(
        self, system: System, client: httpx.AsyncClient, keys: Keys, seed: int
    ) -> None:
        self.system = system
        self.client = client
        self.keys = keys
        self.seed = seed
        self.records: dict[str, Record] = {}

    def entries(self, place: str) -> list[str]:
        """Return the addresses for callers of a zone, of a node or of all nodes."""
        return [
            str(node.settings.listen.callers)
            for name, node in self.system.nodes.items()
            if place in ("", name, node.settings.zone)
        ]

    def caller(self, request: RequestStep) -> TimedCaller:
        """Create a caller with its own random number generator."""
        rng = random.Random(f"{self.seed} {request.name} {request.attempt}")
        api_key = self.keys.by_customer[request.customer]
        first_entries = self.entries(request.place)
        return TimedCaller(self.client, api_key, self.entries(""), rng, first_entries)

    async def send(self, request: RequestStep) -> None:
        """Send a request and record its result."""
        kind = KINDS[request.kind]
        caller = self.caller(request)
        if kind.is_model:
            note = ModelRecord(build_prompt(request), request.tokens)
            self.add(request, note).gaps_s = caller.gaps_s
            await caller.ask(note, kind.service, PICKUP_TIMEOUT_S)
            return
        note = self.plain_record(request)
        if request.attempt and not kind.path:
            plan = BookingPlan(True, 1, request.timeout_s)
            await caller.send_booking(note, plan, request.attempt)
            return
        if kind.path:
            await self.read(caller, note, request, kind.path)
            return
        plan = BookingPlan(
            request.declares, request.sends, request.timeout_s, request.repeat_s
        )
        await caller.book(note, plan)

    def plain_record(self, request: RequestStep) -> BookingRecord:
        """Return the record of a plain request; repeats in a trace share one."""
        known = self.records.get(request.name)
        if known is not None:
            return known.note
        service = KINDS[request.kind].service
        note = BookingRecord(request.name, service, request.declares)
        self.add(request, note)
        return note

    def add(self, request: RequestStep, note: ModelRecord | BookingRecord) -> Record:
        """Add the record of a new request."""
        record = Record(request, note, trio.current_time())
        self.records[request.name] = record
        return record

    async def read(
        self, caller: Caller, note: BookingRecord, request: RequestStep, path: str
    ) -> None:
        """Send an idempotent read once."""
        entry = caller.next_entry()
        reply = Reply(1, 0, trio.current_time(), "none", entry=entry)
        url = f"http://{entry}/services/{note.service}/{path}"
        try:
            with trio.fail_after(request.timeout_s):
                response = await self.client.get(url, headers=caller.headers)
            reply.outcome, reply.reason = parse_outcome(response)
            reply.body = response.text
        except (httpx.HTTPError, trio.TooSlowError) as error:
            reply.reason = type(error).__name__
        note.replies.append(reply)

    # Ledgers of the servers

    def runs_of(self, note: BookingRecord) -> list[Run]:
        """Return the executions of a request on all servers of its service."""
        return [
            run
            for server in self.system.servers.values()
            if isinstance(server.standin, PlainStandIn)
            and server.listed.service == note.service
            for run in server.standin.runs
            if run.key == note.key
        ]

    def generations(self) -> Iterator[GenerationEntry]:
        """Return the ledger entries of all engines."""
        for server in self.system.servers.values():
            if isinstance(server.standin, EngineStandIn):
                yield from server.standin.batch.ledger

    def violations(self, record: Record) -> list[Violation]:
        """Return the violations in the responses that a caller received."""
        note = record.note
        if isinstance(note, ModelRecord):
            return audit_model(
                note, lambda note: note.entry in self.system.killed_entries
            )
        if KINDS[record.request.kind].path:
            return self.read_violations(record)
        return audit_booking(note, self.runs_of(note))

    def read_violations(self, record: Record) -> list[Violation]:
        """Return the violations in the responses to an idempotent read."""
        path = KINDS[record.request.kind].path
        return [
            Violation("crossed", record.request.name, reply.body[:80])
            for reply in record.note.replies
            if reply.outcome == "answered" and f'"/{path}"' not in reply.body
        ]
