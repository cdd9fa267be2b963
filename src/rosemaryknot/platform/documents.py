"""Decoding of objects in the platform's store into the gateway's types."""

import math
from ipaddress import IPv4Address, ip_address
from typing import Any

from rosemaryknot.values.gateway import (
    CallerLimits,
    CustomerLimit,
    EngineLimits,
    GatewayConfiguration,
    GatewayRoute,
    GatewayService,
    RetryPolicy,
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
    "decode_configuration",
    "decode_server",
]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVERS_KIND = "servers"

RETRY_POLICIES = {
    "idempotent": RetryPolicy.ANY,
    "non_idempotent": RetryPolicy.ONCE,
    "streaming": RetryPolicy.STREAM,
}


# Maximum length of a reason in a log line.
MAX_REASON_CHARS = 80
# Whether a server in each state accepts no new requests.
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_PORT = 65535
BROADCAST = IPv4Address("255.255.255.255")
# Largest integer that nodes can send to each other.
MAX_INT = 2**63 - 1
# Exceptions that decoding any value may raise. A number beyond the range of floats
# gives an `OverflowError`, which would end the node if it were not caught.
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class DocumentError(ValueError):
    """Raised for a document with a missing or invalid field."""


def error_reason(error: Exception) -> str:
    """Return the reason why a document is invalid, for the log."""
    if isinstance(error, KeyError):
        return f"no {error.args[0]}"
    if isinstance(error, ValueError):
        return str(error)[:MAX_REASON_CHARS]
    return "object has an invalid form"


def finite_float(value: Any) -> float:
    """Return a finite float; infinity would make limits and waits unbounded."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("number is not finite")
    return number


def bounded_int(value: Any) -> int:
    """Return an integer that nodes can send to each other."""
    number = int(value)
    if not -MAX_INT <= number <= MAX_INT:
        raise ValueError("number is out of range")
    return number


def decode_route(data: dict[str, Any]) -> GatewayRoute:
    """Decode a route.

    ``type`` determines which requests may be retried, ``backends`` is omitted if there
    is only one service, and ``sessionAffinity`` marks the routes of model requests.
    """
    backends = [
        (str(b["service"]), finite_float(b["weight"])) for b in data.get("backends", [])
    ]
    if not backends:
        backends = [(str(data["service"]), 1.0)]
    return GatewayRoute(
        name=str(data["name"]),
        host=str(data["hostname"]),
        path_prefix=str(data["pathPrefix"]),
        # Requests of an unknown type are not retried.
        retry_policy=RETRY_POLICIES.get(data.get("type"), RetryPolicy.ONCE),
        timeout_s=finite_float(data.get("timeoutMs") or 60_000) / 1000,
        target_s=finite_float(data.get("targetLatencyMs") or 1_000) / 1000,
        priority=bounded_int(data.get("priority") or 0),
        backends=backends,
        max_attempts=max(1, bounded_int(data.get("maxAttempts") or 1)),
        is_public=bool(data.get("public")),
        is_resumable=bool(data.get("resumable")),
        is_model=bool(data.get("sessionAffinity")),
        max_event_gap_s=decode_max_event_gap_s(data),
    )


def decode_max_event_gap_s(data: dict[str, Any]) -> float:
    """Decode the longest gap between events that a route allows, in seconds."""
    max_event_gap_s = finite_float(data.get("gapAimMs") or 0) / 1000
    return max_event_gap_s if max_event_gap_s > 0 else math.inf


def decode_service(data: dict[str, Any]) -> GatewayService:
    """Decode a service."""
    engine = data.get("engine")
    scaling = data.get("scaling")
    return GatewayService(
        name=str(data["name"]),
        max_connections=bounded_int(data.get("maxConnections") or 0),
        engine=None
        if not engine
        else EngineLimits(
            bounded_int(engine.get("slots") or 1),
            bounded_int(engine.get("kvCapacity") or 0),
        ),
        scaling=None if not scaling else decode_scaling_limits(scaling),
    )


def decode_scaling_limits(data: dict[str, Any]) -> ScalingLimits:
    """Decode the scaling limits of a service, which apply to each zone."""
    return ScalingLimits(
        min_servers=bounded_int(data.get("minReplicas") or 0),
        max_servers=bounded_int(data.get("maxReplicas") or 0),
        boot_s=finite_float(data.get("bootS") or 0.0),
        reclaimable_price=finite_float(data.get("spotPrice") or 0.0),
        zone_prices={
            k: finite_float(v) for k, v in (data.get("zonePrices") or {}).items()
        },
    )


def decode_customer_limit(data: dict[str, Any]) -> CustomerLimit:
    """Decode the limit of a customer; without ``unit`` it counts requests."""
    priority = data.get("priority")
    return CustomerLimit(
        name=str(data["name"]),
        priority=None if priority is None else bounded_int(priority),
        rate=finite_float(data.get("ratePerS") or 0.0),
        burst=finite_float(data.get("burst") or 0.0),
        counts_tokens=data.get("unit") == "tokens",
        plain_tokens=bounded_int(data.get("plainTokens") or 1),
    )


def decode_caller_limits(data: dict[str, Any]) -> CallerLimits:
    """Decode the limits on callers' connections."""
    known = CallerLimits()
    return CallerLimits(
        max_header_bytes=bounded_int(
            data.get("maxHeaderBytes") or known.max_header_bytes
        ),
        max_body_bytes=bounded_int(data.get("maxBodyBytes") or known.max_body_bytes),
        header_timeout_s=finite_float(data.get("headerTimeoutMs") or 3000) / 1000,
        idle_timeout_s=finite_float(data.get("idleTimeoutMs") or 15_000) / 1000,
    )


