"""The interface through which a node uses its platform."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rosemaryknot.values.duties import DutyCalls
from rosemaryknot.values.gateway_responses import GatewayWire

__all__ = ["Adapter"]


@dataclass(slots=True)
class Adapter:
    """Interface to the platform.

    Attributes
    ----------
    wire : GatewayWire
        Headers of requests and responses.
    store : object
        The store; see `rosemaryknot.values.store_changes.ChangeSource` and
        `rosemaryknot.values.platform.ObjectStore`.
    duties : DutyCalls or None
        Calls that the duties make; None if the platform offers none.
    decode_configuration, decode_server : callable
        Decode objects from the store.
    configuration_kind, configuration_name, servers_kind : str
        Kinds and name of these objects in the store.
    readiness_path : str
        Path that the load balancer probes.
    """

    wire: GatewayWire
    store: Any
    duties: DutyCalls | None
    decode_configuration: Callable
    decode_server: Callable
    configuration_kind: str
    configuration_name: str
    servers_kind: str
    readiness_path: str
