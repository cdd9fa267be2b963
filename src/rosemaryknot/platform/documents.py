"""Objects of the platform's store, decoded into the gateway's types."""

import math
from ipaddress import ip_address
from typing import Any

from rosemaryknot.values.gateway import (
    CallerLimits,
    CustomerLimit,
    EngineLimits,
    GatewayConfiguration,
    GatewayRoute,
    GatewayService,
    Repeat,
    RoutedServer,
    ScalingLimits,
)
from rosemaryknot.values.incarnation import ServerIncarnation
from rosemaryknot.values.nodes import Address

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "DocumentError",
    "SERVERS_KIND",
    "configuration_of",
    "server_of",
]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVERS_KIND = "servers"

REPEATS = {
    "idempotent": Repeat.ANY,
    "non_idempotent": Repeat.ONCE,
    "streaming": Repeat.STREAM,
}


# Characters of a reason in a log line.
MAX_REASON = 80
# Of a server: whether it takes no new work.
STATES = {"ready": False, "draining": True}
MAX_PORT = 65535
# The largest number that nodes can tell each other.
MAX_WHOLE = 2**63 - 1
# What the decoding of any value may raise: a number beyond all floats is an
# `OverflowError`, which would end the node.
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class DocumentError(ValueError):
    """A document that lacks a field, or has one of another form."""


def reason_of(error: Exception) -> str:
    """Return what is wrong with a document, for the log."""
    if isinstance(error, KeyError):
        return f"no {error.args[0]}"
    if isinstance(error, ValueError):
        return str(error)[:MAX_REASON]
    return "not of the form of such an object"


def finite(value: Any) -> float:
    """Return a number; one beyond all bounds would make limits and waits endless."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("a number is not finite")
    return number


def route_of(data: dict[str, Any]) -> GatewayRoute:
    """Return a route.

    ``type`` says what may be repeated, ``backends`` is left out where there is one
    service, and ``sessionAffinity`` marks the routes of model requests.
    """
    backends = [
        (str(b["service"]), finite(b["weight"])) for b in data.get("backends", [])
    ]
    if not backends:
        backends = [(str(data["service"]), 1.0)]
    return GatewayRoute(
        name=str(data["name"]),
        host=str(data["hostname"]),
        path_prefix=str(data["pathPrefix"]),
        # What is not known is not repeated.
        repeat=REPEATS.get(data.get("type"), Repeat.ONCE),
        timeout_s=finite(data.get("timeoutMs") or 60_000) / 1000,
        target_s=finite(data.get("targetLatencyMs") or 1_000) / 1000,
        priority=int(data.get("priority") or 0),
        backends=backends,
        max_attempts=max(1, int(data.get("maxAttempts") or 1)),
        is_public=bool(data.get("public")),
        is_resumable=bool(data.get("resumable")),
        is_model=bool(data.get("sessionAffinity")),
        pause_s=pause_of(data),
    )


def pause_of(data: dict[str, Any]) -> float:
    """Return the longest pause between events that a route allows, in seconds."""
    pause_s = finite(data.get("gapAimMs") or 0) / 1000
    return pause_s if pause_s > 0 else math.inf


def service_of(data: dict[str, Any]) -> GatewayService:
    """Return a service."""
    engine = data.get("engine")
    scaling = data.get("scaling")
    return GatewayService(
        name=str(data["name"]),
        max_connections=int(data.get("maxConnections") or 0),
        engine=None
        if not engine
        else EngineLimits(
            int(engine.get("slots") or 1), int(engine.get("kvCapacity") or 0)
        ),
        scaling=None if not scaling else scaling_of(scaling),
    )


def scaling_of(data: dict[str, Any]) -> ScalingLimits:
    """Return the limits of a service's size; they hold for each zone."""
    return ScalingLimits(
        min_servers=int(data.get("minReplicas") or 0),
        max_servers=int(data.get("maxReplicas") or 0),
        boot_s=finite(data.get("bootS") or 0.0),
        reclaimable_price=finite(data.get("spotPrice") or 0.0),
        zone_prices={k: finite(v) for k, v in (data.get("zonePrices") or {}).items()},
    )


def customer_of(data: dict[str, Any]) -> CustomerLimit:
    """Return a customer's limit; without ``unit`` requests are counted."""
    priority = data.get("priority")
    return CustomerLimit(
        name=str(data["name"]),
        priority=None if priority is None else int(priority),
        rate=finite(data.get("ratePerS") or 0.0),
        burst=finite(data.get("burst") or 0.0),
        counts_tokens=data.get("unit") == "tokens",
        plain_tokens=int(data.get("plainTokens") or 1),
    )


