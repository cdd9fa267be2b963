"""Execution of a scenario against the whole system in virtual time."""

import math
import time
from dataclasses import dataclass, field

import httpx
import trio

from rosemaryknot.connection.http_client import http_client
from rosemaryknot.process.safeguards import Safeguards
from rosemaryknot.replay.figures import Figures, compute_figures
from rosemaryknot.replay.scenario import SERVICES, Expectation, Scenario, Step
from rosemaryknot.replay.scenario_actions import ACTIONS
from rosemaryknot.replay.scenario_checks import CHECKS
from rosemaryknot.replay.scenario_requests import Keys, Requests
from rosemaryknot.replay.system import System, SystemPlan
from rosemaryknot.replay.virtual_time import DecisionLog, run_in_virtual_time
from rosemaryknot.request.routes import DEFAULT_POLICY

__all__ = ["ScenarioReport", "ScenarioRun", "run_scenario"]

WARM_UP_S = 4.0
CHECK_INTERVAL_S = 0.1
ANSWER_HORIZON_S = 600
PLAIN_TIMEOUT_S = 5


@dataclass(slots=True)
class Verdict:
    """Result of checking one expectation.

    Attributes
    ----------
    expectation : Expectation
        Expectation as stated in the scenario.
    seen : str
        Observed values that contradict it; empty if it held.
    """

    expectation: Expectation
    seen: str

    @property
    def held(self) -> bool:
        """Whether the expectation held."""
        return not self.seen


