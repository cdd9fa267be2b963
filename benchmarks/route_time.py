"""Processor time of one route choice, by the number of a service's servers.

Run: ``python benchmarks/route_time.py``. The choice is the live one: candidates
gathered from load reports and prefix estimates, policy, log line (to /dev/null). The
last line of standard output is JSON.
"""

import json
import os
import sys
import time

import trio

from rosemaryknot.process.configuration import ConfigurationHolder
from rosemaryknot.process.logs import configure_logs
from rosemaryknot.process.prefix_estimate import prompt_blocks
from rosemaryknot.process.server_health import ServerHealth
from rosemaryknot.process.server_load import LoadReport, LoadTable
from rosemaryknot.process.servers import ServerTable
from rosemaryknot.request.generations import Generation
from rosemaryknot.request.router import Prompt, Router
from rosemaryknot.request.routes import POLICIES
from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.requests import ModelRequest
from rosemaryknot.version.view import ConfigurationView

__all__ = ["SIZES", "measure"]

SIZES = (6, 60, 420)
ZONES = ("waco-a", "waco-b", "temple-c")
SERVICE = "kit-assistant"
BUILDERS = 5
PROMPT_CHARS = 12_000
OWN_REQUESTS = 8
SINK = os.open(os.devnull, os.O_WRONLY)
CHOICES, ROUNDS = 300, 7
DOCUMENT = {
    "services": {SERVICE: {"kind": "model", "step_time_ms": 3, "max_tokens": 8192}},
    "customers": {"estimator-1": {}},
}


def new_servers(count: int) -> list[BackendServer]:
    """Return live servers spread over the zones."""
    return [
        BackendServer(
            f"{SERVICE}-{number}",
            SERVICE,
            ZONES[number % len(ZONES)],
            "g1",
            True,
            f"10.1.{number // 250}.{number % 250}:9000",
            price_per_hour=1.0 + number % 3 / 10,
        )
        for number in range(count)
    ]


def new_router(count: int, prompts: list[Prompt]) -> Router:
    """Return a router that has served for a while."""
    servers = ServerTable()
    servers.apply_list(new_servers(count))
    holder = ConfigurationHolder(ConfigurationView.from_document)
    holder.view = ConfigurationView.from_document(1, DOCUMENT)
    loads = LoadTable()
    router = Router(servers, holder, loads, ServerHealth(), ZONES[0], "waco-a-1")
    now_s = trio.current_time()
    for number, server in enumerate(servers.servers_of(SERVICE)):
        load = loads.of(server)
        for _ in range(OWN_REQUESTS):
            load.began(100)
        load.report = LoadReport(number % 20, number % 3, 32, 3.0, 100_000, now_s)
        load.prefixes.record_sent(prompts[number % BUILDERS].blocks, now_s)
    return router


def new_generation() -> Generation:
    """Return a request that is to be routed."""
    request = ModelRequest(
        "r0123456789abcdef01234567",
        "estimator-1",
        SERVICE,
        [],
        1500,
        True,
        1,
        trio.current_time(),
        trio.current_time() + 600,
        {},
    )
    return Generation(request, "0123456789ab")


def time_of_choice_us(count: int, level: str) -> float:
    """Return the least over rounds of the time of one choice, in microseconds.

    Parameters
    ----------
    count : int
        Servers of the service.
    level : str
        Log level; ``info`` writes the choice's line.
    """
    configure_logs("text", level, SINK)
    prompts = [
        Prompt(PROMPT_CHARS, prompt_blocks([f"{builder} " * (PROMPT_CHARS // 2)]))
        for builder in range(BUILDERS)
    ]
    router = new_router(count, prompts)
    generation = new_generation()
    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for number in range(CHOICES):
            if router.choose(generation, prompts[number % BUILDERS], ()) is None:
                raise RuntimeError("there was no server to choose")
        rounds.append((time.process_time() - start_s) / CHOICES)
    return round(min(rounds) * 1e6, 1)


def time_of_policy_us(count: int, policy: str) -> float:
    """Return the same for the policy function alone, over all the servers."""
    prompts = [
        Prompt(PROMPT_CHARS, prompt_blocks([f"{builder} " * (PROMPT_CHARS // 2)]))
        for builder in range(BUILDERS)
    ]
    router = new_router(count, prompts)
    servers = router.servers.servers_of(SERVICE)
    service = router.service(SERVICE)
    given = router.route_input(new_generation(), prompts[0], servers, service)
    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for _ in range(CHOICES):
            POLICIES[policy](given)
        rounds.append((time.process_time() - start_s) / CHOICES)
    return round(min(rounds) * 1e6, 1)


async def measured() -> dict[str, dict[str, float]]:
    """Return the times of all sizes."""
    sizes = [str(n) for n in SIZES]
    logged = [time_of_choice_us(n, "info") for n in SIZES]
    silent = [time_of_choice_us(n, "error") for n in SIZES]
    policy = [time_of_policy_us(n, "estimated_time") for n in SIZES]
    return {
        "choice_us": dict(zip(sizes, silent, strict=True)),
        "choice_with_log_us": dict(zip(sizes, logged, strict=True)),
        "policy_alone_us": dict(zip(sizes, policy, strict=True)),
    }


def measure() -> dict:
    """Return the figures of all sizes, in microseconds.

    ``choice_us`` gathers the candidates and chooses; ``choice_with_log_us`` also
    writes its line; ``policy_alone_us`` chooses among all servers, which the live
    router never hands over.
    """
    found = trio.run(measured)
    choices = found["choice_us"]
    step = SIZES[-1] - SIZES[1]
    slope = (choices[str(SIZES[-1])] - choices[str(SIZES[1])]) / step
    return {**found, "choice_slope_us_per_server": round(slope, 3)}


if __name__ == "__main__":
    print(json.dumps(measure()))
    sys.exit(0)
