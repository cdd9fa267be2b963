"""Runs a scenario over the whole system in virtual time."""

import time
from dataclasses import dataclass, field

import httpx
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.figures import Figures, figures_of
from rosemaryknot.replay.scenario import SERVICES, Expectation, Scenario, Step
from rosemaryknot.replay.scenario_actions import ACTIONS
from rosemaryknot.replay.scenario_checks import CHECKS
from rosemaryknot.replay.scenario_requests import Keys, Requests
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.replay.virtual_time import DecisionLog, run_in_virtual_time
from rosemaryknot.request.routes import DEFAULT_POLICY

__all__ = ["ScenarioReport", "ScenarioRun", "run_scenario"]

WARM_UP_S = 4.0
WATCH_GAP_S = 0.1
ANSWER_HORIZON_S = 600
PLAIN_TIMEOUT_S = 5


@dataclass(slots=True)
class Verdict:
    """What became of one stated outcome.

    Attributes
    ----------
    expectation : Expectation
        What was stated.
    seen : str
        What was seen instead; empty where it held.
    """

    expectation: Expectation
    seen: str

    @property
    def held(self) -> bool:
        """Whether the outcome is as stated."""
        return not self.seen


@dataclass(slots=True)
class ScenarioReport:
    """What a run came to.

    Attributes
    ----------
    title : str
        Title of the scenario.
    seed : int
        Seed of the run.
    verdicts : list of Verdict
        One for each stated outcome, in the order of the file.
    outcomes : dict of str to int
        Requests by result.
    figures : Figures
        What it cost and how fast it was.
    digest : str
        Of the decision log.
    decisions : int
        Lines of the decision log.
    virtual_s, took_s : float
        Length of the run in virtual and in real time, in seconds.
    """

    title: str
    seed: int
    verdicts: list[Verdict] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    figures: Figures = field(default_factory=Figures)
    digest: str = ""
    decisions: int = 0
    virtual_s: float = 0.0
    took_s: float = 0.0

    @property
    def held(self) -> bool:
        """Whether all stated outcomes are as stated."""
        return all(verdict.held for verdict in self.verdicts)


def new_document(scenario: Scenario, keys: Keys, route_policy: str) -> dict:
    """Return the configuration that a scenario starts with."""
    services = {}
    for group in scenario.servers:
        if SERVICES[group.service] == "model":
            services[group.service] = {
                "kind": "model",
                "step_time_ms": scenario.engine.step_time_s * 1000,
                "max_tokens": 8192,
                "timeout_s": 600,
                "standby_min_tokens": 256,
                "moves_kv": True,
                "route_policy": route_policy,
            }
        else:
            services[group.service] = {
                "kind": "plain",
                "timeout_s": PLAIN_TIMEOUT_S,
                "idempotent": [
                    {"method": "GET", "path": path} for path in ("/stock", "/ping")
                ],
                "at_most_once": {
                    "form": group.form,
                    "answer_horizon_s": ANSWER_HORIZON_S,
                },
            }
    customers = {name: {} for name in keys.by_customer}
    return {
        "services": services,
        "placements": new_placements(scenario),
        "customers": customers,
        "keys": keys.stored,
        "rules": {"max_capacity_change_share": 0.5},
    }


def new_placements(scenario: Scenario) -> dict[str, dict]:
    """Return the placements of the configuration, by service and zone."""
    found: dict[str, dict] = {}
    for placement in scenario.placements:
        found.setdefault(placement.service, {})[placement.zone] = {
            "count": placement.count,
            "classes": list(placement.classes),
            "reclaimable_share": 1.0,
        }
    return found


def names_in_order(names: list[str]) -> list[str]:
    """Return the names without repeats."""
    return list(dict.fromkeys(names))


