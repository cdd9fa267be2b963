"""Identities of this project's nodes and of the backend servers they route to."""

import re
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Address", "BackendServer", "Node", "ServerState"]

# `int` takes digits of all scripts, underscores and spaces, and any number of them.
PORT = re.compile(r"[0-9]{1,9}")


@dataclass(slots=True, frozen=True)
class Address:
    """An IP address and a port.

    Attributes
    ----------
    host : str
        IP address, never a host name.
    port : int
        TCP port.

    Examples
    --------
    >>> Address.from_text("127.0.0.1:8000")
    Address(host='127.0.0.1', port=8000)
    >>> str(Address("::1", 80))
    '[::1]:80'
    """

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``host:port``.

        Parameters
        ----------
        text : str
            For example ``127.0.0.1:8000`` or ``[::1]:8000``.

        Returns
        -------
        address : Address
            The parsed address.

        Raises
        ------
        ValueError
            If there is no port, or it is not a number in ASCII digits.
        """
        host, separator, port = text.rpartition(":")
        if not host or not PORT.fullmatch(port):
            raise ValueError(f"not an address: {text!r}")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class Node:
    """One incarnation of a node of this project.

    Attributes
    ----------
    name : str
        Name from the settings; stays the same across restarts.
    zone : str
        Availability zone.
    incarnation : int
        Increases with each start of the process (milliseconds since the epoch at
        start). A message of an older incarnation comes from a process that has ended.
    capacity : int
        Processor of the machine, in hundredths of a core; 0 if it is not known. Nodes
        that differ only in it are equal.
    """

    name: str
    zone: str
    incarnation: int
    capacity: int = field(default=0, compare=False)


class ServerState(StrEnum):
    """Lifecycle state of a backend server."""

    LIVE = "live"
    LEAVING = "leaving"
    TERMINATED = "terminated"


@dataclass(slots=True)
class BackendServer:
    """One backend server as the platform lists it.

    Attributes
    ----------
    instance : str
        Name of the instance at the platform. A restarted server is a new instance,
        so the name also distinguishes incarnations.
    service : str
        Service that it runs.
    zone : str
        Availability zone.
    machine_class : str
        Machine class, which determines price and speed.
    reclaimable : bool
        Whether the cloud may reclaim it.
    address : str
        ``host:port`` of its HTTP interface.
    state : str
        A `ServerState` value.
    price_per_hour : float
        Current price per hour.
    deadline_unix_s : float
        When a draining server is terminated, in seconds since the epoch; 0 if
        unknown.
    software_version : str
        Version of its software. Versions have no order; an empty one, of a platform
        that lists none, equals only another empty one.
    """

    instance: str
    service: str
    zone: str
    machine_class: str
    reclaimable: bool
    address: str
    state: str = ServerState.LIVE
    price_per_hour: float = 0.0
    deadline_unix_s: float = 0.0
    software_version: str = ""
