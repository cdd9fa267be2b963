"""The callers' requests of a scenario, what came of them, and the audit of each."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio

from rosemaryknot.replay.audit import Violation, audit_booking, audit_model
from rosemaryknot.replay.callers import BookingPlan, Caller, outcome_of
from rosemaryknot.replay.notes import BookingNote, ModelNote, Reply
from rosemaryknot.replay.scenario import KINDS, RequestStep
from rosemaryknot.replay.system import System
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.ledger import GenerationEntry
from rosemaryknot.standin.plain import PlainStandIn, Run
from rosemaryknot.version.keys import key_digest

__all__ = ["Keys", "Record", "Requests"]

PICKUP_TIME_S = 120.0


class Keys:
    """API keys of a scenario's callers and operators, equal for equal seeds.

    Parameters
    ----------
    customers, operators : list of str
        Who needs one.
    seed : int
        Makes the secrets. They guard nothing outside of the run.

    Attributes
    ----------
    stored : dict
        The ``keys`` of the configuration document.
    by_customer, by_operator : dict of str to str
        API keys by their owner.
    """

    def __init__(self, customers: list[str], operators: list[str], seed: int) -> None:
        self.rng = random.Random(f"{seed} keys")
        self.stored: dict[str, dict[str, str]] = {}
        self.by_customer = {name: self.new_key(customer=name) for name in customers}
        self.by_operator = {
            name: self.new_key(operator=name, role="editor") for name in operators
        }

    def new_key(self, **owner: str) -> str:
        """Return a new key after storing what proves it."""
        key_id, secret = self.rng.randbytes(6).hex(), self.rng.randbytes(16).hex()
        salt = self.rng.randbytes(16)
        digest = key_digest(salt, secret)
        self.stored[key_id] = {"salt": salt.hex(), "sha256": digest, **owner}
        return f"{key_id}.{secret}"


@dataclass(slots=True)
class Record:
    """One request and what its caller noted.

    Attributes
    ----------
    request : RequestStep
        What was asked.
    note : ModelNote or BookingNote
        What came back; an idempotent read has a `BookingNote` too.
    sent_s : float
        When it was first sent, in virtual seconds.
    gaps_s : list of float
        Times between the tokens of an answer, in seconds.
    """

    request: RequestStep
    note: ModelNote | BookingNote
    sent_s: float
    gaps_s: list[float] = field(default_factory=list)

    @property
    def outcome(self) -> str:
        """Result as scenarios name it; ``open`` before one is known."""
        note = self.note
        if isinstance(note, ModelNote):
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
        """Time to the first token, in seconds; infinite before it."""
        if not isinstance(self.note, ModelNote) or not self.note.first_token_s:
            return float("inf")
        return self.note.first_token_s - self.sent_s


class TimedCaller(Caller):
    """A caller that notes the time between tokens."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.gaps_s: list[float] = []
        self.token_s = 0.0

    def take_token(self, note: ModelNote, event: dict) -> None:
        """Note one token and when it came."""
        super().take_token(note, event)
        now_s = trio.current_time()
        if self.token_s:
            self.gaps_s.append(now_s - self.token_s)
        self.token_s = now_s


def prompt_of(request: RequestStep) -> str:
    """Return a prompt of the request's length, its shared beginning first."""
    shared = [f"{request.prefix}{n}" for n in range(request.prefix_words)]
    own = ["oak"] * (request.words - request.prefix_words)
    return " ".join([*shared, request.name, *own])


class Requests:
    """All requests of a run.

    Parameters
    ----------
    system : System
        The running system.
    client : httpx.AsyncClient
        The callers' connections.
    keys : Keys
        Their keys.
    seed : int
        For the choice of entries.

    Attributes
    ----------
    records : dict of str to Record
        Those sent so far, by name.
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
        """Return the callers' addresses of a zone or node, or of all."""
        return [
            str(node.settings.listen.callers)
            for name, node in self.system.nodes.items()
            if place in ("", name, node.settings.zone)
        ]

    def caller(self, request: RequestStep) -> TimedCaller:
        """Return a caller with random numbers of its own."""
        rng = random.Random(f"{self.seed} {request.name} {request.attempt}")
        api_key = self.keys.by_customer[request.customer]
        near = self.entries(request.place)
        return TimedCaller(self.client, api_key, self.entries(""), rng, near)

    async def send(self, request: RequestStep) -> None:
        """Send a request and note what comes of it."""
        kind = KINDS[request.kind]
        caller = self.caller(request)
        if kind.is_model:
            note = ModelNote(prompt_of(request), request.tokens)
            self.add(request, note).gaps_s = caller.gaps_s
            await caller.ask(note, kind.service, PICKUP_TIME_S)
            return
        note = self.plain_note(request)
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

    def plain_note(self, request: RequestStep) -> BookingNote:
        """Return the note of a booking or alert; repeats of a trace share it."""
        known = self.records.get(request.name)
        if known is not None:
            return known.note
        service = KINDS[request.kind].service
        note = BookingNote(request.name, service, request.declares)
        self.add(request, note)
        return note

    def add(self, request: RequestStep, note: ModelNote | BookingNote) -> Record:
        """Open the record of a request."""
        record = Record(request, note, trio.current_time())
        self.records[request.name] = record
        return record

    async def read(
        self, caller: Caller, note: BookingNote, request: RequestStep, path: str
    ) -> None:
        """Send an idempotent read once."""
        entry = caller.next_entry()
        reply = Reply(1, 0, trio.current_time(), "none", entry=entry)
        url = f"http://{entry}/services/{note.service}/{path}"
        try:
            with trio.fail_after(request.timeout_s):
                response = await self.client.get(url, headers=caller.headers)
            reply.outcome, reply.reason = outcome_of(response)
            reply.body = response.text
        except (httpx.HTTPError, trio.TooSlowError) as error:
            reply.reason = type(error).__name__
        note.replies.append(reply)

    # What the ledgers say

    def runs_of(self, note: BookingNote) -> list[Run]:
        """Return the runs with a note's key on all servers."""
        return [
            run
            for server in self.system.servers.values()
            if isinstance(server.standin, PlainStandIn)
            and server.listed.service == note.service
            for run in server.standin.runs
            if run.key == note.key
        ]

    def generations(self) -> Iterator[GenerationEntry]:
        """Return the ledger lines of all engines."""
        for server in self.system.servers.values():
            if isinstance(server.standin, EngineStandIn):
                yield from server.standin.batch.ledger

    def violations(self, record: Record) -> list[Violation]:
        """Return what is wrong with what a caller was told."""
        note = record.note
        if isinstance(note, ModelNote):
            return audit_model(note, lambda note: note.entry in self.system.unannounced)
        if KINDS[record.request.kind].path:
            return self.read_violations(record)
        return audit_booking(note, self.runs_of(note))

    def read_violations(self, record: Record) -> list[Violation]:
        """Return what is wrong with an answer to an idempotent read."""
        path = KINDS[record.request.kind].path
        return [
            Violation("crossed", record.request.name, reply.body[:80])
            for reply in record.note.replies
            if reply.outcome == "answered" and f'"/{path}"' not in reply.body
        ]
