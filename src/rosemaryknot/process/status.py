"""Operators' API of an agent: status, decisions about requests, graceful shutdown."""

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
from rosemaryknot.process.peer_metrics import traffic_by_subsystem
from rosemaryknot.values.control import (
    DecisionsFetch,
    DecisionsFound,
    DrainAccepted,
    DrainRequest,
)

if TYPE_CHECKING:
    from rosemaryknot.process.agent import Agent

__all__ = ["STATUS_SECTIONS", "StatusApi", "alarm", "status_section"]

QUERY_TIMEOUT_S = 2.0
INSTANCE_LIST_ALARM_AGE_S = 15.0

log = logger("status")

StatusSection = Callable[["Agent"], Any]
AlarmCheck = Callable[["Agent"], str]

STATUS_SECTIONS: dict[str, StatusSection] = {}
ALARM_CHECKS: list[AlarmCheck] = []


def status_section(name: str) -> Callable[[StatusSection], StatusSection]:
    """Register a function of the agent as a section of the status.

    Parameters
    ----------
    name : str
        Key in the response of ``GET /v1/status``.

    Returns
    -------
    decorator : callable
        Returns the function unchanged.
    """

    def register(function: StatusSection) -> StatusSection:
        STATUS_SECTIONS[name] = function
        return function

    return register


def alarm(function: AlarmCheck) -> AlarmCheck:
    """Register a function of the agent that returns an alarm or an empty text."""
    ALARM_CHECKS.append(function)
    return function


@status_section("node")
def node_status(agent: "Agent") -> dict[str, Any]:
    """Return the identity of this node."""
    return asdict(agent.node) | {
        "region": agent.settings.region,
        "stopping": agent.stop.is_set(),
        "entries": len(agent.peers.entries),
    }


@status_section("configuration")
def configuration_status(agent: "Agent") -> dict[str, Any]:
    """Return the number and digest of the current version."""
    offer = agent.holder.offer
    return {"number": offer.number, "digest": offer.digest}


@status_section("peers")
def peers_status(agent: "Agent") -> list[dict[str, Any]]:
    """Return the state of each other node."""
    return agent.peers.status()


@status_section("servers")
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


@status_section("at_most_once")
def claims_status(agent: "Agent") -> dict[str, Any]:
    """Return the status of each form of at-most-once execution."""
    return {name: form_status(form) for name, form in agent.forms.items()}


def form_status(form: Any) -> dict[str, Any]:
    """Return the status of a form, empty if it has none."""
    status = getattr(form, "status", None)
    return status() if callable(status) else {}


@status_section("placement")
def placement_status(agent: "Agent") -> list[dict[str, Any]]:
    """Return the holder and the pending orders of each service's placement."""
    return agent.placement.status()


@status_section("traffic")
def traffic_status(agent: "Agent") -> dict[str, Any]:
    """Return messages and bytes of the links by duty."""
    return traffic_by_subsystem(agent.peers.traffic)


@alarm
def configuration_conflict(agent: "Agent") -> str:
    """Report two different documents with one version number."""
    conflict = agent.holder.conflict
    if conflict is None:
        return ""
    return (
        f"configuration {conflict.number} exists twice ({conflict.source} holds "
        "another): no changes are taken until `restore`"
    )


@alarm
def store_rolled_back(agent: "Agent") -> str:
    """Report a store that has lost accepted changes."""
    if not agent.watcher.is_rolled_back:
        return ""
    return "the store holds an older configuration than the one in force"


@alarm
def no_configuration(agent: "Agent") -> str:
    """Report that there is no configuration, so no request can be served."""
    return "" if agent.holder.view is not None else "no configuration is known"


@alarm
def old_instance_list(agent: "Agent") -> str:
    """Report an instance list older than `INSTANCE_LIST_ALARM_AGE_S`."""
    age_s = trio.current_time() - agent.servers.listed_s
    if age_s < INSTANCE_LIST_ALARM_AGE_S:
        return ""
    return "no instance list lately: routing goes on by the servers last known"


@alarm
def no_entry(agent: "Agent") -> str:
    """Report that no entry is connected, so this node serves no callers."""
    return "" if agent.peers.entries else "no entry is connected to this agent"


@alarm
def suspected_peers(agent: "Agent") -> str:
    """Report the nodes that cannot be reached."""
    names = sorted(agent.peers.suspected())
    return f"cannot reach {', '.join(names)}" if names else ""