@dataclass(slots=True)
class ScenarioReport:
    """Result of one run.

    Attributes
    ----------
    title : str
        Title of the scenario.
    seed : int
        Seed of the run.
    verdicts : list of Verdict
        One for each expectation, in the order of the file.
    outcomes : dict of str to int
        Number of requests by kind and result.
    figures : Figures
        Cost and latency figures.
    digest : str
        Digest of the decision log.
    decisions : int
        Number of lines of the decision log.
    virtual_s, took_s : float
        Duration of the run in virtual and in real time, in seconds.
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
        """Whether all expectations held."""
        return all(verdict.held for verdict in self.verdicts)


def new_document(scenario: Scenario, keys: Keys, route_policy: str) -> dict:
    """Return the initial configuration document of a scenario."""
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
    """Return the placements of the configuration document, by service and zone."""
    found: dict[str, dict] = {}
    for placement in scenario.placements:
        found.setdefault(placement.service, {})[placement.zone] = {
            "count": placement.count,
            "classes": list(placement.classes),
            "reclaimable_share": 1.0,
        }
    return found


def unique_names(names: list[str]) -> list[str]:
    """Return the names without duplicates, in order of first occurrence."""
    return list(dict.fromkeys(names))


class ScenarioRun:
    """Run in progress.

    Parameters
    ----------
    scenario : Scenario
        Scenario to execute.
    safeguards : Safeguards, optional
        All enabled, except to show what one of them prevents.
    route_policy : str
        Route policy of the model services.

    Attributes
    ----------
    system : System
        The running system.
    client : httpx.AsyncClient
        HTTP client of callers and operators.
    requests : Requests
        Requests of the callers and their results.
    keys : Keys
        API keys of callers and operators.
    patches : dict of str to str
        Outcomes of the operators' patches, by name.
    notices_s : dict of str to float
        Time at which the reclaim notice of each instance was sent, in virtual
        seconds.
    reverted : list of str
        Descriptions of processes that applied an older configuration than before.
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
            unique_names([r.customer for r in scenario.requests]),
            unique_names(
                [s.arguments["operator"] for s in steps if s.action == "patch"]
            ),
            scenario.seed,
        )
        self.report = ScenarioReport(scenario.title, scenario.seed)
        self.patches: dict[str, str] = {}
        self.notices_s: dict[str, float] = {}
        self.reverted: list[str] = []
        self.highest_numbers: dict[str, int] = {}
        self.start_s = 0.0

    def new_plan(self) -> SystemPlan:
        """Return the initial state and parameters of the system."""
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
        """Start the initial backend servers of the scenario."""
        for group in self.scenario.servers:
            for zone in [group.zone] if group.zone else self.scenario.zones:
                for _ in range(group.count):
                    await self.system.start_server(
                        group.service, zone, group.machine_class, group.reclaimable
                    )

    async def run(self) -> None:
        """Run the system and all steps, and check the expectations."""
        async with trio.open_nursery() as nursery:
            self.system = System(self.new_plan(), nursery)
            self.system.platform.cloud.prices.update(self.scenario.prices)
            await self.system.start()
            await self.start_servers()
            await trio.sleep(WARM_UP_S)
            self.start_s = trio.current_time()
            async with http_client(self.system.callers, None, math.inf) as self.client:
                self.requests = Requests(
                    self.system, self.client, self.keys, self.scenario.seed
                )
                await self.run_steps()
            self.finish()
            self.system.dispose()
            nursery.cancel_scope.cancel()

    async def run_steps(self) -> None:
        """Run all steps, the checks at given times and the checks at the end."""
        verdicts: dict[int, Verdict] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.record_reversions)
            for step in self.scenario.steps:
                nursery.start_soon(self.run_step, step)
            for index, expectation in enumerate(self.scenario.expectations):
                if expectation.at_s is not None:
                    nursery.start_soon(self.check_at, index, expectation, verdicts)
            await trio.sleep(self.scenario.end_s)
            nursery.cancel_scope.cancel()
        for index, expectation in enumerate(self.scenario.expectations):
            verdict = verdicts.get(index) or self.check_expectation(expectation)
            self.report.verdicts.append(verdict)

    async def run_step(self, step: Step) -> None:
        """Run one step at its time."""
        await trio.sleep_until(self.start_s + step.at_s)
        await ACTIONS[step.action](self, **step.arguments)

    async def check_at(
        self, index: int, expectation: Expectation, verdicts: dict[int, Verdict]
    ) -> None:
        """Check one expectation at its time."""
        await trio.sleep_until(self.start_s + expectation.at_s)
        verdicts[index] = self.check_expectation(expectation)

    def check_expectation(self, expectation: Expectation) -> Verdict:
        """Check an expectation immediately."""
        seen = CHECKS[expectation.check](self, **expectation.arguments)
        return Verdict(expectation, seen)

    # Configuration

    def active_numbers(self) -> dict[str, int]:
        """Return the active configuration number of each running process."""
        found = {}
        for name, node in self.system.nodes.items():
            for kind, host, process in (
                ("entry", node.entry, node.entry_process),
                ("agent", node.agent, node.agent_process),
            ):
                if process is not None and not host.is_frozen:
                    found[f"{kind} {name}"] = process.holder.number
        return found

    async def record_reversions(self) -> None:
        """Record every process that applies an older configuration than before."""
        while True:
            for process, number in self.active_numbers().items():
                before = self.highest_numbers.get(process, 0)
                if 0 < number < before:
                    self.reverted.append(f"{process} went from {before} to {number}")
                self.highest_numbers[process] = max(before, number)
            await trio.sleep(CHECK_INTERVAL_S)

    def finish(self) -> None:
        """Fill in the outcomes and figures of the report."""
        report = self.report
        for record in self.requests.records.values():
            name = f"{record.request.kind} {record.outcome}"
            report.outcomes[name] = report.outcomes.get(name, 0) + 1
        report.figures = compute_figures(self.requests, self.start_s)
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
        Scenario to execute.
    shown : bool
        Whether the decision log is written to standard error.
    safeguards : Safeguards, optional
        All enabled by default.
    route_policy : str
        Route policy of the model services.

    Returns
    -------
    report : ScenarioReport
        Verdicts, figures and digest of the run.
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
