"""What an agent tells operators: status, a request's story, planned stops."""

from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import trio
from quart import Blueprint, Response, g, jsonify, request

from rosemaryknot.connection.links import Handlers, MessageLink
from rosemaryknot.process.decisions import DECISIONS
from rosemaryknot.process.logs import logger
from rosemaryknot.process.metrics import render_metrics
from rosemaryknot.process.peer_metrics import traffic_by_duty
from rosemaryknot.values.control import (
    DecisionsFetch,
    DecisionsFound,
    DrainAccepted,
    DrainRequest,
)

if TYPE_CHECKING:
    from rosemaryknot.process.agent import Agent

__all__ = ["STATUS_PARTS", "StatusApi", "alarm", "status_part"]

ASK_TIMEOUT_S = 2.0
LIST_AGE_ALARM_S = 15.0

log = logger("status")

StatusPart = Callable[["Agent"], Any]
AlarmCheck = Callable[["Agent"], str]

STATUS_PARTS: dict[str, StatusPart] = {}
ALARMS: list[AlarmCheck] = []


def status_part(name: str) -> Callable[[StatusPart], StatusPart]:
    """Register a function of the agent under its name in the status.

    Parameters
    ----------
    name : str
        Key in the answer of ``GET /v1/status``.

    Returns
    -------
    decorator : callable
        Returns the function unchanged.
    """

    def register(function: StatusPart) -> StatusPart:
        STATUS_PARTS[name] = function
        return function

    return register


def alarm(function: AlarmCheck) -> AlarmCheck:
    """Register a function of the agent that returns a sentence, or nothing."""
    ALARMS.append(function)
    return function


@status_part("node")
def node_status(agent: "Agent") -> dict[str, Any]:
    """Return who this node is."""
    return asdict(agent.node) | {
        "region": agent.settings.region,
        "stopping": agent.stop.is_set(),
        "entries": len(agent.peers.entries),
    }


@status_part("configuration")
def configuration_status(agent: "Agent") -> dict[str, Any]:
    """Return the version in force."""
    offer = agent.holder.offer
    return {"number": offer.number, "digest": offer.digest}


@status_part("peers")
def peers_status(agent: "Agent") -> list[dict[str, Any]]:
    """Return what is known of each other node."""
    return agent.peers.status()


@status_part("servers")
def servers_status(agent: "Agent") -> list[dict[str, Any]]:
    """Return the number of servers by service, zone and state."""
    counts = Counter(
        (server.service, server.zone, str(server.state))
        for server in agent.servers.servers.values()
    )
    return [
        {"service": service, "zone": zone, "state": state, "count": count}
        for (service, zone, state), count in sorted(counts.items())
    ]


@status_part("at_most_once")
def claims_status(agent: "Agent") -> dict[str, Any]:
    """Return what each form of at-most-once execution says of itself."""
    return {name: form_status(form) for name, form in agent.forms.items()}


def form_status(form: Any) -> dict[str, Any]:
    """Return the status of a form that has one."""
    status = getattr(form, "status", None)
    return status() if callable(status) else {}


@status_part("placement")
def placement_status(agent: "Agent") -> list[dict[str, Any]]:
    """Return the holder and the pending orders of each service's placement."""
    return agent.placement.status()


@status_part("traffic")
def traffic_status(agent: "Agent") -> dict[str, Any]:
    """Return messages and bytes of the links by duty."""
    return traffic_by_duty(agent.peers.traffic)


@alarm
def configuration_conflict(agent: "Agent") -> str:
    """Tell of two documents under one number."""
    conflict = agent.holder.conflict
    if conflict is None:
        return ""
    return (
        f"configuration {conflict.number} exists twice ({conflict.source} holds "
        "another): no changes are taken until `restore`"
    )


@alarm
def store_rolled_back(agent: "Agent") -> str:
    """Tell of a store that lost accepted changes."""
    if not agent.watcher.is_rolled_back:
        return ""
    return "the store holds an older configuration than the one in force"


@alarm
def no_configuration(agent: "Agent") -> str:
    """Tell that nothing can be served yet."""
    return "" if agent.holder.view is not None else "no configuration is known"


@alarm
def old_instance_list(agent: "Agent") -> str:
    """Tell that the instance list has not been read for a while."""
    age_s = trio.current_time() - agent.servers.listed_s
    if age_s < LIST_AGE_ALARM_S:
        return ""
    return "no instance list lately: routing goes on by the servers last known"


@alarm
def no_entry(agent: "Agent") -> str:
    """Tell that this node serves no callers."""
    return "" if agent.peers.entries else "no entry is connected to this agent"


@alarm
def suspected_peers(agent: "Agent") -> str:
    """Tell which nodes cannot be reached."""
    names = sorted(agent.peers.suspected())
    return f"cannot reach {', '.join(names)}" if names else ""


