"""Seeded run of the whole system under injected faults, followed by an audit."""

import math
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
    audit_draining,
    audit_model,
)
from rosemaryknot.replay.caller_records import BookingRecord, ModelRecord
from rosemaryknot.replay.callers import BookingPlan, Caller
from rosemaryknot.replay.fault_kinds import BOOKING_FAULTS, FAULTS
from rosemaryknot.replay.owner_faults import KILL_OWNER, OWNER_FAULTS
from rosemaryknot.replay.server_faults import RECLAIM_FAULTS
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.replay.virtual_time import run_in_virtual_time
from rosemaryknot.standin.engine import EngineStandIn
from rosemaryknot.standin.ledger import recomputed_tokens
from rosemaryknot.standin.plain import PlainStandIn, Run
from rosemaryknot.version.keys import new_key

__all__ = ["FaultReport", "run_seed"]

ZONES = ["waco-a", "waco-b", "temple-c"]
MODEL_SERVICE, SHARDS_SERVICE, OBJECTS_SERVICE = (
    "kit-assistant",
    "dispatch-app",
    "visit-notify",
)
CUSTOMERS = ["estimator-1", "estimator-2"]
WARM_UP_S, ACTIVE_S, SETTLE_S = 3.0, 15.0, 25.0
# The successor of an owner accepts the replicas of its claims as complete only if
# none of the replica holders has restarted recently.
OWNER_WARM_UP_S = 65.0
BOOKINGS, MANY_BOOKINGS, MODEL_REQUESTS, MANY_MODEL_REQUESTS = 14, 60, 6, 20
ANSWER_TOKENS_RANGE, LONG_ANSWER_TOKENS_RANGE = (16, 400), (100, 600)
FAULT_COUNT_RANGE, OWNER_FAULT_COUNT_RANGE = (2, 6), (0, 1)
PLAIN_TIMEOUT_S = 5.0
ALL_PROFILE, RECLAIM_PROFILE, BOOKING_PROFILE = "all", "reclaims", "bookings"
OWNER_PROFILE = "owners"
FIXED_BOOKING_FAULTS = ["held requests", "held requests", "service away"]
PROFILES = (
    *(3 * (ALL_PROFILE, RECLAIM_PROFILE, BOOKING_PROFILE)),
    *(ALL_PROFILE, RECLAIM_PROFILE, OWNER_PROFILE),
)
LIST_LAG_S = 10.0


@dataclass(slots=True)
class FaultReport:
    """Result of one run.

    Attributes
    ----------
    seed : int
        Seed of the run. It selects the profile, in turn: all faults; reclaims and
        faults of backend servers, with an instance list that lags by ten seconds;
        many bookings and the faults that affect them. In every fourth run of the
        last profile a shard owner is killed.
    faults : collections.Counter
        Number of injected faults by name.
    outcomes : collections.Counter
        Number of final outcomes by kind of request.
    violations : list of Violation
        Violated guarantees.
    lost_unannounced : int
        Number of accepted model requests that were lost because the entry was
        killed without notice.
    recomputed_tokens : int
        Tokens that engines prefilled or generated again, from their ledgers.
    """

    seed: int
    faults: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)
    lost_unannounced: int = 0
    recomputed_tokens: int = 0


def new_document(keys: dict[str, dict[str, str]]) -> dict:
    """Return the configuration document of a run."""
    services = {
        MODEL_SERVICE: {
            "kind": "model",
            "step_time_ms": 20,
            "max_tokens": 2048,
            "timeout_s": 60,
            "standby_min_tokens": 128,
            "moves_kv": True,
        }
    }
    for name, form in ((SHARDS_SERVICE, "shards"), (OBJECTS_SERVICE, "objects")):
        services[name] = {
            "kind": "plain",
            "timeout_s": PLAIN_TIMEOUT_S,
            "idempotent": [{"method": "GET", "path": "/stock"}],
            "at_most_once": {"form": form, "answer_horizon_s": 600},
        }
    customers = {name: {} for name in CUSTOMERS}
    return {"services": services, "customers": customers, "keys": keys}