def limits_of(data: dict[str, Any]) -> CallerLimits:
    """Return the bounds on callers' connections."""
    known = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(data.get("maxHeaderBytes") or known.max_header_bytes),
        max_body_bytes=int(data.get("maxBodyBytes") or known.max_body_bytes),
        header_timeout_s=finite(data.get("headerTimeoutMs") or 3000) / 1000,
        idle_timeout_s=finite(data.get("idleTimeoutMs") or 15_000) / 1000,
    )


def configuration_of(value: Any) -> GatewayConfiguration:
    """Return the configuration.

    Raises
    ------
    DocumentError
        If a field is missing or has another form.
    """
    try:
        routes = [route_of(data) for data in value["routes"]]
        customers = [customer_of(data) for data in value.get("tenants") or []]
        by_host: dict[str, list[GatewayRoute]] = {}
        for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
            by_host.setdefault(route.host, []).append(route)
        services = [service_of(data) for data in value.get("services") or []]
        return GatewayConfiguration(
            version=whole_of(value, "version"),
            routes_by_host=by_host,
            services={service.name: service for service in services},
            customers={customer.name: customer for customer in customers},
            customer_by_key={
                str(key): str(data["name"])
                for data in value.get("tenants") or []
                for key in data.get("apiKeys") or []
            },
            limits=limits_of(value.get("limits") or {}),
        )
    except DECODE_ERRORS as error:
        raise DocumentError(f"configuration: {reason_of(error)}") from error


def text_of(data: dict[str, Any], name: str) -> str:
    """Return a text that must be there and not be empty."""
    value = data[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is no text")
    return value


def whole_of(data: dict[str, Any], name: str) -> int:
    """Return a whole number from 0 on that must be there; true and false are none."""
    value = data[name]
    if type(value) is not int or not 0 <= value <= MAX_WHOLE:
        raise ValueError(f"{name} is no whole number")
    return value


def address_of(data: dict[str, Any]) -> Address:
    """Return where a server listens: an IP number and a port that there can be."""
    address = Address.from_text(text_of(data, "address"))
    ip_address(address.host)
    if not 0 < address.port <= MAX_PORT:
        raise ValueError("address has no such port")
    return address


def incarnation_of(name: str, data: dict[str, Any]) -> ServerIncarnation:
    """Return which life of which server an entry tells of.

    The id goes out in a header of each request, which takes no other characters.
    """
    if not name.isascii() or not name.isprintable() or not name or " " in name:
        raise ValueError("its name is no id")
    return ServerIncarnation(name, whole_of(data, "born") if "born" in data else None)


def is_leaving_of(data: dict[str, Any]) -> bool:
    """Tell whether a server's state says that it leaves.

    A state that is not known must not count as leaving: that is never taken back, and
    another writer's entry would end a server for good.
    """
    is_leaving = STATES.get(text_of(data, "state"))
    if is_leaving is None:
        raise ValueError("state is not known")
    return is_leaving


def leaves_s_of(data: dict[str, Any]) -> float | None:
    """Return how long after the writing of the entry the server ends, where told."""
    leaves_ms = data.get("leaves_ms")
    return None if leaves_ms is None else finite(leaves_ms) / 1000


def check_unused(data: dict[str, Any]) -> None:
    """Check the fields of a server's entry that nothing is decided by."""
    text_of(data, "version")
    whole_of(data, "sequence")
    cold_ms = data["coldRemainingMs"]
    if isinstance(cold_ms, bool) or finite(cold_ms) < 0:
        raise ValueError("coldRemainingMs is no time")


def server_of(name: str, value: Any) -> RoutedServer:
    """Return a backend server.

    Every field that servers write must be there in its form, also those that are not
    used: where one is not, another writer made the entry, and nobody may listen at
    its address. Only ``born`` may be missing, as servers of older software tell none.
    ``spot`` marks what the cloud may take back.

    Raises
    ------
    DocumentError
        If a field is missing or has another form.
    """
    try:
        check_unused(value)
        return RoutedServer(
            incarnation=incarnation_of(name, value),
            service=text_of(value, "service"),
            zone=text_of(value, "zone"),
            address=address_of(value),
            slots=whole_of(value, "slots"),
            is_leaving=is_leaving_of(value),
            is_reclaimable=bool(value.get("spot")),
            leaves_s=leaves_s_of(value),
        )
    except DECODE_ERRORS as error:
        raise DocumentError(reason_of(error)) from error
