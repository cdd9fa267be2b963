"""Typed inputs and decisions of placement, and the orders that carry them out."""

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


# What is wanted.


@dataclass(slots=True, frozen=True)
class ZoneTarget:
    """Instances wanted in one zone.

    Attributes
    ----------
    zone : str
        Availability zone.
    count : int
        Instances wanted.
    classes : tuple of str
        Machine classes that may be started; empty allows all.
    reclaimable_share : float
        Largest share of reclaimable instances, 0 to 1.
    price_ceiling_per_hour : float
        Highest price of one instance.
    """

    zone: str
    count: int
    classes: tuple[str, ...] = ()
    reclaimable_share: float = 0.0
    price_ceiling_per_hour: float = math.inf


@dataclass(slots=True, frozen=True)
class ServiceTarget:
    """What is wanted of one service.

    Attributes
    ----------
    service : str
        Name of the service.
    is_model : bool
        Whether its backend servers take orders.
    checks_fencing : bool
        Whether they refuse an old fencing number.
    timeout_s : float
        Bound on one request, in seconds.
    zones : tuple of ZoneTarget
        In order of the zone's name.
    """

    service: str
    is_model: bool
    checks_fencing: bool
    timeout_s: float
    zones: tuple[ZoneTarget, ...]


# What is known.


@dataclass(slots=True, frozen=True, order=True)
class InstanceKind:
    """What the cloud is asked for.

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
    """What is known of a kind of instance.

    Attributes
    ----------
    price_per_hour : float
        Current price.
    reclaims_per_hour : float
        Measured reclaims for each instance and hour; 0 for on-demand ones.
    refused_until_s : float
        Until when no start is asked for, in trio time.
    refusals : int
        Refused starts in a row.
    """

    price_per_hour: float
    reclaims_per_hour: float = 0.0
    refused_until_s: float = -math.inf
    refusals: int = 0


class Phase:
    """Where an instance stands, as placement sees it."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True)
class PlacedInstance:
    """One instance of the service.

    Attributes
    ----------
    instance : str
        The platform's name.
    kind : InstanceKind
        What it is.
    phase : str
        One of `Phase`.
    is_drained : bool
        For a leaving one that a holder drained: whether its work has ended.
    """

    instance: str
    kind: InstanceKind
    phase: str
    is_drained: bool = False


@dataclass(slots=True)
class PlacementInput:
    """All that a placement policy may know.

    Attributes
    ----------
    target : ServiceTarget
        What is wanted.
    instances : list of PlacedInstance
        What there is, in order of name.
    kinds : dict of InstanceKind to KindFacts
        Kinds with a known price.
    now_s : float
        Trio time.
    """

    target: ServiceTarget
    instances: list[PlacedInstance]
    kinds: dict[InstanceKind, KindFacts]
    now_s: float = 0.0


# What is decided.


@dataclass(slots=True, frozen=True)
class Start:
    """Ask the cloud for an instance.

    Attributes
    ----------
    kind : InstanceKind
        What to ask for.
    reason : str
        Why, for the log.
    """

    kind: InstanceKind
    reason: str


@dataclass(slots=True, frozen=True)
class Drain:
    """Let an instance end its work and get no more.

    Attributes
    ----------
    instance : str
        The platform's name.
    reason : str
        Why, for the log.
    """

    instance: str
    reason: str


@dataclass(slots=True, frozen=True)
class Release:
    """Give a drained instance back to the cloud; fields as of `Drain`."""

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
        ``load_model``, ``unload_model``, ``set_role``, ``drain`` or ``fence``,
        which does nothing but show the fencing number.
    arguments : dict
        Its other fields.
    """

    order: str
    arguments: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class OrderDone:
    """The order was carried out.

    Attributes
    ----------
    server : BackendServer or None
        The instance that an order to the cloud was about.
    """

    server: BackendServer | None = None


@dataclass(slots=True)
class OrderRefused:
    """The order was certainly not carried out.

    Attributes
    ----------
    reason : str
        Why.
    fencing : int
        Highest number that the server has seen, where it refused an older one.
    """

    reason: str
    fencing: int = 0


@dataclass(slots=True)
class OrderFailed:
    """Nobody knows whether the order was, or will be, carried out.

    Attributes
    ----------
    reason : str
        What happened to the call.
    """

    reason: str


@dataclass(slots=True)
class OrdersRead:
    """What a backend server says is in force.

    Attributes
    ----------
    fencing : int
        Highest fencing number that it has seen.
    models : tuple of str
        Loaded models; empty where any model is accepted.
    """

    fencing: int
    models: tuple[str, ...]


class OrderClient(Protocol):
    """Calls to backend servers that placement makes."""

    async def order(
        self, server: BackendServer, order: ServerOrder, fencing: int
    ) -> OrderDone | OrderRefused | OrderFailed:
        """Give one order."""

    async def read_orders(self, server: BackendServer) -> OrdersRead | None:
        """Return what is in force; None without an answer."""

    async def requests(self, server: BackendServer) -> int | None:
        """Return how many requests the server has; None without an answer."""


class CloudApi(Protocol):
    """The cloud API, as `connection.platform.PlatformClient` fills it."""

    async def instances(self) -> list[BackendServer] | PlatformFailed:
        """Return the instance list, which lags."""

    async def instance(self, name: str) -> BackendServer | Missing | PlatformFailed:
        """Return the authoritative state of one instance."""

    async def prices(self) -> list[Price] | PlatformFailed:
        """Return the current prices."""

    async def start_instance(
        self, service: str, zone: str, machine_class: str, reclaimable: bool
    ) -> BackendServer | StartRefused | PlatformFailed:
        """Ask for an instance."""

    async def release_instance(
        self, name: str
    ) -> BackendServer | Missing | PlatformFailed:
        """Give an instance back."""