class FaultRun:
    """Run in progress.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    safeguards : Safeguards
        All enabled, except to show what one of them prevents.
    """

    def __init__(self, seed: int, safeguards: Safeguards) -> None:
        self.report = FaultReport(seed)
        self.rng = random.Random(seed)
        self.profile = PROFILES[seed % len(PROFILES)]
        self.safeguards = safeguards
        self.bookings: list[BookingRecord] = []
        self.models: list[ModelRecord] = []
        self.api_keys: list[str] = []
        self.system: System | None = None

    def new_plan(self) -> SystemPlan:
        """Return the initial state and parameters of the system."""
        keys = {}
        for customer in CUSTOMERS:
            api_key, entry = new_key(customer)
            self.api_keys.append(api_key)
            keys.update(entry)
        plan = SystemPlan(
            new_document(keys),
            ZONES,
            nodes_per_zone=1 + self.rng.randint(0, 1),
            servers={MODEL_SERVICE: 1, SHARDS_SERVICE: 1, OBJECTS_SERVICE: 1},
            kinds={
                MODEL_SERVICE: "model",
                SHARDS_SERVICE: "plain",
                OBJECTS_SERVICE: "plain",
            },
            safeguards=self.safeguards,
            seed=self.report.seed,
        )
        plan.engine.step_time_s = 0.02
        return plan

    async def run(self) -> None:
        """Run the system with its callers and faults, then audit the run."""
        async with trio.open_nursery() as nursery:
            self.system = System(self.new_plan(), nursery)
            await self.system.start()
            if self.profile == RECLAIM_PROFILE:
                self.system.platform.faults.list_lag_s = LIST_LAG_S
            is_long = self.profile == OWNER_PROFILE
            await trio.sleep(OWNER_WARM_UP_S if is_long else WARM_UP_S)
            async with http_client(self.system.callers, None, math.inf) as client:
                with trio.move_on_after(ACTIVE_S + SETTLE_S):
                    async with trio.open_nursery() as work:
                        self.start_callers(work, client)
                        self.start_faults(work)
            self.audit()
            self.system.dispose()
            nursery.cancel_scope.cancel()

    def start_callers(self, nursery: trio.Nursery, client: httpx.AsyncClient) -> None:
        """Start the callers of the run's profile."""
        if self.profile in (BOOKING_PROFILE, OWNER_PROFILE):
            self.start_bookings(nursery, client, MANY_BOOKINGS)
            return
        self.start_bookings(nursery, client, BOOKINGS)
        if self.profile == RECLAIM_PROFILE:
            self.start_models(
                nursery, client, MANY_MODEL_REQUESTS, LONG_ANSWER_TOKENS_RANGE
            )
        else:
            self.start_models(nursery, client, MODEL_REQUESTS, ANSWER_TOKENS_RANGE)

    def start_bookings(
        self, nursery: trio.Nursery, client: httpx.AsyncClient, count: int
    ) -> None:
        """Start callers that send bookings, with random retry plans and start times."""
        for number in range(count):
            plan = BookingPlan(
                declares=self.rng.random() < 0.5,
                sends=self.rng.randint(2, 5),
                timeout_s=self.rng.uniform(0.2, 6.0),
                overlap_s=self.rng.choice([0.0, 0.0, self.rng.uniform(0.01, 1.0)]),
            )
            service = self.rng.choice([SHARDS_SERVICE, SHARDS_SERVICE, OBJECTS_SERVICE])
            record = BookingRecord(f"booking-{number}", service, plan.declares)
            self.bookings.append(record)
            caller = self.new_caller(client)
            nursery.start_soon(self.run_delayed, caller.book, record, plan)

    def start_models(
        self,
        nursery: trio.Nursery,
        client: httpx.AsyncClient,
        count: int,
        tokens: tuple[int, int],
    ) -> None:
        """Start callers that send model requests, at random times."""
        for number in range(count):
            record = ModelRecord(
                f"plan set {self.report.seed} {number}", self.rng.randint(*tokens)
            )
            self.models.append(record)
            caller = self.new_caller(client)
            nursery.start_soon(
                self.run_delayed, caller.ask, record, MODEL_SERVICE, ACTIVE_S + SETTLE_S
            )

    def new_caller(self, client: httpx.AsyncClient) -> Caller:
        """Create a caller with its own random number generator."""
        entries = [str(n.settings.listen.callers) for n in self.system.nodes.values()]
        rng = random.Random(self.rng.random())
        return Caller(client, self.rng.choice(self.api_keys), entries, rng)

    async def run_delayed(self, function, *args) -> None:
        """Run a caller after a random delay."""
        await trio.sleep(random.Random(str(args[0])).uniform(0.0, ACTIVE_S))
        await function(*args)

    def start_faults(self, nursery: trio.Nursery) -> None:
        """Start the faults of the run's profile at random times."""
        names = sorted(set(FAULTS) - {KILL_OWNER})
        chosen, bounds = [], FAULT_COUNT_RANGE
        if self.profile == BOOKING_PROFILE:
            names, chosen = BOOKING_FAULTS, FIXED_BOOKING_FAULTS
        elif self.profile == RECLAIM_PROFILE:
            names = RECLAIM_FAULTS
        elif self.profile == OWNER_PROFILE:
            names, chosen, bounds = (
                BOOKING_FAULTS,
                OWNER_FAULTS,
                OWNER_FAULT_COUNT_RANGE,
            )
        count = self.rng.randint(*bounds)
        for name in [*chosen, *(self.rng.choice(names) for _ in range(count))]:
            self.report.faults[name] += 1
            rng = random.Random(self.rng.random())
            nursery.start_soon(self.inject_fault, name, rng)

    async def inject_fault(self, name: str, rng: random.Random) -> None:
        """Inject a fault after a random delay."""
        await trio.sleep(rng.uniform(0.0, ACTIVE_S))
        await FAULTS[name](self.system, rng)

    # Audit

    def runs_of(self, record: BookingRecord) -> list[Run]:
        """Return the executions of a booking on all servers of its service."""
        return [
            run
            for server in self.system.servers.values()
            if isinstance(server.standin, PlainStandIn)
            and server.listed.service == record.service
            for run in server.standin.runs
            if run.key == record.key
        ]

    def is_loss_allowed(self, record: ModelRecord) -> bool:
        """Return whether the accepting entry was killed without notice."""
        return record.entry in self.system.killed_entries

    def audit(self) -> None:
        """Compare the records of the callers with the ledgers of the servers."""
        report = self.report
        for record in self.bookings:
            report.violations += audit_booking(record, self.runs_of(record))
            last = record.replies[-1].outcome if record.replies else "none"
            report.outcomes[f"booking {last}"] += 1
        for record in self.models:
            report.violations += audit_model(record, self.is_loss_allowed)
            report.outcomes[f"model {record.outcome}"] += 1
            is_lost = bool(record.id) and record.outcome != "answered"
            report.lost_unannounced += is_lost and self.is_loss_allowed(record)
        if self.profile == RECLAIM_PROFILE:
            report.violations += self.audit_servers()
        report.recomputed_tokens = recomputed_tokens(self.generations())

    def audit_servers(self) -> list[Violation]:
        """Return violations for new work that was sent to draining servers."""
        found = []
        noticed = self.system.platform.cloud.noticed_unix_s
        for instance, notice_unix_s in noticed.items():
            server = self.system.servers.get(instance)
            if server is not None:
                started = first_work_times(server.standin)
                found += audit_draining(instance, notice_unix_s, started)
        return found

    def generations(self) -> Iterable:
        """Return the ledger entries of all engines."""
        for server in self.system.servers.values():
            if isinstance(server.standin, EngineStandIn):
                yield from server.standin.batch.ledger


def first_work_times(standin: EngineStandIn | PlainStandIn) -> dict[str, float]:
    """Return the time at which a server first worked on each request, by id."""
    if isinstance(standin, PlainStandIn):
        return {run.id: run.time_unix_s for run in reversed(standin.runs)}
    ledger = reversed(standin.batch.ledger)
    return {entry.id: entry.started_unix_s for entry in ledger}


def run_seed(seed: int, safeguards: Safeguards | None = None) -> FaultReport:
    """Run the system with one seed in virtual time.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    safeguards : Safeguards, optional
        All enabled by default.

    Returns
    -------
    report : FaultReport
        Faults, outcomes and violated guarantees.
    """
    run = FaultRun(seed, safeguards or Safeguards())
    run_in_virtual_time(seed, run.run)
    return run.report
