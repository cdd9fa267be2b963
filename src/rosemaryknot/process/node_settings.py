"""Settings of a gateway node: a JSON file, checked as a whole."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from pydantic import Field, TypeAdapter, with_config

from rosemaryknot.process.settings import (
    STRICT,
    AddressText,
    Count,
    LogSettings,
    Name,
    Seconds,
    SettingsError,
    read_checked,
)
from rosemaryknot.values.nodes import Address

__all__ = [
    "Bounds",
    "Cloud",
    "Machine",
    "NodeListen",
    "NodeSettings",
    "Store",
    "load_node_settings",
]

Milliseconds = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0)]
Port = Annotated[int, Field(ge=1, lt=65536)]


@with_config(STRICT)
@dataclass(slots=True)
class NodeListen:
    """Where the node listens.

    Attributes
    ----------
    callers : Address
        For callers.
    readiness : Address
        For the balancer's questions.
    peers : Address
        For the other nodes.
    """

    callers: AddressText
    readiness: AddressText
    peers: AddressText


@with_config(STRICT)
@dataclass(slots=True)
class Store:
    """The platform's store.

    Attributes
    ----------
    address : Address
        Where it answers.
    """

    address: AddressText


@with_config(STRICT)
@dataclass(slots=True)
class Cloud:
    """The platform's calls for duties.

    Attributes
    ----------
    address : Address
        Where it answers.
    duties : list of str
        ``usage`` and ``scaling``, as far as they are asked for.
    """

    address: AddressText
    duties: list[str] = field(default_factory=list)


@with_config(STRICT)
@dataclass(slots=True)
class Machine:
    """What the machine gives a process.

    Attributes
    ----------
    memory_mb : float
        Memory; a process above it is ended.
    files : int
        Descriptors.
    """

    memory_mb: Seconds = 256.0
    files: Count = 1024


@with_config(STRICT)
@dataclass(slots=True)
class Bounds:
    """Bounds that the deployment sets, with the values used where it sets none.

    Attributes
    ----------
    grace_s : float
        From the signal to stop to the end of the process, in seconds.
    retry_ratio : float
        Attempts beyond the first for each request of a service.
    retry_window_s : float
        Window in which they are counted, in seconds.
    retry_slack : float
        Attempts that all nodes together may make besides.
    limit_window_s : float
        Window over which customers' limits count, in seconds.
    usage_window_s : float
        Length of a usage window, in seconds.
    usage_delay_s : float
        When the usage of a window is due after its end, in seconds.
    drain_ms : float
        How long a server that leaves still serves, in milliseconds.
    lease_ms : float
        Least time of a lease, in milliseconds.
    """

    grace_s: Seconds = 8.0
    retry_ratio: Share = 0.1
    retry_window_s: Seconds = 10.0
    retry_slack: Share = 10.0
    limit_window_s: Seconds = 1.0
    usage_window_s: Seconds = 5.0
    usage_delay_s: Seconds = 10.0
    drain_ms: Milliseconds = 2000.0
    lease_ms: Milliseconds = 3000.0


@with_config(STRICT)
@dataclass(slots=True)
class NodeSettings:
    """Settings of a gateway node.

    Attributes
    ----------
    node : str
        Name of the node; the same after a restart.
    zone, region : str
        Where it is.
    listen : NodeListen
        Where it listens.
    store : Store
        The platform's store.
    metrics_port : int
        For the metrics collector, at the callers' address.
    zones : dict of str to str
        All availability zones and their regions.
    seeds : list of Address
        Where other nodes may be found.
    is_first_start : bool
        Whether the whole system starts for the first time.
    cloud : Cloud or None
        Calls for duties, where there are any.
    machine : Machine
        What the machine gives.
    bounds : Bounds
        Bounds of the deployment.
    log : LogSettings
        How the process logs.
    """

    node: Name
    zone: Name
    region: Name
    listen: NodeListen
    store: Store
    metrics_port: Port = 9464
    zones: dict[str, str] = field(default_factory=dict)
    seeds: list[AddressText] = field(default_factory=list)
    is_first_start: bool = False
    cloud: Cloud | None = None
    machine: Machine = field(default_factory=Machine)
    bounds: Bounds = field(default_factory=Bounds)
    log: LogSettings = field(default_factory=lambda: LogSettings(format="json"))

    @property
    def metrics_address(self) -> Address:
        """Where metrics are served."""
        return Address(self.listen.callers.host, self.metrics_port)


ADAPTER = TypeAdapter(NodeSettings)


def load_node_settings(path: Path | str) -> NodeSettings | list[SettingsError]:
    """Load and check a settings file.

    Parameters
    ----------
    path : pathlib.Path or str
        The JSON file.

    Returns
    -------
    settings : NodeSettings or list of SettingsError
        Whole settings, or everything that is wrong.
    """
    return read_checked(path, ADAPTER)
