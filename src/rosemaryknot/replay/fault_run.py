"""One seeded run of the whole system under faults, and its audit."""

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import httpx
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.audit import (
    Violation,
    audit_booking,
    audit_leaving,
    audit_model,
)
from rosemaryknot.replay.callers import BookingPlan, Caller
from rosemaryknot.replay.fault_kinds import BOOKING_FAULTS, FAULTS
from rosemaryknot.replay.notes import BookingNote, ModelNote
from rosemaryknot.replay.owner_faults import OWNER_END, OWNER_FAULTS
from rosemaryknot.replay.server_faults import RECLAIM_FAULTS
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.replay.virtual_time import run_in_virtual_time
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.ledger import recomputed_tokens
from rosemaryknot.standin.plain import PlainStandIn, Run
from rosemaryknot.version.keys import new_key

__all__ = ["FaultReport", "run_seed"]

ZONES = ["waco-a", "waco-b", "temple-c"]
MODEL, SHARDS, OBJECTS = "kit-assistant", "dispatch-app", "visit-notify"
CUSTOMERS = ["estimator-1", "estimator-2"]
WARM_UP_S, ACTIVE_S, SETTLE_S = 3.0, 15.0, 25.0
# A successor takes copies for whole only where no holder has started lately.
OWNER_WARM_UP_S = 65.0
BOOKINGS, MANY_BOOKINGS, MODEL_REQUESTS, MANY_MODEL_REQUESTS = 14, 60, 6, 20
ANSWERS, LONG_ANSWERS = (16, 400), (100, 600)
FAULT_COUNT, FEW_FAULTS = (2, 6), (0, 1)
PLAIN_TIMEOUT_S = 5.0
ALL_PROFILE, RECLAIM_PROFILE, BOOKING_PROFILE = "all", "reclaims", "bookings"
OWNER_PROFILE = "owners"
ALWAYS_NEAR_BOOKINGS = ["held requests", "held requests", "service away"]
PROFILES = (
    *(3 * (ALL_PROFILE, RECLAIM_PROFILE, BOOKING_PROFILE)),
    *(ALL_PROFILE, RECLAIM_PROFILE, OWNER_PROFILE),
)
LIST_LAG_S = 10.0


@dataclass(slots=True)
class FaultReport:
    """What one run came to.

    Attributes
    ----------
    seed : int
        Seed of the run. By threes: all faults; reclaims and faults of backend
        servers, with the instance list ten seconds late; many bookings and faults
        near them, in every fourth of these an owner's end.
    faults : collections.Counter
        Faults by kind.
    outcomes : collections.Counter
        Final outcomes by kind of request.
    violations : list of Violation
        Broken promises.
    lost_unannounced : int
        Accepted model requests lost by deaths without notice.
    recomputed_tokens : int
        By the engines' ledgers.
    """

    seed: int
    faults: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)
    lost_unannounced: int = 0
    recomputed_tokens: int = 0


def new_document(keys: dict[str, dict[str, str]]) -> dict:
    """Return the configuration of a run."""
    services = {
        MODEL: {
            "kind": "model",
            "step_time_ms": 20,
            "max_tokens": 2048,
            "timeout_s": 60,
            "standby_min_tokens": 128,
            "moves_kv": True,
        }
    }
    for name, form in ((SHARDS, "shards"), (OBJECTS, "objects")):
        services[name] = {
            "kind": "plain",
            "timeout_s": PLAIN_TIMEOUT_S,
            "idempotent": [{"method": "GET", "path": "/stock"}],
            "at_most_once": {"form": form, "answer_horizon_s": 600},
        }
    customers = {name: {} for name in CUSTOMERS}
    return {"services": services, "customers": customers, "keys": keys}


