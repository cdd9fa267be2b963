"""Inputs and decisions of instance placement, and the orders that execute them."""

import math
from dataclasses import dataclass, field
from typing import Any, Protocol

from rosemaryknot.values.nodes import BackendServer
from rosemaryknot.values.platform import (
    Missing,
    PlatformFailed,
    Price,
    StartRefused,
)

__all__ = [
    "CloudApi",
    "Decision",
    "Drain",
    "InstanceKind",
    "KindFacts",
    "OrderClient",
    "OrderDone",
    "OrderFailed",
    "OrderRefused",
    "OrdersRead",
    "Phase",
    "PlacedInstance",
    "PlacementInput",
    "Release",
    "ServerOrder",
    "ServiceTarget",
    "Start",
    "ZoneTarget",
]


# Targets.


@dataclass(slots=True, frozen=True)
class ZoneTarget:
    """Target number and kinds of instances in one availability zone.

    Attributes
    ----------
    zone : str
        Availability zone.
    count : int
        Target number of instances.
    classes : tuple of str
        Machine classes that may be started; empty to allow all.
    reclaimable_share : float
        Maximum share of reclaimable instances, 0 to 1.
    price_ceiling_per_hour : float
        Maximum price per hour of one instance.
    """

    zone: str
    count: int
    classes: tuple[str, ...] = ()
    reclaimable_share: float = 0.0
    price_ceiling_per_hour: float = math.inf


@dataclass(slots=True, frozen=True)
class ServiceTarget:
    """Target of one service.

    Attributes
    ----------
    service : str
        Name of the service.
    is_model : bool
        Whether its backend servers are model servers, which accept orders.
    checks_fencing : bool
        Whether the servers refuse orders with an outdated fencing token.
    timeout_s : float
        Timeout of one request, in seconds.
    zones : tuple of ZoneTarget
        Targets by availability zone, sorted by zone name.
    """

    service: str
    is_model: bool
    checks_fencing: bool
    timeout_s: float
    zones: tuple[ZoneTarget, ...]


# Known state.


@dataclass(slots=True, frozen=True, order=True)
class InstanceKind:
    """Kind of instance that can be requested from the cloud.

    Attributes
    ----------
    zone, machine_class, reclaimable
        See `rosemaryknot.values.nodes.BackendServer`.
    """

    zone: str
    machine_class: str
    reclaimable: bool

    def __str__(self) -> str:
        form = "reclaimable" if self.reclaimable else "on-demand"
        return f"{form} {self.machine_class} in {self.zone}"


@dataclass(slots=True)
class KindFacts:
    """Prices, reclaims and refused starts of a kind of instance.

    Attributes
    ----------
    price_per_hour : float
        Current price of one instance.
    reclaims_per_hour : float
        Measured reclaims per instance and hour; 0 for on-demand instances.
    refused_until_s : float
        Time before which no start is requested, in trio time.
    refusals : int
        Number of consecutive refused starts.
    """

    price_per_hour: float
    reclaims_per_hour: float = 0.0
    refused_until_s: float = -math.inf
    refusals: int = 0


class Phase:
    """Lifecycle phase of an instance, as placement sees it."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True)
class PlacedInstance:
    """One instance of the service.

    Attributes
    ----------
    instance : str
        Name of the instance at the platform.
    kind : InstanceKind
        Kind of the instance.
    phase : str
        One of `Phase`.
    is_drained : bool
        For an instance that a lease holder drained: whether its requests have ended.
    """

    instance: str
    kind: InstanceKind
    phase: str
    is_drained: bool = False


@dataclass(slots=True)
class PlacementInput:
    """Input of a placement policy.

    Attributes
    ----------
    target : ServiceTarget
        Target of the service.
    instances : list of PlacedInstance
        Instances of the service, sorted by name.
    kinds : dict of InstanceKind to KindFacts
        Kinds of instances with a known price.
    now_s : float
        Current trio time.
    """

    target: ServiceTarget
    instances: list[PlacedInstance]
    kinds: dict[InstanceKind, KindFacts]
    now_s: float = 0.0


# Decisions.


@dataclass(slots=True, frozen=True)
class Start:
    """Request an instance from the cloud.

    Attributes
    ----------
    kind : InstanceKind
        Kind of instance to request.
    reason : str
        Reason for the log.
    """

    kind: InstanceKind
    reason: str


@dataclass(slots=True, frozen=True)
class Drain:
    """Let an instance finish its requests and send it no new ones.

    Attributes
    ----------
    instance : str
        Name of the instance at the platform.
    reason : str
        Reason for the log.
    """

    instance: str
    reason: str


@dataclass(slots=True, frozen=True)
class Release:
    """Return a drained instance to the cloud; fields as in `Drain`."""

    instance: str
    reason: str


Decision = Start | Drain | Release


# Orders to backend servers.


@dataclass(slots=True, frozen=True)
class ServerOrder:
    """An order to a backend server.

    Attributes
    ----------
    order : str
        ``load_model``, ``unload_model``, ``set_role``, ``drain`` or ``fence``. The
        last one only makes the server record the fencing token.
    arguments : dict
        Other fields of the order.
    """

    order: str
    arguments: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class OrderDone:
    """The order was executed.

    Attributes
    ----------
    server : BackendServer or None
        Instance that an order to the cloud concerned; None for other orders.
    """

    server: BackendServer | None = None


@dataclass(slots=True)
class OrderRefused:
    """The order was definitely not executed.

    Attributes
    ----------
    reason : str
        Why it was refused.
    fencing : int
        Highest fencing token that the server has seen, if it refused a lower one.
    """

    reason: str
    fencing: int = 0


@dataclass(slots=True)
class OrderFailed:
    """It is unknown whether the order was, or will be, executed.

    Attributes
    ----------
    reason : str
        Cause of the failure.
    """

    reason: str


@dataclass(slots=True)
class OrdersRead:
    """Orders that a backend server reports as active.

    Attributes
    ----------
    fencing : int
        Highest fencing token that it has seen.
    models : tuple of str
        Loaded models; empty if any model is accepted.
    """

    fencing: int
    models: tuple[str, ...]


class OrderClient(Protocol):
    """Client for the calls that placement makes to backend servers."""

    async def order(
        self, server: BackendServer, order: ServerOrder, fencing: int
    ) -> OrderDone | OrderRefused | OrderFailed:
        """Send one order."""

    async def read_orders(self, server: BackendServer) -> OrdersRead | None:
        """Return the active orders, or None if there is no response."""

    async def requests(self, server: BackendServer) -> int | None:
        """Return how many requests the server has, or None if there is no response."""


class CloudApi(Protocol):
    """The cloud API, implemented by `connection.platform.PlatformClient`."""

    async def instances(self) -> list[BackendServer] | PlatformFailed:
        """Return the instance list, which may be out of date."""

    async def instance(self, name: str) -> BackendServer | Missing | PlatformFailed:
        """Return the authoritative state of one instance."""

    async def prices(self) -> list[Price] | PlatformFailed:
        """Return the current prices."""

    async def start_instance(
        self, service: str, zone: str, machine_class: str, reclaimable: bool
    ) -> BackendServer | StartRefused | PlatformFailed:
        """Request an instance."""

    async def release_instance(
        self, name: str
    ) -> BackendServer | Missing | PlatformFailed:
        """Return an instance to the cloud."""