class ScenarioRun:
    """One run while it lasts.

    Parameters
    ----------
    scenario : Scenario
        What happens.
    safeguards : Safeguards, optional
        All on, but to show what one prevents.
    route_policy : str
        Route policy of the model services.

    Attributes
    ----------
    system : System
        The running system.
    client : httpx.AsyncClient
        Connections of callers and operators.
    requests : Requests
        Callers' requests.
    keys : Keys
        Callers' and operators' keys.
    patches : dict of str to str
        Outcomes of operators' patches by name.
    notices_s : dict of str to float
        When each instance's reclaim notice was sent, in virtual seconds.
    reverted : list of str
        Processes that took an older configuration than they had.
    """

    system: System
    client: httpx.AsyncClient
    requests: Requests

    def __init__(
        self,
        scenario: Scenario,
        safeguards: Safeguards | None = None,
        route_policy: str = DEFAULT_POLICY,
    ) -> None:
        self.scenario = scenario
        self.route_policy = route_policy
        self.safeguards = safeguards or Safeguards()
        steps = scenario.steps
        self.keys = Keys(
            names_in_order([r.customer for r in scenario.requests]),
            names_in_order(
                [s.arguments["operator"] for s in steps if s.action == "patch"]
            ),
            scenario.seed,
        )
        self.report = ScenarioReport(scenario.title, scenario.seed)
        self.patches: dict[str, str] = {}
        self.notices_s: dict[str, float] = {}
        self.reverted: list[str] = []
        self.highest: dict[str, int] = {}
        self.start_s = 0.0

    def new_plan(self) -> SystemPlan:
        """Return what the system starts with."""
        scenario = self.scenario
        plan = SystemPlan(
            new_document(scenario, self.keys, self.route_policy),
            scenario.zones,
            scenario.nodes_per_zone,
            servers={},
            kinds=SERVICES,
            delay_s=scenario.delay_s,
            safeguards=self.safeguards,
            seed=scenario.seed,
        )
        plan.engine = scenario.engine
        return plan

    async def start_servers(self) -> None:
        """Start the backend servers that the scenario begins with."""
        for group in self.scenario.servers:
            for zone in [group.zone] if group.zone else self.scenario.zones:
                for _ in range(group.count):
                    await self.system.start_server(
                        group.service, zone, group.machine_class, group.reclaimable
                    )

    async def run(self) -> None:
        """Run the system and all steps, and check the stated outcomes."""
        async with trio.open_nursery() as nursery:
            self.system = System(self.new_plan(), nursery)
            self.system.platform.cloud.prices.update(self.scenario.prices)
            await self.system.start()
            await self.start_servers()
            await trio.sleep(WARM_UP_S)
            self.start_s = trio.current_time()
            async with http_client(self.system.callers, None) as self.client:
                self.requests = Requests(
                    self.system, self.client, self.keys, self.scenario.seed
                )
                await self.play()
            self.finish()
            self.system.dispose()
            nursery.cancel_scope.cancel()

    async def play(self) -> None:
        """Run all steps and the checks that have a time."""
        verdicts: dict[int, Verdict] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_numbers)
            for step in self.scenario.steps:
                nursery.start_soon(self.run_step, step)
            for index, expectation in enumerate(self.scenario.expectations):
                if expectation.at_s is not None:
                    nursery.start_soon(self.check_at, index, expectation, verdicts)
            await trio.sleep(self.scenario.end_s)
            nursery.cancel_scope.cancel()
        for index, expectation in enumerate(self.scenario.expectations):
            verdict = verdicts.get(index) or self.judge(expectation)
            self.report.verdicts.append(verdict)

    async def run_step(self, step: Step) -> None:
        """Run one step at its time."""
        await trio.sleep_until(self.start_s + step.at_s)
        await ACTIONS[step.action](self, **step.arguments)

    async def check_at(
        self, index: int, expectation: Expectation, verdicts: dict[int, Verdict]
    ) -> None:
        """Check one outcome at its time."""
        await trio.sleep_until(self.start_s + expectation.at_s)
        verdicts[index] = self.judge(expectation)

    def judge(self, expectation: Expectation) -> Verdict:
        """Check an outcome now."""
        seen = CHECKS[expectation.check](self, **expectation.arguments)
        return Verdict(expectation, seen)

    # Configuration

    def numbers(self) -> dict[str, int]:
        """Return the number in force in each process that runs."""
        found = {}
        for name, node in self.system.nodes.items():
            for kind, host, process in (
                ("entry", node.entry, node.entry_process),
                ("agent", node.agent, node.agent_process),
            ):
                if process is not None and not host.is_frozen:
                    found[f"{kind} {name}"] = process.holder.number
        return found

    async def watch_numbers(self) -> None:
        """Note every process that takes an older configuration than it had."""
        while True:
            for process, number in self.numbers().items():
                before = self.highest.get(process, 0)
                if 0 < number < before:
                    self.reverted.append(f"{process} went from {before} to {number}")
                self.highest[process] = max(before, number)
            await trio.sleep(WATCH_GAP_S)

    def finish(self) -> None:
        """Fill in the figures of the report."""
        report = self.report
        for record in self.requests.records.values():
            name = f"{record.request.kind} {record.outcome}"
            report.outcomes[name] = report.outcomes.get(name, 0) + 1
        report.figures = figures_of(self.requests, self.start_s)
        report.virtual_s = trio.current_time()


def run_scenario(
    scenario: Scenario,
    shown: bool = False,
    safeguards: Safeguards | None = None,
    route_policy: str = DEFAULT_POLICY,
) -> ScenarioReport:
    """Run a scenario in virtual time.

    Parameters
    ----------
    scenario : Scenario
        What happens.
    shown : bool
        Whether the decision log is written to standard error.
    safeguards : Safeguards, optional
        By default all on.
    route_policy : str
        Route policy of the model services.

    Returns
    -------
    report : ScenarioReport
        What came of it.
    """
    log = DecisionLog(shown)
    run = ScenarioRun(scenario, safeguards, route_policy)
    start_s = time.monotonic()
    with log.recording():
        run_in_virtual_time(scenario.seed, run.run)
    run.report.took_s = time.monotonic() - start_s
    run.report.digest = log.digest
    run.report.decisions = log.lines
    return run.report