class FaultRun:
    """One run while it lasts.

    Parameters
    ----------
    seed : int
        Decides everything that is random.
    safeguards : Safeguards
        All on, but to prove what one prevents.
    """

    def __init__(self, seed: int, safeguards: Safeguards) -> None:
        self.report = FaultReport(seed)
        self.rng = random.Random(seed)
        self.profile = PROFILES[seed % len(PROFILES)]
        self.safeguards = safeguards
        self.bookings: list[BookingNote] = []
        self.models: list[ModelNote] = []
        self.api_keys: list[str] = []
        self.system: System | None = None

    def new_plan(self) -> SystemPlan:
        """Return what the run starts with."""
        keys = {}
        for customer in CUSTOMERS:
            api_key, entry = new_key(customer)
            self.api_keys.append(api_key)
            keys.update(entry)
        plan = SystemPlan(
            new_document(keys),
            ZONES,
            nodes_per_zone=1 + self.rng.randint(0, 1),
            servers={MODEL: 1, SHARDS: 1, OBJECTS: 1},
            kinds={MODEL: "model", SHARDS: "plain", OBJECTS: "plain"},
            safeguards=self.safeguards,
            seed=self.report.seed,
        )
        plan.engine.step_time_s = 0.02
        return plan

    async def run(self) -> None:
        """Run the system, its callers and its faults; then audit."""
        async with trio.open_nursery() as nursery:
            self.system = System(self.new_plan(), nursery)
            await self.system.start()
            if self.profile == RECLAIM_PROFILE:
                self.system.platform.faults.list_lag_s = LIST_LAG_S
            is_long = self.profile == OWNER_PROFILE
            await trio.sleep(OWNER_WARM_UP_S if is_long else WARM_UP_S)
            async with http_client(self.system.callers, None) as client:
                with trio.move_on_after(ACTIVE_S + SETTLE_S):
                    async with trio.open_nursery() as work:
                        self.start_work(work, client)
                        self.start_faults(work)
            self.audit()
            self.system.dispose()
            nursery.cancel_scope.cancel()

    def start_work(self, nursery: trio.Nursery, client: httpx.AsyncClient) -> None:
        """Start the callers of the run's profile."""
        if self.profile in (BOOKING_PROFILE, OWNER_PROFILE):
            self.start_bookings(nursery, client, MANY_BOOKINGS)
            return
        self.start_bookings(nursery, client, BOOKINGS)
        if self.profile == RECLAIM_PROFILE:
            self.start_models(nursery, client, MANY_MODEL_REQUESTS, LONG_ANSWERS)
        else:
            self.start_models(nursery, client, MODEL_REQUESTS, ANSWERS)

    def start_bookings(
        self, nursery: trio.Nursery, client: httpx.AsyncClient, count: int
    ) -> None:
        """Start callers that book, each in its own manner, at random times."""
        for number in range(count):
            plan = BookingPlan(
                declares=self.rng.random() < 0.5,
                sends=self.rng.randint(2, 5),
                timeout_s=self.rng.uniform(0.2, 6.0),
                overlap_s=self.rng.choice([0.0, 0.0, self.rng.uniform(0.01, 1.0)]),
            )
            service = self.rng.choice([SHARDS, SHARDS, OBJECTS])
            note = BookingNote(f"booking-{number}", service, plan.declares)
            self.bookings.append(note)
            caller = self.new_caller(client)
            nursery.start_soon(self.later, caller.book, note, plan)

    def start_models(
        self,
        nursery: trio.Nursery,
        client: httpx.AsyncClient,
        count: int,
        tokens: tuple[int, int],
    ) -> None:
        """Start callers that ask the model, at random times."""
        for number in range(count):
            note = ModelNote(
                f"plan set {self.report.seed} {number}", self.rng.randint(*tokens)
            )
            self.models.append(note)
            caller = self.new_caller(client)
            nursery.start_soon(self.later, caller.ask, note, MODEL, ACTIVE_S + SETTLE_S)

    def new_caller(self, client: httpx.AsyncClient) -> Caller:
        """Return a caller with random numbers of its own."""
        entries = [str(n.settings.listen.callers) for n in self.system.nodes.values()]
        rng = random.Random(self.rng.random())
        return Caller(client, self.rng.choice(self.api_keys), entries, rng)

    async def later(self, function, *args) -> None:
        """Run a caller after a random wait."""
        await trio.sleep(random.Random(str(args[0])).uniform(0.0, ACTIVE_S))
        await function(*args)

    def start_faults(self, nursery: trio.Nursery) -> None:
        """Start the run's faults at random times."""
        names = sorted(set(FAULTS) - {OWNER_END})
        chosen, bounds = [], FAULT_COUNT
        if self.profile == BOOKING_PROFILE:
            names, chosen = BOOKING_FAULTS, ALWAYS_NEAR_BOOKINGS
        elif self.profile == RECLAIM_PROFILE:
            names = RECLAIM_FAULTS
        elif self.profile == OWNER_PROFILE:
            names, chosen, bounds = BOOKING_FAULTS, OWNER_FAULTS, FEW_FAULTS
        count = self.rng.randint(*bounds)
        for name in [*chosen, *(self.rng.choice(names) for _ in range(count))]:
            self.report.faults[name] += 1
            rng = random.Random(self.rng.random())
            nursery.start_soon(self.one_fault, name, rng)

    async def one_fault(self, name: str, rng: random.Random) -> None:
        """Run a fault after a random wait."""
        await trio.sleep(rng.uniform(0.0, ACTIVE_S))
        await FAULTS[name](self.system, rng)

    # After the run

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

    def is_excused(self, note: ModelNote) -> bool:
        """Tell whether the entry that accepted a request died without notice."""
        return note.entry in self.system.unannounced

    def audit(self) -> None:
        """Compare notes and ledgers."""
        report = self.report
        for note in self.bookings:
            report.violations += audit_booking(note, self.runs_of(note))
            last = note.replies[-1].outcome if note.replies else "none"
            report.outcomes[f"booking {last}"] += 1
        for note in self.models:
            report.violations += audit_model(note, self.is_excused)
            report.outcomes[f"model {note.outcome}"] += 1
            is_lost = bool(note.id) and note.outcome != "answered"
            report.lost_unannounced += is_lost and self.is_excused(note)
        if self.profile == RECLAIM_PROFILE:
            report.violations += self.audit_servers()
        report.recomputed_tokens = recomputed_tokens(self.generations())

    def audit_servers(self) -> list[Violation]:
        """Return the new work that leaving servers were given."""
        found = []
        noticed = self.system.platform.cloud.noticed_unix_s
        for instance, notice_unix_s in noticed.items():
            server = self.system.servers.get(instance)
            if server is not None:
                started = work_started(server.standin)
                found += audit_leaving(instance, notice_unix_s, started)
        return found

    def generations(self) -> Iterable:
        """Return the ledger entries of all engines."""
        for server in self.system.servers.values():
            if isinstance(server.standin, EngineStandIn):
                yield from server.standin.batch.ledger


def work_started(standin: EngineStandIn | PlainStandIn) -> dict[str, float]:
    """Return when each request's first work began at a server, by request id."""
    if isinstance(standin, PlainStandIn):
        return {run.id: run.time_unix_s for run in reversed(standin.runs)}
    ledger = reversed(standin.batch.ledger)
    return {entry.id: entry.started_unix_s for entry in ledger}


def run_seed(seed: int, safeguards: Safeguards | None = None) -> FaultReport:
    """Run one seed in virtual time.

    Parameters
    ----------
    seed : int
        Decides everything that is random.
    safeguards : Safeguards, optional
        By default all on.

    Returns
    -------
    report : FaultReport
        What happened, with the broken promises.
    """
    run = FaultRun(seed, safeguards or Safeguards())
    run_in_virtual_time(seed, run.run)
    return run.report