@alarm
def newer_self(agent: "Agent") -> str:
    """Tell that another process runs under this node's name."""
    if not agent.peers.table.newer_self:
        return ""
    return f"another process runs as {agent.node.name}: stop one of the two"


class StatusApi:
    """The status calls of the operators' API.

    Parameters
    ----------
    agent : Agent
        What is told about.
    """

    def __init__(self, agent: "Agent") -> None:
        self.agent = agent
        self.register_handlers(agent.handlers)

    def register_handlers(self, handlers: Handlers) -> None:
        """Let other agents ask for decisions and planned stops here."""

        @handlers.on(DecisionsFetch)
        async def find(asked: DecisionsFetch, link: MessageLink) -> DecisionsFound:
            return DecisionsFound(await self.local_decisions(asked.request))

        @handlers.on(DrainRequest)
        async def drain(asked: DrainRequest, link: MessageLink) -> DrainAccepted:
            log.info("planned stop asked for", operator=asked.operator)
            entries = await self.agent.drain(asked.operator, asked.deadline_unix_s)
            return DrainAccepted(entries)

    def blueprint(self) -> Blueprint:
        """Return the routes."""
        routes = Blueprint("status", __name__)
        routes.get("/v1/status")(self.status)
        routes.get("/v1/explain/<request_id>")(self.explain)
        routes.post("/v1/drain")(self.drain)
        routes.get("/healthz")(self.health)
        routes.get("/metrics")(self.metrics)
        return routes

    async def health(self) -> Response:
        """Answer that the process is there."""
        return jsonify(ok=True)

    async def metrics(self) -> Response:
        """Answer with all metrics."""
        self.agent.peer_metrics.update()
        body, content_type = render_metrics()
        return Response(body, content_type=content_type)

    async def status(self) -> Response:
        """Answer with every part of the status, and the alarms."""
        parts = {name: part(self.agent) for name, part in STATUS_PARTS.items()}
        sentences = [check(self.agent) for check in ALARMS]
        return jsonify(parts | {"alarms": [text for text in sentences if text]})

    async def explain(self, request_id: str) -> Response:
        """Answer with what the processes of all nodes remember of a request."""
        found = {self.agent.node.name: await self.local_decisions(request_id)}
        missing: list[str] = []
        async with trio.open_nursery() as nursery:
            for node in self.agent.peers.nodes():
                nursery.start_soon(self.ask_node, node.name, request_id, found, missing)
        decisions = [
            {"node": name} | decision
            for name, of_node in found.items()
            for decision in of_node
        ]
        decisions.sort(key=lambda decision: decision["time"])
        return jsonify(request=request_id, decisions=decisions, not_reached=missing)

    async def ask_node(
        self, name: str, request_id: str, found: dict, missing: list[str]
    ) -> None:
        """Ask one node what it remembers of a request."""
        asked = DecisionsFetch(request_id)
        answer = await self.agent.peers.call(name, asked, 2 * ASK_TIMEOUT_S)
        if isinstance(answer, DecisionsFound):
            found[name] = valid_decisions(answer)
        else:
            missing.append(name)

    async def local_decisions(self, request_id: str) -> list[dict]:
        """Return what this agent and its entries remember of a request."""
        found = [asdict(decision) for decision in DECISIONS.of(request_id)]
        for link in list(self.agent.peers.entries):
            answer = await link.call(DecisionsFetch(request_id), ASK_TIMEOUT_S)
            if isinstance(answer, DecisionsFound):
                found += valid_decisions(answer)
        return found

    async def drain(self) -> Response:
        """Begin the planned stop of a node, this one or another."""
        body = await request.get_json(force=True, silent=True)
        name = body.get("node") if isinstance(body, dict) else None
        if name is None or not isinstance(name, str):
            detail = 'the body must be {"node": "<name>"}'
            return answered(400, outcome="bad_request", detail=detail)
        asked = DrainRequest(g.operator.name)
        if name == self.agent.node.name:
            entries = await self.agent.drain(asked.operator)
            return answered(202, outcome="stopping", node=name, entries=entries)
        if not self.agent.peers.is_live(name):
            detail = f"no live node {name}"
            return answered(404, outcome="unknown_node", detail=detail)
        answer = await self.agent.peers.call(name, asked, 2 * ASK_TIMEOUT_S)
        if isinstance(answer, DrainAccepted):
            return answered(202, outcome="stopping", node=name, entries=answer.entries)
        outcome = "unknown" if answer.maybe_handled else "not_done"
        status = 504 if answer.maybe_handled else 503
        return answered(status, outcome=outcome, detail=answer.reason)


def answered(status: int, **body: Any) -> Response:
    """Return a JSON answer."""
    response = jsonify(body)
    response.status_code = status
    return response


def valid_decisions(found: DecisionsFound) -> list[dict]:
    """Return the decisions of an answer that can be shown."""
    decisions = found.decisions if isinstance(found.decisions, list) else []
    return [d for d in decisions if isinstance(d, dict) and "time" in d]
