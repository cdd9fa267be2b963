"""Names of our own nodes and of the backend servers they route to."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Address", "BackendServer", "Node", "ServerState"]


@dataclass(slots=True, frozen=True)
class Address:
    """An IP number and a port.

    Attributes
    ----------
    host : str
        IP number, never a name.
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
            If there is no port, or it is not a number.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"not an address: {text!r}")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class Node:
    """One life of one of our nodes.

    Attributes
    ----------
    name : str
        Name from the settings; stays over restarts.
    zone : str
        Availability zone.
    incarnation : int
        Rises with each start of the process (milliseconds since the epoch at
        start); a message of an older incarnation is from a dead process.
    """

    name: str
    zone: str
    incarnation: int


class ServerState(StrEnum):
    """What is known of a backend server."""

    LIVE = "live"
    LEAVING = "leaving"
    TERMINATED = "terminated"


@dataclass(slots=True)
class BackendServer:
    """One backend server as the platform lists it.

    Attributes
    ----------
    instance : str
        The platform's name of the instance. A restarted server is a new instance,
        so the name also tells incarnations apart.
    service : str
        Service that it serves.
    zone : str
        Availability zone.
    machine_class : str
        Machine class, which sets price and speed.
    reclaimable : bool
        Whether the cloud may take it back.
    address : str
        ``host:port`` of its HTTP interface.
    state : str
        A `ServerState` value.
    price_per_hour : float
        Current price.
    deadline_unix_s : float
        When a leaving server is taken away, as seconds of the epoch; 0 where not
        known.
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