def decode_configuration(value: Any) -> GatewayConfiguration:
    """Decode a configuration.

    Raises
    ------
    DocumentError
        If a field is missing or invalid.
    """
    try:
        routes = [decode_route(data) for data in value["routes"]]
        customers = [decode_customer_limit(data) for data in value.get("tenants") or []]
        by_host: dict[str, list[GatewayRoute]] = {}
        for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
            by_host.setdefault(route.host, []).append(route)
        services = [decode_service(data) for data in value.get("services") or []]
        return GatewayConfiguration(
            version=required_int(value, "version"),
            routes_by_host=by_host,
            services={service.name: service for service in services},
            customers={customer.name: customer for customer in customers},
            customer_by_key={
                str(key): str(data["name"])
                for data in value.get("tenants") or []
                for key in data.get("apiKeys") or []
            },
            limits=decode_caller_limits(value.get("limits") or {}),
        )
    except DECODE_ERRORS as error:
        raise DocumentError(f"configuration: {error_reason(error)}") from error


def required_text(data: dict[str, Any], name: str) -> str:
    """Return a required, non-empty string."""
    value = data[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a non-empty string")
    return value


def required_int(data: dict[str, Any], name: str) -> int:
    """Return a required, non-negative integer; booleans are not accepted."""
    value = data[name]
    if type(value) is not int or not 0 <= value <= MAX_INT:
        raise ValueError(f"{name} is no whole number")
    return value


def decode_address(data: dict[str, Any]) -> Address:
    """Decode the address of a server: that of one host, and a valid port."""
    address = Address.from_text(required_text(data, "address"))
    if "%" in address.host:
        raise ValueError("address has a scope")
    host = ip_address(address.host)
    if host.is_multicast or host.is_unspecified or host == BROADCAST:
        raise ValueError("address is not that of one host")
    if not 0 < address.port <= MAX_PORT:
        raise ValueError("address has an invalid port")
    return address


def decode_incarnation(name: str, data: dict[str, Any]) -> ServerIncarnation:
    """Decode the incarnation of a server.

    The id is sent in a header of each request, which allows only printable ASCII
    characters without spaces.
    """
    if not name.isascii() or not name.isprintable() or not name or " " in name:
        raise ValueError("name is not a valid id")
    return ServerIncarnation(
        name, required_int(data, "born") if "born" in data else None
    )


def decode_is_draining(data: dict[str, Any]) -> bool:
    """Return whether the state of a server is draining.

    An unknown state must not count as draining: draining is never revoked, so an entry
    by another writer would remove a server permanently.
    """
    is_draining = DRAINING_BY_STATE.get(required_text(data, "state"))
    if is_draining is None:
        raise ValueError("state is not known")
    return is_draining


def decode_shutdown_after_s(data: dict[str, Any]) -> float | None:
    """Decode the time from the writing of an entry to the end of its server, if any."""
    leaves_ms = data.get("leaves_ms")
    return None if leaves_ms is None else finite_float(leaves_ms) / 1000


def validate_unused_fields(data: dict[str, Any]) -> None:
    """Validate the fields of a server's entry that are not used otherwise."""
    required_int(data, "sequence")
    cold_ms = data["coldRemainingMs"]
    if isinstance(cold_ms, bool) or finite_float(cold_ms) < 0:
        raise ValueError("coldRemainingMs is not a valid duration")


def decode_server(name: str, value: Any) -> RoutedServer:
    """Decode a backend server.

    All fields that servers write must be present and valid, even those that are not
    used: otherwise another writer made the entry, and possibly no server listens at its
    address. Only ``born`` may be missing, since servers with older software do not
    write it. ``spot`` marks servers that the cloud may reclaim.

    Raises
    ------
    DocumentError
        If a field is missing or invalid.
    """
    try:
        validate_unused_fields(value)
        return RoutedServer(
            incarnation=decode_incarnation(name, value),
            service=required_text(value, "service"),
            zone=required_text(value, "zone"),
            address=decode_address(value),
            slots=required_int(value, "slots"),
            is_draining=decode_is_draining(value),
            is_reclaimable=bool(value.get("spot")),
            shutdown_after_s=decode_shutdown_after_s(value),
            software_version=required_text(value, "version"),
        )
    except DECODE_ERRORS as error:
        raise DocumentError(error_reason(error)) from error
