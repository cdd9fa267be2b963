"""Objects of the platform's store, decoded into the gateway's types."""

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


class DocumentError(ValueError):
    """A document that lacks a field, or has one of another form."""


def route_of(data: dict[str, Any]) -> GatewayRoute:
    """Return a route.

    ``type`` says what may be repeated, ``backends`` is left out where there is one
    service, and ``sessionAffinity`` marks the routes of model requests.
    """
    backends = [
        (str(b["service"]), float(b["weight"])) for b in data.get("backends", [])
    ]
    if not backends:
        backends = [(str(data["service"]), 1.0)]
    return GatewayRoute(
        name=str(data["name"]),
        host=str(data["hostname"]),
        path_prefix=str(data["pathPrefix"]),
        # What is not known is not repeated.
        repeat=REPEATS.get(data.get("type"), Repeat.ONCE),
        timeout_s=float(data.get("timeoutMs") or 60_000) / 1000,
        target_s=float(data.get("targetLatencyMs") or 1_000) / 1000,
        priority=int(data.get("priority") or 0),
        backends=backends,
        max_attempts=max(1, int(data.get("maxAttempts") or 1)),
        is_public=bool(data.get("public")),
        is_resumable=bool(data.get("resumable")),
        is_model=bool(data.get("sessionAffinity")),
    )


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
        boot_s=float(data.get("bootS") or 0.0),
        reclaimable_price=float(data.get("spotPrice") or 0.0),
        zone_prices={k: float(v) for k, v in (data.get("zonePrices") or {}).items()},
    )


def customer_of(data: dict[str, Any]) -> CustomerLimit:
    """Return a customer's limit; without ``unit`` requests are counted."""
    priority = data.get("priority")
    return CustomerLimit(
        name=str(data["name"]),
        priority=None if priority is None else int(priority),
        rate=float(data.get("ratePerS") or 0.0),
        burst=float(data.get("burst") or 0.0),
        counts_tokens=data.get("unit") == "tokens",
        plain_tokens=int(data.get("plainTokens") or 1),
    )


def limits_of(data: dict[str, Any]) -> CallerLimits:
    """Return the bounds on callers' connections."""
    known = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(data.get("maxHeaderBytes") or known.max_header_bytes),
        max_body_bytes=int(data.get("maxBodyBytes") or known.max_body_bytes),
        header_timeout_s=float(data.get("headerTimeoutMs") or 3000) / 1000,
        idle_timeout_s=float(data.get("idleTimeoutMs") or 15_000) / 1000,
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
            version=int(value["version"]),
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
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        text = f"configuration: {type(error).__name__} {error}"
        raise DocumentError(text) from error


def server_of(name: str, value: Any) -> RoutedServer:
    """Return a backend server.

    ``state`` is ``draining`` where it leaves, ``spot`` marks what the cloud may take
    back, and ``leaves_ms`` is counted from the writing of the entry.

    Raises
    ------
    DocumentError
        If a field is missing or has another form.
    """
    try:
        leaves_ms = value.get("leaves_ms")
        return RoutedServer(
            id=name,
            service=str(value["service"]),
            zone=str(value.get("zone") or ""),
            address=Address.from_text(value["address"]),
            slots=int(value.get("slots") or 0),
            is_leaving=value.get("state") != "ready",
            is_reclaimable=bool(value.get("spot")),
            leaves_s=None if leaves_ms is None else float(leaves_ms) / 1000,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(f"server {name}: {type(error).__name__}") from error