@alarm
def newer_incarnations_seen(agent: "Agent") -> str:
    """Report that another process runs under this node's name."""
    if not agent.peers.table.newer_incarnations_seen:
        return ""
    return f"another process runs as {agent.node.name}: stop one of the two"


class StatusApi:
    """Status endpoints of the operators' API.

    Parameters
    ----------
    agent : Agent
        Agent whose status is reported.
    """

    def __init__(self, agent: "Agent") -> None:
        self.agent = agent
        self.register_handlers(agent.handlers)

    def register_handlers(self, handlers: Handlers) -> None:
        """Register handlers for requests of other agents."""

        @handlers.on(DecisionsFetch)
        async def find(message: DecisionsFetch, link: MessageLink) -> DecisionsFound:
            return DecisionsFound(await self.local_decisions(message.request))

        @handlers.on(DrainRequest)
        async def drain(message: DrainRequest, link: MessageLink) -> DrainAccepted:
            log.info("graceful shutdown requested", operator=message.operator)
            entries = await self.agent.drain(message.operator, message.deadline_unix_s)
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
        """Return 200 as a sign that the process is running."""
        return jsonify(ok=True)

    async def metrics(self) -> Response:
        """Return all metrics."""
        self.agent.peer_metrics.update()
        body, content_type = render_metrics()
        return Response(body, content_type=content_type)

    async def status(self) -> Response:
        """Return all sections of the status, and the alarms."""
        sections = {name: get(self.agent) for name, get in STATUS_SECTIONS.items()}
        alarms = [check(self.agent) for check in ALARM_CHECKS]
        return jsonify(sections | {"alarms": [text for text in alarms if text]})

    async def explain(self, request_id: str) -> Response:
        """Return the decisions about a request that all nodes have recorded."""
        found = {self.agent.node.name: await self.local_decisions(request_id)}
        missing: list[str] = []
        async with trio.open_nursery() as nursery:
            for node in self.agent.peers.nodes():
                nursery.start_soon(
                    self.query_node, node.name, request_id, found, missing
                )
        decisions = [
            {"node": name} | decision
            for name, of_node in found.items()
            for decision in of_node
        ]
        decisions.sort(key=lambda decision: decision["time"])
        return jsonify(request=request_id, decisions=decisions, not_reached=missing)

    async def query_node(
        self, name: str, request_id: str, found: dict, missing: list[str]
    ) -> None:
        """Query one node for its recorded decisions about a request."""
        query = DecisionsFetch(request_id)
        response = await self.agent.peers.call(name, query, 2 * QUERY_TIMEOUT_S)
        if isinstance(response, DecisionsFound):
            found[name] = valid_decisions(response)
        else:
            missing.append(name)

    async def local_decisions(self, request_id: str) -> list[dict]:
        """Return the decisions about a request by this agent and its entries."""
        found = [asdict(decision) for decision in DECISIONS.of(request_id)]
        for link in list(self.agent.peers.entries):
            response = await link.call(DecisionsFetch(request_id), QUERY_TIMEOUT_S)
            if isinstance(response, DecisionsFound):
                found += valid_decisions(response)
        return found

    async def drain(self) -> Response:
        """Start the graceful shutdown of a node, this one or another."""
        body = await request.get_json(force=True, silent=True)
        name = body.get("node") if isinstance(body, dict) else None
        if name is None or not isinstance(name, str):
            detail = 'the body must be {"node": "<name>"}'
            return json_response(400, outcome="bad_request", detail=detail)
        message = DrainRequest(g.operator.name)
        if name == self.agent.node.name:
            entries = await self.agent.drain(message.operator)
            return json_response(202, outcome="stopping", node=name, entries=entries)
        if not self.agent.peers.is_live(name):
            detail = f"no live node {name}"
            return json_response(404, outcome="unknown_node", detail=detail)
        response = await self.agent.peers.call(name, message, 2 * QUERY_TIMEOUT_S)
        if isinstance(response, DrainAccepted):
            return json_response(
                202, outcome="stopping", node=name, entries=response.entries
            )
        outcome = "unknown" if response.maybe_handled else "not_done"
        status = 504 if response.maybe_handled else 503
        return json_response(status, outcome=outcome, detail=response.reason)


def json_response(status: int, **body: Any) -> Response:
    """Return a JSON response."""
    response = jsonify(body)
    response.status_code = status
    return response


def valid_decisions(found: DecisionsFound) -> list[dict]:
    """Return the decisions of a response that have the expected form."""
    decisions = found.decisions if isinstance(found.decisions, list) else []
    return [d for d in decisions if isinstance(d, dict) and "time" in d]
