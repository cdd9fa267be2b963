"""Settings of a gateway node, read from a JSON file and validated as a whole."""

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
    read_validated,
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
    """Addresses on which the node listens.

    Attributes
    ----------
    callers : Address
        Address for callers.
    readiness : Address
        Address for probes of the load balancer.
    peers : Address
        Address for the other nodes.
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
        Address of the store.
    """

    address: AddressText


@with_config(STRICT)
@dataclass(slots=True)
class Cloud:
    """The platform's API for duties, tasks that only the holder of a lease performs.

    Attributes
    ----------
    address : Address
        Address of the API.
    duties : list of str
        Enabled duties: ``usage``, ``scaling`` or both.
    """

    address: AddressText
    duties: list[str] = field(default_factory=list)


@with_config(STRICT)
@dataclass(slots=True)
class Machine:
    """Resources that the machine gives the process.

    Attributes
    ----------
    memory_mb : float
        Memory in megabytes; a process that uses more is terminated.
    files : int
        Number of file descriptors.
    processor_share : float
        Share of a core that the process may use.
    processor_speed : float
        Speed of the core, relative to the usual one.
    """

    memory_mb: Seconds = 256.0
    files: Count = 1024
    processor_share: Seconds = 1.0
    processor_speed: Seconds = 1.0

    @property
    def capacity(self) -> int:
        """Processor, in hundredths of a core."""
        return round(100 * self.processor_share * self.processor_speed)


@with_config(STRICT)
@dataclass(slots=True)
class Bounds:
    """Bounds that the deployment sets, with default values.

    Attributes
    ----------
    grace_s : float
        Time from the signal to stop until the process must have ended, in seconds.
    retry_ratio : float
        Allowed retries per request of a service.
    retry_window_s : float
        Window in which retries are counted, in seconds.
    retry_slack : float
        Additional retries that all nodes together may make.
    limit_window_s : float
        Window of the customers' limits, in seconds.
    usage_window_s : float
        Length of a usage window, in seconds.
    usage_delay_s : float
        Time after the end of a window at which its usage is due, in seconds.
    drain_ms : float
        How long a draining server still serves, in milliseconds.
    lease_ms : float
        Minimum duration of a lease, in milliseconds.
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
        Name of the node, which stays the same after a restart.
    zone, region : str
        Availability zone and region of the node.
    listen : NodeListen
        Addresses on which it listens.
    store : Store
        The platform's store.
    metrics_port : int
        Port for the metrics collector, at the callers' address.
    zones : dict of str to str
        Region of each availability zone.
    seeds : list of Address
        Addresses of nodes through which the others are discovered.
    is_first_start : bool
        Whether the whole system starts for the first time.
    cloud : Cloud or None
        API for duties; None if this node performs none.
    machine : Machine
        Resources that the machine gives.
    bounds : Bounds
        Bounds that the deployment sets.
    log : LogSettings
        Format and level of the log.
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
        """Address on which metrics are served."""
        return Address(self.listen.callers.host, self.metrics_port)


ADAPTER = TypeAdapter(NodeSettings)


def load_node_settings(path: Path | str) -> NodeSettings | list[SettingsError]:
    """Load and validate a settings file.

    Parameters
    ----------
    path : pathlib.Path or str
        The JSON file.

    Returns
    -------
    settings : NodeSettings or list of SettingsError
        The settings, or all errors found.
    """
    return read_validated(path, ADAPTER)
